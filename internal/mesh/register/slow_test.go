package register

import (
	"fmt"
	"slices"
	"testing"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

const tickInterval = 0.02 // seconds between ticks

// delayedCluster is some servers whose messages all arrive in order, each after the same delay.
type delayedCluster struct {
	now      float64
	delay    float64 // seconds, one way
	names    []string
	servers  map[string]*Registers
	network  []delayedEnvelope
	prepares int // number of prepares sent to other servers
}

type delayedEnvelope struct {
	deliverAt float64
	envelope
}

func newDelayedCluster(n int, delay float64) *delayedCluster {
	c := &delayedCluster{now: 1, delay: delay, servers: map[string]*Registers{}}
	var members []view.Member
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("m%d", i))
		members = append(members, view.Member{Address: c.names[i], Incarnation: 1})
	}
	for i, name := range c.names {
		rs := New(members[i], uint32(i+1), 60)
		rs.SetView(c.now, view.Initial(1, members), c.now)
		rs.StartVoting()
		c.servers[name] = rs
	}
	return c
}

func (c *delayedCluster) applyEffects(name string) {
	for {
		effects := c.servers[name].TakeEffects()
		sends := slices.Concat(effects.Sends, effects.After)
		if len(sends) == 0 {
			return
		}
		for _, s := range sends {
			c.post(name, s)
		}
	}
}

func (c *delayedCluster) post(from string, s transport.Send) {
	if s.To == from {
		c.servers[from].HandleMessage(c.now, view.Member{Address: from, Incarnation: 1}, s.Message)
		return
	}
	if s.Message.Prepare != nil {
		c.prepares++
	}
	c.network = append(c.network, delayedEnvelope{c.now + c.delay, envelope{from, s.To, s.Message}})
}

func (c *delayedCluster) run(seconds float64) {
	for until := c.now + seconds; c.now < until; c.now += tickInterval {
		for len(c.network) > 0 && c.network[0].deliverAt <= c.now {
			m := c.network[0]
			c.network = c.network[1:]
			c.servers[m.to].HandleMessage(c.now, view.Member{Address: m.from, Incarnation: 1}, m.message)
			c.applyEffects(m.to)
		}
		for _, name := range c.names {
			c.servers[name].Tick(c.now)
			c.applyEffects(name)
		}
	}
}

// Answers that take 0.3 s are slow and not lost. A change with a prepare phase completes with one ballot and is not restarted
// while its answers are in transit.
func TestSlowAnswersEndAChange(t *testing.T) {
	c := newDelayedCluster(4, 0.15)
	const key = "operation"
	other := HomeOrder(key, c.names)[1] // not the key's home, so it needs a prepare phase
	state := Unsure
	c.servers[other].Claim(c.now, &meshpb.Claim{Key: key, Token: 7, Gate: "g"}, func(s State, _ *meshpb.Receipt) { state = s })
	c.applyEffects(other)
	c.run(ChangeTimeout + 0.2)
	if state != Claimed {
		t.Errorf("a claim whose answers take 0.3 s ends as %s, want claimed", stateNames[state])
	}
	if most := len(c.names) - 1; c.prepares > most {
		t.Errorf("%d prepares sent to other servers, want at most %d", c.prepares, most)
	}
}

// Two servers change one key at the same time, and answers are slow. One of them outbids the other, and they do not keep
// restarting.
func TestSlowRivalsEnd(t *testing.T) {
	c := newDelayedCluster(4, 0.06)
	const key = "operation"
	order := HomeOrder(key, c.names)
	ends := map[State]int{}
	for i, name := range order[1:3] {
		claim := &meshpb.Claim{Key: key, Token: uint64(7 + i), Gate: name}
		c.servers[name].Claim(c.now, claim, func(s State, _ *meshpb.Receipt) { ends[s]++ })
		c.applyEffects(name)
	}
	c.run(2)
	if ends[Claimed] != 1 || ends[Busy] != 1 {
		t.Errorf("two claims of one key end as %v, want one claimed and one busy", ends)
	}
	if most := 6 * (len(c.names) - 1); c.prepares > most {
		t.Errorf("%d prepares sent to other servers, want at most %d", c.prepares, most)
	}
}

// A joiner that reads the same registers from several members writes each of them once.
func TestJoinerWritesEachRegisterOnce(t *testing.T) {
	const registers = 500
	b := newTestCluster(1, 3)
	for _, name := range b.names {
		for i := range registers {
			b.servers[name].accept(1, &meshpb.Accept{Key: fmt.Sprintf("k%d", i),
				Ballot: Ballot{Epoch: 1, Round: 2, Node: 1, Life: 1}.Wire(),
				Value:  &meshpb.Receipt{Token: uint64(i), State: Done}})
		}
	}
	joiner := New(view.Member{Address: "j", Incarnation: 1}, 9, 60)
	puts := 0
	for _, name := range b.names {
		page, _, _ := b.servers[name].Page(0)
		joiner.Merge(2, page)
		puts += len(joiner.TakeEffects().Puts)
	}
	if puts > registers {
		t.Errorf("%d writes for %d registers, want one each", puts, registers)
	}
}

