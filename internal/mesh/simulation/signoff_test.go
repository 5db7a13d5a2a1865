package simulation

import (
	"fmt"
	"testing"
)

// A host that has signed off gets no requests later than 2 s after the acknowledgement, although the proxy that gave it is killed
// and started again, once or twice, and a heartbeat that the host sent before arrives after that (review case 5, DRAIN).
func TestSignOffHoldsWhenProxyRestarts(t *testing.T) {
	for seed := range uint64(12) {
		w := newCluster(t, seed, 3)
		startTraffic(w, 12)
		leaver := w.Proxies[seed%3]
		kills := 1 + int(seed%2)
		w.After(1, func() { leaver.SignOff(8) })
		for kill := range kills {
			at := 1.001 + 0.15*float64(seed%4) + 0.8*float64(kill)
			w.After(at, leaver.Kill)
			w.After(at+0.3, leaver.Start)
		}
		for _, at := range []float64{1.5, 2.5, 3.5, 4.5} {
			w.After(at, leaver.LateHeartbeat)
		}
		w.Run(14)
		checkOutcome(t, w, fmt.Sprint("seed ", seed), 0.8)
	}
}
