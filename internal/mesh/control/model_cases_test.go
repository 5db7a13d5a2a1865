package control

import "testing"

// Members are lost for good, and ones that wait take their places: each by one joint view and one stable view, and no more.
func TestExchangeTakesTwoViews(t *testing.T) {
	for seed := range uint64(20) {
		c := newModelCluster(seed, 1, 2)
		c.run(2)
		for i, joiner := range []string{"s3", "s4"} {
			c.machines[(int(seed)+i)%3].powerOff()
			c.run(10)
			v, want := c.newest(), uint64(3+2*i)
			if v.Epoch != want || v.Joint() || !v.Has(viewMember(c.byName[joiner])) {
				t.Fatalf("seed %d: after exchange %d: %v", seed, i+1, v)
			}
		}
	}
}

// The joiner's word that it has read everything is overtaken by an older one, or lost: it says so again, and is not abandoned.
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