// newStuckCluster returns a cluster in which m0 has had the given number of changes in progress for the given time without any
// answer.
func newStuckCluster(changes int, seconds float64) *delayedCluster {
	c := newDelayedCluster(4, 10)
	for i := range changes {
		c.servers["m0"].Claim(c.now, &meshpb.Claim{Key: fmt.Sprint("stuck", i), Token: 1, Gate: "g"}, func(State, *meshpb.Receipt) {})
	}
	c.applyEffects("m0")
	c.run(seconds)
	return c
}

// A server whose changes get no answers rejects new claims at once. A few late changes do not count as overload, and once the
// late changes are given up, claims are accepted again.
func TestOverloadedServerBeginsNoClaims(t *testing.T) {
	for _, test := range []struct {
		name    string
		changes int
		seconds float64
		want    State
	}{
		{"many changes, not late yet", 100, lateThreshold / 2, Claimed},
		{"many late changes", 100, 2 * lateThreshold, Overloaded},
		{"a few late changes", toleratedLateChanges, 2 * lateThreshold, Claimed},
		{"many changes, given up", 100, ChangeTimeout + 0.1, Claimed},
	} {
		c := newStuckCluster(test.changes, test.seconds)
		got := Claimed // the claim is started and has no answer yet
		c.servers["m0"].Claim(c.now, &meshpb.Claim{Key: "new", Token: 2, Gate: "g"}, func(s State, _ *meshpb.Receipt) { got = s })
		if got != test.want {
			t.Errorf("%s: the answer to a claim is %v, want %v", test.name, got, test.want)
		}
	}
}

// An end of a run that is reported again while the first report is in progress is one change, and its answer goes to the last
// caller.
func TestEndToldAgainIsOneChange(t *testing.T) {
	c := newDelayedCluster(3, 0.05)
	const key = "operation"
	home := HomeOrder(key, c.names)[0]
	c.servers[home].Claim(c.now, &meshpb.Claim{Key: key, Token: 7, Gate: "g"}, func(State, *meshpb.Receipt) {})
	c.applyEffects(home)
	c.run(0.3)
	var answered []int
	for i := range 4 {
		end := &meshpb.Receipt{Token: 7, State: Done, Status: 200}
		c.servers[home].Settle(c.now, key, end, false, func(State, *meshpb.Receipt) { answered = append(answered, i) })
	}
	if _, changes := c.servers[home].Size(); changes != 1 || len(c.servers[home].waiting[key]) != 0 {
		t.Errorf("%d changes in progress and %d waiting, want 1 and 0", changes, len(c.servers[home].waiting[key]))
	}
	c.applyEffects(home)
	c.run(0.3)
	if !slices.Equal(answered, []int{3}) {
		t.Errorf("answered callers: %v, want the last one only", answered)
	}
}

// A resent message is answered like the first one, whose answer may be lost, unless the acceptor has promised something newer
// since.
func TestMessageAgainIsAnsweredAgain(t *testing.T) {
	c := newDelayedCluster(3, 0)
	b := Ballot{Epoch: 1, Round: 5, Node: 2, Life: 2}
	prepare := &meshpb.Message{Id: 1, Prepare: &meshpb.Prepare{Key: "k", Ballot: b.Wire()}}
	accept := &meshpb.Message{Id: 1, Accept: &meshpb.Accept{Key: "k", Ballot: b.Wire(),
		Value: &meshpb.Receipt{Token: 1, State: Claimed}}}
	newer := &meshpb.Message{Id: 2, Prepare: &meshpb.Prepare{Key: "k", Ballot: Ballot{Epoch: 1, Round: 9, Node: 3, Life: 3}.Wire()}}
	acceptor := c.servers["m0"]
	answers := func(m *meshpb.Message) *meshpb.Message {
		acceptor.HandleMessage(1, view.Member{Address: "m1", Incarnation: 1}, m)
		out := acceptor.TakeEffects()
		return slices.Concat(out.Sends, out.After)[0].Message
	}
	for range 2 {
		if m := answers(prepare); !m.Promise.Yes {
			t.Error("a prepare is rejected")
		}
	}
	for range 2 {
		if m := answers(accept); !m.Accepted.Yes {
			t.Error("an accept is rejected")
		}
	}
	if m := answers(prepare); m.Promise.Yes {
		t.Error("a ballot is promised again after a value was accepted at it")
	}
	answers(newer)
	if m := answers(accept); m.Accepted.Yes {
		t.Error("a repeated accept is accepted after a newer promise")
	}
}

