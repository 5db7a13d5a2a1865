package store

import (
	"context"
	"sync"
)

// Keeper is what a Writer writes to: a Store.
type Keeper interface {
	Write(batch []Put) error
}

// Progressing is a Keeper whose writes may be large, and which says while it writes that it gets on.
type Progressing interface {
	// OnProgress has a function called after each part of a write.
	OnProgress(call func())
}

// Options is what a Writer is made with. None of the functions is called while the Writer is locked.
type Options[M any] struct {
	Keeper  Keeper
	Names   []string       // that the keeper held when it was opened
	Now     func() float64 // seconds
	Release func([]M)      // sends messages whose values are synced
	Changed func(Change)   // hears of changes of the disk's condition, from within Tick
}

// Writer owns what is to be written and the messages that wait for it. All that waits goes in one batch
// with one sync. A batch that failed is tried again until it succeeds, with what has come since; no message
// goes before all values put before it are synced, and messages go in the order in which they came. Those
// that wait for too long are dropped, as a network may do.
type Writer[M any] struct {
	options Options[M]
	wake    chan struct{}

	mu    sync.Mutex
	queue *queue[M]
}

// NewWriter makes a Writer. The first thing that it does is to have the keeper write, so that a disk that
// takes nothing is known.
func NewWriter[M any](o Options[M]) *Writer[M] {
	w := &Writer[M]{options: o, wake: make(chan struct{}, 1), queue: newQueue[M](o.Names)}
	if k, ok := o.Keeper.(Progressing); ok {
		k.OnProgress(w.progress)
	}
	w.look()
	return w
}

// progress notes that the write at hand gets on.
func (w *Writer[M]) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue.progress(w.options.Now())
}

// Add queues values, and messages that wait for these and all before them. It never waits for the disk.
func (w *Writer[M]) Add(puts []Put, after []M) {
	w.mu.Lock()
	w.queue.add(w.options.Now(), puts, after)
	w.mu.Unlock()
	w.look()
}

// Tick does what is due: it tells changes of the condition and has failed batches tried again. It is to be
// called every few hundredths of a second, by one caller at a time.
func (w *Writer[M]) Tick() {
	w.mu.Lock()
	w.queue.tick(w.options.Now())
	changes := w.queue.health.changes
	w.queue.health.changes = nil
	w.mu.Unlock()
	for _, c := range changes {
		w.options.Changed(c)
	}
	w.look()
}

// look has Run look for work.
func (w *Writer[M]) look() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run writes until ctx ends.
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
		err = w.options.Keeper.Write(puts)
	}
	w.mu.Lock()
	release := w.queue.end(w.options.Now(), write, err)
	w.mu.Unlock()
	if len(release) > 0 {
		w.options.Release(release)
	}
	return true
}

// Figures are what is counted, for a reading.
type Figures struct {
	Condition Condition
	Values    int    // that wait for their write to begin
	Messages  int    // that wait for it
	Dropped   uint64 // messages since the start that waited for too long
}

// Figures gives what is counted.
func (w *Writer[M]) Figures() Figures {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue
	return Figures{q.health.condition, len(q.waiting.puts), len(q.waiting.after), q.dropped}
}
