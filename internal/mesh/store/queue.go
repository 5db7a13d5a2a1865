package store

import (
	"maps"
	"slices"
)

// Seconds.
const (
	retryFirst  = 0.25 // after a failed write; twice as long after each that fails again
	retryMost   = 2.0  // every attempt on a full disk may write all that is live
	messageWait = 1.0  // until its write begins: a message is dropped then, as its asker has gone elsewhere
	messageLate = 5.0  // until its write returns: the same
)

// queue is what waits for the disk, as a state machine: the newest value of each name, and the messages
// that may go once all values put before them are synced.
type queue[M any] struct {
	waiting batch[M]
	writing *batch[M]           // nil: no write is on its way
	ran     running             // how long this process has run
	moved   float64             // how long it had run when the write began, or got on
	longest float64             // seconds, while this process ran, that the write did not get on
	opened  bool                // a write has succeeded: what the store was opened with is on the disk for good
	kept    map[string]struct{} // names that are on the disk
	retryAt float64
	pause   float64 // after the next failure
	dropped uint64
	health  health
}

// batch is what is written at once.
type batch[M any] struct {
	puts  map[string][]byte
	after []message[M]
}

type message[M any] struct {
	content M
	since   float64
}

func newQueue[M any](names []string) *queue[M] {
	q := &queue[M]{kept: map[string]struct{}{}, pause: retryFirst}
	q.waiting.puts = map[string][]byte{}
	for _, name := range names {
		q.kept[name] = struct{}{}
	}
	return q
}

// add queues values, and messages that wait for these and all before them.
func (q *queue[M]) add(now float64, puts []Put, after []M) {
	for _, p := range puts {
		q.waiting.puts[p.Name] = p.Value
		if q.unknown(p.Name) {
			delete(q.waiting.puts, p.Name)
		}
	}
	for _, m := range after {
		q.waiting.after = append(q.waiting.after, message[M]{m, now})
	}
}

// unknown says that a name is to be taken away that the disk has never had. There is nothing to write then;
// names that come and go while the disk takes no writes would fill the memory otherwise.
func (q *queue[M]) unknown(name string) bool {
	value, waits := q.waiting.puts[name]
	if !waits || len(value) > 0 {
		return false
	}
	if q.writing != nil {
		if _, on := q.writing.puts[name]; on {
			return false
		}
	}
	_, kept := q.kept[name]
	return !kept
}

// begin gives what is to be written now; ok says whether there is anything to do. Without values there may
// be messages that need no write: write is false then.
func (q *queue[M]) begin(now float64) (puts []Put, write, ok bool) {
	if q.writing != nil || now < q.retryAt {
		return nil, false, false
	}
	write = !q.opened || len(q.waiting.puts) > 0
	if !write && len(q.waiting.after) == 0 {
		return nil, false, false
	}
	q.writing, q.moved, q.longest = &batch[M]{q.waiting.puts, q.waiting.after}, q.ran.at(now), 0
	q.waiting = batch[M]{puts: map[string][]byte{}}
	for _, name := range slices.Sorted(maps.Keys(q.writing.puts)) {
		puts = append(puts, Put{name, q.writing.puts[name]})
	}
	return puts, write, true
}

// progress notes that the write that was begun gets on: a large one takes its time on a busy processor, and the disk is none the worse.
func (q *queue[M]) progress(now float64) {
	if q.writing == nil {
		return
	}
	ran := q.ran.at(now)
	q.longest = max(q.longest, ran-q.moved)
	q.moved = ran
}

// end notes how the write that was begun ended, and gives the messages that may go now, in the order in
// which they came.
func (q *queue[M]) end(now float64, wrote bool, err error) (release []M) {
	done := q.writing
	q.progress(now)
	q.writing = nil
	if err != nil {
		q.health.failed(now, err)
		q.putBack(now, done)
		return nil
	}
	if wrote {
		q.opened, q.pause = true, retryFirst
		q.health.wrote(now, q.longest)
	}
	for name, value := range done.puts {
		if len(value) == 0 {
			delete(q.kept, name)
		} else {
			q.kept[name] = struct{}{}
		}
	}
	for _, m := range done.after {
		if now > m.since+messageLate {
			q.dropped++
			continue
		}
		release = append(release, m.content)
	}
	return release
}

// putBack queues a failed batch again, before what has come since.
func (q *queue[M]) putBack(now float64, failed *batch[M]) {
	q.retryAt = now + q.pause
	q.pause = min(2*q.pause, retryMost)
	newer := q.waiting.puts
	q.waiting.puts = failed.puts
	maps.Copy(q.waiting.puts, newer)
	maps.DeleteFunc(q.waiting.puts, func(name string, _ []byte) bool { return q.unknown(name) })
	q.waiting.after = append(failed.after, q.waiting.after...)
	q.dropOld(now)
}

// tick notes that time has passed.
func (q *queue[M]) tick(now float64) {
	q.ran.tick(now)
	q.dropOld(now)
	if q.writing != nil {
		q.health.waits(now, q.ran.at(now)-q.moved)
	} else {
		q.health.waits(now, 0)
	}
}

func (q *queue[M]) dropOld(now float64) {
	all := len(q.waiting.after)
	old := func(m message[M]) bool { return now > m.since+messageWait }
	q.waiting.after = slices.DeleteFunc(q.waiting.after, old)
	q.dropped += uint64(all - len(q.waiting.after))
}
