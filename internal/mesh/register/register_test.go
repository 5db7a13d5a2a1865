package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"beechwing/internal/mesh/invariant"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/view"
)

// testCluster is a few control servers whose messages arrive in any order, late, twice or never. Their disks keep what was
// synced.
type testCluster struct {
	random  *rand.Rand
	now     float64
	names   []string
	view    view.View
	servers map[string]*Registers
	disks   map[string]map[string][]byte
	up      map[string]bool
	network []envelope
}

type envelope struct {
	from, to string
	message  *meshpb.Message
}

func newTestCluster(seed uint64, n int) *testCluster {
	b := &testCluster{random: rand.New(rand.NewPCG(seed, 1)), now: 1, servers: map[string]*Registers{},
		disks: map[string]map[string][]byte{},
		up:    map[string]bool{}}
	for i := range n {
		b.names = append(b.names, fmt.Sprintf("m%d", i))
	}
	var members []view.Member
	for _, name := range b.names {
		members = append(members, b.member(name))
	}
	b.view = view.Initial(1, members)
	for _, name := range b.names {
		b.disks[name] = map[string][]byte{}
		b.start(name)
	}
	return b
}

func (b *testCluster) member(name string) view.Member {
	return view.Member{Address: name, Incarnation: 1}
}

func (b *testCluster) start(name string) {
	rs := New(b.member(name), b.random.Uint32()|1, 60)
	rs.Checks.OnViolation = func(name invariant.Name, args ...any) { panic(fmt.Sprint("invariant violated: ", name, args)) }
	rs.SetView(b.now, b.view, b.now)
	if err := rs.Restore(b.now, b.disks[name]); err != nil {
		panic(err)
	}
	rs.StartVoting()
	b.servers[name], b.up[name] = rs, true
}

// applyEffects carries out the effects that a server requests. If synced is false, the process is killed before its disk has
// synced the batch.
func (b *testCluster) applyEffects(name string, synced bool) {
	for {
		effects := b.servers[name].TakeEffects()
		if len(effects.Sends)+len(effects.After)+len(effects.Puts) == 0 {
			return
		}
		for _, s := range effects.Sends {
			b.post(name, s)
		}
		if !synced {
			return
		}
		for _, p := range effects.Puts {
			b.applyPut(name, p)
		}
		for _, s := range effects.After {
			b.post(name, s)
		}
	}
}

func (b *testCluster) applyPut(name string, p store.Put) {
	if len(p.Value) == 0 {
		delete(b.disks[name], p.Name)
		return
	}
	b.disks[name][p.Name] = slices.Clone(p.Value)
}

func (b *testCluster) post(from string, s transport.Send) {
	if s.To == from { // a message to the sender itself is not lost
		b.servers[from].HandleMessage(b.now, b.member(from), s.Message)
		return
	}
	b.network = append(b.network, envelope{from, s.To, s.Message})
	if b.random.IntN(10) == 0 {
		b.network = append(b.network, envelope{from, s.To, s.Message})
	}
}

// step delivers one message, loses one, advances the time, or kills and starts a process.
func (b *testCluster) step(restarts bool) {
	if n := len(b.network); n > 0 && b.random.IntN(10) > 0 {
		i := b.random.IntN(n)
		m := b.network[i]
		b.network = slices.Delete(b.network, i, i+1)
		if b.random.IntN(8) == 0 || !b.up[m.to] {
			return
		}
		b.servers[m.to].HandleMessage(b.now, b.member(m.from), m.message)
		b.applyEffects(m.to, true)
		return
	}
	b.now += 0.03
	for _, name := range b.names {
		b.servers[name].Tick(b.now)
		b.applyEffects(name, true)
	}
	if restarts && b.random.IntN(25) == 0 {
		name := b.names[b.random.IntN(len(b.names))]
		b.servers[name].Tick(b.now)
		b.applyEffects(name, b.random.IntN(2) == 0)
		b.start(name)
	}
}

