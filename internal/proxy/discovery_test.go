package proxy

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"beechwing/balancer"
)

// openDescriptors counts the open file descriptors of this process.
func openDescriptors(t testing.TB) int {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc/self/fd here")
	}
	return len(open)
}

// TestCatalog checks that invalid entries are skipped and the others are used.
func TestCatalog(t *testing.T) {
	c, err := parseCatalog([]byte(`{"version":41,"full":true,"servers":[
 {"id":"a","addr":"127.0.0.1:1","zone":"y","cell":3,"state":"ready","weight":2.5,"started_ms":1500},
 {"id":"b","addr":"127.0.0.1:2","zone":"nowhere","state":"draining"},
 {"id":"c","state":"gone"}, {"id":"d","addr":"127.0.0.1:3","state":"confused"}, {"addr":"127.0.0.1:4","state":"ready"},
 {"id":"e","addr":"no address","state":"ready"}, 17, {"id":5}, null,
 {"id":"f","addr":"127.0.0.1:5","state":"ready","started_ms":-4, "novel": [1]}]}`), newZoneTable("x", "y"))
	if err != nil {
		t.Fatal(err)
	}
	want := []balancer.Host{
		{ID: hostID("a"), Weight: 2.5, Zone: 1, Cell: 3, Status: balancer.Ready, Started: 1.5},
		{ID: hostID("b"), Zone: 2, Status: balancer.Draining},
		{ID: hostID("c"), Zone: 3, Status: balancer.Removed},
		{ID: hostID("f"), Zone: 3, Status: balancer.Ready},
	}
	if c.version != 41 || !c.full || len(c.hosts) != len(want) || len(c.addrs) != len(want) {
		t.Fatalf("got %+v", c)
	}
	for i, h := range c.hosts {
		if h != want[i] {
			t.Errorf("entry %d is %+v, want %+v", i, h, want[i])
		}
	}
	for _, text := range []string{"", "[]", `{"servers":[]}`, `{"version":-1}`, `{"version":1,"servers":{}}`} {
		if _, err := parseCatalog([]byte(text), newZoneTable()); err == nil {
			t.Errorf("%q was accepted as a list", text)
		}
	}
}

// TestWatch checks the order of events: first the list from the configuration, as a cached one, then the result of one call
// that does not wait, then a watch whose calls follow one another on one connection.
func TestWatch(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newFakeBalancer()
	startProxy(t, l.addr(), listText(1, true, entry("old", h.addr())), s.install)
	if e := s.lists.next(t, "the cached list"); e.kind != balancer.ListCached || e.hosts[0].ID != hostID("old") {
		t.Fatalf("event %+v", e)
	}
	if call := l.calls.next(t, "a call"); call != "/catalog/members?since=1&timeout_ms=1" {
		t.Fatalf("first call %s", call)
	}
	if e := s.lists.next(t, "the first answer"); e.kind != balancer.ListChanges || len(e.hosts) != 0 {
		t.Fatalf("event %+v", e)
	}
	for version := range 20 {
		if call := l.calls.next(t, "a call"); !strings.HasSuffix(call, "&timeout_ms=5000") {
			t.Fatalf("call %s", call)
		}
		l.set(entry("h1", h.addr()))
		if e := s.lists.next(t, "a list"); e.kind != balancer.ListFull || e.hosts[0].ID != hostID("h1") {
			t.Fatalf("event %+v after version %d", e, version+2)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) != 1 {
		t.Errorf("%d connections", len(l.open))
	}
}

// TestFetch checks a single call for the full list, and the event when it fails.
func TestFetch(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newFakeBalancer()
	g := startProxy(t, l.addr(), "null", func(p *Proxy) {
		p.newHandler = func(_ float64, _ balancer.Config, act balancer.Actions) balancer.Handler { return s }
	})
	s.lists.next(t, "the cached list")
	g.p.owner.post(ownerFunc(func(o *owner) { o.Fetch() }))
	if e := s.lists.next(t, "the list"); e.kind != balancer.ListFull || len(e.hosts) != 1 {
		t.Fatalf("event %+v", e)
	}
	if call := l.calls.next(t, "the call"); call != membersPath {
		t.Fatalf("call %s", call)
	}
	l.close()
	g.p.owner.post(ownerFunc(func(o *owner) { o.Fetch() }))
	if e := s.lists.next(t, "the failure"); e.kind != balancer.ListFailed {
		t.Fatalf("event %+v", e)
	}
}

// TestListFails checks that any kind of failed call causes a ListFailed event and leaves the previous list in force, and that
// the next call succeeds.
func TestListFails(t *testing.T) {
	for _, c := range []struct{ name, raw string }{
		{"garbage", "nonsense\r\n\r\n"},
		{"not JSON", httpOK("{")},
		{"no version", httpOK(`{"servers":[]}`)},
		{"older version", httpOK(listText(3, true, entry("h1", "127.0.0.1:1")))},
		{"no entry", httpOK(listText(6, true))},
		{"no entry that can be used", httpOK(listText(6, true, entry("h1", "nowhere")))},
		{"unavailable", "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxListBytes)},
		{"endless body", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat(" ", maxListBytes)},
		{"closed", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t, respondWith(okResponse))
			l := newFakeDiscovery(t, entry("h1", h.addr()))
			l.version, l.rawResponses = 5, []string{c.raw}
			s := newFakeBalancer()
			s.onRequest = sendsOnceTo("h1")
			g := startProxy(t, l.addr(), listText(5, true, entry("h1", h.addr())), s.install)
			s.lists.next(t, "the cached list")
			if e := s.lists.next(t, "the failure"); e.kind != balancer.ListFailed || len(e.hosts) != 0 {
				t.Fatalf("event %+v", e)
			}
			if a := g.raw(requestText("read", "")); a.status != 200 {
				t.Fatalf("with the previous list: answered %d", a.status)
			}
			g.p.owner.post(ownerFunc(func(o *owner) { o.Watch() }))
			if e := s.lists.next(t, "the next answer"); e.kind != balancer.ListChanges {
				t.Fatalf("event %+v", e)
			}
		})
	}
}

