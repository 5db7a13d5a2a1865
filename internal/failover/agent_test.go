package failover

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"beechwing/internal/lab/virtual"
)

// network simulates the members' network of a model in virtual time. Messages are lost, duplicated and delayed as the
// test demands.
type network struct {
	*model
	clock                virtual.Clock
	agents               map[string]*Agent
	running              map[string]bool
	blocked              func(a, b string) bool // whether no message passes between two members
	lossProbability      float64
	duplicateProbability float64
	maxDelaySeconds      float64 // of one message
	startCount           int
	staleMember          string // stopped member that membership still reports as live
}

func newNetwork(t *testing.T, perZone int, rate float64) *network {
	n := &network{model: newModel(t, perZone, rate), agents: map[string]*Agent{}, running: map[string]bool{},
		blocked: func(string, string) bool { return false }, maxDelaySeconds: 0.02}
	for _, p := range n.proxies {
		n.start(p)
	}
	return n
}

// start starts a proxy as a new process without any state.
func (n *network) start(p *modelProxy) {
	n.startCount++
	p.window = NewWindow(n.now)
	p.zonePlan = ZonePlan{Shares: []Share{{p.zone, 1}}}
	n.agents[p.name] = NewAgent(n.now, p.name, p.zone, uint64(n.startCount)<<32)
	n.setRunning(p, true)
}

// setRunning starts or stops a proxy. A stopped proxy takes no requests either.
func (n *network) setRunning(p *modelProxy, running bool) {
	n.running[p.name], p.stopped = running, !running
}

// liveMembers is the membership as one member sees it: the running members, and the stale one, that are not cut off
// from it.
func (n *network) liveMembers(of string) (names []string) {
	for _, p := range n.proxies {
		if (n.running[p.name] || p.name == n.staleMember) && !n.blocked(of, p.name) {
			names = append(names, p.name)
		}
	}
	return names
}

func (n *network) deliver(o Outgoing) {
	if !n.running[o.To] || n.blocked(o.From, o.To) || n.rng.Float64() < n.lossProbability {
		return
	}
	copies := 1
	if n.rng.Float64() < n.duplicateProbability {
		copies = 2
	}
	for range copies {
		n.clock.After(time.Duration(n.rng.Float64()*n.maxDelaySeconds*float64(time.Second)), func() {
			if a := n.agents[o.To]; n.running[o.To] {
				m := o.Message
				a.Receive(n.now, &m)
				n.flush(a)
			}
		})
	}
}

func (n *network) flush(a *Agent) {
	for _, o := range a.TakeOutgoing() {
		n.deliver(o)
	}
}

// run lets the fleet run. At each tick the agents run in random order.
func (n *network) run(seconds float64) {
	for range int(seconds * 4) {
		n.tick()
		n.clock.Run(time.Duration((n.now - 100) * float64(time.Second)))
		for _, i := range n.rng.Perm(len(n.proxies)) {
			p := n.proxies[i]
			if !n.running[p.name] {
				continue
			}
			a := n.agents[p.name]
			if a.Tick(n.now, p.window.Report(n.now, p.name, p.zone), n.zones, n.liveMembers(p.name)) {
				p.zonePlan = a.ZonePlan()
			}
			n.flush(a)
			n.checkPlan(&Plan{Zones: []ZonePlan{p.zonePlan}})
		}
	}
}

// expectPlans checks how many different plans are in force among the running members.
func (n *network) expectPlans(want int) {
	n.t.Helper()
	n.clock.Run(n.clock.Now() + time.Second) // messages under way arrive
	plans := map[string]int{}
	for name, a := range n.agents {
		if s := a.Status(); n.running[name] {
			plans[fmt.Sprint(s.Epoch, s.Leader, s.FollowsFleet)]++
		}
	}
	if len(plans) != want {
		n.t.Errorf("%d different plans in force, want %d: %v", len(plans), want, plans)
	}
}

// TestInCommon checks that all members come to one plan over a network that loses, duplicates and delays messages. They
// leave a failed zone within a few seconds, and return to it.
func TestInCommon(t *testing.T) {
	for _, c := range []struct{ loss, duplicates, delay float64 }{{}, {0.2, 0.2, 0.3}, {0.3, 0, 0.4}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			n := newNetwork(t, 6, 180)
			n.lossProbability, n.duplicateProbability, n.maxDelaySeconds =
				c.loss, c.duplicates, max(n.maxDelaySeconds, c.delay)
			n.run(12)
			n.resetCounts()
			n.run(4)
			n.expect("steady state", 0.999, 0.001, 0.02)
			n.failZone("b")
			n.run(2 + 2*c.delay + 4*c.loss)
			n.resetCounts()
			n.run(8)
			n.expect("zone failed", 0.985-c.loss/5, 0.015+c.loss/5, 0.32)
			n.restoreAll()
			n.run(12)
			n.resetCounts()
			n.run(4)
			n.expect("zone recovered", 0.99, 0.01, 0.12)
			n.run(4)
			n.lossProbability, n.maxDelaySeconds = 0, 0.02
			n.run(4)
			n.expectPlans(1)
		})
	}
}

