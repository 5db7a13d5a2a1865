package places

import "time"

// Decision is what becomes of a connection that has something to read.
type Decision uint8

// The verdicts.
const (
	Serve  Decision = iota // its request is read and worked on
	Wait                   // later, when another is done
	Refuse                 // its request is read and refused
)

// RequestQueueConfig bounds what is read and worked on at once.
type RequestQueueConfig struct {
	MaxServing  int           // connections whose requests are read or worked on, each with buffers of its own
	MaxRefusing int           // further ones whose requests are read and refused
	MaxWait     time.Duration // for which a connection waits before its request is refused
	Rate        float64       // turns given a second
	Burst       int           // turns given at once after a pause
}

// RequestQueue decides which of the connections that bring requests are served, and which refused, when more come together than
// memory allows to work on, or so suddenly that work begun on all would be finished for hardly any. Who waits costs no
// buffer. It is not safe for concurrent use.
type RequestQueue struct {
	cfg      RequestQueueConfig
	tokens   float64       // turns that may be given now: a token bucket (RFC 2697, section 3)
	filled   time.Duration // when they were counted
	serving  int
	refusing int
	waiting  chain[QueueEntry]
	refused  uint64
}

// QueueEntry is a connection's entry at a Desk.
type QueueEntry struct {
	holder any
	since  time.Duration
	link   link[QueueEntry]
	at     Decision
	known  bool
}

// NewRequestQueue makes a desk at which nobody is.
func NewRequestQueue(cfg RequestQueueConfig) *RequestQueue {
	return &RequestQueue{cfg: cfg, tokens: float64(cfg.Burst)}
}

// SetMaxWait sets for how long a connection waits from now on.
func (d *RequestQueue) SetMaxWait(patience time.Duration) { d.cfg.MaxWait = patience }

// free says whether a turn can be given now.
func (d *RequestQueue) free(now time.Duration) bool {
	d.tokens = min(float64(d.cfg.Burst), d.tokens+d.cfg.Rate*(now-d.filled).Seconds())
	d.filled = now
	return d.serving < d.cfg.MaxServing && d.tokens >= 1
}

// serve gives a turn.
func (d *RequestQueue) serve(t *QueueEntry) {
	d.serving++
	d.tokens--
	t.at = Serve
}

// Enqueue asks for a turn. Who is told to wait is named by Next.
func (d *RequestQueue) Enqueue(now time.Duration, t *QueueEntry, holder any) Decision {
	*t = QueueEntry{holder: holder, since: now, at: Wait, known: true}
	if d.waiting.length == 0 && d.free(now) {
		d.serve(t)
		return Serve
	}
	d.waiting.push(&t.link, t)
	return Wait
}

// Remove ends a turn, whatever it was at. Next may then name others.
func (d *RequestQueue) Remove(t *QueueEntry) {
	if !t.known {
		return
	}
	switch t.at {
	case Serve:
		d.serving--
	case Refuse:
		d.refusing--
	case Wait:
		t.link.drop()
	}
	*t = QueueEntry{}
}

// Next names a connection that has waited for its turn, with what becomes of it now and how long it has waited; nil: none
// for now. Whoever waits for longer than Patience is refused even if it could be served now: its time is running, and
// those behind it would all come late. (A queue that never empties adds delay and no throughput: Nichols and Jacobson,
// "Controlling Queue Delay", ACM Queue 10(5), 2012.)
func (d *RequestQueue) Next(now time.Duration) (holder any, v Decision, waited time.Duration) {
	t := d.waiting.front()
	if t == nil {
		return nil, Wait, 0
	}
	waited = now - t.since
	switch {
	case waited > d.cfg.MaxWait && d.refusing < d.cfg.MaxRefusing:
		d.refusing++
		d.refused++
		t.at = Refuse
	case waited <= d.cfg.MaxWait && d.free(now):
		d.serve(t)
	default:
		return nil, Wait, waited
	}
	t.link.drop()
	return t.holder, t.at, waited
}

// Waiting is how many wait.
func (d *RequestQueue) Waiting() int { return d.waiting.length }

// RequestQueueStats is what operators can read of a Desk.
type RequestQueueStats struct {
	MaxServing, Serving, Waiting, Refusing int
	Refused                                uint64 // since the start
}

// Stats gives the state of now.
func (d *RequestQueue) Stats() RequestQueueStats {
	return RequestQueueStats{MaxServing: d.cfg.MaxServing, Serving: d.serving, Waiting: d.waiting.length, Refusing: d.refusing,
		Refused: d.refused}
}
