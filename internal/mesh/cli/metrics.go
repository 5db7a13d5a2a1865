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

// Page is one reading of a process's figures.
type Page struct{ set *metrics.Set }

// Count notes a figure that only grows; labels are pairs of name and value.
func (p Page) Count(name string, n uint64, labels ...string) {
	p.set.GetOrCreateCounter(series(name, labels)).Set(n)
}

// Gauge notes a figure as it is now.
func (p Page) Gauge(name string, v float64, labels ...string) {
	p.set.GetOrCreateGauge(series(name, labels), nil).Set(v)
}

// Flag notes whether something is so, as 1 or 0.
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

// Metrics serves a process's figures in the usual text format (https://prometheus.io/docs/instrumenting/exposition_formats/) at a
// port of the machine's sparePorts. Port 0: nowhere. read is called for each reading.
func Metrics(ctx context.Context, d *bootstrap.Settings, port int, read func(Page), log *slog.Logger) error {
	if port == 0 {
		return nil
	}
	first, last := d.SparePorts[0], d.SparePorts[len(d.SparePorts)-1]
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
	_, err := Serve(ctx, net.JoinHostPort(d.IP, strconv.Itoa(port)), mux, log)
	return errors.Wrap(err, "metrics")
}
