// Package link emulates the network of a lab run on the loopback device. For each pair of a proxy and a target (a host or
// the list service) it adds latency, limits bandwidth, drops traffic or cuts connections, as the pair's State says. Network
// holds the states; Network.Listen adds a target and Network.Set changes pairs during the run. Peers does the same for
// traffic between proxies.
//
// A target listens once, on all addresses of the loopback device, and each proxy is given a different address of the
// target. The address to which a connection was made identifies the proxy. The number of listeners thus grows with the
// targets rather than with the pairs, and the program under test may connect from any source address.
//
// Conn holds back the data of a disturbed pair between the socket and the target. A new connection to a silent target must
// not be established at all, and the kernel does that part: a second listener, bound to the pair's own address and with a
// full backlog, takes precedence over the target's listener and leaves every handshake unanswered.
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

// State is the condition of the link between a proxy and a target.
type State struct {
	Latency, Jitter time.Duration // one way, applied in each direction
	SilentTo        bool          // no data reaches the target
	SilentBack      bool          // no data comes back from the target
	Refused         bool          // new connections are reset
	CutAfter        int64         // a connection is reset after so many bytes towards the proxy; 0: never
	Bandwidth       float64       // bytes per second in each direction; 0: unlimited
}

func (s State) silent() bool { return s.SilentTo || s.SilentBack }

// pair identifies a link: a proxy and a target in Network, the sending and the receiving process in Peers.
type pair struct{ proxy, target int }

// Network holds the targets and the link states of all pairs.
type Network struct {
	mu         sync.Mutex
	random     *rand.Rand
	states     map[pair]State
	changed    chan struct{} // closed and replaced at each change of states
	targets    []*Target
	blackholes map[pair]*blackhole
	failure    error // errors of setting up blackholes; the results of such a run are invalid
}

// New returns a network without faults or delays. seed determines jitter and packet loss.
func New(seed uint64) *Network {
	return &Network{random: rand.New(rand.NewPCG(seed, 7)), states: map[pair]State{}, changed: make(chan struct{}),
		blackholes: map[pair]*blackhole{}}
}

// IP returns the loopback address at which a proxy reaches all its targets.
func IP(proxy int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(64 + proxy>>8), byte(proxy), 1})
}

// proxyOf is the inverse of IP.
func proxyOf(a net.Addr) int {
	ip := a.(*net.TCPAddr).AddrPort().Addr().Unmap().As4()
	return int(ip[1]-64)<<8 + int(ip[2])
}

// Target is a server that proxies connect to.
type Target struct {
	network  *Network
	number   int
	reserved *port.Reservation // kept while the target is down, so that it comes back at the same port
	serve    func(*Conn)
	mu       sync.Mutex
	ln       net.Listener
	conns    map[*Conn]struct{}
	wg       sync.WaitGroup
	closed   bool
}

// Listen adds a target and starts its listener. serve is called for each connection in a goroutine of its own; the
// connection is closed when serve returns.
func (nw *Network) Listen(serve func(*Conn)) (*Target, error) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	t := &Target{network: nw, number: len(nw.targets), serve: serve, conns: map[*Conn]struct{}{}}
	var err error
	if t.reserved, err = port.Reserve(netip.AddrPortFrom(netip.IPv4Unspecified(), 0)); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if err := t.Up(); err != nil {
		t.reserved.Release()
		return nil, err
	}
	nw.targets = append(nw.targets, t)
	return t, nil
}

// Up starts the listener. After Down it listens at the same addresses again.
func (t *Target) Up() error {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		var bindErr, reuseErr error
		err := rc.Control(func(fd uintptr) {
			bindErr = unix.BindToDevice(int(fd), "lo") // reachable through the loopback device only
			reuseErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, bindErr, reuseErr)
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", t.reserved.Addr().String())
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	t.mu.Lock()
	t.ln, t.closed = ln, false
	t.mu.Unlock()
	t.wg.Go(func() { t.accept(ln) })
	return nil
}

// Number returns the index of the target in the network, as Network.Set takes it.
func (t *Target) Number() int { return t.number }

// Addr returns the address at which a proxy reaches the target.
func (t *Target) Addr(proxy int) string {
	return netip.AddrPortFrom(IP(proxy), t.reserved.Addr().Port()).String()
}

func (t *Target) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		proxy := proxyOf(c.LocalAddr())
		lc := newConn(c.(*net.TCPConn), t, proxy)
		if s, _ := t.network.state(pair{proxy, t.number}); s.Refused || !t.track(lc) {
			lc.Reset()
			continue
		}
		t.wg.Go(lc.receive)
		t.wg.Go(func() {
			defer t.untrack(lc)
			t.serve(lc)
		})
	}
}

