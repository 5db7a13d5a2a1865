package simulation

import (
	"fmt"
	"testing"
)

// newSlowCluster returns a cluster whose hosts take extraSeconds longer for each request than usual.
func newSlowCluster(t *testing.T, seed uint64, extraSeconds float64) *World {
	t.Helper()
	w := New(seed, 3, Host{"shop", "a"}, Host{"shop", "b"}, Host{"till", "a"}, Host{"till", "b"})
	applyFirstConfig(t, seed, w)
	for _, s := range w.Proxies {
		s.instance.extraSeconds = extraSeconds
	}
	return w
}

// checkNoViolations fails the test for each violation.
func checkNoViolations(t *testing.T, seed uint64, w *World) {
	t.Helper()
	for _, violation := range w.Checker.Violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// Hosts lose responses about 0.55 s after the start of a request, so proxies retry at a second host. They must not retry for
// a client that has disconnected.
func TestNothingIsSentForClientsThatLeft(t *testing.T) {
	for seed := range uint64(8) {
		w := newSlowCluster(t, seed, 0.55)
		for _, s := range w.Proxies[:2] {
			s.LoseResponses(0.5)
		}
		for i := range 60 {
			w.After(0.1*float64(i), func() { w.RequestAndDisconnect(w.Proxies[i%4], "/read/x", "", 0.02+0.01*float64(i%7)) })
		}
		w.Run(9)
		if w.Checker.Disconnected < 50 {
			t.Errorf("seed %d: %d of 60 clients disconnected, want at least 50", seed, w.Checker.Disconnected)
		}
		checkNoViolations(t, seed, w)
	}
}

// The hosts are overloaded. Requests of disconnected clients that are queued at the proxies are not started, those that run are
// aborted, and the remaining clients are served instead.
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
			t.Errorf("seed %d: %d of %d remaining clients are served", seed, n, len(w.Proxies))
		}
		checkNoViolations(t, seed, w)
	}
}

// An operation continues when its client disconnects. A repeat with the same key gets the response of the single run.
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

// The checker must report GONE when hosts fail and proxies are not told about disconnected clients.
func TestCheckerFindsWorkForClientsThatLeft(t *testing.T) {
	found := 0
	for seed := range uint64(3) {
		w := newCluster(t, seed, 3)
		w.IgnoreDisconnects = true
		for _, s := range w.Proxies {
			s.LoseResponses(0.3)
			s.instance.extraSeconds = 0.7
		}
		startTraffic(w, 6)
		w.Run(8)
		found += violationsByRule(w)["GONE"]
	}
	if found == 0 {
		t.Error("no violation was found")
	}
	t.Logf("%d violations found", found)
}

// The checker must report DENIED when repeats get status 409, in progress, more than a second after the response.
func TestCheckerFindsRepeatsDenied(t *testing.T) {
	w := newCluster(t, 1, 3)
	w.DropSettles = true
	startTraffic(w, 6)
	w.Run(8)
	found := violationsByRule(w)["DENIED"]
	if found == 0 {
		t.Error("no violation was found")
	}
	t.Logf("%d violations found", found)
}
