package places

import "time"

// Decision is the outcome of a connection's request for a slot in a RequestQueue.
type Decision uint8

// The decisions.
const (
	Serve  Decision = iota // the request is read and processed
	Wait                   // the connection waits until Next returns it
	Refuse                 // the request is read and answered with an error
)

// RequestQueueConfig bounds the requests that are read and processed at once.
type RequestQueueConfig struct {
	MaxServing  int           // connections whose requests are read or processed, each with its own buffers
	MaxRefusing int           // further connections whose requests are read and refused
	MaxWait     time.Duration // a connection that has waited for longer is refused
	Rate        float64       // requests admitted per second
	Burst       int           // requests admitted at once after a pause
}

// RequestQueue decides which connections with a request to read are served, and which are refused. It limits how many
// requests are processed at once, because each needs memory for its buffers. It also limits the rate, because in a sudden
// burst hardly any request would finish in time if all were started. A waiting connection needs no buffer. RequestQueue is
// not safe for concurrent use.
type RequestQueue struct {
	cfg        RequestQueueConfig
	tokens     float64       // requests that may be admitted now: a token bucket (RFC 2697, section 3)
	refilledAt time.Duration // when tokens was last updated
	serving    int
	refusing   int
	waiting    list[QueueEntry]
	refused    uint64
}

// QueueEntry is the entry of one connection in a RequestQueue.
type QueueEntry struct {
	value      any
	enqueuedAt time.Duration
	inWaiting  node[QueueEntry]
	decision   Decision
	enqueued   bool // between Enqueue and Remove
}

// NewRequestQueue returns an empty queue with a full token bucket.
func NewRequestQueue(cfg RequestQueueConfig) *RequestQueue {
	return &RequestQueue{cfg: cfg, tokens: float64(cfg.Burst)}
}

// SetMaxWait changes how long connections wait before they are refused.
func (q *RequestQueue) SetMaxWait(maxWait time.Duration) { q.cfg.MaxWait = maxWait }

// canServe refills the token bucket and reports whether another request can be served now.
func (q *RequestQueue) canServe(now time.Duration) bool {
	q.tokens = min(float64(q.cfg.Burst), q.tokens+q.cfg.Rate*(now-q.refilledAt).Seconds())
	q.refilledAt = now
	return q.serving < q.cfg.MaxServing && q.tokens >= 1
}

// serve takes a slot and a token for an entry.
func (q *RequestQueue) serve(e *QueueEntry) {
	q.serving++
	q.tokens--
	e.decision = Serve
}

// Enqueue asks for a slot, and returns Serve or Wait. Next later returns the value of a waiting entry.
func (q *RequestQueue) Enqueue(now time.Duration, e *QueueEntry, value any) Decision {
	*e = QueueEntry{value: value, enqueuedAt: now, decision: Wait, enqueued: true}
	if q.waiting.length == 0 && q.canServe(now) {
		q.serve(e)
		return Serve
	}
	q.waiting.pushBack(&e.inWaiting, e)
	return Wait
}

// Remove takes an entry out of the queue, or frees its slot. Next may then return others.
func (q *RequestQueue) Remove(e *QueueEntry) {
	if !e.enqueued {
		return
	}
	switch e.decision {
	case Serve:
		q.serving--
	case Refuse:
		q.refusing--
	case Wait:
		e.inWaiting.remove()
	}
	*e = QueueEntry{}
}

// Next takes the first entry from the queue if it can be served or refused now, and returns its value, the decision and how
// long the entry has waited. The value is nil if no entry can leave the queue yet.
//
// An entry that has waited for longer than MaxWait is refused even if it could be served: its deadline is running, and all
// entries behind it would be served late as well. (A queue that never empties adds delay and no throughput: Nichols and
// Jacobson, "Controlling Queue Delay", ACM Queue 10(5), 2012.)
func (q *RequestQueue) Next(now time.Duration) (value any, decision Decision, waited time.Duration) {
	e := q.waiting.front()
	if e == nil {
		return nil, Wait, 0
	}
	waited = now - e.enqueuedAt
	switch {
	case waited > q.cfg.MaxWait && q.refusing < q.cfg.MaxRefusing:
		q.refusing++
		q.refused++
		e.decision = Refuse
	case waited <= q.cfg.MaxWait && q.canServe(now):
		q.serve(e)
	default:
		return nil, Wait, waited
	}
	e.inWaiting.remove()
	return e.value, e.decision, waited
}

// Waiting returns the number of waiting entries.
func (q *RequestQueue) Waiting() int { return q.waiting.length }

// RequestQueueStats describes a RequestQueue for operators.
type RequestQueueStats struct {
	MaxServing, Serving, Waiting, Refusing int
	Refused                                uint64 // since the creation of the queue
}

// Stats returns the current statistics.
func (q *RequestQueue) Stats() RequestQueueStats {
	return RequestQueueStats{MaxServing: q.cfg.MaxServing, Serving: q.serving, Waiting: q.waiting.length, Refusing: q.refusing,
		Refused: q.refused}
}
