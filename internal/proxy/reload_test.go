package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"beechwing/balancer"
)

// fakeConfigFile stands in for the configuration file. It determines what a reload reads, and collects what is logged.
type fakeConfigFile struct {
	mu     sync.Mutex
	change func(*Config) error // changes a copy of the first configuration, or fails
	logged eventChan[string]   // messages logged by reloads
}

// withConfigFile gives a proxy a fake configuration file for reloads. By default it does not change.
func withConfigFile() (*fakeConfigFile, func(*Proxy)) {
	r := &fakeConfigFile{change: func(*Config) error { return nil }, logged: make(eventChan[string], 64)}
	return r, func(p *Proxy) {
		first := *p.cfg
		p.cfg.reload = func() (*Config, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			c := first
			return &c, r.change(&c)
		}
		core, _ := observer.New(zap.InfoLevel)
		p.log = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
			if e.Level == zap.ErrorLevel || e.Message == "discovery has moved" ||
				e.Message == "configuration read again, discovery is where it was" ||
				e.Message == "settings in force" || e.Level == zap.WarnLevel {
				r.logged <- e.Message
			}
			return nil
		}))
	}
}

func (r *fakeConfigFile) set(f func(*Config) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.change = f
}

// withDiscovery returns a change that sets the address of discovery.
func withDiscovery(addr string) func(*Config) error {
	return func(c *Config) error { c.file.Discovery = addr; return nil }
}

// TestReloadMoves checks a reload with another address of discovery. The proxy fetches the full list there and accepts it
// even though its version is lower. The balancer sees no failure, and hosts that are still listed keep their connections.
// A reload with the first address works the same way.
func TestReloadMoves(t *testing.T) {
	h, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	old, next := newFakeDiscovery(t, entry("h1", h.addr())), newFakeDiscovery(t, entry("h1", h.addr()), entry("h2", h2.addr()))
	old.set(entry("h1", h.addr()))
	old.set(entry("h1", h.addr())) // version 3
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	file, f := withConfigFile()
	g := startProxy(t, old.addr(), "null", s.install, f)
	g.waitReady()
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("before the reload: %d", a.status)
	}
	for len(s.lists) > 0 {
		<-s.lists
	}
	for _, to := range []*fakeDiscovery{next, old} {
		for len(to.calls) > 0 {
			<-to.calls
		}
		file.set(withDiscovery(to.addr()))
		g.p.Reload()
		if call := to.calls.next(t, "a call to the new address"); call != membersPath {
			t.Fatalf("first call %s", call)
		}
		if e := s.lists.next(t, "the list"); e.kind != balancer.ListFull || len(e.hosts) != len(to.entries) {
			t.Fatalf("event %+v", e)
		}
		to.calls.next(t, "the watch")
	}
	s.lists.none(t, "an event other than the two lists")
	h.requests.next(t, "the first request")
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK || !h.requests.next(t, "a request").reusedConn {
		t.Error("the host's connection was not kept")
	}
	next.mu.Lock()
	defer next.mu.Unlock()
	if len(next.open) > 1 {
		t.Errorf("%d connections to the previous discovery service", len(next.open))
	}
}

// TestReloadRefused checks that a file changes nothing if it is unreadable, invalid or unchanged, or if it only changes what
// takes effect at the next start. Each case is logged, and the watch continues.
func TestReloadRefused(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	file, f := withConfigFile()
	g := startProxy(t, l.addr(), "null", s.install, f)
	g.waitReady()
	for _, c := range []struct {
		name, log string
		change    func(*Config) error
	}{
		{"unreadable", "configuration not read again, the old one stays",
			func(*Config) error { return errors.New("no such file") }},
		{"no address", "configuration not read again, the old one stays", withDiscovery("nonsense")},
		{"unchanged", "configuration read again, discovery is where it was", func(*Config) error { return nil }},
		{"other limits", "a change that waits for the next start",
			func(c *Config) error { c.file.Limits.Sockets++; return nil }},
	} {
		file.set(c.change)
		g.p.Reload()
		for got := ""; got != c.log; {
			got = file.logged.next(t, c.name)
		}
	}
	l.set(entry("h1", h.addr()))
	for e := s.lists.next(t, "a list"); e.kind != balancer.ListFull || len(e.hosts) != 1; {
		e = s.lists.next(t, "the list after the reloads")
	}
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("after the reloads: %d", a.status)
	}
}

// TestReloadAnyTime checks that Reload is harmless before the start, many times in a row, while draining and after the end.
func TestReloadAnyTime(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	_, f := withConfigFile()
	g := startProxy(t, l.addr(), "null", f, func(p *Proxy) {
		p.Reload()
		drain := p.phaseFuncs[Draining]
		p.phaseFuncs[Draining] = func(ctx context.Context) (Phase, error) {
			<-release.opened
			return drain(ctx)
		}
	})
	g.waitReady()
	for range 100 {
		g.p.Reload()
	}
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("answer %d", a.status)
	}
	g.shutDown()
	g.p.Reload()
	release.open()
	g.stop()
	g.p.Reload()
}

// TestSameJSON checks that only white space is ignored.
func TestSameJSON(t *testing.T) {
	if !sameJSON([]byte(`{"a": 1}`), []byte("{\n\"a\":1}")) || sameJSON([]byte(`{"a":1}`), []byte(`{"a":2}`)) {
		t.Fatal("sameJSON is wrong")
	}
}
