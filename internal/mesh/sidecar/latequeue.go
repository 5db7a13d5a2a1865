package sidecar

import (
	"cmp"
	"math"
	"slices"
)

// lateQueue is the best-effort queue: its requests are served only when no others wait, the earliest deadline first. It
// measures the rate at which they are served.
type lateQueue struct {
	jobs       []*job
	servedRate float64 // requests served a second, as of rateAt
	rateAt     float64
}

const rateDecay = 0.5 // seconds; time constant of the decay of the measured rate

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

// removeIf removes and returns the jobs for which f is true.
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

// noteServed records that a late request is served.
func (q *lateQueue) noteServed(now float64) {
	q.servedRate, q.rateAt = q.rate(now)+1/rateDecay, now
}

// rate returns the recent number of late requests served a second.
func (q *lateQueue) rate(now float64) float64 {
	return q.servedRate * math.Exp(-(now-q.rateAt)/rateDecay)
}
