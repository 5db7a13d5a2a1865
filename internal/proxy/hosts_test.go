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

// TestDrainWhileQueued: a host starts to drain while attempts wait for a connection to it. After the grace time no
// request may be sent to it.
func TestDrainWhileQueued(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install)
	up := g.p.hosts.find(hostID("h1"))
	up.mu.Lock() // holds the attempts up on their way to a connection
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			if a := g.raw(requestText("write", "x")); a.status != http.StatusBadGateway {
				t.Errorf("got status %d", a.status)
			}
		})
	}
	// The drain was learned so long ago that the grace time is over.
	up.drainedAt = g.p.hosts.clock.now() - g.p.hosts.settings.Load().drainGraceSeconds - 1
	up.mu.Unlock()
	for range 8 {
		if o := s.outcomes.next(t, "an outcome"); !o.Result.NeverRan() {
			t.Errorf("outcome %+v", o)
		}
	}
	wg.Wait()
	h.requests.none(t, "a draining host got a request")
}

// TestDrained: a host that is listed as draining gets no new requests, and its idle connections are closed.
func TestDrained(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h1.addr()))
	g := startProxy(t, l.addr(), "null", func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 1000 })
	g.waitReady()
	g.raw(requestText("read", ""))
	h1.requests.next(t, "a request")
	drains := entry("h1", h1.addr())
	drains.State = "draining"
	l.set(drains, entry("h2", h2.addr()))
	if err := h1.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection ended with %v", err)
	}
	g.awaitListApplied(l)
	for n := range 20 {
		if a := g.raw(requestText("read", "", fmt.Sprintf("X-Entity: k%d", n))); a.status != http.StatusOK {
			t.Fatalf("got status %d", a.status)
		}
	}
	h1.requests.none(t, "the draining host got a request")
}

// TestMovedHost: a host that is listed under a new address gets its requests there, and none at the old address.
func TestMovedHost(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h", h1.addr()))
	g := startProxy(t, l.addr(), "null")
	g.waitReady()
	g.raw(requestText("read", ""))
	h1.requests.next(t, "a request at the first address")
	l.set(entry("h", h2.addr()))
	g.awaitListApplied(l)
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("got status %d", a.status)
	}
	h2.requests.next(t, "a request at the second address")
	h1.requests.none(t, "a request at the first address")
}

// TestIdleRetired: the proxy closes an idle connection before the host does.
func TestIdleRetired(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, func(p *Proxy) { p.cfg.Settings.Limits.ConnIdleS = 0.02 })
	g.raw(requestText("read", ""))
	if err := h.ended.next(t, "the end of the idle connection"); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection ended with %v", err)
	}
}

// TestFewDescriptors: if idle connections use up the limit of connections to hosts, the oldest is closed for a new one.
func TestFewDescriptors(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	// The key selects the host: keys and host IDs are hashed alike.
	s.onRequest = func(s *fakeBalancer, r balancer.Request) { s.act.Send(r.ID, balancer.HostID(r.Key), 0) }
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()))
	g := startProxy(t, l.addr(), "null", s.install, func(p *Proxy) {
		p.cfg.Limits.Sockets = reservedDescriptors + overflowConns + 2 // leaves one connection to hosts
	})
	g.waitReady()
	// All requests use one connection: the limit covers clients too, and a closed connection may still count.
	c := g.dial()
	br := bufio.NewReader(c)
	for _, to := range []string{"h1", "h2", "h1"} {
		io.WriteString(c, requestText("write", "x", "X-Entity: "+to))
		if a := readResponse(t, br); a.status != http.StatusOK {
			t.Fatalf("%s: got status %d", to, a.status)
		}
	}
}

// TestNamesAlike: the ID of a host depends on its name only, so that all proxies rank hosts in the same way.
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
		t.Fatal("two names have the same ID")
	}
}
