package proxy

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"beechwing/balancer"
)

// withDoor gives a proxy an operators' address and a folder for state.
func withAdminServer(t testing.TB, dir string) func(*Proxy) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return func(p *Proxy) { p.cfg.Ops, p.cfg.StateDir = ln.Addr().String(), dir }
}

// operate makes a call at the door and gives its status and text.
func (g *rig) adminCall(path, body string) (int, string) {
	g.t.Helper()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, "http://"+g.p.cfg.Ops+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	a, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		g.t.Fatal(err)
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

func (g *rig) adminStats() map[string]int {
	g.t.Helper()
	_, text := g.adminCall("/admin/stats", "")
	f := map[string]int{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		n := 0
		if _, err := fmt.Sscan(value, &n); err != nil {
			g.t.Fatalf("line %q", line)
		}
		f[name] = n
	}
	return f
}

// eventually waits until something holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never came that %s", what)
		}
	}
}

// TestFiguresAddUp: under hosts that fail in all ways, each request that was taken ends once in the figures, as its client
// saw it, and attempts are what the hosts took whole.
func TestFiguresAddUp(t *testing.T) {
	var mu sync.Mutex
	whole, rng := 0, rand.New(rand.NewPCG(5, 5))
	faulty := func(c net.Conn, _ receivedRequest) bool {
		mu.Lock()
		whole++
		n := rng.IntN(10)
		mu.Unlock()
		switch n {
		case 0:
			resetConn(c)
			return false
		case 1:
			return respondWith("HTTP/1.1 503 S\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")(c, receivedRequest{})
		case 2:
			return respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(c, receivedRequest{})
		case 3:
			respondWith("nonsense\r\n\r\n")(c, receivedRequest{})
			return false
		}
		return respondWith(okResponse)(c, receivedRequest{})
	}
	h1, h2 := newFakeHost(t, faulty), newFakeHost(t, faulty)
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()), entry("h3", nobody))
	g := start(t, l.addr(), "null", withAdminServer(t, t.TempDir()))
	g.waitReady()
	if f := g.adminStats(); f["proxy.ok.log"] != 0 || len(f) != 3*3+4 {
		t.Fatalf("figures at the start: %v", f)
	}
	seen := map[string]int{}
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Go(func() {
			class := []string{"read", "write", "log"}[n%3]
			a := g.raw(message(class, strings.Repeat("x", n%3), fmt.Sprint("X-Entity: k", n)))
			end := "errors"
			switch a.status {
			case 200:
				end = "ok"
			case 503:
				end = "shed"
			}
			mu.Lock()
			defer mu.Unlock()
			seen["proxy."+end+"."+class]++
		})
		if n%20 == 19 {
			wg.Wait()
		}
	}
	eventually(t, "nothing is active", func() bool { return g.adminStats()["proxy.active"] == 0 })
	f := g.adminStats()
	for name, n := range seen {
		if f[name] != n {
			t.Errorf("%s is %d, clients saw %d", name, f[name], n)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if f["proxy.tries"] != whole || f["proxy.pool_size"] != 3 {
		t.Errorf("%d attempts of %d, %d hosts of 3", f["proxy.tries"], whole, f["proxy.pool_size"])
	}
}

// TestTakeOut: a host that is out gets nothing and loses its idle connections, whatever the list says meanwhile and for the
// next process too, until it is put back, cold. With all hosts out requests are refused, as panic spreads over hosts that
// serve only.
func TestTakeOut(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()))
	dir := t.TempDir()
	g := start(t, l.addr(), "null", withAdminServer(t, dir))
	g.waitReady()
	send := func(g *rig, n int) (status int) {
		for i := range n {
			status = g.raw(message("read", "", fmt.Sprint("X-Entity: k", i))).status
		}
		return status
	}
	want := func(status int, path, who string) {
		t.Helper()
		if got, text := g.adminCall(path, `{"who":"`+who+`"}`); got != status {
			t.Fatalf("%s %s: %d %s", path, who, got, text)
		}
	}
	send(g, 20)
	want(404, "/admin/cordon", "h9")
	want(200, "/admin/cordon", "h1")
	h1.ended.next(t, "the end of an idle connection")
	want(200, "/admin/cordon", "h1") // once more is no harm
	h1.requests = emptied(h1.requests)
	moved := entry("h1", h1.addr())
	moved.Zone, moved.Started = "b", time.Now().UnixMilli()
	l.set(moved, entry("h2", h2.addr()))
	g.settled(l)
	if send(g, 20) != http.StatusOK || len(h1.requests) > 0 {
		t.Fatalf("%d requests at a host that is out", len(h1.requests))
	}
	eventually(t, "the host counts as avoided", func() bool { return g.adminStats()["proxy.pool_ejected"] == 1 })
	g.stop()

	g = start(t, l.addr(), "null", withAdminServer(t, dir))
	g.waitReady()
	if send(g, 20) != http.StatusOK || len(h1.requests) > 0 {
		t.Fatalf("%d requests at a host that is out, after a restart", len(h1.requests))
	}
	want(200, "/admin/cordon", "h2")
	if status := send(g, 1); status != http.StatusServiceUnavailable {
		t.Fatalf("with all hosts out: %d", status)
	}
	want(200, "/admin/uncordon", "h1")
	want(200, "/admin/uncordon", "h1")
	eventually(t, "the host serves again", func() bool { return send(g, 5) == http.StatusOK })
}

