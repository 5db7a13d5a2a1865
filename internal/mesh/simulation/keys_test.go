package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"beechwing/internal/mesh/sharding"
)

// stocked is a cluster with so many hosts that hold keys.
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

// askStock has clients ask for keys at all proxies for so many seconds.
func startShardedTraffic(w *World, seconds float64) {
	const interval = 0.02
	for i := range int(seconds / interval) {
		w.After(float64(i)*interval, func() { w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/stock/x", "", 2) })
	}
}

// On a quiet day hosts are granted the keys of a sharded service, and requests go to the one that holds theirs.
func TestShardedServiceIsServed(t *testing.T) {
	for seed := range uint64(4) {
		w := newShardedCluster(t, seed, 4)
		startShardedTraffic(w, 8)
		w.Run(10)
		checkOutcome(t, w, "sharded", 0.98)
	}
}

// keyTrouble has something befall hosts that hold keys, the proxies beside them, or a control server. Losses of the control servers stay
// within what is to be borne.
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

// playKeys plays a day on which hosts that hold keys come and go.
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

func daysFromEnv(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil { // more, by hand
		return n
	}
	return fallback
}

// However hosts, their proxies and control servers come and go, no key has two holders, and once all is over each has one.
func TestKeysUnderTroubles(t *testing.T) {
	t.Parallel()
	for seed := range uint64(daysFromEnv(36) / 3) { // each takes as long as three others
		w := playKeyFaults(t, seed, func(*World) {})
		w.Run(sharding.LeaseSeconds(maxHoldSeconds) + silenceSeconds)
		served := w.Checker.Served
		startShardedTraffic(w, 4)
		w.Run(6)
		if got := w.Checker.Served - served; got < 190 {
			t.Errorf("seed %d: %d of 200 served once all is over; answers %v", seed, got, w.Checker.Statuses)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.3)
	}
}

// silentSoon is within how many seconds the control servers find that a machine is gone.
const silenceSeconds = 9.0

// The checker finds it where a former holder's lease is taken for over too soon.
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
		t.Error("nothing is found")
	}
	t.Logf("%d found", found)
}

// A host that drains gives its keys away before it goes: nobody waits for its lease to run out.
func TestDrainedKeysMoveAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := newShardedCluster(t, seed, 4)
		w.Proxies[0].Drain()
		w.Run(1)
		served, asked := w.Checker.Served, w.Checker.Requested
		startShardedTraffic(w, 3)
		w.Run(4)
		if got, of := w.Checker.Served-served, w.Checker.Requested-asked; float64(got) < 0.99*float64(of) {
			t.Errorf("seed %d: %d of %d served from a second after the word on", seed, got, of)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.98)
	}
}

// Hosts that are added get their part of the keys, and nothing is lost by that.
func TestAddedHostsGetKeys(t *testing.T) {
	w := newShardedCluster(t, 1, 4)
	startShardedTraffic(w, 8)
	w.Run(2)
	added := w.AddHost(Host{shardedService, "a"})
	w.Run(8)
	if n := w.Checker.RunsAt(added); n < 20 {
		t.Errorf("the host that was added ran %d requests", n)
	}
	checkOutcome(t, w, "added", 0.98)
}

// A host whose proxy is cut off from the control servers serves on for what is left of its leases, and no longer; the others get its
// keys then.
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
		t.Errorf("it runs %d requests without a lease", n)
	}
	if got := w.Checker.Served - served; got < 150 { // it asks for a part itself, and cannot know the new holders
		t.Errorf("%d of 200 served by the others; answers %v", got, w.Checker.Statuses)
	}
	checkOutcome(t, w, "cut off", 0.5)
}

// A host that crashes takes no keys with it: the proxy beside it finds that nobody listens there any more, and others get them at once.
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
			t.Errorf("seed %d: %d of %d served from 2 s after the crash on", seed, got, of)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.8)
	}
}
