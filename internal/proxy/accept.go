package proxy

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/park"
	"beechwing/internal/places"
	"beechwing/internal/site"
	"beechwing/internal/wire"
)

const (
	acceptRetryDelay = 5 * time.Millisecond // without a pause, accept would fail again at once while descriptors are short
	maxInlineCloses  = 16                   // connections that one table update may close; the maintenance loop closes the rest
)

// frontend accepts client connections. The connection table decides which of them are closed when connections run
// short, and the admission queue decides whose requests are read. A connection on which nothing arrives is parked.
type frontend struct {
	ln     net.Listener
	log    *zap.Logger
	owner  *owner
	bufs   *wire.Pool
	names  atomic.Pointer[nameIndex]
	times  timing
	limits frontendLimits
	budget *connBudget
	// closeIdleHostConns closes up to n idle connections to hosts.
	closeIdleHostConns func(int)
	start              time.Time     // zero point of the times passed to connTable and admission
	slotFreed          chan struct{} // wakes an accept loop that waits for capacity
	poller             *park.Poller  // wakes parked connections
	maintenanceDue     chan struct{} // wakes the maintenance loop
	closed             chan struct{} // closed together with the listener; ends an accept loop that waits for capacity
	stopped            chan struct{} // ends the maintenance loop

	wg             sync.WaitGroup // one per connection
	mu             sync.Mutex     // guards what follows
	open           int            // connections, including those over the limit that get an error response
	connTable      *places.ConnTable
	admission      *places.RequestQueue
	warm           int  // idle connections that still have a goroutine and a reader
	sheddingLogged bool // the log says that requests are refused unread
	limitLogged    bool // the log says that the connection limit is reached
}

// frontendLimits bounds what a frontend may hold.
type frontendLimits struct {
	machineMax         int // connections that descriptors and memory allow
	maxConns           int // connections allowed: machineMax or the configured limit, if that is lower
	byAddress          bool
	admission          places.RequestQueueConfig
	goroutinePerParked bool // each parked connection has a goroutine instead of an epoll registration
	maxWarm            int  // most connections that may stay unparked for a moment after a request
}

func newFrontend(ln net.Listener, l frontendLimits, r *connBudget, closeIdleHostConns func(int), o *owner,
	bufs *wire.Pool, n *nameIndex, t timing, log *zap.Logger) (*frontend, error) {
	f := &frontend{ln: ln, log: log, budget: r, closeIdleHostConns: closeIdleHostConns, owner: o, bufs: bufs, times: t,
		limits: l, start: time.Now(), slotFreed: make(chan struct{}, 1), maintenanceDue: make(chan struct{}, 1),
		closed: make(chan struct{}), stopped: make(chan struct{}), admission: places.NewRequestQueue(l.admission),
		connTable: places.NewConnTable(connTableConfig(l, t))}
	f.names.Store(n)
	r.onHostShortage = func() { signal(f.maintenanceDue) }
	wake := func(holder any) { f.wake(holder.(*clientConn)) }
	if l.goroutinePerParked {
		f.poller = park.NewGoroutinePoller(wake)
		return f, nil
	}
	var err error
	f.poller, err = park.NewEpollPoller(wake)
	return f, err
}

// waitForCapacity waits until one more connection may be held. It returns false if the listener has been closed.
func (f *frontend) waitForCapacity() bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		free := f.open < min(f.limits.maxConns, f.budget.limit(places.ClientSide))+overflowConns
		f.mu.Unlock()
		if free {
			return true
		}
		timer.Reset(maintenanceInterval) // connections to hosts may have been released, which sends no signal
		select {
		case <-f.closed:
			return false
		case <-f.slotFreed:
		case <-timer.C:
		}
	}
}

func connTableConfig(l frontendLimits, t timing) places.Config {
	return places.Config{MaxConns: l.maxConns, FirstRequestTimeout: t.firstRequestTimeout, PartialProtection: t.lateGrace,
		IdleTimeout: t.idleTimeout, MinIdleTimeout: t.idleTimeoutFull, ByAddress: l.byAddress}
}

// configure applies the configured connection settings. Connections beyond a lowered limit are closed as soon as they
// are idle.
func (f *frontend) configure(c site.Connections) {
	f.updateTable(func(time.Duration) {
		t := f.times
		t.set(c)
		f.limits.maxConns = clientLimit(f.limits.machineMax, c)
		f.connTable.Configure(connTableConfig(f.limits, t))
	})
}