// TestSilentDiscovery checks that a call without a response fails in time, and that one that cannot connect fails too.
func TestSilentDiscovery(t *testing.T) {
	quiet := newFakeServer(t, func(c net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) })
	s := newFakeBalancer()
	startProxy(t, quiet.addr(), listText(5, true, entry("h1", "127.0.0.1:1")), s.install,
		func(p *Proxy) { p.times.listCallTimeout = 50 * time.Millisecond })
	s.lists.next(t, "the cached list")
	if e := s.lists.next(t, "the failure"); e.kind != balancer.ListFailed {
		t.Fatalf("event %+v", e)
	}
	s2 := newFakeBalancer()
	startProxy(t, refusingAddr, listText(5, true, entry("h1", "127.0.0.1:1")), s2.install)
	s2.lists.next(t, "the cached list")
	if e := s2.lists.next(t, "the failure"); e.kind != balancer.ListFailed {
		t.Fatalf("event %+v", e)
	}
}

// TestSpentConnection checks that the watch continues on a new connection after discovery closes one with its response.
func TestSpentConnection(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	l.rawResponses = []string{
		strings.Replace(httpOK(listText(1, true, entry("h1", h.addr()))), "\r\n", "\r\nConnection: close\r\n", 1)}
	s := newFakeBalancer()
	startProxy(t, l.addr(), "null", s.install)
	s.lists.next(t, "the cached list")
	s.lists.next(t, "the first answer")
	l.calls.next(t, "the first call")
	l.calls.next(t, "the second call")
	l.set(entry("h1", h.addr()), entry("h2", h.addr()))
	if e := s.lists.next(t, "the change"); e.kind != balancer.ListFull || len(e.hosts) != 2 {
		t.Fatalf("event %+v", e)
	}
}

// TestSpentInALargeFleet checks a proxy of a large fleet, which pauses between calls once one has failed. If discovery
// closes the connection with its response, the call that ends the watch must use a new connection instead of failing.
func TestSpentInALargeFleet(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	l.rawResponses = []string{"HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n",
		strings.Replace(httpOK(listText(1, true, entry("h1", h.addr()))), "\r\n", "\r\nConnection: close\r\n", 1)}
	s := newFakeBalancer()
	g := startProxy(t, l.addr(), "null", s.install, func(p *Proxy) { p.cfg.Balancer.Balancers, p.cfg.Balancer.AskWithin = 80, 1 })
	s.lists.next(t, "the cached list")
	if e := s.lists.next(t, "the failure"); e.kind != balancer.ListFailed {
		t.Fatalf("event %+v", e)
	}
	g.p.owner.post(ownerFunc(func(o *owner) { o.Watch() }))
	for _, want := range []balancer.ListKind{balancer.ListFull, balancer.ListChanges} {
		if e := s.lists.next(t, "an answer"); e.kind != want {
			t.Fatalf("event %+v, not of kind %d", e, want)
		}
	}
}

// TestModuleAsksAgain checks that the real balancer retries after a failed call.
func TestModuleAsksAgain(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	l.rawResponses = []string{"", "nonsense\r\n\r\n"}
	g := startProxy(t, l.addr(), "null", func(p *Proxy) { p.cfg.Balancer.AskWithin = 0.2 })
	g.waitReady()
	for range 3 {
		l.calls.next(t, "a call")
	}
}

// TestSilentWatch checks that a watch without a response is reported as a failure and repeated at once on another
// connection, and that the first response there has the changes made in the meantime.
func TestSilentWatch(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	s := newFakeBalancer()
	startProxy(t, l.addr(), listText(1, true, entry("h1", h.addr())), s.install, func(p *Proxy) {
		p.cfg.Balancer.AskWithin, p.times.watchGrace = 0.001, 50*time.Millisecond // a watch waits 1 s
		l.unansweredWatches = 1
	})
	for _, want := range []balancer.ListKind{balancer.ListCached, balancer.ListChanges, balancer.ListFailed,
		balancer.ListFull} {
		if e := s.lists.next(t, "an event"); e.kind != want {
			t.Fatalf("event %+v, want %v", e, want)
		}
		if want == balancer.ListChanges {
			l.calls.next(t, "the first call")
			l.calls.next(t, "the watch")
			l.set(entry("h1", h.addr()), entry("h2", h.addr())) // not reported by the silent watch
		}
	}
	if call := l.calls.next(t, "a call"); call != "/catalog/members?since=1&timeout_ms=1" {
		t.Fatalf("asked %s", call)
	}
}
