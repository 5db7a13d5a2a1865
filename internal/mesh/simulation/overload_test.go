package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// loadedProcessor is five times slower than the processor of a control server in the deployment of incident
// sahil-muscat-grown-1. The load is a fifth of that deployment's load, so the tests simulate fewer operations.
var loadedProcessor = Processor{Message: 165e-6, Sync: 2e-3, Value: 250e-6}

const (
	loadPerSecond   = 113.0 // operations per second
	loadSeconds     = 25.0  // duration of the load before the fault
	powerOffSeconds = 1.2   // time without power
	serveSeconds    = 5.0   // time after the start within which operations are served again
)

// startRetriedOperations schedules tracked operations at a rate per second. Each is sent once more if it fails.
func startRetriedOperations(w *World, rate, seconds float64) {
	for i := range int(rate * seconds) {
		w.After(float64(i)/rate, func() {
			w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/pay/x", fmt.Sprintf("o%d-%d", w.Rand.IntN(1<<30), i), 2)
		})
	}
}

// newLoadedCluster returns a cluster of four control servers with slow processors. With four, the loss of one leaves just a
// quorum.
func newLoadedCluster(t *testing.T, seed uint64) *World {
	t.Helper()
	var hosts []Host
	for i := range 12 {
		hosts = append(hosts, Host{"till", []string{"a", "b", "c", "d"}[i%4]})
	}
	w := New(seed, 4, hosts...)
	w.tolerance = 1
	w.Configure(int(seed), 1, nil)
	w.Run(4)
	w.Processor = loadedProcessor
	if w.Checker.NewestAcked != 1 {
		t.Fatalf("seed %d: no configuration after 4 s", seed)
	}
	return w
}

// seedsFromEnv returns the number of seeds in SIMULATION_LOADED, or the fallback.
func seedsFromEnv(fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SIMULATION_LOADED"), 10, 64); err == nil {
		return n
	}
	return fallback
}

// recovery is the outcome of a fault under load.
type recovery struct {
	servedBefore int // operations served before the fault
	acknowledged bool
	served       int  // operations served in judgedSeconds, from serveSeconds after the start
	rejoined     bool // the server that lost its disk votes again
}

const (
	judgedSeconds = 6.0 // period in which served operations are counted, from serveSeconds after the start
	voteSeconds   = 6.0 // time after the start within which the server that lost its disk votes, as the deployment requires
)

// runPowerLoss powers all control servers of a loaded cluster off while a configuration is being sent, and erases the disk of
// one.
func runPowerLoss(w *World, seed uint64, beforeSeconds float64) (r recovery) {
	startRetriedOperations(w, loadPerSecond, beforeSeconds+powerOffSeconds+serveSeconds+8)
	w.Run(beforeSeconds)
	r.servedBefore = w.Checker.Served
	w.Configure(int(seed), 2, nil)
	w.Run(0.162)
	for _, h := range w.Servers {
		h.PowerOff()
	}
	lost := w.Servers[seed%4]
	lost.Wipe()
	w.Run(powerOffSeconds)
	for _, h := range w.Servers {
		h.Start()
	}
	w.Run(4)
	r.acknowledged = w.Checker.NewestAcked == 2
	w.Run(serveSeconds - 4)
	served := w.Checker.Served
	w.Run(voteSeconds - serveSeconds)
	r.rejoined = lost.Voting()
	w.Run(judgedSeconds - (voteSeconds - serveSeconds))
	r.served = w.Checker.Served - served
	w.Run(4)
	return r
}

// All control servers lose power while a configuration is being sent, and one returns with an empty disk. The configuration is
// acknowledged, operations are served again within seconds, and the server with the empty disk rejoins within catchUpS.
func TestPowerLossWithAnEmptyDiskUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := range seedsFromEnv(3) {
		w := newLoadedCluster(t, seed)
		checkRecovery(t, w, fmt.Sprintf("seed %d", seed), runPowerLoss(w, seed, loadSeconds), loadSeconds)
	}
}

