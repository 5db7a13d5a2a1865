package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"beechwing/internal/places"
	"beechwing/internal/site"
	"beechwing/internal/wire"
)

// callersByAddress counts each source address as a caller of its own, as sites with desktop tools do, so that the use
// of one connection does not affect how another is judged.
func callersByAddress(p *Proxy) { p.cfg.Site.Connections.Callers = site.CallersAddress }

// openIdleConns opens n connections, each from its own address, sends one request on each, and waits until all are
// parked.
func (g *testProxy) openIdleConns(n int) []net.Conn {
	g.t.Helper()
	conns := make([]net.Conn, n)
	for i := range conns {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 2, byte(i>>8), byte(i))}}
		c, err := d.Dial("tcp", g.addr)
		if err != nil {
			g.t.Fatal(err)
		}
		g.t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, requestText("read", ""))
		if a := readResponse(g.t, bufio.NewReader(c)); a.status != http.StatusOK {
			g.t.Fatalf("connection %d got status %d", i, a.status)
		}
		conns[i] = c
	}
	g.waitUntil("all are parked", func() bool { return g.parkedConns() >= n })
	return conns
}

// parkedConns returns the number of idle connections without a goroutine.
func (g *testProxy) parkedConns() int {
	f := g.p.front.stats()
	return f.Places.Held[places.StateIdleOnce] + f.Places.Held[places.StateIdleReused] + f.Places.Held[places.StateTrial] -
		f.Warm - f.Desk.Serving
}

func (g *testProxy) waitUntil(what string, true func() bool) {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); !true(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("timed out waiting until %s: %+v", what, g.p.front.stats())
		}
	}
}

// TestWatchers: with few connections, each parked one has a goroutine; with many, or little memory, none has.
func TestWatchers(t *testing.T) {
	for l, want := range map[Limits]bool{
		{MemoryMB: 64, Sockets: 384}: true, {MemoryMB: 32, Sockets: 1024}: true, {MemoryMB: 192, Sockets: 12000}: false,
		{MemoryMB: 16, Sockets: 1024}: false,
	} {
		clients, _ := l.clientLimits()
		if got := l.allowWatchers(clients); got != want {
			t.Errorf("%+v, %d clients: %t", l, clients, got)
		}
	}
}

// TestParkedCost: an idle connection has neither a goroutine nor a buffer if there are many, and is served as usual
// when a request arrives.
func TestParkedCost(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, callersByAddress, func(p *Proxy) { p.cfg.Limits.MemoryMB = 16 }) // too little for a goroutine each
	g.openIdleConns(1)
	goroutines, buffers := runtime.NumGoroutine(), g.p.bufs.Live()
	conns := g.openIdleConns(200)
	// The 20 allowed beyond the first count are mostly goroutines of the host.
	g.waitUntil("the other goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines+20 })
	if n := g.p.bufs.Live(); n > buffers+4 {
		t.Errorf("%d buffers with 200 more idle connections, %d before", n, buffers)
	}
	io.WriteString(conns[7], requestText("write", "x"))
	if a := readResponse(t, bufio.NewReader(conns[7])); a.status != http.StatusOK {
		t.Errorf("the request on a parked connection got status %d", a.status)
	}
}

// TestWave: a request arrives on every idle connection at once, and memory allows only a few to be processed. Each gets
// one response, either a success or a refusal with Retry-After, and none runs twice.
func TestWave(t *testing.T) {
	const many = 300
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		time.Sleep(time.Millisecond)
		return respondWith(okResponse)(c, r)
	})
	g := startOneHost(t, h, callersByAddress, func(p *Proxy) { p.cfg.Limits.MemoryMB = 16 }) // 64 requests at once
	conns := g.openIdleConns(many)
	for range many {
		h.requests.next(t, "the first requests")
	}
	var wg sync.WaitGroup
	got := make(chan receivedResponse, many)
	for _, c := range conns {
		wg.Go(func() {
			io.WriteString(c, requestText("write", "x", "X-Remaining: 1000m"))
			got <- readResponse(t, bufio.NewReader(c))
		})
	}
	wg.Wait()
	close(got)
	count := map[int]int{}
	for a := range got {
		if count[a.status]++; a.status == http.StatusServiceUnavailable && a.text == "busy\n" && a.header.Get("Retry-After") == "" {
			t.Error("refused without Retry-After")
		}
	}
	if count[http.StatusOK] == 0 || count[http.StatusOK]+count[http.StatusServiceUnavailable] != many {
		t.Errorf("answers by status: %v", count)
	}
	seen := map[string]bool{}
	for len(h.requests) > 0 {
		id := (<-h.requests).Header.Get(headerID)
		if seen[id] {
			t.Errorf("%s ran twice", id)
		}
		seen[id] = true
	}
	if len(seen) < count[http.StatusOK] {
		t.Errorf("%d ran, %d were served", len(seen), count[http.StatusOK])
	}
}

