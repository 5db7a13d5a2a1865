package simulation

import (
	"fmt"
	"testing"
)

// Without faults almost all requests are served.
func TestCalmDay(t *testing.T) {
	t.Parallel()
	for _, servers := range []int{3, 4, 5} {
		w := newCluster(t, 1, servers)
		startTraffic(w, 3)
		w.Run(7)
		checkOutcome(t, w, fmt.Sprintf("%d servers", servers), 0.97)
	}
}

// An acknowledged configuration must survive faults at the moment of the acknowledgement: all machines lose power, all
// processes are killed, or all machines lose power and one control server also its disk.
func TestAcknowledgedConfigurationSurvives(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		w := newCluster(t, seed, 3+int(seed%3))
		fault := []string{"power", "kill", "wipe"}[seed/3%3]
		injected := false
		w.Configure(int(seed), 9, func() {
			injected = true
			for _, h := range w.Servers {
				if fault == "kill" {
					h.Kill()
				} else {
					h.PowerOff()
				}
			}
			for _, s := range w.Proxies {
				s.PowerOff()
			}
			if fault == "wipe" {
				w.Servers[w.Rand.IntN(len(w.Servers))].Wipe()
			}
		})
		w.Run(1)
		if !injected {
			t.Fatalf("seed %d: configuration not acknowledged within 1 s", seed)
		}
		for _, h := range w.Servers {
			w.After(0.3*w.Rand.Float64(), h.Start)
		}
		for _, s := range w.Proxies {
			w.After(0.3*w.Rand.Float64(), func() { s.Start(); s.StartHost() })
		}
		w.Run(5)
		var read uint64
		w.ReadConfig(int(seed), func(v uint64) { read = v })
		w.Run(3)
		w.Checker.CheckConfigInForce(w.Proxies...)
		if read != 9 {
			t.Errorf("seed %d, %s: read version %d, but 9 was acknowledged", seed, fault, read)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d, %s", seed, fault), 0)
	}
}

// A control server that restarts with an empty disk does not know its promises. It must not vote until it has recovered the
// state from the other servers, and must vote afterwards.
func TestWipedDiskDoesNotVote(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newCluster(t, seed, 3)
		startTraffic(w, 4)
		w.Run(1)
		h := w.Servers[seed%3]
		h.PowerOff()
		h.Wipe()
		w.Run(0.5)
		h.Start()
		other := w.Servers[(seed+1)%3]
		other.PowerOff() // one of the servers needed for the recovery has no power
		w.Run(2.5)
		if h.Voting() {
			t.Errorf("seed %d: the server votes though its promises are lost", seed)
		}
		other.Start()
		w.Run(2)
		if !h.Voting() {
			t.Errorf("seed %d: the server does not vote though all servers are up again", seed)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.3)
	}
}

// A draining host gets no requests after the time that the rule DRAIN allows, and no request is lost.
func TestDrainUnderTraffic(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newCluster(t, seed, 3)
		startTraffic(w, 6)
		for i, at := range []int{0, 3} {
			w.After(1+float64(i), w.Proxies[at].Drain)
			w.After(3.5+float64(i), w.Proxies[at].StartHost)
		}
		w.Run(10)
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0.95)
	}
}

// A rolling restart of the proxies under traffic, as for a new version, loses no request. The host of a proxy that shuts down
// goes on serving requests of others until shortly before the end.
func TestProxiesEndInTurn(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 8, 3)
	startTraffic(w, 12)
	for i, s := range w.Proxies {
		w.After(0.5+1.5*float64(i), func() {
			s.Terminate(func() {
				w.After(0.4, s.Start)
			})
			runs := w.Checker.RunsAt(s)
			w.After(1.5, func() {
				if w.Checker.RunsAt(s) < runs+3 {
					t.Errorf("%s got only %d requests in the 1.5 s after SIGTERM", s.addr, w.Checker.RunsAt(s)-runs)
				}
			})
		})
	}
	w.Run(14)
	checkOutcome(t, w, "ended in turn", 0.95)
}

// A proxy that is cut off from all updates keeps sending requests to a host that drains. The receiving proxy rejects them.
func TestGateHoldsAgainstOldNews(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 5, 3)
	stale, draining := w.Proxies[2], w.Proxies[0]
	for _, h := range w.Servers {
		w.Isolate(stale.addr, h.addr)
	}
	for _, s := range w.Proxies {
		if s != draining {
			w.Isolate(stale.addr, s.addr)
		}
	}
	draining.Drain()
	stale.CrashHost()
	for i := range 100 {
		w.After(float64(i)*0.029, func() { w.Request(stale, "/read/x", "", 1) })
	}
	w.Run(6)
	checkOutcome(t, w, "old news", 0)
	if w.Checker.Statuses[503] < 80 {
		t.Errorf("statuses %v: want at least 80 rejections", w.Checker.Statuses)
	}
}

