package simulation

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"beechwing/internal/mesh/ejection"
)

// newEjectionCluster returns a cluster with four hosts of the service till, which runs tracked operations, and with proxies
// that eject hosts for operations by agreement only.
func newEjectionCluster(t *testing.T, seed uint64) *World {
	t.Helper()
	w := New(seed, 3, Host{"till", "a"}, Host{"till", "b"}, Host{"till", "a"}, Host{"till", "b"},
		Host{"shop", "a"}, Host{"shop", "b"}, Host{"shop", "a"}, Host{"shop", "b"})
	w.Configure(int(seed), 1, nil)
	w.Run(4)
	enableAgreedEjection(w)
	return w
}

// startOperations schedules 200 tracked operations per second at random proxies, without client retries.
func startOperations(w *World, seconds float64) {
	const interval = 0.005
	for i := range int(seconds / interval) {
		w.After(float64(i)*interval, func() {
			w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/pay/x", fmt.Sprintf("k%d-%d", w.Rand.IntN(1<<30), i), 1)
		})
	}
}

// countEjecting returns the number of running proxies that have ejected a host.
func countEjecting(w *World, hostID string) (n int) {
	for _, s := range w.Proxies {
		if s.up && slices.Contains(s.State().Ejected, hostID) {
			n++
		}
	}
	return n
}

// A host that loses most of its responses is ejected for operations by all proxies within 2 s. The host gets no operations
// while it is ejected, and its share again after it has recovered.
func TestFailingHostGoesOutForAll(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newEjectionCluster(t, seed)
		startOperations(w, 14)
		w.Run(2)
		failing := w.Proxies[1]
		failing.LoseResponses(0.9)
		waitedSeconds := 0.0
		for ; waitedSeconds < 4 && countEjecting(w, failing.instance.id) < len(w.Proxies); waitedSeconds += 0.05 {
			w.Run(0.05)
		}
		if waitedSeconds > 2 {
			t.Errorf("seed %d: after %.2f s the host is ejected at %d of %d proxies, want all within 2 s", seed,
				waitedSeconds, countEjecting(w, failing.instance.id), len(w.Proxies))
		}
		runs := w.Checker.RunsAt(failing)
		w.Run(1)
		if n := w.Checker.RunsAt(failing) - runs; n > 2 { // two may have been in flight
			t.Errorf("seed %d: %d operations reached the host in the second after its ejection", seed, n)
		}
		failing.LoseResponses(0)
		w.Run(7)
		if countEjecting(w, failing.instance.id) > 0 {
			t.Errorf("seed %d: the host is still ejected 7 s after its recovery", seed)
		}
		runs = w.Checker.RunsAt(failing)
		w.Run(1.5)
		if w.Checker.RunsAt(failing) < runs+5 {
			t.Errorf("seed %d: only %d operations in 1.5 s after the end of the ejection", seed, w.Checker.RunsAt(failing)-runs)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.7)
	}
}

// A single proxy with network problems cannot get a host ejected, whether it is cut off from one host, from all, or in one
// direction. The operations of the other proxies go on at all hosts.
func TestOneProxyTakesNobodyOut(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"one host", "all", "one way"} {
		w := newEjectionCluster(t, 3)
		isolated := w.Proxies[5]
		startOperations(w, 8)
		w.Run(1)
		runs := map[*Proxy]int{}
		for i, s := range w.Proxies[:4] {
			runs[s] = w.Checker.RunsAt(s)
			switch fault {
			case "one host":
				if i == 2 {
					w.Isolate(isolated.addr, s.addr)
				}
			case "all":
				w.Isolate(isolated.addr, s.addr)
			default:
				w.Block(s.addr, isolated.addr)
			}
		}
		for range 40 {
			w.Run(0.1)
			for _, s := range w.Proxies[:4] {
				if n := countEjecting(w, s.instance.id); n > 0 {
					t.Fatalf("%s: the host of %s is ejected at %d proxies", fault, s.addr, n)
				}
			}
		}
		for _, s := range w.Proxies[:4] {
			if n := w.Checker.RunsAt(s) - runs[s]; n < 60 {
				t.Errorf("%s: the host of %s got only %d operations in 4 s", fault, s.addr, n)
			}
		}
		w.HealNetwork()
		w.Run(4)
		checkOutcome(t, w, fault, 0.7)
	}
}

// A host that an operator ejects stays ejected at all proxies until the operator reinstates it, also across restarts of
// control servers and proxies. An ejection that leaves less than half of the service must be forced.
func TestOutByHand(t *testing.T) {
	t.Parallel()
	w := newEjectionCluster(t, 2)
	startOperations(w, 30)
	eject := func(h int, s *Proxy, out, force bool) (err error) {
		err = errors.New("no answer")
		w.Servers[h].input(func() {
			w.Servers[h].server.OrderEjection(w.Now, s.instance.id, out, force, "ann", "test", func(e error) { err = e })
		})
		w.Run(0.5)
		return err
	}
	first, second, third := w.Proxies[0], w.Proxies[1], w.Proxies[2]
	for h, s := range []*Proxy{first, second} {
		if err := eject(h, s, true, false); err != nil {
			t.Fatal(err)
		}
	}
	if err := eject(2, third, true, false); !errors.Is(err, ejection.ErrForceRequired) {
		t.Errorf("ejection that leaves one of four hosts: %v, want ErrForceRequired", err)
	}
	wantNoRequests := func(what string) {
		t.Helper()
		w.Run(0.5)
		a, b := w.Checker.RunsAt(first), w.Checker.RunsAt(second)
		w.Run(2)
		if n := w.Checker.RunsAt(first) - a + w.Checker.RunsAt(second) - b; n > 0 {
			t.Errorf("%s: %d operations reached ejected hosts", what, n)
		}
	}
	wantNoRequests("after ejection")
	for _, h := range w.Servers {
		h.Kill()
	}
	w.Run(0.3)
	for _, h := range w.Servers {
		h.Start()
	}
	for _, s := range w.Proxies[4:] {
		s.Kill()
		s.Start()
	}
	w.Run(2)
	wantNoRequests("after restarts")
	for h, s := range []*Proxy{first, second} {
		if err := eject(h, s, false, false); err != nil {
			t.Fatal(err)
		}
	}
	runs := w.Checker.RunsAt(first)
	w.Run(3)
	if w.Checker.RunsAt(first) < runs+5 {
		t.Errorf("after reinstatement: only %d operations in 3 s", w.Checker.RunsAt(first)-runs)
	}
	checkOutcome(t, w, "by hand", 0.5)
}
