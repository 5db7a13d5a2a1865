package simulation

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/sidecar"
)

const (
	silentSeconds        = 8.5  // seconds after a machine's end until no proxy lists it
	forgetSeconds        = 34.0 // and until every server and every proxy has forgotten it
	relistSeconds        = 2.5  // seconds after a proxy speaks again until all list it
	checkIntervalSeconds = 0.1
)

// lists says whether a proxy would send calls to the host beside another.
func isListed(s, other *Proxy) bool {
	state := s.State()
	for _, silent := range state.Silent {
		if silent == other.addr {
			return false
		}
	}
	for _, r := range state.Records {
		if r.Source == other.addr {
			return r.Station != "" && r.Condition == sidecar.Serving
		}
	}
	return false
}

// remembers says whether a proxy has a record of another.
func hasRecord(s, other *Proxy) bool {
	for _, r := range s.State().Records {
		if r.Source == other.addr {
			return true
		}
	}
	return false
}

// staysOut runs the world and counts the looks at which a proxy listed another that is not to be listed.
func countListed(w *World, seconds float64, proxies []*Proxy, removed *Proxy) (checks, listed int) {
	for until := w.Now + seconds; w.Now < until; checks++ {
		w.Run(checkIntervalSeconds)
		for _, s := range proxies {
			if s.up && isListed(s, removed) {
				listed++
				break
			}
		}
	}
	return checks, listed
}

// wantForgotten checks that no server and no proxy knows a source any more.
func wantForgotten(t *testing.T, name string, w *World, proxies []*Proxy, removed *Proxy) {
	t.Helper()
	for _, h := range w.Servers {
		for _, r := range h.server.State(w.Now).Records {
			if r.Source == removed.addr {
				t.Errorf("%s: server %s knows it", name, h.addr)
			}
		}
	}
	for _, s := range proxies {
		if hasRecord(s, removed) {
			t.Errorf("%s: proxy %s knows it", name, s.addr)
		}
	}
}

// wantListed checks that all others list a proxy again.
func wantListed(t *testing.T, name string, w *World, one *Proxy) {
	t.Helper()
	for _, s := range w.Proxies {
		if s != one && !isListed(s, one) {
			t.Errorf("%s: %s does not list %s", name, s.addr, one.addr)
		}
	}
}

// isolate cuts a proxy off from all other machines.
func isolate(w *World, one *Proxy) {
	for _, h := range w.Servers {
		w.Isolate(one.addr, h.addr)
	}
	for _, s := range w.Proxies {
		w.Isolate(one.addr, s.addr)
	}
}

// restartServers has all control servers restart at once: what they know is only in memory.
func restartServers(w *World) {
	for _, h := range w.Servers {
		h.Kill()
		w.After(0.2, h.Start)
	}
}

// restartInTurn has the control servers restart one after the other, after so many seconds.
func rollingRestart(w *World, after float64) {
	const interval, downSeconds = 2.0, 0.5
	for i, h := range w.Servers {
		w.After(after+interval*float64(i), h.Kill)
		w.After(after+interval*float64(i)+downSeconds, h.Start)
	}
}

// A machine goes without a word and for good while another proxy is cut off from everybody. The others list it
// no more from then on, and have forgotten it in the end, though the servers restart in turn; the one that was
// cut off does as soon as it is back.
func TestForgottenSourceStaysAway(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, 3+2*int(seed%2))
		gone, isolated, others := w.Proxies[0], w.Proxies[1], w.Proxies[2:]
		isolate(w, isolated)
		gone.PowerOff()
		w.Run(silentSeconds)
		rollingRestart(w, 2)
		rollingRestart(w, 18) // as it is forgotten, or shortly before
		checks, listed := countListed(w, 2*forgetSeconds, others, gone)
		if listed > 0 {
			t.Errorf("%s: listed at %d of %d looks", name, listed, checks)
		}
		wantForgotten(t, name, w, others, gone)
		w.HealNetwork()
		w.Run(relistSeconds)
		wantForgotten(t, name+", back from a cut", w, w.Proxies[1:], gone)
		checks, listed = countListed(w, forgetSeconds, w.Proxies[1:], gone)
		if listed > 0 {
			t.Errorf("%s: after the cut listed at %d of %d looks", name, listed, checks)
		}
		wantListed(t, name, w, others[0])
		checkOutcome(t, w, name, 0)
	}
}

// All control servers restart while a proxy is cut off that knows a machine that is gone for good: nobody else
// does, so only what that proxy names tells of it. It is silent and forgotten in time.
func TestForgottenSourceIsNamedByOneProxy(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, 3)
		gone, isolated := w.Proxies[0], w.Proxies[1]
		isolate(w, isolated)
		gone.PowerOff()
		w.Run(forgetSeconds + silentSeconds)
		for _, s := range w.Proxies[2:] { // with their tombstones
			s.Kill()
			s.Start()
		}
		restartServers(w)
		w.Run(3)
		w.HealNetwork()
		w.Run(silentSeconds)
		checks, listed := countListed(w, forgetSeconds, w.Proxies[1:], gone)
		if listed > 0 {
			t.Errorf("%s: listed at %d of %d looks", name, listed, checks)
		}
		wantForgotten(t, name, w, w.Proxies[1:], gone)
		checkOutcome(t, w, name, 0)
	}
}

// A proxy that was forgotten speaks again: after a cut the same process, or a new one at the same address
// whose versions begin below those of the former. All list it again.
func TestForgottenSourceSpeaksAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, 3)
		one := w.Proxies[0]
		if seed%2 == 0 {
			isolate(w, one)
		} else {
			one.PowerOff()
		}
		w.Run(silentSeconds + forgetSeconds)
		wantForgotten(t, name, w, w.Proxies[1:], one)
		if seed%2 == 0 {
			w.HealNetwork()
		} else {
			one.version = 0
			one.Start()
			one.StartHost()
		}
		w.Run(relistSeconds)
		wantListed(t, name, w, one)
		w.Run(forgetSeconds)
		wantListed(t, name+", later", w, one)
		checkOutcome(t, w, name, 0)
	}
}

// A control server is cut off from the others, with the proxies or without, for longer than silent sources are
// remembered. It forgets nobody for all: what it did not hear is no sign.
func TestServerThatWasCutOffForgetsNobody(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, 3)
		h := w.Servers[seed%3]
		partition(w, h, partitionDirections[seed%3])
		if seed%2 == 0 {
			for _, s := range w.Proxies {
				w.Isolate(h.addr, s.addr)
			}
		}
		w.Run(silentSeconds + forgetSeconds)
		w.HealNetwork()
		for until := w.Now + 3; w.Now < until; w.Run(checkIntervalSeconds) {
			for _, s := range w.Proxies[1:] {
				if !hasRecord(s, w.Proxies[0]) {
					t.Fatalf("%s: %s has forgotten a proxy that lives", name, s.addr)
				}
			}
		}
		wantListed(t, name, w, w.Proxies[0])
		checkOutcome(t, w, name, 0)
	}
}
