package balancer

import "math"

// pick returns a host with capacity, or nil. Rendezvous hashing ranks healthy hosts, in panic all, by the
// key; loaded hosts yield to the next. If first is not nil, the request stays in its deduplication group.
func (b *Balancer) pick(o *openRequest, first *host) *host {
	panicking, planned := b.scanHosts(o.Class), b.plannedZone(o)
	b.candidates = b.candidates[:0]
	bestScores := [2]float64{math.Inf(1), math.Inf(1)} // lowest by locality
	for _, h := range b.hosts {
		skip := o.OnlyHost == 0 && (!panicking && b.ejected(h, o.Class) ||
			h.zone.out(b.now) && !b.needsAgreement(o.Class))
		if h.Status != Ready || skip || !o.allows(h.ID) || o.tried(h) || !inGroup(o.class.Group, first, h) {
			continue
		}
		key, cold := o.Key, b.warmth(h) < 1
		if cold { // a popular key alone would overload it
			key = o.randomKey
		}
		score := rendezvous(key, h.ID) / h.rendezvousWeight(planned)
		b.candidates = append(b.candidates, candidate{h, score})
		if !cold {
			bestScores[h.locality] = min(bestScores[h.locality], score)
		}
	}
	best := b.bestCandidate(o, bestScores, false)
	if best != nil && b.warmth(best) < 1 && !b.spendColdCredit(o) {
		best = b.bestCandidate(o, bestScores, true)
	}
	return best
}

// plannedZone returns the zone that the plan assigns to a key; a small change of shares moves few keys. For
// retries and without a plan it returns nil: zones are then preferred by distance.
func (b *Balancer) plannedZone(o *openRequest) *zone {
	x := uniform(mix(o.Key)) * (1 - b.planRefused)
	for _, r := range b.planShares {
		if x -= r.Share; x < 0 && len(o.attempts) == 0 {
			return b.zones[r.Zone]
		}
	}
	return nil
}

// rendezvousWeight returns the host's weight for a request that the plan sends to a zone; nil: to none.
func (h *host) rendezvousWeight(planned *zone) float64 {
	switch planned {
	case nil:
		return h.zoneWeight
	case h.zone:
		return h.weight
	}
	return h.weight * farWeight
}

// bestCandidate returns the best-ranked host that does not yield, or the least loaded one if all do.
func (b *Balancer) bestCandidate(o *openRequest, bestScores [2]float64, warmOnly bool) (best *host) {
	lowest := math.Inf(1)
	for _, r := range b.candidates {
		h := r.host
		far := b.cfg.WarmKeys && r.score > bestScores[h.locality] && float64(h.inflight+1) > farShare*h.limit
		if far || !b.cfg.ServerSideLimits && float64(h.inflight) >= h.limit || warmOnly && b.warmth(h) < 1 {
			continue
		}
		loaded := float64(h.inflight) >= max(loadedFloor, loadedMultiple*b.meanInflight*h.weight+1) ||
			b.byLatency && h.inflight > 0 // this client's fair share of any host is far below one request
		overShare := !b.cfg.ServerSideLimits &&
			b.meanAdmit*uniform(mix(o.randomKey^uint64(h.ID))) >= b.share(h)
		suspect := b.avoidSuspects && !b.needsAgreement(o.Class) && h.suspected(b.now, o.class.Effect)
		if loaded || overShare || suspect {
			r.score = yieldScore * float64(h.inflight+1) / h.weight
		}
		if r.score < lowest {
			best, lowest = h, r.score
		}
	}
	return best
}

// ejected reports whether a host is ejected for a class, by local evidence or, where needed, by agreement.
func (b *Balancer) ejected(h *host, class int) bool {
	return b.needsAgreement(class) && h.AgreedEjected ||
		!b.needsAgreement(class) && (h.ejectedUntil > b.now || b.dropsClass(h, class))
}

// suspected reports whether requests of effect e avoid a host that has failed. When suspectUntil is over,
// repeatable requests try the host first; unsafe ones avoid it for the same time again.
func (h *host) suspected(now float64, e Effect) bool {
	return h.suspectFor > 0 && (now < h.suspectUntil || e == Unsafe && now < h.suspectUntil+h.suspectFor)
}

// scanHosts reports whether the panic threshold is crossed, and computes the sums over hosts that pick needs.
// Hosts in a zone that is out do not count: they would take none of the load that panic spreads.
func (b *Balancer) scanHosts(class int) (panicking bool) {
	healthy, counted, suspects, inflight := 0, 0, 0, 0
	weight, admit, coldRate := 0.0, 0.0, 0.0
	b.warmWeight = 0
	for _, h := range b.hosts {
		if h.Status != Ready || h.zone.out(b.now) {
			continue
		}
		inflight, weight, admit = inflight+h.inflight, weight+h.weight, admit+b.share(h)*h.weight
		if warm := b.warmth(h); warm >= 1 {
			b.warmWeight += h.weight
		} else {
			coldRate += b.coldRate(warm) * h.weight
		}
		if h.observed {
			counted++
			if !b.ejected(h, class) {
				healthy++
			}
			if h.suspected(b.now, Safe) {
				suspects++
			}
		}
	}
	b.earnColdCredit(coldRate)
	b.meanAdmit, b.meanInflight = admit/max(weight, 1), float64(inflight)/max(weight, 1)
	b.lowTraffic = b.meanInflight < lowTrafficBelow
	b.byLatency = b.meanInflight < byLatencyInflight && !b.cfg.PeerMessages &&
		b.cfg.Balancers <= maxProxiesPerHost*len(b.hosts) && max(b.meanLoad[0], b.meanLoad[1]) <= highLoad
	b.avoidSuspects = b.lowTraffic && float64(suspects) <= maxSuspectShare*float64(counted)
	panicking = float64(healthy) < panicThreshold*float64(counted)
	if panicking {
		b.logLimited("panic: %d healthy of %d counted", healthy, counted)
	}
	return panicking
}
