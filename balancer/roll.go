package balancer

import (
	"cmp"
	"math"
	"slices"
)

// UpdateHosts takes a list, changes to it, or word that a call for it failed.
func (b *Balancer) UpdateHosts(now float64, kind ListKind, hosts []Host) {
	b.now = now
	if kind == ListFailed {
		b.say("list lost, %d hosts known", len(b.hosts))
		b.subbed = false
		if b.cfg.AskForList { // with jitter, so that a struggling discovery is not called by all at once
			b.watchIn(watchSoonest + watchSpread*b.random())
		}
		return
	}
	if kind != ListCached {
		b.say("list received, %d entries", len(hosts))
		b.subbed = true
	}
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.Status = Removed // if absent from a complete list
		}
	}
	for _, e := range hosts {
		b.learn(e)
	}
	b.hosts = slices.DeleteFunc(b.hosts, func(h *host) bool {
		gone := h.Status == Removed && h.inflight == 0
		if gone {
			delete(b.index, h.ID)
		}
		return gone
	})
	slices.SortFunc(b.hosts, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	b.resize()
}

// learn takes one list entry. A new start time means a new process: what was known of the old one is void.
func (b *Balancer) learn(e Host) {
	h := b.index[e.ID]
	if h == nil {
		h = &host{until: b.now, cutAt: b.now, answered: math.Inf(-1), newest: math.Inf(-1), part: 1, admit: 1,
			window: -1, admitTold: 1, admitAt: b.now, lost: make([]float64, len(b.strain)), lostAt: b.now}
		b.index[e.ID] = h
		b.hosts = append(b.hosts, h)
	} else if e.Status == Ready && e.Started != 0 && e.Started != h.Started {
		h.heard, h.fail, h.until, h.doubtFor = false, [2]float64{}, b.now, 0
		clear(h.lost)
	}
	h.Host = e
	if b.zones[h.Zone] == nil {
		b.zones[h.Zone] = &zone{until: b.now, shut: b.planShuts(h.Zone)}
	}
	h.zone = b.zones[h.Zone]
}

// resize makes sizes relative to the mean of the ready hosts.
func (b *Balancer) resize() {
	sum, n := 0.0, 0
	for _, h := range b.hosts {
		if h.Status == Ready && h.Weight > 0 {
			sum, n = sum+h.Weight, n+1
		}
	}
	for _, h := range b.hosts {
		h.weight = 1
		if b.cfg.Weighted && h.Weight > 0 && n > 0 {
			h.weight = h.Weight * float64(n) / sum
		}
		if h.window < 0 {
			h.window = windowStart * h.weight
		}
		h.zoneRank, h.side = h.weight, 0
		if h.Zone != b.cfg.Zone {
			h.side = 1
			h.zoneRank *= max(farRank, 1-b.cfg.Prices.CrossZone/localityPrice)
		}
	}
}

// watch asks for the list, and again if no reply comes. All of it stays well inside AskWithin, after which
// this balancer counts as told of a list it has not seen.
func (b *Balancer) watch() {
	b.act.Watch()
	b.watchIn(1)
}

func (b *Balancer) watchIn(part float64) {
	most := b.cfg.AskWithin / watchTries
	if most <= 0 {
		most = b.longest
	}
	b.watchAt = b.now + part*most
	b.act.Timer(part*most, timerWatch<<tokenKind)
}
