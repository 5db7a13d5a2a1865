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
	probeTime  = time.Second // a host that takes longer to say how it is, is not well
	probePath  = "/ping"
	reportPath = "/_load" // the same, with the load report as its body
)

// question is a call for a path. One that runs twice does no harm.
type question string

func (q question) write(l messageConn) error {
	_, err := fmt.Fprintf(l, "GET %s HTTP/1.1\r\nHost: api.internal\r\n\r\n", string(q))
	return err
}

// responseStarted wants no answer that is longer than any report.
func (question) responseStarted(hostResponse) bool { return false }

// run asks a host how it is and makes exactly one result.
func (p probeEnded) run(ctx context.Context, up *upstream) probeEnded {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	path := probePath
	if len(up.pool.settings.Load().reportColumns) > 0 {
		path = reportPath
	}
	r, result := up.exchange(ctx, question(path))
	if p.result = result; result == balancer.Errored && r.status == http.StatusServiceUnavailable {
		p.result = balancer.Rejected
	}
	if p.report = r.loadReport; p.report == nil && r.body.Size <= wire.BufferSize && len(r.body.Bufs) > 0 {
		p.report = parseReport(string(r.body.Bufs[0][:r.body.Size]), up.pool.settings.Load().reportColumns)
	}
	up.pool.bufs.FreeBody(&r.body)
	return p
}