// TestAuthorKilled kills the leader and half of all members at the moment at which a zone fails, and starts them again.
// The deputy must continue from the last plan. Hard case 7.
func TestAuthorKilled(t *testing.T) {
	n := newNetwork(t, 6, 180)
	n.run(12)
	leader := n.agents["a00"].Status().Leader
	n.resetCounts()
	n.failZone("b")
	var killed []*modelProxy
	for i, p := range n.proxies {
		if i%2 == 0 || p.name == leader {
			n.setRunning(p, false)
			killed = append(killed, p)
		}
	}
	n.run(3)
	n.resetCounts()
	n.run(2)
	n.expect("half of the members killed", 0.97, 0.02, 0.6)
	epoch := n.agents["d05"].Status().Epoch
	for _, p := range killed {
		n.start(p)
	}
	n.run(1)
	n.resetCounts()
	n.run(8)
	n.expect("members restarted", 0.85, 0.08, 0.35) // the demand doubles at once
	n.run(6)
	n.expect("settled after the restart", 0.97, 0.02, 0.35)
	n.expectPlans(1)
	for _, p := range killed {
		if s := n.agents[p.name].Status(); !s.FollowsFleet || s.Epoch < epoch {
			t.Errorf("%s follows %+v, but epoch %d was in force before", p.name, s, epoch)
		}
	}
}

// TestAuthorSilent has a leader that answers and sends nothing, while membership still reports it as live. The deputy
// must take over, and a zone that fails meanwhile must be left.
func TestAuthorSilent(t *testing.T) {
	n := newNetwork(t, 6, 180)
	n.run(12)
	leader := n.agents["a00"].Status().Leader
	n.agents[leader] = NewAgent(n.now, leader, "x", 0) // plays no part: the leader is stopped and gets no messages
	for _, p := range n.proxies {
		if p.name == leader {
			n.setRunning(p, false)
		}
	}
	n.staleMember = leader
	n.failZone("b")
	n.run(4)
	n.resetCounts()
	n.run(2)
	n.expect("leader silent", 0.95, 0.05, 0.35)
	for name, a := range n.agents {
		if s := a.Status(); name != leader && s.Leader == leader {
			t.Errorf("%s still follows %s", name, leader)
		}
	}
}

// TestSplit splits the members into two halves while a zone fails for one of them only. Each half may move only its own
// requests, and both agree on one plan after the split. Hard case 5.
func TestSplit(t *testing.T) {
	n := newNetwork(t, 6, 180)
	n.run(12)
	n.resetCounts()
	north := func(name string) bool { return name < "c" }
	n.blocked = func(a, b string) bool { return north(a) != north(b) }
	n.unreachable = func(from, to string) bool { return to == "b" && north(from) }
	n.run(3)
	n.resetCounts()
	n.run(10)
	n.expect("split", 0.97, 0.02, 0.4)
	n.expectPlans(2)
	for _, p := range n.proxies {
		if zonePlan := n.agents[p.name].fleetPlan.Zone(p.zone); !north(p.name) && len(zonePlan.Restricted) > 0 {
			t.Errorf("%s observes no failure but restricts paths: %+v", p.name, zonePlan)
		}
	}
	n.blocked = func(string, string) bool { return false }
	n.restoreAll()
	n.run(20)
	n.resetCounts()
	n.run(4)
	n.expect("after the split", 0.99, 0.01, 0.12)
	n.expectPlans(1)
}

// TestMembersLost cuts off all members from each other while all hosts are reachable. No traffic may move because of
// that alone. Hard case 4.
func TestMembersLost(t *testing.T) {
	n := newNetwork(t, 6, 180)
	n.slowdown["b"] = 3
	n.run(20)
	before := map[string]ZonePlan{}
	for _, p := range n.proxies {
		before[p.name] = p.zonePlan
	}
	n.blocked = func(a, b string) bool { return a != b }
	n.run(PlanTTLSeconds - 1)
	for _, p := range n.proxies {
		if previous := before[p.name]; math.Abs(p.zonePlan.Shares[0].Fraction-previous.Shares[0].Fraction) > 0.3 {
			t.Errorf("%s moved requests: plan %+v, before %+v", p.name, p.zonePlan, previous)
		}
	}
	n.resetCounts()
	n.run(15)
	n.expect("each alone", 0.95, 0.05, 0.35)
	n.slowdown["b"] = 1
	n.run(15)
	n.failZone("d")
	n.run(3)
	n.resetCounts()
	n.run(5)
	n.expect("zone failed, each alone", 0.85, 0.15, 0.6)
}

