// Package virtual runs events in virtual time, for tests of behaviour that shows only in a large fleet or over a long time.
// Half a minute of a fleet takes milliseconds to simulate, and the order of events is always the same. Clock holds the events:
// After schedules one, and Run executes them.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with its queue of events. The zero value is ready to use, at time zero.
type Clock struct {
	now    time.Duration
	order  int // number of events scheduled so far
	events events
}

// Now returns the current virtual time, which is that of the event being executed.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules do after the duration d; a negative d counts as zero. Events at the same time run in the order of the calls
// to After.
func (c *Clock) After(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{c.now + max(0, d), c.order, do})
}

// Run executes the events before the time until, and then sets the clock to that time. Events at until itself stay queued.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at < until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// event is a scheduled function; order decides between events at the same time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// events implements heap.Interface, the earliest event first.
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
