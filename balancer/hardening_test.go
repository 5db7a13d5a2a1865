package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// logger is a recorder that keeps the log lines.
type logger struct {
	recorder
	lines []string
}

func (l *logger) Log(text string) { l.lines = append(l.lines, text) }

// TestOddSettings plays settings outside any deployment measured so far: whatever they are, every request is
// answered and the rules hold.
func TestOddSettings(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"nothing given":      func(c *Config) { *c = Config{Seed: 1} },
		"one attempt":        func(c *Config) { c.MaxAttempts = 1 },
		"no limit":           func(c *Config) { c.MaxAttempts = 0 },
		"no second copies":   func(c *Config) { c.SecondCopies = false },
		"no cancelling":      func(c *Config) { c.Cancelling = false },
		"pushed list":        func(c *Config) { c.AskForList = false },
		"cells":              func(c *Config) { c.Classes[2].Group = GroupCell },
		"one balancer":       func(c *Config) { c.Balancers = 1 },
		"dear crossings":     func(c *Config) { c.Prices.CrossZone = 1 },
		"probes":             func(c *Config) { c.Probes = true },
		"late worth nothing": func(c *Config) { c.Classes[0].LateWorth = 0 },
		"steady weights":     func(c *Config) { c.Weighted = true },
		"warm keys":          func(c *Config) { c.WarmKeys = true },
		"no cold figures":    func(c *Config) { c.ColdFor, c.FallAfter = 0, 0 },
	} {
		for _, size := range []int{0, 1, 8, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, size), func(t *testing.T) {
				cfg := testConfig()
				change(&cfg)
				w := newWorld(t, cfg, fleet(size), rand.NewPCG(3, 3))
				w.play(400)
				w.settleAll()
			})
		}
	}
}

// TestClock: the clock may start anywhere. Negative times once looked like ejections that had not ended.
func TestClock(t *testing.T) {
	var want []event
	for i, from := range []float64{0, -1 << 20, 1 << 30} {
		r := &recorder{now: from, tries: map[RequestID]int{}}
		b := New(from, testConfig(), r)
		b.UpdateHosts(from, ListFull, fleet(5))
		for n := range 300 {
			r.advance(b, r.now+0.0078125)
			if h := r.ask(b, RequestID(n+1), n%4, uint64(n%9+1)); h != 0 && n%3 > 0 {
				r.end(b, RequestID(n+1), 0, h, Result(n%6))
			}
		}
		if i == 0 {
			want = r.log
		} else if fmt.Sprint(r.log) != fmt.Sprint(want) {
			t.Errorf("other actions with a clock from %v", from)
		}
	}
}

// TestMemory: what an instance keeps is bounded by what is alive, not by what has come and gone.
func TestMemory(t *testing.T) {
	b, r := start(testConfig(), nil)
	for i := range 20000 {
		r.log, r.timers = r.log[:0], r.timers[:0]
		r.now += 0.01
		if i%50 == 0 {
			host := Host{ID: HostID(1<<40 + i), Zone: i % 2, Status: Ready, Started: r.now}
			b.UpdateHosts(r.now, ListFull, []Host{host, {ID: 7, Status: Ready}})
		}
		b.PeerMessage(r.now, i, []byte{byte(i), byte(i >> 8)})
		id := RequestID(1<<51 + i)
		if h := r.ask(b, id, i%4, uint64(i)); h != 0 {
			r.end(b, id, 0, h, OK)
		}
		clear(r.tries)
		b.Timer(r.now, timerTick<<tokenKind)
	}
	if len(b.hosts) > 3 || len(b.index) > 3 || len(b.ops) > 1 || len(b.held) > 1 {
		t.Fatalf("%d hosts, %d indexed, %d requests, %d held", len(b.hosts), len(b.index), len(b.ops),
			len(b.held))
	}
}

// TestUnknownEvents: what names nothing known is ignored.
func TestUnknownEvents(t *testing.T) {
	b, r := start(testConfig(), fleet(2))
	h := r.ask(b, 1, 0, 5)
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
	b.Request(r.now, Request{ID: 1, Budget: 1}) // an id already known
	if len(r.log) != before {
		t.Fatalf("acted on unknown events: %+v", r.log[before:])
	}
}

// TestStream: a stream that has begun belongs to the client; it is neither cancelled nor counted late.
func TestStream(t *testing.T) {
	b, r := start(testConfig(), fleet(2))
	h := r.ask(b, 1, 0, 5)
	b.ResponseStarted(r.now, 1, 0)
	r.advance(b, r.now+30)
	b.ClientLeft(r.now, 1)
	if r.count("cancel") != 0 || r.count("fail") != 0 || r.count("refuse") != 0 {
		t.Fatalf("acted on a stream under way: %+v", r.log)
	}
	b.Outcome(r.now, Outcome{ID: 1, Host: h, Result: Reset, Final: true})
	if len(b.ops) != 0 || b.hosts[0].inflight+b.hosts[1].inflight != 0 {
		t.Fatalf("%d requests kept after the stream", len(b.ops))
	}
}

