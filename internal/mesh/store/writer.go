package store

import (
	"context"
	"sync"
)

// BatchWriter stores the batches of a Writer. Store implements it.
type BatchWriter interface {
	Write(batch []Put) error
}

// ProgressReporter is a BatchWriter whose writes may be large and which reports their progress.
type ProgressReporter interface {
	// OnProgress sets a function that is called after each chunk of a write.
	OnProgress(call func())
}

// Options configures a Writer. None of its functions is called while the Writer's lock is held.
type Options[M any] struct {
	Store            BatchWriter
	Names            []string              // names that the store held when it was opened
	Now              func() float64        // current time in seconds
	Release          func([]M)             // sends messages whose values are synced
	ConditionChanged func(ConditionChange) // called from Tick when the condition of the disk changes
}

// Writer owns the values to be written and the messages that wait for them. All queued values go into one batch
// with one sync. A failed batch is retried, together with the values queued since, until it succeeds. A message
// is released only once all values queued before it are synced, and messages are released in the order in which
// they were added. Messages that wait for too long are dropped, as a network might do.
type Writer[M any] struct {
	options Options[M]
	wake    chan struct{}

	mu    sync.Mutex
	queue *queue[M]
}

// NewWriter returns a Writer. Its first write is made even if nothing is queued, so that a disk that accepts no
// writes is noticed.
func NewWriter[M any](o Options[M]) *Writer[M] {
	w := &Writer[M]{options: o, wake: make(chan struct{}, 1), queue: newQueue[M](o.Names)}
	if k, ok := o.Store.(ProgressReporter); ok {
		k.OnProgress(w.progress)
	}
	w.wakeRun()
	return w
}

// progress records that the current write makes progress.
func (w *Writer[M]) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.progress(w.options.Now())
}

// Add queues values, and messages that wait for these and for all values queued before. It never waits for the
// disk.
func (w *Writer[M]) Add(puts []Put, messages []M) {
	w.mu.Lock()
	w.queue.add(w.options.Now(), puts, messages)
	w.mu.Unlock()
	w.wakeRun()
}

// Tick reports changes of the disk's condition and triggers retries of failed batches. It must be called every
// few hundredths of a second, and not concurrently.
func (w *Writer[M]) Tick() {
	w.mu.Lock()
	w.queue.tick(w.options.Now())
	changes := w.queue.health.changes
	w.queue.health.changes = nil
	w.mu.Unlock()
	for _, c := range changes {
		w.options.ConditionChanged(c)
	}
	w.wakeRun()
}

// wakeRun makes Run check for work.
func (w *Writer[M]) wakeRun() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run writes queued batches until ctx ends.
func (w *Writer[M]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
			for w.step() {
			}
		}
	}
}

// step writes one batch, if there is anything to do.
func (w *Writer[M]) step() (worked bool) {
	w.mu.Lock()
	puts, write, ok := w.queue.begin(w.options.Now())
	w.mu.Unlock()
	if !ok {
		return false
	}
	var err error
	if write {
		err = w.options.Store.Write(puts)
	}
	w.mu.Lock()
	release := w.queue.end(w.options.Now(), write, err)
	w.mu.Unlock()
	if len(release) > 0 {
		w.options.Release(release)
	}
	return true
}

// Stats is a snapshot of a Writer's state and counters.
type Stats struct {
	Condition Condition
	Values    int    // values whose write has not begun
	Messages  int    // messages that wait for values whose write has not begun
	Dropped   uint64 // messages dropped since the start because they waited for too long
}

// Stats returns a snapshot of the Writer's state and counters.
func (w *Writer[M]) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue
	return Stats{q.health.condition, len(q.waiting.puts), len(q.waiting.messages), q.dropped}
}