// A key must never be granted to two tokens, unless the first one released it. Claims of one key reach any server, at once and
// later, while messages are lost, duplicated and delayed and processes die between a promise, its sync to disk and its answer.
func TestOneClaimHolds(t *testing.T) {
	grantedRuns := 0
	for seed := range uint64(6000) {
		b := newTestCluster(seed, 3+2*int(seed%2))
		const key = "k"
		granted := map[uint64]bool{}
		claim := func(token uint64) {
			name := b.names[b.random.IntN(len(b.names))]
			b.servers[name].Claim(b.now, &meshpb.Claim{Key: key, Token: token}, func(state uint32, held *meshpb.Receipt) {
				if state == Claimed {
					granted[token] = true
				}
			})
			b.applyEffects(name, true)
		}
		for token := range uint64(3) {
			claim(token + 1)
			for range b.random.IntN(30) {
				b.step(seed%3 > 0)
			}
		}
		for range 150 {
			b.step(seed%3 > 0)
		}
		claim(9)
		for range 100 {
			b.step(false)
		}
		if len(granted) > 1 {
			t.Fatalf("seed %d: tokens %v were all granted the key", seed, granted)
		}
		grantedRuns += len(granted)
	}
	if grantedRuns < 3000 {
		t.Fatalf("a claim was granted in only %d of 6000 runs, want at least 3000", grantedRuns)
	}
}

// Once the answer of a run is recorded, every later claim receives it, whichever server is asked and whichever messages were
// lost.
func TestRecordedAnswerIsTold(t *testing.T) {
	reported := 0
	for seed := range uint64(1500) {
		b := newTestCluster(seed, 3)
		settled, granted := false, false
		home := b.servers[HomeOrder("k", b.names)[seed%3]]
		name := home.self.Address
		home.Claim(b.now, &meshpb.Claim{Key: "k", Token: 1}, func(state uint32, _ *meshpb.Receipt) { granted = state == Claimed })
		b.applyEffects(name, true)
		for range 60 {
			b.step(false)
		}
		if !granted {
			continue
		}
		at := b.names[b.random.IntN(3)]
		b.servers[at].Settle(b.now, "k", &meshpb.Receipt{Token: 1, State: Done, Status: 201}, false,
			func(state uint32, _ *meshpb.Receipt) {
				settled = state == Done
			})
		b.applyEffects(at, true)
		for range 80 {
			b.step(true)
		}
		if !settled {
			continue
		}
		for _, ask := range b.names {
			b.servers[ask].Claim(b.now, &meshpb.Claim{Key: "k", Token: 5}, func(state uint32, held *meshpb.Receipt) {
				switch {
				case state == Done && held.Status == 201:
					reported++
				case state == Claimed:
					t.Fatalf("seed %d: the key is claimed again after its answer was recorded", seed)
				}
			})
			b.applyEffects(ask, true)
			for range 60 {
				b.step(false)
			}
		}
	}
	if reported < 1000 {
		t.Fatalf("the recorded answer was received only %d times, want at least 1000", reported)
	}
}

// A released claim may be granted to another token, but never again to the same one: a late claim of that token may still
// arrive.
func TestVoidKeepsLateClaimsOut(t *testing.T) {
	b := newTestCluster(1, 3)
	states := []uint32{}
	recordState := func(state uint32, _ *meshpb.Receipt) { states = append(states, state) }
	run := func(f func(rs *Registers)) {
		name := HomeOrder("k", b.names)[0]
		f(b.servers[name])
		b.applyEffects(name, true)
		for len(b.network) > 0 {
			m := b.network[0]
			b.network = b.network[1:]
			b.servers[m.to].HandleMessage(b.now, b.member(m.from), m.message)
			b.applyEffects(m.to, true)
		}
	}
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 1, State: Void}, false, recordState) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 1}, recordState) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 2}, recordState) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 3}, recordState) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 2, Attempt: 1}, recordState) })
	// Nothing changes, because the run may happen.
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 2, State: Void}, true, recordState) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 2, State: Void}, false, recordState) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 4, State: Void}, true, recordState) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 4}, recordState) })
	// A later try of the same key that claims and releases it must not allow the first token to claim again. Simulated days
	// with generated workloads showed this fault.
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 5}, recordState) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 5, State: Void}, false, recordState) })
	for token := range uint64(5) {
		if token != 2 { // the claim would be for token 3, which was never voided
			run(func(rs *Registers) {
				rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: token + 1, Attempt: 7}, recordState)
			})
		}
	}
	// Token 7 is voided while token 6 holds the key, and must not claim after token 6 has released it.
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 6}, recordState) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 7, State: Void}, false, recordState) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 6, State: Void}, false, recordState) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 7}, recordState) })
	if want := []uint32{Void, Void, Claimed, Busy, Claimed, Claimed, Void, Void, Void, Claimed, Void, Void, Void, Void, Void,
		Claimed, Void, Void, Void}; !slices.Equal(states, want) {
		t.Fatalf("%v, want %v", states, want)
	}
}

