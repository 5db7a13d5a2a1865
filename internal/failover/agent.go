package failover

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"math"
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

// Message is a word between members.
type Message struct {
	Version int     `codec:"v"`
	From    string  `codec:"n"`
	Seq     uint64  `codec:"q"` // grows with each word of a sender: older ones are dropped
	Epoch   uint64  `codec:"e"` // of the sender's plan
	Author  string  `codec:"w"`
	Report  *Report `codec:"r"`
	Orphan  bool    `codec:"o"` // the sender hears nothing of its author
	Plan    *Plan   `codec:"p"`
	Digest  uint64  `codec:"d"` // of the orders that the sender knows
	Orders  []Order `codec:"x"`
	Answer  bool    `codec:"y"` // and gets none
}

// Outgoing is a message and whom it is for.
type Outgoing struct {
	To string
	Message
}

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
	row        Row      // in force here
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
	return &Agent{name: name, zone: zone, born: now, alone: NewDecider(), row: Row{Zone: zone}, others: now - never, seq: seq,
		orphans: map[string]float64{}, last: map[string]uint64{}, orders: orders{}, held: map[string]float64{},
		digests: map[string]uint64{}, mine: &Plan{}, toldAt: now - never}
}

// Row is what holds for this proxy's requests.
func (a *Agent) Row() Row { return a.row }

// Standing is what people may ask of an agent.
type Standing struct {
	Epoch   uint64
	Author  string
	Reason  string
	Common  bool // by the plan of all
	Members int
	Dropped int
	Row     Row
}

// Standing says how things stand.
func (a *Agent) Standing() Standing {
	s := Standing{Reason: a.reason, Common: a.common, Members: len(a.members), Dropped: a.dropped, Row: a.row}
	if a.plan != nil && a.common {
		s.Epoch, s.Author = a.plan.Epoch, a.plan.Author
	}
	return s
}

// Out gives the words to be sent, once.
func (a *Agent) Out() []Outgoing {
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

// author is who makes the plans: who made the last, as long as that one is there, else the first of the members in an order
// of their own.
func (a *Agent) author() string {
	if a.plan != nil && slices.Contains(a.members, a.plan.Author) {
		return a.plan.Author
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
	case a.plan == nil || a.plan.Author != a.name:
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
	p.Epoch, p.Author = p.Epoch+1, a.name
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

func (a *Agent) send(to string, m Message) {
	a.seq++
	m.Version, m.From, m.Seq = Version, a.name, a.seq
	if a.plan != nil {
		m.Epoch, m.Author = a.plan.Epoch, a.plan.Author
	}
	if m.Digest = a.orders.digest(); m.Digest != a.digests[to] {
		m.Orders = a.orders.list()
	}
	a.out = append(a.out, Outgoing{to, m})
}

// Take takes a word from a member. Words of other versions, old ones and such as make no sense are dropped.
func (a *Agent) Take(now float64, m *Message) {
	if m.Version != Version || m.From == "" || m.From == a.name || m.Seq <= a.last[m.From] || !m.sound() {
		a.dropped++
		return
	}
	a.last[m.From] = m.Seq
	if a.plan != nil && m.From == a.plan.Author || a.plan == nil && m.Report == nil {
		a.asked = 0
	}
	if m.Plan != nil && (a.plan == nil || m.Plan.After(a.plan)) {
		a.plan, a.planAt, a.asked = m.Plan, now, 0
	}
	a.digests[m.From] = m.Digest
	changed := a.orders.merge(m.Orders)
	theirs := &Plan{Epoch: m.Epoch, Author: m.Author}
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
	if m.Orphan && a.plan != nil && m.Author == a.plan.Author {
		a.orphans[m.From] = now
	}
	if a.lead != nil {
		a.lead.Hear(now, *m.Report)
	}
}

// target is the row that this proxy ought to follow, and whether it is that of the plan in common.
func (a *Agent) target(now float64) (Row, bool) {
	if a.plan != nil && (len(a.members) > 1 || now-a.others < KeepFor) {
		if r := a.plan.Row(a.zone); r != nil && len(r.Shares) > 0 {
			a.reason = a.plan.Reason
			return *r, true
		}
	}
	a.reason = a.mine.Reason
	if r := a.mine.Row(a.zone); r != nil {
		return *r, false
	}
	return a.row, a.common
}

// follow moves the row in force towards a target, by steps for a while after it has come from another source.
func (a *Agent) follow(now float64, target Row, common bool) bool {
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
func ease(from, to Row) Row {
	was := map[string]float64{}
	kept := 0.0
	for _, s := range from.Shares {
		if slices.ContainsFunc(to.Shares, func(t Share) bool { return t.Zone == s.Zone }) {
			was[s.Zone] = s.Part
			kept += s.Part
		}
	}
	if kept <= 0 {
		return to
	}
	scale := (1 - from.Refused) / kept
	apart := math.Abs(to.Refused - from.Refused)
	for _, s := range to.Shares {
		apart = max(apart, math.Abs(s.Part-was[s.Zone]*scale))
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
		mid.Shares = append(mid.Shares, Share{s.Zone, x + part*(s.Part-x)})
	}
	return mid
}

const (
	mostZones = 256
	mostName  = 256
)

// sound says whether a word can be used: bounded, and with numbers that are numbers.
func (m *Message) sound() bool {
	ok := len(m.From) <= mostName && len(m.Author) <= mostName
	if r := m.Report; r != nil {
		ok = ok && r.Member == m.From && len(r.Zone) <= mostName && len(r.Flows) <= mostZones && positive(r.Span, r.Taken)
		for _, f := range r.Flows {
			ok = ok && len(f.Zone) <= mostName && f.Row >= 0 && positive(f.Answered, f.Lost, f.Late, f.Load, f.Since, f.LostAgo) && f.Load <= 1
		}
	}
	ok = ok && len(m.Orders) <= mostOrders
	for _, o := range m.Orders {
		ok = ok && o.Zone != "" && len(o.Zone) <= mostName && len(o.By) <= mostName && positive(o.At)
	}
	if m.Plan != nil {
		ok = ok && m.Plan.sound()
	}
	return ok
}

func (p *Plan) sound() bool {
	ok := len(p.Rows) > 0 && len(p.Rows) <= mostZones && p.Author != "" && positive(p.Well, p.Most) && len(p.Author) <= mostName
	for _, r := range p.Rows {
		sum := r.Refused
		ok = ok && len(r.Zone) <= mostName && positive(r.Refused, r.Part, r.Demand) && len(r.Shares) <= mostZones && len(r.Out) <= mostZones
		for _, s := range r.Shares {
			ok = ok && len(s.Zone) <= mostName && positive(s.Part)
			sum += s.Part
		}
		for _, o := range r.Out {
			ok = ok && len(o.Zone) <= mostName && positive(o.For, o.Hold, o.Ramp) && o.Ramp <= 1
		}
		ok = ok && (len(r.Shares) == 0 || math.Abs(sum-1) < 1e-3)
	}
	return ok
}

func positive(numbers ...float64) bool {
	return !slices.ContainsFunc(numbers, func(x float64) bool { return !(x >= 0 && x <= 1e12) })
}
