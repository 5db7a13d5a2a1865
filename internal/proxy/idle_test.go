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

// desks lets every address be a caller, as on a site with desk tools, so that none is judged by the others.
func desks(p *Proxy) { p.cfg.Site.Connections.Callers = site.Address }

// crowd opens connections from addresses of their own that ask once, and waits until all are parked.
func (g *rig) crowd(n int) []net.Conn {
	g.t.Helper()
	conns := make([]net.Conn, n)
	for i := range conns {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 2, byte(i>>8), byte(i))}}
		c, err := d.Dial("tcp", g.addr)
		if err != nil {
			g.t.Fatal(err)
		}
		g.t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, message("read", ""))
		if a := hear(g.t, bufio.NewReader(c)); a.status != http.StatusOK {
			g.t.Fatalf("connection %d got %d", i, a.status)
		}
		conns[i] = c
	}
	g.await("all are parked", func() bool { return g.parked() >= n })
	return conns
}

// parked is how many idle connections wait without a goroutine.
func (g *rig) parked() int {
	f := g.p.front.stats()
	return f.Places.Held[places.Once] + f.Places.Held[places.Often] + f.Places.Held[places.Trial] - f.Warm - f.Desk.Serving
}

func (g *rig) await(what string, true func() bool) {
	g.t.Helper()
	for end := time.Now().Add(patience); !true(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("waited in vain until %s: %+v", what, g.p.front.stats())
		}
	}
}

// TestWatchers: few connections wait as any reader does, many without a goroutine each.
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

// TestParkedCost: of many an idle connection has neither a goroutine nor a buffer, and is served like any other when it wakes.
func TestParkedCost(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, desks, func(p *Proxy) { p.cfg.Limits.MemoryMB = 16 }) // too little for a goroutine each
	g.crowd(1)
	goroutines, buffers := runtime.NumGoroutine(), g.p.bufs.Live()
	conns := g.crowd(200)
	g.await("the rest has settled", func() bool { return runtime.NumGoroutine() <= goroutines+20 }) // of the host, mostly
	if n := g.p.bufs.Live(); n > buffers+4 {
		t.Errorf("%d buffers with 200 more idle connections, %d before", n, buffers)
	}
	io.WriteString(conns[7], message("write", "x"))
	if a := hear(t, bufio.NewReader(conns[7])); a.status != http.StatusOK {
		t.Errorf("woken: %d", a.status)
	}
}

// TestWave: every idle connection brings a request at once, and memory allows few to be worked on. Each gets one answer,
// served or refused with a time to come back, and nothing runs twice.
func TestWave(t *testing.T) {
	const many = 300
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		time.Sleep(time.Millisecond)
		return respondWith(okResponse)(c, r)
	})
	g := one(t, h, desks, func(p *Proxy) { p.cfg.Limits.MemoryMB = 16 }) // 64 requests at once
	conns := g.crowd(many)
	for range many {
		h.requests.next(t, "the first requests")
	}
	var wg sync.WaitGroup
	got := make(chan heard, many)
	for _, c := range conns {
		wg.Go(func() {
			io.WriteString(c, message("write", "x", "X-Remaining: 1000m"))
			got <- hear(t, bufio.NewReader(c))
		})
	}
	wg.Wait()
	close(got)
	count := map[int]int{}
	for a := range got {
		if count[a.status]++; a.status == http.StatusServiceUnavailable && a.text == "busy\n" && a.header.Get("Retry-After") == "" {
			t.Error("refused without a time to come back")
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

// TestBusyDesk: with nobody leaving the desk, who waits is read and refused in time; the connection goes on.
func TestBusyDesk(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		<-release.opened
		return respondWith(okResponse)(c, r)
	})
	s := newScript()
	s.request = sends("h1")
	g := one(t, h, s.decides, desks, func(p *Proxy) { p.cfg.Limits.MemoryMB = 1 }) // three requests at once
	most := g.p.front.stats().Desk.Most
	busy := make([]net.Conn, most)
	for i := range busy {
		busy[i] = g.dial()
		io.WriteString(busy[i], message("write", "x", "X-Remaining: 9000m"))
		h.requests.next(t, "a request")
	}
	c := g.dial()
	br := bufio.NewReader(c)
	for range 2 {
		io.WriteString(c, message("write", "x", "X-Remaining: 9000m"))
		if a := hear(t, br); a.status != http.StatusServiceUnavailable || a.last || a.header.Get("Retry-After") == "" {
			t.Fatalf("answer %+v", a)
		}
	}
	h.requests.none(t, "a refused request was sent")
	release.open()
	for _, c := range busy {
		if a := hear(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Errorf("one that was worked on got %d", a.status)
		}
	}
}

