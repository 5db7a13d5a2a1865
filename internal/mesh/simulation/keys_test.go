package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"beechwing/internal/mesh/sharding"
)

// newShardedCluster returns a cluster with the given number of hosts of the sharded service.
func newShardedCluster(t *testing.T, seed uint64, hosts int) *World {
	t.Helper()
	var all []Host
	for i := range hosts {
		all = append(all, Host{shardedService, []string{"a", "b"}[i%2]})
	}
	w := New(seed, 3, append(all, Host{"shop", "a"}, Host{"till", "b"})...)
	applyFirstConfig(t, seed, w)
	return w
}

// startShardedTraffic schedules 50 requests per second for random keys at random proxies.
func startShardedTraffic(w *World, seconds float64) {
	const interval = 0.02
	for i := range int(seconds / interval) {
		w.After(float64(i)*interval, func() { w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/stock/x", "", 2) })
	}
}

// Without faults, the hosts of a sharded service are granted the keys, and each request reaches the host that holds its key.
func TestShardedServiceIsServed(t *testing.T) {
	for seed := range uint64(4) {
		w := newShardedCluster(t, seed, 4)
		startShardedTraffic(w, 8)
		w.Run(10)
		checkOutcome(t, w, "sharded", 0.98)
	}
}

// injectKeyFault injects a random fault of a host, a proxy or a control server. lostUntil keeps the loss of control servers
// within the tolerance.
func injectKeyFault(w *World, lostUntil *float64) {
	s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	h := w.Servers[w.Rand.IntN(len(w.Servers))]
	downSeconds := 0.2 + 3*w.Rand.Float64()
	switch k := w.Rand.IntN(10); {
	case k == 0 && s.instance != nil:
		s.CrashHost()
		w.After(downSeconds, s.StartHost)
	case k == 1 && s.instance != nil && !s.instance.draining:
		s.Drain()
		w.After(3+downSeconds, s.StartHost)
	case k == 2 && s.up:
		s.Kill()
		w.After(downSeconds, s.Start)
	case k == 3:
		s.Freeze()
		w.After(4*downSeconds, s.Thaw)
	case k == 4:
		for _, o := range w.Servers {
			w.Isolate(s.addr, o.addr)
		}
		w.After(4*downSeconds, w.HealNetwork)
	case k == 5 && s.up:
		s.PowerOff()
		w.After(downSeconds, func() { s.Start(); s.StartHost() })
	case k == 6 && len(w.Proxies) < 9:
		w.AddHost(Host{shardedService, "a"})
	case k == 7 && w.Now > *lostUntil && h.up:
		*lostUntil = w.Now + downSeconds + 4
		h.PowerOff()
		if w.Rand.IntN(2) == 0 {
			h.Wipe()
		}
		w.After(downSeconds, h.Start)
	case k == 8 && w.Now > *lostUntil:
		*lostUntil = w.Now + downSeconds + 4
		for _, o := range w.Servers {
			if o != h {
				w.Isolate(h.addr, o.addr)
			}
		}
		w.After(downSeconds, w.HealNetwork)
	default:
		w.Reset(s.addr, h.addr)
	}
}

// playKeyFaults runs a cluster under traffic in which hosts that hold keys fail, drain and join. prepare is called before the
// traffic.
func playKeyFaults(t *testing.T, seed uint64, prepare func(*World)) *World {
	t.Helper()
	w := newShardedCluster(t, seed, 4)
	prepare(w)
	startShardedTraffic(w, 20)
	lostUntil := 0.0
	for at := 0.5; at < 16; at += 0.4 + w.Rand.Float64() {
		w.After(at, func() { injectKeyFault(w, &lostUntil) })
	}
	w.Run(20)
	w.HealNetwork()
	for _, s := range w.Proxies {
		s.Thaw()
	}
	return w
}

// daysFromEnv returns the number of seeds in SIMULATION_DAYS, or the fallback.
func daysFromEnv(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil { // more seeds
		return n
	}
	return fallback
}

// Under random faults of hosts, proxies and control servers no key has two holders at a time. After the faults each key has
// one.
func TestKeysUnderTroubles(t *testing.T) {
	t.Parallel()
	for seed := range uint64(daysFromEnv(36) / 3) { // each run takes as long as three of other tests
		w := playKeyFaults(t, seed, func(*World) {})
		w.Run(sharding.LeaseSeconds(maxHoldSeconds) + silenceSeconds)
		served := w.Checker.Served
		startShardedTraffic(w, 4)
		w.Run(6)
		if got := w.Checker.Served - served; got < 190 {
			t.Errorf("seed %d: %d of 200 served after the faults; statuses %v", seed, got, w.Checker.Statuses)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.3)
	}
}

// silenceSeconds is the time within which the control servers detect that a machine is gone.
const silenceSeconds = 9.0

// The checker must report OWNER when the control servers assume too early that a former holder's lease has expired.
func TestCheckerFindsTwoHolders(t *testing.T) {
	found := 0
	for seed := range uint64(12) {
		w := playKeyFaults(t, seed, func(w *World) {
			w.LeaseSeconds = 0.2
			for _, h := range w.Servers {
				h.Kill()
				h.Start()
			}
			w.Run(3)
		})
		found += violationsByRule(w)["OWNER"]
	}
	if found == 0 {
		t.Error("no violation was found")
	}
	t.Logf("%d violations found", found)
}

// A host that drains releases its keys before it ends, so no request waits for its lease to expire.
func TestDrainedKeysMoveAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := newShardedCluster(t, seed, 4)
		w.Proxies[0].Drain()
		w.Run(1)
		served, asked := w.Checker.Served, w.Checker.Requested
		startShardedTraffic(w, 3)
		w.Run(4)
		if got, of := w.Checker.Served-served, w.Checker.Requested-asked; float64(got) < 0.99*float64(of) {
			t.Errorf("seed %d: %d of %d served from 1 s after the start of the drain", seed, got, of)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.98)
	}
}

