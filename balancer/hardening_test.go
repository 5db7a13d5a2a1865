package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// logger is a recorder that also keeps log lines.
type logger struct {
	recorder
	lines []string
}

func (l *logger) Log(text string) { l.lines = append(l.lines, text) }

// TestOddSettings plays random events under unusual settings. With any of them every request must be answered
// and the rules must hold.
func TestOddSettings(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"nothing given":       func(c *Config) { *c = Config{Seed: 1} },
		"one attempt":         func(c *Config) { c.MaxAttempts = 1 },
		"no limit":            func(c *Config) { c.MaxAttempts = 0 },
		"no second copies":    func(c *Config) { c.SecondCopies = false },
		"no cancelling":       func(c *Config) { c.Cancelling = false },
		"pushed list":         func(c *Config) { c.AskForList = false },
		"cells":               func(c *Config) { c.Classes[2].Group = GroupCell },
		"one balancer":        func(c *Config) { c.Balancers = 1 },
		"expensive crossings": func(c *Config) { c.Prices.CrossZone = 1 },
		"probes":              func(c *Config) { c.Probes = true },
		"late worth nothing":  func(c *Config) { c.Classes[0].LateWorth = 0 },
		"steady weights":      func(c *Config) { c.Weighted = true },
		"warm keys":           func(c *Config) { c.WarmKeys = true },
		"no cold settings":    func(c *Config) { c.ColdFor, c.FallAfter = 0, 0 },
	} {
		for _, size := range []int{0, 1, 8, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, size), func(t *testing.T) {
				cfg := testConfig()
				change(&cfg)
				w := newRuleChecker(t, cfg, fleet(size), rand.NewPCG(3, 3))
				w.playRandom(400)
				w.runToEnd()
			})
		}
	}
}

// TestClock: the clock may start at any value. Negative times were once taken for ejections still in force.
func TestClock(t *testing.T) {
	var want []event
	for i, from := range []float64{0, -1 << 20, 1 << 30} {
		r := &recorder{now: from, sends: map[RequestID]int{}}
		b := New(from, testConfig(), r)
		b.UpdateHosts(from, ListFull, fleet(5))
		for n := range 300 {
			r.advance(b, r.now+0.0078125)
			if h := r.request(b, RequestID(n+1), n%4, uint64(n%9+1)); h != 0 && n%3 > 0 {
				r.end(b, RequestID(n+1), 0, h, Result(n%6))
			}
		}
		if i == 0 {
			want = r.log
		} else if fmt.Sprint(r.log) != fmt.Sprint(want) {
			t.Errorf("different actions with a clock from %v", from)
		}
	}
}

// TestMemory: memory is bounded by the current hosts and requests, not by all that were ever seen.
func TestMemory(t *testing.T) {
	b, r := startBalancer(testConfig(), nil)
	for i := range 20000 {
		r.log, r.timers = r.log[:0], r.timers[:0]
		r.now += 0.01
		if i%50 == 0 {
			host := Host{ID: HostID(1<<40 + i), Zone: i % 2, Status: Ready, Started: r.now}
			b.UpdateHosts(r.now, ListFull, []Host{host, {ID: 7, Status: Ready}})
		}
		b.PeerMessage(r.now, i, []byte{byte(i), byte(i >> 8)})
		id := RequestID(1<<51 + i)
		if h := r.request(b, id, i%4, uint64(i)); h != 0 {
			r.end(b, id, 0, h, OK)
		}
		clear(r.sends)
		b.Timer(r.now, timerTick<<kindShift)
	}
	if len(b.hosts) > 3 || len(b.hostByID) > 3 || len(b.requests) > 1 || len(b.queue) > 1 {
		t.Fatalf("%d hosts, %d indexed, %d requests, %d queued",
			len(b.hosts), len(b.hostByID), len(b.requests), len(b.queue))
	}
}

// TestUnknownEvents: events for unknown requests, attempts or hosts are ignored.
func TestUnknownEvents(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(2))
	h := r.request(b, 1, 0, 5)
	before := len(r.log)
	b.ClientLeft(r.now, 99)
	b.Outcome(r.now, Outcome{ID: 99, Host: h})
	b.Outcome(r.now, Outcome{ID: 1, Attempt: 7, Host: h})
	b.Outcome(r.now, Outcome{ID: 1, Attempt: -1, Host: h})
	b.ResponseStarted(r.now, 99, 0)
	b.ResponseStarted(r.now, 1, 9)
	b.Probed(r.now, ProbeResult{Host: 12345})
	b.Timer(r.now, 1<<64-1)
	b.PeerMessage(r.now, 3, nil)
	b.Request(r.now, Request{ID: 1, Budget: 1}) // a duplicate ID
	if len(r.log) != before {
		t.Fatalf("acted on unknown events: %+v", r.log[before:])
	}
}

