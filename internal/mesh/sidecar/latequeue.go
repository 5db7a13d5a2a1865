package sidecar

import (
	"cmp"
	"math"
	"slices"
)

// lateQueue is a queue of what gets its turn only when nothing better waits, the first to lose all worth first. It knows how often
// that came about lately. (The field's term: best-effort class.)
type lateQueue struct {
	jobs       []*job
	servedRate float64 // turns a second, as of at
	rateAt     float64
}

const rateDecay = 0.5 // seconds: what came before counts for little

func (q *lateQueue) add(j *job) {
	at, _ := slices.BinarySearchFunc(q.jobs, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
	})
	q.jobs = slices.Insert(q.jobs, at, j)
}

func (q *lateQueue) take() *job {
	if len(q.jobs) == 0 {
		return nil
	}
	j := q.jobs[0]
	q.jobs = q.jobs[1:]
	return j
}

// drop takes out those of which f says so.
func (q *lateQueue) removeIf(f func(*job) bool) (out []*job) {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *job) bool {
		if f(j) {
			out = append(out, j)
			return true
		}
		return false
	})
	return out
}

// served notes that one got its turn.
func (q *lateQueue) noteServed(now float64) {
	q.servedRate, q.rateAt = q.rate(now)+1/rateDecay, now
}

// rate is how many a second get their turn.
func (q *lateQueue) rate(now float64) float64 {
	return q.servedRate * math.Exp(-(now-q.rateAt)/rateDecay)
}
