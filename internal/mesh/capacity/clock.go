package capacity

import "container/heap"

// clock is simulated time: what is due is done in order, and nothing waits.
type clock struct {
	now      float64
	events   events
	sequence uint64
}

type event struct {
	at       float64
	sequence uint64
	do       func()
}

// events is a heap, the next one due first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	next := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return next
}

// after has something done so many seconds from now.
func (c *clock) after(seconds float64, do func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + seconds, sequence: c.sequence, do: do})
}

// run plays so many seconds.
func (c *clock) run(seconds float64) {
	until := c.now + seconds
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
	c.now = until
}

// runUntil plays until something is so, looking at it now and then. It returns the seconds that took, and
// whether it came about.
func (c *clock) runUntil(lookEvery, most float64, isSo func() bool) (float64, bool) {
	began := c.now
	for c.now < began+most {
		if isSo() {
			return c.now - began, true
		}
		c.run(lookEvery)
	}
	return c.now - began, isSo()
}
