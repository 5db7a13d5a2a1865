package register

import (
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
)

// deliverAllBetween delivers, in order and without loss, the messages between the named servers, until none is left and all
// disks are synced. All other messages are lost.
func (c *modelCluster) deliverAllBetween(addresses ...string) {
	for len(c.network) > 0 || slices.ContainsFunc(c.servers, func(s *modelServer) bool { return s.up && s.syncing }) {
		for _, s := range c.servers {
			if s.up && s.syncing {
				s.finishSync()
			}
		}
		if len(c.network) == 0 {
			continue
		}
		m := c.network[0]
		c.network = c.network[1:]
		if slices.Contains(addresses, m.from.Address) && slices.Contains(addresses, m.to) {
			c.byAddress[m.to].handle(m)
			c.byAddress[m.to].collectEffects()
		}
	}
}

// runFor repeats deliverAllBetween for a while, with ticks in between.
func (c *modelCluster) runFor(addresses ...string) {
	for range 6 {
		c.deliverAllBetween(addresses...)
		c.now += 0.1
		for _, s := range c.servers {
			s.registers.Tick(c.now)
			s.collectEffects()
		}
	}
}

// write changes a register at a server that reaches the named servers. It returns the version in the answer; 0: there was no
// answer.
func (c *modelCluster) write(at, key, body string, reach ...string) (version uint64) {
	s := c.byAddress[at]
	s.registers.Update(c.now, key, func([]byte) []byte { return []byte(body) }, func(answered uint64, _ []byte, ok bool) {
		if ok {
			version = answered
		}
	})
	s.collectEffects()
	c.runFor(reach...)
	return version
}

// read reads a register at a server that reaches the named servers.
func (c *modelCluster) read(at, key string, reach ...string) (version uint64, body string) {
	s := c.byAddress[at]
	s.registers.Update(c.now, key, func([]byte) []byte { return nil }, func(answered uint64, held []byte, ok bool) {
		if ok {
			version, body = answered, string(held)
		}
	})
	s.collectEffects()
	c.runFor(reach...)
	return version, body
}

// exchange takes a mesh of three servers from its founding view to the next stable view, in which a joiner has replaced a
// leaver.
func (c *modelCluster) exchange(t *testing.T, at, joiner, leaver string) {
	t.Helper()
	all := []string{"s0", "s1", "s2", "s3"}
	s, j := c.byAddress[at], c.byAddress[joiner]
	s.changeView(s.view.Join(j.self, c.byAddress[leaver].self))
	c.deliverAllBetween(all...)
	j.requestState()
	j.collectEffects()
	c.deliverAllBetween(all...)
	s.changeView(s.view.Complete())
	c.deliverAllBetween(all...)
	if s.view.Epoch != 3 || !j.registers.Voting() {
		t.Fatalf("epoch %d, joiner votes: %v", s.view.Epoch, j.registers.Voting())
	}
}

// A permanent register is changed while its next home is unreachable, and its first home then leaves the view. However long ago
// the change was, the next home must not start from an empty register without a prepare phase.
func TestHomeOfALaterEpochDoesNotBeginAnew(t *testing.T) {
	tried := 0
	for seed := range uint64(40) {
		c := newModelCluster(seed, 3, 1, noFault)
		key := modelRegister(int(seed))
		order := HomeOrder(key, []string{"s0", "s1", "s2"})
		leaver, home, third := order[0], order[1], order[2]
		if HomeOrder(key, []string{home, third, "s3"})[0] != home {
			continue
		}
		tried++
		if version := c.write(leaver, key, "old", leaver, third); version != 1 {
			t.Fatalf("seed %d: version %d", seed, version)
		}
		c.exchange(t, third, "s3", leaver)
		c.now += 1000
		if version := c.write(home, key, "new", "s0", "s1", "s2", "s3"); version != 2 {
			t.Fatalf("seed %d: the change after version 1 has version %d", seed, version)
		}
	}
	if tried == 0 {
		t.Fatal("no seed gave a key with the required homes")
	}
}

