package failover

import (
	"maps"
	"slices"
)

const (
	// In calm, members report so that their author hears so many a second, whatever their number; with something to tell
	// they do so at once, up to more.
	calmWords, urgentWords = 40.0, 150.0
	calmLeast, urgentLeast = 0.5, 0.25 // seconds between two reports of one member

	orphanAfter = 0.75 // seconds without a word from the author since it was asked
	orphanAgain = 0.5  // and at which it is asked again, and its deputy with it
	listenFor   = 1.0  // seconds for which an author hears reports before it changes a plan
	joinFor     = 2.0  // for which one that has just come up asks others for the plan in force
	planEvery   = 0.5  // seconds between two plans that give up no way
	greetEvery  = 2.0  // at which a member tells another which plan it has, so that none stays with an old one

	// KeepFor is for how long the last plan holds for a member that hears of no other.
	KeepFor = 10.0
	easeFor = 5.0 // seconds after a plan of another source in which shares move by steps
	easeBy  = 0.1 // of all requests a tick

	// What a report has to differ by to be worth a word.
	moreLoad, moreTaken = 0.15, 0.3
)

// Agent is a proxy's part in the decision. Among members one, the author, hears the reports of all and makes the plans; any
// other can go on from its last one. A member alone decides by what it sees itself.
type Agent struct {
	name, zone string
	born       float64
	alone      *Decider
	lead       *Decider // while this is the author
	leadAt     float64
	plan       *Plan // the last heard or made; nil: none
	mine       *Plan // what this proxy alone would do
	planAt     float64
	members    []string // all that are there, this one too
	row        ZonePlan // in force here
	reason     string
	common     bool    // row follows plan
	easeUntil  float64 // shares move by steps until then

	others  float64 // when another member was last there
	asked   float64 // when the author was first asked since its last word; 0: it owes none
	greetAt float64
	greeted int    // counts through the members
	told    Report // the last report sent
	toldAt  float64
	orders  orders
	held    map[string]float64 // part of a zone that orders hold back by now
	digests map[string]uint64  // of the orders that each member knows
	orphans map[string]float64 // who hears nothing of the author, and when that was said
	last    map[string]uint64  // number of the last word of each sender
	seq     uint64
	out     []Outgoing
	dropped int // words that made no sense, or came twice
}

// NewAgent makes the agent of a proxy in a zone. seq must be above that of any earlier life of the name.
func NewAgent(now float64, name, zone string, seq uint64) *Agent {
	return &Agent{name: name, zone: zone, born: now, alone: NewDecider(), row: ZonePlan{Zone: zone}, others: now - never, seq: seq,
		orphans: map[string]float64{}, last: map[string]uint64{}, orders: orders{}, held: map[string]float64{},
		digests: map[string]uint64{}, mine: &Plan{}, toldAt: now - never}
}

// ZonePlan is what holds for this proxy's requests.
func (a *Agent) ZonePlan() ZonePlan { return a.row }

// Status is what people may ask of an agent.
type Status struct {
	Epoch        uint64
	Leader       string
	Reason       string
	FollowsFleet bool // by the plan of all
	Members      int
	Dropped      int
	ZonePlan     ZonePlan
}

// Status says how things stand.
func (a *Agent) Status() Status {
	s := Status{Reason: a.reason, FollowsFleet: a.common, Members: len(a.members), Dropped: a.dropped, ZonePlan: a.row}
	if a.plan != nil && a.common {
		s.Epoch, s.Leader = a.plan.Epoch, a.plan.Leader
	}
	return s
}

// TakeOutgoing gives the words to be sent, once.
func (a *Agent) TakeOutgoing() []Outgoing {
	out := a.out
	a.out = nil
	return out
}

// Tick takes what this proxy sees now and who is there, and says whether its row has changed.
func (a *Agent) Tick(now float64, own Report, zones []Zone, members []string) bool {
	a.members = slices.Sorted(slices.Values(members))
	if !slices.Contains(a.members, a.name) {
		a.members = append(a.members, a.name)
	}
	a.forget(now)
	a.alone.Hear(now, own)
	zones = a.hold(now, zones)
	a.mine = a.alone.Decide(now, zones, 1)
	if len(a.members) > 1 {
		a.others = now
		a.work(now, own, zones)
		a.greet(now)
	} else {
		a.lead = nil
	}
	target, common := a.target(now)
	return a.follow(now, target, common)
}

// forget drops what was kept of members that have gone.
func (a *Agent) forget(now float64) {
	gone := func(name string) bool { return !slices.Contains(a.members, name) }
	maps.DeleteFunc(a.orphans, func(name string, at float64) bool { return gone(name) || now-at > witnessFresh })
	maps.DeleteFunc(a.digests, func(name string, _ uint64) bool { return gone(name) })
	maps.DeleteFunc(a.last, func(name string, _ uint64) bool { return gone(name) && len(a.last) > 2*len(a.members)+16 })
}

// greet tells one other member which plan holds here. Whoever has a later one answers with it.
func (a *Agent) greet(now float64) {
	if now-a.greetAt < greetEvery {
		return
	}
	a.greetAt = now
	a.greeted++
	if to := a.members[a.greeted%len(a.members)]; to != a.name {
		a.send(to, Message{})
	}
}

func (a *Agent) send(to string, m Message) {
	a.seq++
	m.Version, m.From, m.Seq = Version, a.name, a.seq
	if a.plan != nil {
		m.Epoch, m.Author = a.plan.Epoch, a.plan.Leader
	}
	if m.Digest = a.orders.digest(); m.Digest != a.digests[to] {
		m.Orders = a.orders.list()
	}
	a.out = append(a.out, Outgoing{to, m})
}

// Receive takes a word from a member. Words of other versions, old ones and such as make no sense are dropped.
func (a *Agent) Receive(now float64, m *Message) {
	if m.Version != Version || m.From == "" || m.From == a.name || m.Seq <= a.last[m.From] || !m.sound() {
		a.dropped++
		return
	}
	a.last[m.From] = m.Seq
	if a.plan != nil && m.From == a.plan.Leader || a.plan == nil && m.Report == nil {
		a.asked = 0
	}
	if m.Plan != nil && (a.plan == nil || m.Plan.After(a.plan)) {
		a.plan, a.planAt, a.asked = m.Plan, now, 0
	}
	a.digests[m.From] = m.Digest
	changed := a.orders.merge(m.Orders)
	theirs := &Plan{Epoch: m.Epoch, Leader: m.Author}
	later := a.plan != nil && a.plan.After(theirs)
	behind := a.plan == nil && m.Epoch > 0 || a.plan != nil && theirs.After(a.plan)
	if answer := (Message{Answer: true}); !m.Answer && (m.Report != nil || later || behind || changed || m.Digest != a.orders.digest()) {
		if later {
			answer.Plan = a.plan
		}
		a.send(m.From, answer)
	}
	if m.Report != nil {
		a.hear(now, m)
	}
}

// hear takes a report.
func (a *Agent) hear(now float64, m *Message) {
	if m.Orphan && a.plan != nil && m.Author == a.plan.Leader {
		a.orphans[m.From] = now
	}
	if a.lead != nil {
		a.lead.Hear(now, *m.Report)
	}
}
