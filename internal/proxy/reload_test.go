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

// rereads stands in for the file of the configuration: what it holds now, and how often it was read.
type fakeConfigFile struct {
	mu     sync.Mutex
	change func(*Config) error // changes a copy of the configuration, or fails
	logged watched[string]     // what was logged of each reading
}

// reloads gives a rig's proxy a file to read again. By default nothing in it changes.
func withConfigFile() (*fakeConfigFile, func(*Proxy)) {
	r := &fakeConfigFile{change: func(*Config) error { return nil }, logged: make(watched[string], 64)}
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
				e.Message == "configuration read again, discovery is where it was" || e.Message == "settings in force" || e.Level == zap.WarnLevel {
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

// movesTo is a file whose discovery is at addr.
func withDiscovery(addr string) func(*Config) error {
	return func(c *Config) error { c.file.Discovery = addr; return nil }
}

// TestReloadMoves: discovery is followed to the address that the file names now. Its whole list is asked for and
// believed, though its versions are lower; the module hears of no failure, and hosts that are still listed keep their
// connections. Back again it goes the same way.
func TestReloadMoves(t *testing.T) {
	h, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	old, next := newFakeDiscovery(t, entry("h1", h.addr())), newFakeDiscovery(t, entry("h1", h.addr()), entry("h2", h2.addr()))
	old.set(entry("h1", h.addr()))
	old.set(entry("h1", h.addr())) // version 3
	s := newScript()
	s.request = sends("h1")
	file, f := withConfigFile()
	g := start(t, old.addr(), "null", s.decides, f)
	g.waitReady()
	if a := g.raw(message("read", "")); a.status != http.StatusOK {
		t.Fatalf("before: %d", a.status)
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
		if call := to.calls.next(t, "a call at the new address"); call != membersPath {
			t.Fatalf("first call %s", call)
		}
		if e := s.lists.next(t, "the list"); e.kind != balancer.ListFull || len(e.hosts) != len(to.entries) {
			t.Fatalf("event %+v", e)
		}
		to.calls.next(t, "the watch")
	}
	s.lists.none(t, "an event beside the two lists")
	h.requests.next(t, "the first request")
	if a := g.raw(message("read", "")); a.status != http.StatusOK || !h.requests.next(t, "a request").reusedConn {
		t.Error("the host's connection was not kept")
	}
	next.mu.Lock()
	defer next.mu.Unlock()
	if len(next.open) > 1 {
		t.Errorf("%d connections to a discovery that was left", len(next.open))
	}
}

// TestReloadRefused: a file that cannot be read, or makes no sense, changes nothing; nor does one that has not changed,
// or changes what waits for the next start. Each is logged, and the watch goes on.
func TestReloadRefused(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newScript()
	s.request = sends("h1")
	file, f := withConfigFile()
	g := start(t, l.addr(), "null", s.decides, f)
	g.waitReady()
	for _, c := range []struct {
		name, log string
		now       func(*Config) error
	}{
		{"unreadable", "configuration not read again, the old one stays",
			func(*Config) error { return errors.New("no such file") }},
		{"no address", "configuration not read again, the old one stays", withDiscovery("nonsense")},
		{"unchanged", "configuration read again, discovery is where it was", func(*Config) error { return nil }},
		{"other limits", "a change that waits for the next start",
			func(c *Config) error { c.file.Limits.Sockets++; return nil }},
	} {
		file.set(c.now)
		g.p.Reload()
		for got := ""; got != c.log; {
			got = file.logged.next(t, c.name)
		}
	}
	l.set(entry("h1", h.addr()))
	for e := s.lists.next(t, "a list"); e.kind != balancer.ListFull || len(e.hosts) != 1; {
		e = s.lists.next(t, "the list after all that")
	}
	if a := g.raw(message("read", "")); a.status != http.StatusOK {
		t.Fatalf("after all that: %d", a.status)
	}
}

// TestReloadAnyTime: before the start, many times at once, while draining and after the end a call does no harm.
func TestReloadAnyTime(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	_, f := withConfigFile()
	g := start(t, l.addr(), "null", f, func(p *Proxy) {
		p.Reload()
		steps := p.phaseFuncs[Draining]
		p.phaseFuncs[Draining] = func(ctx context.Context) (Phase, error) {
			<-release.opened
			return steps(ctx)
		}
	})
	g.waitReady()
	for range 100 {
		g.p.Reload()
	}
	if a := g.raw(message("read", "")); a.status != http.StatusOK {
		t.Fatalf("answer %d", a.status)
	}
	g.tell()
	g.p.Reload()
	release.open()
	g.stop()
	g.p.Reload()
}

// TestSameJSON: white space is no change of the settings.
func TestSameJSON(t *testing.T) {
	if !sameJSON([]byte(`{"a": 1}`), []byte("{\n\"a\":1}")) || sameJSON([]byte(`{"a":1}`), []byte(`{"a":2}`)) {
		t.Fatal("compared wrongly")
	}
}
