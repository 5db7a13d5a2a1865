package store

import (
	"maps"
	"slices"
)

// All times are in seconds.
const (
	initialRetryDelay = 0.25 // delay after a failed write; doubled after each further failure
	maxRetryDelay     = 2.0  // upper bound of the delay; each attempt on a full disk may write all live values
	maxMessageWait    = 1.0  // until its write begins, else a message is dropped: its requester has gone elsewhere
	maxMessageAge     = 5.0  // until its write returns, else a message is dropped for the same reason
)

// queue is the state machine of a Writer. It holds the newest value of each queued name, and the messages that
// may be released once all values queued before them are synced.
type queue[M any] struct {
	waiting        batch[M]
	writing        *batch[M]           // nil: no write is in progress
	runClock       runClock            // time for which this process has been running
	progressAt     float64             // reading of runClock when the write began or last made progress
	longestStall   float64             // longest time without progress of the current write, in seconds of runClock
	firstWriteDone bool                // a write has succeeded, so the values read by Open are durable
	stored         map[string]struct{} // names that are on the disk
	retryAt        float64
	retryDelay     float64 // delay after the next failure
	dropped        uint64
	health         health
}

// batch is the values of one write and the messages that wait for it.
type batch[M any] struct {
	puts     map[string][]byte
	messages []message[M]
}

// message is a queued message and the time at which it was queued.
type message[M any] struct {
	content  M
	queuedAt float64
}

// newQueue returns a queue. names are the names that are on the disk.
func newQueue[M any](names []string) *queue[M] {
	q := &queue[M]{stored: map[string]struct{}{}, retryDelay: initialRetryDelay}
	q.waiting.puts = map[string][]byte{}
	for _, name := range names {
		q.stored[name] = struct{}{}
	}
	return q
}

// add queues values, and messages that wait for these and for all values queued before.
func (q *queue[M]) add(now float64, puts []Put, messages []M) {
	for _, p := range puts {
		q.waiting.puts[p.Name] = p.Value
		if q.removesUnknown(p.Name) {
			delete(q.waiting.puts, p.Name)
		}
	}
	for _, m := range messages {
		q.waiting.messages = append(q.waiting.messages, message[M]{m, now})
	}
}

// removesUnknown reports whether the queued value of a name is a removal and the name has never been on the
// disk. There is nothing to write then. Keeping such removals would let memory grow without bound when names
// come and go while the disk accepts no writes.
func (q *queue[M]) removesUnknown(name string) bool {
	value, queued := q.waiting.puts[name]
	if !queued || len(value) > 0 {
		return false
	}
	if q.writing != nil {
		if _, isWriting := q.writing.puts[name]; isWriting {
			return false
		}
	}
	_, stored := q.stored[name]
	return !stored
}

// begin returns the batch to write now; ok reports whether there is anything to do. If only messages are queued
// that need no write, write is false.
func (q *queue[M]) begin(now float64) (puts []Put, write, ok bool) {
	if q.writing != nil || now < q.retryAt {
		return nil, false, false
	}
	write = !q.firstWriteDone || len(q.waiting.puts) > 0
	if !write && len(q.waiting.messages) == 0 {
		return nil, false, false
	}
	q.writing, q.progressAt, q.longestStall = &batch[M]{q.waiting.puts, q.waiting.messages}, q.runClock.elapsed(now), 0
	q.waiting = batch[M]{puts: map[string][]byte{}}
	for _, name := range slices.Sorted(maps.Keys(q.writing.puts)) {
		puts = append(puts, Put{name, q.writing.puts[name]})
	}
	return puts, write, true
}

// progress records that the current write makes progress. A large write takes long on a busy processor although
// the disk is healthy.
func (q *queue[M]) progress(now float64) {
	if q.writing == nil {
		return
	}
	elapsed := q.runClock.elapsed(now)
	q.longestStall = max(q.longestStall, elapsed-q.progressAt)
	q.progressAt = elapsed
}

// end records the result of the current write and returns the messages that may be released, in the order in
// which they were added.
func (q *queue[M]) end(now float64, wrote bool, err error) (release []M) {
	done := q.writing
	q.progress(now)
	q.writing = nil
	if err != nil {
		q.health.writeFailed(now, err)
		q.requeue(now, done)
		return nil
	}
	if wrote {
		q.firstWriteDone, q.retryDelay = true, initialRetryDelay
		q.health.writeSucceeded(now, q.longestStall)
	}
	for name, value := range done.puts {
		if len(value) == 0 {
			delete(q.stored, name)
		} else {
			q.stored[name] = struct{}{}
		}
	}
	for _, m := range done.messages {
		if now > m.queuedAt+maxMessageAge {
			q.dropped++
			continue
		}
		release = append(release, m.content)
	}
	return release
}

// requeue queues a failed batch again, ahead of the values and messages queued since.
func (q *queue[M]) requeue(now float64, failed *batch[M]) {
	q.retryAt = now + q.retryDelay
	q.retryDelay = min(2*q.retryDelay, maxRetryDelay)
	newer := q.waiting.puts
	q.waiting.puts = failed.puts
	maps.Copy(q.waiting.puts, newer)
	maps.DeleteFunc(q.waiting.puts, func(name string, _ []byte) bool { return q.removesUnknown(name) })
	q.waiting.messages = append(failed.messages, q.waiting.messages...)
	q.dropExpired(now)
}

// tick records the passing of time, drops expired messages, and checks whether the current write has stalled.
func (q *queue[M]) tick(now float64) {
	q.runClock.tick(now)
	q.dropExpired(now)
	if q.writing != nil {
		q.health.writePending(now, q.runClock.elapsed(now)-q.progressAt)
	} else {
		q.health.writePending(now, 0)
	}
}

// dropExpired drops the messages that have waited for longer than maxMessageWait for their write to begin.
func (q *queue[M]) dropExpired(now float64) {
	before := len(q.waiting.messages)
	expired := func(m message[M]) bool { return now > m.queuedAt+maxMessageWait }
	q.waiting.messages = slices.DeleteFunc(q.waiting.messages, expired)
	q.dropped += uint64(before - len(q.waiting.messages))
}