// All pages together contain each register once, in the order of its last change. A reader that continues from a position causes
// no work for earlier changes.
func TestPagesFollowTheOrderOfChanges(t *testing.T) {
	const registers, changedAgain = 2000, 100
	c := newDelayedCluster(1, 0)
	rs := c.servers["m0"]
	accept := func(i int, round uint32) {
		rs.accept(1, &meshpb.Accept{Key: fmt.Sprint("k", i), Ballot: Ballot{Epoch: 1, Round: round, Node: 1, Life: 1}.Wire(),
			Value: &meshpb.Receipt{Token: uint64(i), State: Done, Body: make([]byte, 200)}})
	}
	for round := range uint32(5) { // most positions of the order are outdated
		for i := range registers {
			accept(i, 2+round)
		}
	}
	seen := map[string]int{}
	position, pages := uint64(0), 0
	for last := false; !last; pages++ {
		var page []*meshpb.Entry
		page, position, last = rs.Page(position)
		for _, e := range page {
			seen[e.Key]++
		}
	}
	if len(seen) != registers || pages < 2 {
		t.Errorf("%d registers in %d pages", len(seen), pages)
	}
	for i := range changedAgain {
		accept(i, 20)
	}
	if page, _, last := rs.Page(position); len(page) != changedAgain || !last {
		t.Errorf("%d registers changed since, want %d; last %v", len(page), changedAgain, last)
	}
	if behind := len(rs.entryOrder.after(position)); behind != changedAgain {
		t.Errorf("%d positions of the order are read for %d changes", behind, changedAgain)
	}
	rs.Tick(100) // all registers have expired
	if page, _, _ := rs.Page(0); len(page) != 0 || len(rs.entryOrder.changes) > compactionSlack {
		t.Errorf("%d registers and %d positions in the order are left after expiry", len(page), len(rs.entryOrder.changes))
	}
}

// The checks detect a ballot that is restarted only because it is late, and two values at one ballot.
func TestChecksFindViolations(t *testing.T) {
	c := newStuckCluster(1, 0.1)
	rs := c.servers["m0"]
	for _, under := range rs.orderedChanges() {
		rs.prepare(c.now, under)
		under.prepares++
		rs.prepare(c.now, under)
	}
	b := Ballot{Epoch: 1, Round: 9, Node: 2, Life: 2}.Wire()
	for i := range uint64(2) {
		rs.handleAccept(c.now, view.Member{Address: "m1", Incarnation: 1}, 1,
			&meshpb.Accept{Key: "k", Ballot: b, Value: &meshpb.Receipt{Token: i + 1}})
	}
	got := rs.Checks.Counts()
	if got[invariant.BallotSuperseded] == 0 || got[invariant.BallotUnique] != 1 {
		t.Errorf("violations found: %v", got)
	}
}

// Each of three members sends a joiner the values of a third of the registers, and the ballots without the value of all other
// registers, so most values are sent once. The joiner requests by key what it still lacks, because a member holds something newer
// or did not send its part.
func TestJoinerReadsInParts(t *testing.T) {
	const registers, newerRegisters = 900, 50
	c := newDelayedCluster(3, 0)
	accept := func(name string, i int, round uint32) {
		c.servers[name].accept(1, &meshpb.Accept{Key: fmt.Sprint("k", i),
			Ballot: Ballot{Epoch: 1, Round: round, Node: 1, Life: 1}.Wire(),
			Value:  &meshpb.Receipt{Token: uint64(round), State: Done, Body: make([]byte, 300)}})
	}
	for i := range registers {
		for _, name := range c.names {
			accept(name, i, 2)
		}
	}
	for i := range newerRegisters { // only one member holds the newer value
		accept("m1", i, 3)
	}
	joiner := New(view.Member{Address: "j", Incarnation: 1}, 9, 60)
	values, missing := 0, map[string]map[string]Ballot{}
	read := func(name string, part uint32) {
		missing[name] = map[string]Ballot{}
		position := uint64(0)
		for last := false; !last; {
			var page []*meshpb.Entry
			page, position, last = c.servers[name].PartialPage(position, Part{part, 3})
			for _, e := range page {
				if e.Value != nil {
					values++
				}
			}
			for key, b := range joiner.Merge(2, page) {
				missing[name][key] = b
			}
		}
	}
	read("m0", 0)
	read("m1", 1) // m2 is lost, and with it its part
	if most := registers; values > most {
		t.Errorf("%d values for %d registers", values, most)
	}
	for name := range missing {
		for key, b := range missing[name] {
			if joiner.Lacks(key, b) {
				joiner.Merge(2, c.servers[name].EntriesOf([]string{key}))
			}
		}
	}
	for i := range registers {
		want := uint64(2)
		if i < newerRegisters {
			want = 3
		}
		if value, _ := joiner.LocalValue(fmt.Sprint("k", i)); value.GetToken() != want {
			t.Fatalf("register %d: round %d, want %d", i, value.GetToken(), want)
		}
	}
	if got := joiner.Merge(2, c.servers["m0"].EntriesOf([]string{"unknown"})); len(got) > 0 || len(joiner.entries) != registers {
		t.Errorf("merging a key that no server holds gives %d registers, want %d", len(joiner.entries), registers)
	}
}