// accept accepts connections until the listener is closed or its deadline passes. While the limit is reached, new
// connections stay in the listen backlog.
func (f *frontend) accept() {
	failing := false
	for f.waitForCapacity() {
		c, err := f.ln.Accept()
		if err == nil {
			failing = false
			f.admit(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if !failing {
			f.log.Warn("accept failed", zap.Error(err))
			failing = true
		}
		// The process may run out of descriptors in ways that the limits do not cover. An idle connection is worth
		// less than a new one, so one is closed.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			f.updateTable(f.connTable.Evict)
		}
		time.Sleep(acceptRetryDelay)
	}
}

// admit registers a new connection. If the limit is reached, a connection that is not serving a request is closed for
// it. If there is none, the first request on the new connection gets an error response.
func (f *frontend) admit(c net.Conn) {
	cl := &clientConn{front: f, conn: c, accepted: time.Now()}
	cl.meter.R = cl
	f.wg.Add(1)
	if line := f.log.Check(zap.DebugLevel, "accepted"); line != nil {
		line.Write(zap.Stringer("from", c.RemoteAddr()))
	}
	over := false
	f.updateTable(func(now time.Duration) {
		f.open++
		f.updateLimit(1)
		f.connTable.Add(now, sourceIP(c), &cl.entry, cl)
		f.logLimit(&cl.entry)
		over = cl.entry.State() == places.StateOverLimit
	})
	if over || !f.park(cl) {
		c.SetReadDeadline(cl.accepted.Add(f.times.firstRequestTimeout))
		go cl.serve(places.Serve, 0)
	}
}

// updateLimit claims budget for extra client connections and passes the resulting limit to the connection table.
// Connections to hosts may push that limit below the configured one. The caller holds mu.
func (f *frontend) updateLimit(extra int) {
	count := f.connTable.Count()
	limit := f.budget.claimClients(count + extra)
	if limit < count+extra {
		signal(f.maintenanceDue) // idle connections to hosts may be closed to free some budget
	}
	f.connTable.SetMaxConns(min(f.limits.maxConns, limit))
}

// logLimit logs when the connection limit is reached, and when usage has fallen well below it. The caller holds mu.
func (f *frontend) logLimit(s *places.Conn) {
	over := s.State() == places.StateOverLimit
	if !over && !f.limitLogged {
		return
	}
	switch figures := f.connTable.Stats(); {
	case over && !f.limitLogged:
		f.limitLogged = true
		f.log.Warn("connections of clients: limit reached with none idle, new ones get an error",
			zap.Int("limit", figures.MaxConns), zap.Int("active", figures.Held[places.StateActive]))
	case f.limitLogged && figures.Pressure < 0.8:
		f.limitLogged = false
		f.log.Info("connections of clients: below the limit again", zap.Uint64("turned down", figures.Rejected))
	}
}

// sourceIP returns the remote IP address of a connection, or the zero Addr if the connection is not TCP.
func sourceIP(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// updateTable applies a change to the connection table and closes the connections that the table then selects.
func (f *frontend) updateTable(apply func(now time.Duration)) {
	f.mu.Lock()
	now := f.now()
	count := f.connTable.Count()
	apply(now)
	if f.connTable.Count() != count {
		f.budget.claimClients(f.connTable.Count())
	}
	f.unlockAndClose(now, maxInlineCloses)
}

// now returns the time that connTable and admission work with.
func (f *frontend) now() time.Duration { return time.Since(f.start) }

// unlockAndClose releases mu and closes up to n connections that the table has selected. It reports whether these
// were all.
func (f *frontend) unlockAndClose(now time.Duration, n int) (all bool) {
	selected := f.connTable.Reap(now, n)
	idle := make([]*clientConn, 0, len(selected))
	for _, s := range selected {
		c := s.Value().(*clientConn)
		if c.parked {
			c.parked = false
			idle = append(idle, c)
		} else {
			c.interrupt()
		}
	}
	f.mu.Unlock()
	for _, c := range idle {
		f.closeParked(c)
	}
	if len(selected) == n {
		signal(f.maintenanceDue)
	}
	return len(selected) < n
}

// closeAfterResponses makes every response from now on the last of its connection. Idle connections stay open.
func (f *frontend) closeAfterResponses() {
	f.updateTable(func(time.Duration) { f.connTable.CloseAfterResponse() })
}

// drain makes every response from now on the last of its connection and closes idle connections. It is called again
// once no new connections can arrive.
func (f *frontend) drain() { f.updateTable(f.connTable.Drain) }

// close stops accepting connections.
func (f *frontend) close() {
	f.ln.Close()
	close(f.closed)
}

// stop ends the maintenance loop and the poller of parked connections. It is called when no connection is left, or
// when those that are left will not be served.
func (f *frontend) stop() {
	close(f.stopped)
	f.poller.Close()
}

// setAcceptDeadline lets accept go on for the given time. In that time it accepts what is still in the listen
// backlog: closing the listener would reset those connections and lose their requests.
func (f *frontend) setAcceptDeadline(within time.Duration) {
	if d, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(within))
	}
}
