package control

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/view"
)

// Members are lost for good and standbys replace them. Each replacement takes one joint view and one stable view.
func TestExchangeTakesTwoViews(t *testing.T) {
	for seed := range uint64(20) {
		c := newModelCluster(seed, 1, 2)
		c.run(2)
		for i, joiner := range []string{"s3", "s4"} {
			c.machines[(int(seed)+i)%3].powerOff()
			c.run(10)
			v, want := c.newest(), uint64(3+2*i)
			if v.Epoch != want || v.Joint() || !v.Has(viewMember(c.byName[joiner])) {
				t.Fatalf("seed %d: after replacement %d: %v", seed, i+1, v)
			}
		}
	}
}

// The joiner's message that it has read everything may be overtaken by an older one. The joiner repeats the message and must not
// be abandoned.
func TestJoinerIsNotAbandoned(t *testing.T) {
	for seed := range uint64(20) {
		c := newModelCluster(seed, 1, 1)
		c.run(2)
		c.machines[seed%3].powerOff()
		c.run(10)
		if v := c.newest(); v.Epoch != 3 || !v.Has(viewMember(c.byName["s3"])) {
			t.Fatalf("seed %d: %v", seed, v)
		}
	}
}

// One member has lost its disk, another is leaving, and the standby that is to replace the leaving one is lost. The mesh must
// recover.
func TestLeaverWaitsForALostMember(t *testing.T) {
	for seed := range uint64(20) {
		c := newModelCluster(seed, 1, 1)
		c.run(2)
		lost, leaver := c.machines[seed%3], c.machines[(seed+1)%3]
		lost.powerOff()
		lost.wipe()
		c.run(contactTimeout + 0.1) // long enough to count as unreachable, but not as silent
		leaver.server.Leave(c.now)
		leaver.work()
		joiner := c.byName["s3"]
		for until := c.now + 5; c.now < until && !c.newest().Joint(); {
			c.run(modelTick)
		}
		joiner.powerOff()
		joiner.wipe()
		c.run(4)
		lost.start()
		c.run(10)
		if v := c.newest(); v.Joint() || c.countLost(v.Members) > 0 {
			t.Fatalf("seed %d: %v, %d members lost", seed, v, c.countLost(v.Members))
		}
	}
}

// A joint view is accepted by its coordinator only, or is chosen. Then a member and the joiner lose their disks, so the joint
// view has no majority of its new members any more. The old members must abandon it and admit another server.
func TestJointViewWithoutItsNewMembersIsLeft(t *testing.T) {
	for _, chosen := range []bool{false, true} {
		for seed := range uint64(20) {
			c := newModelCluster(seed, 1, 2)
			c.run(2)
			silent := c.machines[seed%3]
			coordinator, joiner := proposeExchange(c, silent, chosen)
			if coordinator == nil {
				t.Fatalf("seed %d: no server proposed a joint view", seed)
			}
			silent.start()
			for _, m := range c.machines[:3] {
				if m != coordinator && m != silent {
					m.powerOff()
					m.wipe()
				}
			}
			joiner.powerOff()
			joiner.wipe()
			c.dropMessage = func(string, string, *meshpb.Message) bool { return false }
			c.run(2)
			for _, m := range c.machines {
				if !m.up {
					m.start()
				}
			}
			c.run(10)
			if v := c.newest(); v.Joint() || c.countLost(v.Members) > 0 {
				t.Fatalf("seed %d, chosen %v: %v, %d members lost", seed, chosen, v, c.countLost(v.Members))
			}
		}
	}
}

// proposeExchange stops a member and waits until its replacement is proposed. It returns the proposer and the joiner. If chosen
// is false, the proposal is lost on its way to the others.
func proposeExchange(c *modelCluster, silent *modelMachine, chosen bool) (coordinator, joiner *modelMachine) {
	c.dropMessage = func(from, _ string, m *meshpb.Message) bool {
		if m.Accept.GetKey() != register.ViewKey {
			return false
		}
		if next, err := view.Decode(m.Accept.Value.GetBody()); err == nil && next.Joint() && coordinator == nil {
			entering, _ := next.Joiner()
			coordinator, joiner = c.byName[from], c.byName[entering.Address]
		}
		return !chosen
	}
	silent.powerOff()
	for until := c.now + 8; c.now < until && (coordinator == nil || chosen && !c.newest().Joint()); {
		c.run(modelTick)
	}
	if !chosen {
		c.run(0.1) // until the coordinator's own disk has accepted the proposal
	}
	return coordinator, joiner
}

// An earlier proposal of a joint view is chosen late, when its joiner has another disk. No server must wait for that joiner.
func TestOldProposalIsAbandonedAtOnce(t *testing.T) {
	const atOnce = 0.5
	found := 0
	for seed := range uint64(20) {
		c := newModelCluster(seed, 1, 2)
		c.run(2)
		silent := c.machines[seed%3]
		_, joiner := proposeExchange(c, silent, false)
		old := viewMember(joiner)
		joiner.powerOff()
		joiner.wipe()
		silent.start()
		joiner.start()
		c.dropMessage = func(string, string, *meshpb.Message) bool { return false }
		var since float64
		for until := c.now + 8; c.now < until; {
			c.run(modelTick)
			waits := false
			for _, m := range c.machines {
				entering, joint := m.server.view().Joiner()
				waits = waits || m.up && joint && entering == old && m.server.isCoordinator(c.now)
			}
			switch {
			case !waits:
				since = 0
			case since == 0:
				since = c.now
				found++
			case c.now > since+atOnce:
				t.Fatalf("seed %d: the coordinator waits for joiner %v, whose disk is lost", seed, old)
			}
		}
		if v := c.newest(); v.Joint() || c.countLost(v.Members) > 0 {
			t.Fatalf("seed %d: %v", seed, v)
		}
	}
	if found == 0 {
		t.Fatal("no old proposal was chosen, so nothing was tested")
	}
}

// A damaged disk or message may contain a view that no sequence of changes can produce. Such a view must not be adopted.
func TestImpossibleViewIsRefused(t *testing.T) {
	c := newModelCluster(1, 1, 0)
	c.run(2)
	m, before := c.machines[0], c.newest()
	for name, v := range map[string]view.View{
		"without members":     {Mesh: before.Mesh, Epoch: 9},
		"without old members": {Mesh: before.Mesh, Epoch: 9, Next: before.Members},
		"an address twice":    {Mesh: before.Mesh, Epoch: 9, Members: append(before.Members[:2:2], before.Members[0])},
	} {
		m.server.HandleMessage(c.now, "s1", &meshpb.Message{View: v.Wire(), Epoch: 9, Incarnation: before.Members[1].Incarnation})
		m.work()
		if got := m.server.view(); !got.Equal(before) {
			t.Errorf("%s: adopted %v", name, got)
		}
	}
}
