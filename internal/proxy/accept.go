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
	acceptRetryDelay = 5 * time.Millisecond // after a failed accept: out of descriptors it would fail at once again
	maxInlineCloses  = 16                   // connections that one event of another may end on its way; the keeper ends the rest
)

// front takes connections of clients. Which of them keep their places its book decides, and whose requests are read its
// desk. A connection that brings nothing is parked.
type frontend struct {
	ln     net.Listener
	log    *zap.Logger
	owner  *owner
	bufs   *wire.Pool
	names  atomic.Pointer[nameIndex]
	times  timing
	limits frontendLimits
	budget *connBudget
	// giveBack closes so many idle connections to hosts.
	closeIdleHostConns func(int)
	start              time.Time     // zero of the book's and the desk's time
	slotFreed          chan struct{} // wakes an accept that waits for a place
	poller             *park.Lot
	maintenanceDue     chan struct{} // wakes the keeper
	closed             chan struct{} // with the listener, for an accept that waits for a place
	stopped            chan struct{} // ends the keeper

	wg             sync.WaitGroup // of connections
	mu             sync.Mutex
	open           int // connections, those over the limit that are turned down with an answer too
	connTable      *places.Book
	admission      *places.Desk
	warm           int  // connections that wait for their next request with a goroutine and a reader
	sheddingLogged bool // requests are refused unread, and that has been logged
	limitLogged    bool // the limit of connections was reached, and has been logged
}

// frontLimits is what a front may hold.
type frontendLimits struct {
	machineMax         int // connections that the machine allows
	maxConns           int // that the operator allows
	byAddress          bool
	admission          places.DeskConfig
	goroutinePerParked bool // a goroutine for each connection that waits
	maxWarm            int  // connections that may wait unparked for a moment after a request
}

func newFrontend(ln net.Listener, l frontendLimits, r *connBudget, giveBack func(int), o *owner, bufs *wire.Pool, n *nameIndex, t timing,
	log *zap.Logger) (*frontend, error) {
	f := &frontend{ln: ln, log: log, budget: r, closeIdleHostConns: giveBack, owner: o, bufs: bufs, times: t, limits: l,
		start: time.Now(), slotFreed: make(chan struct{}, 1), maintenanceDue: make(chan struct{}, 1),
		closed: make(chan struct{}), stopped: make(chan struct{}), admission: places.NewDesk(l.admission),
		connTable: places.New(connTableConfig(l, t))}
	f.names.Store(n)
	r.onHostShortage = func() { ask(f.maintenanceDue) }
	wake := func(holder any) { f.wake(holder.(*clientConn)) }
	if l.goroutinePerParked {
		f.poller = park.NewWatchers(wake)
		return f, nil
	}
	var err error
	f.poller, err = park.New(wake)
	return f, err
}

// awaitPlace waits until one more connection may be held, and says whether the listener is still open.
func (f *frontend) waitForCapacity() bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		free := f.open < min(f.limits.maxConns, f.budget.limit(places.Callers))+shedReserve
		f.mu.Unlock()
		if free {
			return true
		}
		timer.Reset(maintenanceInterval) // hosts may have given some back, of which nobody tells
		select {
		case <-f.closed:
			return false
		case <-f.slotFreed:
		case <-timer.C:
		}
	}
}

func connTableConfig(l frontendLimits, t timing) places.Config {
	return places.Config{Most: l.maxConns, Fresh: t.firstRequestTimeout, Late: t.lateGrace, Idle: t.idleTimeout, IdleLeast: t.idleTimeoutFull,
		ByAddress: l.byAddress}
}

// configure takes over what the operator says of connections now. What is over a lowered limit ends as soon as it is
// idle.
func (f *frontend) configure(c site.Connections) {
	f.updateTable(func(time.Duration) {
		t := f.times
		t.set(c)
		f.limits.maxConns = clientLimit(f.limits.machineMax, c)
		f.connTable.Configure(connTableConfig(f.limits, t))
	})
}