// An added host gets its share of the keys, and no request is lost while keys move.
func TestAddedHostsGetKeys(t *testing.T) {
	w := newShardedCluster(t, 1, 4)
	startShardedTraffic(w, 8)
	w.Run(2)
	added := w.AddHost(Host{shardedService, "a"})
	w.Run(8)
	if n := w.Checker.RunsAt(added); n < 20 {
		t.Errorf("the added host ran only %d requests", n)
	}
	checkOutcome(t, w, "added", 0.98)
}

// A host whose proxy is cut off from the control servers serves until its leases expire, and not longer. Then the other hosts
// get its keys.
func TestCutOffHolderStops(t *testing.T) {
	w := newShardedCluster(t, 2, 4)
	isolated := w.Proxies[0]
	for _, h := range w.Servers {
		w.Isolate(isolated.addr, h.addr)
	}
	w.Run(sharding.LeaseSeconds(maxHoldSeconds) + silenceSeconds)
	runs, served := w.Checker.RunsAt(isolated), w.Checker.Served
	startShardedTraffic(w, 4)
	w.Run(5)
	if n := w.Checker.RunsAt(isolated) - runs; n > 0 {
		t.Errorf("the isolated host ran %d requests without a lease", n)
	}
	if got := w.Checker.Served - served; got < 150 { // requests at the isolated proxy fail, as it does not know the new holders
		t.Errorf("%d of 200 served by the other hosts; statuses %v", got, w.Checker.Statuses)
	}
	checkOutcome(t, w, "cut off", 0.5)
}

// When a host crashes, its proxy detects that the host no longer accepts connections, and other hosts get the keys immediately.
func TestCrashedHostsKeysMoveAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := newShardedCluster(t, seed, 4)
		startShardedTraffic(w, 9)
		w.Run(2)
		w.Proxies[0].CrashHost()
		w.Run(2)
		served, asked := w.Checker.Served, w.Checker.Requested
		w.Run(6)
		if got, of := w.Checker.Served-served, w.Checker.Requested-asked; float64(got) < 0.98*float64(of) {
			t.Errorf("seed %d: %d of %d served from 2 s after the crash", seed, got, of)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.8)
	}
}
