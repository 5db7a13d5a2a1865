package failover

import (
	"cmp"
	"math"
	"slices"
)

const (
	// The fleet has two capacities per unit of warm weight: up to the soft one answers are fast, and up to the hard one
	// they are not yet late. Both are learned. A capacity grows towards the rate carried plus headroom. The headroom is
	// larger the faster the answers are, and growth is slower the fuller the hosts are. Load above the threshold of a
	// capacity cuts that capacity. The next cut waits until members have seen the effect of the last one.
	soft, hard                 = 0, 1
	lowLoadFraction            = 0.75     // of a load threshold: below it capacities grow fast
	headroom                   = 0.5      // fraction added to the rate carried when load is near zero
	growthRate, fastGrowthRate = 0.5, 2.0 // per second
	minCut                     = 0.03     // smallest fraction by which a capacity is cut
	cutIntervalSeconds         = 1.25     // between two cuts

	// Overloaded hosts stay slow until their queues are empty, and until then their answers are late whatever arrives.
	// Cuts are therefore deep at first, and small once the capacity is down to deepCutFloor of its highest value. For a
	// while after an overload, a capacity near the rate served at the onset grows only slowly.
	deepCutFloor          = 0.6  // of the highest capacity
	overloadMargin        = 0.92 // of the rate served at the onset: above it capacity grows slowly
	overloadMemorySeconds = 30.0 // for which an overload slows growth
	overloadGapSeconds    = 4.0  // below the hard threshold, after which exceeding it is a new overload
	cautiousGrowthRate    = 0.01 // per second

	// The weight fraction of a zone is cut while the zone's load is above the hard threshold and exceeds the fleet's
	// load by more than maxLoadGap. It recovers afterwards.
	maxLoadGap         = 0.1
	weightRecoveryRate = 0.15 // per second

	minFraction         = 0.02 // of a capacity or weight, which is never reduced to zero
	minAnsweredFraction = 0.5  // of attempts; below it a zone counts as failed rather than full
	minAnswers          = 10.0 // needed before the load is meaningful
	minCoverage         = 0.7  // of members that must have reported, for conclusions about the fleet
)

// loadThreshold is the load at which each capacity is reached.
var loadThreshold = [2]float64{0.6, 0.85}

// totals sums up the current reports about one zone or the fleet: mean load, requests per second that were served and
// that failed other than by a time-out, and the number of answers.
type totals struct{ load, served, failed, answers float64 }

// zoneState is what is known of a zone as a target.
type zoneState struct {
	totals
	weightFraction float64 // fraction of its weight that counts; 1: all
	cutAt          float64 // when weightFraction was last cut
	demand         float64 // smoothed requests per second from its clients
}

// fleetCapacity is the learned capacity of the fleet.
type fleetCapacity struct {
	totals
	capacity, highest          [2]float64 // soft and hard, per unit of warm weight; now and at their highest
	cutAt                      [2]float64
	overloadRate, overloadedAt float64 // rate near which growth is slow (0: none), and time of the latest overload
}

// hasCoverage reports whether enough members have reported for conclusions about the fleet.
func (pl *Planner) hasCoverage(members int) bool {
	return float64(len(pl.reports)) >= minCoverage*float64(members)
}

// measure sums up what members observed of each zone. The rates of a single member are capped, so that a false
// report cannot outweigh all others.
func (pl *Planner) measure(zones []Zone, demand map[string]float64, members int) {
	for _, z := range zones {
		if pl.zones[z.Name] == nil {
			pl.zones[z.Name] = &zoneState{weightFraction: 1}
		}
	}
	for _, state := range pl.zones {
		state.totals = totals{}
	}
	maxRate := pl.maxCredibleRate()
	for _, report := range pl.sortedReports {
		for _, stats := range report.Targets {
			state := pl.zones[stats.Zone]
			if state == nil {
				continue
			}
			served := min(maxRate, stats.AnsweredRate)
			state.served, state.failed, state.load = state.served+served,
				state.failed+min(maxRate, max(0, stats.FailedRate-stats.TimedOutRate)), state.load+served*stats.Load
			state.answers += stats.AnsweredRate * report.SpanSeconds
		}
	}
	for name, state := range pl.zones {
		state.load /= max(1e-9, state.served)
		// A single proxy adds an estimate of what the proxies of another zone send to that zone.
		if members <= 1 && pl.reportCount(name) == 0 && state.served > 0 {
			state.served += demand[name] * state.served / (state.served + state.failed)
		}
	}
}

// reportCount returns the number of members in a zone that have reported.
func (pl *Planner) reportCount(zone string) (n int) {
	for _, report := range pl.reports {
		if report.Zone == zone {
			n++
		}
	}
	return n
}

const maxRateRatio = 5.0 // multiple of the median request rate, up to which a member's rates are believed

func (pl *Planner) maxCredibleRate() float64 {
	var rates []float64
	for _, report := range pl.reports {
		rates = append(rates, report.RequestRate)
	}
	if len(rates) < 3 {
		return math.Inf(1)
	}
	slices.Sort(rates)
	return max(1, maxRateRatio*rates[len(rates)/2])
}

