package invariant

import "testing"

// An invariant that holds is not counted. Each violation is counted under its name and reported.
func TestChecks(t *testing.T) {
	reported := 0
	c := Checks{OnViolation: func(Name, ...any) { reported++ }}
	c.Check(BallotUnique, true)
	c.Check(BallotUnique, false, "key", "k")
	c.Check(BallotUnique, false, "key", "k")
	c.Check(PromiseKept, false)
	if got := c.Counts(); len(got) != 2 || got[BallotUnique] != 2 || got[PromiseKept] != 1 || reported != 3 {
		t.Errorf("counted %v, reported %d", got, reported)
	}
}
