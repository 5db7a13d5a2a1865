package failover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const reportTTLSeconds = 40.0 // after which a report is discarded

// Zone describes a zone and the hosts in it.
type Zone struct {
	Name, Region    string
	WarmWeight      float64 // weight of its available hosts, each scaled by how far it has warmed up
	DrainedFraction float64 // fraction of its capacity that operators have drained; 1: all of it
}

// Planner makes routing plans from members' reports.
type Planner struct {
	reports       map[string]*receivedReport // by member
	sortedReports []*receivedReport          // the same in order of members, for the current decision
	zones         map[string]*zoneState      // by zone
	fleet         fleetCapacity              // all zones together
	refusing      bool                       // whether the fleet is over capacity and refuses requests
	paths         map[pathKey]*pathState
	pathsInUse    map[pathKey]bool    // whether the last plan sends requests on a path
	lastPlan      map[string]ZonePlan // by source zone
	decidedAt     float64             // time of the last decision; 0: none yet
}

type receivedReport struct {
	Report
	receivedAt float64
}

// NewPlanner returns a planner that has no reports and has learned nothing.
func NewPlanner() *Planner {
	return &Planner{reports: map[string]*receivedReport{}, zones: map[string]*zoneState{}, paths: map[pathKey]*pathState{},
		pathsInUse: map[pathKey]bool{}, lastPlan: map[string]ZonePlan{}}
}

// AddReport stores a member's report in place of its previous one.
func (pl *Planner) AddReport(now float64, r Report) { pl.reports[r.Member] = &receivedReport{r, now} }

// RemoveMember discards the report of a member that has left.
func (pl *Planner) RemoveMember(member string) { delete(pl.reports, member) }

// Resume replaces the planner's state by the state that a plan carries, as left by the leader that made it.
func (pl *Planner) Resume(now float64, p *Plan) {
	clear(pl.paths)
	for _, zonePlan := range p.Zones {
		pl.zones[zonePlan.Zone] = &zoneState{weightFraction: cmp.Or(zonePlan.WeightFraction, 1), demand: zonePlan.Demand}
		for _, restricted := range zonePlan.Restricted {
			pl.paths[pathKey{zonePlan.Zone, restricted.Zone}] = &pathState{ejected: restricted.RampFraction <= 0,
				ejectedUntil: now + restricted.SecondsLeft, ejectionSeconds: restricted.EjectionSeconds,
				rampFraction: restricted.RampFraction, rampedAt: now}
		}
	}
	pl.fleet.capacity, pl.fleet.highest =
		[2]float64{p.SoftCapacity, p.HardCapacity}, [2]float64{p.SoftCapacity, p.HardCapacity}
	pl.decidedAt = now
}