// Registers older than the retention window and windowSlack are deleted from memory and disk, and not before.
func TestForgets(t *testing.T) {
	b := newTestCluster(1, 1)
	rs := b.servers["m0"]
	rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 1}, func(uint32, *meshpb.Receipt) {})
	b.applyEffects("m0", true)
	for _, c := range []struct {
		at   float64
		want int
	}{{60, 1}, {62, 1}, {77, 0}} {
		rs.Tick(c.at)
		b.applyEffects("m0", true)
		if n, _ := rs.Size(); n != c.want || len(b.disks["m0"]) != c.want {
			t.Fatalf("at %v: %d registers, %d on disk, want %d", c.at, n, len(b.disks["m0"]), c.want)
		}
	}
}

// A settlement whose receipt is not the end of a run, as in a corrupt or foreign message, is rejected and changes nothing.
func TestSettleWithoutAnEndIsRefused(t *testing.T) {
	b := newTestCluster(1, 1)
	rs := b.servers["m0"]
	for name, r := range map[string]*meshpb.Receipt{"none": nil, "free": {Token: 1}, "claimed": {Token: 1, State: Claimed},
		"stored": {Token: 1, State: Stored}} {
		answered := Free
		rs.Settle(b.now, "k", r, false, func(state State, _ *meshpb.Receipt) { answered = state })
		b.applyEffects("m0", true)
		if n, _ := rs.Size(); answered != Unsure || n != 0 {
			t.Errorf("%s: answered state %d, %d registers", name, answered, n)
		}
	}
}

// A claim is granted again only to the process of the gate that holds it. The next attempt takes over the claim from any gate.
func TestClaimIsItsGatesOnly(t *testing.T) {
	b := newTestCluster(1, 1)
	rs := b.servers["m0"]
	claim := func(gate string, life uint64, attempt uint32) (answered State) {
		rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 1, Attempt: attempt, Gate: gate, GateLife: life},
			func(state State, _ *meshpb.Receipt) { answered = state })
		b.applyEffects("m0", true)
		return answered
	}
	states := []State{claim("g", 1, 0), claim("g", 1, 0), claim("h", 1, 0), claim("g", 2, 0), claim("h", 1, 1), claim("g", 1, 0),
		claim("g", 1, 1), claim("h", 1, 1)}
	if want := []State{Claimed, Claimed, Busy, Busy, Claimed, Busy, Busy, Claimed}; !slices.Equal(states, want) {
		t.Errorf("%v, want %v", states, want)
	}
}

// deliverAll delivers all messages, and those that they cause, except messages from or to one server.
func (b *testCluster) deliverAll(except string) {
	for len(b.network) > 0 {
		m := b.network[0]
		b.network = b.network[1:]
		if m.from == except || m.to == except {
			continue
		}
		b.servers[m.to].HandleMessage(b.now, b.member(m.from), m.message)
		b.applyEffects(m.to, true)
	}
}

// A server granted a claim and missed the end of its run. When the claim is repeated a second later, the server asks the other
// members and does not answer that the run is still in progress.
func TestRepeatIsAnsweredByAServerThatMissedTheEnd(t *testing.T) {
	for seed := range uint64(20) {
		b := newTestCluster(seed, 3)
		order := HomeOrder("k", b.names)
		granted, settled, answered := false, false, Free
		b.servers[order[0]].Claim(b.now, &meshpb.Claim{Key: "k", Token: 1},
			func(state uint32, _ *meshpb.Receipt) { granted = state == Claimed })
		b.applyEffects(order[0], true)
		b.deliverAll("")
		b.now += 0.05
		b.servers[order[1]].Settle(b.now, "k", &meshpb.Receipt{Token: 1, State: Done, Status: 201}, false,
			func(state uint32, _ *meshpb.Receipt) { settled = state == Done })
		b.applyEffects(order[1], true)
		b.deliverAll(order[0])
		for range 4 { // the third server is asked if the first does not answer
			b.now += 0.05
			b.servers[order[1]].Tick(b.now)
			b.applyEffects(order[1], true)
			b.deliverAll(order[0])
		}
		if !granted || !settled {
			t.Fatalf("seed %d: granted %v, settled %v", seed, granted, settled)
		}
		b.now += 1
		b.servers[order[0]].Claim(b.now, &meshpb.Claim{Key: "k", Token: 5}, func(state uint32, _ *meshpb.Receipt) { answered = state })
		b.applyEffects(order[0], true)
		b.deliverAll("")
		for range 6 { // a rejected ballot is followed by a newer one
			b.now += 0.05
			b.servers[order[0]].Tick(b.now)
			b.applyEffects(order[0], true)
			b.deliverAll("")
		}
		if answered != Done {
			t.Errorf("seed %d: a repeated claim is answered state %d, want %d", seed, answered, Done)
		}
	}
}