// A joiner's copy of a value is not a vote for it. Two changes were each accepted by one member only, and the joiner copied the
// older one. Two members of the new view then hold the same value, but this does not show that a quorum accepted it: the other
// change may still be chosen.
func TestCopyIsNoVote(t *testing.T) {
	c := newModelCluster(1, 3, 1, noFault)
	key := modelRegister(0)
	acceptAt := func(at string, round uint32, body string) {
		s := c.byAddress[at]
		s.registers.accept(c.now, &meshpb.Accept{Key: key, Ballot: Ballot{1, round, s.registers.node, s.life}.Wire(),
			Value: &meshpb.Receipt{Token: 1, State: Stored, Body: []byte(body)}})
		s.collectEffects()
		c.deliverAllBetween()
	}
	acceptAt("s0", 2, "a") // at a ballot promised by s0 and s2
	acceptAt("s1", 3, "b") // at a ballot promised by s1 and s2: s2 had accepted nothing
	joiner, leaver := c.byAddress["s3"].self, c.byAddress["s2"].self
	joint := c.byAddress["s0"].view.Join(joiner, leaver)
	for _, s := range c.servers {
		s.adopt(joint)
		s.collectEffects()
	}
	c.byAddress["s3"].requestState()
	c.byAddress["s3"].collectEffects()
	c.deliverAllBetween("s0", "s2", "s3")
	for _, s := range c.servers {
		s.adopt(joint.Complete())
		s.collectEffects()
	}
	c.deliverAllBetween()
	version, body := c.read("s0", key, "s0", "s3")
	laterVersion, laterBody := c.read("s1", key, "s1", "s3")
	if version == laterVersion && body != laterBody || laterVersion < version {
		t.Fatalf("read version %d %q, then version %d %q", version, body, laterVersion, laterBody)
	}
	if version != 1 || laterVersion != 1 {
		t.Fatalf("read versions %d and %d, want 1 for both: the scenario was not reached", version, laterVersion)
	}
}

// A server that missed the end of a run asks the other members before it answers that the result is unknown.
func TestStaleClaimIsAskedAbout(t *testing.T) {
	c := newModelCluster(1, 3, 0, noFault)
	key := modelOperation(0)
	order := HomeOrder(key, []string{"s0", "s1", "s2"})
	holder, other, stale := order[0], order[1], order[2]
	all := []string{"s0", "s1", "s2"}
	state := Free
	setState := func(answer State, _ *meshpb.Receipt) { state = answer }
	c.byAddress[stale].registers.Claim(c.now, &meshpb.Claim{Key: key, Token: 1}, setState)
	c.byAddress[stale].collectEffects()
	c.runFor(all...)
	c.byAddress[holder].registers.Settle(c.now, key, &meshpb.Receipt{Token: 1, State: Done}, false, setState)
	c.byAddress[holder].collectEffects()
	c.runFor(holder, other)
	if state != Done {
		t.Fatalf("settled as %s", modelStateName(state))
	}
	c.now += claimHolderTimeout + 1
	c.byAddress[stale].registers.Claim(c.now, &meshpb.Claim{Key: key, Token: 2}, setState)
	c.byAddress[stale].collectEffects()
	c.runFor(all...)
	if state != Done {
		t.Fatalf("the claim is answered %s although the run's answer was recorded", modelStateName(state))
	}
}

// The end of a run first reaches only one disk, and its messages are sent again later. The end must not be reported as recorded
// before a quorum has it.
func TestRecordedMeansAQuorumHasIt(t *testing.T) {
	c := newModelCluster(1, 3, 0, noFault)
	key := modelOperation(0)
	order := HomeOrder(key, []string{"s0", "s1", "s2"})
	holder, first, second := order[0], order[1], order[2]
	state := Free
	setState := func(answer State, _ *meshpb.Receipt) { state = answer }
	c.byAddress[holder].registers.Claim(c.now, &meshpb.Claim{Key: key, Token: 1}, setState)
	c.byAddress[holder].collectEffects()
	c.runFor("s0", "s1", "s2")
	c.byAddress[holder].registers.Settle(c.now, key, &meshpb.Receipt{Token: 1, State: Done}, false, setState)
	c.byAddress[holder].collectEffects()
	c.deliverAllBetween()
	c.runFor(holder, first)
	if state != Done {
		t.Fatalf("settled as %s", modelStateName(state))
	}
	c.now += claimHolderTimeout + 1
	c.byAddress[second].registers.Claim(c.now, &meshpb.Claim{Key: key, Token: 2}, setState)
	c.byAddress[second].collectEffects()
	c.runFor(first, second)
	if state != Done {
		t.Fatalf("the other members answer %s although the run's answer was recorded", modelStateName(state))
	}
}
