package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"beechwing/internal/lab/virtual"
)

// crowd is a fleet in virtual time: many balancers that share nothing, and stand-in hosts that count.
type crowd struct {
	virtual.Clock
	t       *testing.T
	cfg     Config
	rng     *rand.Rand
	proxies []*proxy
	hosts   map[HostID]*standIn
	serve   func(c *crowd, h *standIn) (Result, time.Duration) // what a host makes of an attempt, and when

	asked, lost int // requests, and those of them with no good answer
}

// standIn is a host.
type standIn struct {
	Host
	bad      bool
	attempts int
	free     time.Duration // when it is done with what waits
	pushed   float64       // work sent while it was cold, in seconds of its capacity at that time
}

// proxy is the host program of one balancer.
type proxy struct {
	c   *crowd
	b   *Balancer
	out map[RequestID]int // attempts of the requests without an answer
	ids RequestID
}

func newCrowd(t *testing.T, proxies int, cfg Config, hosts []Host) *crowd {
	c := &crowd{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(1, 2)), hosts: map[HostID]*standIn{}}
	for _, h := range hosts {
		c.hosts[h.ID] = &standIn{Host: h}
	}
	for i := range proxies {
		cfg.Seed, cfg.Me, cfg.Zone = uint64(i), i, i%2
		p := &proxy{c: c, out: map[RequestID]int{}}
		p.b = New(c.clock(), cfg, p)
		p.b.UpdateHosts(c.clock(), ListFull, hosts)
		c.proxies = append(c.proxies, p)
	}
	return c
}

// clock is the time that the balancers are told, in seconds.
func (c *crowd) clock() float64 { return 100 + c.Now().Seconds() }

