package simulation

import "testing"

// varySpelling makes clients write the host name in different ways.
func varySpelling(w *World) { w.VaryHostSpelling = true }

// TestOperationRunsOnceHoweverItsHostIsSpelt guards against an operation that runs again because its repeat writes the host name
// with a port or in other case.
func TestOperationRunsOnceHoweverItsHostIsSpelt(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		w := newCluster(t, seed, 3)
		varySpelling(w)
		startTraffic(w, 4)
		w.Run(9)
		checkOutcome(t, w, "calm", 0.97)
	}
}

// TestHostSpellingsUnderFaults is TestDaysOfTroubles with host names that are spelt differently.
func TestHostSpellingsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(daysFromEnv(8)) {
		playDayOfFaults(t, seed, varySpelling)
	}
}
