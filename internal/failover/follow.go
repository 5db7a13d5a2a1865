package failover

import (
	"math"
	"slices"
)

// targetPlan returns the zone plan that this proxy should follow, and whether it comes from the fleet's plan.
func (a *Agent) targetPlan(now float64) (ZonePlan, bool) {
	if a.fleetPlan != nil && (len(a.members) > 1 || now-a.lastPeerAt < PlanTTLSeconds) {
		if zonePlan := a.fleetPlan.Zone(a.zone); zonePlan != nil && len(zonePlan.Shares) > 0 {
			a.reason = a.fleetPlan.Reason
			return *zonePlan, true
		}
	}
	a.reason = a.localPlan.Reason
	if zonePlan := a.localPlan.Zone(a.zone); zonePlan != nil {
		return *zonePlan, false
	}
	return a.zonePlan, a.followsFleet
}

// follow moves the plan in force towards target, by steps for a while after a switch between fleet and local plan. It
// reports whether the plan in force has changed.
func (a *Agent) follow(now float64, target ZonePlan, followsFleet bool) bool {
	if followsFleet != a.followsFleet && len(a.zonePlan.Shares) > 0 {
		a.transitionUntil = now + transitionSeconds
	}
	a.followsFleet = followsFleet
	if now < a.transitionUntil {
		target = stepTowards(a.zonePlan, target)
	}
	if a.zonePlan.similar(&target) {
		return false
	}
	a.zonePlan = target
	return true
}

// stepTowards returns a plan between two plans. Zones that the second plan excludes are left at once; the other shares
// move by one step.
func stepTowards(from, to ZonePlan) ZonePlan {
	previous := map[string]float64{}
	kept := 0.0
	for _, s := range from.Shares {
		if slices.ContainsFunc(to.Shares, func(t Share) bool { return t.Zone == s.Zone }) {
			previous[s.Zone] = s.Fraction
			kept += s.Fraction
		}
	}
	if kept <= 0 {
		return to
	}
	scale := (1 - from.Refused) / kept
	difference := math.Abs(to.Refused - from.Refused)
	for _, s := range to.Shares {
		difference = max(difference, math.Abs(s.Fraction-previous[s.Zone]*scale))
	}
	if difference <= transitionStep {
		return to
	}
	progress := transitionStep / difference
	next := to
	next.Refused = from.Refused + progress*(to.Refused-from.Refused)
	next.Shares = nil
	for _, s := range to.Shares {
		x := previous[s.Zone] * scale
		next.Shares = append(next.Shares, Share{s.Zone, x + progress*(s.Fraction-x)})
	}
	return next
}