// A proxy that is cut off from the control servers receives configurations from the other proxies that it monitors.
func TestCutOffProxyHearsFromNeighbours(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 3, 3)
	isolated := w.Proxies[2]
	for _, h := range w.Servers {
		w.Isolate(isolated.addr, h.addr)
	}
	w.Configure(1, 5, nil)
	w.Run(5)
	w.Checker.CheckConfigInForce(isolated)
	checkOutcome(t, w, "cut off", 0)
}

// After a power failure of all machines one control server stays off, which is within the tolerance. Proxies that contact
// this server first must not wait for it: they have the configuration as soon as the others.
func TestStartBesideAServerWithoutPower(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := newCluster(t, seed, 3)
		for _, h := range w.Servers {
			h.PowerOff()
		}
		for _, s := range w.Proxies {
			s.PowerOff()
		}
		w.Run(0.5)
		for i, h := range w.Servers {
			if i != int(seed%3) {
				h.Start()
			}
		}
		w.Run(0.3)
		for _, s := range w.Proxies {
			s.Start()
			s.StartHost()
		}
		w.Run(0.6)
		w.Checker.CheckConfigInForce(w.Proxies...)
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}

// Differences in response times alone must not send requests to another zone, as traffic between zones costs money. The
// receiving proxies know the free capacity of their hosts.
func TestNearHostsStayNear(t *testing.T) {
	t.Parallel()
	w := newCluster(t, 4, 3)
	for i := range 3000 {
		w.After(float64(i)*0.02, func() { w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/read/x", "", 1) })
	}
	w.Run(62)
	checkOutcome(t, w, "near", 0.98)
	if share := float64(w.Checker.CrossZone) / float64(w.Checker.SameZone+w.Checker.CrossZone); share > 0.2 {
		t.Errorf("%.2f of all reads ran in another zone, want at most 0.2", share)
	}
}

// An operation costs the control plane messages to a majority only: for the claim and for the end of the run each, one copy
// and its response with three control servers, and four with nine. The background traffic does not depend on the number of
// operations.
func TestOperationsCostTheMajority(t *testing.T) {
	t.Parallel()
	for _, servers := range []int{3, 5, 7, 9} {
		w := newCluster(t, 2, servers)
		measure := func() (messages, bytes int) {
			messages, bytes = w.Messages, w.Bytes
			w.Run(5)
			return w.Messages - messages, w.Bytes - bytes
		}
		idleMessages, idleBytes := measure()
		const n = 200
		for i := range n {
			w.After(float64(i)*0.02, func() { w.Request(w.Proxies[i%len(w.Proxies)], "/pay/x", fmt.Sprintf("k%d", i), 1) })
		}
		loadMessages, _ := measure()
		others := servers / 2
		if perOperation := float64(loadMessages-idleMessages) / n; perOperation > float64(4*others)*1.15+0.5 {
			t.Errorf("%d control servers: %.1f messages per operation, %d are needed", servers, perOperation, 4*others)
		}
		if maxIdleBytes := 5 * 1024 * servers * servers; idleBytes > maxIdleBytes {
			t.Errorf("%d control servers: %d bytes in 5 s without operations, want at most %d", servers, idleBytes, maxIdleBytes)
		}
		checkOutcome(t, w, fmt.Sprintf("%d servers", servers), 0.95)
	}
}

// Hosts run requests but lose most responses, so every read is worth a retry. All proxies together stay within the retry
// budget, without coordination between them.
func TestLostAnswersStayInTheBudget(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := newCluster(t, seed, 3)
		for _, s := range w.Proxies {
			s.LoseResponses(0.9)
		}
		for i := range 4000 {
			w.After(float64(i)*0.005, func() { w.Request(w.Proxies[w.Rand.IntN(len(w.Proxies))], "/read/x", "", 1) })
		}
		w.Run(22)
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
		if n := len(w.Checker.retryTimes["shop"]); n < 100 {
			t.Errorf("seed %d: %d retries in 20 s, too few to test the budget", seed, n)
		}
	}
}

// A control server that lost its disk and cannot recover yet is in contact with others, but does not know the newest
// acknowledged configuration. Proxies that ask it must go on to another server, and use the newest configuration as soon as
// all others.
func TestNobodyWaitsForAServerThatRecovers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := newCluster(t, seed, 5)
		h := w.Servers[seed%3]
		h.PowerOff()
		h.Wipe()
		w.Run(0.5)
		for i := range 2 { // without these two it cannot recover
			w.Isolate(h.addr, w.Servers[3+i].addr)
		}
		h.Start()
		w.Run(1)
		for _, s := range w.Proxies { // some contact the recovering server first
			s.Kill()
			s.Start()
		}
		w.Run(2)
		w.Configure(int(seed)+3, 7, nil)
		w.Run(2)
		if h.Voting() || w.Checker.NewestAcked != 7 {
			t.Fatalf("seed %d: voting %v, acknowledged %d: the setup of the test failed, want false and 7", seed,
				h.Voting(), w.Checker.NewestAcked)
		}
		w.Checker.CheckConfigInForce(w.Proxies...)
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}