// TestStream: a streamed answer that has started is not cancelled, failed or refused, however long it takes
// and even if its client leaves.
func TestStream(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(2))
	h := r.request(b, 1, 0, 5)
	b.ResponseStarted(r.now, 1, 0)
	r.advance(b, r.now+30)
	b.ClientLeft(r.now, 1)
	if r.count("cancel") != 0 || r.count("fail") != 0 || r.count("refuse") != 0 {
		t.Fatalf("acted on a started stream: %+v", r.log)
	}
	b.Outcome(r.now, Outcome{ID: 1, Host: h, Result: Reset, Final: true})
	if len(b.requests) != 0 || b.hosts[0].inflight+b.hosts[1].inflight != 0 {
		t.Fatalf("%d requests kept after the stream", len(b.requests))
	}
}

// TestLogLines: ejection, shedding and the list are logged, each at most once per tick.
func TestLogLines(t *testing.T) {
	l := &logger{recorder: recorder{now: 5, sends: map[RequestID]int{}}}
	b := New(5, testConfig(), l)
	b.UpdateHosts(5, ListFull, fleet(2))
	b.UpdateHosts(5.1, ListFailed, nil)
	for i, h := range b.hosts {
		for range 4 {
			b.now = 6 + 10*float64(i)
			b.recordHealth(h, failedRequest, 1)
		}
	}
	b.UpdateHosts(17, ListFull, nil)
	b.workSpan = 1
	b.Request(17, Request{ID: 1, Budget: 3, Work: 0.1})
	all := strings.Join(l.lines, "\n")
	for _, want := range []string{"list received, 2 entries", "ejected 64 until", "ejected 65 until",
		"shedding, 0 held"} {
		if strings.Count(all, want) != 1 {
			t.Errorf("%q found %d times in\n%s", want, strings.Count(all, want), all)
		}
	}
}

// TestConfigure: after a change of settings, open requests keep their class and number of attempts, and
// learned state follows its class to the new index. This also holds for a change back, and while the class of
// an open request is removed.
func TestConfigure(t *testing.T) {
	old := testConfig()
	changed := testConfig()
	changed.Classes = []Class{{Aim: 0.2, Deadline: 1, Worth: 5, Effect: Unsafe}, old.Classes[0]}
	changed.MaxAttempts, changed.ColdFor = 1, 23
	b, r := startBalancer(old, fleet(8))
	h := r.request(b, 1, 0, 7) // a safe request
	unsafe := r.request(b, 2, 1, 9)
	removed := r.request(b, 3, 3, 11)
	b.classWork[0], b.shedShare[0], b.coldCredit, b.warmWork = 0.7, 0.3, 2, 5
	b.hostByID[h].ejectedUntil = b.now + 9
	b.hostByID[h].losses[0] = 4
	b.Configure(r.now, changed, []int{-1, 0})
	if b.classWork[1] != 0.7 || b.shedShare[1] != 0.3 || b.hostByID[h].losses[1] != 4 ||
		b.classWork[0] == 0.7 || b.hostByID[h].losses[0] != 0 {
		t.Errorf("state by class not kept: work %v, shed shares %v, losses %v",
			b.classWork, b.shedShare, b.hostByID[h].losses)
	}
	if b.coldCredit != 2 || b.warmWork != 5 || b.hostByID[h].ejectedUntil <= b.now || b.longestAim != 2 {
		t.Errorf("state by host not kept: cold credit %v, warm work %v, longest aim %v",
			b.coldCredit, b.warmWork, b.longestAim)
	}
	r.end(b, 2, 0, unsafe, Errored)
	if got := r.last(); got.kind != "fail" || got.id != 2 {
		t.Errorf("unsafe request of a removed class: %+v", got)
	}
	r.end(b, 1, 0, h, Errored) // only new requests are limited to one attempt
	if got := r.last(); got.kind != "send" || got.id != 1 {
		t.Errorf("an open request was not retried: %+v", got)
	}
	if h := r.request(b, 4, 1, 5); h == 0 {
		t.Error("a request was not sent under the new settings")
	} else if r.end(b, 4, 0, h, Errored); r.sends[4] != 1 {
		t.Errorf("%d attempts where the settings allow one", r.sends[4])
	}
	b.Configure(r.now, old, []int{1, -1, -1, -1})
	if b.hostByID[h].losses[0] != 4 {
		t.Errorf("after the change back: losses %v", b.hostByID[h].losses)
	}
	r.end(b, 3, 0, removed, OK)
	if _, open := b.requests[3]; open {
		t.Error("a request whose class was removed and added again is still open")
	}
	r.advance(b, r.now+30)
	if len(b.requests) > 1 {
		t.Errorf("%d requests open", len(b.requests))
	}
}

// TestPickIsCheap guards against per-host work in each pick. Decaying the losses of all 200 hosts made a pick
// four times as expensive, and proxies with a third of a core answered nothing in their first seconds.
func TestPickIsCheap(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(200))
	for _, h := range b.hosts {
		b.recordLoss(h, 0)
	}
	r.now += 5
	r.request(b, 1, 0, 7)
	for _, h := range b.hosts {
		if h.lossesDecayedAt == r.now {
			t.Fatalf("a pick decayed the losses of host %d", h.ID)
		}
	}
}
