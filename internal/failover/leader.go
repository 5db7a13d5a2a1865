package failover

import (
	"cmp"
	"hash/fnv"
	"io"
	"math"
	"slices"
)

// leader returns the member that makes the plans. This is the one that made the last plan as long as it is alive, and
// otherwise the preferred member.
func (a *Agent) leader() string {
	if a.fleetPlan != nil && slices.Contains(a.members, a.fleetPlan.Leader) {
		return a.fleetPlan.Leader
	}
	return preferredMember(a.members, "")
}

// preferredMember returns the first of the members other than except, in order of a hash of their names. The
// hash keeps the choice independent of how members are named.
func preferredMember(members []string, except string) (preferred string) {
	lowest := uint64(math.MaxUint64)
	for _, name := range members {
		h := fnv.New64a()
		io.WriteString(h, "author "+name) // all members and versions must hash the same text
		if rank := h.Sum64() * 0x9e3779b97f4a7c15; name != except && (rank < lowest || preferred == "") {
			preferred, lowest = name, rank
		}
	}
	return preferred
}

// coordinate does this member's part: the leader makes plans, and any other member sends reports.
func (a *Agent) coordinate(now float64, own Report, zones []Zone) {
	leader := a.leader()
	if leader == a.name && a.fleetPlan == nil && now-a.startedAt < joinSeconds {
		leader = preferredMember(a.members, a.name) // the next member knows the plan in force, if there is one
	}
	if leader != a.name {
		a.fleetPlanner = nil
		a.sendReport(now, own, leader)
		return
	}
	a.unansweredSince = 0
	if a.fleetPlanner == nil {
		a.startLeading(now)
	}
	a.fleetPlanner.AddReport(now, own)
	for name := range a.fleetPlanner.reports {
		if !slices.Contains(a.members, name) {
			a.fleetPlanner.RemoveMember(name)
		}
	}
	if p := a.fleetPlanner.MakePlan(now, zones, len(a.members)); now-a.leadingSince >= collectSeconds &&
		a.worthPublishing(now, p) {
		a.publish(now, p)
	}
}

// worthPublishing reports whether a plan differs enough from the one in force to be sent.
func (a *Agent) worthPublishing(now float64, p *Plan) bool {
	switch {
	case a.fleetPlan == nil || a.fleetPlan.Leader != a.name:
		return true
	case !a.fleetPlan.sameTargets(p):
		return true
	}
	return now-a.fleetPlanAt >= planIntervalSeconds && !a.fleetPlan.similar(p)
}

// publish puts a plan in force as the next epoch and sends it to all other members.
func (a *Agent) publish(now float64, p *Plan) {
	if a.fleetPlan != nil {
		p.Epoch = a.fleetPlan.Epoch
	}
	p.Epoch, p.Leader = p.Epoch+1, a.name
	a.fleetPlan, a.fleetPlanAt = p, now
	for _, name := range a.members {
		if name != a.name {
			a.send(name, Message{Plan: p})
		}
	}
}

// sendReport sends this proxy's report to the leader when it is due. Once the leader has timed out, the report goes to
// the deputy too, or this member takes over if it is the deputy.
func (a *Agent) sendReport(now float64, own Report, leader string) {
	memberCount := float64(len(a.members))
	sinceReport := now - a.reportedAt
	leaderSilent := a.unansweredSince > 0 && now-a.unansweredSince >= leaderTimeoutSeconds
	due := sinceReport >= max(minIdleIntervalSeconds, memberCount/idleReportRate) ||
		sinceReport >= max(minUrgentIntervalSeconds, memberCount/urgentReportRate) && a.reportChanged(own) ||
		a.unansweredSince > 0 && sinceReport >= max(retryIntervalSeconds, memberCount/urgentReportRate)
	if !due {
		return
	}
	a.lastReport, a.reportedAt = own, now
	a.unansweredSince = cmp.Or(a.unansweredSince, now)
	a.send(leader, Message{Report: &own, LeaderSilent: leaderSilent})
	if deputy := preferredMember(a.members, leader); leaderSilent && deputy != a.name {
		a.send(deputy, Message{Report: &own, LeaderSilent: true})
	} else if leaderSilent {
		a.takeOver(now, own)
	}
}

// reportChanged reports whether a report differs substantially from the last one sent.
func (a *Agent) reportChanged(r Report) bool {
	if math.Abs(r.RequestRate-a.lastReport.RequestRate) > urgentRateChange*max(1, a.lastReport.RequestRate) {
		return true
	}
	return slices.ContainsFunc(r.Targets, func(stats ZoneStats) bool {
		i := slices.IndexFunc(a.lastReport.Targets, func(last ZoneStats) bool { return last.Zone == stats.Zone })
		previous := ZoneStats{}
		if i >= 0 {
			previous = a.lastReport.Targets[i]
		}
		failing, wasFailing := stats.FailureStreak >= minFailureStreak, previous.FailureStreak >= minFailureStreak
		return failing != wasFailing || failing && stats.SinceFailure < previous.SinceFailure || stats.AnsweredRate > 0 &&
			(math.Abs(stats.Load-previous.Load) > urgentLoadChange ||
				math.Abs(stats.AnsweredRate-previous.AnsweredRate) > urgentRateChange*max(1, previous.AnsweredRate))
	})
}

// takeOver makes this member, the deputy, the leader once enough members have reported that the leader is silent.
func (a *Agent) takeOver(now float64, own Report) {
	a.leaderSilentReports[a.name] = now
	if len(a.leaderSilentReports) < min(len(a.members)-1, RequiredWitnesses(len(a.members))) {
		return
	}
	a.unansweredSince = 0
	a.startLeading(now)
	a.fleetPlanner.AddReport(now, own)
	if p := a.fleetPlan; p != nil {
		a.publish(now, &Plan{Reason: "the author before gives no answer", Zones: p.Zones,
			SoftCapacity: p.SoftCapacity, HardCapacity: p.HardCapacity})
	}
}

// startLeading makes this member the leader. It continues from the last plan.
func (a *Agent) startLeading(now float64) {
	a.fleetPlanner, a.leadingSince = NewPlanner(), now
	if a.fleetPlan != nil {
		a.fleetPlanner.Resume(now, a.fleetPlan)
	}
}
