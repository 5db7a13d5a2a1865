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

// The end of a day: a fault right after a configuration was acknowledged, or soon after one was sent, and then an operator who asks for the
// newest again and again, at every server.

const (
	readIntervalSeconds = 0.1  // seconds between questions at each server
	readSeconds         = 9.0  // seconds, contactMs and more
	firstAnswerSeconds  = 6.0  // seconds after the fault until somebody has to answer
	restartSeconds      = 1.0  // seconds until all machines are started again
	configFaultRuns     = 6    // of each fault
	settleSeconds       = 3.0  // seconds before the fault
	closingHosts        = 3    // hosts and their proxies
	resendSeconds       = 0.25 // seconds until an order that is not acknowledged is sent again
)

// closingFaults by name: what it does to the machines, of which it starts all again.
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
	"a disk is lost and all that count lose power": func(w *World, random *rand.Rand) {
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

// startAll starts whatever is down, each machine at its own moment.
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

// reader asks every server for the configuration, and holds each answer against what was sent and acknowledged.
type reader struct {
	w              *World
	violations     []string
	sent           map[uint64][][]byte // by version: the texts that were sent
	acked          uint64
	text           []byte // of the newest acknowledged
	answers        int
	newestAnswered uint64 // newest version that was answered
	firstAt        float64
}

func (r *reader) fail(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// order sends a configuration to any servers until it is acknowledged.
func (r *reader) sendUntilAcked(version uint64, text []byte, random *rand.Rand, acked func()) {
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
				acked()
			}
		})
		r.w.After(resendSeconds, resend)
	}
	resend()
}

// send sends a configuration to any server, once.
func (r *reader) send(version uint64, text []byte, random *rand.Rand, acked func()) {
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
		acked()
	})
}

// readAll asks every server that is up, again and again until a time.
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

// answered judges an answer to a question that was asked when least was the newest that had been acknowledged, or answered.
func (r *reader) checkAnswer(h *ControlServer, text []byte, minVersion uint64) {
	table, err := routeconfig.Compile(text)
	if err != nil {
		r.fail("%s answers something that is no configuration: %v", h.addr, err)
		return
	}
	if r.answers++; r.firstAt == 0 {
		r.firstAt = r.w.Now
	}
	knownText := false
	for _, sent := range r.sent[table.Edition] {
		knownText = knownText || bytes.Equal(sent, text)
	}
	switch {
	case !knownText:
		r.fail("%s answers version %d as nobody sent it", h.addr, table.Edition)
	case table.Edition < minVersion:
		r.fail("%s answers version %d, %d was acknowledged or told before", h.addr, table.Edition, minVersion)
	case table.Edition == r.acked && !bytes.Equal(text, r.text):
		r.fail("%s answers another text under version %d than was acknowledged", h.addr, table.Edition)
	}
	r.newestAnswered = max(r.newestAnswered, table.Edition)
}

// After each fault that may close a day, everybody who is asked for the configuration tells the newest that was acknowledged, whole, or that he
// cannot be sure; and somebody knows it soon.
func TestConfigurationIsReadAfterClosingFaults(t *testing.T) {
	runs := configFaultRuns
	if n, err := strconv.Atoi(os.Getenv("SIMULATION_DAYS")); err == nil {
		runs = max(runs, n/6)
	}
	for name, fault := range configFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				for _, broken := range runConfigFault(seed, fault) {
					t.Errorf("seed %d: %s", seed, broken)
				}
			}
		})
	}
}

// More disks are lost than is borne: that is found.
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
		t.Error("nothing is found")
	}
}

// Answers that are old, torn, or nobody's are found.
func TestClosingCheckJudgesAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text   []byte
		broken bool
	}{
		"the newest":                    {Config(3), false},
		"an older one":                  {Config(2), true},
		"another text under its number": {ConfigVariant(3, 1), true},
		"a text that nobody sent":       {Config(4), true},
		"half of one":                   {Config(3)[:40], true},
		"nothing":                       {nil, true},
	} {
		r := &reader{w: New(1, 3), acked: 3, text: Config(3), sent: map[uint64][][]byte{2: {Config(2)}, 3: {Config(3), ConfigVariant(3, 1)}}}
		r.checkAnswer(r.w.Servers[0], c.text, r.acked)
		if broken := len(r.violations) > 0; broken != c.broken {
			t.Errorf("%s: %v", name, r.violations)
		}
	}
}

// closeDay plays the last seconds of a day and says what was broken. Of each three days one has its fault right after the acknowledgement, one
// soon after the sending, and one with another text under the same number on its way.
func runConfigFault(seed uint64, fault func(*World, *rand.Rand)) []string {
	random := rand.New(rand.NewPCG(seed, 23))
	var hosts []Host
	for i := range closingHosts {
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
	injectFault := func() {
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
		r.sendUntilAcked(last, Config(last), random, injectFault)
	case 1:
		r.sendUntilAcked(last, Config(last), random, func() {})
		w.After(0.02*random.Float64(), injectFault)
	default:
		for variant := range 2 {
			text := ConfigVariant(last, 1-variant)
			r.sent[last] = append(r.sent[last], text)
			r.send(last, text, random, injectFault)
		}
	}
	began := w.Now
	w.Run(readSeconds + 3)
	if !injected {
		r.fail("there was no fault")
	}
	if r.answers == 0 || r.firstAt > began+firstAnswerSeconds {
		r.fail("%d answers, the first %.1f s after the last order", r.answers, r.firstAt-began)
	}
	if r.newestAnswered < r.acked {
		r.fail("%d is read at the end, %d was acknowledged", r.newestAnswered, r.acked)
	}
	return append(r.violations, w.Checker.Violations...)
}