// zoneDemand returns the smoothed request rate that each zone's members receive from clients. A single proxy knows only
// its own demand, and assumes that the other zones have the same demand per unit of their hosts' weight.
func (pl *Planner) zoneDemand(zones []Zone, members int) map[string]float64 {
	demand, maxRate := map[string]float64{}, pl.maxCredibleRate()
	for _, report := range pl.sortedReports {
		demand[report.Zone] += min(maxRate, report.RequestRate)
	}
	for zone, rate := range demand {
		if state := pl.zones[zone]; state != nil {
			if math.Abs(rate-state.demand) > demandJump*state.demand {
				state.demand = rate
			}
			state.demand += demandSmoothing * (rate - state.demand)
			demand[zone] = state.demand
		}
	}
	if members > 1 {
		return demand
	}
	sum, warm := 0.0, 0.0
	for _, z := range zones {
		if rate, known := demand[z.Name]; known {
			sum, warm = sum+rate, warm+z.WarmWeight
		}
	}
	for _, z := range zones {
		if _, known := demand[z.Name]; !known && warm > 0 {
			demand[z.Name] = sum / warm * z.WarmWeight
		}
	}
	return demand
}

// Demand is smoothed so that shares do not follow its noise. A relative change above demandJump is not noise.
const demandSmoothing, demandJump = 0.2, 0.3

// updateWeight adjusts the fraction of its weight for which a zone counts: less while the zone is fuller than the fleet
// and its answers are close to being late. The weight covers only differences between zones. What they have in common
// is learned from the whole fleet, which is far less noisy than a single zone.
func (z *zoneState) updateWeight(now, elapsed, fleetLoad float64) {
	switch gap := z.load - fleetLoad; {
	case z.answers >= minAnswers && z.load > loadThreshold[hard] && gap > maxLoadGap:
		if now-z.cutAt >= cutIntervalSeconds {
			z.cutAt = now
			z.weightFraction = max(minFraction, z.weightFraction*(1-cutFraction(z.load, loadThreshold[hard])))
		}
	case z.answers < minAnswers || gap < maxLoadGap || z.load < loadThreshold[soft]:
		z.weightFraction = min(1, z.weightFraction*math.Exp(weightRecoveryRate*elapsed))
	}
}

// learnFleet learns the capacity of all zones together.
func (pl *Planner) learnFleet(now, elapsed float64, zones []Zone) {
	f := &pl.fleet
	f.totals = totals{}
	for _, z := range zones {
		state := pl.zones[z.Name]
		f.served, f.failed, f.answers = f.served+state.served, f.failed+state.failed, f.answers+state.answers
		f.load += state.load * state.served
	}
	f.load /= max(1e-9, f.served)
	f.learn(now, elapsed, pl.usableWeight(zones))
}

// learn adjusts both capacities to the rate served and the load that it caused.
func (c *fleetCapacity) learn(now, elapsed, weight float64) {
	for k := range c.capacity {
		// Too few answers cannot show that hosts have recovered, so capacity grows without them.
		if c.answers < minAnswers && c.capacity[k] < c.highest[k] {
			c.capacity[k] = min(c.highest[k], c.capacity[k]*math.Exp(growthRate*elapsed))
		}
	}
	if weight <= 0 || c.answers < minAnswers || c.served < minAnsweredFraction*(c.served+c.failed) {
		return
	}
	if c.load > loadThreshold[hard] {
		if now-c.overloadedAt > overloadGapSeconds || c.overloadRate == 0 {
			c.overloadRate = overloadMargin * c.served / weight
		}
		c.overloadedAt = now
	} else if now-c.overloadedAt > overloadMemorySeconds {
		c.overloadRate = 0
	}
	for k := range c.capacity {
		c.adjust(k, now, elapsed, c.served/weight)
	}
}

// adjust moves the capacity at index k, which is soft or hard. carried is the rate served per unit of warm weight.
func (c *fleetCapacity) adjust(k int, now, elapsed, carried float64) {
	slack := 1 - c.load/loadThreshold[k]
	target := carried * (1 + headroom*slack)
	switch capacity := &c.capacity[k]; {
	case slack < 0 && now-c.cutAt[k] < cutIntervalSeconds:
	case slack < 0:
		c.cutAt[k] = now
		if *capacity = cmp.Or(*capacity, carried); *capacity < deepCutFloor*c.highest[k] {
			*capacity *= 1 - minCut
		} else {
			*capacity = max(min(*capacity, carried), deepCutFloor*c.highest[k]) * (1 - cutFraction(c.load, loadThreshold[k]))
		}
		*capacity = max(*capacity, minFraction*c.highest[k])
	case *capacity == 0:
		*capacity = target
	case target > *capacity:
		rate := fastGrowthRate
		switch {
		case c.overloadRate > 0 && *capacity >= c.overloadRate:
			rate = cautiousGrowthRate
		case slack < 1-lowLoadFraction:
			rate = growthRate * slack
		}
		*capacity = min(target, *capacity*math.Exp(rate*elapsed))
	}
	c.capacity[hard] = max(c.capacity[hard], c.capacity[soft])
	c.highest[k] = max(c.highest[k], c.capacity[k])
}

// cutFraction returns the fraction by which a capacity or weight is cut: little where answers begin to be slow, and
// over a third where all are late. Overloaded hosts stay slow until the load is well below the level that overloaded
// them.
func cutFraction(load, threshold float64) float64 {
	excess := (load - threshold) / (1 - threshold)
	return minCut * (1 + 12*excess*excess)
}