// TestBusyDesk: while no request ends, a queued request is read and refused in time, and its connection stays open.
func TestBusyDesk(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		<-release.opened
		return respondWith(okResponse)(c, r)
	})
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install, callersByAddress, func(p *Proxy) { p.cfg.Limits.MemoryMB = 1 }) // three requests at once
	most := g.p.front.stats().Desk.MaxServing
	busy := make([]net.Conn, most)
	for i := range busy {
		busy[i] = g.dial()
		io.WriteString(busy[i], requestText("write", "x", "X-Remaining: 9000m"))
		h.requests.next(t, "a request")
	}
	c := g.dial()
	br := bufio.NewReader(c)
	for range 2 {
		io.WriteString(c, requestText("write", "x", "X-Remaining: 9000m"))
		if a := readResponse(t, br); a.status != http.StatusServiceUnavailable || a.closes || a.header.Get("Retry-After") == "" {
			t.Fatalf("response %+v", a)
		}
	}
	h.requests.none(t, "a refused request was sent")
	release.open()
	for _, c := range busy {
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Errorf("a request being processed got status %d", a.status)
		}
	}
}

// TestCloseCrossesRequest: a connection is selected to be closed while a complete request is in its socket buffer,
// unread. The request is served, and its response announces the close.
func TestCloseCrossesRequest(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, callersByAddress)
	c := g.openIdleConns(1)[0]
	h.requests.next(t, "its first request")
	f := g.p.front
	f.mu.Lock() // delays the processing of the wake-up for the request
	held := f.connTable.Oldest(places.StateIdleOnce)
	io.WriteString(c, requestText("write", "x"))
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if bytes, _ := wire.Pending(held.Value().(*clientConn).conn); bytes {
			break
		}
	}
	f.connTable.Evict(f.now())
	f.unlockAndClose(f.now(), maxInlineCloses)
	if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK || !a.closes {
		t.Fatalf("response %+v", a)
	}
	h.requests.next(t, "the request")
	h.requests.none(t, "the request ran twice")
}

// TestExpireTogether: many connections reach their idle timeout at once, while the proxy starts to drain and requests
// arrive. All these requests are answered.
func TestExpireTogether(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, callersByAddress, func(p *Proxy) { p.times.drainPeriod = 300 * time.Millisecond })
	g.openIdleConns(400)
	f := g.p.front
	f.updateTable(func(now time.Duration) {
		c := connTableConfig(f.limits, f.times)
		c.IdleTimeout, c.MinIdleTimeout = 0, 0
		f.connTable.Configure(c)
	})
	g.shutDown()
	for i := range 20 {
		c := g.dial()
		io.WriteString(c, requestText("write", "x"))
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Fatalf("request %d got status %d", i, a.status)
		}
	}
	g.waitUntil("the idle connections are closed", func() bool { return f.stats().Places.Clients <= 1 })
	g.stop()
}

// failingListener fails with EMFILE until its channel failing is closed.
type failingListener struct {
	net.Listener
	failing  chan struct{} // closed when accepts may succeed
	attempts eventChan[bool]
}

func (s failingListener) Accept() (net.Conn, error) {
	select {
	case <-s.failing:
		return s.Listener.Accept()
	default:
		select {
		case s.attempts <- true:
		default:
		}
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
}

// TestNoDescriptors: accept fails because descriptors are short. An idle connection is closed, the failure is logged
// once, and new connections are accepted once descriptors are available again.
func TestNoDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.WarnLevel)
	l := failingListener{ln, make(chan struct{}), make(eventChan[bool], 1)}
	f, err := newFrontend(l, frontendLimits{machineMax: 4, maxConns: 4,
		admission: places.RequestQueueConfig{MaxServing: 1, Burst: 1, Rate: 1}},
		newConnBudget(Limits{Sockets: 100}), nil, nil, wire.NewPool(), nil, testTiming(), zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	near, far := net.Pipe()
	idle := &clientConn{front: f, conn: near}
	f.wg.Add(1)
	f.updateTable(func(now time.Duration) {
		f.open++
		f.connTable.Add(now, sourceIP(near), &idle.entry, idle)
		f.connTable.RequestReceived(now, &idle.entry)
		f.connTable.RequestDone(now, &idle.entry)
		idle.parked = true
	})
	accepted := make(eventChan[bool], 1)
	go func() {
		f.accept()
		accepted <- true
	}()
	l.attempts.next(t, "an accept")
	far.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	l.attempts.next(t, "a second accept")
	l.attempts.next(t, "a third accept")
	if n := logs.FilterMessage("accept failed").Len(); n != 1 {
		t.Errorf("the failure was logged %d times", n)
	}
	close(l.failing)
	f.close()
	accepted.next(t, "the end of accepting")
	f.wg.Wait()
}