// TestStoppedWakes stops members for 5 s. They continue with an old plan, and must take over the new one before they
// make plans. Hard case 8.
func TestStoppedWakes(t *testing.T) {
	n := newNetwork(t, 6, 180)
	n.run(12)
	for _, p := range n.proxies[:8] {
		n.setRunning(p, false)
	}
	n.failZone("d")
	n.run(5)
	for _, p := range n.proxies[:8] {
		n.setRunning(p, true) // the same process, with the plan from before
	}
	n.run(1.5)
	n.expectPlans(1)
	n.resetCounts()
	n.run(4)
	n.expect("members resumed", 0.97, 0.03, 0.35)
}

// TestStrangeWords checks that messages of other versions, outdated or invalid ones, and those under another member's
// name change nothing and are counted.
func TestStrangeWords(t *testing.T) {
	a := NewAgent(100, "a", "x", 0)
	good := Plan{Epoch: 3, Leader: "b", Zones: []ZonePlan{{Zone: "x", Shares: []Share{{"x", 1}}}}}
	a.Receive(100, &Message{Version: Version, From: "b", Seq: 5, Plan: &good})
	bad := func(change func(*Message)) {
		p := good
		p.Epoch = 9
		m := &Message{Version: Version, From: "b", Seq: 6, Plan: &p}
		change(m)
		a.Receive(100, m)
	}
	bad(func(m *Message) { m.Version = 2 })
	bad(func(m *Message) { m.Seq = 5 })
	bad(func(m *Message) { m.From = "a" })
	bad(func(m *Message) { m.Plan.Zones = nil })
	bad(func(m *Message) { m.Plan.Zones = []ZonePlan{{Zone: "x", Shares: []Share{{"x", 0.5}}}} })
	bad(func(m *Message) { m.Plan.Zones = []ZonePlan{{Zone: "x", Shares: []Share{{"x", math.NaN()}}}} })
	bad(func(m *Message) { m.Plan.Zones = slices.Repeat(m.Plan.Zones, 1000) })
	bad(func(m *Message) { m.Report = &Report{Member: "c", Zone: "x"} })
	bad(func(m *Message) { m.Report = &Report{Member: "b", Zone: "x", RequestRate: math.Inf(1)} })
	if a.fleetPlan.Epoch != 3 || a.dropped != 9 {
		t.Errorf("epoch %d in force, %d dropped; want 3 and 9", a.fleetPlan.Epoch, a.dropped)
	}
	old := Plan{Epoch: 2, Leader: "z", Zones: good.Zones}
	a.Receive(100, &Message{Version: Version, From: "z", Seq: 1, Plan: &old})
	if a.fleetPlan.Epoch != 3 {
		t.Error("an older plan replaced a newer one")
	}
}

// TestOrders checks that an operator's order reaches all members over a network that loses messages. It must hold over
// restarts of any member, and take precedence over observations. A process that starts without state must not send
// requests to a zone that has long been out of service. Hard case 11.
func TestOrders(t *testing.T) {
	n := newNetwork(t, 6, 120)
	n.lossProbability, n.maxDelaySeconds = 0.2, 0.2
	n.run(10)
	issuer := n.agents["d03"]
	text, remaining := issuer.WhatIf(n.zones, []string{"b"}, true)
	if math.Abs(remaining-0.75) > 1e-9 || !strings.Contains(text, "0 % refused") {
		t.Errorf("remaining fraction of weight is %.2f, want 0.75; text:\n%s", remaining, text)
	}
	issuer.IssueOrder(n.now, []string{"b"}, true)
	n.flush(issuer)
	n.run(1)
	if have, others := issuer.Confirmed(); have < 2 || others != 23 {
		t.Errorf("order known to %d of %d other members after 1 s, want at least 2 of 23", have, others)
	}
	n.setRunning(n.proxies[21], false) // d03, the issuer; further below the leader and zone c restart
	n.run(6)
	fractionToB := func() (fraction float64) {
		n.resetCounts()
		previous := n.unreachable
		n.unreachable = func(_, to string) bool { return to == "b" }
		n.run(3)
		n.unreachable = previous
		return n.failed / n.offered
	}
	if x := fractionToB(); x > 0 {
		t.Errorf("fraction %.3f of requests went to a zone that is out of service", x)
	}
	leader := n.agents["a00"].fleetPlan.Leader
	for _, p := range n.proxies {
		if p.name == leader || p.zone == "c" {
			n.start(p)
		}
	}
	n.run(1) // until they learn of the order
	if x := fractionToB(); x > 0 {
		t.Errorf("fraction %.3f of requests went to a zone that is out of service, after restarts", x)
	}
	n.lossProbability = 0
	secondIssuer := n.agents["a01"]
	secondIssuer.IssueOrder(n.now, []string{"b"}, false)
	n.flush(secondIssuer)
	n.run(10)
	n.resetCounts()
	n.run(3)
	n.expect("zone returned", 0.99, 0, 0.1)
	for name, a := range n.agents {
		if n.running[name] && a.OrdersDigest() != secondIssuer.OrdersDigest() {
			t.Errorf("%s has different orders: %+v", name, a.Orders())
		}
	}
}
