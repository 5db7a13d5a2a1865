package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"beechwing/balancer"
	"beechwing/internal/wire"
)

// TestLookBeforeUse: a connection that the host has closed, or on which it has sent bytes, takes no call, even if the
// reading goroutine has not noticed yet. In this test there is no such goroutine.
func TestLookBeforeUse(t *testing.T) {
	for _, c := range []struct {
		name  string
		does  func(net.Conn)
		ended bool
		bytes bool
	}{
		{"closed", func(c net.Conn) { c.Close() }, true, false},
		{"reset", resetConn, true, false},
		{"unasked bytes", func(c net.Conn) { io.WriteString(c, okResponse) }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ready := make(chan struct{})
			h := newFakeServer(t, func(conn net.Conn, br *bufio.Reader) {
				<-ready
				c.does(conn)
				br.ReadByte()
			})
			conn, err := net.Dial("tcp", h.addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fresh := &hostConn{conn: conn}
			if !fresh.startCall(newCall()) {
				t.Fatal("an open idle connection does not take a call")
			}
			close(ready)
			for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				bytes, ended := wire.Pending(conn)
				if bytes == c.bytes && ended == c.ended {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("bytes %v, ended %v", bytes, ended)
				}
			}
			if (&hostConn{conn: conn}).startCall(newCall()) {
				t.Fatal("the connection takes a call")
			}
		})
	}
}

// TestNoPlaceInTime: with all connections to hosts reserved, an attempt that waits for one ends at its deadline.
func TestNoPlaceInTime(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h)
	hosts := g.p.hosts
	hosts.settings.Store(&hostSettings{connectTimeout: testTimeout, idleTimeout: hosts.settings.Load().idleTimeout})
	for hosts.budget.tryAcquireHost() {
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, result := hosts.find(hostID("h1")).exchange(ctx, probeRequest("/"))
	if took := time.Since(began); result != balancer.ConnectFailed || took > testTimeout/2 {
		t.Fatalf("%v after %v", result, took)
	}
	for hosts.budget.hostCount() > 0 {
		hosts.budget.releaseHost()
	}
}

// TestRestartedHost: idle connections to a host's old process are closed once the list shows a new start time.
func TestRestartedHost(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := startProxy(t, l.addr(), "null", func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 1000 })
	g.waitReady()
	g.raw(requestText("read", ""))
	again := entry("h1", h.addr())
	again.Started = time.Now().UnixMilli()
	l.set(again)
	if err := h.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection ended with %v", err)
	}
}

// TestReplacedHosts: thousands of hosts are replaced by hosts with new IDs at the same address, and hundreds of clients
// send one request each. No upstream, request ID, pending request or connection beyond the current ones is left.
func TestReplacedHosts(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startProxy(t, l.addr(), "null", s.install)
	g.waitReady()
	for n := range 3000 {
		list := catalog{full: true, hosts: []balancer.Host{{ID: hostID("h1"), Status: balancer.Ready},
			{ID: balancer.HostID(n), Status: balancer.Ready}}, addrs: []string{h.addr(), h.addr()}}
		g.p.hosts.update(balancer.ListFull, list, float64(n))
		if n%10 == 0 {
			if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
				t.Fatalf("request %d got status %d", n, a.status)
			}
		}
	}
	sizes := make(eventChan[[3]int], 1)
	g.p.owner.post(ownerFunc(func(o *owner) { sizes <- [3]int{len(o.hosts.byID), len(o.pending), len(o.openIDs)} }))
	if got := sizes.next(t, "the sizes"); got != [3]int{2, 0, 0} {
		t.Errorf("hosts, flights and request IDs left: %v", got)
	}
	if n := g.p.hosts.budget.hostCount(); n > 1 {
		t.Errorf("%d connections to hosts", n)
	}
}
