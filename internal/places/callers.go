package places

import (
	"math/bits"
	"net/netip"
	"time"
)

// classes of how many connections of one kind a caller holds: 1, 2 to 3, 4 to 7 and so on.
const classes = 32

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
	seats chain[Conn]
	rank  link[group]
}

// ranked is the number of kinds of which each caller has a group, and grouped their numbers. Of the others the one that
// came first gives way first, whoever's it is.
const ranked = 3

var grouped = [kinds]int8{StateLingering: -1, StateNew: 0, StatePartial: -1, StateTrial: -1, StateIdleOnce: 1, StateIdleReused: 2, StateActive: -1, StateClosing: -1,
	StateOverLimit: -1, StateRemoved: -1}

// origin is what counts as one caller: an IPv4 address, or the IPv6 network that a site gets (RFC 6177: a /64 at least).
func (b *ConnTable) origin(a netip.Addr) netip.Addr {
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

// move puts a seat into the chains of its next kind.
func (b *ConnTable) move(now time.Duration, s *Conn, k State) {
	was := s.kind
	if was != StateRemoved {
		s.all.drop()
		b.regroup(s, -1)
	}
	s.kind, s.since = k, now
	if k != StateRemoved {
		b.seats[k].push(&s.all, s)
		b.regroup(s, 1)
	}
	b.figures.Held[was], b.figures.Held[k] = b.seats[was].length, b.seats[k].length
}

// regroup takes a seat out of its caller's group or puts it there, and ranks the group anew.
func (b *ConnTable) regroup(s *Conn, way int) {
	if s.caller == nil {
		return
	}
	s.caller.age(s, way)
	if s.kind == StateClosing {
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
func (c *caller) age(s *Conn, way int) {
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
	for _, k := range []State{StateIdleOnce, StateIdleReused} {
		for l := c.groups[grouped[k]].seats.first; l != nil; l = l.next {
			l.item.mark = c.arrivals
			c.age(l.item, 1)
		}
	}
}
