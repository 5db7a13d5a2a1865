package balancer

import "math"

// recordConnect counts failed connections to a zone in a row and takes out a zone that is lost or
// partitioned. After outUntil, one more failed connection takes it out again.
func (b *Balancer) recordConnect(h *host, connected bool) {
	z := h.zone
	if z.connectFailures++; connected {
		z.connectFailures = 0
	}
	if z.connectFailures >= zoneOutAfter && z.outUntil <= b.now && b.otherZoneUsable(z) {
		z.outUntil = b.now + zoneOutAims*b.longestAim
		for _, other := range b.hosts {
			if other.zone == z { // the zone failed, not its hosts
				other.suspectFor = 0
			}
		}
		b.logLimited("zone %d out until %.1f", h.Zone, z.outUntil)
	}
}

// otherZoneUsable keeps the last zone from being taken out: hosts also refuse connections when they are full.
func (b *Balancer) otherZoneUsable(z *zone) (usable bool) {
	for _, other := range b.zones {
		usable = usable || other != z && !other.out(b.now)
	}
	return usable
}

func (b *Balancer) recordLoss(h *host, class int) {
	b.decayLosses(h)
	h.losses[class]++
	b.tellPeers(h, byte(math.MaxUint8-min(class, classCodes-1)))
}

func (b *Balancer) decayLosses(h *host) {
	ago := (b.now - h.lossesDecayedAt) / (lossMemoryAims * b.longestAim)
	for c, lost := range h.losses {
		slower := 1.0
		if lost >= minLosses { // a host ejected for a class rarely gets a new sample
			slower = lossSlowdown
		}
		h.losses[c] = min(lost, maxLosses) * math.Exp(-ago/slower)
	}
	h.lossesDecayedAt = b.now
}

// dropsClass reports whether a host leaves mainly this class unanswered, so that only this class avoids it.
func (b *Balancer) dropsClass(h *host, class int) bool {
	if h.losses[class] < minLosses { // usual case; decay only lowers the count
		return false
	}
	b.decayLosses(h)
	total := 0.0
	for _, lost := range h.losses {
		total += lost
	}
	return h.losses[class] >= minLosses && 2*h.losses[class] > lossMajority*total
}

// recordOutcome updates health and load with an attempt's result.
func (b *Balancer) recordOutcome(o *openRequest, a *attempt, r Outcome) {
	h := a.host
	b.recordConnect(h, r.Result != ConnectFailed)
	switch r.Result {
	case OK:
		updateMean(&b.classWork[o.Class], r.Took)
		b.workDone += o.work
		b.warmWork += o.work / max(b.warmWeight, h.weight)
		if !a.late {
			updateMean(&b.lateShare, 0)
		}
		if float64(h.inflight+2) > h.limit && r.Took < limitGrowBelow*o.class.Aim {
			h.limit += r.Took / o.class.Aim / limitGrowBelow / h.limit
		}
		h.lastAnswerAt, h.answeredSentAt = b.now, max(h.answeredSentAt, a.sentAt)
		b.recordLatency(h, o, r.Took)
		if !a.late || !b.avoidSuspects { // a late answer does not show health
			b.recordHealth(h, failedRequest, 0)
		}
		b.recordHealth(h, brokenAnswer, 0)
		h.losses[o.Class] *= 1 - failureStep[failedRequest]
	case Rejected: // shows load, not failure
		h.observed = true
		b.adjustShares(h, 1, 1)
	case TimedOut:
		b.recordLoss(h, o.Class)
		b.adjustShares(h, b.lateWeight(), b.lateWeight())
		if !a.late {
			b.markLate(a)
		}
	case Errored, ConnectFailed:
		b.recordHealth(h, failedRequest, 1)
	case Reset, Malformed: // the host did accept the request
		b.recordHealth(h, brokenAnswer, 1)
	}
}

// lateWeight is how much lateness says about one host: less as more attempts are late everywhere.
func (b *Balancer) lateWeight() float64 { return max(0, 1-lateDiscount*b.lateShare) }

// markLate counts an attempt as late. Load makes a host late too, but one that answered nothing at all since
// the attempt was sent may hang; the late mark shows that well before the deadline.
func (b *Balancer) markLate(a *attempt) {
	a.late = true
	if 2*a.host.answeredSentAt > a.sentAt+b.now { // lost: one sent in this wait's later half was answered
		a.host.inflight, a.slot = a.host.inflight-a.slot, 0
		return
	}
	if a.sentAt >= a.host.limitCutAt { // once for all attempts that were pending together
		a.host.limit, a.host.limitCutAt = max(1, a.host.limit*limitCut), b.now
	}
	if a.host.lastAnswerAt < a.sentAt {
		b.recordHealth(a.host, failedRequest, b.lateWeight())
	}
	updateMean(&b.lateShare, 1)
	b.adjustShares(a.host, b.lateWeight(), b.lateWeight())
}

// recordHealth suspects and ejects hosts; failure is 0 for a good answer, 1 for a failure, less for lateness.
func (b *Balancer) recordHealth(h *host, kind int, failure float64) {
	h.observed = true
	eject := ejectAims * b.longestAim
	switch {
	case kind == failedRequest && failure == 0:
		h.suspectFor = 0
	case kind == failedRequest && failure >= minFailureWeight:
		h.suspectFor = min(max(eject, 2*h.suspectFor), maxSuspectFactor*eject)
		h.suspectUntil = b.now + h.suspectFor
	}
	if failure > h.failureShare[kind] || failure == 0 {
		h.failureShare[kind] += failureStep[kind] * (failure - h.failureShare[kind])
	}
	if failure > 0 && h.failureShare[kind] >= ejectThreshold && h.ejectedUntil <= b.now {
		h.ejectedUntil = b.now + eject
		b.logLimited("ejected %x until %.1f, failure shares %.2f", h.ID, h.ejectedUntil, h.failureShare)
	}
}
