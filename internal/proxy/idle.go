package proxy

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/places"
	"beechwing/internal/wire"
)

const (
	maintenanceInterval = 250 * time.Millisecond // interval at which idle connections are checked
	queueInterval       = 1 * time.Millisecond   // interval at which the admission queue is checked while it is not empty
	closeBatch          = 24                     // connections closed without a pause; takes less than a millisecond
	closeBatchPause     = 3 * time.Millisecond   // pause between batches
	maxClosesPerPass    = 1024                   // most connections closed in one pass; spreads the work when many time out together
)

// park lets a connection wait without a goroutine until there is something to read. It returns false if the connection
// has to keep its goroutine or be closed.
func (f *frontend) park(c *clientConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.entry.State() >= places.StateClosing {
		return false
	}
	if err := f.poller.Arm(&c.pollEntry, c.conn, c); err != nil {
		f.log.Debug("could not park connection", zap.Error(err))
		return false
	}
	c.parked = true
	return true
}

// wake takes up a parked connection that has something to read.
func (f *frontend) wake(c *clientConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.parked { // closeParked has it already
		return
	}
	c.parked = false
	f.serveOrQueue(f.now(), c)
}

// serveOrQueue serves a connection that has something to read, or adds it to the admission queue. The caller holds mu.
func (f *frontend) serveOrQueue(now time.Duration, c *clientConn) {
	if f.admission.Enqueue(now, &c.admission, c) == places.Wait {
		signal(f.maintenanceDue)
		return
	}
	go c.serve(places.Serve, 0)
}

// serveQueued serves the queued connections that the admission queue releases. The caller holds mu.
func (f *frontend) serveQueued(now time.Duration) {
	for {
		holder, v, waited := f.admission.Next(now)
		if f.logShedding(v); holder == nil {
			return
		}
		go holder.(*clientConn).serve(v, waited)
	}
}

// logShedding logs when requests begin to be refused unread and when none waits any more. The caller holds mu.
func (f *frontend) logShedding(v places.Decision) {
	if v != places.Refuse && !f.sheddingLogged {
		return
	}
	switch d := f.admission.Stats(); {
	case v == places.Refuse && !f.sheddingLogged:
		f.sheddingLogged = true
		f.log.Warn("requests are refused unread: more arrived at once than can be processed", zap.Int("at work", d.Serving),
			zap.Int("of", d.MaxServing), zap.Int("waiting", d.Waiting))
	case f.sheddingLogged && d.Waiting == 0 && d.Refusing == 0:
		f.sheddingLogged = false
		f.log.Info("request queue is empty again, no requests are refused", zap.Uint64("refused", d.Refused))
	}
}

// parkOrClose is called when the goroutine of a connection ends. It parks the connection, or closes it if keepOpen is
// false or parking fails.
func (c *clientConn) parkOrClose(keepOpen bool) {
	f := c.front
	f.bufs.PutReader(c.br)
	c.br = nil
	f.mu.Lock()
	f.admission.Remove(&c.admission)
	f.serveQueued(f.now())
	f.mu.Unlock()
	if !keepOpen || !f.park(c) {
		f.closeConn(c)
	}
}

// closeParked closes a parked connection that the table has selected. A request that has arrived meanwhile is served
// first.
func (f *frontend) closeParked(c *clientConn) {
	if bytes, _ := wire.Pending(c.conn); bytes {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.serveOrQueue(f.now(), c)
		return
	}
	f.closeConn(c)
}

// closeConn closes and removes a connection that nothing else uses any more.
func (f *frontend) closeConn(c *clientConn) {
	if line := f.log.Check(zap.DebugLevel, "connection ended"); line != nil {
		line.Write(zap.Stringer("from", c.conn.RemoteAddr()), zap.Bool("served", c.hasRequested))
	}
	c.conn.Close()
	f.mu.Lock()
	f.open--
	f.poller.Remove(&c.pollEntry)
	f.connTable.Remove(&c.entry)
	f.budget.claimClients(f.connTable.Count())
	f.mu.Unlock()
	signal(f.slotFreed)
	f.wg.Done()
}

// maintain closes connections that have timed out and serves queued ones, until the frontend stops. The work grows with
// the number of connections closed, not with the number held.
func (f *frontend) maintain() {
	timer := time.NewTimer(maintenanceInterval)
	defer timer.Stop()
	report := statsReporter{front: f, due: time.Now().Add(statsInterval)}
	releaser := memoryReleaser{due: time.Now().Add(quietInterval)}
	for {
		select {
		case <-f.stopped:
			report.reportIfDue(time.Now(), true)
			return
		case <-f.maintenanceDue:
		case <-timer.C:
		}
		if n := f.budget.excess(places.HostSide); n > 0 {
			f.closeIdleHostConns(n)
		}
		f.shedForHosts()
		f.closeSelected()
		now := time.Now()
		report.reportIfDue(now, false)
		releaser.check(now, f)
		timer.Reset(f.serveQueue())
	}
}

// memoryReleaser returns memory to the operating system once traffic is quiet after a burst. The runtime itself would
// return it only minutes later.
type memoryReleaser struct {
	due            time.Time
	seen, released uint64 // requests at the last check, and at the last release
}

const (
	quietInterval    = 5 * time.Second
	quietMaxRequests = 50   // most requests in quietInterval that count as quiet
	burstMinRequests = 1000 // requests since the last release that make a release worthwhile
)

func (c *memoryReleaser) check(now time.Time, f *frontend) {
	if now.Before(c.due) {
		return
	}
	c.due = now.Add(quietInterval)
	g := f.stats().Places
	n := g.Added + g.Reused
	if n-c.seen < quietMaxRequests && n-c.released > burstMinRequests {
		c.released = n
		go debug.FreeOSMemory() // in a goroutine: the call blocks until it is done, and the maintenance loop must go on
	}
	c.seen = n
}

// serveQueue serves queued connections and returns when to check the queue again.
func (f *frontend) serveQueue() time.Duration {
	next := maintenanceInterval
	f.updateTable(func(now time.Duration) {
		f.serveQueued(now)
		d := f.admission.Stats()
		if d.Waiting == 0 {
			return
		}
		next = queueInterval
		if d.Serving == d.MaxServing { // clients that send request heads slowly must not block clients that send them at once
			for range min(d.Waiting, maxInlineCloses) {
				f.connTable.EvictReading(now)
			}
		}
	})
	return next
}

// shedForHosts closes idle client connections if clients have borrowed from the share of the hosts (see connBudget) and
// attempts wait for connections.
func (f *frontend) shedForHosts() {
	n := f.budget.excess(places.ClientSide)
	if n == 0 {
		return
	}
	f.updateTable(func(now time.Duration) {
		for range n {
			f.connTable.Evict(now)
		}
	})
}

// closeSelected closes the connections that the table has selected, in batches.
func (f *frontend) closeSelected() {
	for range maxClosesPerPass / closeBatch {
		f.mu.Lock()
		if f.unlockAndClose(f.now(), closeBatch) {
			return
		}
		// With one core everything else waits for this loop. Yielding the core is not enough: while any goroutine can
		// run, the runtime polls the network only every 10 ms.
		time.Sleep(closeBatchPause)
	}
}
