package sidecar

import (
	"container/heap"
	"math"
)

// timer is a function that runs at a set time.
type timer struct {
	due float64
	seq uint64
	run func()
}

// timers is a heap ordered by time, the next one first.
type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

func (p *Sidecar) schedule(when float64, run func()) {
	heap.Push(&p.timers, timer{when, p.nextID(), run})
}

// runTimers runs the timers that are due.
func (p *Sidecar) runTimers() {
	for len(p.timers) > 0 && p.timers[0].due <= p.now {
		heap.Pop(&p.timers).(timer).run()
		p.runPending()
	}
}

// NextTimer returns when the next timer is due, or infinity if none is set.
func (p *Sidecar) NextTimer() float64 {
	if len(p.timers) == 0 {
		return math.Inf(1)
	}
	return p.timers[0].due
}
