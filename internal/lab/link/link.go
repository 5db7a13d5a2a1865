// Package link is the network between the parties of a run, all of it on loopback: what reaches a target, by which delays,
// and what is cut, for each pair of a proxy and a target (a host or the list service).
//
// A target listens once, at any address of the loopback device, and each proxy is told another address of it, which says
// who calls: the pair is known from the address that a connection came to. So listeners grow with the targets and not with
// the pairs, and any program can be put under test, whatever address it calls from.
//
// Data of a broken pair is held here, in what stands between the socket and the target; a connection to a silent target must
// not come up at all, and there the kernel itself is used: a listener at the pair's own address, whose backlog is full,
// goes before the target's and leaves every handshake unanswered.
package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"beechwing/internal/lab/port"
)

// State is what a pair's link does.
type State struct {
	Latency, Jitter time.Duration // one way, both ways each
	SilentTo        bool          // nothing reaches the target
	SilentBack      bool          // nothing comes back from it
	Refused         bool          // new connections are reset
	CutAfter        int64         // bytes towards the proxy on a connection after which it is reset; 0: never
	Bandwidth       float64       // bytes a second each way; 0: any
}

func (s State) silent() bool { return s.SilentTo || s.SilentBack }

// pair is a proxy and a target; its state changes under the table's lock.
type pair struct{ proxy, target int }

// Table holds the state of all pairs.
type Table struct {
	mu      sync.Mutex
	random  *rand.Rand
	states  map[pair]State
	changed chan struct{} // closed with the next change, and replaced
	targets []*Target
	holes   map[pair]*hole
	failure error // of a hole: such a run proves nothing
}

// New makes a network in which everything is reached at once.
func New(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, 7)), states: map[pair]State{}, changed: make(chan struct{}),
		holes: map[pair]*hole{}}
}

// IP is the address at which a proxy reaches all its targets.
func IP(proxy int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + proxy>>8), byte(proxy), 1})
}

func proxyOf(a net.Addr) int {
	ip := a.(*net.TCPAddr).AddrPort().Addr().Unmap().As4()
	return int(ip[1]-64)<<8 + int(ip[2])
}

// Target is a party that is called.
type Target struct {
	table  *Table
	number int
	held   *port.Held // also while it is down: it comes back at the same port
	serve  func(*Conn)
	mu     sync.Mutex
	ln     net.Listener
	conns  map[*Conn]struct{}
	wg     sync.WaitGroup
	closed bool
}

// Listen adds a target. serve is called with each connection, in a goroutine of its own, and need not close it.
func (t *Table) Listen(serve func(*Conn)) (*Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &Target{table: t, number: len(t.targets), serve: serve, conns: map[*Conn]struct{}{}}
	var err error
	if g.held, err = port.Hold(netip.AddrPortFrom(netip.IPv4Unspecified(), 0)); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if err := g.Up(); err != nil {
		g.held.Free()
		return nil, err
	}
	t.targets = append(t.targets, g)
	return g, nil
}

// Up has it listen, at the first time and again after Down, at the same addresses.
func (g *Target) Up() error {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		var device, share error
		err := rc.Control(func(fd uintptr) {
			device = unix.BindToDevice(int(fd), "lo") // nothing but loopback may reach it
			share = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, device, share)
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", g.held.Addr().String())
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	g.mu.Lock()
	g.ln, g.closed = ln, false
	g.mu.Unlock()
	g.wg.Go(func() { g.accept(ln) })
	return nil
}

// Number names the target in the table.
func (g *Target) Number() int { return g.number }

// Addr is where a proxy reaches it.
func (g *Target) Addr(proxy int) string {
	return netip.AddrPortFrom(IP(proxy), g.held.Addr().Port()).String()
}

func (g *Target) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		proxy := proxyOf(c.LocalAddr())
		lc := newConn(c.(*net.TCPConn), g, proxy)
		if s, _ := g.table.state(pair{proxy, g.number}); s.Refused || !g.enter(lc) {
			lc.Reset()
			continue
		}
		g.wg.Go(lc.pump)
		g.wg.Go(func() {
			defer g.leave(lc)
			g.serve(lc)
		})
	}
}

