package failover

import (
	"maps"
	"slices"
)

const (
	// Members choose their report interval so that the leader gets at most this many reports per second, whatever the size
	// of the fleet: the idle rate as a rule, and up to the urgent rate while members have something new to report.
	idleReportRate, urgentReportRate                 = 40.0, 150.0
	minIdleIntervalSeconds, minUrgentIntervalSeconds = 0.5, 0.25 // seconds between two reports of one member

	leaderTimeoutSeconds    = 0.75 // without a message from the leader after the first unanswered report
	retryIntervalSeconds    = 0.5  // between unanswered reports; after the time-out they go to the deputy too
	collectSeconds          = 1.0  // in which a new leader collects reports before it publishes a plan
	joinSeconds             = 2.0  // in which a new process asks others for the plan in force before it leads
	planIntervalSeconds     = 0.5  // between two plans with the same targets
	announceIntervalSeconds = 2.0  // between announcements of the plan in force, so that no member stays with an old one

	// PlanTTLSeconds is how long the last plan stays in force for a member that hears from no other.
	PlanTTLSeconds    = 10.0
	transitionSeconds = 5.0 // after a switch between fleet and local plan, in which shares change by steps
	transitionStep    = 0.1 // largest change per tick, as a fraction of all requests

	// Smallest changes that make a report urgent: of a load, and of a rate relative to its previous value.
	urgentLoadChange, urgentRateChange = 0.15, 0.3
)

// Agent is a proxy's part in the routing decision. One member of the fleet, the leader, collects the reports of all and
// makes the plans. Any other member can take over from the last plan. A proxy without other members decides by its own
// observations.
//
// The caller runs Tick at a fixed interval, passes received messages to Receive, and sends the messages that
// TakeOutgoing returns.
type Agent struct {
	name, zone      string
	startedAt       float64
	localPlanner    *Planner
	fleetPlanner    *Planner // nil unless this member leads
	leadingSince    float64
	fleetPlan       *Plan // last one received or made; nil: none
	localPlan       *Plan // what this proxy would do without other members
	fleetPlanAt     float64
	members         []string // all live members, this one included
	zonePlan        ZonePlan // in force for this proxy
	reason          string
	followsFleet    bool    // whether zonePlan comes from fleetPlan
	transitionUntil float64 // shares change by steps until then

	lastPeerAt          float64 // when another member was last alive
	unansweredSince     float64 // first report since the leader's last message; 0: the leader owes no response
	announcedAt         float64
	announceCount       int    // selects the next member
	lastReport          Report // last one sent
	reportedAt          float64
	orders              orders
	drainedFractions    map[string]float64 // fraction of each zone that orders have drained so far
	orderDigests        map[string]uint64  // of the orders that each member knows
	leaderSilentReports map[string]float64 // members that do not hear the leader, and when they said so
	lastSeq             map[string]uint64  // sequence number of each sender's last message
	seq                 uint64
	outbox              []Outgoing
	dropped             int // messages that were invalid, outdated or of another version
}

// NewAgent returns the agent of a proxy in a zone. seq must be above all sequence numbers of earlier processes with
// this name.
func NewAgent(now float64, name, zone string, seq uint64) *Agent {
	return &Agent{name: name, zone: zone, startedAt: now, localPlanner: NewPlanner(), zonePlan: ZonePlan{Zone: zone},
		lastPeerAt: now - never, seq: seq, leaderSilentReports: map[string]float64{}, lastSeq: map[string]uint64{},
		orders: orders{}, drainedFractions: map[string]float64{},
		orderDigests: map[string]uint64{}, localPlan: &Plan{}, reportedAt: now - never}
}

// ZonePlan returns the plan in force for this proxy's requests.
func (a *Agent) ZonePlan() ZonePlan { return a.zonePlan }

// Status describes the state of an agent for operators. Logs show Leader as "author".
type Status struct {
	Epoch        uint64
	Leader       string
	Reason       string
	FollowsFleet bool // whether the fleet's plan is in force here
	Members      int
	Dropped      int
	ZonePlan     ZonePlan
}

// Status returns the state of the agent.
func (a *Agent) Status() Status {
	s := Status{Reason: a.reason, FollowsFleet: a.followsFleet, Members: len(a.members), Dropped: a.dropped,
		ZonePlan: a.zonePlan}
	if a.fleetPlan != nil && a.followsFleet {
		s.Epoch, s.Leader = a.fleetPlan.Epoch, a.fleetPlan.Leader
	}
	return s
}

