package simulation

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"beechwing/internal/mesh/ejection"
)

// tills is a cluster whose four tills take operations, with proxies that leave a host out by agreement only.
func newEjectionCluster(t *testing.T, seed uint64) *World {
	t.Helper()
	w := New(seed, 3, Host{"till", "a"}, Host{"till", "b"}, Host{"till", "a"}, Host{"till", "b"}, Host{"shop", "a"}, Host{"shop", "b"},
		Host{"shop", "a"}, Host{"shop", "b"})
	w.Configure(int(seed), 1, nil)
	w.Run(4)
	enableAgreedEjection(w)
	return w
}

func startOperations(w *World, seconds float64) {
	const interval = 0.005
	for i := range int(seconds / interval) {
		w.After(float64(i)*interval, func() {
			w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/pay/x", fmt.Sprintf("k%d-%d", w.Rand.IntN(1<<30), i), 1)
		})
	}
}

// condemners counts the proxies for which a host is out.
func countEjecting(w *World, hostID string) (n int) {
	for _, s := range w.Proxies {
		if s.up && slices.Contains(s.State().Ejected, hostID) {
			n++
		}
	}
	return n
}

// A host that loses most of its answers is out for operations at all proxies within two seconds, gets none while it is, and its part again
// once it is well.
func TestFailingHostGoesOutForAll(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newEjectionCluster(t, seed)
		startOperations(w, 14)
		w.Run(2)
		failing := w.Proxies[1]
		failing.LoseAnswers(0.9)
		waitedSeconds := 0.0
		for ; waitedSeconds < 4 && countEjecting(w, failing.instance.id) < len(w.Proxies); waitedSeconds += 0.05 {
			w.Run(0.05)
		}
		if waitedSeconds > 2 {
			t.Errorf("seed %d: after %.2f s %d of %d proxies agree", seed, waitedSeconds, countEjecting(w, failing.instance.id), len(w.Proxies))
		}
		runs := w.Checker.RunsAt(failing)
		w.Run(1)
		if n := w.Checker.RunsAt(failing) - runs; n > 2 { // what was on its way
			t.Errorf("seed %d: %d operations reached it in the second after", seed, n)
		}
		failing.LoseAnswers(0)
		w.Run(7)
		if countEjecting(w, failing.instance.id) > 0 {
			t.Errorf("seed %d: it is out still, well for 7 s", seed)
		}
		runs = w.Checker.RunsAt(failing)
		w.Run(1.5)
		if w.Checker.RunsAt(failing) < runs+5 {
			t.Errorf("seed %d: %d operations in 1.5 s after its return", seed, w.Checker.RunsAt(failing)-runs)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.7)
	}
}

// One proxy's bad moment empties no host: cut off from one host, from all others, or one way only, it cannot take a host out, and
// operations of the others go on everywhere.
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
					t.Fatalf("%s: %s is out for %d proxies", fault, s.addr, n)
				}
			}
		}
		for _, s := range w.Proxies[:4] {
			if n := w.Checker.RunsAt(s) - runs[s]; n < 60 {
				t.Errorf("%s: %s got %d operations in 4 s", fault, s.addr, n)
			}
		}
		w.HealNetwork()
		w.Run(4)
		checkOutcome(t, w, fault, 0.7)
	}
}

// By hand a host is out for all proxies until it is called back, over restarts of everything; less than half of the service left needs
// a second word.
func TestOutByHand(t *testing.T) {
	t.Parallel()
	w := newEjectionCluster(t, 2)
	startOperations(w, 30)
	order := func(h int, s *Proxy, out, force bool) (err error) {
		err = errors.New("no answer")
		w.Servers[h].input(func() {
			w.Servers[h].server.OrderEjection(w.Now, s.instance.id, out, force, "ann", "test", func(e error) { err = e })
		})
		w.Run(0.5)
		return err
	}
	first, second, third := w.Proxies[0], w.Proxies[1], w.Proxies[2]
	for h, s := range []*Proxy{first, second} {
		if err := order(h, s, true, false); err != nil {
			t.Fatal(err)
		}
	}
	if err := order(2, third, true, false); !errors.Is(err, ejection.ErrForceRequired) {
		t.Errorf("one of four left: %v", err)
	}
	wantNoRequests := func(what string) {
		t.Helper()
		w.Run(0.5)
		a, b := w.Checker.RunsAt(first), w.Checker.RunsAt(second)
		w.Run(2)
		if n := w.Checker.RunsAt(first) - a + w.Checker.RunsAt(second) - b; n > 0 {
			t.Errorf("%s: %d operations reached hosts that are out", what, n)
		}
	}
	wantNoRequests("taken out")
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
		if err := order(h, s, false, false); err != nil {
			t.Fatal(err)
		}
	}
	runs := w.Checker.RunsAt(first)
	w.Run(3)
	if w.Checker.RunsAt(first) < runs+5 {
		t.Errorf("called back: %d operations in 3 s", w.Checker.RunsAt(first)-runs)
	}
	checkOutcome(t, w, "by hand", 0.5)
}
