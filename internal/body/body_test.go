package body

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOf: each length has one way, and the bounds fall on the right side.
func TestOf(t *testing.T) {
	for length, want := range map[int64]Way{-1: Open, 0: Whole, Kept: Whole, Kept + 1: Pieces, 32 << 20: Pieces, Longest: Pieces,
		Longest + 1: Refusing, 60e6: Refusing, 3e9: Refusing} {
		if got := Of(length); got != want {
			t.Errorf("%d bytes: way %d, want %d", length, got, want)
		}
	}
}

// TestPace: who keeps up the rate after a silent grace is never cut off, whatever the size of the pieces; who stops is, and
// after a time that what has come bounds.
func TestPace(t *testing.T) {
	p := Pace{Grace: 2 * time.Second, Rate: 48e3}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(48e3, 1e6).Draw(t, "bytes a second")
		piece := rapid.Int64Range(1, 90e3).Draw(t, "piece") // 90 kB take the slowest less than the grace
		for n := int64(0); n < 50; n++ {
			due := time.Duration(float64((n+1)*piece) / rate * float64(time.Second))
			if due > p.Limit(n*piece) {
				t.Fatalf("piece %d comes after %v, cut off after %v", n, due, p.Limit(n*piece))
			}
		}
	})
	if p.Limit(0) != p.Grace || p.Limit(48e3) != p.Grace+time.Second {
		t.Errorf("limits %v, %v", p.Limit(0), p.Limit(48e3))
	}
}

// TestBinding: of attempts that race for the rest of a body one has it, for good.
func TestBinding(t *testing.T) {
	var b Binding
	var had atomic.Int64
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			first, again := b.Take(n), b.Take(n)
			if first != again {
				t.Errorf("attempt %d: %v, then %v", n, first, again)
			}
			if first {
				had.Add(1)
			}
		})
	}
	wg.Wait()
	if had.Load() != 1 || !b.Bound() {
		t.Errorf("%d attempts had the rest", had.Load())
	}
}
