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
	loadedRate  = 113.0 // operations a second
	loadedFirst = 25.0  // seconds of them before the fault
	offFor      = 1.2   // seconds without power
	soon        = 5.0   // seconds after the start until operations are to be served again
)

// operate has clients send so many operations a second for some seconds, each once more if it is not served.
func operate(w *World, rate, seconds float64) {
	for i := range int(rate * seconds) {
		w.After(float64(i)/rate, func() {
			w.Ask(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/pay/x", fmt.Sprintf("o%d-%d", w.Rand.IntN(1<<30), i), 2)
		})
	}
}

// loaded is a cluster of four control servers, as many as make the loss of one leave the smallest quorum, under load.
func loaded(t *testing.T, seed uint64) *World {
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
	if w.Checker.Newest != 1 {
		t.Fatalf("seed %d: no configuration after 4 s", seed)
	}
	return w
}

// All control servers lose power as a change is sent, and one is back with an empty disk: the change is acknowledged, operations are
// served again within seconds, and the server that lost its disk is replaced by itself, within catchUpS.
func TestPowerLossWithAnEmptyDiskUnderLoad(t *testing.T) {
	t.Parallel()
	seeds := uint64(3)
	if n, err := strconv.ParseUint(os.Getenv("SIMULATION_LOADED"), 10, 64); err == nil { // more, by hand
		seeds = n
	}
	for seed := range seeds {
		w := loaded(t, seed)
		operate(w, loadedRate, loadedFirst+offFor+soon+8)
		w.Run(loadedFirst)
		calm := w.Checker.Served
		w.Configure(int(seed), 2, nil)
		w.Run(0.162)
		for _, h := range w.Servers {
			h.PowerOff()
		}
		lost := w.Servers[seed%4]
		lost.Wipe()
		w.Run(offFor)
		for _, h := range w.Servers {
			h.Start()
		}
		w.Run(4)
		acknowledged := w.Checker.Newest
		w.Run(soon - 4)
		served, asked := w.Checker.Served, w.Checker.Asked
		w.Run(6)
		joined := lost.Voting()
		served, asked = w.Checker.Served-served, w.Checker.Asked-asked
		w.Run(4)
		name := fmt.Sprintf("seed %d", seed)
		if float64(calm) < 0.9*loadedRate*loadedFirst {
			t.Errorf("%s: %d served before the fault: this is not the load that it is for", name, calm)
		}
		if acknowledged != 2 {
			t.Errorf("%s: the change has no acknowledgement 4 s after the start", name)
		}
		if float64(served) < 0.9*6*loadedRate {
			t.Errorf("%s: from %v s after the start on %d of %d requests are served in 6 s; answers %v", name, soon, served, asked, w.Checker.Statuses)
		}
		if !joined {
			t.Errorf("%s: 11 s after the start the server that lost its disk does not vote", name)
		}
		verdictOn(t, w, name, 0)
		t.Logf("%s: %d of %.0f served; answers %v", name, served, 6*loadedRate, w.Checker.Statuses)
	}
}