func (t *Target) track(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.conns[c] = struct{}{}
	}
	return !t.closed
}

func (t *Target) untrack(c *Conn) {
	c.Close()
	t.mu.Lock()
	delete(t.conns, c)
	t.mu.Unlock()
}

// Down stops the target as a crash of its process does: new connections are refused and open ones are reset.
func (t *Target) Down() {
	t.mu.Lock()
	t.closed = true
	t.ln.Close()
	for c := range t.conns {
		c.Reset()
	}
	t.mu.Unlock()
}

// Set applies change to the state of every pair of the given proxies and targets, atomically. Open connections of a pair
// that becomes silent stall, and go on once the pair is no longer silent.
func (nw *Network) Set(proxies, targets []int, change func(*State)) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, p := range proxies {
		for _, t := range targets {
			k := pair{p, t}
			s := nw.states[k]
			change(&s)
			nw.states[k] = s
			nw.setBlackhole(k, s.silent())
		}
	}
	close(nw.changed)
	nw.changed = make(chan struct{})
}

// setBlackhole adds or removes the blackhole of a pair. mu is held.
func (nw *Network) setBlackhole(k pair, wanted bool) {
	h := nw.blackholes[k]
	switch {
	case wanted && h == nil:
		added, err := newBlackhole(netip.AddrPortFrom(IP(k.proxy), nw.targets[k.target].reserved.Addr().Port()))
		if err != nil {
			nw.failure = errors.Join(nw.failure, err)
			return
		}
		nw.blackholes[k] = added
	case !wanted && h != nil:
		h.close()
		delete(nw.blackholes, k)
	}
}

// Reset resets all open connections of the given pairs.
func (nw *Network) Reset(proxies, targets []int) {
	affected := map[int]bool{}
	for _, p := range proxies {
		affected[p] = true
	}
	for _, n := range targets {
		t := nw.targets[n]
		t.mu.Lock()
		for c := range t.conns {
			if affected[c.Proxy] {
				c.Reset()
			}
		}
		t.mu.Unlock()
	}
}

// Err returns an error if a blackhole could not be set up, so that a pair was less silent than requested.
func (nw *Network) Err() error {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.failure
}

// Close stops all targets and waits for their connections. Data that the links still hold is discarded.
func (nw *Network) Close() {
	nw.mu.Lock()
	targets := nw.targets
	nw.mu.Unlock()
	for _, t := range targets {
		t.Down()
	}
	nw.mu.Lock()
	for k, h := range nw.blackholes {
		h.close()
		delete(nw.blackholes, k)
	}
	nw.states = map[pair]State{}
	close(nw.changed)
	nw.changed = make(chan struct{})
	nw.mu.Unlock()
	for _, t := range targets {
		t.wg.Wait()
		t.reserved.Release()
	}
}

func (nw *Network) state(k pair) (State, chan struct{}) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.states[k], nw.changed
}

// delay returns how long n bytes take to cross a link.
func (nw *Network) delay(s State, n int) time.Duration {
	d := s.Latency
	if s.Jitter > 0 {
		nw.mu.Lock()
		d += time.Duration(nw.random.Int64N(int64(s.Jitter)))
		nw.mu.Unlock()
	}
	if s.Bandwidth > 0 {
		d += time.Duration(float64(n) / s.Bandwidth * float64(time.Second))
	}
	return d
}

// blackhole is a listener that answers no handshake: its backlog is full with one connection, which newBlackhole makes and nobody
// accepts.
type blackhole struct{ listener, filler int }

func newBlackhole(at netip.AddrPort) (*blackhole, error) {
	address := &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	h := &blackhole{listener: -1, filler: -1}
	var err error
	step := func(name string, f func() error) {
		if err != nil {
			return
		}
		if e := f(); e != nil {
			err = fmt.Errorf("link: blackhole listener at %s: %s: %w", at, name, e)
		}
	}
	step("socket", func() (e error) {
		h.listener, e = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		return e
	})
	step("SO_REUSEPORT", func() error { return unix.SetsockoptInt(h.listener, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
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

func (h *blackhole) close() {
	for _, fd := range []int{h.filler, h.listener} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
}
