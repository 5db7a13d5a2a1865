package failover

import (
	"cmp"
	"hash/fnv"
	"io"
	"math"
	"slices"
)

// author is who makes the plans: who made the last, as long as that one is there, else the first of the members in an order
// of their own.
func (a *Agent) author() string {
	if a.plan != nil && slices.Contains(a.members, a.plan.Leader) {
		return a.plan.Leader
	}
	return first(a.members, "")
}

// first is the first of the members in an order that no name can choose, but for one.
func first(members []string, but string) (best string) {
	lowest := uint64(math.MaxUint64)
	for _, name := range members {
		h := fnv.New64a()
		io.WriteString(h, "author "+name)
		if x := h.Sum64() * 0x9e3779b97f4a7c15; name != but && (x < lowest || best == "") {
			best, lowest = name, x
		}
	}
	return best
}

// work does a member's part: as the author it makes plans, else it reports.
func (a *Agent) work(now float64, own Report, zones []Zone) {
	author := a.author()
	if author == a.name && a.plan == nil && now-a.born < joinFor {
		author = first(a.members, a.name) // which knows the plan in force, if there is one
	}
	if author != a.name {
		a.lead = nil
		a.report(now, own, author)
		return
	}
	a.asked = 0
	if a.lead == nil {
		a.begin(now)
	}
	a.lead.Hear(now, own)
	for name := range a.lead.heard {
		if !slices.Contains(a.members, name) {
			a.lead.Forget(name)
		}
	}
	if p := a.lead.Decide(now, zones, len(a.members)); now-a.leadAt >= listenFor && a.news(now, p) {
		a.publish(now, p)
	}
}

// news says whether a plan is worth telling.
func (a *Agent) news(now float64, p *Plan) bool {
	switch {
	case a.plan == nil || a.plan.Leader != a.name:
		return true
	case !a.plan.sameWays(p):
		return true
	}
	return now-a.planAt >= planEvery && !a.plan.like(p)
}

func (a *Agent) publish(now float64, p *Plan) {
	if a.plan != nil {
		p.Epoch = a.plan.Epoch
	}
	p.Epoch, p.Leader = p.Epoch+1, a.name
	a.plan, a.planAt = p, now
	for _, name := range a.members {
		if name != a.name {
			a.send(name, Message{Plan: p})
		}
	}
}

// report tells the author what this proxy sees, if it is time to or there is something to tell.
func (a *Agent) report(now float64, own Report, author string) {
	n := float64(len(a.members))
	since := now - a.toldAt
	orphan := a.asked > 0 && now-a.asked >= orphanAfter
	due := since >= max(calmLeast, n/calmWords) || since >= max(urgentLeast, n/urgentWords) && a.differs(own) ||
		a.asked > 0 && since >= max(orphanAgain, n/urgentWords)
	if !due {
		return
	}
	a.told, a.toldAt = own, now
	a.asked = cmp.Or(a.asked, now)
	a.send(author, Message{Report: &own, Orphan: orphan})
	if deputy := first(a.members, author); orphan && deputy != a.name {
		a.send(deputy, Message{Report: &own, Orphan: true})
	} else if orphan {
		a.takeOver(now, own)
	}
}

// differs says whether a report says something new.
func (a *Agent) differs(r Report) bool {
	if math.Abs(r.Taken-a.told.Taken) > moreTaken*max(1, a.told.Taken) {
		return true
	}
	return slices.ContainsFunc(r.Flows, func(f Flow) bool {
		i := slices.IndexFunc(a.told.Flows, func(g Flow) bool { return g.Zone == f.Zone })
		was := Flow{}
		if i >= 0 {
			was = a.told.Flows[i]
		}
		bad, wasBad := f.Row >= rowSure, was.Row >= rowSure
		return bad != wasBad || bad && f.LostAgo < was.LostAgo || f.Answered > 0 &&
			(math.Abs(f.Load-was.Load) > moreLoad || math.Abs(f.Answered-was.Answered) > moreTaken*max(1, was.Answered))
	})
}

// takeOver makes the deputy the author, once as many as it takes to believe that the author is gone say so.
func (a *Agent) takeOver(now float64, own Report) {
	a.orphans[a.name] = now
	if len(a.orphans) < min(len(a.members)-1, Witnesses(len(a.members))) {
		return
	}
	a.asked = 0
	a.begin(now)
	a.lead.Hear(now, own)
	if p := a.plan; p != nil {
		a.publish(now, &Plan{Reason: "the author before gives no answer", Rows: p.Rows, Well: p.Well, Most: p.Most})
	}
}

// begin makes this the author, who goes on from the last plan.
func (a *Agent) begin(now float64) {
	a.lead, a.leadAt = NewDecider(), now
	if a.plan != nil {
		a.lead.GoOn(now, a.plan)
	}
}
