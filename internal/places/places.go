// Package places decides which connections of callers keep their places: who gives way when places run short, which idle
// ones will not be used again, and how long an idle one may stay. It knows nothing of sockets, requests, or goroutines;
// time comes in with each call. The caller of this package ends the connections that it names.
package places

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// Kind is what a connection is at. Those before Active can give way, in this order.
type Kind uint8

// The kinds.
const (
	Lingering Kind = iota // has its last answer, and may yet read it
	Silent                // has brought nothing yet
	Partial               // its first request has begun to come
	Trial                 // idle, judged useless, and kept to see whether that is right
	Once                  // idle after its only request
	Often                 // idle after two requests or more
	Active                // a further request is coming, or one is worked on
	Ending                // told to end
	Over                  // beyond the limit: gets an error for its first request
	Gone                  // has left, or never came
	kinds
)

var kindNames = [kinds]string{"lingering", "silent", "partial", "trial", "idle, used once", "idle, used often", "active",
	"ending", "over", "gone"}

func (k Kind) String() string { return kindNames[k] }

// Idle says whether no request of the connection is open, and it has had one.
func (k Kind) Idle() bool { return k == Trial || k == Once || k == Often }

// Cause is why a connection was told to end.
type Cause uint8

// The causes.
const (
	Full    Cause = iota // its place was wanted for another
	Unused               // its caller opens others instead of using it
	Timed                // it was idle, or brought nothing whole, for too long
	Drained              // all of them end
	causes
)

var causeNames = [causes]string{"full", "unused", "timed", "drained"}

func (c Cause) String() string { return causeNames[c] }

// Config holds the limits. Times are those of each kind while at most half of the places are taken.
type Config struct {
	Most      int           // connections at once, those beyond it that get an error not counted
	Fresh     time.Duration // from its coming, for a connection to bring its first request whole
	Late      time.Duration // a first request that has begun to come is safe for this
	Idle      time.Duration // between two requests
	IdleLeast time.Duration // the same with all places taken; in between it falls in proportion
	ByAddress bool          // each address is a caller of its own; otherwise all connections are one's, as of one application
}

// classes of how many connections of one kind a caller holds: 1, 2 to 3, 4 to 7 and so on.
const classes = 32

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

// caller is who opens connections. It is forgotten with its last one.
type caller struct {
	from     netip.Addr
	open     int
	ending   int    // of these, told to end
	arrivals uint32 // connections of it that have brought a request
	groups   [ranked]group
	crowd    *crowd // nil while it has few
}

// crowd is what is kept for a caller that holds more than a few connections.
type crowd struct{ once, often ages }

// group is a caller's connections of one kind. Book ranks groups by their size.
type group struct {
	seats chain[Seat]
	rank  link[group]
}

// ranked is the number of kinds of which each caller has a group, and grouped their numbers. Of the others the one that
// came first gives way first, whoever's it is.
const ranked = 3

var grouped = [kinds]int8{Lingering: -1, Silent: 0, Partial: -1, Trial: -1, Once: 1, Often: 2, Active: -1, Ending: -1,
	Over: -1, Gone: -1}

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

// trialEvery is how many connections judged useless come on one that is kept all the same: without such, a judgement
// could never be found wrong.
const trialEvery = 8

// trials bounds those kept so at a time.
func (b *Book) trials() int { return max(1, b.cfg.Most/16) }

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

