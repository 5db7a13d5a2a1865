package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

const acceptPause = 5 * time.Millisecond // after a failed accept: out of descriptors it would fail at once again

// front takes connections of clients and keeps count of them.
type front struct {
	ln    net.Listener
	log   *zap.Logger
	owner *owner
	bufs  *pool
	names *names
	times timing
	most  int           // connections served
	slots chan struct{} // connections served, and the few over that are turned down with an answer

	closed chan struct{} // with the listener, for an accept that waits for a place

	wg       sync.WaitGroup
	mu       sync.Mutex
	clients  map[*client]struct{}
	draining bool // answers close their connection
}

func newFront(ln net.Listener, most int, o *owner, bufs *pool, n *names, t timing, log *zap.Logger) *front {
	return &front{ln: ln, log: log, owner: o, bufs: bufs, names: n, times: t, most: most,
		slots: make(chan struct{}, most+shedReserve), closed: make(chan struct{}), clients: map[*client]struct{}{}}
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
	f.mu.Lock()
	over := len(f.clients) >= f.most && !f.makeRoom()
	cl := &client{front: f, conn: c, over: over, use: fresh, since: time.Now()}
	cl.meter.r = cl
	f.clients[cl] = struct{}{}
	f.mu.Unlock()
	f.wg.Go(func() {
		cl.serve()
		f.mu.Lock()
		delete(f.clients, cl)
		f.mu.Unlock()
		<-f.slots
	})
}

// makeRoom ends the connection that is missed least: what only waits for its end, then what has brought no request,
// whole or at all, then what is idle, and of equals the one that is so for longest. A request that is being worked on, or
// a further one that is coming, is never cut off. f.mu is held.
func (f *front) makeRoom() bool {
	var least *client
	var at use
	var first time.Time
	for cl := range f.clients {
		u, since := cl.place()
		if u > idle || u == started && time.Since(since) < f.times.late {
			continue
		}
		if least == nil || u < at || u == at && since.Before(first) {
			least, at, first = cl, u, since
		}
	}
	if least != nil {
		least.giveWay()
	}
	return least != nil
}

// drain makes every answer from now on the last of its connection, and ends those that are idle. It is called again
// when nothing new can come any more.
func (f *front) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for cl := range f.clients {
		cl.leave()
	}
}

func (f *front) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
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
