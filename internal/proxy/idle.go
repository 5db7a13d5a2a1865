package proxy

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/places"
	"beechwing/internal/wire"
)

const (
	maintenanceInterval = 250 * time.Millisecond // at which what has been idle for too long is looked for
	queueInterval       = 1 * time.Millisecond   // at which who waits at the desk is looked at
	closeBatch          = 24                     // connections ended without a rest; less than a millisecond's work
	closeBatchPause     = 3 * time.Millisecond   // between batches
	maxClosesPerPass    = 1024                   // ended at one look, so that a great many idle times over together are spread
)

// park leaves a connection without a goroutine until it has something to read. It says false if the connection has to go
// on with one.
func (f *frontend) park(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.entry.Kind() >= places.Ending {
		return false
	}
	if err := f.poller.Arm(&c.pollEntry, c.conn, c); err != nil {
		f.log.Debug("not parked", zap.Error(err))
		return false
	}
	c.parked = true
	return true
}

// wake takes up a connection that has something to read.
func (f *frontend) wake(c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.parked { // it has been ended since, and is being looked at for that
		return
	}
	c.parked = false
	f.serveOrQueue(f.now(), c)
}

// comeToDesk reads what a connection brings, or lets it wait for that. mu is held.
func (f *frontend) serveOrQueue(now time.Duration, c *clientConn) {
	if f.admission.Come(now, &c.admission, c) == places.Wait {
		ask(f.maintenanceDue)
		return
	}
	go c.serve(places.Serve, 0)
}

// callNext gives turns to those that wait for one. mu is held.
func (f *frontend) serveQueued(now time.Duration) {
	for {
		holder, v, waited := f.admission.Next(now)
		if f.logShedding(v); holder == nil {
			return
		}
		go holder.(*clientConn).serve(v, waited)
	}
}

// noteDesk logs when requests begin to be refused unread, and when none waits any more. mu is held.
func (f *frontend) logShedding(v places.Verdict) {
	if v != places.Refuse && !f.sheddingLogged {
		return
	}
	switch d := f.admission.Figures(); {
	case v == places.Refuse && !f.sheddingLogged:
		f.sheddingLogged = true
		f.log.Warn("requests are refused unread: more came together than can be worked on", zap.Int("at work", d.Serving),
			zap.Int("of", d.Most), zap.Int("waiting", d.Waiting))
	case f.sheddingLogged && d.Waiting == 0 && d.Refusing == 0:
		f.sheddingLogged = false
		f.log.Info("no request waits to be read any more", zap.Uint64("refused", d.Refused))
	}
}

// settle parks a connection whose goroutine ends, or ends it too.
func (c *clientConn) parkOrClose(goesOn bool) {
	f := c.front
	f.bufs.PutReader(c.br)
	c.br = nil
	f.mu.Lock()
	f.admission.Leave(&c.admission)
	f.serveQueued(f.now())
	f.mu.Unlock()
	if !goesOn || !f.park(c) {
		f.closeConn(c)
	}
}

// endParked ends a connection whose place is wanted. A request that has come meanwhile is served first.
func (f *frontend) closeParked(c *clientConn) {
	if bytes, _ := wire.Arrived(c.conn); bytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.serveOrQueue(f.now(), c)
		return
	}
	f.closeConn(c)
}

// end closes a connection and forgets it. Nothing else has it any more.
func (f *frontend) closeConn(c *clientConn) {
	if line := f.log.Check(zap.DebugLevel, "connection ended"); line != nil {
		line.Write(zap.Stringer("from", c.conn.RemoteAddr()), zap.Bool("served", c.hasRequested))
	}
	c.conn.Close()
	f.mu.Lock()
	f.open--
	f.poller.Leave(&c.pollEntry)
	f.connTable.Leave(&c.entry)
	f.budget.claimClients(f.connTable.Count())
	f.mu.Unlock()
	ask(f.slotFreed)
	f.wg.Done()
}

// keep ends connections whose time is over, and gives turns to those that have waited for one, until the front's end. Its
// work grows with what ends, not with what is held.
func (f *frontend) maintain() {
	timer := time.NewTimer(maintenanceInterval)
	defer timer.Stop()
	report := reporter{front: f, due: time.Now().Add(reportEvery)}
	collect := memoryReleaser{due: time.Now().Add(quietInterval)}
	for {
		select {
		case <-f.stopped:
			report.look(time.Now(), true)
			return
		case <-f.maintenanceDue:
		case <-timer.C:
		}
		if n := f.budget.excess(places.Nodes); n > 0 {
			f.closeIdleHostConns(n)
		}
		f.shedForHosts()
		f.closeNamed()
		now := time.Now()
		report.look(now, false)
		collect.check(now, f)
		timer.Reset(f.serveQueue())
	}
}

// collector gives memory back once traffic has become quiet: what the rush of before has left would stay until the
// runtime's own collection, minutes later.
type memoryReleaser struct {
	due            time.Time
	seen, released uint64 // requests at the last look, and at the last collection
}

const (
	quietInterval    = 5 * time.Second
	quietMaxRequests = 50   // requests in that
	burstMinRequests = 1000 // requests since the last collection
)

func (c *memoryReleaser) check(now time.Time, f *frontend) {
	if now.Before(c.due) {
		return
	}
	c.due = now.Add(quietInterval)
	g := f.figures().Places
	n := g.Entered + g.Reused
	if n-c.seen < quietMaxRequests && n-c.released > burstMinRequests {
		c.released = n
		go debug.FreeOSMemory() // which returns when it is done; the keeper has others to see to
	}
	c.seen = n
}

// turns gives turns to those that wait, and says when to look again.
func (f *frontend) serveQueue() time.Duration {
	next := maintenanceInterval
	f.updateTable(func(now time.Duration) {
		f.serveQueued(now)
		d := f.admission.Figures()
		if d.Waiting == 0 {
			return
		}
		next = queueInterval
		if d.Serving == d.Most { // heads that come slowly, by whom ever, must not lock out those that come whole
			for range min(d.Waiting, maxInlineCloses) {
				f.connTable.FreeTurn(now)
			}
		}
	})
	return next
}

// takeBack makes idle connections of clients give way where hosts lack what clients hold beyond their own part.
func (f *frontend) shedForHosts() {
	n := f.budget.excess(places.Callers)
	if n == 0 {
		return
	}
	f.updateTable(func(now time.Duration) {
		for range n {
			f.connTable.Shed(now)
		}
	})
}

func (f *frontend) closeNamed() {
	for range maxClosesPerPass / closeBatch {
		f.mu.Lock()
		if f.unlockAndClose(f.now(), closeBatch) {
			return
		}
		// On one core everything else waits for this. Giving the core up alone would not do: while anything can run, the
		// runtime looks for what has come on sockets only every 10 ms.
		time.Sleep(closeBatchPause)
	}
}
