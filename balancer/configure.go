package balancer

import "slices"

// New starts a balancer at time now. It subscribes to the list at once where the list has to be requested.
func New(now float64, cfg Config, act Actions) *Balancer {
	b := &Balancer{actions: act, now: now, rngState: cfg.Seed, hostByID: map[HostID]*host{},
		zones: map[int]*zone{}, requests: map[RequestID]*openRequest{}, logQuietUntil: map[string]float64{},
		coldCreditAt: now, meanAdmit: 1}
	b.applyConfig(cfg)
	if cfg.AskForList {
		b.watch()
	}
	act.Timer(b.tick(), timerTick<<kindShift)
	return b
}

// Probed handles a probe's result. This balancer sends no probes: with many proxies they cost more than they
// tell.
func (b *Balancer) Probed(now float64, p ProbeResult) { b.now = now }

// Configure replaces the settings. previous holds, for each class of cfg, its old index, or -1 for a new
// class. Open requests keep the class and the number of attempts with which they came. Learned state, cold
// credit included, is kept where it still applies.
func (b *Balancer) Configure(now float64, cfg Config, previous []int) {
	b.now = now
	oldCount := len(b.cfg.Classes)
	oldWork, oldShedShare := b.classWork, b.shedShare
	cfg.Seed = b.cfg.Seed
	b.applyConfig(cfg)
	for c, from := range previous[:min(len(previous), len(b.cfg.Classes))] {
		if from >= 0 && from < oldCount {
			b.classWork[c], b.shedShare[c] = oldWork[from], oldShedShare[from]
		}
	}
	for _, h := range b.hosts {
		losses := make([]float64, len(b.shedShare))
		for c, from := range previous {
			if from >= 0 && from < oldCount {
				losses[c] = h.losses[from]
			}
		}
		h.losses = losses
	}
	for _, o := range b.requests { // in any order
		if o.Class = slices.Index(previous, o.Class); o.Class < 0 {
			o.Class = len(b.cfg.Classes) // the extra index for requests of removed classes
		}
	}
	b.recomputeWeights()
	if cfg.AskForList && !b.subscribed {
		b.watch()
	}
}

// Plan sets the zones to use and their shares; pick and shedEarly apply them.
func (b *Balancer) Plan(now float64, shares []ZoneShare) {
	b.now, b.planShares, b.planRefused = now, slices.Clone(shares), 0
	if len(shares) > 0 {
		b.planRefused = 1
	}
	for _, r := range shares {
		b.planRefused = max(0, b.planRefused-r.Share)
	}
	if b.planRefused < minRefused {
		b.planRefused = 0
	}
	for n, z := range b.zones {
		z.excluded = b.excludedByPlan(n)
	}
	b.sendQueued()
}

// minRefused is the smallest refused share that is not taken for a rounding error of a plan's shares.
const minRefused = 1e-6

// excludedByPlan reports whether the plan leaves a zone out.
func (b *Balancer) excludedByPlan(zoneID int) bool {
	return len(b.planShares) > 0 &&
		!slices.ContainsFunc(b.planShares, func(r ZoneShare) bool { return r.Zone == zoneID })
}

// applyConfig sets the settings and resets the state kept by class. One extra index is for open requests of
// removed classes.
func (b *Balancer) applyConfig(cfg Config) {
	if len(cfg.Classes) == 0 {
		cfg.Classes = []Class{{Aim: 1, Deadline: 1, Worth: 1}}
	}
	b.cfg, b.longestAim, b.classWork = cfg, minAim, nil
	for _, c := range cfg.Classes {
		b.longestAim = max(b.longestAim, c.Aim)
		b.classWork = append(b.classWork, initialWorkShare*c.Aim)
	}
	b.classWork = append(b.classWork, initialWorkShare*b.longestAim)
	b.shedShare = make([]float64, len(cfg.Classes)+1)
}
