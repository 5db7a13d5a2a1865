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
	idleShare       = 0.7
	retireSpread    = 0.2
	defaultConnIdle = 10.0
	defaultConnect  = 1.0
)

var errNoRoom = errors.New("no room for a further connection")

// hosts holds what is kept for the hosts of the list: addresses and connections. Only the owner adds and removes.
type hosts struct {
	bufs   *wire.Pool
	clock  clock
	settle time.Duration // for which a message's last byte is held back
	room   *room
	by     atomic.Pointer[hostSettings]

	mu  sync.Mutex
	all map[balancer.HostID]*upstream
}

// hostSettings is what the settings say of connections to hosts.
type hostSettings struct {
	columns       []string
	connect, idle time.Duration
	grace         float64 // seconds after word of a drain in which a request may still be written
}

func newHostSettings(s *settings.Settings, c *balancer.Config) *hostSettings {
	return &hostSettings{columns: s.Columns(), grace: c.DrainGrace / 2,
		connect: seconds(cmp.Or(c.ConnectTimeout, defaultConnect)),
		idle:    seconds(idleShare * cmp.Or(s.Limits.ConnIdleS, defaultConnIdle))}
}

// upstream is one host as the sockets see it.
type upstream struct {
	hosts  *hosts
	listed bool // guarded by hosts.mu

	mu      sync.Mutex
	addr    string
	started float64     // of its process, as the list says
	drained float64     // clock time of word that it drains or is gone; 0: it takes requests
	idle    []*hostConn // the one used last comes last and is used first
}

func newHosts(cfg *Config, c clock, bufs *wire.Pool, r *room, t timing) *hosts {
	h := &hosts{bufs: bufs, clock: c, settle: t.settle, room: r, all: map[balancer.HostID]*upstream{}}
	h.by.Store(newHostSettings(cfg.Settings, &cfg.Balancer))
	return h
}

func (h *hosts) find(id balancer.HostID) *upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[id]
}

// update takes a list or changes to one. Idle connections to hosts that want nothing new are closed.
func (h *hosts) update(kind balancer.ListKind, list catalog, now float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind != balancer.ListChanges {
		for _, u := range h.all {
			u.listed = false
		}
	}
	for i, e := range list.hosts {
		u := h.all[e.ID]
		if u == nil {
			u = &upstream{hosts: h}
			h.all[e.ID] = u
		}
		u.listed = e.Status != balancer.Removed
		u.told(list.addrs[i], e, now)
	}
	for id, u := range h.all {
		if !u.listed {
			u.told("", balancer.Host{Status: balancer.Removed}, now) // whoever still has it keeps no connection
			delete(h.all, id)
		}
	}
}

// told takes a host's entry.
func (u *upstream) told(addr string, e balancer.Host, now float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	moved := addr != "" && addr != u.addr
	if moved {
		u.addr = addr
	}
	// A machine that was cut off resets the connections to its old process only when they are used.
	restarted := e.Started != 0 && e.Started != u.started
	u.started = e.Started
	if e.Status == balancer.Ready {
		u.drained = 0
	} else if u.drained == 0 {
		u.drained = now
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
	addr, drained := u.addr, u.drained
	var c *hostConn
	if n := len(u.idle); n > 0 && !fresh {
		c, u.idle = u.idle[n-1], u.idle[:n-1]
	}
	u.mu.Unlock()
	if drained > 0 && u.hosts.clock.now() > drained+u.hosts.by.Load().grace {
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
	if !u.hosts.reserve(ctx) {
		return nil, errNoRoom
	}
	dialer := net.Dialer{Timeout: u.hosts.by.Load().connect, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		u.hosts.room.giveHost()
		return nil, fmt.Errorf("host: %w", err)
	}
	c := &hostConn{up: u, addr: addr, conn: nc, meter: wire.Meter{R: nc}}
	c.br = u.hosts.bufs.Reader(&c.meter)
	go c.read()
	return c, nil
}

// reserve takes a place for a connection. If all are taken, an idle connection to some host makes room.
func (h *hosts) reserve(ctx context.Context) bool {
	if h.room.takeHost() {
		return true
	}
	if c := h.takeIdle(); c != nil {
		c.close()
	}
	return h.room.awaitHost(ctx, h.by.Load().connect)
}

// retire is how long a connection may be idle: up to a fifth less than the most, so that those of one burst do not all end
// and come anew together. The one used last is used first, so no more stay than were in use at once in that time.
func (h *hosts) retire() time.Duration {
	idle := h.by.Load().idle
	return idle - time.Duration(rand.Float64()*retireSpread*float64(idle))
}

// giveBack closes up to n idle connections.
func (h *hosts) giveBack(n int) {
	for range n {
		c := h.takeIdle()
		if c == nil {
			return
		}
		c.close()
	}
}

// takeIdle takes an idle connection away from the host that has most of them: the one used longest ago, which is missed
// least, as the others carry what comes first.
func (h *hosts) takeIdle() *hostConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var from *upstream
	most := 0
	for _, u := range h.all {
		if n := u.idleCount(); n > most {
			from, most = u, n
		}
	}
	if from == nil {
		return nil
	}
	return from.takeOldest()
}

func (u *upstream) idleCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.idle)
}

