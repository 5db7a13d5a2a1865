package register

import "testing"

// The random exploration finds every injected fault. Which of its consequences shows first depends on the seed.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, injected := range []struct {
		name  string
		fault injectedFault
	}{
		{"a vote ignores the content of the value", versionOnlyVote},
		{"a server votes in an epoch that it has left", otherEpochVote},
		{"a joiner votes before it has caught up", earlyJoinerVote},
		{"a leaver's values are dropped", leaverDropped},
		{"the fast path on a value that was not chosen", unchosenFastPath},
		{"a wiped disk votes as the member that it was", wipedMemberVotes},
		{"a home does not know which keys were chosen without it", homedKeysIgnored},
	} {
		t.Run(injected.name, func(t *testing.T) {
			found, seed := findFault(injected.fault)
			if found == nil {
				t.Fatalf("not found in %d seeds", faultSeeds)
			}
			t.Logf("seed %d: %v", seed, found)
		})
	}
}

func findFault(fault injectedFault) (found *violation, seed uint64) {
	for seed := range uint64(faultSeeds) {
		if found := newModelRun(seed, fault).run(modelSteps); found != nil {
			return found, seed
		}
	}
	return nil, 0
}

// If a process reuses the ids and ballots of the previous process, an answer to the previous process is taken for one to the
// present process. The present change then counts as accepted by a member that never received it.
func TestModelFindsReusedLife(t *testing.T) {
	for _, c := range []struct {
		fault injectedFault
		want  string
	}{{noFault, ""}, {reusedLife, staleVersion}} {
		if found := answerToEarlierProcess(c.fault); c.want == "" && found != nil ||
			c.want != "" && (found == nil || found.kind != c.want) {
			t.Errorf("fault %d: %v, want %q", c.fault, found, c.want)
		}
	}
}

// answerToEarlierProcess stops the home of two registers after a member has voted for a change of the first and before the vote
// arrives. The home then changes the second register.
func answerToEarlierProcess(fault injectedFault) *violation {
	r := newModelRun(1, fault)
	home := r.byAddress["s0"]
	keys := keysOf(home.address, 2, "s0", "s1", "s2")
	r.update(home, keys[0], true)
	home.finishSync()
	accept := r.network[0]
	r.network = nil
	voter := r.byAddress[accept.to]
	voter.handle(accept)
	voter.collectEffects()
	voter.finishSync()
	late := r.network
	r.network = nil
	home.stop(false)
	home.start()
	r.update(home, keys[1], true)
	home.finishSync()
	r.network = late
	r.deliverAllBetween("s0", "s1", "s2")
	for _, s := range []string{"s1", "s2"} {
		r.update(r.byAddress[s], keys[1], false)
		r.runFor("s1", "s2")
	}
	return r.history.violation
}

// keysOf returns n registers whose home is the given server.
func keysOf(home string, n int, servers ...string) (keys []string) {
	for i := 0; len(keys) < n; i++ {
		if key := modelRegister(i); HomeOrder(key, servers)[0] == home {
			keys = append(keys, key)
		}
	}
	return keys
}
