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

// withAdminServer gives a proxy an admin address and a directory for its state.
func withAdminServer(t testing.TB, dir string) func(*Proxy) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return func(p *Proxy) { p.cfg.Ops, p.cfg.StateDir = ln.Addr().String(), dir }
}

// adminCall makes a call to the admin server and returns the status and body of the response.
func (g *testProxy) adminCall(path, body string) (int, string) {
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

// adminStats returns the statistics of the admin server by name.
func (g *testProxy) adminStats() map[string]int {
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

// eventually waits until a condition holds, and fails the test after a time limit.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition never met: %s", what)
		}
	}
}

// TestFiguresAddUp checks the statistics with hosts that fail in various ways: each accepted request is counted once, with
// the outcome that its client saw, and the attempts are those that the hosts received completely.
func TestFiguresAddUp(t *testing.T) {
	var mu sync.Mutex
	received, rng := 0, rand.New(rand.NewPCG(5, 5))
	faulty := func(c net.Conn, _ receivedRequest) bool {
		mu.Lock()
		received++
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
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()), entry("h3", refusingAddr))
	g := startProxy(t, l.addr(), "null", withAdminServer(t, t.TempDir()))
	g.waitReady()
	if f := g.adminStats(); f["proxy.ok.log"] != 0 || len(f) != 3*3+4 {
		t.Fatalf("statistics at the start: %v", f)
	}
	seen := map[string]int{}
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Go(func() {
			class := []string{"read", "write", "log"}[n%3]
			a := g.raw(requestText(class, strings.Repeat("x", n%3), fmt.Sprint("X-Entity: k", n)))
			outcome := "errors"
			switch a.status {
			case 200:
				outcome = "ok"
			case 503:
				outcome = "shed"
			}
			mu.Lock()
			defer mu.Unlock()
			seen["proxy."+outcome+"."+class]++
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
	if f["proxy.tries"] != received || f["proxy.pool_size"] != 3 {
		t.Errorf("%d attempts of %d, %d hosts of 3", f["proxy.tries"], received, f["proxy.pool_size"])
	}
}

// TestTakeOut checks that a cordoned host gets no requests and that its idle connections are closed, whatever the list says
// and also after a restart of the proxy, until it is uncordoned. With all hosts cordoned, requests are refused, because
// panic routing only uses hosts that are ready.
func TestTakeOut(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()))
	dir := t.TempDir()
	g := startProxy(t, l.addr(), "null", withAdminServer(t, dir))
	g.waitReady()
	send := func(g *testProxy, n int) (status int) {
		for i := range n {
			status = g.raw(requestText("read", "", fmt.Sprint("X-Entity: k", i))).status
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
	want(200, "/admin/cordon", "h1") // repeating the call is harmless
	h1.requests = emptied(h1.requests)
	moved := entry("h1", h1.addr())
	moved.Zone, moved.Started = "b", time.Now().UnixMilli()
	l.set(moved, entry("h2", h2.addr()))
	g.awaitListApplied(l)
	if send(g, 20) != http.StatusOK || len(h1.requests) > 0 {
		t.Fatalf("%d requests to a cordoned host", len(h1.requests))
	}
	eventually(t, "the host counts as avoided", func() bool { return g.adminStats()["proxy.pool_ejected"] == 1 })
	g.stop()

	g = startProxy(t, l.addr(), "null", withAdminServer(t, dir))
	g.waitReady()
	if send(g, 20) != http.StatusOK || len(h1.requests) > 0 {
		t.Fatalf("%d requests to a cordoned host after a restart", len(h1.requests))
	}
	want(200, "/admin/cordon", "h2")
	if status := send(g, 1); status != http.StatusServiceUnavailable {
		t.Fatalf("with all hosts cordoned: %d", status)
	}
	want(200, "/admin/uncordon", "h1")
	want(200, "/admin/uncordon", "h1")
	eventually(t, "the host serves again", func() bool { return send(g, 5) == http.StatusOK })
}

// emptied removes all values from a channel and returns it.
func emptied[T any](w eventChan[T]) eventChan[T] {
	for len(w) > 0 {
		<-w
	}
	return w
}

// TestBackIsCold checks that an uncordoned host has a new start time for the balancer, even if the list has not reported a
// restart, and that a call to one process during an upgrade reaches the other.
func TestBackIsCold(t *testing.T) {
	l := newFakeDiscovery(t, entry("h1", refusingAddr))
	dir := t.TempDir()
	s, other := newFakeBalancer(), newFakeBalancer()
	g := startProxy(t, l.addr(), "null", s.install, withAdminServer(t, dir))
	g.waitReady()
	g2 := startProxy(t, l.addr(), "null", other.install, withAdminServer(t, dir))
	g2.waitReady()
	awaitHost := func(s *fakeBalancer, what string, is func(balancer.Host) bool) {
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
	for _, s := range []*fakeBalancer{s, other} {
		awaitHost(s, "the cordon", func(h balancer.Host) bool { return h.Status == balancer.Draining })
	}
	g2.adminCall("/admin/uncordon", `{"who":"h1"}`)
	for _, s := range []*fakeBalancer{s, other} {
		awaitHost(s, "the uncordon", func(h balancer.Host) bool { return h.Status == balancer.Ready && h.Started >= began })
	}
}

// TestOutIsDurable checks that a cordon which cannot be saved is rejected, and that a truncated file counts as empty.
func TestOutIsDurable(t *testing.T) {
	dir := t.TempDir() + "/state"
	s := newFakeBalancer()
	g := startProxy(t, newFakeDiscovery(t, entry("h1", refusingAddr)).addr(), "null", s.install, withAdminServer(t, dir))
	g.waitReady()
	if status, text := g.adminCall("/admin/cordon", `{"who":"h1"}`); status != http.StatusServiceUnavailable {
		t.Fatalf("without a directory to write to: %d %s", status, text)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cordonFile(dir, "n1"), []byte(`{"version":1,"sta`), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, text := g.adminCall("/admin/cordon", `{"who":"h1"}`); status != http.StatusOK {
		t.Fatalf("with a truncated file: %d %s", status, text)
	}
	if text, err := os.ReadFile(cordonFile(dir, "n1")); err != nil || !bytes.Contains(text, []byte(`"h1"`)) {
		t.Fatalf("the file contains %s, error %v", text, err)
	}
}

// TestDoorUnderLoad checks that health and statistics respond in time while the owner is blocked and its queue is full.
func TestDoorUnderLoad(t *testing.T) {
	hold := newGate()
	defer hold.open()
	s := newFakeBalancer()
	s.onRequest = func(s *fakeBalancer, r balancer.Request) {
		<-hold.opened
		s.act.Refuse(r.ID, 0)
	}
	g := startProxy(t, newFakeDiscovery(t, entry("h1", refusingAddr)).addr(), "null", s.install, withAdminServer(t, t.TempDir()))
	g.waitReady()
	for range queueLength/16 + 2 {
		io.WriteString(g.dial(), requestText("read", ""))
	}
	eventually(t, "requests are accepted", func() bool { return g.p.owner.stats.active.Load() > 8 })
	for _, path := range []string{"/admin/health", "/admin/stats"} {
		began := time.Now()
		if status, text := g.adminCall(path, ""); status != http.StatusOK || time.Since(began) > testTimeout/4 {
			t.Fatalf("%s: %d %s after %v", path, status, text, time.Since(began))
		}
	}
	if status, _ := g.adminCall("/admin/cordon", `{"who":"h1"}`); status != http.StatusServiceUnavailable {
		t.Fatalf("a cordon that cannot take effect in time: %d", status)
	}
}