// TakeOutgoing returns the messages to be sent and removes them from the agent.
func (a *Agent) TakeOutgoing() []Outgoing {
	out := a.outbox
	a.outbox = nil
	return out
}

// Tick takes this proxy's own report, the zones and the live members. It reports whether the plan in force for this
// proxy has changed.
func (a *Agent) Tick(now float64, own Report, zones []Zone, members []string) bool {
	a.members = slices.Sorted(slices.Values(members))
	if !slices.Contains(a.members, a.name) {
		a.members = append(a.members, a.name)
	}
	a.forgetDeparted(now)
	a.localPlanner.AddReport(now, own)
	zones = a.applyOrders(now, zones)
	a.localPlan = a.localPlanner.MakePlan(now, zones, 1)
	if len(a.members) > 1 {
		a.lastPeerAt = now
		a.coordinate(now, own, zones)
		a.announcePlan(now)
	} else {
		a.fleetPlanner = nil
	}
	target, followsFleet := a.targetPlan(now)
	return a.follow(now, target, followsFleet)
}

// forgetDeparted discards what was stored about members that have left, and outdated reports of a silent leader.
func (a *Agent) forgetDeparted(now float64) {
	gone := func(name string) bool { return !slices.Contains(a.members, name) }
	maps.DeleteFunc(a.leaderSilentReports, func(name string, at float64) bool {
		return gone(name) || now-at > evidenceTTLSeconds
	})
	maps.DeleteFunc(a.orderDigests, func(name string, _ uint64) bool { return gone(name) })
	maps.DeleteFunc(a.lastSeq, func(name string, _ uint64) bool { return gone(name) && len(a.lastSeq) > 2*len(a.members)+16 })
}

// announcePlan tells one other member which plan is in force here. A member with a newer plan replies with it.
func (a *Agent) announcePlan(now float64) {
	if now-a.announcedAt < announceIntervalSeconds {
		return
	}
	a.announcedAt = now
	a.announceCount++
	if to := a.members[a.announceCount%len(a.members)]; to != a.name {
		a.send(to, Message{})
	}
}

// send queues a message. It adds the known orders unless the recipient is known to have the same ones.
func (a *Agent) send(to string, m Message) {
	a.seq++
	m.Version, m.From, m.Seq = Version, a.name, a.seq
	if a.fleetPlan != nil {
		m.Epoch, m.Leader = a.fleetPlan.Epoch, a.fleetPlan.Leader
	}
	if m.Digest = a.orders.digest(); m.Digest != a.orderDigests[to] {
		m.Orders = a.orders.list()
	}
	a.outbox = append(a.outbox, Outgoing{to, m})
}

// Receive processes a message from a member. It drops messages that are invalid, outdated or of another version.
func (a *Agent) Receive(now float64, m *Message) {
	if m.Version != Version || m.From == "" || m.From == a.name || m.Seq <= a.lastSeq[m.From] || !m.valid() {
		a.dropped++
		return
	}
	a.lastSeq[m.From] = m.Seq
	if a.fleetPlan != nil && m.From == a.fleetPlan.Leader || a.fleetPlan == nil && m.Report == nil {
		a.unansweredSince = 0
	}
	if m.Plan != nil && (a.fleetPlan == nil || m.Plan.NewerThan(a.fleetPlan)) {
		a.fleetPlan, a.fleetPlanAt, a.unansweredSince = m.Plan, now, 0
	}
	a.orderDigests[m.From] = m.Digest
	changed := a.orders.merge(m.Orders)
	senderPlan := &Plan{Epoch: m.Epoch, Leader: m.Leader}
	ownNewer := a.fleetPlan != nil && a.fleetPlan.NewerThan(senderPlan)
	senderNewer := a.fleetPlan == nil && m.Epoch > 0 || a.fleetPlan != nil && senderPlan.NewerThan(a.fleetPlan)
	if reply := (Message{Reply: true}); !m.Reply &&
		(m.Report != nil || ownNewer || senderNewer || changed || m.Digest != a.orders.digest()) {
		if ownNewer {
			reply.Plan = a.fleetPlan
		}
		a.send(m.From, reply)
	}
	if m.Report != nil {
		a.recordReport(now, m)
	}
}

// recordReport stores a report, and whether its sender misses the leader.
func (a *Agent) recordReport(now float64, m *Message) {
	if m.LeaderSilent && a.fleetPlan != nil && m.Leader == a.fleetPlan.Leader {
		a.leaderSilentReports[m.From] = now
	}
	if a.fleetPlanner != nil {
		a.fleetPlanner.AddReport(now, *m.Report)
	}
}
