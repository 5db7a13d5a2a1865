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

// Page is one scrape of a process's metrics.
type Page struct{ set *metrics.Set }

// Count sets a counter; labels are pairs of name and value.
func (p Page) Count(name string, n uint64, labels ...string) {
	p.set.GetOrCreateCounter(series(name, labels)).Set(n)
}

// Gauge sets a gauge; labels are pairs of name and value.
func (p Page) Gauge(name string, v float64, labels ...string) {
	p.set.GetOrCreateGauge(series(name, labels), nil).Set(v)
}

// Flag sets a gauge to 1 or 0.
func (p Page) Flag(name string, yes bool) {
	v := 0.0
	if yes {
		v = 1
	}
	p.Gauge(name, v)
}

func series(name string, labels []string) string {
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

// Metrics serves a process's metrics in Prometheus's text format (https://prometheus.io/docs/instrumenting/exposition_formats/) at a
// port of the machine's sparePorts; with port 0 it does nothing. read is called for each scrape.
func Metrics(ctx context.Context, s *bootstrap.Settings, port int, read func(Page), log *slog.Logger) error {
	if port == 0 {
		return nil
	}
	first, last := s.SparePorts[0], s.SparePorts[len(s.SparePorts)-1]
	if port <= first || port > last {
		return errors.Newf("--metrics %d: is none of the machine's spare ports after its first, %d to %d", port, first+1, last)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p := Page{metrics.NewSet()}
		read(p)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		p.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		fmt.Fprintln(w)
	})
	_, err := Serve(ctx, net.JoinHostPort(s.IP, strconv.Itoa(port)), mux, log)
	return errors.Wrap(err, "metrics")
}
