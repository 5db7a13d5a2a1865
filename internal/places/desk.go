package places

import "time"

// Verdict is what becomes of a connection that has something to read.
type Verdict uint8

// The verdicts.
const (
	Serve  Verdict = iota // its request is read and worked on
	Wait                  // later, when another is done
	Refuse                // its request is read and refused
)

// DeskConfig bounds what is read and worked on at once.
type DeskConfig struct {
	Most     int           // connections whose requests are read or worked on, each with buffers of its own
	Refusing int           // further ones whose requests are read and refused
	Patience time.Duration // for which a connection waits before its request is refused
	Pace     float64       // turns given a second
	Burst    int           // turns given at once after a pause
}

// Desk decides which of the connections that bring requests are served, and which refused, when more come together than
// memory allows to work on, or so suddenly that work begun on all would be finished for hardly any. Who waits costs no
// buffer. It is not safe for concurrent use.
type Desk struct {
	cfg      DeskConfig
	tokens   float64       // turns that may be given now: a token bucket (RFC 2697, section 3)
	filled   time.Duration // when they were counted
	serving  int
	refusing int
	waiting  chain[Turn]
	refused  uint64
}

// Turn is a connection's entry at a Desk.
type Turn struct {
	holder any
	since  time.Duration
	link   link[Turn]
	at     Verdict
	known  bool
}

// NewDesk makes a desk at which nobody is.
func NewDesk(cfg DeskConfig) *Desk { return &Desk{cfg: cfg, tokens: float64(cfg.Burst)} }

// Patient sets for how long a connection waits from now on.
func (d *Desk) Patient(patience time.Duration) { d.cfg.Patience = patience }

// free says whether a turn can be given now.
func (d *Desk) free(now time.Duration) bool {
	d.tokens = min(float64(d.cfg.Burst), d.tokens+d.cfg.Pace*(now-d.filled).Seconds())
	d.filled = now
	return d.serving < d.cfg.Most && d.tokens >= 1
}

// serve gives a turn.
func (d *Desk) serve(t *Turn) {
	d.serving++
	d.tokens--
	t.at = Serve
}

// Come asks for a turn. Who is told to wait is named by Next.
func (d *Desk) Come(now time.Duration, t *Turn, holder any) Verdict {
	*t = Turn{holder: holder, since: now, at: Wait, known: true}
	if d.waiting.length == 0 && d.free(now) {
		d.serve(t)
		return Serve
	}
	d.waiting.push(&t.link, t)
	return Wait
}

// Leave ends a turn, whatever it was at. Next may then name others.
func (d *Desk) Leave(t *Turn) {
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
	*t = Turn{}
}

// Next names a connection that has waited for its turn, with what becomes of it now and how long it has waited; nil: none
// for now. Whoever waits for longer than Patience is refused even if it could be served now: its time is running, and
// those behind it would all come late. (A queue that never empties adds delay and no throughput: Nichols and Jacobson,
// "Controlling Queue Delay", ACM Queue 10(5), 2012.)
func (d *Desk) Next(now time.Duration) (holder any, v Verdict, waited time.Duration) {
	t := d.waiting.front()
	if t == nil {
		return nil, Wait, 0
	}
	waited = now - t.since
	switch {
	case waited > d.cfg.Patience && d.refusing < d.cfg.Refusing:
		d.refusing++
		d.refused++
		t.at = Refuse
	case waited <= d.cfg.Patience && d.free(now):
		d.serve(t)
	default:
		return nil, Wait, waited
	}
	t.link.drop()
	return t.holder, t.at, waited
}

// Waiting is how many wait.
func (d *Desk) Waiting() int { return d.waiting.length }

// DeskFigures is what operators can read of a Desk.
type DeskFigures struct {
	Most, Serving, Waiting, Refusing int
	Refused                          uint64 // since the start
}

// Figures gives the state of now.
func (d *Desk) Figures() DeskFigures {
	return DeskFigures{Most: d.cfg.Most, Serving: d.serving, Waiting: d.waiting.length, Refusing: d.refusing,
		Refused: d.refused}
}
