package places

import (
	"testing"

	"pgregory.net/rapid"
)

// TestShares: both sides together never hold more than there is, each gets its own part whatever the other does, a limit
// never falls under what is held, and what one owes is what the other needs.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		least := [sides]int{rapid.IntRange(0, 20).Draw(t, "callers"), rapid.IntRange(0, 20).Draw(t, "nodes")}
		total := least[ClientSide] + least[HostSide] + rapid.IntRange(0, 20).Draw(t, "lent")
		s := NewSharedLimit(total, least[ClientSide], least[HostSide])
		held := [sides]int{}
		side := func(t *rapid.T) Side { return Side(rapid.IntRange(0, 1).Draw(t, "side")) }
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				x := side(t)
				if limit := s.Claim(x, held[x]+1); limit > held[x] {
					held[x]++
				} else if held[x] < least[x] {
					t.Fatalf("%v holds %d of its %d and gets no more", x, held[x], least[x])
				} else if o := x.other(); held[o] > least[o] && s.Surplus(o) != held[o]-least[o] {
					t.Fatalf("the other holds %d, %d its own, and owes %d", held[o], least[o], s.Surplus(o))
				}
			},
			"give": func(t *rapid.T) {
				if x := side(t); held[x] > 0 {
					held[x]--
					s.Claim(x, held[x])
				}
			},
			"": func(t *rapid.T) {
				if held[ClientSide]+held[HostSide] > total {
					t.Fatalf("%v held of %d", held, total)
				}
				for x := range sides {
					if s.Limit(x) < held[x] || s.Limit(x) > s.MaxLimit(x) || s.held[x] != held[x] {
						t.Fatalf("%v: limit %d, %d held", x, s.Limit(x), held[x])
					}
				}
			},
		})
	})
}
