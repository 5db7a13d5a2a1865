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

// bag is a few control processes whose messages come in any order, late, twice or not at all. Their disks keep what was synced.
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
	b := &testCluster{random: rand.New(rand.NewPCG(seed, 1)), now: 1, servers: map[string]*Registers{}, disks: map[string]map[string][]byte{},
		up: map[string]bool{}}
	for i := range n {
		b.names = append(b.names, fmt.Sprintf("m%d", i))
	}
	var members []view.Member
	for _, name := range b.names {
		members = append(members, b.member(name))
	}
	b.view = view.Founding(1, members)
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
	rs.Checks.Violated = func(name invariant.Name, args ...any) { panic(fmt.Sprint("invariant violated: ", name, args)) }
	rs.SetView(b.now, b.view, b.now)
	if err := rs.Restore(b.now, b.disks[name]); err != nil {
		panic(err)
	}
	rs.StartVoting()
	b.servers[name], b.up[name] = rs, true
}

// take does what a ledger wants done. Where synced is false it is killed before its disk has the batch.
func (b *testCluster) applyEffects(name string, synced bool) {
	for {
		out := b.servers[name].TakeEffects()
		if len(out.Sends)+len(out.After)+len(out.Puts) == 0 {
			return
		}
		for _, s := range out.Sends {
			b.post(name, s)
		}
		if !synced {
			return
		}
		for _, p := range out.Puts {
			b.applyPut(name, p)
		}
		for _, s := range out.After {
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
	if s.To == from { // a process's own word is not lost
		b.servers[from].HandleMessage(b.now, b.member(from), s.Message)
		return
	}
	b.network = append(b.network, envelope{from, s.To, s.Message})
	if b.random.IntN(10) == 0 {
		b.network = append(b.network, envelope{from, s.To, s.Message})
	}
}

// step delivers one letter, loses one, lets time pass, or kills and starts a process.
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

// Claims of one key come to any process, at once and later, while messages are lost, doubled and late and processes die between
// promise, disk and word. At most one token is ever told that it holds the key, until the one that held it gives it back.
func TestOneClaimHolds(t *testing.T) {
	holders := 0
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
			t.Fatalf("seed %d: %v were each told that they hold the key", seed, granted)
		}
		holders += len(granted)
	}
	if holders < 3000 {
		t.Fatalf("a claim was granted in %d of 6000 runs: this shows nothing", holders)
	}
}

// A run's answer, once recorded, is what every later claim is told, whoever is asked and whatever was lost on the way.
func TestRecordedAnswerIsTold(t *testing.T) {
	told := 0
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
		b.servers[at].Settle(b.now, "k", &meshpb.Receipt{Token: 1, State: Done, Status: 201}, false, func(state uint32, _ *meshpb.Receipt) {
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
					told++
				case state == Claimed:
					t.Fatalf("seed %d: claimed anew after its answer was recorded", seed)
				}
			})
			b.applyEffects(ask, true)
			for range 60 {
				b.step(false)
			}
		}
	}
	if told < 1000 {
		t.Fatalf("told %d times: this shows nothing", told)
	}
}

// A claim given back may be claimed by another, but never again by the same token: its claim may still be on the way.
func TestVoidKeepsLateClaimsOut(t *testing.T) {
	b := newTestCluster(1, 3)
	states := []uint32{}
	note := func(state uint32, _ *meshpb.Receipt) { states = append(states, state) }
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
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 1, State: Void}, false, note) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 1}, note) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 2}, note) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 3}, note) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 2, Attempt: 1}, note) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 2, State: Void}, true, note) }) // it may run: nothing changes
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 2, State: Void}, false, note) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 4, State: Void}, true, note) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 4}, note) })
	// Found on a grown day: what a later try of the same key claims and gives back must not let the first one in again.
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 5}, note) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 5, State: Void}, false, note) })
	for token := range uint64(5) {
		if token != 2 { // 3 was never voided
			run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: token + 1, Attempt: 7}, note) })
		}
	}
	// The same where another holds the key meanwhile.
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 6}, note) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 7, State: Void}, false, note) })
	run(func(rs *Registers) { rs.Settle(b.now, "k", &meshpb.Receipt{Token: 6, State: Void}, false, note) })
	run(func(rs *Registers) { rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 7}, note) })
	if want := []uint32{Void, Void, Claimed, Busy, Claimed, Claimed, Void, Void, Void, Claimed, Void, Void, Void, Void, Void,
		Claimed, Void, Void, Void}; !slices.Equal(states, want) {
		t.Fatalf("%v, want %v", states, want)
	}
}

