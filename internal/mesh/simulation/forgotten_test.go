package simulation

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/sidecar"
)

const (
	silentSeconds        = 8.5  // time after a machine's end within which all proxies stop listing it
	forgetSeconds        = 34.0 // time within which all servers and proxies have removed its record
	relistSeconds        = 2.5  // time within which all proxies list a proxy that has returned
	checkIntervalSeconds = 0.1
)

// isListed reports whether a proxy would send requests to the host of another.
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

// hasRecord reports whether a proxy has the record of another.
func hasRecord(s, other *Proxy) bool {
	for _, r := range s.State().Records {
		if r.Source == other.addr {
			return true
		}
	}
	return false
}

// countListed runs the world and counts the checks at which a proxy listed a removed one.
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

// wantForgotten checks that no server and none of the given proxies has the record of a removed proxy.
func wantForgotten(t *testing.T, name string, w *World, proxies []*Proxy, removed *Proxy) {
	t.Helper()
	for _, h := range w.Servers {
		for _, r := range h.server.State(w.Now).Records {
			if r.Source == removed.addr {
				t.Errorf("%s: server %s has the record of the removed proxy", name, h.addr)
			}
		}
	}
	for _, s := range proxies {
		if hasRecord(s, removed) {
			t.Errorf("%s: proxy %s has the record of the removed proxy", name, s.addr)
		}
	}
}

// wantListed checks that all other proxies list a proxy.
func wantListed(t *testing.T, name string, w *World, proxy *Proxy) {
	t.Helper()
	for _, s := range w.Proxies {
		if s != proxy && !isListed(s, proxy) {
			t.Errorf("%s: %s does not list %s", name, s.addr, proxy.addr)
		}
	}
}

// isolate blocks the traffic between a proxy and all other machines.
func isolate(w *World, proxy *Proxy) {
	for _, h := range w.Servers {
		w.Isolate(proxy.addr, h.addr)
	}
	for _, s := range w.Proxies {
		w.Isolate(proxy.addr, s.addr)
	}
}

// restartServers restarts all control servers at once. They lose the records of proxies, which are kept only in memory.
func restartServers(w *World) {
	for _, h := range w.Servers {
		h.Kill()
		w.After(0.2, h.Start)
	}
}

// rollingRestart restarts the control servers one after the other, starting after some seconds.
func rollingRestart(w *World, after float64) {
	const interval, downSeconds = 2.0, 0.5
	for i, h := range w.Servers {
		w.After(after+interval*float64(i), h.Kill)
		w.After(after+interval*float64(i)+downSeconds, h.Start)
	}
}

// A machine fails permanently while another proxy is isolated. The other proxies stop listing the failed machine and finally
// remove its record, although the control servers restart one after the other. The isolated proxy does the same as soon as it
// is back.
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
		rollingRestart(w, 18) // while the record is removed, or shortly before
		checks, listed := countListed(w, 2*forgetSeconds, others, gone)
		if listed > 0 {
			t.Errorf("%s: listed at %d of %d checks", name, listed, checks)
		}
		wantForgotten(t, name, w, others, gone)
		w.HealNetwork()
		w.Run(relistSeconds)
		wantForgotten(t, name+", after the isolation", w, w.Proxies[1:], gone)
		checks, listed = countListed(w, forgetSeconds, w.Proxies[1:], gone)
		if listed > 0 {
			t.Errorf("%s: after the isolation listed at %d of %d checks", name, listed, checks)
		}
		wantListed(t, name, w, others[0])
		checkOutcome(t, w, name, 0)
	}
}

// All control servers and the other proxies restart while a proxy is isolated that has the record of a failed machine. When
// that proxy is back, only its reports mention the machine. The machine is still marked silent and its record removed in
// time.
func TestForgottenSourceIsNamedByOneProxy(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, 3)
		gone, isolated := w.Proxies[0], w.Proxies[1]
		isolate(w, isolated)
		gone.PowerOff()
		w.Run(forgetSeconds + silentSeconds)
		for _, s := range w.Proxies[2:] { // which also loses their tombstones
			s.Kill()
			s.Start()
		}
		restartServers(w)
		w.Run(3)
		w.HealNetwork()
		w.Run(silentSeconds)
		checks, listed := countListed(w, forgetSeconds, w.Proxies[1:], gone)
		if listed > 0 {
			t.Errorf("%s: listed at %d of %d checks", name, listed, checks)
		}
		wantForgotten(t, name, w, w.Proxies[1:], gone)
		checkOutcome(t, w, name, 0)
	}
}

// A proxy whose record was removed returns: the same process after an isolation, or a new process at the same address whose
// record versions are lower than those of the former. All proxies list it again.
func TestForgottenSourceSpeaksAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, 3)
		proxy := w.Proxies[0]
		if seed%2 == 0 {
			isolate(w, proxy)
		} else {
			proxy.PowerOff()
		}
		w.Run(silentSeconds + forgetSeconds)
		wantForgotten(t, name, w, w.Proxies[1:], proxy)
		if seed%2 == 0 {
			w.HealNetwork()
		} else {
			proxy.version = 0
			proxy.Start()
			proxy.StartHost()
		}
		w.Run(relistSeconds)
		wantListed(t, name, w, proxy)
		w.Run(forgetSeconds)
		wantListed(t, name+", later", w, proxy)
		checkOutcome(t, w, name, 0)
	}
}

// A control server is partitioned from the others, and in half of the runs from the proxies, for longer than records of
// silent proxies are kept. The server must not cause the removal of records: the heartbeats that it missed prove nothing.
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
					t.Fatalf("%s: %s has removed the record of a running proxy", name, s.addr)
				}
			}
		}
		wantListed(t, name, w, w.Proxies[0])
		checkOutcome(t, w, name, 0)
	}
}
