package balancer

import "math"

// pick is the mechanism: healthy / counted against the threshold chooses the set, rendezvous hashing ranks
// it by the key, and a loaded host yields to the next.
func (b *Balancer) pick(o *op, anchor *host) *host {
	panicking, near := b.split(o.Class), b.route(o)
	b.set = b.set[:0]
	home := [2]float64{math.Inf(1), math.Inf(1)} // the best score in this zone and in others
	for _, h := range b.hosts {
		out := o.OnlyHost == 0 && (!panicking && b.out(h, o.Class) || h.zone.out(b.now) && !b.agreed(o.Class))
		if h.Status != Ready || out || !o.allows(h.ID) || o.tried(h) || !inGroup(o.class.Group, anchor, h) {
			continue
		}
		key, cold := o.Key, b.warmth(h) < 1
		if cold { // a popular key alone would push it over
			key = o.luck
		}
		score := rendezvous(key, h.ID) / h.rank(near)
		b.set = append(b.set, ranked{h, score})
		if !cold {
			home[h.side] = min(home[h.side], score)
		}
	}
	best := b.best(o, home, false)
	if best != nil && b.warmth(best) < 1 && !b.spendCold(o) {
		best = b.best(o, home, true)
	}
	return best
}

// route is the zone that the plan names for a request, by its key: as shares move a little, few keys do. A
// further attempt goes by distance, as all do without a plan.
func (b *Balancer) route(o *op) *zone {
	x := unit(mix(o.Key)) * (1 - b.refused)
	for _, r := range b.routes {
		if x -= r.Share; x < 0 && len(o.attempts) == 0 {
			return b.zones[r.Zone]
		}
	}
	return nil
}

// rank is a host's rendezvous weight for a request that the plan sends to a zone; nil: to none.
func (h *host) rank(near *zone) float64 {
	switch near {
	case nil:
		return h.zoneRank
	case h.zone:
		return h.weight
	}
	return h.weight * farRank
}

// best is the first of the set that does not yield, or the least loaded if all do.
func (b *Balancer) best(o *op, home [2]float64, warmOnly bool) (best *host) {
	lowest := math.Inf(1)
	for _, r := range b.set {
		h := r.h
		far := b.cfg.WarmKeys && r.score > home[h.side] && float64(h.inflight+1) > farShare*h.window
		if far || !b.cfg.ServerSideLimits && float64(h.inflight) >= h.window || warmOnly && b.warmth(h) < 1 {
			continue
		}
		loaded := float64(h.inflight) >= max(passOverFloor, passOverMean*b.mean*h.weight+1) ||
			b.alone && h.inflight > 0 // its part of any host's room is far under one
		crowded := !b.cfg.ServerSideLimits && b.admit*unit(mix(o.luck^uint64(h.ID))) >= b.share(h)
		doubted := b.doubts && !b.agreed(o.Class) && h.doubted(b.now, o.class.Effect)
		if loaded || crowded || doubted {
			r.score = lastRank * float64(h.inflight+1) / h.weight
		}
		if r.score < lowest {
			best, lowest = h, r.score
		}
	}
	return best
}

// out says whether a host is left out for a class: by what happened here, or by agreement where that is due.
func (b *Balancer) out(h *host, class int) bool {
	return b.agreed(class) && h.AgreedEjected || !b.agreed(class) && (h.until > b.now || b.mute(h, class))
}

// doubted says whether requests yield from a host that has failed. Once the doubt is over, what may be sent
// again finds out; what may not waits for that as long again.
func (h *host) doubted(now float64, e Effect) bool {
	return h.doubtFor > 0 && (now < h.doubt || e == Unsafe && now < h.doubt+h.doubtFor)
}

// split decides between the healthy set and panic, and sums up what the pick needs of all hosts. A zone that
// is out shares no load, which is what panic counts on: it is left out of everything.
func (b *Balancer) split(class int) (panicking bool) {
	healthy, counted, doubted, inflight := 0, 0, 0, 0
	weight, admit, cold := 0.0, 0.0, 0.0
	b.warmWeight = 0
	for _, h := range b.hosts {
		if h.Status != Ready || h.zone.out(b.now) {
			continue
		}
		inflight, weight, admit = inflight+h.inflight, weight+h.weight, admit+b.share(h)*h.weight
		if warm := b.warmth(h); warm >= 1 {
			b.warmWeight += h.weight
		} else {
			cold += b.coldBudget(warm) * h.weight
		}
		if h.heard {
			counted++
			if !b.out(h, class) {
				healthy++
			}
			if h.doubted(b.now, Safe) {
				doubted++
			}
		}
	}
	b.earnCold(cold)
	b.admit, b.mean = admit/max(weight, 1), float64(inflight)/max(weight, 1)
	b.thin = b.mean < thinBelow
	b.alone = b.mean < aloneBelow && !b.cfg.PeerMessages && b.cfg.Balancers <= aloneMost*len(b.hosts) &&
		max(b.load[0], b.load[1]) <= loadedAbove // in overload it is not single hosts
	b.doubts = b.thin && float64(doubted) <= doubtShare*float64(counted)
	panicking = float64(healthy) < panicThreshold*float64(counted)
	if panicking {
		b.say("panic: %d healthy of %d counted", healthy, counted)
	}
	return panicking
}
