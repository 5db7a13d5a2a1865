package proxy

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"beechwing/balancer"
	"beechwing/internal/settings"
	"beechwing/internal/wire"
)

const (
	// idleShare of the time after which a host closes an idle connection: from then on it is not used again. A request
	// written to it as it closes would end as a reset, and an unsafe one would be lost.
	idleTimeoutShare             = 0.7
	idleTimeoutJitter            = 0.2
	defaultConnIdleSeconds       = 10.0
	defaultConnectTimeoutSeconds = 1.0
)

var errNoCapacity = errors.New("no room for a further connection")

// hosts holds what is kept for the hosts of the list: addresses and connections. Only the owner adds and removes.
type hostPool struct {
	bufs          *wire.Pool
	clock         clock
	lastByteDelay time.Duration // for which a message's last byte is held back
	budget        *connBudget
	settings      atomic.Pointer[hostSettings]

	mu   sync.Mutex
	byID map[balancer.HostID]*upstream
}

// hostSettings is what the settings say of connections to hosts.
type hostSettings struct {
	reportColumns               []string
	connectTimeout, idleTimeout time.Duration
	drainGraceSeconds           float64 // seconds after word of a drain in which a request may still be written
}

func newHostSettings(s *settings.Settings, c *balancer.Config) *hostSettings {
	return &hostSettings{reportColumns: s.Columns(), drainGraceSeconds: c.DrainGrace / 2,
		connectTimeout: seconds(cmp.Or(c.ConnectTimeout, defaultConnectTimeoutSeconds)),
		idleTimeout:    seconds(idleTimeoutShare * cmp.Or(s.Limits.ConnIdleS, defaultConnIdleSeconds))}
}

// upstream is one host as the sockets see it.
type upstream struct {
	pool   *hostPool
	listed bool // guarded by hosts.mu

	mu        sync.Mutex
	addr      string
	startedAt float64     // of its process, as the list says
	drainedAt float64     // clock time of word that it drains or is gone; 0: it takes requests
	idle      []*hostConn // the one used last comes last and is used first
}

func newHostPool(cfg *Config, c clock, bufs *wire.Pool, r *connBudget, t timing) *hostPool {
	h := &hostPool{bufs: bufs, clock: c, lastByteDelay: t.lastByteDelay, budget: r, byID: map[balancer.HostID]*upstream{}}
	h.settings.Store(newHostSettings(cfg.Settings, &cfg.Balancer))
	return h
}

func (h *hostPool) find(id balancer.HostID) *upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[id]
}

// update takes a list or changes to one. Idle connections to hosts that want nothing new are closed.
func (h *hostPool) update(kind balancer.ListKind, list catalog, now float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind != balancer.ListChanges {
		for _, u := range h.byID {
			u.listed = false
		}
	}
	for i, e := range list.hosts {
		u := h.byID[e.ID]
		if u == nil {
			u = &upstream{pool: h}
			h.byID[e.ID] = u
		}
		u.listed = e.Status != balancer.Removed
		u.applyEntry(list.addrs[i], e, now)
	}
	for id, u := range h.byID {
		if !u.listed {
			u.applyEntry("", balancer.Host{Status: balancer.Removed}, now) // whoever still has it keeps no connection
			delete(h.byID, id)
		}
	}
}

// told takes a host's entry.
func (u *upstream) applyEntry(addr string, e balancer.Host, now float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved := addr != "" && addr != u.addr
	if moved {
		u.addr = addr
	}
	// A machine that was cut off resets the connections to its old process only when they are used.
	restarted := e.Started != 0 && e.Started != u.startedAt
	u.startedAt = e.Started
	if e.Status == balancer.Ready {
		u.drainedAt = 0
	} else if u.drainedAt == 0 {
		u.drainedAt = now
	}
	if moved || restarted || e.Status != balancer.Ready {
		u.closeIdle()
	}
}

// closeIdle closes all idle connections. u.mu is held.
func (u *upstream) closeIdle() {
	for _, c := range u.idle {
		go c.close() // not here: the owner does no I/O
	}
	u.idle = nil
}

// connect gives a connection to the host: an idle one if there is and none is wanted fresh, else a new one.
func (u *upstream) connect(ctx context.Context, fresh bool) (*hostConn, error) {
	u.mu.Lock()
	addr, drained := u.addr, u.drainedAt
	var c *hostConn
	if n := len(u.idle); n > 0 && !fresh {
		c, u.idle = u.idle[n-1], u.idle[:n-1]
	}
	u.mu.Unlock()
	if drained > 0 && u.pool.clock.now() > drained+u.pool.settings.Load().drainGraceSeconds {
		if c != nil {
			c.close()
		}
		return nil, errors.New("the host drains") // guards requests that were on their way when word came
	}
	if c != nil {
		c.reused = true
		return c, nil
	}
	return u.dial(ctx, addr)
}

func (u *upstream) dial(ctx context.Context, addr string) (*hostConn, error) {
	if !u.pool.reserve(ctx) {
		return nil, errNoCapacity
	}
	dialer := net.Dialer{Timeout: u.pool.settings.Load().connectTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		u.pool.budget.releaseHost()
		return nil, fmt.Errorf("host: %w", err)
	}
	c := &hostConn{upstream: u, addr: addr, conn: nc, meter: wire.Meter{R: nc}}
	c.br = u.pool.bufs.Reader(&c.meter)
	go c.read()
	return c, nil
}

