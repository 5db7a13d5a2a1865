package rig

import (
	"context"
	"sync"
	"time"

	"beechwing/internal/lab/record"
)

// pacer is the clock of a schedule: the record's clock less the time for which the schedule was paused. The schedule pauses
// while the maximum number of requests is in flight. A busy machine therefore plays the same schedule, only more slowly.
type pacer struct {
	book   *record.Book
	slots  chan struct{} // one per request in flight; nil: the schedule never pauses
	mu     sync.Mutex
	paused time.Duration // total time for which the schedule has paused
}

// newPacer returns a pacer that allows maxInFlight requests in flight; with 0 the schedule never pauses.
func newPacer(book *record.Book, maxInFlight int) *pacer {
	p := &pacer{book: book}
	if maxInFlight > 0 {
		p.slots = make(chan struct{}, maxInFlight)
	}
	return p
}

// waitUntil waits until a time of the schedule and returns by how much it woke late.
func (p *pacer) waitUntil(ctx context.Context, at time.Duration) (late time.Duration, err error) {
	for {
		paused := p.pausedFor()
		late, err := p.book.Until(ctx, at+paused)
		if err != nil || p.pausedFor() == paused {
			return late, err
		}
	}
}

func (p *pacer) pausedFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// acquire takes an in-flight slot for a request. The schedule pauses until a slot is free.
func (p *pacer) acquire(ctx context.Context) error {
	if p.slots == nil {
		return nil
	}
	from := p.book.Now()
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused += p.book.Now() - from
	return nil
}

// release frees the slot of a request.
func (p *pacer) release() {
	if p.slots != nil {
		<-p.slots
	}
}
