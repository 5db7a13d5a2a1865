package simulation

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/routeconfig"
)

// Tests of reading the configuration back: a fault is injected right after a configuration is acknowledged, or soon after it
// is sent. Then every server is asked for the newest configuration repeatedly.

const (
	readIntervalSeconds = 0.1  // between reads at each server
	readSeconds         = 9.0  // time of reading after the fault, longer than contactMs
	firstAnswerSeconds  = 6.0  // time after the last configuration within which a server has to answer
	restartSeconds      = 1.0  // time within which all machines are started again
	configFaultRuns     = 6    // seeds for each fault
	settleSeconds       = 3.0  // time for the cluster to settle before the fault
	configFaultHosts    = 3    // number of hosts with their proxies
	resendSeconds       = 0.25 // time after which an unacknowledged configuration is sent again
)

// configFaults has the faults by name. Each one stops machines, and all of them are started again.
var configFaults = map[string]func(w *World, random *rand.Rand){
	"all machines lose power": func(w *World, _ *rand.Rand) { powerOffAll(w) },
	"all processes are killed": func(w *World, _ *rand.Rand) {
		for _, h := range w.Servers {
			h.Kill()
		}
		for _, s := range w.Proxies {
			s.Kill()
		}
	},
	"a disk is lost": func(w *World, random *rand.Rand) { loseDisk(w.Servers[random.IntN(len(w.Servers))]) },
	"a disk is lost and all other machines lose power": func(w *World, random *rand.Rand) {
		lost := w.Servers[random.IntN(len(w.Servers))]
		powerOffAll(w)
		lost.Wipe()
	},
	"a disk is lost and all control servers lose power": func(w *World, random *rand.Rand) {
		lost := w.Servers[random.IntN(len(w.Servers))]
		for _, h := range w.Servers {
			h.PowerOff()
		}
		lost.Wipe()
	},
}

func powerOffAll(w *World) {
	for _, h := range w.Servers {
		h.PowerOff()
	}
	for _, s := range w.Proxies {
		s.PowerOff()
	}
}

func loseDisk(h *ControlServer) {
	h.PowerOff()
	h.Wipe()
}

// startAll starts all machines that are down, each at a random time within restartSeconds.
func startAll(w *World, random *rand.Rand) {
	for _, h := range w.Servers {
		if !h.up {
			w.After(restartSeconds*random.Float64(), h.Start)
		}
	}
	for _, s := range w.Proxies {
		if !s.up {
			w.After(restartSeconds*random.Float64(), func() { s.Start(); s.StartHost() })
		}
	}
}

// reader reads the configuration from every server, and checks each answer against the configurations that were sent and
// acknowledged.
type reader struct {
	w              *World
	violations     []string
	sent           map[uint64][][]byte // texts that were sent, by version
	acked          uint64              // newest acknowledged version
	text           []byte              // of the newest acknowledged version
	answers        int
	newestAnswered uint64  // newest version that was read
	firstAt        float64 // time of the first answer
}