// TestLoweredLimit: a reload (SIGHUP) lowers the connection limit below the number of open connections. Idle
// connections are closed, and one whose request is being processed is not. A broken file changes nothing.
func TestLoweredLimit(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		if r.Method == http.MethodPost {
			<-release.opened
		}
		return respondWith(okResponse)(c, r)
	})
	g := startOneHost(t, h, callersByAddress)
	g.openIdleConns(50)
	busy := g.dial()
	io.WriteString(busy, requestText("write", "x", "X-Remaining: 9000m"))
	g.waitUntil("its request is being processed", func() bool { return g.p.front.stats().Places.Held[places.StateActive] == 1 })
	path := filepath.Join(t.TempDir(), "site.toml")
	reread := func() (*Config, error) {
		c := *g.p.cfg
		var err error
		c.Site, err = site.Load(path)
		return &c, err
	}
	g.p.cfg.reload = reread
	os.WriteFile(path, []byte("[connections]\ncallers = \"address\"\nlimit = -5\n"), 0o600)
	if err := g.p.reloadConfig(); err == nil || g.p.front.stats().Places.MaxConns < 50 {
		t.Fatalf("after a broken file: %v", err)
	}
	os.WriteFile(path, []byte("[connections]\ncallers = \"address\"\nlimit = 10\n"), 0o600)
	if err := g.p.reloadConfig(); err != nil {
		t.Fatal(err)
	}
	g.waitUntil("ten are left", func() bool {
		held := 0
		for _, n := range g.p.front.stats().Places.Held {
			held += n
		}
		return held <= 10
	})
	release.open()
	if a := readResponse(t, bufio.NewReader(busy)); a.status != http.StatusOK {
		t.Errorf("the request being processed got status %d", a.status)
	}
}

// TestLent: clients hold connections beyond their guaranteed share. When hosts need one, an idle client connection is
// closed and the waiting attempt may open a connection instead. Both sides together never exceed the total.
func TestLent(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, callersByAddress, func(p *Proxy) { p.cfg.Limits.Sockets = 240 })
	total, clients, hosts := g.p.cfg.Limits.connectionShares()
	budget := g.p.hosts.budget
	g.p.hosts.closeIdle(total)
	g.waitUntil("no connection to the host is left", func() bool { return budget.hostCount() == 0 })
	most := total - hosts
	g.openIdleConns(most - 1) // the connection to the host that serves them takes one
	if most-1 <= clients {
		t.Fatalf("clients hold only %d of %d connections beyond their share", most-1-clients, total)
	}
	for budget.hostCount() < hosts+5 {
		if !budget.tryAcquireHost() && !budget.awaitHost(t.Context(), testTimeout) {
			t.Fatalf("no connection to a host could be reserved; %d reserved, %+v", budget.hostCount(), g.p.front.stats())
		}
		if held := g.p.front.stats(); budget.hostCount()+held.Places.Held[places.StateIdleOnce] > total {
			t.Fatalf("%d to hosts, %+v", budget.hostCount(), held)
		}
	}
	if n := g.p.front.stats().Places.Closed[places.CauseFull]; n == 0 {
		t.Error("no client connection was closed")
	}
	for budget.hostCount() > 0 {
		budget.releaseHost()
	}
}

// TestSlowHeads: connections that never complete their first request head use up the limit of requests served at once.
// One of them is closed for a connection that sends a complete request, well before its own deadline.
func TestSlowHeads(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, callersByAddress, func(p *Proxy) {
		p.cfg.Limits.MemoryMB = 1
		p.times.firstRequestTimeout = testTimeout
	})
	most := g.p.front.stats().Desk.MaxServing
	for range most {
		io.WriteString(g.dial(), "GET /api HTTP/1.1\r\n")
	}
	g.waitUntil("the concurrency limit is reached", func() bool {
		return g.p.front.stats().Places.Held[places.StatePartial] == most
	})
	for n := range 5 {
		if a := g.raw(requestText("write", "x")); a.status != http.StatusOK {
			t.Fatalf("request %d got status %d: %+v", n, a.status, g.p.front.stats())
		}
		io.WriteString(g.dial(), "GET /api HTTP/1.1\r\n")
	}
}
