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

// TestLookBeforeUse: a connection that the host has closed, or said something unasked on, does not take a call, even
// if the goroutine that watches it has not run yet. Here there is none.
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
			if !fresh.begin(newCall()) {
				t.Fatal("a quiet connection is not taken")
			}
			close(ready)
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				bytes, ended := wire.Arrived(conn)
				if bytes == c.bytes && ended == c.ended {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("bytes %v, ended %v", bytes, ended)
				}
			}
			if (&hostConn{conn: conn}).begin(newCall()) {
				t.Fatal("it takes a call")
			}
		})
	}
}

// TestNoPlaceInTime: with all places for connections taken, an attempt does not outlast its time waiting for one.
func TestNoPlaceInTime(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h)
	hosts := g.p.hosts
	hosts.by.Store(&hostSettings{connect: patience, idle: hosts.by.Load().idle})
	for hosts.room.takeHost() {
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, result := hosts.find(hostID("h1")).exchange(ctx, probeRequest("/"))
	if took := time.Since(began); result != balancer.ConnectFailed || took > patience/2 {
		t.Fatalf("%v after %v", result, took)
	}
	for hosts.room.hostCount() > 0 {
		hosts.room.giveHost()
	}
}

// TestRestartedHost: idle connections to a host's old process are not kept once the list tells of a new one.
func TestRestartedHost(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := start(t, l.addr(), "null", func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 1000 })
	g.waitReady()
	g.raw(message("read", ""))
	again := entry("h1", h.addr())
	again.Started = time.Now().UnixMilli()
	l.set(again)
	if err := h.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("it ended with %v", err)
	}
}

// TestReplacedHosts: thousands of hosts that come under new ids, at addresses of those that have gone, and thousands of
// clients that ask once leave nothing behind: no host, id, flight or connection beyond those of the last.
func TestReplacedHosts(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newScript()
	s.request = sends("h1")
	g := start(t, l.addr(), "null", s.decides)
	g.waitReady()
	for n := range 3000 {
		list := catalog{full: true, hosts: []balancer.Host{{ID: hostID("h1"), Status: balancer.Ready},
			{ID: balancer.HostID(n), Status: balancer.Ready}}, addrs: []string{h.addr(), h.addr()}}
		g.p.hosts.update(balancer.ListFull, list, float64(n))
		if n%10 == 0 {
			if a := g.raw(message("read", "")); a.status != http.StatusOK {
				t.Fatalf("request %d got %d", n, a.status)
			}
		}
	}
	sizes := make(watched[[3]int], 1)
	g.p.owner.post(ownerFunc(func(o *owner) { sizes <- [3]int{len(o.hosts.all), len(o.pending), len(o.openIDs)} }))
	if got := sizes.next(t, "the sizes"); got != [3]int{2, 0, 0} {
		t.Errorf("hosts, flights and ids left: %v", got)
	}
	if n := g.p.hosts.room.hostCount(); n > 1 {
		t.Errorf("%d connections to hosts", n)
	}
}
