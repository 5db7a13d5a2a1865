package simulation

import (
	"fmt"
	"testing"
)

// The only receiving proxy of a service is frozen for some seconds. Its host runs all the time, so requests that arrive after
// the thaw are served.
func TestThawedGateServes(t *testing.T) {
	const requests = 10
	for _, frozen := range []float64{2, 4, 6, 8} {
		for seed := range uint64(5) {
			w := New(seed, 3, Host{"shop", "a"}, Host{"till", "a"})
			w.Configure(int(seed), 1, nil)
			w.Run(4)
			sender, receiver := w.Proxies[0], w.Proxies[1]
			receiver.Freeze()
			w.Run(frozen)
			receiver.Thaw()
			w.Run(12)
			for i := range requests {
				w.After(float64(i)*0.1, func() { w.Request(sender, "/pay/x", fmt.Sprintf("k%d", i), 1) })
			}
			w.Run(3)
			if w.Checker.Served != requests {
				t.Errorf("seed %d, %v s frozen: %d of %d served 12 s after the thaw; statuses %v", seed, frozen,
					w.Checker.Served, requests, w.Checker.Statuses)
			}
			checkOutcome(t, w, fmt.Sprintf("seed %d, %v s", seed, frozen), 0)
		}
	}
}

// A host crashes while its proxy is frozen. The proxy marks the host as gone only after it has run long enough without a
// heartbeat.
func TestHostLostDuringAFreezeIsGone(t *testing.T) {
	w := New(1, 3, Host{"shop", "a"}, Host{"till", "a"})
	w.Configure(1, 1, nil)
	w.Run(4)
	receiver := w.Proxies[1]
	receiver.Freeze()
	receiver.CrashHost()
	w.Run(8)
	receiver.Thaw()
	w.Run(1)
	if got := receiver.State().Host.Condition; got != 1 {
		t.Errorf("1 s after the thaw the condition of the host is %d, want 1", got)
	}
	w.Run(5)
	if got := receiver.State().Host.Condition; got != 3 {
		t.Errorf("6 s after the thaw the condition of the host is %d, want 3", got)
	}
}