func (u *upstream) takeOldest() *hostConn {
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
func (u *upstream) keep(c *hostConn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.drained > 0 || c.addr != u.addr {
		return false
	}
	u.idle = append(u.idle, c)
	return true
}

// forget removes a connection that has ended while it was idle.
func (u *upstream) forget(c *hostConn) {
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
	up     *upstream
	addr   string
	conn   net.Conn
	meter  wire.Meter
	br     *bufio.Reader
	reused bool // it carried a call before

	mu   sync.Mutex
	call *call // at hand; nil: idle
	dead bool
}

// call is one message to a host and the answer to it. done gets exactly one reply.
type call struct {
	done  chan reply
	begun chan reply // the begin of a long answer, ahead of done
}

func newCall() *call { return &call{done: make(chan reply, 1), begun: make(chan reply, 1)} }

// wait gives the reply, and tells begun first if its answer is a long one: the two may have come together.
func (c *call) wait(begun func(reply)) reply {
	select {
	case b := <-c.begun:
		begun(b)
		return <-c.done
	case r := <-c.done:
		if r.long != nil { // its begin is on the way, or there
			begun(<-c.begun)
		}
		return r
	}
}

// drop waits for a reply that nobody wants.
func (c *call) drop() reply { return c.wait(func(b reply) { b.long.leave() }) }

// stands fails once the host has answered or its connection has broken.
func (c *call) stands() error {
	if len(c.done) > 0 || len(c.begun) > 0 {
		return errBroken
	}
	return nil
}

// begin readies the connection for a call. It fails if the host has closed it meanwhile, or said something unasked.
func (c *hostConn) begin(call *call) bool {
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
	c.up.hosts.bufs.PutReader(c.br)
	c.up.hosts.room.giveHost()
}

// readOne waits for what comes next and says whether the connection goes on.
func (c *hostConn) readOne() bool {
	c.meter.Allow(maxHead)
	_, err := c.br.Peek(1)
	call := c.atHand()
	switch {
	case call == nil:
		c.up.forget(c)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return true // it was about to be retired when the call came
	case err != nil:
		call.done <- reply{err: err}
		return false
	}
	r := c.readReply(call)
	c.mu.Lock()
	c.call = nil
	c.mu.Unlock()
	call.done <- r
	return r.reusable
}

// atHand gives the call that something read belongs to. If there is none, the host has ended or broken an idle
// connection, or it is time to retire it.
func (c *hostConn) atHand() *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == nil {
		c.dead = true
	}
	return c.call
}

// rest makes the connection idle. Whose call it carried does so, after nothing of that call can close it any more.
func (c *hostConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetReadDeadline(time.Now().Add(c.up.hosts.retire()))
	if c.dead || !c.up.keep(c) {
		c.conn.Close()
	}
}
