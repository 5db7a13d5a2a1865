package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"beechwing/balancer"
)

const (
	probeTime  = time.Second // a host that takes longer to say how it is, is not well
	probePath  = "/ping"
	reportPath = "/_load" // the same, with the load report as its body
)

// run asks a host how it is and makes exactly one result.
func (p probed) run(ctx context.Context, up *upstream) probed {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	path := probePath
	if len(up.hosts.columns) > 0 {
		path = reportPath
	}
	r, result := up.exchange(ctx, func(c net.Conn, _ func() error) error { // one that runs twice does no harm
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: api.internal\r\n\r\n", path)
		return err
	})
	if p.result = result; result == balancer.Errored && r.status == http.StatusServiceUnavailable {
		p.result = balancer.TurnedAway
	}
	if p.report = r.report; p.report == nil && r.body.size <= bufferSize && len(r.body.bufs) > 0 {
		p.report = parseReport(string(r.body.bufs[0][:r.body.size]), up.hosts.columns)
	}
	up.hosts.bufs.freeBody(&r.body)
	return p
}
