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
	// idleTimeoutShare is the share of the host's idle timeout for which an idle connection is used. A request written
	// while the host closes the connection would end in a reset, and a request that must not run twice would be lost.
	idleTimeoutShare             = 0.7
	idleTimeoutJitter            = 0.2
	defaultConnIdleSeconds       = 10.0
	defaultConnectTimeoutSeconds = 1.0
)

var errNoCapacity = errors.New("connection limit reached and no connection became free in time")

// hostPool holds an upstream for each listed host. Only the owner adds and removes hosts.
type hostPool struct {
	bufs          *wire.Pool
	clock         clock
	lastByteDelay time.Duration // time for which the last byte of a message is held back
	budget        *connBudget
	settings      atomic.Pointer[hostSettings]

	mu   sync.Mutex
	byID map[balancer.HostID]*upstream
}

// hostSettings holds the settings that concern connections to hosts.
type hostSettings struct {
	reportColumns               []string
	connectTimeout, idleTimeout time.Duration
	drainGraceSeconds           float64 // time after a host starts to drain in which requests may still be sent to it
}

func newHostSettings(s *settings.Settings, c *balancer.Config) *hostSettings {
	return &hostSettings{reportColumns: s.Columns(), drainGraceSeconds: c.DrainGrace / 2,
		connectTimeout: seconds(cmp.Or(c.ConnectTimeout, defaultConnectTimeoutSeconds)),
		idleTimeout:    seconds(idleTimeoutShare * cmp.Or(s.Limits.ConnIdleS, defaultConnIdleSeconds))}
}

// upstream is one host, with its address and idle connections.
type upstream struct {
	pool   *hostPool
	listed bool // guarded by pool.mu

	mu        sync.Mutex
	addr      string
	startedAt float64     // start time of its process, from the list
	drainedAt float64     // clock time when its drain or removal was learned; 0: it takes requests
	idle      []*hostConn // most recently used last; the last is used first
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

// update applies a host list or changes to one. It closes idle connections to hosts that take no new requests.
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
			u.applyEntry("", balancer.Host{Status: balancer.Removed}, now) // for attempts that still refer to this upstream
			delete(h.byID, id)
		}
	}
}

// applyEntry applies an entry of the host list to the upstream. An empty addr keeps the known address.
func (u *upstream) applyEntry(addr string, e balancer.Host, now float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved := addr != "" && addr != u.addr
	if moved {
		u.addr = addr
	}
	// After a restart, the connections to the old process are of no use. A host that has lost its network for a time
	// resets them only when they are used, so they are closed here.
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

// closeIdle closes all idle connections. The caller holds u.mu.
func (u *upstream) closeIdle() {
	for _, c := range u.idle {
		go c.close() // in a goroutine, since the owner does no I/O
	}
	u.idle = nil
}

// connect returns an idle connection to the host, or a new one if there is none or if fresh is set.
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
		return nil, errors.New("host is draining") // catches requests that were under way when the drain was learned
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
	c := &hostConn{upstream: u, addr: addr, conn: nc, meter: wire.LimitedReader{R: nc}}
	c.br = u.pool.bufs.Reader(&c.meter)
	go c.read()
	return c, nil
}

// reserve reserves a connection. If the limit is reached, it closes an idle connection to some host and waits.
func (h *hostPool) reserve(ctx context.Context) bool {
	if h.budget.tryAcquireHost() {
		return true
	}
	if c := h.takeLeastUseful(); c != nil {
		c.close()
	}
	return h.budget.awaitHost(ctx, h.settings.Load().connectTimeout)
}

// idleTimeout returns how long a connection may be idle. It is shortened by a random part of up to a fifth, so that the
// connections opened in one burst do not all end, and have to be opened again, at the same time. The most recently used
// connection is reused first, so no more connections stay open than were in use at once within this time.
func (h *hostPool) idleTimeout() time.Duration {
	idle := h.settings.Load().idleTimeout
	return idle - time.Duration(rand.Float64()*idleTimeoutJitter*float64(idle))
}

// closeIdle closes up to n idle connections.
func (h *hostPool) closeIdle(n int) {
	for range n {
		c := h.takeLeastUseful()
		if c == nil {
			return
		}
		c.close()
	}
}

// takeLeastUseful removes and returns the least recently used idle connection of the host that has the most of them:
// the other connections of that host are used first. It returns nil if there is none.
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

// putIdle keeps a connection for later use. It returns false if the host takes no new requests or has moved.
func (u *upstream) putIdle(c *hostConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.drainedAt > 0 || c.addr != u.addr {
		return false
	}
	u.idle = append(u.idle, c)
	return true
}

// removeIdle removes an idle connection that has ended.
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

// hostConn is a connection to a host. It carries one call at a time. Its reading goroutine lives as long as the
// connection and also watches it while it is idle.
type hostConn struct {
	upstream *upstream
	addr     string
	conn     net.Conn
	meter    wire.LimitedReader
	br       *bufio.Reader
	reused   bool // it has carried a call before

	mu   sync.Mutex
	call *call // current call; nil: the connection is idle
	dead bool
}

// call is one message to a host and its response. done receives exactly one hostResponse.
type call struct {
	done    chan hostResponse
	started chan hostResponse // receives the first part of a long response, before done
}

func newCall() *call {
	return &call{done: make(chan hostResponse, 1), started: make(chan hostResponse, 1)}
}

// wait returns the response. For a long response it calls begun first; started and done may both be ready.
func (c *call) wait(begun func(hostResponse)) hostResponse {
	select {
	case b := <-c.started:
		begun(b)
		return <-c.done
	case r := <-c.done:
		if r.stream != nil { // started has it or is about to
			begun(<-c.started)
		}
		return r
	}
}

// discard waits for a response that is not wanted.
func (c *call) discard() hostResponse { return c.wait(func(b hostResponse) { b.stream.abandon() }) }

// checkOpen fails once the host has responded or the connection has broken.
func (c *call) checkOpen() error {
	if len(c.done) > 0 || len(c.started) > 0 {
		return errBroken
	}
	return nil
}

// startCall prepares the connection for a call. It fails if the host has closed the connection or sent bytes that no
// call asked for.
func (c *hostConn) startCall(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes, ended := wire.Pending(c.conn); c.dead || bytes || ended {
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

// read reads responses until the connection ends.
func (c *hostConn) read() {
	for c.readOne() {
	}
	c.close()
	c.upstream.pool.bufs.PutReader(c.br)
	c.upstream.pool.budget.releaseHost()
}

// readOne waits for the next response and reports whether the connection stays open.
func (c *hostConn) readOne() bool {
	c.meter.SetLimit(maxHeadBytes)
	_, err := c.br.Peek(1)
	call := c.currentCall()
	switch {
	case call == nil:
		c.upstream.removeIdle(c)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return true // the idle timeout passed just as the call started
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

// currentCall returns the call that received bytes belong to. Without one, the host has closed the idle connection or
// sent unexpected bytes, or the idle timeout has passed, and the connection is marked dead.
func (c *hostConn) currentCall() *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == nil {
		c.dead = true
	}
	return c.call
}

// release makes the connection idle. It is called once nothing of the call can close the connection any more.
func (c *hostConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetReadDeadline(time.Now().Add(c.upstream.pool.idleTimeout()))
	if c.dead || !c.upstream.putIdle(c) {
		c.conn.Close()
	}
}
