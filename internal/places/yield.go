package places

import (
	"slices"
	"time"
)

// trialEvery is how many connections judged useless come on one that is kept all the same: without such, a judgement
// could never be found wrong.
const trialEvery = 8

// trials bounds those kept so at a time.
func (b *ConnTable) trials() int { return max(1, b.cfg.MaxConns/16) }

// arrive counts a connection's first request: each idle one of its caller's has been passed over once more.
func (b *ConnTable) arrive(now time.Duration, c *caller) {
	c.arrivals++
	if c.crowd == nil {
		return
	}
	for s := range steps {
		b.once.reach(s, c.crowd.once.came(c.arrivals, s))
		b.often.reach(s, c.crowd.often.came(c.arrivals, s))
	}
	want := wantLow + (wantTop-wantLow)*b.press()
	b.dismiss(now, c, StateIdleOnce, b.once.cut(want))
	b.dismiss(now, c, StateIdleReused, b.often.cut(want))
}

// dismiss names a caller's idle connections that have been passed over cut times or more, but for a few trials.
func (b *ConnTable) dismiss(now time.Duration, c *caller, k State, cut uint32) {
	if cut == 0 {
		return
	}
	for g := &c.groups[grouped[k]]; ; {
		s := g.seats.front()
		if s == nil || c.arrivals-s.mark < cut || c.open-c.ending <= fewOwn {
			return
		}
		if b.skipped++; b.skipped >= trialEvery && b.seats[StateTrial].length < b.trials() {
			b.skipped = 0
			b.move(now, s, StateTrial)
			continue
		}
		b.name(now, s, CauseUnlikelyReuse)
	}
}

// usedAgain takes note that an idle connection has brought a further request.
func (b *ConnTable) usedAgain(s *Conn) {
	b.figures.Reused++
	if s.caller.crowd == nil {
		return
	}
	if d := s.caller.arrivals - s.mark; d > 0 {
		b.reuseOf(s).use(step(d))
	}
}

func (b *ConnTable) reuseOf(s *Conn) *reuse {
	if s.again {
		return &b.often
	}
	return &b.once
}

// Evict names the connection that is missed least, where something else than the limit is short.
func (b *ConnTable) Evict(now time.Duration) { b.makeRoom(now) }

// EvictReading names a connection that is being read for little: one that has its last answer, or whose first request has been
// coming for long.
func (b *ConnTable) EvictReading(now time.Duration) {
	for _, k := range []State{StateLingering, StatePartial} {
		if s := b.least(now, k); s != nil {
			b.name(now, s, CauseFull)
			return
		}
	}
}

// makeRoom names the connection that is missed least, if any can give way. The one told to end holds its descriptor for
// a moment more, which is not counted.
func (b *ConnTable) makeRoom(now time.Duration) bool {
	for k := StateLingering; k < StateActive; k++ {
		if s := b.least(now, k); s != nil {
			b.name(now, s, CauseFull)
			return true
		}
	}
	return false
}

// least is the connection of a kind that gives way first: the oldest of a caller that holds most of that kind.
func (b *ConnTable) least(now time.Duration, k State) *Conn {
	g := grouped[k]
	if g < 0 {
		s := b.seats[k].front()
		if k == StatePartial && s != nil && now-s.since < b.cfg.PartialProtection {
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
func (b *ConnTable) name(now time.Duration, s *Conn, why Cause) {
	b.figures.Closed[why]++
	b.move(now, s, StateClosing)
	b.named = append(b.named, s)
}

// Reap names up to n connections that are to end now. One that was named gets no further request, but for one that is
// whole in its socket already.
func (b *ConnTable) Reap(now time.Duration, n int) []*Conn {
	for b.Count() > b.cfg.MaxConns && len(b.named) < n && b.makeRoom(now) {
	}
	for _, k := range []State{StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused} {
		within := b.stay(k)
		for s := b.seats[k].front(); s != nil && len(b.named) < n; s = b.seats[k].front() {
			if b.drains && s.since <= b.drained {
				b.name(now, s, CauseDrain)
			} else if k != StateLingering && now-s.since >= within { // which its holder bounds
				b.name(now, s, CauseTimeout)
			} else {
				break
			}
		}
	}
	n = min(n, len(b.named))
	out := slices.DeleteFunc(b.named[:n:n], func(s *Conn) bool { return s.kind != StateClosing }) // has left by itself
	if b.named = b.named[n:]; len(b.named) == 0 {
		b.named = nil
	}
	return out
}

// press says how short places are: 0 up to half of them, 1 with all taken.
func (b *ConnTable) press() float64 {
	return min(1, max(0, 2*float64(b.Count())/float64(max(1, b.cfg.MaxConns))-1))
}

// stay is how long a connection may be of a kind. As in Envoy's overload manager ("scaled timeouts") idle ones stay for
// less the fewer places are free, so that a full house is no step.
func (b *ConnTable) stay(k State) time.Duration {
	if k == StateNew {
		return b.cfg.FirstRequestTimeout
	}
	least := min(b.cfg.MinIdleTimeout, b.cfg.IdleTimeout)
	return b.cfg.IdleTimeout - time.Duration(b.press()*float64(b.cfg.IdleTimeout-least))
}