// MakePlan makes a plan for the zones. members is the size of the fleet, including members without a report. The caller
// sets Epoch and Leader.
func (pl *Planner) MakePlan(now float64, zones []Zone, members int) *Plan {
	zones = slices.SortedFunc(slices.Values(zones), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	maps.DeleteFunc(pl.reports, func(_ string, report *receivedReport) bool {
		return now-report.receivedAt > reportTTLSeconds
	})
	elapsed := 0.0
	if pl.decidedAt > 0 {
		elapsed = min(1, max(0, now-pl.decidedAt))
	}
	pl.decidedAt = now
	var reasons []string
	pl.sortedReports = pl.reportsByMember()
	demand := pl.zoneDemand(zones, members)
	pl.measure(zones, demand, members)
	if pl.hasCoverage(members) {
		pl.learnFleet(now, elapsed, zones)
	}
	for _, z := range zones {
		state := pl.zones[z.Name]
		if state.updateWeight(now, elapsed, pl.fleet.load); state.weightFraction < 1 {
			reasons = append(reasons, fmt.Sprintf("%s counts for %.0f %%", z.Name, 100*state.weightFraction))
		}
	}
	reasons = append(reasons, pl.updatePaths(now, zones, members)...)
	return pl.buildPlan(now, zones, demand, members, reasons)
}

// reportsByMember returns all reports in order of their members' names.
func (pl *Planner) reportsByMember() []*receivedReport {
	all := slices.Collect(maps.Values(pl.reports))
	slices.SortFunc(all, func(a, b *receivedReport) int { return cmp.Compare(a.Member, b.Member) })
	return all
}

// buildPlan distributes the demand of all zones over the targets.
func (pl *Planner) buildPlan(now float64, zones []Zone, demand map[string]float64, members int, reasons []string) *Plan {
	placed := newPlacement(len(zones))
	overload := pl.overloadFraction(zones, demand, members)
	for i, z := range zones {
		placed.region[i], placed.demand[i] = z.Region, demand[z.Name]*(1-overload)
		placed.soft[i], placed.hard[i] = pl.zoneCapacity(z, soft), pl.zoneCapacity(z, hard)
		for j, to := range zones {
			placed.limit[i][j] = pl.pathLimit(pathKey{z.Name, to.Name}) * max(placed.demand[i], 1e-9)
		}
	}
	var refused []float64
	if members > 1 {
		refused = placed.place()
	} else {
		for i, z := range zones {
			// The requests of a single proxy are too uneven to derive a lower capacity while load is low.
			if placed.hard[i] > 0 && pl.zones[z.Name].load < loadThreshold[soft] {
				placed.hard[i] = max(placed.hard[i], placed.demand[i])
			}
		}
		refused = placed.placeAlone()
	}
	for i, unreachable := range refused {
		refused[i] = 1 - (1-overload)*(1-unreachable)
	}
	plan := &Plan{SoftCapacity: pl.fleet.capacity[soft], HardCapacity: pl.fleet.capacity[hard]}
	for i, z := range zones {
		zonePlan := ZonePlan{Zone: z.Name, Refused: refused[i], Shares: pl.shares(placed, i, zones, refused[i])}
		zonePlan = pl.limitChange(zonePlan)
		zonePlan.Demand, zonePlan.WeightFraction = demand[z.Name], pl.zones[z.Name].weightFraction
		for _, to := range zones {
			if state := pl.paths[pathKey{z.Name, to.Name}]; state != nil && state.rampFraction < 1 {
				zonePlan.Restricted = append(zonePlan.Restricted, RestrictedPath{
					to.Name, max(0, state.ejectedUntil-now), state.ejectionSeconds, state.rampFraction})
			}
		}
		if z.DrainedFraction > 0 {
			reasons = append(reasons, fmt.Sprintf("operators hold back %.0f %% of %s", 100*z.DrainedFraction, z.Name))
		}
		if refused[i] > 0 {
			reasons = append(reasons, fmt.Sprintf("%s refuses %.0f %%", z.Name, 100*refused[i]))
		}
		plan.Zones = append(plan.Zones, zonePlan)
	}
	plan.Reason = cmp.Or(strings.Join(reasons, "; "), "all at home")
	return plan
}

// Shares change by bounded steps, except when a path opens or closes. The effect of a change shows only after a second
// or two. Shares that changed faster would oscillate between zones and overload one after the other. Refusing starts
// faster.
const shareStep, refuseStep = 0.04, 0.1 // per decision

// limitChange returns the entry next with its change from the last plan bounded.
func (pl *Planner) limitChange(next ZonePlan) ZonePlan {
	previous, known := pl.lastPlan[next.Zone]
	sameZone := func(x, y Share) bool { return x.Zone == y.Zone }
	if known && slices.EqualFunc(previous.Shares, next.Shares, sameZone) {
		difference := math.Abs(next.Refused - previous.Refused)
		for i, s := range next.Shares {
			difference = max(difference, math.Abs(s.Fraction-previous.Shares[i].Fraction))
		}
		step := shareStep
		if next.Refused > previous.Refused {
			step = refuseStep
		}
		if progress := step / difference; progress < 1 {
			next.Refused = previous.Refused + progress*(next.Refused-previous.Refused)
			for i := range next.Shares {
				next.Shares[i].Fraction =
					previous.Shares[i].Fraction + progress*(next.Shares[i].Fraction-previous.Shares[i].Fraction)
			}
		}
	}
	// A path that opens does not admit all refused requests at once.
	if minRefused := previous.Refused - shareStep; known && next.Refused < minRefused {
		for i := range next.Shares {
			next.Shares[i].Fraction *= (1 - minRefused) / (1 - next.Refused)
		}
		next.Refused = minRefused
	}
	pl.lastPlan[next.Zone] = ZonePlan{Refused: next.Refused, Shares: slices.Clone(next.Shares)}
	return next
}

// zoneCapacity returns the current capacity of a zone, based on that of the fleet. threshold is soft or hard. The
// capacity is unbounded as long as that of the fleet is not known.
func (pl *Planner) zoneCapacity(z Zone, threshold int) float64 {
	state := pl.zones[z.Name]
	capacity := cmp.Or(pl.fleet.capacity[threshold], unbounded) * z.WarmWeight * state.weightFraction
	if state.load < loadThreshold[soft] { // a rate carried at low load is within capacity, whatever was learned before
		capacity = max(capacity, state.served*min(1, z.WarmWeight))
	}
	return capacity * (1 - min(1, z.DrainedFraction))
}

const unbounded = 1e12 // requests per second

// overloadFraction returns the fraction of all demand that exceeds the capacity of the fleet. It is the same for every
// source, so that no zone is overloaded in favour of another. A single full zone is relieved by the shares instead.
// Refusing starts only when the mean load of the fleet is above the soft threshold.
func (pl *Planner) overloadFraction(zones []Zone, demand map[string]float64, members int) float64 {
	total, capacity := 0.0, pl.fleet.capacity[hard]*pl.usableWeight(zones)
	for _, rate := range demand {
		total += rate
	}
	pl.refusing = members > 1 && capacity > 0 && total > capacity && (pl.refusing || pl.fleet.load > loadThreshold[soft]) &&
		pl.hasCoverage(members)
	if !pl.refusing {
		return 0
	}
	return 1 - capacity/total
}

// usableWeight returns the weight that counts, of all zones that their own proxies can reach, less what operators have
// drained.
func (pl *Planner) usableWeight(zones []Zone) (sum float64) {
	for _, z := range zones {
		if state := pl.paths[pathKey{z.Name, z.Name}]; state == nil || !state.ejected {
			sum += z.WarmWeight * (1 - z.DrainedFraction) * pl.zones[z.Name].weightFraction
		}
	}
	return sum
}

// shares returns the shares of a source according to the placement, its own zone first. Open paths that get no requests
// are listed with fraction 0, so that they can take requests for which the other targets have no capacity.
func (pl *Planner) shares(placed *placement, source int, zones []Zone, refused float64) (shares []Share) {
	sum := 0.0
	for _, x := range placed.assigned[source] {
		sum += x
	}
	add := func(target int) {
		key := pathKey{zones[source].Name, zones[target].Name}
		if !placed.open(source, target) {
			return
		}
		fraction := 0.0
		switch {
		case sum > 0:
			fraction = placed.assigned[source][target] / sum * (1 - refused)
		case source == target: // no demand yet: the first requests stay in their own zone
			fraction = 1
		}
		shares = append(shares, Share{zones[target].Name, fraction})
		pl.pathsInUse[key] = fraction > 0
	}
	add(source)
	for target := range zones {
		if target != source {
			add(target)
		}
	}
	if sum <= 0 && len(shares) > 0 && refused < 1 {
		shares[0].Fraction = 1
	}
	return shares
}
