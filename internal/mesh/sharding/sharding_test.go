package sharding

import (
	"fmt"
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
)

func members(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("10.1.0.%d:7620", i+8))
	}
	return all
}

// No member holds many more ranges than the mean, and neighbouring ranges have different holders.
func TestLoadsAreBounded(t *testing.T) {
	for _, n := range []int{1, 2, 7, 30, 73, 300} {
		table := NewTable(&meshpb.Assignment{Members: members(n)})
		mean, spread := float64(Ranges)/float64(n), 0
		for _, m := range table.Members {
			if held := float64(len(table.HeldBy(m))); held > maxLoadFactor*mean+1 {
				t.Errorf("%d members: %s holds %.0f ranges, the mean is %.1f", n, m, held, mean)
			}
		}
		for r := range Range(Ranges - 1) {
			if table.Holder(r) != table.Holder(r+1) {
				spread++
			}
		}
		if want := Ranges * (n - 1) / n * 8 / 10; spread < want {
			t.Errorf("%d members: %d pairs of neighbouring ranges have different holders, want at least %d", n, spread, want)
		}
	}
}

// The loss of a member moves its ranges and few others.
func TestFewRangesMove(t *testing.T) {
	for _, n := range []int{4, 30, 73} {
		all := members(n)
		maxMoved := 0
		for i := range all {
			table := NewTable(&meshpb.Assignment{Previous: all, Members: slices.Delete(slices.Clone(all), i, i+1)})
			moved := 0
			for r := range Range(Ranges) {
				if table.PreviousHolder(r) != table.Holder(r) {
					moved++
				}
			}
			maxMoved = max(maxMoved, moved)
		}
		share := float64(maxMoved) * float64(n) / Ranges
		t.Logf("%d members: at most %.2f times the mean load of a member moves", n, share)
		if share > 2 {
			t.Errorf("%d members: %d ranges move, %.2f times the mean load of a member", n, maxMoved, share)
		}
	}
}

// A range is unavailable until its previous holder is cleared. A range that keeps its holder is available at once.
func TestRangesWaitForTheirFormerHolder(t *testing.T) {
	all := members(5)
	a := &meshpb.Assignment{Epoch: 2, Previous: all[:4], Members: all[1:]}
	table := NewTable(a)
	if waiting := table.AwaitedMembers(); !slices.Contains(waiting, all[0]) {
		t.Fatalf("awaited members are %v, want them to include %s, which left", waiting, all[0])
	}
	if held, lost := NewTable(&meshpb.Assignment{Members: all[:4]}).HeldBy(all[0]),
		table.LostBy(all[0]); !slices.Equal(held, lost) {
		t.Errorf("the member that left held %d ranges and loses %d", len(held), len(lost))
	}
	for r := range Range(Ranges) {
		if want := table.PreviousHolder(r) == table.Holder(r); table.Available(r) != want {
			t.Fatalf("range %d of %s, previously of %s: available %v", r, table.Holder(r), table.PreviousHolder(r),
				table.Available(r))
		}
	}
	a.Cleared = table.AwaitedMembers()
	if waiting := NewTable(a).AwaitedMembers(); len(waiting) > 0 {
		t.Errorf("awaited members are %v although all are cleared", waiting)
	}
}

func TestParseKey(t *testing.T) {
	for text, want := range map[string]int{"0": 0, "65535": 65535, "65536": -1, "-1": -1, "": -1, "7x": -1, " 7": -1} {
		if key, ok := ParseKey(text); ok != (want >= 0) || ok && key != want {
			t.Errorf("ParseKey(%q) = %d, %v", text, key, ok)
		}
	}
	if r := RangeOf(65535); r != Ranges-1 || r.Last() != 65535 || Range(0).First() != 0 {
		t.Error("the ranges do not cover the keys")
	}
}
