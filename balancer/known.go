package balancer

import "slices"

// This file holds values derived from the state and small updates that make no decision.

// valueDensity is a class's worth per second of work.
func (b *Balancer) valueDensity(c int) float64 {
	if b.cfg.WorthByWork {
		return b.cfg.Classes[c].Worth
	}
	return b.cfg.Classes[c].Worth / b.classWork[c]
}

func (o *openRequest) tried(h *host) bool {
	return slices.ContainsFunc(o.attempts, func(a attempt) bool { return a.host == h })
}

// warmth is the share of its capacity that a host has at present.
func (b *Balancer) warmth(h *host) float64 {
	return b.cfg.Warmth(b.now, h.Started)
}

// Warmth is the share of its capacity that a host started at a given time has now; started 0: long ago.
func (c *Config) Warmth(now, started float64) float64 {
	age := now - started
	if started == 0 || c.ColdFor <= 0 || age >= c.ColdFor {
		return 1
	}
	return c.ColdFrom + (1-c.ColdFrom)*max(0, age)/c.ColdFor
}

// share is the share of requests that a host may get.
func (b *Balancer) share(h *host) float64 {
	if b.byLatency {
		return h.latencyShare
	}
	return h.admitShare
}

// tick is the interval of the balancer's own timer, in seconds.
func (b *Balancer) tick() float64 { return tickAims * b.longestAim }

func (b *Balancer) dequeue(o *openRequest) {
	b.queue = slices.DeleteFunc(b.queue, func(other *openRequest) bool { return other == o })
}

// forget deletes a request that is done and has no attempts pending.
func (b *Balancer) forget(o *openRequest) {
	if o.done && o.pending == 0 {
		delete(b.requests, o.ID)
	}
}

// needsAgreement reports whether a host is ejected for a class only if the fleet agrees.
func (b *Balancer) needsAgreement(class int) bool {
	return b.cfg.AgreedEjection && class < len(b.cfg.Classes) && b.cfg.Classes[class].Effect == Unsafe
}
