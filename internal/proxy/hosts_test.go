package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"beechwing/balancer"
)

// TestDrainWhileQueued: word of a drain comes while attempts wait for a connection. Past the grace none is written.
func TestDrainWhileQueued(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	s := newScript()
	s.request = sends("h1")
	g := one(t, h, s.decides)
	up := g.p.hosts.find(hostID("h1"))
	up.mu.Lock() // attempts stop on their way to a connection
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if a := g.raw(message("write", "x")); a.status != http.StatusBadGateway {
				t.Errorf("answered %d", a.status)
			}
		})
	}
	// Told so long ago that the grace is over.
	up.drained = g.p.hosts.clock.now() - g.p.hosts.by.Load().grace - 1
	up.mu.Unlock()
	for range 8 {
		if o := s.outcomes.next(t, "an outcome"); !o.Result.NeverRan() {
			t.Errorf("outcome %+v", o)
		}
	}
	wg.Wait()
	h.requests.none(t, "something was written to a draining host")
}

// TestDrained: once the list says that a host drains it gets nothing new, and its idle connections are closed.
func TestDrained(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h1.addr()))
	g := start(t, l.addr(), "null", func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 1000 })
	g.waitReady()
	g.raw(message("read", ""))
	h1.requests.next(t, "a request")
	drains := entry("h1", h1.addr())
	drains.State = "draining"
	l.set(drains, entry("h2", h2.addr()))
	if err := h1.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("it ended with %v", err)
	}
	g.settled(l)
	for n := range 20 {
		if a := g.raw(message("read", "", fmt.Sprintf("X-Entity: k%d", n))); a.status != http.StatusOK {
			t.Fatalf("answered %d", a.status)
		}
	}
	h1.requests.none(t, "the draining host got a request")
}

// TestMovedHost: a host that comes back under another address is reached there, and only there.
func TestMovedHost(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h", h1.addr()))
	g := start(t, l.addr(), "null")
	g.waitReady()
	g.raw(message("read", ""))
	h1.requests.next(t, "a request at the first address")
	l.set(entry("h", h2.addr()))
	g.settled(l)
	if a := g.raw(message("read", "")); a.status != http.StatusOK {
		t.Fatalf("answered %d", a.status)
	}
	h2.requests.next(t, "a request at the second address")
	h1.requests.none(t, "a request at the first address")
}

// TestIdleRetired: an idle connection is closed before the host would.
func TestIdleRetired(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 0.02 })
	g.raw(message("read", ""))
	if err := h.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("it ended with %v", err)
	}
}

// TestFewDescriptors: with all places for connections to hosts taken by idle ones, the oldest makes room.
func TestFewDescriptors(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	s := newScript()
	s.request = func(s *script, r balancer.Request) { s.act.Send(r.ID, balancer.HostID(r.Key), 0) } // hashed alike
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()))
	g := start(t, l.addr(), "null", s.decides, func(p *Proxy) {
		p.cfg.Limits.Sockets = reservedDescriptors + overflowConns + 2 // one to hosts
	})
	g.waitReady()
	c := g.dial() // one for all: the bound holds for clients too, and one that has just left may still count
	br := bufio.NewReader(c)
	for _, to := range []string{"h1", "h2", "h1"} {
		io.WriteString(c, message("write", "x", "X-Entity: "+to))
		if a := hear(t, br); a.status != http.StatusOK {
			t.Fatalf("%s: answered %d", to, a.status)
		}
	}
}

// TestNamesAlike: the number of a host depends on its name only, so that all proxies rank hosts alike.
func TestNamesAlike(t *testing.T) {
	read := func(addr string) balancer.HostID {
		c, err := parseCatalog([]byte(listText(1, true, entry("s-5be2a07c", addr))), newZoneTable())
		if err != nil {
			t.Fatal(err)
		}
		return c.hosts[0].ID
	}
	if a, b := read("127.0.0.1:80"), read("127.9.9.9:8080"); a != b || a != 0xace623f1fdc27c8a {
		t.Fatalf("%x and %x", a, b)
	}
	if hostID("s-5be2a07c") == hostID("s-5be2a07d") {
		t.Fatal("two names have one number")
	}
}
