package balancer

import (
	"cmp"
	"math"
	"slices"
)

// UpdateHosts handles a server list, changes to it, or a failed call for it.
func (b *Balancer) UpdateHosts(now float64, kind ListKind, hosts []Host) {
	b.now = now
	if kind == ListFailed {
		b.logLimited("list lost, %d hosts known", len(b.hosts))
		b.subscribed = false
		if b.cfg.AskForList { // with jitter, so that clients do not all call a struggling discovery at once
			b.scheduleWatch(watchRetryMin + watchRetrySpread*b.random())
		}
		return
	}
	if kind != ListCached {
		b.logLimited("list received, %d entries", len(hosts))
		b.subscribed = true
	}
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.Status = Removed // unless the complete list has it
		}
	}
	for _, entry := range hosts {
		b.updateHost(entry)
	}
	b.hosts = slices.DeleteFunc(b.hosts, func(h *host) bool {
		remove := h.Status == Removed && h.inflight == 0
		if remove {
			delete(b.hostByID, h.ID)
		}
		return remove
	})
	slices.SortFunc(b.hosts, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	b.recomputeWeights()
}

// updateHost applies one list entry. A ready host with a new start time is a new process: health is reset.
func (b *Balancer) updateHost(entry Host) {
	h := b.hostByID[entry.ID]
	if h == nil {
		h = &host{ejectedUntil: b.now, limitCutAt: b.now, lastAnswerAt: math.Inf(-1),
			answeredSentAt: math.Inf(-1), latencyShare: 1, admitShare: 1, limit: -1, admitSent: 1,
			admitChangedAt: b.now, losses: make([]float64, len(b.shedShare)), lossesDecayedAt: b.now}
		b.hostByID[entry.ID] = h
		b.hosts = append(b.hosts, h)
	} else if entry.Status == Ready && entry.Started != 0 && entry.Started != h.Started {
		h.observed, h.failureShare, h.ejectedUntil, h.suspectFor = false, [2]float64{}, b.now, 0
		clear(h.losses)
	}
	h.Host = entry
	if b.zones[h.Zone] == nil {
		b.zones[h.Zone] = &zone{outUntil: b.now, excluded: b.excludedByPlan(h.Zone)}
	}
	h.zone = b.zones[h.Zone]
}

// recomputeWeights sets weights relative to the mean weight of the ready hosts.
func (b *Balancer) recomputeWeights() {
	sum, count := 0.0, 0
	for _, h := range b.hosts {
		if h.Status == Ready && h.Weight > 0 {
			sum, count = sum+h.Weight, count+1
		}
	}
	for _, h := range b.hosts {
		h.weight = 1
		if b.cfg.Weighted && h.Weight > 0 && count > 0 {
			h.weight = h.Weight * float64(count) / sum
		}
		if h.limit < 0 {
			h.limit = initialLimit * h.weight
		}
		h.zoneWeight, h.locality = h.weight, 0
		if h.Zone != b.cfg.Zone {
			h.locality = 1
			h.zoneWeight *= max(farWeight, 1-b.cfg.Prices.CrossZone/localityPrice)
		}
	}
}

// watch subscribes to the list and schedules a retry in case no reply comes. The retries fit well within
// AskWithin, after which the list counts as known to this balancer even if it never arrived.
func (b *Balancer) watch() {
	b.actions.Watch()
	b.scheduleWatch(1)
}

func (b *Balancer) scheduleWatch(part float64) {
	maxWait := b.cfg.AskWithin / watchCalls
	if maxWait <= 0 {
		maxWait = b.longestAim
	}
	b.watchDue = b.now + part*maxWait
	b.actions.Timer(part*maxWait, timerWatch<<kindShift)
}
