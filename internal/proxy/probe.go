package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"beechwing/balancer"
	"beechwing/internal/wire"
)

const (
	probeTimeout   = time.Second // a host that takes longer counts as unhealthy
	probePath      = "/ping"
	loadReportPath = "/_load" // like probePath, with the load report as the response body
)

// probeRequest is a GET request for a path. It is idempotent, so it may be written in one go, without a
// check of the connection before the last byte.
type probeRequest string

func (q probeRequest) write(l messageConn) error {
	_, err := fmt.Fprintf(l, "GET %s HTTP/1.1\r\nHost: api.internal\r\n\r\n", string(q))
	return err
}

// responseStarted rejects responses that are too long for a load report.
func (probeRequest) responseStarted(hostResponse) bool { return false }

// run probes a host and returns the result. It asks for the load report if the settings name columns of one.
func (p probeEnded) run(ctx context.Context, up *upstream) probeEnded {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	path := probePath
	if len(up.pool.settings.Load().reportColumns) > 0 {
		path = loadReportPath
	}
	r, result := up.exchange(ctx, probeRequest(path))
	if p.result = result; result == balancer.Errored && r.status == http.StatusServiceUnavailable {
		p.result = balancer.Rejected
	}
	if p.report = r.loadReport; p.report == nil && r.body.Size <= wire.BufferSize && len(r.body.Bufs) > 0 {
		p.report = parseReport(string(r.body.Bufs[0][:r.body.Size]), up.pool.settings.Load().reportColumns)
	}
	up.pool.bufs.FreeBody(&r.body)
	return p
}
