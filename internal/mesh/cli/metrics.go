package cli

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/bootstrap"
)

// Scrape collects the metrics of a process for one scrape.
type Scrape struct{ set *metrics.Set }

// SetCounter sets a counter. labels are pairs of name and value.
func (p Scrape) SetCounter(name string, n uint64, labels ...string) {
	p.set.GetOrCreateCounter(seriesName(name, labels)).Set(n)
}

// SetGauge sets a gauge. labels are pairs of name and value.
func (p Scrape) SetGauge(name string, v float64, labels ...string) {
	p.set.GetOrCreateGauge(seriesName(name, labels), nil).Set(v)
}

// SetBool sets a gauge to 1 for true and to 0 for false.
func (p Scrape) SetBool(name string, value bool) {
	v := 0.0
	if value {
		v = 1
	}
	p.SetGauge(name, v)
}

// seriesName returns the name of a time series with its labels, such as name{label="value"}.
func seriesName(name string, labels []string) string {
	for i := 0; i+1 < len(labels); i += 2 {
		sep := ","
		if i == 0 {
			sep = "{"
		}
		name += sep + labels[i] + "=" + strconv.Quote(labels[i+1])
	}
	if len(labels) > 1 {
		name += "}"
	}
	return name
}

// ServeMetrics serves a process's metrics in Prometheus's text format
// (https://prometheus.io/docs/instrumenting/exposition_formats/) at a port within the machine's sparePorts. It does nothing if
// port is 0. read is called for each scrape to fill in the metrics.
func ServeMetrics(ctx context.Context, s *bootstrap.Settings, port int, read func(Scrape), log *slog.Logger) error {
	if port == 0 {
		return nil
	}
	first, last := s.SparePorts[0], s.SparePorts[len(s.SparePorts)-1]
	if port <= first || port > last {
		return errors.Newf("--metrics %d: none of the machine's spare ports after the first, which are %d to %d",
			port, first+1, last)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p := Scrape{metrics.NewSet()}
		read(p)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		p.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		fmt.Fprintln(w)
	})
	_, err := Serve(ctx, net.JoinHostPort(s.IP, strconv.Itoa(port)), mux, log)
	return errors.Wrap(err, "metrics")
}
