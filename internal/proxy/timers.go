package proxy

import (
	"container/heap"
	"time"
)

// timer is a timer event that the balancer has scheduled.
type timer struct {
	at    float64
	token uint64
}

// timerHeap is a heap of timers ordered by due time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// fire runs one timer that is due and returns how long to wait for the next event. It runs only one, because the
// events that the balancer causes while it handles a timer are applied before the next timer.
func (o *owner) fire() time.Duration {
	const idle = time.Second
	if len(o.timers) == 0 {
		return idle
	}
	now := o.clock.now()
	if next := o.timers[0].at; next > now {
		return seconds(next - now)
	}
	t := heap.Pop(&o.timers).(timer)
	o.bal.Timer(now, t.token)
	return 0
}
