package failover

import (
	"math"
	"slices"
)

// target is the row that this proxy ought to follow, and whether it is that of the plan in common.
func (a *Agent) target(now float64) (ZonePlan, bool) {
	if a.plan != nil && (len(a.members) > 1 || now-a.others < KeepFor) {
		if r := a.plan.Zone(a.zone); r != nil && len(r.Shares) > 0 {
			a.reason = a.plan.Reason
			return *r, true
		}
	}
	a.reason = a.mine.Reason
	if r := a.mine.Zone(a.zone); r != nil {
		return *r, false
	}
	return a.row, a.common
}

// follow moves the row in force towards a target, by steps for a while after it has come from another source.
func (a *Agent) follow(now float64, target ZonePlan, common bool) bool {
	if common != a.common && len(a.row.Shares) > 0 {
		a.easeUntil = now + easeFor
	}
	a.common = common
	if now < a.easeUntil {
		target = ease(a.row, target)
	}
	if a.row.like(&target) {
		return false
	}
	a.row = target
	return true
}

// ease is a row between two: zones that the target leaves out are left at once, the rest moves by a step.
func ease(from, to ZonePlan) ZonePlan {
	was := map[string]float64{}
	kept := 0.0
	for _, s := range from.Shares {
		if slices.ContainsFunc(to.Shares, func(t Share) bool { return t.Zone == s.Zone }) {
			was[s.Zone] = s.Fraction
			kept += s.Fraction
		}
	}
	if kept <= 0 {
		return to
	}
	scale := (1 - from.Refused) / kept
	apart := math.Abs(to.Refused - from.Refused)
	for _, s := range to.Shares {
		apart = max(apart, math.Abs(s.Fraction-was[s.Zone]*scale))
	}
	if apart <= easeBy {
		return to
	}
	part := easeBy / apart
	mid := to
	mid.Refused = from.Refused + part*(to.Refused-from.Refused)
	mid.Shares = nil
	for _, s := range to.Shares {
		x := was[s.Zone] * scale
		mid.Shares = append(mid.Shares, Share{s.Zone, x + part*(s.Fraction-x)})
	}
	return mid
}
