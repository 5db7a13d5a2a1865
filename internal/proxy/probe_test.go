package proxy

import (
	"net/http"
	"testing"
	"time"

	"beechwing/balancer"
)

// TestProbes checks that every probe has exactly one result, with the load report if the host sends one.
func TestProbes(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		want      balancer.Result
		report    int
	}{
		{"healthy, with a report", httpOK(`{"inflight":3,"queue":1,"util":0.5}`), balancer.OK, 3},
		{"healthy, report invalid", httpOK(`{"inflight":`), balancer.OK, 0},
		{"unhealthy", "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", balancer.Rejected, 0},
		{"path unknown to the host", "HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n", balancer.Errored, 0},
		{"garbage", "nonsense\r\n\r\n", balancer.Malformed, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t, respondWith(c.raw))
			s := newFakeBalancer()
			g := startOneHost(t, h, s.install)
			g.p.owner.post(ownerFunc(func(o *owner) { o.Probe(hostID("h1")) }))
			p := s.probes.next(t, "the result")
			if p.Result != c.want || len(p.Report) != c.report || p.Host != hostID("h1") || p.Took <= 0 {
				t.Fatalf("result %+v", p)
			}
			if r := h.requests.next(t, "the probe"); r.Method != "GET" || r.URL.Path != loadReportPath {
				t.Errorf("asked %s %s", r.Method, r.URL)
			}
			g.p.owner.post(ownerFunc(func(o *owner) { o.Probe(hostID("nobody")) }))
			if p := s.probes.next(t, "the other result"); p.Result != balancer.ConnectFailed {
				t.Errorf("an unknown host: %+v", p)
			}
		})
	}
	t.Run("without reports", func(t *testing.T) {
		h := newFakeHost(t, respondWith(httpOK("")))
		s := newFakeBalancer()
		g := startOneHost(t, h, s.install, func(p *Proxy) { p.cfg.Settings.Report.How = "none" })
		g.p.owner.post(ownerFunc(func(o *owner) { o.Probe(hostID("h1")) }))
		if p := s.probes.next(t, "the result"); p.Result != balancer.OK || p.Report != nil {
			t.Fatalf("result %+v", p)
		}
		if r := h.requests.next(t, "the probe"); r.URL.Path != probePath {
			t.Errorf("asked %s", r.URL)
		}
	})
}

// TestProbeOnKeptConnection checks that the deadline of one call does not apply to the next call on the same connection.
func TestProbeOnKeptConnection(t *testing.T) {
	h := newFakeHost(t, respondWith(httpOK(`{"util":0.5}`)))
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install)
	if a := g.raw(requestText("read", "", "X-Remaining: 300m")); a.status != http.StatusOK {
		t.Fatalf("answered %d", a.status)
	}
	h.requests.next(t, "the request")
	time.Sleep(350 * time.Millisecond) // past the request's deadline
	g.p.owner.post(ownerFunc(func(o *owner) { o.Probe(hostID("h1")) }))
	if p := s.probes.next(t, "the result"); p.Result != balancer.OK {
		t.Fatalf("result %+v", p)
	}
	if r := h.requests.next(t, "the probe"); !r.reusedConn {
		t.Fatal("the probe used a new connection")
	}
}
