// Package budget says what one proxy of many may spend on others, so that all of them together stay within what those
// others bear. It decides from the settings and from how its calls end, without I/O or clock.
package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// few is up to how many proxies of a fleet always hold a watch, and ask again as soon as they can.
	few = 16
	// assumedRate is how many calls a second discovery is taken to bear until calls have told more.
	assumedRate = 25.0
	// The time between two questions, as parts of the time after which an unasked list counts as known; after a failure,
	// which took time of its own, mostRetry bounds it. sure is the part of it that does not vary.
	leastGap, mostGap, mostRetry, sure = 0.1, 0.8, 0.5, 0.4

	// A call that need not wait and takes longer than slow has waited for its turn behind others, one that takes less than
	// quick has not.
	slow, quick = 300 * time.Millisecond, 100 * time.Millisecond
	// A failed call doubles the gap, and a slow one stretches it by slowGain for each second over slow; a quick one takes a
	// part back: without a multiplicative decrease of the rate, what is crowded stays crowded (Chiu and Jain 1989). The
	// delay tells before calls fail.
	failFactor, slowGain, quickFactor = 2.0, 1.0, 0.94

	defaultWithin = 10 * time.Second
)

// QueryPacer says how a proxy asks discovery for changes of the list. It holds a watch as long as discovery keeps up. In a
// large fleet a change ends all watches together, and all ask again at once: a discovery that works through calls in turn
// then answers each after its caller has given up, and goes on so for as long as calls come at that rate. Once calls are
// slow or fail, each proxy makes calls that do not wait instead, with pauses, as often as discovery bears.
//
// One goroutine uses it.
type QueryPacer struct {
	few         bool
	polls       bool
	failed      bool // the last call
	within, gap time.Duration
	random      *rand.Rand
}

// NewQueryPacer begins for one of so many proxies; 0 or less: their number is not known, and they are taken for few. within
// is the time after which a list that was not asked for counts as known; 0: 10 s.
func NewQueryPacer(proxies int, within time.Duration, seed uint64) *QueryPacer {
	if within <= 0 {
		within = defaultWithin
	}
	q := &QueryPacer{few: proxies <= few, within: within, random: rand.New(rand.NewPCG(seed, 1))}
	if !q.few {
		q.gap = min(q.part(mostGap/2), time.Duration(float64(proxies)/assumedRate*float64(time.Second)))
	}
	return q
}

func (q *QueryPacer) part(share float64) time.Duration {
	return time.Duration(share * float64(q.within))
}

// Polling says whether to ask now and then, in place of a watch.
func (q *QueryPacer) Polling() bool { return q.polls }

// WatchAnswered takes an answered watch. Whether it has waited for a change or for its turn cannot be told.
func (q *QueryPacer) WatchAnswered() { q.failed = false }

// PollAnswered takes an answered call that need not have waited, and how long it took.
func (q *QueryPacer) PollAnswered(took time.Duration) {
	q.failed = false
	switch {
	case q.few:
	case took > slow:
		q.polls = true
		q.gap = min(q.part(mostGap), time.Duration((1+slowGain*(took-slow).Seconds())*float64(q.gap)))
	case took < quick && q.polls:
		q.gap = time.Duration(quickFactor * float64(q.gap))
		if q.gap < q.part(leastGap) {
			q.gap = q.part(leastGap)
			q.polls = false
		}
	}
}

// CallFailed takes a call that was not answered, or with an error.
func (q *QueryPacer) CallFailed() {
	q.failed = true
	if !q.few {
		q.polls = true
		q.gap = min(q.part(mostGap), time.Duration(failFactor*float64(q.gap)))
	}
}

// FirstDelay is how long to wait before the first call of a proxy that starts with a list that may serve. Proxies that were
// killed together are started together.
func (q *QueryPacer) FirstDelay() time.Duration {
	return time.Duration(q.random.Float64() * float64(q.gap))
}

// NextDelay is how long to wait before the next call. It varies, so that proxies that were told together come apart.
func (q *QueryPacer) NextDelay() time.Duration {
	if !q.polls {
		return 0
	}
	gap := q.gap
	if q.failed {
		gap = min(gap, q.part(mostRetry))
	}
	return time.Duration((sure + (1-sure)*q.random.Float64()) * float64(gap))
}