// reserve takes a place for a connection. If all are taken, an idle connection to some host makes room.
func (h *hostPool) reserve(ctx context.Context) bool {
	if h.budget.tryAcquireHost() {
		return true
	}
	if c := h.takeLeastUseful(); c != nil {
		c.close()
	}
	return h.budget.awaitHost(ctx, h.settings.Load().connectTimeout)
}

// retire is how long a connection may be idle: up to a fifth less than the most, so that those of one burst do not all end
// and come anew together. The one used last is used first, so no more stay than were in use at once in that time.
func (h *hostPool) idleTimeout() time.Duration {
	idle := h.settings.Load().idleTimeout
	return idle - time.Duration(rand.Float64()*idleTimeoutJitter*float64(idle))
}

// giveBack closes up to n idle connections.
func (h *hostPool) closeIdle(n int) {
	for range n {
		c := h.takeLeastUseful()
		if c == nil {
			return
		}
		c.close()
	}
}

// takeIdle takes an idle connection away from the host that has most of them: the one used longest ago, which is missed
// least, as the others carry what comes first.
func (h *hostPool) takeLeastUseful() *hostConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var from *upstream
	most := 0
	for _, u := range h.byID {
		if n := u.idleCount(); n > most {
			from, most = u, n
		}
	}
	if from == nil {
		return nil
	}
	return from.takeOldestIdle()
}

func (u *upstream) idleCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.idle)
}

func (u *upstream) takeOldestIdle() *hostConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.idle) == 0 {
		return nil
	}
	c := u.idle[0]
	u.idle = u.idle[1:]
	return c
}

// keep takes a connection back for later use, unless the host wants nothing new.
func (u *upstream) putIdle(c *hostConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.drainedAt > 0 || c.addr != u.addr {
		return false
	}
	u.idle = append(u.idle, c)
	return true
}

// forget removes a connection that has ended while it was idle.
func (u *upstream) removeIdle(c *hostConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, other := range u.idle {
		if other == c {
			u.idle = append(u.idle[:i], u.idle[i+1:]...)
			return
		}
	}
}

// hostConn is one connection to a host. It carries one call at a time. Its reader goroutine ends with it, and watches
// it while it is idle.
type hostConn struct {
	upstream *upstream
	addr     string
	conn     net.Conn
	meter    wire.Meter
	br       *bufio.Reader
	reused   bool // it carried a call before

	mu   sync.Mutex
	call *call // at hand; nil: idle
	dead bool
}

// call is one message to a host and the answer to it. done gets exactly one reply.
type call struct {
	done    chan hostResponse
	started chan hostResponse // the begin of a long answer, ahead of done
}

func newCall() *call {
	return &call{done: make(chan hostResponse, 1), started: make(chan hostResponse, 1)}
}

// wait gives the reply, and tells begun first if its answer is a long one: the two may have come together.
func (c *call) wait(begun func(hostResponse)) hostResponse {
	select {
	case b := <-c.started:
		begun(b)
		return <-c.done
	case r := <-c.done:
		if r.stream != nil { // its begin is on the way, or there
			begun(<-c.started)
		}
		return r
	}
}

// drop waits for a reply that nobody wants.
func (c *call) discard() hostResponse { return c.wait(func(b hostResponse) { b.stream.abandon() }) }

// stands fails once the host has answered or its connection has broken.
func (c *call) checkOpen() error {
	if len(c.done) > 0 || len(c.started) > 0 {
		return errBroken
	}
	return nil
}

// begin readies the connection for a call. It fails if the host has closed it meanwhile, or said something unasked.
func (c *hostConn) startCall(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes, ended := wire.Arrived(c.conn); c.dead || bytes || ended {
		c.dead = true
		c.conn.Close()
		return false
	}
	c.conn.SetReadDeadline(time.Time{})
	c.call = call
	return true
}

func (c *hostConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = true
	c.conn.Close()
}

// read waits for answers until the connection ends.
func (c *hostConn) read() {
	for c.readOne() {
	}
	c.close()
	c.upstream.pool.bufs.PutReader(c.br)
	c.upstream.pool.budget.releaseHost()
}

// readOne waits for what comes next and says whether the connection goes on.
func (c *hostConn) readOne() bool {
	c.meter.Allow(maxHeadBytes)
	_, err := c.br.Peek(1)
	call := c.currentCall()
	switch {
	case call == nil:
		c.upstream.removeIdle(c)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return true // it was about to be retired when the call came
	case err != nil:
		call.done <- hostResponse{err: err}
		return false
	}
	r := c.readResponse(call)
	c.mu.Lock()
	c.call = nil
	c.mu.Unlock()
	call.done <- r
	return r.reusable
}

// atHand gives the call that something read belongs to. If there is none, the host has ended or broken an idle
// connection, or it is time to retire it.
func (c *hostConn) currentCall() *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == nil {
		c.dead = true
	}
	return c.call
}

// rest makes the connection idle. Whose call it carried does so, after nothing of that call can close it any more.
func (c *hostConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetReadDeadline(time.Now().Add(c.upstream.pool.idleTimeout()))
	if c.dead || !c.upstream.putIdle(c) {
		c.conn.Close()
	}
}
