package proxy

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/places"
)

const (
	acceptPause = 5 * time.Millisecond // after a failed accept: out of descriptors it would fail at once again
	reapMost    = 1 << 20
)

// front takes connections of clients. Which of them keep their places its book decides.
type front struct {
	ln    net.Listener
	log   *zap.Logger
	owner *owner
	bufs  *pool
	names *names
	times timing
	since time.Time     // the book's zero
	slots chan struct{} // connections served, and the few over that are turned down with an answer

	closed chan struct{} // with the listener, for an accept that waits for a place

	wg   sync.WaitGroup
	mu   sync.Mutex
	book *places.Book
}

func newFront(ln net.Listener, most int, o *owner, bufs *pool, n *names, t timing, log *zap.Logger) *front {
	return &front{ln: ln, log: log, owner: o, bufs: bufs, names: n, times: t, since: time.Now(),
		slots: make(chan struct{}, most+shedReserve), closed: make(chan struct{}),
		book: places.New(places.Config{Most: most, Fresh: t.fresh, Late: t.late, Idle: t.idle, IdleLeast: t.idleLeast})}
}

// accept takes connections until the listener closes or its deadline passes. When all places are taken, those that
// wait in the backlog stay there until one is free.
func (f *front) accept() {
	for {
		select {
		case f.slots <- struct{}{}:
		case <-f.closed:
			return
		}
		c, err := f.ln.Accept()
		if err == nil {
			f.admit(c)
			continue
		}
		<-f.slots
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		f.log.Warn("accept failed", zap.Error(err))
		time.Sleep(acceptPause)
	}
}

// admit starts to serve a connection. Over the bound another makes room; without any, the new one gets a plain failure
// for its first request.
func (f *front) admit(c net.Conn) {
	cl := &client{front: f, conn: c, accepted: time.Now()}
	cl.meter.r = cl
	f.seat(func(now time.Duration) {
		c.SetReadDeadline(cl.accepted.Add(f.times.fresh))
		f.book.Enter(now, origin(c), &cl.seat, cl)
	})
	f.wg.Go(func() {
		cl.serve()
		f.seat(func(time.Duration) { f.book.Leave(&cl.seat) })
		<-f.slots
	})
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
	defer f.mu.Unlock()
	now := time.Since(f.since)
	tell(now)
	for _, s := range f.book.Reap(now, reapMost) {
		s.Holder().(*client).giveWay()
	}
}

// drain makes every answer from now on the last of its connection, and ends those that are idle. It is called again
// when nothing new can come any more.
func (f *front) drain() { f.seat(f.book.Drain) }

// figures is what the book says of now.
func (f *front) figures() places.Figures {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Figures()
}

// close ends accepting.
func (f *front) close() {
	f.ln.Close()
	close(f.closed)
}

// backlog takes what clients have already connected and this proxy has not yet accepted: closing the listener would
// reset those connections and lose their requests.
func (f *front) backlog(within time.Duration) {
	if d, ok := f.ln.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(within))
	}
}