// TestCloseCrossesRequest: a connection is told to end with a request whole in its socket, which nobody has seen yet. It is
// served, and told that the connection ends.
func TestCloseCrossesRequest(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, desks)
	c := g.crowd(1)[0]
	h.requests.next(t, "its first request")
	f := g.p.front
	f.mu.Lock() // the report of the request waits for it
	held := f.book.Held(places.Once)
	io.WriteString(c, message("write", "x"))
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if bytes, _ := wire.Arrived(held.Holder().(*client).conn); bytes {
			break
		}
	}
	f.book.Shed(f.now())
	f.unlockAndEnd(f.now(), endAtOnce)
	if a := hear(t, bufio.NewReader(c)); a.status != http.StatusOK || !a.last {
		t.Fatalf("answer %+v", a)
	}
	h.requests.next(t, "the request")
	h.requests.none(t, "it ran twice")
}

// TestExpireTogether: many idle times are over at once, while the proxy is told to end and requests come. All of these
// are answered.
func TestExpireTogether(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, desks, func(p *Proxy) { p.times.drain = 300 * time.Millisecond })
	g.crowd(400)
	f := g.p.front
	f.seat(func(now time.Duration) {
		c := bookConfig(f.limits, f.times)
		c.Idle, c.IdleLeast = 0, 0
		f.book.Configure(c)
	})
	g.tell()
	for i := range 20 {
		c := g.dial()
		io.WriteString(c, message("write", "x"))
		if a := hear(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Fatalf("request %d got %d", i, a.status)
		}
	}
	g.await("the idle ones are gone", func() bool { return f.stats().Places.Callers <= 1 })
	g.stop()
}

// short is a listener that fails for want of descriptors until it is told otherwise.
type short struct {
	net.Listener
	failing chan struct{} // closed: no longer
	tries   watched[bool]
}

func (s short) Accept() (net.Conn, error) {
	select {
	case <-s.failing:
		return s.Listener.Accept()
	default:
		select {
		case s.tries <- true:
		default:
		}
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
}

// TestNoDescriptors: accept fails for want of descriptors. An idle connection gives way, the log says so once, and when
// there are descriptors again connections are taken.
func TestNoDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.WarnLevel)
	l := short{ln, make(chan struct{}), make(watched[bool], 1)}
	f, err := newFront(l, frontLimits{most: 4, connections: 4, desk: places.DeskConfig{Most: 1, Burst: 1, Pace: 1}},
		newRoom(Limits{Sockets: 100}), nil, nil, wire.NewPool(), nil, quickTiming(), zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	near, far := net.Pipe()
	idle := &client{front: f, conn: near}
	f.wg.Add(1)
	f.seat(func(now time.Duration) {
		f.open++
		f.book.Enter(now, origin(near), &idle.seat, idle)
		f.book.Work(now, &idle.seat)
		f.book.Rest(now, &idle.seat)
		idle.parked = true
	})
	accepted := make(watched[bool], 1)
	go func() {
		f.accept()
		accepted <- true
	}()
	l.tries.next(t, "an accept")
	far.SetReadDeadline(time.Now().Add(patience))
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	l.tries.next(t, "another accept")
	l.tries.next(t, "one more")
	if n := logs.FilterMessage("accept failed").Len(); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
	close(l.failing)
	f.close()
	accepted.next(t, "the end of accepting")
	f.wg.Wait()
}

