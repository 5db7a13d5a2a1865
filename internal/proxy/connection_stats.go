package proxy

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"beechwing/internal/places"
)

const statsInterval = time.Minute // at which what connections have done since is logged

// frontFigures is what operators can read of a front.
type connectionStats struct {
	Places places.Figures
	Desk   places.DeskFigures
	Warm   int // that wait for a further request with a goroutine
	Limit  int // of connections, by what hosts leave and the operator allows
	Hosts  int // connections to hosts
}

func (f *front) stats() connectionStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connectionStats{Places: f.book.Figures(), Desk: f.desk.Figures(), Warm: f.warm,
		Limit: min(f.limits.connections, f.room.limit(places.Callers)), Hosts: f.room.hostCount()}
}

// MarshalLogObject words the figures for the log. Counters run from the start.
func (g connectionStats) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for k, n := range g.Places.Held {
		if n > 0 {
			e.AddInt(places.Kind(k).String(), n)
		}
	}
	for c, n := range g.Places.Ended {
		if n > 0 {
			e.AddUint64("ended: "+places.Cause(c).String(), n)
		}
	}
	e.AddInt("limit", g.Limit)
	e.AddFloat64("press", g.Places.Press)
	e.AddInt("callers", g.Places.Callers)
	e.AddUint64("entered", g.Places.Entered)
	e.AddUint64("reused", g.Places.Reused)
	e.AddUint64("turned down", g.Places.Refused)
	e.AddInt("requests at work", g.Desk.Serving)
	e.AddInt("requests waiting", g.Desk.Waiting)
	e.AddUint64("requests refused unread", g.Desk.Refused)
	e.AddInt("warm", g.Warm)
	e.AddInt("to hosts", g.Hosts)
	return nil
}

// reporter logs figures now and then, if anything has happened.
type statsReporter struct {
	front *front
	last  connectionStats
	due   time.Time
}

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
