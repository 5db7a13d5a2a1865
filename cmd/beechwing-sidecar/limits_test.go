package main

import (
	"testing"
	"time"

	"beechwing/internal/mesh/listener"
	"beechwing/internal/mesh/routeconfig"
)

// TestHugeLimitsAreNoTinyOnes guards against a timeout that is accepted as huge and wraps to one that has passed: every
// connection would end at once.
func TestHugeLimitsAreNoTinyOnes(t *testing.T) {
	defaults := listener.DefaultLimits
	for milliseconds, want := range map[float64]time.Duration{0: defaults.IdleTimeout, 0.5: 500 * time.Microsecond,
		3000: 3 * time.Second, 86400000: 24 * time.Hour, 1e13: 24 * time.Hour, 1e300: 24 * time.Hour} {
		got := listenerLimits(&routeconfig.Limits{HeaderWaitMs: milliseconds, IdleWaitMs: milliseconds})
		if got.IdleTimeout != want || milliseconds > 0 && got.HeadTimeout != want {
			t.Errorf("%v ms: %v and %v, want %v", milliseconds, got.HeadTimeout, got.IdleTimeout, want)
		}
	}
	if got := listenerLimits(nil); got != defaults {
		t.Errorf("without a configuration: %+v", got)
	}
}