// load lets every proxy ask so many times a second, at random moments, of the first two classes in turn.
func (c *crowd) load(rate float64) {
	for _, p := range c.proxies {
		var next func()
		next = func() {
			p.ask()
			c.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		c.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
}

func (p *proxy) ask() {
	p.ids++
	p.c.asked++
	p.out[p.ids] = 0
	class := int(p.ids % 2)
	p.b.Request(p.c.clock(), Request{ID: p.ids, Class: class, Key: p.c.rng.Uint64(), Budget: p.c.cfg.Classes[class].Deadline})
}

func (p *proxy) Send(id RequestID, host HostID, timeout float64) {
	c, n := p.c, p.out[id]
	p.out[id]++
	h := c.hosts[host]
	h.attempts++
	result, took := c.serve(c, h)
	if limit := time.Duration(p.b.ops[id].deadline*float64(time.Second)) - 100*time.Second - c.Now(); took > limit {
		result, took = TimedOut, limit
	}
	sent := c.Now()
	c.After(took, func() {
		final := result == OK
		if final {
			delete(p.out, id)
		}
		p.b.Outcome(c.clock(), Outcome{ID: id, Attempt: n, Host: host, Result: result, Took: (c.Now() - sent).Seconds(), Final: final})
	})
}

func (p *proxy) lose(id RequestID) {
	if _, open := p.out[id]; open {
		delete(p.out, id)
		p.c.lost++
	}
}

func (p *proxy) Refuse(id RequestID, _ float64) { p.lose(id) }
func (p *proxy) Fail(id RequestID)              { p.lose(id) }
func (p *proxy) Cancel(RequestID, int)          {}
func (p *proxy) Probe(HostID)                   {}
func (p *proxy) Timer(after float64, token uint64) {
	p.c.After(time.Duration(after*float64(time.Second)), func() { p.b.Timer(p.c.clock(), token) })
}
func (p *proxy) Watch()           {}
func (p *proxy) Fetch()           {}
func (p *proxy) Broadcast([]byte) {}
func (p *proxy) Log(string)       {}

func crowdConfig() Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	for i := range cfg.Classes {
		cfg.Classes[i].Aim, cfg.Classes[i].Deadline = 0.5, 1.5
	}
	cfg.Balancers = 80
	return cfg
}

// TestBadHostsOfALargeFleet: each of 80 proxies meets each of 60 hosts about every fourth second. One in ten fails at once,
// or takes several times the aim. What all proxies together lose to them by finding out is bounded, also as they find out
// whether it is over.
func TestBadHostsOfALargeFleet(t *testing.T) {
	for name, c := range map[string]struct {
		serve        func(c *crowd, h *standIn) (Result, time.Duration)
		most, lost   float64 // attempts on a bad host from each proxy, in 20 s; share of requests lost
		recoversTill float64 // share of its usual attempts that a host has again, 20 s after it has become well
	}{
		"failing": {func(c *crowd, h *standIn) (Result, time.Duration) {
			if h.bad {
				return Errored, 5 * time.Millisecond
			}
			return OK, time.Duration((0.05 + 0.05*c.rng.ExpFloat64()) * float64(time.Second))
		}, 2.9, 0.028, 0.5},
		"slow": {func(c *crowd, h *standIn) (Result, time.Duration) {
			took := time.Duration((0.05 + 0.05*c.rng.ExpFloat64()) * float64(time.Second))
			if h.bad {
				took = 15 * took
			}
			return OK, took
		}, 2.8, 0.021, 0.5},
	} {
		w := newCrowd(t, 80, crowdConfig(), fleet(60))
		w.serve = c.serve
		w.load(15)
		w.Run(10 * time.Second)
		bad := 0
		for id, h := range w.hosts {
			h.attempts = 0
			if id%10 == 0 {
				h.bad = true
				bad++
			}
		}
		w.asked, w.lost = 0, 0
		w.Run(30 * time.Second)
		met := 0
		for _, h := range w.hosts {
			if h.bad {
				met += h.attempts
			}
		}
		if each, lost := float64(met)/80/float64(bad), float64(w.lost)/float64(w.asked); each > c.most || lost > c.lost {
			t.Errorf("%s: %.2f attempts on each bad host from each proxy, %.4f of all requests lost", name, each, lost)
		}
		for _, h := range w.hosts {
			h.bad, h.attempts = false, 0
		}
		w.Run(50 * time.Second)
		back, all := 0, 0
		for id, h := range w.hosts {
			if all += h.attempts; id%10 == 0 {
				back += h.attempts
			}
		}
		if share := float64(back) / float64(all) * 60 / float64(bad); share < c.recoversTill {
			t.Errorf("%s: hosts that are well again get %.2f of their share", name, share)
		}
	}
}

// queue makes a host work through attempts in turn, each for as long as its present capacity makes it, and counts what is
// sent to it against that.
func queue(work time.Duration) func(c *crowd, h *standIn) (Result, time.Duration) {
	return func(c *crowd, h *standIn) (Result, time.Duration) {
		capacity := 1.0
		if age := c.clock() - h.Started; h.Started > 0 && age < c.cfg.ColdFor {
			capacity = c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*age/c.cfg.ColdFor
			h.pushed += work.Seconds() / capacity
		}
		took := time.Duration(float64(work) / capacity)
		h.free = max(h.free, c.Now()) + took
		return OK, h.free - c.Now()
	}
}

// TestCrowdedHostsSpreadOut: 100 thin proxies that tell each other nothing, and hosts of which every third is three times
// slower: at an even share those crowd beside others that idle. What each proxy hears, an answer of a host in seconds, has to
// be enough that after a burst the slow ones do not stay crowded.
func TestCrowdedHostsSpreadOut(t *testing.T) {
	w := newCrowd(t, 100, crowdConfig(), fleet(60))
	late := map[bool]int{} // answers over the aim, by whether the host is slow
	w.serve = func(c *crowd, h *standIn) (Result, time.Duration) {
		slow := h.ID%3 == 0
		work := time.Duration((0.5 + c.rng.ExpFloat64()) * float64(15*time.Millisecond))
		if slow {
			work *= 3
		}
		h.free = max(h.free, c.Now()) + work
		if took := h.free - c.Now(); took > 500*time.Millisecond {
			late[slow]++
		}
		return OK, h.free - c.Now()
	}
	w.load(9) // at an even share a slow host would be at work for all of the time, the others for a third
	w.Run(10 * time.Second)
	for _, p := range w.proxies { // the burst: half as much again, for five seconds
		for range 22 {
			w.After(time.Duration(w.rng.Int64N(int64(5*time.Second))), p.ask)
		}
	}
	w.Run(16 * time.Second)
	for _, h := range w.hosts {
		h.attempts = 0
	}
	w.asked, w.lost = 0, 0
	clear(late)
	w.Run(26 * time.Second)
	each := map[bool]float64{}
	for id, h := range w.hosts {
		each[id%3 == 0] += float64(h.attempts)
	}
	lost, tardy := float64(w.lost)/float64(w.asked), float64(late[true])/each[true]
	if ratio := each[true] / (each[false] / 2); lost > 0.002 || tardy > 0.02 || ratio > 0.7 || ratio < 0.2 {
		t.Errorf("after a burst: slow hosts get %.2f of what others do, %.3f of it late; %.4f of all requests lost", ratio, tardy, lost)
	}
}

// replace puts a new host in the place of one.
func (c *crowd) replace(old, id HostID) {
	gone, fresh := c.hosts[old].Host, c.hosts[old].Host
	gone.Status, fresh.ID, fresh.Started = Removed, id, c.clock()
	c.hosts[id] = &standIn{Host: fresh}
	for _, p := range c.proxies {
		p.b.UpdateHosts(c.clock(), ListChanges, []Host{gone, fresh})
	}
}

// TestMostHostsReplaced: six hosts in ten are replaced within 7 s under load. The new ones are not pushed over by all
// proxies together, and once they are half warm they carry what the old ones cannot.
func TestMostHostsReplaced(t *testing.T) {
	cfg := crowdConfig()
	w := newCrowd(t, 80, cfg, fleet(60))
	w.serve = queue(20 * time.Millisecond)
	w.load(19) // the old ones alone can take four fifths of it
	w.Run(10 * time.Second)
	for i := range 36 {
		w.After(time.Duration(i)*7*time.Second/36, func() { w.replace(HostID(100+i), HostID(500+i)) })
	}
	worst, before := 0.0, map[HostID]float64{}
	for w.Now() < 25*time.Second {
		w.Run(w.Now() + time.Duration(cfg.FallAfter*float64(time.Second)))
		for id, h := range w.hosts {
			worst = max(worst, (h.pushed-before[id])/cfg.FallAfter/cfg.FallMultiple)
			before[id] = h.pushed
		}
	}
	if lost := float64(w.lost) / float64(w.asked); worst > 0.6 || lost > 0.019 {
		t.Errorf("a cold host got %.2f of what pushes it over, %.3f of all requests lost", worst, lost)
	}
}