// TestLoweredLimit: SIGHUP with an operator's file that allows fewer connections than are held. Idle ones end, one that is
// worked on does not. A broken file changes nothing.
func TestLoweredLimit(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		if r.Method == http.MethodPost {
			<-release.opened
		}
		return respondWith(okResponse)(c, r)
	})
	g := one(t, h, desks)
	g.crowd(50)
	busy := g.dial()
	io.WriteString(busy, message("write", "x", "X-Remaining: 9000m"))
	g.await("it is worked on", func() bool { return g.p.front.stats().Places.Held[places.Active] == 1 })
	path := filepath.Join(t.TempDir(), "site.toml")
	reread := func() (*Config, error) {
		c := *g.p.cfg
		var err error
		c.Site, err = site.Load(path)
		return &c, err
	}
	g.p.cfg.reload = reread
	os.WriteFile(path, []byte("[connections]\ncallers = \"address\"\nlimit = -5\n"), 0o600)
	if err := g.p.reloadConfig(); err == nil || g.p.front.stats().Places.Most < 50 {
		t.Fatalf("a broken file: %v", err)
	}
	os.WriteFile(path, []byte("[connections]\ncallers = \"address\"\nlimit = 10\n"), 0o600)
	if err := g.p.reloadConfig(); err != nil {
		t.Fatal(err)
	}
	g.await("ten are left", func() bool {
		held := 0
		for _, n := range g.p.front.stats().Places.Held {
			held += n
		}
		return held <= 10
	})
	release.open()
	if a := hear(t, bufio.NewReader(busy)); a.status != http.StatusOK {
		t.Errorf("the one worked on got %d", a.status)
	}
}

// TestLent: clients hold descriptors beyond their own part. When hosts lack one, an idle client gives way and the attempt
// that waits gets it; and what is held together never passes what there is.
func TestLent(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, desks, func(p *Proxy) { p.cfg.Limits.Sockets = 240 })
	total, clients, hosts := g.p.cfg.Limits.connectionShares()
	room := g.p.hosts.room
	g.p.hosts.giveBack(total)
	g.await("no connection to the host is left", func() bool { return room.hostCount() == 0 })
	most := total - hosts
	g.crowd(most - 1) // one place is that of the connection that asks the host for them
	if most-1 <= clients {
		t.Fatalf("%d of %d lent", most-1-clients, total)
	}
	for room.hostCount() < hosts+5 {
		if !room.takeHost() && !room.awaitHost(t.Context(), patience) {
			t.Fatalf("no place for a host with %d of them and %+v", room.hostCount(), g.p.front.stats())
		}
		if held := g.p.front.stats(); room.hostCount()+held.Places.Held[places.Once] > total {
			t.Fatalf("%d to hosts, %+v", room.hostCount(), held)
		}
	}
	if n := g.p.front.stats().Places.Ended[places.Full]; n == 0 {
		t.Error("no client gave way")
	}
	for room.hostCount() > 0 {
		room.giveHost()
	}
}

// TestSlowHeads: connections that never end their first head take every turn. They give way to one that brings a request
// whole, well before their own time is over.
func TestSlowHeads(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, desks, func(p *Proxy) {
		p.cfg.Limits.MemoryMB = 1
		p.times.fresh = patience
	})
	most := g.p.front.stats().Desk.Most
	for range most {
		io.WriteString(g.dial(), "GET /api HTTP/1.1\r\n")
	}
	g.await("all turns are taken", func() bool { return g.p.front.stats().Places.Held[places.Partial] == most })
	for n := range 5 {
		if a := g.raw(message("write", "x")); a.status != http.StatusOK {
			t.Fatalf("request %d got %d: %+v", n, a.status, g.p.front.stats())
		}
		io.WriteString(g.dial(), "GET /api HTTP/1.1\r\n")
	}
}
