package simulation

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"testing"

	"beechwing/internal/mesh/meshpb"
)

const (
	stretchSteps = 12  // between looks at what is known
	stepTakes    = 0.4 // seconds, at most
	quietFor     = 8.0 // seconds after which all know the same
	restFor      = 5.0 // seconds in which nobody sends a vector
)

// known is what records tell, by source.
func known(records []*meshpb.Record) map[string]string {
	all := map[string]string{}
	for _, r := range records {
		all[r.Source] = fmt.Sprintf("%d %s %d", r.Version, r.Station, r.Condition)
	}
	return all
}

// wantAgreement checks that every proxy that runs knows just what every control server knows.
func wantAgreement(t *testing.T, name string, w *World) {
	t.Helper()
	want := known(w.Servers[0].server.State(w.Now).Roll)
	for _, h := range w.Servers[1:] {
		if got := known(h.server.State(w.Now).Roll); !maps.Equal(got, want) {
			t.Errorf("%s: server %s knows %v, another %v", name, h.addr, got, want)
		}
	}
	for _, s := range w.Proxies {
		if got := known(s.State().Roll); s.up && !maps.Equal(got, want) {
			t.Errorf("%s: proxy %s knows %v, the servers %v", name, s.addr, got, want)
		}
	}
}

// vectors counts the pulls by vector that control servers got in their lives.
func vectors(w *World) (n uint64) {
	for _, h := range w.Servers {
		n += h.server.State(w.Now).Counts.Vectors
	}
	return n
}

// pullMishap has something befall a proxy, its host, a control server or the links between them.
func pullMishap(w *World) {
	s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	h := w.Servers[w.Rand.IntN(len(w.Servers))]
	down := 2 * w.Rand.Float64()
	switch k := w.Rand.IntN(10); {
	case k == 0:
		restart(w, s, down)
	case k == 1 && s.up:
		s.PowerOff()
		w.After(down, func() { s.Start(); s.StartHost() })
	case k == 2 && s.station != nil:
		s.CrashHost()
		w.After(down, s.StartHost)
	case k == 3 && s.up && s.station != nil:
		s.Drain()
		w.After(4, s.StartHost)
	case k == 4:
		h.Kill()
		w.After(down, h.Start)
	case k == 5:
		h.Freeze()
		w.After(down, h.Thaw)
	case k == 6: // only its neighbours tell it anything
		for _, o := range w.Servers {
			w.CutOff(s.addr, o.addr)
		}
		w.After(2*down, w.JoinAll)
	case k == 7:
		w.CutOff(s.addr, h.addr)
		w.After(down, w.JoinAll)
	case k == 8:
		restartServers(w)
	default:
		w.Reset(s.addr, h.addr)
	}
}

// quiet ends all that befell, and waits until all know the same.
func quiet(w *World) {
	w.Faults.Double, w.Faults.Late, w.Faults.Garble = 0, 0, 0
	w.Run(5) // what was begun ends
	w.JoinAll()
	for _, h := range w.Servers {
		h.Thaw()
		h.Start()
	}
	for _, s := range w.Proxies {
		if !s.up {
			s.Start()
			s.StartHost()
		}
	}
	w.Run(quietFor)
}

// Thousands of steps by lot: proxies and their hosts end, start, leave and lose power; control servers restart
// and stand still; links are cut and reset; messages come late, twice or not at all. Once all is quiet each
// proxy knows just what the servers know, and nobody sends a vector any more.
func TestPullsAgainstModel(t *testing.T) {
	t.Parallel()
	const stretches = 10
	worlds := 24
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_PULLS")); err == nil { // more, by hand
		worlds = n
	}
	for seed := range uint64(worlds) {
		w := cluster(t, seed, 3)
		for i := range stretches {
			name := fmt.Sprintf("seed %d, stretch %d", seed, i)
			w.Faults.Double, w.Faults.Late, w.Faults.Garble, w.Faults.Within = 0.1, 0.1, 0.05, faultyMost
			for range stretchSteps {
				pullMishap(w)
				w.Run(stepTakes * w.Rand.Float64())
			}
			quiet(w)
			wantAgreement(t, name, w)
			before := vectors(w)
			w.Run(restFor)
			if n := vectors(w) - before; n > 0 {
				t.Errorf("%s: %d pulls by vector at rest", name, n)
			}
		}
		verdictOn(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}

// A machine that one proxy alone knows of, from the machine itself while no control server answered, is known to
// no server. It is gone for good before they are back: they hear of it from that proxy, and it is forgotten.
func TestSourceKnownToOneProxyIsForgotten(t *testing.T) {
	t.Parallel()
	w := cluster(t, 1, 3)
	gone := w.Proxies[0]
	for _, h := range w.Servers {
		for _, s := range w.Proxies {
			w.CutOff(s.addr, h.addr)
		}
	}
	w.Run(3)
	gone.Kill()
	gone.version += 5000
	gone.Start()
	w.Run(3)
	gone.PowerOff()
	w.JoinAll()
	w.Run(forgottenWithin)
	wantForgotten(t, "known to one proxy", w, w.Proxies[1:], gone)
	wantAgreement(t, "known to one proxy", w)
	verdictOn(t, w, "known to one proxy", 0)
}