// TestLogLines: ejection, shedding and the list are told, and not more than once each quarter aim.
func TestLogLines(t *testing.T) {
	l := &logger{recorder: recorder{now: 5, tries: map[RequestID]int{}}}
	b := New(5, testConfig(), l)
	b.UpdateHosts(5, ListFull, fleet(2))
	b.UpdateHosts(5.1, ListFailed, nil)
	for i, h := range b.hosts {
		for range 4 {
			b.now = 6 + 10*float64(i)
			b.judge(h, failed, 1)
		}
	}
	b.UpdateHosts(17, ListFull, nil)
	b.span = 1
	b.Request(17, Request{ID: 1, Budget: 3, Work: 0.1})
	all := strings.Join(l.lines, "\n")
	for _, want := range []string{"list received, 2 entries", "ejected 64 until", "ejected 65 until",
		"shedding, 0 held"} {
		if strings.Count(all, want) != 1 {
			t.Errorf("%q stands %d times in\n%s", want, strings.Count(all, want), all)
		}
	}
}

// TestConfigure: other settings leave what is open under the class and attempts with which it was taken, and what was
// learned in its place, by the class's name; there and back, also while the class of an open request is gone.
func TestConfigure(t *testing.T) {
	old := testConfig()
	pool := testConfig()
	pool.Classes = []Class{{Aim: 0.2, Deadline: 1, Worth: 5, Effect: Unsafe}, old.Classes[0]}
	pool.MaxAttempts, pool.ColdFor = 1, 23
	b, r := start(old, fleet(8))
	h := r.ask(b, 1, 0, 7) // may be repeated, whatever comes
	unsafe := r.ask(b, 2, 1, 9)
	log := r.ask(b, 3, 3, 11)
	b.classWork[0], b.strain[0], b.cold, b.warmFlow = 0.7, 0.3, 2, 5
	b.index[h].until = b.now + 9
	b.index[h].lost[0] = 4
	b.Configure(r.now, pool, []int{-1, 0})
	if b.classWork[1] != 0.7 || b.strain[1] != 0.3 || b.index[h].lost[1] != 4 || b.classWork[0] == 0.7 || b.index[h].lost[0] != 0 {
		t.Errorf("learned of classes: work %v, strain %v, lost %v", b.classWork, b.strain, b.index[h].lost)
	}
	if b.cold != 2 || b.warmFlow != 5 || b.index[h].until <= b.now || b.longest != 2 {
		t.Errorf("learned of hosts is gone: cold %v, flow %v, longest %v", b.cold, b.warmFlow, b.longest)
	}
	r.end(b, 2, 0, unsafe, Errored)
	if got := r.last(); got.kind != "fail" || got.id != 2 {
		t.Errorf("unsafe, its class gone: %+v", got)
	}
	r.end(b, 1, 0, h, Errored) // one attempt is what new ones have
	if got := r.last(); got.kind != "send" || got.id != 1 {
		t.Errorf("an open request lost its attempts: %+v", got)
	}
	if h := r.ask(b, 4, 1, 5); h == 0 {
		t.Error("nothing is sent under the new settings")
	} else if r.end(b, 4, 0, h, Errored); r.tries[4] != 1 {
		t.Errorf("%d attempts where the settings allow one", r.tries[4])
	}
	b.Configure(r.now, old, []int{1, -1, -1, -1})
	if b.index[h].lost[0] != 4 {
		t.Errorf("back again: lost %v", b.index[h].lost)
	}
	r.end(b, 3, 0, log, OK)
	if _, open := b.ops[3]; open {
		t.Error("a request whose class went and came is still open")
	}
	r.advance(b, r.now+30)
	if len(b.ops) > 1 {
		t.Errorf("%d requests open", len(b.ops))
	}
}

// TestPickIsCheap guards against work for each host of a large fleet in each pick: with 200 hosts, fading what each had lost
// made a pick cost four times as much, and proxies with a third of a core answered nothing in their first seconds.
func TestPickIsCheap(t *testing.T) {
	b, r := start(testConfig(), fleet(200))
	for _, h := range b.hosts {
		b.lose(h, 0)
	}
	r.now += 5
	r.ask(b, 1, 0, 7)
	for _, h := range b.hosts {
		if h.lostAt == r.now {
			t.Fatalf("a pick faded what host %d lost", h.ID)
		}
	}
}
