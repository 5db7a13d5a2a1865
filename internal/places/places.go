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
	MaxConns            int           // connections at once, those beyond it that get an error not counted
	FirstRequestTimeout time.Duration // from its coming, for a connection to bring its first request whole
	PartialProtection   time.Duration // a first request that has begun to come is safe for this
	IdleTimeout         time.Duration // between two requests
	MinIdleTimeout      time.Duration // the same with all places taken; in between it falls in proportion
	ByAddress           bool          // each address is a caller of its own; otherwise all connections are one's, as of one application
}

// Conn is one connection's entry. Only the Book writes it.
type Conn struct {
	kind   State
	again  bool   // it has brought two requests or more
	served bool   // it has brought a request
	mark   uint32 // its caller's arrivals when it became idle
	counts *crowd // where it is counted by that
	since  time.Duration
	caller *caller
	holder any
	all    link[Conn] // among all of its kind, in the order in which they came to it
	own    link[Conn] // among its caller's
}

// State says what the connection is at.
func (s *Conn) State() State { return s.kind }

// Value is what the connection was entered with.
func (s *Conn) Value() any { return s.holder }

// ConnTable holds all connections of callers. It is not safe for concurrent use.
type ConnTable struct {
	cfg     Config
	seats   [kinds]chain[Conn]
	ranks   [ranked][classes]chain[group]
	callers map[netip.Addr]*caller
	open    int // that have places
	drains  bool
	parts   bool
	drained time.Duration // Drain was called last
	once    reuse
	often   reuse
	skipped int     // judged useless since the last trial
	named   []*Conn // told to end, and not yet handed out by Reap
	figures Stats
}

// NewConnTable makes an empty book.
func NewConnTable(cfg Config) *ConnTable {
	return &ConnTable{cfg: cfg, callers: map[netip.Addr]*caller{}}
}

// Configure changes the limits, but for who counts as one caller. What is over a lowered one is named by Reap as soon as
// it can give way.
func (b *ConnTable) Configure(cfg Config) {
	cfg.ByAddress = b.cfg.ByAddress
	b.cfg = cfg
}

// SetMaxConns changes the limit of connections alone.
func (b *ConnTable) SetMaxConns(n int) { b.cfg.MaxConns = n }

// Add gives a connection that was accepted a place. If the limit is reached another makes room, which is named by Reap;
// if none can, the connection is Over. holder is whatever the connection is to its holder.
func (b *ConnTable) Add(now time.Duration, from netip.Addr, s *Conn, holder any) {
	*s = Conn{kind: StateRemoved, since: now, holder: holder}
	if b.Count() >= b.cfg.MaxConns && !b.makeRoom(now) {
		b.figures.Rejected++
		b.move(now, s, StateOverLimit)
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
	b.move(now, s, StateNew)
	b.figures.Added++
}

// RequestStarted marks the first byte of a request.
func (b *ConnTable) RequestStarted(now time.Duration, s *Conn) {
	switch {
	case s.kind == StateNew:
		b.move(now, s, StatePartial)
	case s.kind.Idle():
		b.usedAgain(s)
		b.move(now, s, StateActive)
	}
}

// RequestReceived marks a request that has come whole.
func (b *ConnTable) RequestReceived(now time.Duration, s *Conn) {
	b.RequestStarted(now, s)
	if s.kind != StateActive && s.kind < StateClosing {
		b.move(now, s, StateActive)
	}
	s.again, s.served = s.served, true
	if s.caller != nil && !s.again {
		b.arrive(now, s.caller)
	}
}

// RequestDone marks the end of a request on a connection that goes on.
func (b *ConnTable) RequestDone(now time.Duration, s *Conn) {
	switch {
	case s.kind == StateClosing: // told to end while it had a request in its socket; now it has none
		b.named = append(b.named, s)
		return
	case s.kind > StateClosing:
		return
	}
	s.served = true
	s.mark = s.caller.arrivals
	switch {
	case b.drains:
		b.name(now, s, CauseDrain)
	case s.again:
		b.move(now, s, StateIdleReused)
	default:
		b.move(now, s, StateIdleOnce)
	}
}

// Drain lets Reap name all connections on which no request is coming or worked on, and from now on each as it comes to
// rest. It may be called again for those that have come since.
func (b *ConnTable) Drain(now time.Duration) { b.drains, b.drained = true, now }

// CloseAfterResponse makes every request the last of its connection, and lets idle connections wait for theirs until Drain.
func (b *ConnTable) CloseAfterResponse() { b.parts = true }

// Linger marks a connection that has its last answer.
func (b *ConnTable) Linger(now time.Duration, s *Conn) {
	if s.kind < StateClosing {
		b.move(now, s, StateLingering)
	}
}

// Remove takes a connection that has ended out of the book.
func (b *ConnTable) Remove(s *Conn) {
	if s.kind == StateRemoved {
		return
	}
	if c := s.caller; c != nil {
		b.open--
		if c.open--; c.open == 0 {
			delete(b.callers, c.from)
		}
	}
	b.move(0, s, StateRemoved)
	if c := s.caller; c != nil && c.open <= fewOwn/2 {
		c.crowd = nil
	}
	s.caller = nil
}

// Count is how many connections hold places and were not told to end.
func (b *ConnTable) Count() int { return b.open - b.seats[StateClosing].length }

// ClosesAfterRequest says whether the connection ends with the request at hand.
func (b *ConnTable) ClosesAfterRequest(s *Conn) bool {
	return b.drains || b.parts || s.kind >= StateClosing
}