// drained empties a channel of what was seen.
func emptied[T any](w watched[T]) watched[T] {
	for len(w) > 0 {
		<-w
	}
	return w
}

// TestBackIsCold: the module hears that a host put back has been started since, also where the list has not said so yet, and a
// word given to one process of an upgrade reaches the other.
func TestBackIsCold(t *testing.T) {
	l := newFakeDiscovery(t, entry("h1", nobody))
	dir := t.TempDir()
	s, other := newScript(), newScript()
	g := start(t, l.addr(), "null", s.decides, withAdminServer(t, dir))
	g.waitReady()
	g2 := start(t, l.addr(), "null", other.decides, withAdminServer(t, dir))
	g2.waitReady()
	heard := func(s *script, what string, is func(balancer.Host) bool) {
		t.Helper()
		for {
			e := s.lists.next(t, what)
			if len(e.hosts) == 1 && is(e.hosts[0]) {
				return
			}
		}
	}
	began := float64(time.Now().Unix())
	g.adminCall("/admin/cordon", `{"who":"h1"}`)
	for _, s := range []*script{s, other} {
		heard(s, "the call out", func(h balancer.Host) bool { return h.Status == balancer.Draining })
	}
	g2.adminCall("/admin/uncordon", `{"who":"h1"}`)
	for _, s := range []*script{s, other} {
		heard(s, "the call back", func(h balancer.Host) bool { return h.Status == balancer.Ready && h.Started >= began })
	}
}

// TestOutIsDurable: what cannot be written is a no and is not in force; a torn file counts as none.
func TestOutIsDurable(t *testing.T) {
	dir := t.TempDir() + "/state"
	s := newScript()
	g := start(t, newFakeDiscovery(t, entry("h1", nobody)).addr(), "null", s.decides, withAdminServer(t, dir))
	g.waitReady()
	if status, text := g.adminCall("/admin/cordon", `{"who":"h1"}`); status != http.StatusServiceUnavailable {
		t.Fatalf("with no folder to write to: %d %s", status, text)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cordonFile(dir, "n1"), []byte(`{"version":1,"sta`), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, text := g.adminCall("/admin/cordon", `{"who":"h1"}`); status != http.StatusOK {
		t.Fatalf("over a torn file: %d %s", status, text)
	}
	if text, err := os.ReadFile(cordonFile(dir, "n1")); err != nil || !bytes.Contains(text, []byte(`"h1"`)) {
		t.Fatalf("the file says %s, %v", text, err)
	}
}

// TestDoorUnderLoad: with the owner held up and its queue full, health and figures are answered in time.
func TestDoorUnderLoad(t *testing.T) {
	hold := newGate()
	defer hold.open()
	s := newScript()
	s.request = func(s *script, r balancer.Request) {
		<-hold.opened
		s.act.Refuse(r.ID, 0)
	}
	g := start(t, newFakeDiscovery(t, entry("h1", nobody)).addr(), "null", s.decides, withAdminServer(t, t.TempDir()))
	g.waitReady()
	for range queueLength/16 + 2 {
		io.WriteString(g.dial(), message("read", ""))
	}
	eventually(t, "requests are taken", func() bool { return g.p.owner.stats.active.Load() > 8 })
	for _, path := range []string{"/admin/health", "/admin/stats"} {
		began := time.Now()
		if status, text := g.adminCall(path, ""); status != http.StatusOK || time.Since(began) > patience/4 {
			t.Fatalf("%s: %d %s after %v", path, status, text, time.Since(began))
		}
	}
	if status, _ := g.adminCall("/admin/cordon", `{"who":"h1"}`); status != http.StatusServiceUnavailable {
		t.Fatalf("a call that cannot be in force in time: %d", status)
	}
}
