package invariant

import "testing"

// What holds counts for nothing; each violation is counted by its name and told.
func TestChecks(t *testing.T) {
	told := 0
	c := Checks{Violated: func(Name, ...any) { told++ }}
	c.Check(BallotUnique, true)
	c.Check(BallotUnique, false, "key", "k")
	c.Check(BallotUnique, false, "key", "k")
	c.Check(PromiseKept, false)
	if got := c.Counts(); len(got) != 2 || got[BallotUnique] != 2 || got[PromiseKept] != 1 || told != 3 {
		t.Errorf("counted %v, told %d", got, told)
	}
}