// accept takes connections until the listener closes or its deadline passes. When all places are taken, those that
// wait in the backlog stay there until one is free.
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
		// Descriptors may be short in ways that no limit foresees. One that is idle is missed less than a new one.
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			f.updateTable(f.connTable.Shed)
		}
		time.Sleep(acceptRetryDelay)
	}
}

// admit starts to hold a connection. Over the limit another makes room; without any, the new one gets a plain failure for
// its first request.
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
		f.connTable.Enter(now, sourceIP(c), &cl.entry, cl)
		f.logLimit(&cl.entry)
		over = cl.entry.Kind() == places.Over
	})
	if over || !f.park(cl) {
		c.SetReadDeadline(cl.accepted.Add(f.times.firstRequestTimeout))
		go cl.serve(places.Serve, 0)
	}
}

// makeLimit asks for room for more connections of clients and gives the book its limit, which what hosts hold may bring
// under the operator's. mu is held.
func (f *frontend) updateLimit(more int) {
	count := f.connTable.Count()
	limit := f.budget.claimClients(count + more)
	if limit < count+more {
		ask(f.maintenanceDue) // hosts may hold some that they can give back
	}
	f.connTable.SetMost(min(f.limits.maxConns, limit))
}

// noteLimit logs when the limit of connections begins to bind, and when it has ceased to. mu is held.
func (f *frontend) logLimit(s *places.Seat) {
	over := s.Kind() == places.Over
	if !over && !f.limitLogged {
		return
	}
	switch figures := f.connTable.Figures(); {
	case over && !f.limitLogged:
		f.limitLogged = true
		f.log.Warn("connections of clients: limit reached with none idle, new ones get an error",
			zap.Int("limit", figures.Most), zap.Int("active", figures.Held[places.Active]))
	case f.limitLogged && figures.Press < 0.8:
		f.limitLogged = false
		f.log.Info("connections of clients: below the limit again", zap.Uint64("turned down", figures.Refused))
	}
}

// origin is the address that a connection comes from.
func sourceIP(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// seat tells the book something, and ends the connections that it then names.
func (f *frontend) updateTable(tell func(now time.Duration)) {
	f.mu.Lock()
	now := f.now()
	count := f.connTable.Count()
	tell(now)
	if f.connTable.Count() != count {
		f.budget.claimClients(f.connTable.Count())
	}
	f.unlockAndClose(now, maxInlineCloses)
}

// now is the book's and the desk's time.
func (f *frontend) now() time.Duration { return time.Since(f.start) }

// unlockAndEnd releases mu and ends up to n connections that the book has named.
func (f *frontend) unlockAndClose(now time.Duration, n int) (all bool) {
	named := f.connTable.Reap(now, n)
	idle := make([]*clientConn, 0, len(named))
	for _, s := range named {
		c := s.Holder().(*clientConn)
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
	if len(named) == n {
		ask(f.maintenanceDue)
	}
	return len(named) < n
}

// part makes every answer from now on the last of its connection, and leaves idle connections as they are.
func (f *frontend) closeAfterResponses() { f.updateTable(func(time.Duration) { f.connTable.Part() }) }

// drain makes every answer from now on the last of its connection, and ends those that are idle. It is called again
// when nothing new can come any more.
func (f *frontend) drain() { f.updateTable(f.connTable.Drain) }

// close ends accepting.
func (f *frontend) close() {
	f.ln.Close()
	close(f.closed)
}

// stop ends what watches connections. None is held any more, or those that are will not be served.
func (f *frontend) stop() {
	close(f.stopped)
	f.poller.Close()
}

// backlog takes what clients have already connected and this proxy has not yet accepted: closing the listener would
// reset those connections and lose their requests.
func (f *frontend) setAcceptDeadline(within time.Duration) {
	if d, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(within))
	}
}
