package control

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
)

// claimCounter observes the ballots and results of claims.
type claimCounter struct {
	prepared map[string]bool
	states   map[uint64]register.State // by token
}

// observeClaims counts claims in all messages of a cluster.
func observeClaims(c *modelCluster) *claimCounter {
	n := &claimCounter{prepared: map[string]bool{}, states: map[uint64]register.State{}}
	c.dropMessage = func(_, to string, m *meshpb.Message) bool {
		if m.Prepare != nil {
			n.prepared[m.Prepare.Key] = true
		}
		if m.Claimed != nil && to == "proxy" {
			n.states[m.Claimed.Token] = m.Claimed.State
		}
		return false
	}
	return n
}

// claim sends a claim of a key to the home of the key.
func claim(c *modelCluster, key string, token uint64) {
	home := c.byName[register.HomeOrder(key, c.newest().Addresses())[0]]
	home.server.HandleMessage(c.now, "proxy", &meshpb.Message{Id: token,
		Claim: &meshpb.Claim{Key: key, Token: token, Attempt: 1}})
	home.work()
}

// A member is replaced by one at another address, twice. Within 4 s of each change, claims of new keys take one round trip. Keys
// claimed before the change must be prepared, or a second claimant could get them.
func TestClaimsTakeOneRoundTripAfterAChange(t *testing.T) {
	const keys, catchUp = 60, 4.0
	for seed := range uint64(10) {
		c := newModelCluster(seed, 1, 2)
		c.run(2)
		var before []string
		token := uint64(0)
		for change := range 3 {
			if change > 0 {
				c.byName[c.newest().Members[int(seed)%3].Address].powerOff()
				for until := c.now + 10; c.now < until && (c.newest().Epoch != uint64(1+2*change)); {
					c.run(modelTick)
				}
				c.run(catchUp)
			}
			n := observeClaims(c)
			for i := range keys {
				key := fmt.Sprintf("key %d of change %d", i, change)
				token++
				claim(c, key, token)
				before = append(before, key)
			}
			c.run(0.5)
			if len(n.prepared) > 0 {
				t.Fatalf("seed %d, change %d: %d of %d new keys were prepared", seed, change, len(n.prepared), keys)
			}
			for i := range keys {
				if state := n.states[token-uint64(i)]; state != register.Claimed {
					t.Fatalf("seed %d, change %d: the claim of a new key ended in state %d", seed, change, state)
				}
			}
		}
		n := observeClaims(c)
		for i, key := range before {
			claim(c, key, uint64(10_000+i))
		}
		c.run(0.5)
		for i, key := range before {
			if state := n.states[uint64(10_000+i)]; state == register.Claimed {
				t.Fatalf("seed %d: %q was claimed a second time", seed, key)
			}
		}
	}
}

// The answers to a home take eight bytes for each key whose home it has become.
func TestCostOfHomedKeys(t *testing.T) {
	const keys = 30_000
	c := newModelCluster(1, 2, 1)
	c.run(2)
	for _, m := range c.machines[:5] {
		page := make([]*meshpb.Entry, 0, keys)
		for i := range keys {
			page = append(page, &meshpb.Entry{Key: fmt.Sprintf("operation %d", i),
				Promised: &meshpb.Ballot{Epoch: 1, Round: 1, Node: 2},
				Accepted: &meshpb.Ballot{Epoch: 1, Round: 1, Node: 1, Life: 7},
				Value:    &meshpb.Receipt{State: register.Claimed, Token: uint64(i + 1)}})
		}
		m.server.registers.Merge(c.now, page)
		m.work()
	}
	bytes, messages := 0, 0
	c.dropMessage = func(_, _ string, m *meshpb.Message) bool {
		if m.Homed != nil {
			bytes += len(m.Homed.Hashes) * 8
			messages++
		}
		return false
	}
	c.machines[2].powerOff()
	c.run(15)
	v := c.newest()
	if v.Joint() || v.Epoch != 3 {
		t.Fatalf("the lost member was not replaced: %v", v)
	}
	for _, member := range v.Members {
		if m := c.byName[member.Address]; m.up && !m.server.registers.KnowsHomedKeys() {
			t.Errorf("%s does not know the keys whose home it is", member.Address)
		}
	}
	if most := keys * 8 * (v.Majority() - 1) * 11 / 10; bytes > most || messages > 100 {
		t.Errorf("%d bytes in %d messages, at most %d", bytes, messages, most)
	}
	t.Logf("%d live keys, 5 members: %d bytes in %d messages in total", keys, bytes, messages)
}

// Every answer takes longer than the time after which a request is repeated. The reading of homed keys ends all the same.
func TestSlowAnswersEndTheReadingOfHomedKeys(t *testing.T) {
	const answerSeconds, readSeconds = 0.7, 4.0
	c := newModelCluster(1, 1, 1)
	c.run(2)
	requests := 0
	c.dropMessage = func(from, to string, m *meshpb.Message) bool {
		if m.HomedRequest != nil {
			requests++
		}
		if m.Homed == nil {
			return false
		}
		c.after(answerSeconds, func() { c.deliver(from, to, m) })
		return true
	}
	c.machines[2].powerOff()
	for until := c.now + 10; c.now < until && c.newest().Epoch != 3; {
		c.run(modelTick)
	}
	c.run(readSeconds)
	for _, member := range c.newest().Members {
		if m := c.byName[member.Address]; !m.server.registers.KnowsHomedKeys() {
			t.Errorf("%s does not know the keys whose home it is", member.Address)
		}
	}
	if most := 3 * 2 * 3; requests > most { // three members ask two others, twice at most after the first time
		t.Errorf("%d requests, want at most %d", requests, most)
	}
}
