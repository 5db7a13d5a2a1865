package proxy

import (
	"runtime"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/places"
)

const (
	keepEvery = 250 * time.Millisecond // at which what has been idle for too long is looked for
	turnEvery = 1 * time.Millisecond   // at which who waits at the desk is looked at
	keepBatch = 64                     // connections ended between two looks at whether others want to run
	keepMost  = 1024                   // ended at one look, so that a great many idle times over together are spread
)

// park leaves a connection without a goroutine until it has something to read. It says false if the connection has to go
// on with one.
func (f *front) park(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.seat.Kind() >= places.Ending {
		return false
	}
	if err := f.lot.Arm(&c.spot, c.conn, c); err != nil {
		f.log.Debug("not parked", zap.Error(err))
		return false
	}
	c.parked = true
	return true
}

// wake takes up a connection that has something to read.
func (f *front) wake(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.parked { // it has been ended since, and is being looked at for that
		return
	}
	c.parked = false
	now := f.now()
	f.book.Begin(now, &c.seat)
	f.comeToDesk(now, c)
}

// comeToDesk reads what a connection brings, or lets it wait for that. mu is held.
func (f *front) comeToDesk(now time.Duration, c *client) {
	if f.desk.Come(now, &c.turn, c) == places.Wait {
		ask(f.kick)
		return
	}
	go c.serve(places.Serve, 0)
}

// callNext gives turns to those that wait for one. mu is held.
func (f *front) callNext(now time.Duration) {
	for {
		holder, v, waited := f.desk.Next(now)
		if holder == nil {
			return
		}
		go holder.(*client).serve(v, waited)
	}
}

// settle parks a connection whose goroutine ends, or ends it too.
func (c *client) settle(goesOn bool) {
	f := c.front
	f.bufs.putReader(c.br)
	c.br = nil
	f.mu.Lock()
	f.desk.Leave(&c.turn)
	f.callNext(f.now())
	f.mu.Unlock()
	if !goesOn || !f.park(c) {
		f.end(c)
	}
}

// endParked ends a connection whose place is wanted. A request that has come meanwhile is served first.
func (f *front) endParked(c *client) {
	if bytes, _ := arrived(c.conn); bytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.comeToDesk(f.now(), c)
		return
	}
	f.end(c)
}

// end closes a connection and forgets it. Nothing else has it any more.
func (f *front) end(c *client) {
	c.conn.Close()
	f.mu.Lock()
	f.lot.Leave(&c.spot)
	f.book.Leave(&c.seat)
	f.mu.Unlock()
	<-f.slots
	f.wg.Done()
}

// keep ends connections whose time is over, and gives turns to those that have waited for one, until the front's end. Its
// work grows with what ends, not with what is held.
func (f *front) keep() {
	timer := time.NewTimer(keepEvery)
	defer timer.Stop()
	for {
		select {
		case <-f.ended:
			return
		case <-f.kick:
		case <-timer.C:
		}
		f.endNamed()
		f.mu.Lock()
		f.callNext(f.now())
		next := keepEvery
		if f.desk.Waiting() > 0 {
			next = turnEvery
		}
		f.mu.Unlock()
		timer.Reset(next)
	}
}

func (f *front) endNamed() {
	for range keepMost / keepBatch {
		f.mu.Lock()
		if f.unlockAndEnd(f.now(), keepBatch) {
			return
		}
		runtime.Gosched() // on one core everything else waits for this
	}
}

// frontFigures is what operators can read of a front.
type frontFigures struct {
	Places places.Figures
	Desk   places.DeskFigures
	Warm   int
}

func (f *front) figures() frontFigures {
	f.mu.Lock()
	defer f.mu.Unlock()
	return frontFigures{f.book.Figures(), f.desk.Figures(), f.warm}
}
