// Package places decides which connections of callers keep their places: who gives way when places run short, which idle
// ones will not be used again, and how long an idle one may stay. It knows nothing of sockets, requests, or goroutines;
// time comes in with each call. The caller of this package ends the connections that it names.
package places

import (
	"net/netip"
	"time"
)

// Config holds the limits. Times are those of each kind while at most half of the places are taken.
type Config struct {
	Most      int           // connections at once, those beyond it that get an error not counted
	Fresh     time.Duration // from its coming, for a connection to bring its first request whole
	Late      time.Duration // a first request that has begun to come is safe for this
	Idle      time.Duration // between two requests
	IdleLeast time.Duration // the same with all places taken; in between it falls in proportion
	ByAddress bool          // each address is a caller of its own; otherwise all connections are one's, as of one application
}

// Seat is one connection's entry. Only the Book writes it.
type Seat struct {
	kind   Kind
	again  bool   // it has brought two requests or more
	served bool   // it has brought a request
	mark   uint32 // its caller's arrivals when it became idle
	counts *crowd // where it is counted by that
	since  time.Duration
	caller *caller
	holder any
	all    link[Seat] // among all of its kind, in the order in which they came to it
	own    link[Seat] // among its caller's
}

// Kind says what the connection is at.
func (s *Seat) Kind() Kind { return s.kind }

// Holder is what the connection was entered with.
func (s *Seat) Holder() any { return s.holder }

// Book holds all connections of callers. It is not safe for concurrent use.
type Book struct {
	cfg     Config
	seats   [kinds]chain[Seat]
	ranks   [ranked][classes]chain[group]
	callers map[netip.Addr]*caller
	open    int // that have places
	drains  bool
	parts   bool
	drained time.Duration // Drain was called last
	once    reuse
	often   reuse
	skipped int     // judged useless since the last trial
	named   []*Seat // told to end, and not yet handed out by Reap
	figures Figures
}

// New makes an empty book.
func New(cfg Config) *Book { return &Book{cfg: cfg, callers: map[netip.Addr]*caller{}} }

// Configure changes the limits, but for who counts as one caller. What is over a lowered one is named by Reap as soon as
// it can give way.
func (b *Book) Configure(cfg Config) {
	cfg.ByAddress = b.cfg.ByAddress
	b.cfg = cfg
}

// SetMost changes the limit of connections alone.
func (b *Book) SetMost(n int) { b.cfg.Most = n }

// Enter gives a connection that was accepted a place. If the limit is reached another makes room, which is named by Reap;
// if none can, the connection is Over. holder is whatever the connection is to its holder.
func (b *Book) Enter(now time.Duration, from netip.Addr, s *Seat, holder any) {
	*s = Seat{kind: Gone, since: now, holder: holder}
	if b.Count() >= b.cfg.Most && !b.makeRoom(now) {
		b.figures.Refused++
		b.move(now, s, Over)
		return
	}
	from = b.origin(from)
	c := b.callers[from]
	if c == nil {
		c = &caller{from: from}
		b.callers[from] = c
	}
	c.open++
	if c.open > fewOwn && c.crowd == nil {
		c.gather()
	}
	b.open++
	s.caller = c
	b.move(now, s, Silent)
	b.figures.Entered++
}

// Begin marks the first byte of a request.
func (b *Book) Begin(now time.Duration, s *Seat) {
	switch {
	case s.kind == Silent:
		b.move(now, s, Partial)
	case s.kind.Idle():
		b.usedAgain(s)
		b.move(now, s, Active)
	}
}

// Work marks a request that has come whole.
func (b *Book) Work(now time.Duration, s *Seat) {
	b.Begin(now, s)
	if s.kind != Active && s.kind < Ending {
		b.move(now, s, Active)
	}
	s.again, s.served = s.served, true
	if s.caller != nil && !s.again {
		b.arrive(now, s.caller)
	}
}

// Rest marks the end of a request on a connection that goes on.
func (b *Book) Rest(now time.Duration, s *Seat) {
	switch {
	case s.kind == Ending: // told to end while it had a request in its socket; now it has none
		b.named = append(b.named, s)
		return
	case s.kind > Ending:
		return
	}
	s.served = true
	s.mark = s.caller.arrivals
	switch {
	case b.drains:
		b.name(now, s, Drained)
	case s.again:
		b.move(now, s, Often)
	default:
		b.move(now, s, Once)
	}
}

// Drain lets Reap name all connections on which no request is coming or worked on, and from now on each as it comes to
// rest. It may be called again for those that have come since.
func (b *Book) Drain(now time.Duration) { b.drains, b.drained = true, now }

// Part makes every request the last of its connection, and lets idle connections wait for theirs until Drain.
func (b *Book) Part() { b.parts = true }

// Linger marks a connection that has its last answer.
func (b *Book) Linger(now time.Duration, s *Seat) {
	if s.kind < Ending {
		b.move(now, s, Lingering)
	}
}

// Leave takes a connection that has ended out of the book.
func (b *Book) Leave(s *Seat) {
	if s.kind == Gone {
		return
	}
	if c := s.caller; c != nil {
		b.open--
		if c.open--; c.open == 0 {
			delete(b.callers, c.from)
		}
	}
	b.move(0, s, Gone)
	if c := s.caller; c != nil && c.open <= fewOwn/2 {
		c.crowd = nil
	}
	s.caller = nil
}

// Count is how many connections hold places and were not told to end.
func (b *Book) Count() int { return b.open - b.seats[Ending].length }

// Last says whether the connection ends with the request at hand.
func (b *Book) Last(s *Seat) bool { return b.drains || b.parts || s.kind >= Ending }
