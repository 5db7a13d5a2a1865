package register

import "testing"

// Every planted fault is found by the random exploration. Which of its consequences comes first is up to the seed.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, planted := range []struct {
		name  string
		fault injectedFault
	}{
		{"votes that do not look at the content", versionOnlyVote},
		{"votes of another epoch", otherEpochVote},
		{"a joiner votes before it has caught up", earlyJoinerVote},
		{"a leaver's values are dropped", leaverDropped},
		{"the fast path on a value that was not chosen", unchosenFastPath},
		{"a wiped disk votes as the member that it was", wipedMemberVotes},
		{"a home does not know which keys were chosen without it", homedKeysIgnored},
	} {
		t.Run(planted.name, func(t *testing.T) {
			broken, seed := findFault(planted.fault)
			if broken == nil {
				t.Fatalf("not found in %d seeds", faultSeeds)
			}
			t.Logf("seed %d: %v", seed, broken)
		})
	}
}

func findFault(fault injectedFault) (broken *violation, seed uint64) {
	for seed := range uint64(faultSeeds) {
		if broken := newModelRun(seed, fault).run(modelSteps); broken != nil {
			return broken, seed
		}
	}
	return nil, 0
}

// An answer to an earlier process is taken for one to the present process where ids and ballots are used again: the present
// change then counts as accepted by a member that never heard of it.
func TestModelFindsReusedLife(t *testing.T) {
	for _, c := range []struct {
		fault injectedFault
		want  string
	}{{noFault, ""}, {reusedLife, staleVersion}} {
		if broken := answerToEarlierProcess(c.fault); c.want == "" && broken != nil ||
			c.want != "" && (broken == nil || broken.kind != c.want) {
			t.Errorf("fault %d: %v, want %q", c.fault, broken, c.want)
		}
	}
}

// answerOfAnEarlierLife has the home of two registers stop between a vote and its arrival, and change the other register then.
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

// keysOf are some registers whose home is a server.
func keysOf(home string, n int, servers ...string) (keys []string) {
	for i := 0; len(keys) < n; i++ {
		if key := modelRegister(i); HomeOrder(key, servers)[0] == home {
			keys = append(keys, key)
		}
	}
	return keys
}
