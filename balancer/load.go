package balancer

import (
	"encoding/binary"
	"math"
)

// tellPeers sends peers a code on a host and reports whether the message credit allowed it.
func (b *Balancer) tellPeers(h *host, code byte) bool {
	cost := float64(b.cfg.Balancers*len(b.message)) / fullMessageBytes
	if !b.cfg.PeerMessages || b.messageCredit < cost {
		return false
	}
	b.messageCredit -= cost
	binary.LittleEndian.PutUint32(b.message[:], hostTag(h.ID)|uint32(code))
	b.actions.Broadcast(b.message[:])
	return true
}

// adjustShares moves a host's admitShare by overload (how far its load is above the wanted one) and tells
// peers. It moves latencyShare by aboveMean (how far an answer's time is above its class's mean). In general
// overload, admitShare is the one in use: less valuable work is shed, and keys keep their hosts.
func (b *Balancer) adjustShares(h *host, overload, aboveMean float64) {
	step := admitGain * min(b.now-h.admitChangedAt, b.longestAim)
	if b.cfg.PeerMessages { // peers adjust alike, so keys move together and each learns from all
		step *= 2
	}
	h.latencyShare = min(1, max(minAdmit, h.latencyShare*math.Exp(-byLatencyStep*aboveMean)))
	h.admitShare *= math.Exp(-step * overload)
	h.admitShare, h.admitChangedAt = min(1, max(minAdmit, h.admitShare)), b.now
	if math.Abs(math.Log(h.admitShare/h.admitSent)) > peerStep &&
		b.tellPeers(h, byte(h.admitShare*fullShare)) {
		h.admitSent = h.admitShare
	}
}

// recordLatency measures a host's load by how close its answer came to being late. meanLoad is by locality:
// load may be uneven over zones, and a proxy sees too few answers of one host, but enough of all, to tell.
func (b *Balancer) recordLatency(h *host, o *openRequest, took float64) {
	util := min(1, took/(lateMarkShare*max(minAim, o.class.Aim)))
	b.meanLoad[h.locality] += loadStep * (util - b.meanLoad[h.locality])
	overload := util/min(maxLoad, max(highLoad, b.meanLoad[h.locality]+admitMargin)) - 1
	b.adjustShares(h, overload, min(1, took/b.classWork[o.Class]-1))
}

// coldRate is the rate of work a cold host may get per unit of weight: a part of what would overload it.
func (b *Balancer) coldRate(warmth float64) float64 {
	growth := max(0, min(maxColdSafety, 1/max(1, b.cfg.FallMultiple))-coldSafety)
	return (coldSafety + growth*warmth*warmth) * b.cfg.FallMultiple * warmth
}

// earnColdCredit adds to the work that cold hosts may get without being overloaded. Its rate follows the work
// answered to this balancer per weight of warm hosts, so that the sum over all proxies stays under the limit,
// however unequal they are. Credit for FallAfter is kept at the most.
func (b *Balancer) earnColdCredit(budget float64) {
	rate := budget * b.warmWork / max(b.workSpan, b.longestAim)
	b.coldCredit = min(rate*b.cfg.FallAfter, b.coldCredit+rate*(b.now-b.coldCreditAt))
	b.coldCreditAt = b.now
}

// spendColdCredit reports whether a request may go to a cold host. Credit for only a part of its work lets it
// pass with that probability, which leaves a debt; else the credit is used up, so that retries gain nothing.
func (b *Balancer) spendColdCredit(o *openRequest) bool {
	paid := b.coldCredit
	if b.warmWeight <= 0 { // no warm host to learn from
		paid = max(paid, coldSafety*b.cfg.ColdFrom*o.work)
	}
	if b.random()*o.work < paid {
		b.coldCredit -= o.work
		return true
	}
	b.coldCredit = min(b.coldCredit, 0)
	return false
}

// PeerMessage handles another balancer's message: a host's admitted share, or a lost attempt of a class.
func (b *Balancer) PeerMessage(now float64, from int, data []byte) {
	b.now = now
	if len(data) != len(b.message) {
		return
	}
	code := binary.LittleEndian.Uint32(data)
	for _, h := range b.hosts {
		rest := code - hostTag(h.ID)
		switch class := math.MaxUint8 - int(rest); {
		case rest <= fullShare:
			h.admitShare = max(minAdmit, float64(rest)/fullShare)
			h.admitSent, h.admitChangedAt = h.admitShare, now
		case rest <= math.MaxUint8 && class < len(h.losses):
			b.decayLosses(h)
			h.losses[class]++
		}
	}
}
