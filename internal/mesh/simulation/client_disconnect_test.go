package simulation

import (
	"fmt"
	"testing"
)

// impatient is a cluster whose hosts take so many seconds more for each run than they would.
func newSlowCluster(t *testing.T, seed uint64, extraSeconds float64) *World {
	t.Helper()
	w := New(seed, 3, Host{"shop", "a"}, Host{"shop", "b"}, Host{"till", "a"}, Host{"till", "b"})
	applyFirstConfig(t, seed, w)
	for _, s := range w.Proxies {
		s.instance.extraSeconds = extraSeconds
	}
	return w
}

// mustKeep fails the test for each broken rule.
func checkNoViolations(t *testing.T, seed uint64, w *World) {
	t.Helper()
	for _, broken := range w.Checker.Violations {
		t.Errorf("seed %d: %s", seed, broken)
	}
}

// Hosts lose answers half a second after they began, so requests go to a second host: not for a client that has left.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	for seed := range uint64(8) {
		w := newSlowCluster(t, seed, 0.55)
		for _, s := range w.Proxies[:2] {
			s.LoseAnswers(0.5)
		}
		for i := range 60 {
			w.After(0.1*float64(i), func() { w.RequestAndDisconnect(w.Proxies[i%4], "/read/x", "", 0.02+0.01*float64(i%7)) })
		}
		w.Run(9)
		if w.Checker.Disconnected < 50 {
			t.Errorf("seed %d: %d clients left, want most of 60", seed, w.Checker.Disconnected)
		}
		checkNoViolations(t, seed, w)
	}
}

// More is asked for than the hosts have room for: what waits at their proxies for a client that has left is not begun, what runs is
// broken off, and those who stay are served in its place.
func TestHostsStopForClientsThatLeft(t *testing.T) {
	for seed := range uint64(8) {
		w := newSlowCluster(t, seed, 0.9)
		for i := range 40 {
			w.After(0.05*float64(i), func() { w.RequestAndDisconnect(w.Proxies[i%4], "/read/x", "", 0.1) })
		}
		w.Run(2)
		served := w.Checker.Served
		for _, s := range w.Proxies {
			s.instance.extraSeconds = 0
			w.Request(s, "/read/x", "", 1)
		}
		w.Run(0.5)
		if n := w.Checker.Served - served; n != len(w.Proxies) {
			t.Errorf("seed %d: %d of %d who stay are served", seed, n, len(w.Proxies))
		}
		checkNoViolations(t, seed, w)
	}
}

// An operation goes on when its client leaves: whoever repeats it by its key gets the answer of the one run.
func TestOperationsOutliveTheirClients(t *testing.T) {
	for seed := range uint64(8) {
		w := newSlowCluster(t, seed, 0.3)
		for i := range 12 {
			key := fmt.Sprintf("k%d", i)
			w.After(0.2*float64(i), func() { w.RequestAndDisconnect(w.Proxies[i%4], "/pay/x", key, 0.01+0.02*float64(i)) })
			w.After(0.2*float64(i)+1.5, func() { w.Request(w.Proxies[(i+1)%4], "/pay/x", key, 3) })
		}
		w.Run(8)
		if w.Checker.Served < 12 {
			t.Errorf("seed %d: %d of 12 repeats are served", seed, w.Checker.Served)
		}
		checkNoViolations(t, seed, w)
	}
}

// The checker finds it on a day of troubles, too, where nobody hears of clients that leave.
func TestCheckerFindsWorkForClientsThatLeft(t *testing.T) {
	found := 0
	for seed := range uint64(3) {
		w := newCluster(t, seed, 3)
		w.IgnoreDisconnects = true
		for _, s := range w.Proxies {
			s.LoseAnswers(0.3)
			s.instance.extraSeconds = 0.7
		}
		startTraffic(w, 6)
		w.Run(8)
		found += violationsByRule(w)["GONE"]
	}
	if found == 0 {
		t.Error("nothing is found")
	}
	t.Logf("%d found", found)
}

// The checker finds it where repeats are told that an operation is at work, which was answered over a second before.
func TestCheckerFindsRepeatsDenied(t *testing.T) {
	w := newCluster(t, 1, 3)
	w.DropSettles = true
	startTraffic(w, 6)
	w.Run(8)
	found := violationsByRule(w)["DENIED"]
	if found == 0 {
		t.Error("nothing is found")
	}
	t.Logf("%d found", found)
}
