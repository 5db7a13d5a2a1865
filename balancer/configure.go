package balancer

import "slices"

// New starts a balancer at time now. It subscribes to the list at once where that must be asked for.
func New(now float64, cfg Config, act Actions) *Balancer {
	b := &Balancer{act: act, now: now, rng: cfg.Seed, index: map[HostID]*host{}, zones: map[int]*zone{},
		ops: map[RequestID]*op{}, quiet: map[string]float64{}, coldAt: now, admit: 1}
	b.adopt(cfg)
	if cfg.AskForList {
		b.watch()
	}
	act.Timer(b.tick(), timerTick<<tokenKind)
	return b
}

// Probed takes a probe's result. None is asked for: with many proxies they cost more than they tell.
func (b *Balancer) Probed(now float64, p ProbeResult) { b.now = now }

// Configure takes over other settings. kept names, for each class of cfg, the class that it was until now; -1: none. It
// decides nothing: what is open ends under the class and the number of attempts with which it was taken, and what was
// learned stays where it still means something, cold budgets among it.
func (b *Balancer) Configure(now float64, cfg Config, kept []int) {
	b.now = now
	was := len(b.cfg.Classes)
	works, strain := b.classWork, b.strain
	cfg.Seed = b.cfg.Seed
	b.adopt(cfg)
	for c, from := range kept[:min(len(kept), len(b.cfg.Classes))] {
		if from >= 0 && from < was {
			b.classWork[c], b.strain[c] = works[from], strain[from]
		}
	}
	for _, h := range b.hosts {
		lost := make([]float64, len(b.strain))
		for c, from := range kept {
			if from >= 0 && from < was {
				lost[c] = h.lost[from]
			}
		}
		h.lost = lost
	}
	for _, o := range b.ops { // b.ops holds no order, and none is needed
		if o.Class = slices.Index(kept, o.Class); o.Class < 0 {
			o.Class = len(b.cfg.Classes) // the place of those that went
		}
	}
	b.resize()
	if cfg.AskForList && !b.subbed {
		b.watch()
	}
}

// Plan takes over which zones count. It decides nothing: pick and givesWay act on it.
func (b *Balancer) Plan(now float64, routes []ZoneShare) {
	b.now, b.routes, b.refused = now, slices.Clone(routes), 0
	if len(routes) > 0 {
		b.refused = 1
	}
	for _, r := range routes {
		b.refused = max(0, b.refused-r.Share)
	}
	if b.refused < leastRefused {
		b.refused = 0
	}
	for n, z := range b.zones {
		z.shut = b.planShuts(n)
	}
	b.release()
}

// leastRefused is what a plan's shares may lack by rounding.
const leastRefused = 1e-6

// planShuts says whether the plan leaves a zone out.
func (b *Balancer) planShuts(n int) bool {
	return len(b.routes) > 0 && !slices.ContainsFunc(b.routes, func(r ZoneShare) bool { return r.Zone == n })
}

// adopt makes room for what is learned of each class, and of those that went away while requests of theirs were open.
func (b *Balancer) adopt(cfg Config) {
	if len(cfg.Classes) == 0 {
		cfg.Classes = []Class{{Aim: 1, Deadline: 1, Worth: 1}}
	}
	b.cfg, b.longest, b.classWork = cfg, leastAim, nil
	for _, c := range cfg.Classes {
		b.longest = max(b.longest, c.Aim)
		b.classWork = append(b.classWork, firstWork*c.Aim)
	}
	b.classWork = append(b.classWork, firstWork*b.longest)
	b.strain = make([]float64, len(cfg.Classes)+1)
}