// This is the power loss of the test above with the largest number of registers, which a full deduplication window of load
// leaves. The costs of the start and of catching up must grow at most linearly with the registers.
func TestPowerLossWithAllRegistersOfAWindow(t *testing.T) {
	t.Parallel()
	for seed := range seedsFromEnv(1) {
		w := newLoadedCluster(t, seed)
		const beforeSeconds = dedupWindowSeconds + 10
		checkRecovery(t, w, fmt.Sprintf("seed %d", seed), runPowerLoss(w, seed, beforeSeconds), beforeSeconds)
	}
}

// checkRecovery checks the outcome of runPowerLoss.
func checkRecovery(t *testing.T, w *World, name string, r recovery, beforeSeconds float64) {
	t.Helper()
	if float64(r.servedBefore) < 0.9*loadPerSecond*beforeSeconds {
		t.Errorf("%s: only %d served before the fault: the load is lower than the test needs", name, r.servedBefore)
	}
	if !r.acknowledged {
		t.Errorf("%s: the configuration is not acknowledged 4 s after the start", name)
	}
	if float64(r.served) < 0.9*judgedSeconds*loadPerSecond {
		t.Errorf("%s: from %v s after the start only %d of %.0f operations are served in 6 s; statuses %v", name,
			serveSeconds, r.served, judgedSeconds*loadPerSecond, w.Checker.Statuses)
	}
	if !r.rejoined {
		t.Errorf("%s: %v s after the start the server that lost its disk does not vote", name, voteSeconds)
	}
	checkOutcome(t, w, name, 0)
	t.Logf("%s: %d of %.0f served; statuses %v", name, r.served, judgedSeconds*loadPerSecond, w.Checker.Statuses)
}

// A control server loses its disk under load while the others run on. Operations are served all the time, except until the
// receiving proxies have switched to other control servers.
func TestDiskLostUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := range seedsFromEnv(2) {
		w := newLoadedCluster(t, seed)
		startRetriedOperations(w, loadPerSecond, loadSeconds+12)
		w.Run(loadSeconds)
		lost := w.Servers[seed%4]
		before := w.Checker.Served
		w.LoseDisk(lost, powerOffSeconds)
		w.Run(10 - powerOffSeconds)
		served := w.Checker.Served - before
		w.Run(4)
		if float64(served) < 0.95*10*loadPerSecond {
			t.Errorf("seed %d: %d of %.0f operations served in 10 s after the loss; statuses %v", seed, served,
				10*loadPerSecond, w.Checker.Statuses)
		}
		if !lost.Voting() {
			t.Errorf("seed %d: the server that lost its disk does not vote", seed)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}

// countContactLosses returns how many times a control server lost contact with a quorum in 18 s of an overload of the
// processors.
func countContactLosses(t *testing.T, seed uint64, queueHeartbeats bool) int {
	t.Helper()
	const loadFactor, slowdown, totalSeconds = 4, 12, 20.0
	w := newLoadedCluster(t, seed)
	w.QueueHeartbeats = queueHeartbeats
	w.Processor.Message *= slowdown
	startRetriedOperations(w, loadFactor*loadPerSecond, totalSeconds)
	w.Run(2) // until the processors are saturated
	before := w.QuorumContactLosses
	w.Run(totalSeconds - 2)
	return w.QuorumContactLosses - before
}

// With saturated processors no server loses contact with a quorum for 18 s, as heartbeats are handled before all other queued
// inputs. If heartbeats are queued like other inputs, contact is lost.
func TestContactHoldsOnFullProcessors(t *testing.T) {
	t.Parallel()
	lostWhenQueued := 0
	for seed := range seedsFromEnv(2) {
		if lost := countContactLosses(t, seed, false); lost > 0 {
			t.Errorf("seed %d: contact lost %d times", seed, lost)
		}
		lostWhenQueued += countContactLosses(t, seed, true)
	}
	t.Logf("contact lost %d times with queued heartbeats", lostWhenQueued)
	if lostWhenQueued == 0 {
		t.Error("no contact is lost with queued heartbeats: the processors are not saturated")
	}
}
