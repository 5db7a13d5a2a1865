package simulation

import (
	"fmt"
	"testing"
)

// newCluster returns a cluster with two services in two zones and a configuration in force.
func newCluster(t *testing.T, seed uint64, servers int) *World {
	t.Helper()
	w := New(seed, servers, Host{"shop", "a"}, Host{"shop", "b"}, Host{"shop", "a"}, Host{"till", "a"}, Host{"till", "b"},
		Host{"till", "b"})
	w.Configure(int(seed), 1, nil)
	w.Run(4)
	w.Checker.CheckConfigInForce(w.Proxies...)
	if w.Checker.NewestAcked != 1 {
		t.Fatalf("seed %d: no configuration after 4 s", seed)
	}
	return w
}

// enableAgreedEjection restarts the proxies with the setting that hosts are ejected for tracked operations by agreement only.
func enableAgreedEjection(w *World) {
	w.AgreedEjection = true
	for _, s := range w.Proxies {
		s.Kill()
		s.Start()
	}
	w.Run(1.5)
}

// startTraffic schedules client requests at a constant rate: half are reads, half are tracked operations. Some operations are
// repeated with the same key at another proxy. Some clients disconnect before they have a response, and some of those repeat
// their operation.
func startTraffic(w *World, seconds float64) {
	const interval = 0.01
	for i := range int(seconds / interval) {
		w.After(float64(i)*interval, func() {
			s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
			disconnects := w.Rand.IntN(disconnectOneIn) == 0
			staySeconds := 0.3 * w.Rand.Float64() * w.Rand.Float64()
			if w.Rand.IntN(2) == 0 {
				if disconnects {
					w.RequestAndDisconnect(s, "/read/x", "", staySeconds)
					return
				}
				w.Request(s, "/read/x", "", 3)
				return
			}
			key := fmt.Sprintf("k%d-%d", w.Rand.IntN(1<<30), i)
			if disconnects {
				w.RequestAndDisconnect(s, "/pay/x", key, staySeconds)
			} else {
				w.Request(s, "/pay/x", key, 3)
			}
			if w.Rand.IntN(4) == 0 { // a repeat after the response
				other := w.Proxies[w.Rand.IntN(len(w.Proxies))]
				w.After(1+3*w.Rand.Float64(), func() { w.Request(other, "/pay/x", key, 2) })
			}
			if w.Rand.IntN(3) == 0 {
				other := w.Proxies[w.Rand.IntN(len(w.Proxies))]
				w.After(0.3*w.Rand.Float64()*w.Rand.Float64(), func() { w.Request(other, "/pay/x", key, 3) })
			}
		})
	}
}

// disconnectOneIn is the reciprocal of the share of clients that disconnect early.
const disconnectOneIn = 12

// checkOutcome fails the test for each violation, and if the share of requests served is below minServed.
func checkOutcome(t *testing.T, w *World, name string, minServed float64) {
	t.Helper()
	for i, b := range w.Checker.Violations {
		if i < 5 {
			t.Errorf("%s: %s", name, b)
		}
	}
	// Status 409 counts as served: the operation is in progress, and the client repeats it.
	stayed := w.Checker.Requested - w.Checker.Disconnected
	if got := float64(w.Checker.Served+w.Checker.Statuses[409]) / float64(max(1, stayed)); got < minServed {
		t.Errorf("%s: %.3f of %d requests served, want %.3f; statuses %v", name, got, stayed, minServed, w.Checker.Statuses)
	}
}
