package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"beechwing/internal/mesh/sharding"
)

// stocked is a cluster with so many hosts that hold keys.
func stocked(t *testing.T, seed uint64, hosts int) *World {
	t.Helper()
	var all []Host
	for i := range hosts {
		all = append(all, Host{shardedService, []string{"a", "b"}[i%2]})
	}
	w := New(seed, 3, append(all, Host{"shop", "a"}, Host{"till", "b"})...)
	configured(t, seed, w)
	return w
}

// askStock has clients ask for keys at all proxies for so many seconds.
func askStock(w *World, seconds float64) {
	const every = 0.02
	for i := range int(seconds / every) {
		w.After(float64(i)*every, func() { w.Ask(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/stock/x", "", 2) })
	}
}

// On a quiet day hosts are granted the keys of a sharded service, and requests go to the one that holds theirs.
func TestShardedServiceIsServed(t *testing.T) {
	for seed := range uint64(4) {
		w := stocked(t, seed, 4)
		askStock(w, 8)
		w.Run(10)
		verdictOn(t, w, "sharded", 0.98)
	}
}

// keyTrouble has something befall hosts that hold keys, the proxies beside them, or a control server. Losses of the control servers stay
// within what is to be borne.
func keyTrouble(w *World, lost *float64) {
	s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	h := w.Servers[w.Rand.IntN(len(w.Servers))]
	down := 0.2 + 3*w.Rand.Float64()
	switch k := w.Rand.IntN(10); {
	case k == 0 && s.station != nil:
		s.CrashHost()
		w.After(down, s.StartHost)
	case k == 1 && s.station != nil && !s.station.leaving:
		s.Drain()
		w.After(3+down, s.StartHost)
	case k == 2 && s.up:
		s.Kill()
		w.After(down, s.Start)
	case k == 3:
		s.Freeze()
		w.After(4*down, s.Thaw)
	case k == 4:
		for _, o := range w.Servers {
			w.CutOff(s.addr, o.addr)
		}
		w.After(4*down, w.JoinAll)
	case k == 5 && s.up:
		s.PowerOff()
		w.After(down, func() { s.Start(); s.StartHost() })
	case k == 6 && len(w.Proxies) < 9:
		w.AddHost(Host{shardedService, "a"})
	case k == 7 && w.Now > *lost && h.up:
		*lost = w.Now + down + 4
		h.PowerOff()
		if w.Rand.IntN(2) == 0 {
			h.Wipe()
		}
		w.After(down, h.Start)
	case k == 8 && w.Now > *lost:
		*lost = w.Now + down + 4
		for _, o := range w.Servers {
			if o != h {
				w.CutOff(h.addr, o.addr)
			}
		}
		w.After(down, w.JoinAll)
	default:
		w.Reset(s.addr, h.addr)
	}
}

// playKeys plays a day on which hosts that hold keys come and go.
func playKeys(t *testing.T, seed uint64, plant func(*World)) *World {
	t.Helper()
	w := stocked(t, seed, 4)
	plant(w)
	askStock(w, 20)
	lost := 0.0
	for at := 0.5; at < 16; at += 0.4 + w.Rand.Float64() {
		w.After(at, func() { keyTrouble(w, &lost) })
	}
	w.Run(20)
	w.JoinAll()
	for _, s := range w.Proxies {
		s.Thaw()
	}
	return w
}

func daysOr(otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil { // more, by hand
		return n
	}
	return otherwise
}

// However hosts, their proxies and control servers come and go, no key has two holders, and once all is over each has one.
func TestKeysUnderTroubles(t *testing.T) {
	t.Parallel()
	for seed := range uint64(daysOr(36) / 3) { // each takes as long as three others
		w := playKeys(t, seed, func(*World) {})
		w.Run(sharding.LeaseSeconds(holdMost) + silentSoon)
		served := w.Checker.Served
		askStock(w, 4)
		w.Run(6)
		if got := w.Checker.Served - served; got < 190 {
			t.Errorf("seed %d: %d of 200 served once all is over; answers %v", seed, got, w.Checker.Statuses)
		}
		verdictOn(t, w, fmt.Sprintf("seed %d", seed), 0.3)
	}
}

// silentSoon is within how many seconds the control servers find that a machine is gone.
const silentSoon = 9.0

// The checker finds it where a former holder's lease is taken for over too soon.
func TestCheckerFindsTwoHolders(t *testing.T) {
	found := 0
	for seed := range uint64(12) {
		w := playKeys(t, seed, func(w *World) {
			w.LeaseTime = 0.2
			for _, h := range w.Servers {
				h.Kill()
				h.Start()
			}
			w.Run(3)
		})
		found += broken(w)["OWNER"]
	}
	if found == 0 {
		t.Error("nothing is found")
	}
	t.Logf("%d found", found)
}

// A host that drains gives its keys away before it goes: nobody waits for its lease to run out.
func TestDrainedKeysMoveAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := stocked(t, seed, 4)
		w.Proxies[0].Drain()
		w.Run(1)
		served, asked := w.Checker.Served, w.Checker.Asked
		askStock(w, 3)
		w.Run(4)
		if got, of := w.Checker.Served-served, w.Checker.Asked-asked; float64(got) < 0.99*float64(of) {
			t.Errorf("seed %d: %d of %d served from a second after the word on", seed, got, of)
		}
		verdictOn(t, w, fmt.Sprintf("seed %d", seed), 0.98)
	}
}

// Hosts that are added get their part of the keys, and nothing is lost by that.
func TestAddedHostsGetKeys(t *testing.T) {
	w := stocked(t, 1, 4)
	askStock(w, 8)
	w.Run(2)
	added := w.AddHost(Host{shardedService, "a"})
	w.Run(8)
	if n := w.Checker.RunsAt(added); n < 20 {
		t.Errorf("the host that was added ran %d requests", n)
	}
	verdictOn(t, w, "added", 0.98)
}

// A host whose proxy is cut off from the control servers serves on for what is left of its leases, and no longer; the others get its
// keys then.
func TestCutOffHolderStops(t *testing.T) {
	w := stocked(t, 2, 4)
	cut := w.Proxies[0]
	for _, h := range w.Servers {
		w.CutOff(cut.addr, h.addr)
	}
	w.Run(sharding.LeaseSeconds(holdMost) + silentSoon)
	runs, served := w.Checker.RunsAt(cut), w.Checker.Served
	askStock(w, 4)
	w.Run(5)
	if n := w.Checker.RunsAt(cut) - runs; n > 0 {
		t.Errorf("it runs %d requests without a lease", n)
	}
	if got := w.Checker.Served - served; got < 150 { // it asks for a part itself, and cannot know the new holders
		t.Errorf("%d of 200 served by the others; answers %v", got, w.Checker.Statuses)
	}
	verdictOn(t, w, "cut off", 0.5)
}

// A host that crashes takes no keys with it: the proxy beside it finds that nobody listens there any more, and others get them at once.
func TestCrashedHostsKeysMoveAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		w := stocked(t, seed, 4)
		askStock(w, 9)
		w.Run(2)
		w.Proxies[0].CrashHost()
		w.Run(2)
		served, asked := w.Checker.Served, w.Checker.Asked
		w.Run(6)
		if got, of := w.Checker.Served-served, w.Checker.Asked-asked; float64(got) < 0.98*float64(of) {
			t.Errorf("seed %d: %d of %d served from 2 s after the crash on", seed, got, of)
		}
		verdictOn(t, w, fmt.Sprintf("seed %d", seed), 0.8)
	}
}
