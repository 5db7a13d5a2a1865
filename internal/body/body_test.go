package body

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOf checks the mode for lengths around each limit.
func TestOf(t *testing.T) {
	for length, want := range map[int64]Mode{-1: UnknownLength, 0: Buffered, MaxBuffered: Buffered, MaxBuffered + 1: Streamed,
		32 << 20: Streamed, MaxLength: Streamed, MaxLength + 1: Rejected, 60e6: Rejected, 3e9: Rejected} {
		if got := ModeOf(length); got != want {
			t.Errorf("%d bytes: mode %d, want %d", length, got, want)
		}
	}
}

// TestPace checks that a sender which keeps the minimum rate is never cut off, whatever the size of its pieces, and that a sender
// which stops is cut off after a time that depends on the bytes received.
func TestPace(t *testing.T) {
	p := Pace{Grace: 2 * time.Second, Rate: 48e3}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(48e3, 1e6).Draw(t, "bytes a second")
		piece := rapid.Int64Range(1, 90e3).Draw(t, "piece") // the slowest sender needs less than the grace period for 90 kB
		for n := int64(0); n < 50; n++ {
			due := time.Duration(float64((n+1)*piece) / rate * float64(time.Second))
			if due > p.Timeout(n*piece) {
				t.Fatalf("piece %d arrives after %v, but the timeout is %v", n, due, p.Timeout(n*piece))
			}
		}
	})
	if p.Timeout(0) != p.Grace || p.Timeout(48e3) != p.Grace+time.Second {
		t.Errorf("timeouts %v, %v", p.Timeout(0), p.Timeout(48e3))
	}
}

// TestBinding checks that exactly one of several concurrent attempts gets the rest of a body, and keeps it.
func TestBinding(t *testing.T) {
	var b Binding
	var winners atomic.Int64
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			first, again := b.Bind(n), b.Bind(n)
			if first != again {
				t.Errorf("attempt %d: %v, then %v", n, first, again)
			}
			if first {
				winners.Add(1)
			}
		})
	}
	wg.Wait()
	if winners.Load() != 1 || !b.Bound() {
		t.Errorf("%d attempts got the rest of the body", winners.Load())
	}
}
