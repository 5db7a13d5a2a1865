package balancer

import "slices"

// What follows from what is known, without a choice.

// density is the worth of a unit of a class's work.
func (b *Balancer) density(c int) float64 {
	if b.cfg.WorthByWork {
		return b.cfg.Classes[c].Worth
	}
	return b.cfg.Classes[c].Worth / b.classWork[c]
}

func (o *op) tried(h *host) bool {
	return slices.ContainsFunc(o.attempts, func(a attempt) bool { return a.h == h })
}

// warmth is the share of its capacity that a host surely has by now.
func (b *Balancer) warmth(h *host) float64 {
	return b.cfg.Warmth(b.now, h.Started)
}

// Warmth is the share of its capacity that a host has by now which started at a time; 0: long ago.
func (c *Config) Warmth(now, started float64) float64 {
	age := now - started
	if started == 0 || c.ColdFor <= 0 || age >= c.ColdFor {
		return 1
	}
	return c.ColdFrom + (1-c.ColdFrom)*max(0, age)/c.ColdFor
}

// share is the part of the requests that a host may get.
func (b *Balancer) share(h *host) float64 {
	if b.alone {
		return h.part
	}
	return h.admit
}

func (b *Balancer) tick() float64 { return tickAims * b.longest }

func (b *Balancer) unhold(o *op) {
	b.held = slices.DeleteFunc(b.held, func(other *op) bool { return other == o })
}

// drop forgets a request once it is answered and nothing of it is out.
func (b *Balancer) drop(o *op) {
	if o.done && o.out == 0 {
		delete(b.ops, o.ID)
	}
}

// agreed says whether leaving a host out for a class takes the agreement of all.
func (b *Balancer) agreed(class int) bool {
	return b.cfg.AgreedEjection && class < len(b.cfg.Classes) && b.cfg.Classes[class].Effect == Unsafe
}
