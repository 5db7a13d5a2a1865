package rig

import (
	"context"
	"sync"
	"time"

	"beechwing/internal/lab/record"
)

// pace is the clock by which a schedule goes on. It is the record's clock less the time for which the run was held up: while as many
// requests as may be are without an answer, the schedule stands still. A busy machine plays the same schedule, only slower.
type pace struct {
	book  *record.Book
	slots chan struct{} // nil: nothing holds the schedule up
	mu    sync.Mutex
	held  time.Duration // for which the schedule has stood still
}

func newPace(book *record.Book, most int) *pace {
	p := &pace{book: book}
	if most > 0 {
		p.slots = make(chan struct{}, most)
	}
	return p
}

// until waits for a moment of the schedule, and says by how much it woke late.
func (p *pace) until(ctx context.Context, at time.Duration) (late time.Duration, err error) {
	for {
		held := p.heldUp()
		late, err := p.book.Until(ctx, at+held)
		if err != nil || p.heldUp() == held {
			return late, err
		}
	}
}

func (p *pace) heldUp() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// begin takes a request's place among those without an answer, and holds the schedule up until there is one.
func (p *pace) begin(ctx context.Context) error {
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
	p.held += p.book.Now() - from
	return nil
}

// end gives the place back.
func (p *pace) end() {
	if p.slots != nil {
		<-p.slots
	}
}