// What is older than the window goes from memory and disk, and not before.
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

// Word on the end of a run that holds no end, as a garbled or a foreign message may, changes nothing and is refused.
func TestSettleWithoutAnEndIsRefused(t *testing.T) {
	b := newTestCluster(1, 1)
	rs := b.servers["m0"]
	for name, r := range map[string]*meshpb.Receipt{"none": nil, "free": {Token: 1}, "claimed": {Token: 1, State: Claimed},
		"stored": {Token: 1, State: Stored}} {
		told := Free
		rs.Settle(b.now, "k", r, false, func(state State, _ *meshpb.Receipt) { told = state })
		b.applyEffects("m0", true)
		if n, _ := rs.Size(); told != Unsure || n != 0 {
			t.Errorf("%s: told %d, %d registers", name, told, n)
		}
	}
}

// A claim is granted again to the life of the gate that holds it, and to nobody else; the next attempt takes over from any gate.
func TestClaimIsItsGatesOnly(t *testing.T) {
	b := newTestCluster(1, 1)
	rs := b.servers["m0"]
	claim := func(gate string, life uint64, attempt uint32) (told State) {
		rs.Claim(b.now, &meshpb.Claim{Key: "k", Token: 1, Attempt: attempt, Gate: gate, GateLife: life},
			func(state State, _ *meshpb.Receipt) { told = state })
		b.applyEffects("m0", true)
		return told
	}
	states := []State{claim("g", 1, 0), claim("g", 1, 0), claim("h", 1, 0), claim("g", 2, 0), claim("h", 1, 1), claim("g", 1, 0),
		claim("g", 1, 1), claim("h", 1, 1)}
	if want := []State{Claimed, Claimed, Busy, Busy, Claimed, Busy, Busy, Claimed}; !slices.Equal(states, want) {
		t.Errorf("%v, want %v", states, want)
	}
}

// deliver brings all mail, and what it gives rise to, but for what goes from or to one process.
func (b *testCluster) deliverAll(but string) {
	for len(b.network) > 0 {
		m := b.network[0]
		b.network = b.network[1:]
		if m.from == but || m.to == but {
			continue
		}
		b.servers[m.to].HandleMessage(b.now, b.member(m.from), m.message)
		b.applyEffects(m.to, true)
	}
}

// A server that granted a claim and missed the end of its run asks the others a second later, and does not tell a repeat that the run is
// at work.
func TestRepeatIsAnsweredByAServerThatMissedTheEnd(t *testing.T) {
	for seed := range uint64(20) {
		b := newTestCluster(seed, 3)
		order := HomeOrder("k", b.names)
		granted, settled, told := false, false, Free
		b.servers[order[0]].Claim(b.now, &meshpb.Claim{Key: "k", Token: 1}, func(state uint32, _ *meshpb.Receipt) { granted = state == Claimed })
		b.applyEffects(order[0], true)
		b.deliverAll("")
		b.now += 0.05
		b.servers[order[1]].Settle(b.now, "k", &meshpb.Receipt{Token: 1, State: Done, Status: 201}, false,
			func(state uint32, _ *meshpb.Receipt) { settled = state == Done })
		b.applyEffects(order[1], true)
		b.deliverAll(order[0])
		for range 4 { // the third is asked where the first does not answer
			b.now += 0.05
			b.servers[order[1]].Tick(b.now)
			b.applyEffects(order[1], true)
			b.deliverAll(order[0])
		}
		if !granted || !settled {
			t.Fatalf("seed %d: granted %v, settled %v", seed, granted, settled)
		}
		b.now += 1
		b.servers[order[0]].Claim(b.now, &meshpb.Claim{Key: "k", Token: 5}, func(state uint32, _ *meshpb.Receipt) { told = state })
		b.applyEffects(order[0], true)
		b.deliverAll("")
		for range 6 { // a ballot that is refused is followed by a newer one
			b.now += 0.05
			b.servers[order[0]].Tick(b.now)
			b.applyEffects(order[0], true)
			b.deliverAll("")
		}
		if told != Done {
			t.Errorf("seed %d: a repeat is told state %d, want %d", seed, told, Done)
		}
	}
}
