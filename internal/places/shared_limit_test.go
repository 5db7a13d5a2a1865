package places

import (
	"testing"

	"pgregory.net/rapid"
)

// TestShares checks with random claims that both sides together never hold more than the total, that each gets its reserved
// part whatever the other does, that a limit never falls below what is held, and that a side whose claim is refused finds
// the other with a surplus.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserved := [sideCount]int{rapid.IntRange(0, 20).Draw(t, "clients"), rapid.IntRange(0, 20).Draw(t, "hosts")}
		total := reserved[ClientSide] + reserved[HostSide] + rapid.IntRange(0, 20).Draw(t, "shared")
		limit := NewSharedLimit(total, reserved[ClientSide], reserved[HostSide])
		held := [sideCount]int{}
		drawSide := func(t *rapid.T) Side { return Side(rapid.IntRange(0, 1).Draw(t, "side")) }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				side := drawSide(t)
				if allowed := limit.Claim(side, held[side]+1); allowed > held[side] {
					held[side]++
				} else if held[side] < reserved[side] {
					t.Fatalf("side %v holds %d connections, has %d reserved, and was refused another",
						side, held[side], reserved[side])
				} else if o := side.other(); held[o] > reserved[o] && limit.Surplus(o) != held[o]-reserved[o] {
					t.Fatalf("the other side holds %d connections, has %d reserved, and its surplus is %d",
						held[o], reserved[o], limit.Surplus(o))
				}
			},
			"close": func(t *rapid.T) {
				if side := drawSide(t); held[side] > 0 {
					held[side]--
					limit.Claim(side, held[side])
				}
			},
			"": func(t *rapid.T) {
				if held[ClientSide]+held[HostSide] > total {
					t.Fatalf("the sides hold %v connections, above the total of %d", held, total)
				}
				for side := range sideCount {
					if limit.Limit(side) < held[side] || limit.Limit(side) > limit.MaxLimit(side) || limit.held[side] != held[side] {
						t.Fatalf("side %v: limit %d, %d connections held", side, limit.Limit(side), held[side])
					}
				}
			},
		})
	})
}
