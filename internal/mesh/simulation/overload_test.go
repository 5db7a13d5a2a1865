package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// loadedProcessor is a fifth of the processor that a control server has in the deployment of incident sahil-muscat-grown-1, for a fifth
// of the operations, so that the tests play fewer.
var loadedProcessor = Processor{Message: 165e-6, Sync: 2e-3, Value: 250e-6}

const (
	loadPerSecond   = 113.0 // operations a second
	loadSeconds     = 25.0  // seconds of them before the fault
	powerOffSeconds = 1.2   // seconds without power
	serveSeconds    = 5.0   // seconds after the start until operations are to be served again
)

// operate has clients send so many operations a second for some seconds, each once more if it is not served.
func startRetriedOperations(w *World, rate, seconds float64) {
	for i := range int(rate * seconds) {
		w.After(float64(i)/rate, func() {
			w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/pay/x", fmt.Sprintf("o%d-%d", w.Rand.IntN(1<<30), i), 2)
		})
	}
}

// loaded is a cluster of four control servers, as many as make the loss of one leave the smallest quorum, under load.
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

// seedsOr is how many seeds a test plays: more by hand, with SIMULATION_LOADED.
func seedsFromEnv(fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SIMULATION_LOADED"), 10, 64); err == nil {
		return n
	}
	return fallback
}

// recovery is what became of a cluster after a fault under load.
type recovery struct {
	servedBefore int // operations served before
	acknowledged bool
	served       int  // operations in the six seconds from soon after the start on
	rejoined     bool // the server that lost its disk votes
}

const (
	judgedSeconds = 6.0 // seconds, from soon after the start on
	voteSeconds   = 6.0 // seconds after the start until the server that lost its disk votes, as the deployment allows
)

// losePower has all control servers of a loaded cluster lose power as a change is sent, and one of them its disk.
func runPowerLoss(w *World, seed uint64, first float64) (r recovery) {
	startRetriedOperations(w, loadPerSecond, first+powerOffSeconds+serveSeconds+8)
	w.Run(first)
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

// All control servers lose power as a change is sent, and one is back with an empty disk: the change is acknowledged, operations are
// served again within seconds, and the server that lost its disk is replaced by itself, within catchUpS.
func TestPowerLossWithAnEmptyDiskUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := range seedsFromEnv(3) {
		w := newLoadedCluster(t, seed)
		checkRecovery(t, w, fmt.Sprintf("seed %d", seed), runPowerLoss(w, seed, loadSeconds), loadSeconds)
	}
}

// The same with as many registers as the window of keys ever leaves: what a start and catching up cost grows with them, and no faster.
func TestPowerLossWithAllRegistersOfAWindow(t *testing.T) {
	t.Parallel()
	for seed := range seedsFromEnv(1) {
		w := newLoadedCluster(t, seed)
		const first = dedupWindowSeconds + 10
		checkRecovery(t, w, fmt.Sprintf("seed %d", seed), runPowerLoss(w, seed, first), first)
	}
}

func checkRecovery(t *testing.T, w *World, name string, r recovery, first float64) {
	t.Helper()
	if float64(r.servedBefore) < 0.9*loadPerSecond*first {
		t.Errorf("%s: %d served before the fault: this is not the load that it is for", name, r.servedBefore)
	}
	if !r.acknowledged {
		t.Errorf("%s: the change has no acknowledgement 4 s after the start", name)
	}
	if float64(r.served) < 0.9*judgedSeconds*loadPerSecond {
		t.Errorf("%s: from %v s after the start on %d of %.0f operations are served in 6 s; answers %v", name, serveSeconds, r.served,
			judgedSeconds*loadPerSecond, w.Checker.Statuses)
	}
	if !r.rejoined {
		t.Errorf("%s: %v s after the start the server that lost its disk does not vote", name, voteSeconds)
	}
	checkOutcome(t, w, name, 0)
	t.Logf("%s: %d of %.0f served; answers %v", name, r.served, judgedSeconds*loadPerSecond, w.Checker.Statuses)
}

// A disk is lost under load while the others go on: operations are served all the time, but for the time until gates have gone elsewhere.
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
			t.Errorf("seed %d: %d of %.0f operations served in 10 s around the loss; answers %v", seed, served, 10*loadPerSecond, w.Checker.Statuses)
		}
		if !lost.Voting() {
			t.Errorf("seed %d: the server that lost its disk does not vote", seed)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}

// contactsLost is how often contact is lost in 20 s in which more operations are asked for than the control servers' processors can do.
func countContactLosses(t *testing.T, seed uint64, heartbeatsWait bool) int {
	t.Helper()
	const loadFactor, slowdown, totalSeconds = 4, 12, 20.0
	w := newLoadedCluster(t, seed)
	w.QueueHeartbeats = heartbeatsWait
	w.Processor.Message *= slowdown
	startRetriedOperations(w, loadFactor*loadPerSecond, totalSeconds)
	w.Run(2) // until the processors are full
	before := w.QuorumContactLosses
	w.Run(totalSeconds - 2)
	return w.QuorumContactLosses - before
}

// On full processors no contact is lost for 18 s: heartbeats are worked on before all else that waits. Where they wait their turn, it is.
func TestContactHoldsOnFullProcessors(t *testing.T) {
	t.Parallel()
	lostWhenQueued := 0
	for seed := range seedsFromEnv(2) {
		if lost := countContactLosses(t, seed, false); lost > 0 {
			t.Errorf("seed %d: contact lost %d times", seed, lost)
		}
		lostWhenQueued += countContactLosses(t, seed, true)
	}
	t.Logf("%d times where heartbeats wait", lostWhenQueued)
	if lostWhenQueued == 0 {
		t.Error("the processors are not full enough: contact holds where heartbeats wait")
	}
}
