package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

const (
	roundSeconds     = 0.5  // duration of a round of faults
	requestsPerRound = 14   // client requests in a round
	maxFaultShare    = 0.05 // upper bound of the share of messages for each network fault
	maxDelaySeconds  = 1.5  // upper bound of Faults.MaxDelaySeconds
)

// applyFirstConfig sends a cluster its first configuration, and fails the test if it is not acknowledged.
func applyFirstConfig(t *testing.T, seed uint64, w *World) {
	t.Helper()
	w.Configure(int(seed), 1, nil)
	w.Run(4)
	if w.Checker.NewestAcked != 1 {
		t.Fatalf("seed %d: no configuration after 4 s", seed)
	}
}

// newTillCluster returns a cluster with one host of the service shop and two of the service till.
func newTillCluster(t *testing.T, seed uint64) *World {
	t.Helper()
	w := New(seed, 3, Host{"shop", "a"}, Host{"till", "a"}, Host{"till", "b"})
	applyFirstConfig(t, seed, w)
	return w
}

// playFaultRound runs one round of faults. The seed determines the network faults, the process faults and the client requests.
func playFaultRound(w *World, seed uint64) {
	w.Rand = rand.New(rand.NewPCG(seed, 11))
	w.Faults.Duplicate = maxFaultShare * w.Rand.Float64()
	w.Faults.Delay = maxFaultShare * w.Rand.Float64()
	w.Faults.Corrupt = maxFaultShare * w.Rand.Float64()
	w.Faults.MaxDelaySeconds = maxDelaySeconds * w.Rand.Float64()
	for range 1 + w.Rand.IntN(3) {
		w.After(roundSeconds*w.Rand.Float64(), func() { injectProcessFault(w) })
	}
	for range requestsPerRound {
		w.After(roundSeconds*w.Rand.Float64(), func() { sendRandomRequest(w) })
	}
	w.Run(roundSeconds)
}

// sendRandomRequest sends a read, an operation with a key, which may be repeated at another proxy, or an operation without a
// key. Some clients disconnect early.
func sendRandomRequest(w *World) {
	s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	switch w.Rand.IntN(4) {
	case 0:
		w.Request(s, "/read/x", "", 2)
	case 3:
		key := fmt.Sprintf("l%d", w.Rand.Uint64())
		w.RequestAndDisconnect(s, []string{"/read/x", "/pay/x"}[w.Rand.IntN(2)], key, 0.1*w.Rand.Float64())
	case 1:
		w.Request(s, "/pay/x", "", 1)
	default:
		key := fmt.Sprintf("k%d", w.Rand.Uint64())
		w.Request(s, "/pay/x", key, 2)
		if w.Rand.IntN(2) == 0 {
			other := w.Proxies[w.Rand.IntN(len(w.Proxies))]
			w.After(0.2*w.Rand.Float64(), func() { w.Request(other, "/pay/x", key, 2) })
		}
	}
}

// injectProcessFault injects a random fault of a process or a connection.
func injectProcessFault(w *World) {
	s := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	other := w.Proxies[w.Rand.IntN(len(w.Proxies))]
	h := w.Servers[w.Rand.IntN(len(w.Servers))]
	after := w.Rand.Float64() * w.Rand.Float64()
	switch k := w.Rand.IntN(8); {
	case k == 0:
		restart(w, s, after/4)
	case k == 1 && s.up:
		s.PowerOff()
		w.After(after/2, func() { s.Start(); s.StartHost() })
	case k == 2:
		s.Freeze()
		w.After(after, s.Thaw)
	case k == 3 && s.up:
		s.Terminate(func() { w.After(0.1, s.Start) })
	case k == 4:
		h.Freeze()
		w.After(after, h.Thaw)
	case k == 5 && s.instance != nil:
		s.LoseResponses(0.3 * w.Rand.Float64())
	case k == 6:
		w.Reset(s.addr, h.addr)
	default:
		w.Reset(s.addr, other.addr)
	}
}

// restart kills a proxy, and starts it again after some seconds.
func restart(w *World, s *Proxy, after float64) {
	if !s.up {
		return
	}
	s.Kill()
	w.After(after, func() {
		if !s.up && !s.powerLost {
			s.Start()
		}
	})
}

// stopFaults ends the network faults, thaws all processes, and lets the cluster recover.
func stopFaults(w *World) {
	w.Faults.Duplicate, w.Faults.Delay, w.Faults.Corrupt = 0, 0, 0
	for _, s := range w.Proxies {
		s.Thaw()
	}
	for _, h := range w.Servers {
		h.Thaw()
	}
	w.Run(6)
}

// violationsByRule returns the number of violations of each rule.
func violationsByRule(w *World) map[string]int {
	rules := map[string]int{}
	for _, text := range w.Checker.Violations {
		rule, _, _ := strings.Cut(text, " ")
		rules[rule]++
	}
	return rules
}

// Random faults in thousands of rounds: messages are duplicated, corrupted, and delayed beyond a restart; processes are
// killed, powered off, frozen and terminated; connections are reset. No client gets the response to another request, and no
// request runs twice unless it is repeatable.
func TestCallsUnderFaults(t *testing.T) {
	const rounds = 50
	worlds := 50
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_CALLS")); err == nil { // more seeds
		worlds = n
	}
	counts := map[string]int{}
	for seed := range uint64(worlds) {
		w := newTillCluster(t, seed)
		for i := range uint64(rounds) {
			playFaultRound(w, seed*rounds+i)
		}
		stopFaults(w)
		checkOutcome(t, w, fmt.Sprintf("world %d", seed), 0.2)
		for rule, n := range violationsByRule(w) {
			t.Errorf("world %d: rule %s violated %d times", seed, rule, n)
		}
		for _, name := range []string{"duplicate", "delay", "corrupt"} {
			counts[name] += w.Faults.Count(name)
		}
		counts["served"] += w.Checker.Served
		counts["asked"] += w.Checker.Requested
	}
	t.Log(counts)
	for name, n := range counts {
		if n < 10*worlds {
			t.Errorf("%s: count is only %d", name, n)
		}
	}
}

// The checker must report MIXED when each process of a proxy reuses the message IDs and the incarnation of the process
// before, so that responses are effectively matched by message ID alone.
func TestCheckerFindsAnswersMatchedByIdAlone(t *testing.T) {
	mixedUp := 0
	for seed := range uint64(20) {
		w, sender := newShopCluster(t, seed)
		sender.seed = 1
		restart(w, sender, 0)
		w.Run(1)
		requestThroughRestart(w, sender)
		mixedUp += violationsByRule(w)["MIXED"]
	}
	if mixedUp == 0 {
		t.Error("no response to another request was found")
	}
	t.Logf("%d responses to other requests", mixedUp)
}

// The checker must report TWICE when the receiving proxy cannot recognize duplicates.
func TestCheckerFindsRepeatsThatRun(t *testing.T) {
	const worlds, rounds = 4, 50
	found := map[string]int{}
	for seed := range uint64(worlds) {
		w := newTillCluster(t, seed)
		w.Faults.NewIDs = true
		for i := range uint64(rounds) {
			playFaultRound(w, seed*rounds+i)
		}
		stopFaults(w)
		for rule, n := range violationsByRule(w) {
			found[rule] += n
		}
	}
	if found["TWICE"] == 0 {
		t.Errorf("violations %v: no request ran twice, though duplicates had new message IDs", found)
	}
	t.Log(found)
}
