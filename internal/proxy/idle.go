package proxy

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/places"
	"beechwing/internal/wire"
)

const (
	keepEvery = 250 * time.Millisecond // at which what has been idle for too long is looked for
	turnEvery = 1 * time.Millisecond   // at which who waits at the desk is looked at
	keepBatch = 24                     // connections ended without a rest; less than a millisecond's work
	keepRest  = 3 * time.Millisecond   // between batches
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
	f.comeToDesk(f.now(), c)
}

// comeToDesk reads what a connection brings, or lets it wait for that. mu is held.
func (f *front) comeToDesk(now time.Duration, c *client) {
	if f.desk.Come(now, &c.turn, c) == places.Wait {
		signal(f.kick)
		return
	}
	go c.serve(places.Serve, 0)
}

// callNext gives turns to those that wait for one. mu is held.
func (f *front) callNext(now time.Duration) {
	for {
		holder, v, waited := f.desk.Next(now)
		if f.noteDesk(v); holder == nil {
			return
		}
		go holder.(*client).serve(v, waited)
	}
}

// noteDesk logs when requests begin to be refused unread, and when none waits any more. mu is held.
func (f *front) noteDesk(v places.Verdict) {
	if v != places.Refuse && !f.refusing {
		return
	}
	switch d := f.desk.Figures(); {
	case v == places.Refuse && !f.refusing:
		f.refusing = true
		f.log.Warn("requests are refused unread: more came together than can be worked on", zap.Int("at work", d.Serving),
			zap.Int("of", d.Most), zap.Int("waiting", d.Waiting))
	case f.refusing && d.Waiting == 0 && d.Refusing == 0:
		f.refusing = false
		f.log.Info("no request waits to be read any more", zap.Uint64("refused", d.Refused))
	}
}

// settle parks a connection whose goroutine ends, or ends it too.
func (c *client) settle(goesOn bool) {
	f := c.front
	f.bufs.PutReader(c.br)
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
	if bytes, _ := wire.Arrived(c.conn); bytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.comeToDesk(f.now(), c)
		return
	}
	f.end(c)
}

// end closes a connection and forgets it. Nothing else has it any more.
func (f *front) end(c *client) {
	if line := f.log.Check(zap.DebugLevel, "connection ended"); line != nil {
		line.Write(zap.Stringer("from", c.conn.RemoteAddr()), zap.Bool("served", c.served))
	}
	c.conn.Close()
	f.mu.Lock()
	f.open--
	f.lot.Leave(&c.spot)
	f.book.Leave(&c.seat)
	f.room.clients(f.book.Count())
	f.mu.Unlock()
	signal(f.space)
	f.wg.Done()
}

// keep ends connections whose time is over, and gives turns to those that have waited for one, until the front's end. Its
// work grows with what ends, not with what is held.
func (f *front) keep() {
	timer := time.NewTimer(keepEvery)
	defer timer.Stop()
	report := statsReporter{front: f, due: time.Now().Add(statsInterval)}
	collect := collector{due: time.Now().Add(quietSpan)}
	for {
		select {
		case <-f.ended:
			report.reportIfDue(time.Now(), true)
			return
		case <-f.kick:
		case <-timer.C:
		}
		if n := f.room.owes(places.Nodes); n > 0 {
			f.giveBack(n)
		}
		f.takeBack()
		f.endNamed()
		now := time.Now()
		report.reportIfDue(now, false)
		collect.look(now, f)
		timer.Reset(f.turns())
	}
}

// collector gives memory back once traffic has become quiet: what the rush of before has left would stay until the
// runtime's own collection, minutes later.
type collector struct {
	due          time.Time
	seen, tidied uint64 // requests at the last look, and at the last collection
}

const (
	quietSpan = 5 * time.Second
	quietMost = 50   // requests in that
	rushLeast = 1000 // requests since the last collection
)

func (c *collector) look(now time.Time, f *front) {
	if now.Before(c.due) {
		return
	}
	c.due = now.Add(quietSpan)
	g := f.stats().Places
	n := g.Entered + g.Reused
	if n-c.seen < quietMost && n-c.tidied > rushLeast {
		c.tidied = n
		go debug.FreeOSMemory() // which returns when it is done; the keeper has others to see to
	}
	c.seen = n
}

// turns gives turns to those that wait, and says when to look again.
func (f *front) turns() time.Duration {
	next := keepEvery
	f.seat(func(now time.Duration) {
		f.callNext(now)
		d := f.desk.Figures()
		if d.Waiting == 0 {
			return
		}
		next = turnEvery
		if d.Serving == d.Most { // heads that come slowly, by whom ever, must not lock out those that come whole
			for range min(d.Waiting, endAtOnce) {
				f.book.FreeTurn(now)
			}
		}
	})
	return next
}

// takeBack makes idle connections of clients give way where hosts lack what clients hold beyond their own part.
func (f *front) takeBack() {
	n := f.room.owes(places.Callers)
	if n == 0 {
		return
	}
	f.seat(func(now time.Duration) {
		for range n {
			f.book.Shed(now)
		}
	})
}

func (f *front) endNamed() {
	for range keepMost / keepBatch {
		f.mu.Lock()
		if f.unlockAndEnd(f.now(), keepBatch) {
			return
		}
		// On one core everything else waits for this. Giving the core up alone would not do: while anything can run, the
		// runtime looks for what has come on sockets only every 10 ms.
		time.Sleep(keepRest)
	}
}