func (g *Target) enter(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.conns[c] = struct{}{}
	}
	return !g.closed
}

func (g *Target) leave(c *Conn) {
	c.Close()
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}

// Down ends the target as a process that dies does: new connections are refused, and open ones are reset.
func (g *Target) Down() {
	g.mu.Lock()
	g.closed = true
	g.ln.Close()
	for c := range g.conns {
		c.Reset()
	}
	g.mu.Unlock()
}

// Set changes the state of pairs of proxies and targets, all at one moment. Where silence begins, connections in progress
// are held; where it ends, they go on.
func (t *Table) Set(proxies, targets []int, change func(*State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range proxies {
		for _, g := range targets {
			k := pair{p, g}
			s := t.states[k]
			change(&s)
			t.states[k] = s
			t.dig(k, s.silent())
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// dig makes or fills the hole of a pair. mu is held.
func (t *Table) dig(k pair, wanted bool) {
	h := t.holes[k]
	switch {
	case wanted && h == nil:
		made, err := newHole(netip.AddrPortFrom(IP(k.proxy), t.targets[k.target].held.Addr().Port()))
		if err != nil {
			t.failure = errors.Join(t.failure, err)
			return
		}
		t.holes[k] = made
	case !wanted && h != nil:
		h.close()
		delete(t.holes, k)
	}
}

// Reset breaks all open connections of pairs.
func (t *Table) Reset(proxies, targets []int) {
	of := map[int]bool{}
	for _, p := range proxies {
		of[p] = true
	}
	for _, n := range targets {
		g := t.targets[n]
		g.mu.Lock()
		for c := range g.conns {
			if of[c.Proxy] {
				c.Reset()
			}
		}
		g.mu.Unlock()
	}
}

// Err tells whether the network could do all that was asked of it.
func (t *Table) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failure
}

// Close ends all targets and waits for what they serve. What broken links still hold arrives nowhere.
func (t *Table) Close() {
	t.mu.Lock()
	targets := t.targets
	t.mu.Unlock()
	for _, g := range targets {
		g.Down()
	}
	t.mu.Lock()
	for k, h := range t.holes {
		h.close()
		delete(t.holes, k)
	}
	t.states = map[pair]State{}
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	for _, g := range targets {
		g.wg.Wait()
		g.held.Free()
	}
}

func (t *Table) state(k pair) (State, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states[k], t.changed
}

// delay is how long so many bytes are under way.
func (t *Table) delay(s State, n int) time.Duration {
	d := s.Latency
	if s.Jitter > 0 {
		t.mu.Lock()
		d += time.Duration(t.random.Int64N(int64(s.Jitter)))
		t.mu.Unlock()
	}
	if s.Bandwidth > 0 {
		d += time.Duration(float64(n) / s.Bandwidth * float64(time.Second))
	}
	return d
}

// hole is a listener that answers no handshake: its backlog holds one connection, made here and never accepted.
type hole struct{ listener, filler int }

func newHole(at netip.AddrPort) (*hole, error) {
	address := &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	h := &hole{listener: -1, filler: -1}
	var err error
	step := func(name string, f func() error) {
		if err != nil {
			return
		}
		if e := f(); e != nil {
			err = fmt.Errorf("link: silence at %s: %s: %w", at, name, e)
		}
	}
	step("socket", func() (e error) {
		h.listener, e = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		return e
	})
	step("share", func() error { return unix.SetsockoptInt(h.listener, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	step("bind", func() error { return unix.Bind(h.listener, address) })
	step("listen", func() error { return unix.Listen(h.listener, 0) })
	step("socket", func() (e error) {
		h.filler, e = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		return e
	})
	step("connect", func() error { return unix.Connect(h.filler, address) })
	if err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

func (h *hole) close() {
	for _, fd := range []int{h.filler, h.listener} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
}