// origin is what counts as one caller: an IPv4 address, or the IPv6 network that a site gets (RFC 6177: a /64 at least).
func (b *Book) origin(a netip.Addr) netip.Addr {
	if !b.cfg.ByAddress {
		return netip.Addr{}
	}
	if a = a.Unmap(); a.Is6() {
		if p, err := a.Prefix(64); err == nil {
			return p.Addr()
		}
	}
	return a
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

// arrive counts a connection's first request: each idle one of its caller's has been passed over once more.
func (b *Book) arrive(now time.Duration, c *caller) {
	c.arrivals++
	if c.crowd == nil {
		return
	}
	for s := range steps {
		b.once.reach(s, c.crowd.once.came(c.arrivals, s))
		b.often.reach(s, c.crowd.often.came(c.arrivals, s))
	}
	want := wantLow + (wantTop-wantLow)*b.press()
	b.dismiss(now, c, Once, b.once.cut(want))
	b.dismiss(now, c, Often, b.often.cut(want))
}

// dismiss names a caller's idle connections that have been passed over cut times or more, but for a few trials.
func (b *Book) dismiss(now time.Duration, c *caller, k Kind, cut uint32) {
	if cut == 0 {
		return
	}
	for g := &c.groups[grouped[k]]; ; {
		s := g.seats.front()
		if s == nil || c.arrivals-s.mark < cut || c.open-c.ending <= fewOwn {
			return
		}
		if b.skipped++; b.skipped >= trialEvery && b.seats[Trial].length < b.trials() {
			b.skipped = 0
			b.move(now, s, Trial)
			continue
		}
		b.name(now, s, Unused)
	}
}

// usedAgain takes note that an idle connection has brought a further request.
func (b *Book) usedAgain(s *Seat) {
	b.figures.Reused++
	if s.caller.crowd == nil {
		return
	}
	if d := s.caller.arrivals - s.mark; d > 0 {
		b.reuseOf(s).use(step(d))
	}
}

func (b *Book) reuseOf(s *Seat) *reuse {
	if s.again {
		return &b.often
	}
	return &b.once
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

// Shed names the connection that is missed least, where something else than the limit is short.
func (b *Book) Shed(now time.Duration) { b.makeRoom(now) }

// FreeTurn names a connection that is being read for little: one that has its last answer, or whose first request has been
// coming for long.
func (b *Book) FreeTurn(now time.Duration) {
	for _, k := range []Kind{Lingering, Partial} {
		if s := b.least(now, k); s != nil {
			b.name(now, s, Full)
			return
		}
	}
}

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

// makeRoom names the connection that is missed least, if any can give way. The one told to end holds its descriptor for
// a moment more, which is not counted.
func (b *Book) makeRoom(now time.Duration) bool {
	for k := Lingering; k < Active; k++ {
		if s := b.least(now, k); s != nil {
			b.name(now, s, Full)
			return true
		}
	}
	return false
}

// least is the connection of a kind that gives way first: the oldest of a caller that holds most of that kind.
func (b *Book) least(now time.Duration, k Kind) *Seat {
	g := grouped[k]
	if g < 0 {
		s := b.seats[k].front()
		if k == Partial && s != nil && now-s.since < b.cfg.Late {
			return nil
		}
		return s
	}
	for class := classes - 1; class >= 0; class-- {
		if most := b.ranks[g][class].front(); most != nil {
			return most.seats.front()
		}
	}
	return nil
}

// name tells a connection to end. From then on its place counts as free.
func (b *Book) name(now time.Duration, s *Seat, why Cause) {
	b.figures.Ended[why]++
	b.move(now, s, Ending)
	b.named = append(b.named, s)
}

// Reap names up to n connections that are to end now. One that was named gets no further request, but for one that is
// whole in its socket already.
func (b *Book) Reap(now time.Duration, n int) []*Seat {
	for b.Count() > b.cfg.Most && len(b.named) < n && b.makeRoom(now) {
	}
	for _, k := range []Kind{Lingering, Silent, Trial, Once, Often} {
		within := b.stay(k)
		for s := b.seats[k].front(); s != nil && len(b.named) < n; s = b.seats[k].front() {
			if b.drains && s.since <= b.drained {
				b.name(now, s, Drained)
			} else if k != Lingering && now-s.since >= within { // which its holder bounds
				b.name(now, s, Timed)
			} else {
				break
			}
		}
	}
	n = min(n, len(b.named))
	out := slices.DeleteFunc(b.named[:n:n], func(s *Seat) bool { return s.kind != Ending }) // has left by itself
	if b.named = b.named[n:]; len(b.named) == 0 {
		b.named = nil
	}
	return out
}

// Count is how many connections hold places and were not told to end.
func (b *Book) Count() int { return b.open - b.seats[Ending].length }

// press says how short places are: 0 up to half of them, 1 with all taken.
func (b *Book) press() float64 {
	return min(1, max(0, 2*float64(b.Count())/float64(max(1, b.cfg.Most))-1))
}

// stay is how long a connection may be of a kind. As in Envoy's overload manager ("scaled timeouts") idle ones stay for
// less the fewer places are free, so that a full house is no step.
func (b *Book) stay(k Kind) time.Duration {
	if k == Silent {
		return b.cfg.Fresh
	}
	least := min(b.cfg.IdleLeast, b.cfg.Idle)
	return b.cfg.Idle - time.Duration(b.press()*float64(b.cfg.Idle-least))
}

// Last says whether the connection ends with the request at hand.
func (b *Book) Last(s *Seat) bool { return b.drains || b.parts || s.kind >= Ending }

// move puts a seat into the chains of its next kind.
func (b *Book) move(now time.Duration, s *Seat, k Kind) {
	was := s.kind
	if was != Gone {
		s.all.drop()
		b.regroup(s, -1)
	}
	s.kind, s.since = k, now
	if k != Gone {
		b.seats[k].push(&s.all, s)
		b.regroup(s, 1)
	}
	b.figures.Held[was], b.figures.Held[k] = b.seats[was].length, b.seats[k].length
}

// regroup takes a seat out of its caller's group or puts it there, and ranks the group anew.
func (b *Book) regroup(s *Seat, way int) {
	if s.caller == nil {
		return
	}
	s.caller.age(s, way)
	if s.kind == Ending {
		s.caller.ending += way
	}
	at := grouped[s.kind]
	if at < 0 {
		return
	}
	g := &s.caller.groups[at]
	if way < 0 {
		s.own.drop()
	} else {
		g.seats.push(&s.own, s)
	}
	class := bits.Len(uint(g.seats.length)) - 1
	if class >= 0 && g.rank.in == &b.ranks[at][class] {
		return
	}
	g.rank.drop()
	if class >= 0 {
		b.ranks[at][class].push(&g.rank, g)
	}
}

// age counts an idle connection of a crowd by the arrival at which it became idle, or takes it out of the count.
func (c *caller) age(s *Seat, way int) {
	switch {
	case way > 0 && (c.crowd == nil || !s.kind.Idle()), way < 0 && (c.crowd == nil || s.counts != c.crowd):
		s.counts = nil
		return
	case way > 0:
		s.counts = c.crowd
	default:
		s.counts = nil
	}
	a := &c.crowd.once
	if s.again {
		a = &c.crowd.often
	}
	if c.arrivals-s.mark < window {
		a[s.mark%window] += uint16(way)
	}
}

// gather begins to judge a caller's idle connections, from the ones that it has.
func (c *caller) gather() {
	c.crowd = new(crowd)
	for _, k := range []Kind{Once, Often} {
		for l := c.groups[grouped[k]].seats.first; l != nil; l = l.next {
			l.item.mark = c.arrivals
			c.age(l.item, 1)
		}
	}
}
