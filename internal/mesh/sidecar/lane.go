package sidecar

import (
	"cmp"
	"math"
	"slices"
)

// lane is a queue of what gets its turn only when nothing better waits, the first to lose all worth first. It knows how often
// that came about lately. (The field's term: best-effort class.)
type lane struct {
	jobs  []*job
	often float64 // turns a second, as of at
	at    float64
}

const laneMemory = 0.5 // seconds: what came before counts for little

func (l *lane) add(j *job) {
	at, _ := slices.BinarySearchFunc(l.jobs, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.until, b.until), cmp.Compare(a.id, b.id))
	})
	l.jobs = slices.Insert(l.jobs, at, j)
}

func (l *lane) take() *job {
	if len(l.jobs) == 0 {
		return nil
	}
	j := l.jobs[0]
	l.jobs = l.jobs[1:]
	return j
}

// drop takes out those of which f says so.
func (l *lane) drop(f func(*job) bool) (out []*job) {
	l.jobs = slices.DeleteFunc(l.jobs, func(j *job) bool {
		if f(j) {
			out = append(out, j)
			return true
		}
		return false
	})
	return out
}

// served notes that one got its turn.
func (l *lane) served(now float64) {
	l.often, l.at = l.rate(now)+1/laneMemory, now
}

// rate is how many a second get their turn.
func (l *lane) rate(now float64) float64 { return l.often * math.Exp(-(now-l.at)/laneMemory) }
