package simulation

import (
	"fmt"
	"testing"
)

// Random faults under traffic: killed processes, power failures, lost disks within the tolerance, partitions in one or both
// directions, hosts that drain, crash and lose responses, and configurations of two operators. No rule is violated, and
// afterwards all requests are served again.
func TestDaysOfTroubles(t *testing.T) {
	t.Parallel()
	for seed := range uint64(daysFromEnv(12)) {
		playDayOfFaults(t, seed, func(*World) {})
	}
}

// playDayOfFaults plays traffic under random faults, and checks that no rule is violated and that all requests are served again
// afterwards. prepare is called before the traffic.
func playDayOfFaults(t *testing.T, seed uint64, prepare func(*World)) {
	t.Helper()
	w := newCluster(t, seed, 3+int(seed%3))
	if seed%2 == 1 {
		enableAgreedEjection(w)
	}
	prepare(w)
	startTraffic(w, 14)
	version := uint64(1)
	lostUntil := 0.0 // until then a control server counts as lost; only one may be lost at a time
	for at := 0.5; at < 9; at += 0.3 + 0.7*w.Rand.Float64() {
		w.After(at, func() { injectFault(w, &version, &lostUntil) })
	}
	w.Run(12)
	w.HealNetwork()
	for _, s := range w.Proxies {
		if s.instance != nil {
			s.LoseResponses(0)
		}
	}
	w.Run(4)
	w.Checker.CheckConfigInForce(w.Proxies...)
	served := w.Checker.Served
	for i := range 40 {
		w.After(float64(i)*0.02, func() { w.Request(w.Proxies[i%len(w.Proxies)], "/pay/x", fmt.Sprintf("after%d", i), 3) })
	}
	w.Run(4)
	if got := w.Checker.Served - served; got < 36 {
		t.Errorf("seed %d: %d of 40 operations served after the faults; statuses %v", seed, got, w.Checker.Statuses)
	}
	var read uint64
	w.ReadConfig(0, func(v uint64) { read = v })
	w.Run(2)
	if read < w.Checker.NewestAcked {
		t.Errorf("seed %d: read version %d, but %d was acknowledged", seed, read, w.Checker.NewestAcked)
	}
	checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.3)
}

// injectFault injects a random fault, or sends a configuration. lostUntil keeps the loss of control servers within the
// tolerance.
func injectFault(w *World, version *uint64, lostUntil *float64) {
	h := w.Servers[w.Rand.IntN(len(w.Servers))]
	s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	downSeconds := 0.2 + 1.5*w.Rand.Float64()
	mayLoseServer := w.Now > *lostUntil
	switch k := w.Rand.IntN(12); {
	case k < 4 && !mayLoseServer, k >= 7 && k < 9 && !s.up:
	case k == 0:
		*lostUntil = w.Now + downSeconds + 4
		h.PowerOff()
		if w.Rand.IntN(2) == 0 {
			h.Wipe()
		}
		w.After(downSeconds, h.Start)
	case k == 1:
		*lostUntil = w.Now + downSeconds + 4
		h.Kill()
		w.After(downSeconds, h.Start)
	case k == 2: // all at once; the disks are kept
		*lostUntil = w.Now + 5
		for _, h := range w.Servers {
			h.Kill()
			w.After(0.9*w.Rand.Float64(), h.Start)
		}
	case k == 3:
		*lostUntil = w.Now + downSeconds + 4
		for _, o := range w.Servers {
			if o != h {
				w.Block(h.addr, o.addr)
				if w.Rand.IntN(2) == 0 {
					w.Block(o.addr, h.addr)
				}
			}
		}
		w.After(downSeconds, w.HealNetwork)
	case k == 4:
		s.Kill()
		w.After(downSeconds, s.Start)
	case k == 5 && s.up:
		s.PowerOff()
		w.After(downSeconds, func() { s.Start(); s.StartHost() })
	case k == 6:
		for _, o := range w.Servers {
			w.Isolate(s.addr, o.addr)
		}
		w.After(downSeconds, w.HealNetwork)
	case k == 7 && s.instance != nil:
		s.Drain()
		w.After(3+downSeconds, s.StartHost)
	case k == 8 && s.instance != nil:
		s.CrashHost()
		w.After(downSeconds, s.StartHost)
	case k == 10: // congested links: messages of abandoned requests arrive late
		for _, o := range w.Proxies {
			if w.Rand.IntN(3) == 0 {
				w.AddLatency(s.addr, o.addr, 0.3+1.2*w.Rand.Float64())
			}
		}
		w.After(1+downSeconds, w.ClearLatency)
	case k == 9 && s.instance != nil:
		s.LoseResponses(0.2)
	default:
		*version += 1 + uint64(w.Rand.IntN(3))
		w.Configure(w.Rand.IntN(9), *version, nil)
		if w.Rand.IntN(2) == 0 {
			w.Configure(w.Rand.IntN(9), *version-1, nil)
		}
	}
}
