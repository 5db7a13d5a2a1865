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
	acceptPause = 5 * time.Millisecond // after a failed accept: out of descriptors it would fail at once again
	endAtOnce   = 16                   // connections that one event of another may end on its way; the keeper ends the rest
)

// front takes connections of clients. Which of them keep their places its book decides, and whose requests are read its
// desk. A connection that brings nothing is parked.
type front struct {
	ln     net.Listener
	log    *zap.Logger
	owner  *owner
	bufs   *wire.Pool
	names  atomic.Pointer[names]
	times  timing
	limits frontLimits
	room   *room
	// giveBack closes so many idle connections to hosts.
	giveBack func(int)
	since    time.Time     // zero of the book's and the desk's time
	space    chan struct{} // wakes an accept that waits for a place
	lot      *park.Lot
	kick     chan struct{} // wakes the keeper
	closed   chan struct{} // with the listener, for an accept that waits for a place
	ended    chan struct{} // ends the keeper

	wg       sync.WaitGroup // of connections
	mu       sync.Mutex
	open     int // connections, those over the limit that are turned down with an answer too
	book     *places.Book
	desk     *places.Desk
	warm     int  // connections that wait for their next request with a goroutine and a reader
	refusing bool // requests are refused unread, and that has been logged
	binding  bool // the limit of connections was reached, and has been logged
}

// frontLimits is what a front may hold.
type frontLimits struct {
	most        int // connections that the machine allows
	connections int // that the operator allows
	byAddress   bool
	desk        places.DeskConfig
	watchers    bool // a goroutine for each connection that waits
	warm        int  // connections that may wait unparked for a moment after a request
}

func newFront(ln net.Listener, l frontLimits, r *room, giveBack func(int), o *owner, bufs *wire.Pool, n *names, t timing,
	log *zap.Logger) (*front, error) {
	f := &front{ln: ln, log: log, room: r, giveBack: giveBack, owner: o, bufs: bufs, times: t, limits: l,
		since: time.Now(), space: make(chan struct{}, 1), kick: make(chan struct{}, 1),
		closed: make(chan struct{}), ended: make(chan struct{}), desk: places.NewDesk(l.desk),
		book: places.New(bookConfig(l, t))}
	f.names.Store(n)
	r.owing = func() { signal(f.kick) }
	wake := func(holder any) { f.wake(holder.(*client)) }
	if l.watchers {
		f.lot = park.NewWatchers(wake)
		return f, nil
	}
	var err error
	f.lot, err = park.New(wake)
	return f, err
}

// awaitPlace waits until one more connection may be held, and says whether the listener is still open.
func (f *front) awaitPlace() bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.mu.Lock()
		free := f.open < min(f.limits.connections, f.room.limit(places.Callers))+overflowConns
		f.mu.Unlock()
		if free {
			return true
		}
		timer.Reset(keepEvery) // hosts may have given some back, of which nobody tells
		select {
		case <-f.closed:
			return false
		case <-f.space:
		case <-timer.C:
		}
	}
}

func bookConfig(l frontLimits, t timing) places.Config {
	return places.Config{Most: l.connections, Fresh: t.fresh, Late: t.late, Idle: t.idle, IdleLeast: t.idleLeast,
		ByAddress: l.byAddress}
}

// configure takes over what the operator says of connections now. What is over a lowered limit ends as soon as it is
// idle.
func (f *front) configure(c site.Connections) {
	f.seat(func(time.Duration) {
		t := f.times
		t.set(c)
		f.limits.connections = clientLimit(f.limits.most, c)
		f.book.Configure(bookConfig(f.limits, t))
	})
}

// accept takes connections until the listener closes or its deadline passes. When all places are taken, those that
// wait in the backlog stay there until one is free.
func (f *front) accept() {
	failing := false
	for f.awaitPlace() {
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
			f.seat(f.book.Shed)
		}
		time.Sleep(acceptPause)
	}
}

// admit starts to hold a connection. Over the limit another makes room; without any, the new one gets a plain failure for
// its first request.
func (f *front) admit(c net.Conn) {
	cl := &client{front: f, conn: c, accepted: time.Now()}
	cl.meter.R = cl
	f.wg.Add(1)
	if line := f.log.Check(zap.DebugLevel, "accepted"); line != nil {
		line.Write(zap.Stringer("from", c.RemoteAddr()))
	}
	over := false
	f.seat(func(now time.Duration) {
		f.open++
		f.makeLimit(1)
		f.book.Enter(now, origin(c), &cl.seat, cl)
		f.noteLimit(&cl.seat)
		over = cl.seat.Kind() == places.Over
	})
	if over || !f.park(cl) {
		c.SetReadDeadline(cl.accepted.Add(f.times.fresh))
		go cl.serve(places.Serve, 0)
	}
}

// makeLimit asks for room for more connections of clients and gives the book its limit, which what hosts hold may bring
// under the operator's. mu is held.
func (f *front) makeLimit(more int) {
	count := f.book.Count()
	limit := f.room.clients(count + more)
	if limit < count+more {
		signal(f.kick) // hosts may hold some that they can give back
	}
	f.book.SetMost(min(f.limits.connections, limit))
}

// noteLimit logs when the limit of connections begins to bind, and when it has ceased to. mu is held.
func (f *front) noteLimit(s *places.Seat) {
	over := s.Kind() == places.Over
	if !over && !f.binding {
		return
	}
	switch figures := f.book.Figures(); {
	case over && !f.binding:
		f.binding = true
		f.log.Warn("connections of clients: limit reached with none idle, new ones get an error",
			zap.Int("limit", figures.Most), zap.Int("active", figures.Held[places.Active]))
	case f.binding && figures.Press < 0.8:
		f.binding = false
		f.log.Info("connections of clients: below the limit again", zap.Uint64("turned down", figures.Refused))
	}
}

// origin is the address that a connection comes from.
func origin(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// seat tells the book something, and ends the connections that it then names.
func (f *front) seat(tell func(now time.Duration)) {
	f.mu.Lock()
	now := f.now()
	count := f.book.Count()
	tell(now)
	if f.book.Count() != count {
		f.room.clients(f.book.Count())
	}
	f.unlockAndEnd(now, endAtOnce)
}

// now is the book's and the desk's time.
func (f *front) now() time.Duration { return time.Since(f.since) }

// unlockAndEnd releases mu and ends up to n connections that the book has named.
func (f *front) unlockAndEnd(now time.Duration, n int) (all bool) {
	named := f.book.Reap(now, n)
	idle := make([]*client, 0, len(named))
	for _, s := range named {
		c := s.Holder().(*client)
		if c.parked {
			c.parked = false
			idle = append(idle, c)
		} else {
			c.giveWay()
		}
	}
	f.mu.Unlock()
	for _, c := range idle {
		f.endParked(c)
	}
	if len(named) == n {
		signal(f.kick)
	}
	return len(named) < n
}

// part makes every answer from now on the last of its connection, and leaves idle connections as they are.
func (f *front) part() { f.seat(func(time.Duration) { f.book.Part() }) }

// drain makes every answer from now on the last of its connection, and ends those that are idle. It is called again
// when nothing new can come any more.
func (f *front) drain() { f.seat(f.book.Drain) }

// close ends accepting.
func (f *front) close() {
	f.ln.Close()
	close(f.closed)
}

// stop ends what watches connections. None is held any more, or those that are will not be served.
func (f *front) stop() {
	close(f.ended)
	f.lot.Close()
}

// backlog takes what clients have already connected and this proxy has not yet accepted: closing the listener would
// reset those connections and lose their requests.
func (f *front) backlog(within time.Duration) {
	if d, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(within))
	}
}
