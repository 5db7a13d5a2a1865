package balancer

import "math"

// connected takes whether a connection was made, as evidence on the host's zone. Guards a lost or cut-off
// zone. When its time is over, one request finds out whether the outage goes on.
func (b *Balancer) connected(h *host, ok bool) {
	z := h.zone
	if z.refused++; ok {
		z.refused = 0
	}
	if z.refused >= zoneOutAfter && z.until <= b.now && b.othersReached(z) {
		z.until = b.now + zoneOutAims*b.longest
		for _, other := range b.hosts {
			if other.zone == z { // the zone failed, not they
				other.doubtFor = 0
			}
		}
		b.say("zone %d out until %.1f", h.Zone, z.until)
	}
}

// othersReached: with every zone out nothing would be left, as hosts may refuse connections for want of room.
func (b *Balancer) othersReached(z *zone) (reached bool) {
	for _, other := range b.zones {
		reached = reached || other != z && !other.out(b.now)
	}
	return reached
}

// lose counts an attempt of a class that got no answer, and tells peers.
func (b *Balancer) lose(h *host, class int) {
	b.fade(h)
	h.lost[class]++
	b.tell(h, byte(math.MaxUint8-min(class, classWords-1)))
}

// fade lets losses of a host be forgotten in time.
func (b *Balancer) fade(h *host) {
	ago := (b.now - h.lostAt) / (lostAims * b.longest)
	for c, lost := range h.lost {
		slower := 1.0
		if lost >= lostSure { // who is out for a class is seldom asked again
			slower = lostSlower
		}
		h.lost[c] = min(lost, lostKept) * math.Exp(-ago/slower)
	}
	h.lostAt = b.now
}

// mute says whether a host leaves one class unanswered that serves others: health is a matter of the class.
func (b *Balancer) mute(h *host, class int) bool {
	if h.lost[class] < lostSure { // the usual case; fading makes it less
		return false
	}
	b.fade(h)
	all := 0.0
	for _, lost := range h.lost {
		all += lost
	}
	return h.lost[class] >= lostSure && 2*h.lost[class] > lostMost*all
}

// weigh takes an outcome as evidence on the host and on the load.
func (b *Balancer) weigh(o *op, a *attempt, r Outcome) {
	h := a.h
	b.connected(h, r.Result != ConnectFailed)
	switch r.Result {
	case OK:
		drift(&b.classWork[o.Class], r.Took)
		b.flow += o.work
		b.warmFlow += o.work / max(b.warmWeight, h.weight)
		if !a.late {
			drift(&b.late, 0)
		}
		if float64(h.inflight+2) > h.window && r.Took < growBelow*o.class.Aim {
			h.window += r.Took / o.class.Aim / growBelow / h.window
		}
		h.answered, h.newest = b.now, max(h.newest, a.at)
		b.sense(h, o, r.Took)
		if !a.late || !b.doubts { // slowness is no sign of health
			b.judge(h, failed, 0)
		}
		b.judge(h, broken, 0)
		h.lost[o.Class] *= 1 - judgeStep[failed]
	case Rejected: // proves load, not sickness
		h.heard = true
		b.feel(h, 1, 1)
	case TimedOut:
		b.lose(h, o.Class)
		b.feel(h, b.lateWeight(), b.lateWeight())
		if !a.late {
			b.markLate(a)
		}
	case Errored, ConnectFailed:
		b.judge(h, failed, 1)
	case Reset, Malformed: // it was there to take the request
		b.judge(h, broken, 1)
	}
}

// lateWeight is what lateness says about a single host: the less, the more attempts are late everywhere.
func (b *Balancer) lateWeight() float64 { return max(0, 1-lateDoubt*b.late) }

// markLate counts an attempt as late. Load makes a host late too; one that answered nothing at all since
// the attempt went out may have hung: it need not take whole deadlines to find that out.
func (b *Balancer) markLate(a *attempt) {
	a.late = true
	if 2*a.h.newest > a.at+b.now { // lost: what went out in the later half of its wait has been answered
		a.h.inflight, a.place = a.h.inflight-a.place, 0
		return
	}
	if a.at >= a.h.cutAt { // once for all attempts that were out together
		a.h.window, a.h.cutAt = max(1, a.h.window*windowCut), b.now
	}
	if a.h.answered < a.at {
		b.judge(a.h, failed, b.lateWeight())
	}
	drift(&b.late, 1)
	b.feel(a.h, b.lateWeight(), b.lateWeight())
}

// judge is outlier ejection: bad is 1 for a failure of a kind, 0 for a good answer.
func (b *Balancer) judge(h *host, kind int, bad float64) {
	h.heard = true
	eject := ejectAims * b.longest
	switch {
	case kind == failed && bad == 0:
		h.doubtFor = 0
	case kind == failed && bad >= sureBad:
		h.doubtFor = min(max(eject, 2*h.doubtFor), doubtMost*eject)
		h.doubt = b.now + h.doubtFor
	}
	if bad > h.fail[kind] || bad == 0 {
		h.fail[kind] += judgeStep[kind] * (bad - h.fail[kind])
	}
	if bad > 0 && h.fail[kind] >= ejectAt && h.until <= b.now {
		h.until = b.now + eject
		b.say("ejected %x until %.1f, failure shares %.2f", h.ID, h.until, h.fail)
	}
}