func (r *reader) fail(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// sendUntilAcked sends a configuration to random servers until it is acknowledged.
func (r *reader) sendUntilAcked(version uint64, text []byte, random *rand.Rand, onAck func()) {
	r.sent[version] = append(r.sent[version], text)
	done := false
	var resend func()
	resend = func() {
		if done {
			return
		}
		r.send(version, text, random, func() {
			if !done {
				done = true
				onAck()
			}
		})
		r.w.After(resendSeconds, resend)
	}
	resend()
}

// send sends a configuration to a random server, once.
func (r *reader) send(version uint64, text []byte, random *rand.Rand, onAck func()) {
	r.w.SendConfig(r.w.Servers[random.IntN(len(r.w.Servers))], version, text, func(result control.OrderResult) {
		if result != control.OrderTaken {
			return
		}
		switch {
		case version > r.acked:
			r.acked, r.text = version, text
		case version == r.acked && !bytes.Equal(text, r.text):
			r.fail("two texts are acknowledged under version %d", version)
		}
		onAck()
	})
}

// readAll reads from every running server, repeatedly until a time.
func (r *reader) readAll(until float64) {
	if r.w.Now > until {
		return
	}
	for _, h := range r.w.Servers {
		if !h.up {
			continue
		}
		incarnation, acked, answered := h.starts, r.acked, r.newestAnswered
		h.input(func() {
			h.server.Configuration(r.w.Now, func(text []byte, result control.OrderResult) {
				if h.up && h.starts == incarnation && result == control.OrderTaken {
					r.checkAnswer(h, text, max(acked, answered))
				}
			})
		})
	}
	r.w.After(readIntervalSeconds, func() { r.readAll(until) })
}

// checkAnswer checks an answer. minVersion is the newest version that had been acknowledged or read when the question was sent.
func (r *reader) checkAnswer(h *ControlServer, text []byte, minVersion uint64) {
	table, err := routeconfig.Compile(text)
	if err != nil {
		r.fail("%s returns an invalid configuration: %v", h.addr, err)
		return
	}
	if r.answers++; r.firstAt == 0 {
		r.firstAt = r.w.Now
	}
	knownText := false
	for _, sent := range r.sent[table.Version] {
		knownText = knownText || bytes.Equal(sent, text)
	}
	switch {
	case !knownText:
		r.fail("%s returns a text under version %d that no operator sent", h.addr, table.Version)
	case table.Version < minVersion:
		r.fail("%s returns version %d, though %d was acknowledged or read before", h.addr, table.Version, minVersion)
	case table.Version == r.acked && !bytes.Equal(text, r.text):
		r.fail("%s returns another text under version %d than the acknowledged one", h.addr, table.Version)
	}
	r.newestAnswered = max(r.newestAnswered, table.Version)
}

// After each fault, every server that is asked for the configuration returns the newest acknowledged one, complete, or
// reports that it cannot be sure. At least one server returns it soon.
func TestConfigurationIsReadAfterClosingFaults(t *testing.T) {
	runs := configFaultRuns
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil {
		runs = max(runs, n/6)
	}
	for name, fault := range configFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				for _, violation := range runConfigFault(seed, fault) {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// The check must find the violations when all disks are lost, which is more than the cluster tolerates.
func TestClosingCheckFindsLostDisks(t *testing.T) {
	found := 0
	for seed := range uint64(configFaultRuns) {
		found += len(runConfigFault(seed, func(w *World, _ *rand.Rand) {
			for _, h := range w.Servers {
				loseDisk(h)
			}
		}))
	}
	if found == 0 {
		t.Error("no violation was found")
	}
}

// The check must find answers that are outdated, truncated or unknown.
func TestClosingCheckJudgesAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text     []byte
		violated bool
	}{
		"the newest":                    {Config(3), false},
		"an older one":                  {Config(2), true},
		"another text under its number": {ConfigVariant(3, 1), true},
		"a text that was never sent":    {Config(4), true},
		"half of one":                   {Config(3)[:40], true},
		"nothing":                       {nil, true},
	} {
		r := &reader{w: New(1, 3), acked: 3, text: Config(3), sent: map[uint64][][]byte{2: {Config(2)}, 3: {Config(3),
			ConfigVariant(3, 1)}}}
		r.checkAnswer(r.w.Servers[0], c.text, r.acked)
		if violated := len(r.violations) > 0; violated != c.violated {
			t.Errorf("%s: %v", name, r.violations)
		}
	}
}

// runConfigFault runs a cluster with one fault and returns the violations. Depending on the seed, the fault is injected right
// after the acknowledgement, soon after the sending, or while two texts are sent under the same version.
func runConfigFault(seed uint64, fault func(*World, *rand.Rand)) []string {
	random := rand.New(rand.NewPCG(seed, 23))
	var hosts []Host
	for i := range configFaultHosts {
		hosts = append(hosts, Host{[]string{"shop", "till"}[i%2], []string{"a", "b"}[i%2]})
	}
	w := New(seed, 3+2*int(seed%2), hosts...)
	r := &reader{w: w, sent: map[uint64][][]byte{}}
	w.Run(settleSeconds)
	r.sendUntilAcked(1, Config(1), random, func() {})
	w.Run(settleSeconds)
	last := 2 + random.Uint64N(5)
	for version := uint64(2); version < last; version++ {
		r.sendUntilAcked(version, Config(version), random, func() {})
		w.Run(0.3)
	}
	injected := false
	inject := func() {
		if injected {
			return
		}
		injected = true
		fault(w, random)
		startAll(w, random)
		w.After(0, func() { r.readAll(w.Now + readSeconds) })
	}
	switch seed % 3 {
	case 0:
		r.sendUntilAcked(last, Config(last), random, inject)
	case 1:
		r.sendUntilAcked(last, Config(last), random, func() {})
		w.After(0.02*random.Float64(), inject)
	default:
		for variant := range 2 {
			text := ConfigVariant(last, 1-variant)
			r.sent[last] = append(r.sent[last], text)
			r.send(last, text, random, inject)
		}
	}
	began := w.Now
	w.Run(readSeconds + 3)
	if !injected {
		r.fail("the fault was not injected")
	}
	if r.answers == 0 || r.firstAt > began+firstAnswerSeconds {
		r.fail("%d answers, the first %.1f s after the last configuration was sent", r.answers, r.firstAt-began)
	}
	if r.newestAnswered < r.acked {
		r.fail("version %d is read at the end, but %d was acknowledged", r.newestAnswered, r.acked)
	}
	return append(r.violations, w.Checker.Violations...)
}
