package balancer

import (
	"encoding/binary"
	"math"
)

// tell sends peers a word on a host, as far as that may cost.
func (b *Balancer) tell(h *host, word byte) bool {
	cost := float64(b.cfg.Balancers*len(b.told)) / fullMessage
	if !b.cfg.PeerMessages || b.tells < cost {
		return false
	}
	b.tells -= cost
	binary.LittleEndian.PutUint32(b.told[:], tag(h.ID)|uint32(word))
	b.act.Broadcast(b.told[:])
	return true
}

// feel moves the share of requests that a host gets: by how much its load is above what is wanted, of which
// peers are told, and by how far an answer was apart from the mean. In overload the first holds: it makes
// cheap work give way, and keys stay where they are.
func (b *Balancer) feel(h *host, over, apart float64) {
	step := admitGain * min(b.now-h.admitAt, b.longest)
	if b.cfg.PeerMessages { // peers agree, so keys move together and what one finds out serves all
		step *= 2
	}
	h.part = min(1, max(admitLeast, h.part*math.Exp(-aloneStep*apart)))
	h.admit *= math.Exp(-step * over)
	h.admit, h.admitAt = min(1, max(admitLeast, h.admit)), b.now
	if math.Abs(math.Log(h.admit/h.admitTold)) > tellStep && b.tell(h, byte(h.admit*wholeShare)) {
		h.admitTold = h.admit
	}
}

// sense takes a host's load by how near its answer came to being late. Traffic and hosts may be spread
// unevenly over zones; no proxy sees enough of one host to tell, but all answers here do.
func (b *Balancer) sense(h *host, o *op, took float64) {
	util := min(1, took/(markShare*max(leastAim, o.class.Aim)))
	b.load[h.side] += loadStep * (util - b.load[h.side])
	over := util/min(mostLoad, max(loadedAbove, b.load[h.side]+admitOver)) - 1
	b.feel(h, over, min(1, took/b.classWork[o.Class]-1))
}

// coldBudget is the part of what pushes a host over, relative to its size, that may be sent to it.
func (b *Balancer) coldBudget(warmth float64) float64 {
	grows := max(0, min(coldMost, 1/max(1, b.cfg.FallMultiple))-coldSafety)
	return (coldSafety + grows*warmth*warmth) * b.cfg.FallMultiple * warmth
}

// earnCold adds to the work that may go to freshly started hosts, which must not be pushed over: part of what
// this balancer's share of their present capacity allows, told from what warm hosts answer from here. Summed
// over proxies that stays under the limit however unequal they are. No more than FallAfter's worth is saved.
func (b *Balancer) earnCold(budget float64) {
	rate := budget * b.warmFlow / max(b.span, b.longest)
	b.cold = min(rate*b.cfg.FallAfter, b.cold+rate*(b.now-b.coldAt))
	b.coldAt = b.now
}

// spendCold says whether a request may go to a cold host. With thin traffic what is earned never pays for
// one: a chance in proportion does. Then the rest is owed, else it is spent: trying again does not help.
func (b *Balancer) spendCold(o *op) bool {
	paid := b.cold
	if b.warmWeight <= 0 { // no warm host to learn from
		paid = max(paid, coldSafety*b.cfg.ColdFrom*o.work)
	}
	if b.random()*o.work < paid {
		b.cold -= o.work
		return true
	}
	b.cold = min(b.cold, 0)
	return false
}

// PeerMessage takes another balancer's word on the share that a host admits.
func (b *Balancer) PeerMessage(now float64, from int, data []byte) {
	b.now = now
	if len(data) != len(b.told) {
		return
	}
	word := binary.LittleEndian.Uint32(data)
	for _, h := range b.hosts {
		said := word - tag(h.ID)
		switch class := math.MaxUint8 - int(said); {
		case said <= wholeShare:
			h.admit = max(admitLeast, float64(said)/wholeShare)
			h.admitTold, h.admitAt = h.admit, now
		case said <= math.MaxUint8 && class < len(h.lost):
			b.fade(h)
			h.lost[class]++
		}
	}
}
