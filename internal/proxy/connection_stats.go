package proxy

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"beechwing/internal/places"
)

const statsInterval = time.Minute // between two log lines with connection statistics

// connectionStats are statistics of client connections, for the log.
type connectionStats struct {
	Places places.Stats             // connections by state, and their ends by cause
	Desk   places.RequestQueueStats // admission of requests
	Warm   int                      // idle connections that still have a goroutine, not yet parked
	Limit  int                      // of client connections, by the operator's limit and the connections to hosts
	Hosts  int                      // connections to hosts
}

// stats returns the current connection statistics.
func (f *frontend) stats() connectionStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connectionStats{Places: f.connTable.Stats(), Desk: f.admission.Stats(), Warm: f.warm,
		Limit: min(f.limits.maxConns, f.budget.limit(places.ClientSide)), Hosts: f.budget.hostCount()}
}

// MarshalLogObject writes the statistics as log attributes. Counters run from the start of the process.
func (g connectionStats) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for k, n := range g.Places.Held {
		if n > 0 {
			e.AddInt(places.State(k).String(), n)
		}
	}
	for c, n := range g.Places.Closed {
		if n > 0 {
			e.AddUint64("ended: "+places.Cause(c).String(), n)
		}
	}
	e.AddInt("limit", g.Limit)
	e.AddFloat64("press", g.Places.Pressure)
	e.AddInt("callers", g.Places.Clients)
	e.AddUint64("entered", g.Places.Added)
	e.AddUint64("reused", g.Places.Reused)
	e.AddUint64("turned down", g.Places.Rejected)
	e.AddInt("requests at work", g.Desk.Serving)
	e.AddInt("requests waiting", g.Desk.Waiting)
	e.AddUint64("requests refused unread", g.Desk.Refused)
	e.AddInt("warm", g.Warm)
	e.AddInt("to hosts", g.Hosts)
	return nil
}

// statsReporter logs connection statistics at intervals, if they have changed.
type statsReporter struct {
	front *frontend
	last  connectionStats
	due   time.Time
}

// reportIfDue logs the statistics if the interval has passed. force logs them at once.
func (r *statsReporter) reportIfDue(now time.Time, force bool) {
	if !force && now.Before(r.due) {
		return
	}
	r.due = now.Add(statsInterval)
	if g := r.front.stats(); g != r.last {
		r.last = g
		r.front.log.Info("connections of clients", zap.Object("figures", g))
	}
}
