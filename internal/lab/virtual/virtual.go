// Package virtual plays events in virtual time, for tests of what only shows in numbers: a fleet's half minute takes
// milliseconds and always goes the same way.
package virtual

import (
	"container/heap"
	"time"
)

// Clock holds what is to happen. Its zero value is ready, at time zero.
type Clock struct {
	now    time.Duration
	order  int
	events events
}

// Now is the time of the event at hand.
func (c *Clock) Now() time.Duration { return c.now }

// After lets do happen so long from now. What falls on the same moment happens in the order of the calls.
func (c *Clock) After(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{c.now + max(0, d), c.order, do})
}

// Run plays what happens before a time, which it then is.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at < until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
