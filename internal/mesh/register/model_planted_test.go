package register

import "testing"

// Every planted fault is found by the random exploration. Which of its consequences comes first is up to the seed.
func TestModelFindsPlantedFaults(t *testing.T) {
	for _, planted := range []struct {
		name  string
		fault plantedFault
	}{
		{"votes that do not look at the content", contentBlindVote},
		{"votes of another epoch", otherEpochVote},
		{"a joiner votes before it has caught up", earlyJoinerVote},
		{"a leaver's values are dropped", leaverDropped},
		{"the fast path on a value that was not chosen", unchosenFastPath},
		{"a wiped disk votes as the member that it was", wipedMemberVotes},
		{"a home does not know which keys were chosen without it", homedUntold},
	} {
		t.Run(planted.name, func(t *testing.T) {
			broken, seed := findPlanted(planted.fault)
			if broken == nil {
				t.Fatalf("not found in %d seeds", plantedSeeds)
			}
			t.Logf("seed %d: %v", seed, broken)
		})
	}
}

func findPlanted(fault plantedFault) (broken *violation, seed uint64) {
	for seed := range uint64(plantedSeeds) {
		if broken := newModelRun(seed, fault).play(modelSteps); broken != nil {
			return broken, seed
		}
	}
	return nil, 0
}

// An answer to an earlier process is taken for one to the present process where ids and ballots are used again: the present
// change then counts as accepted by a member that never heard of it.
func TestModelFindsReusedLife(t *testing.T) {
	for _, c := range []struct {
		fault plantedFault
		want  string
	}{{noFault, ""}, {reusedLife, staleVersion}} {
		if broken := answerOfAnEarlierLife(c.fault); c.want == "" && broken != nil ||
			c.want != "" && (broken == nil || broken.kind != c.want) {
			t.Errorf("fault %d: %v, want %q", c.fault, broken, c.want)
		}
	}
}

// answerOfAnEarlierLife has the home of two registers stop between a vote and its arrival, and change the other register then.
func answerOfAnEarlierLife(fault plantedFault) *violation {
	r := newModelRun(1, fault)
	home := r.byName["s0"]
	keys := keysOf(home.address, 2, "s0", "s1", "s2")
	r.update(home, keys[0], true)
	home.finishSync()
	accept := r.network[0]
	r.network = nil
	voter := r.byName[accept.to]
	voter.heard(accept)
	voter.collect()
	voter.finishSync()
	late := r.network
	r.network = nil
	home.stop(false)
	home.start()
	r.update(home, keys[1], true)
	home.finishSync()
	r.network = late
	r.pump("s0", "s1", "s2")
	for _, s := range []string{"s1", "s2"} {
		r.update(r.byName[s], keys[1], false)
		r.run("s1", "s2")
	}
	return r.history.broken
}

// keysOf are some registers whose home is a server.
func keysOf(home string, n int, servers ...string) (keys []string) {
	for i := 0; len(keys) < n; i++ {
		if key := modelRegister(i); Home(key, servers)[0] == home {
			keys = append(keys, key)
		}
	}
	return keys
}
