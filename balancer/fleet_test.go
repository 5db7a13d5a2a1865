package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"beechwing/internal/lab/virtual"
)

// cluster simulates, in virtual time, many balancers that share no state, and fake hosts that count their
// attempts.
type cluster struct {
	virtual.Clock
	t       *testing.T
	cfg     Config
	rng     *rand.Rand
	proxies []*proxy
	hosts   map[HostID]*fakeHost
	serve   func(c *cluster, h *fakeHost) (Result, time.Duration) // runs an attempt at a host

	requests, unserved int // requests, and those without a good answer
}

// fakeHost is a simulated host.
type fakeHost struct {
	Host
	bad       bool
	attempts  int
	busyUntil time.Duration // when its queue is empty
	coldWork  float64       // work sent while it was cold, in seconds at its capacity at that time
}

// proxy is the host program of one balancer.
type proxy struct {
	cluster  *cluster
	balancer *Balancer
	attempts map[RequestID]int // attempts of each unanswered request
	lastID   RequestID
}

func newCluster(t *testing.T, proxies int, cfg Config, hosts []Host) *cluster {
	c := &cluster{t: t, cfg: cfg, rng: rand.New(rand.NewPCG(1, 2)), hosts: map[HostID]*fakeHost{}}
	for _, h := range hosts {
		c.hosts[h.ID] = &fakeHost{Host: h}
	}
	for i := range proxies {
		cfg.Seed, cfg.Me, cfg.Zone = uint64(i), i, i%2
		p := &proxy{cluster: c, attempts: map[RequestID]int{}}
		p.balancer = New(c.clock(), cfg, p)
		p.balancer.UpdateHosts(c.clock(), ListFull, hosts)
		c.proxies = append(c.proxies, p)
	}
	return c
}

// clock is the time passed to the balancers, in seconds.
func (c *cluster) clock() float64 { return 100 + c.Now().Seconds() }

// generateLoad makes every proxy send rate requests a second, at random times, alternating between the first
// two classes.
func (c *cluster) generateLoad(rate float64) {
	for _, p := range c.proxies {
		var next func()
		next = func() {
			p.request()
			c.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		c.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
}

func (p *proxy) request() {
	p.lastID++
	p.cluster.requests++
	p.attempts[p.lastID] = 0
	class := int(p.lastID % 2)
	p.balancer.Request(p.cluster.clock(), Request{ID: p.lastID, Class: class,
		Key: p.cluster.rng.Uint64(), Budget: p.cluster.cfg.Classes[class].Deadline})
}

func (p *proxy) Send(id RequestID, host HostID, timeout float64) {
	c, n := p.cluster, p.attempts[id]
	p.attempts[id]++
	h := c.hosts[host]
	h.attempts++
	result, took := c.serve(c, h)
	if limit := time.Duration(p.balancer.requests[id].deadline*float64(time.Second)) -
		100*time.Second - c.Now(); took > limit {
		result, took = TimedOut, limit
	}
	sent := c.Now()
	c.After(took, func() {
		final := result == OK
		if final {
			delete(p.attempts, id)
		}
		p.balancer.Outcome(c.clock(), Outcome{ID: id, Attempt: n, Host: host, Result: result,
			Took: (c.Now() - sent).Seconds(), Final: final})
	})
}

func (p *proxy) recordUnserved(id RequestID) {
	if _, open := p.attempts[id]; open {
		delete(p.attempts, id)
		p.cluster.unserved++
	}
}

func (p *proxy) Refuse(id RequestID, _ float64) { p.recordUnserved(id) }
func (p *proxy) Fail(id RequestID)              { p.recordUnserved(id) }
func (p *proxy) Cancel(RequestID, int)          {}
func (p *proxy) Probe(HostID)                   {}
func (p *proxy) Timer(after float64, token uint64) {
	p.cluster.After(time.Duration(after*float64(time.Second)),
		func() { p.balancer.Timer(p.cluster.clock(), token) })
}
func (p *proxy) Watch()           {}
func (p *proxy) Fetch()           {}
func (p *proxy) Broadcast([]byte) {}
func (p *proxy) Log(string)       {}

func clusterConfig() Config {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	for i := range cfg.Classes {
		cfg.Classes[i].Aim, cfg.Classes[i].Deadline = 0.5, 1.5
	}
	cfg.Balancers = 80
	return cfg
}

// TestBadHostsOfALargeFleet: each of 80 proxies sends to each of 60 hosts about every four seconds. One host
// in ten fails at once or takes several times the aim. The requests that all proxies together lose while they
// detect this, and while they probe for recovery, are bounded.
func TestBadHostsOfALargeFleet(t *testing.T) {
	for name, c := range map[string]struct {
		serve          func(c *cluster, h *fakeHost) (Result, time.Duration)
		most, lost     float64 // limits: attempts per bad host and proxy in 20 s; share of requests lost
		recoveredShare float64 // least share of its usual attempts that a host gets in 20 s after recovery
	}{
		"failing": {func(c *cluster, h *fakeHost) (Result, time.Duration) {
			if h.bad {
				return Errored, 5 * time.Millisecond
			}
			return OK, time.Duration((0.05 + 0.05*c.rng.ExpFloat64()) * float64(time.Second))
		}, 2.9, 0.028, 0.5},
		"slow": {func(c *cluster, h *fakeHost) (Result, time.Duration) {
			took := time.Duration((0.05 + 0.05*c.rng.ExpFloat64()) * float64(time.Second))
			if h.bad {
				took = 15 * took
			}
			return OK, took
		}, 2.8, 0.021, 0.5},
	} {
		w := newCluster(t, 80, clusterConfig(), fleet(60))
		w.serve = c.serve
		w.generateLoad(15)
		w.Run(10 * time.Second)
		bad := 0
		for id, h := range w.hosts {
			h.attempts = 0
			if id%10 == 0 {
				h.bad = true
				bad++
			}
		}
		w.requests, w.unserved = 0, 0
		w.Run(30 * time.Second)
		attempts := 0
		for _, h := range w.hosts {
			if h.bad {
				attempts += h.attempts
			}
		}
		if each, lost := float64(attempts)/80/float64(bad),
			float64(w.unserved)/float64(w.requests); each > c.most || lost > c.lost {
			t.Errorf("%s: %.2f attempts per bad host and proxy, %.4f of all requests lost", name, each, lost)
		}
		for _, h := range w.hosts {
			h.bad, h.attempts = false, 0
		}
		w.Run(50 * time.Second)
		recovered, all := 0, 0
		for id, h := range w.hosts {
			if all += h.attempts; id%10 == 0 {
				recovered += h.attempts
			}
		}
		if share := float64(recovered) / float64(all) * 60 / float64(bad); share < c.recoveredShare {
			t.Errorf("%s: recovered hosts get %.2f of their share", name, share)
		}
	}
}

// serveInTurn makes a host serve attempts one after the other, at its present capacity, and counts the work
// sent to it while it is cold.
func serveInTurn(work time.Duration) func(c *cluster, h *fakeHost) (Result, time.Duration) {
	return func(c *cluster, h *fakeHost) (Result, time.Duration) {
		capacity := 1.0
		if age := c.clock() - h.Started; h.Started > 0 && age < c.cfg.ColdFor {
			capacity = c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*age/c.cfg.ColdFor
			h.coldWork += work.Seconds() / capacity
		}
		took := time.Duration(float64(work) / capacity)
		h.busyUntil = max(h.busyUntil, c.Now()) + took
		return OK, h.busyUntil - c.Now()
	}
}

// TestCrowdedHostsSpreadOut guards against slow hosts that stay overloaded while others idle. 100 proxies
// with low traffic exchange no messages, and every third host is three times slower. Each proxy gets one
// answer of a host in several seconds, which must suffice to relieve the slow hosts after a burst.
func TestCrowdedHostsSpreadOut(t *testing.T) {
	w := newCluster(t, 100, clusterConfig(), fleet(60))
	late := map[bool]int{} // answers after the aim; key: whether the host is slow
	w.serve = func(c *cluster, h *fakeHost) (Result, time.Duration) {
		slow := h.ID%3 == 0
		work := time.Duration((0.5 + c.rng.ExpFloat64()) * float64(15*time.Millisecond))
		if slow {
			work *= 3
		}
		h.busyUntil = max(h.busyUntil, c.Now()) + work
		if took := h.busyUntil - c.Now(); took > 500*time.Millisecond {
			late[slow]++
		}
		return OK, h.busyUntil - c.Now()
	}
	w.generateLoad(9) // with even shares slow hosts would be fully busy, the others a third of the time
	w.Run(10 * time.Second)
	for _, p := range w.proxies { // the burst: 50% more load for five seconds
		for range 22 {
			w.After(time.Duration(w.rng.Int64N(int64(5*time.Second))), p.request)
		}
	}
	w.Run(16 * time.Second)
	for _, h := range w.hosts {
		h.attempts = 0
	}
	w.requests, w.unserved = 0, 0
	clear(late)
	w.Run(26 * time.Second)
	each := map[bool]float64{}
	for id, h := range w.hosts {
		each[id%3 == 0] += float64(h.attempts)
	}
	lost, lateShare := float64(w.unserved)/float64(w.requests), float64(late[true])/each[true]
	if ratio := each[true] / (each[false] / 2); lost > 0.002 || lateShare > 0.02 ||
		ratio > 0.7 || ratio < 0.2 {
		t.Errorf("after a burst: slow hosts get %.2f of what others get, %.3f of it late; %.4f of all requests lost",
			ratio, lateShare, lost)
	}
}

// replace removes a host and adds a freshly started one.
func (c *cluster) replace(old, id HostID) {
	removed, added := c.hosts[old].Host, c.hosts[old].Host
	removed.Status, added.ID, added.Started = Removed, id, c.clock()
	c.hosts[id] = &fakeHost{Host: added}
	for _, p := range c.proxies {
		p.balancer.UpdateHosts(c.clock(), ListChanges, []Host{removed, added})
	}
}

// TestMostHostsReplaced: six hosts in ten are replaced within 7 s under load. All proxies together must not
// overload the new hosts, which, once half warm, must carry what the old ones cannot.
func TestMostHostsReplaced(t *testing.T) {
	cfg := clusterConfig()
	w := newCluster(t, 80, cfg, fleet(60))
	w.serve = serveInTurn(20 * time.Millisecond)
	w.generateLoad(19) // the old hosts alone can serve four fifths of it
	w.Run(10 * time.Second)
	for i := range 36 {
		w.After(time.Duration(i)*7*time.Second/36, func() { w.replace(HostID(100+i), HostID(500+i)) })
	}
	worst, before := 0.0, map[HostID]float64{}
	for w.Now() < 25*time.Second {
		w.Run(w.Now() + time.Duration(cfg.FallAfter*float64(time.Second)))
		for id, h := range w.hosts {
			worst = max(worst, (h.coldWork-before[id])/cfg.FallAfter/cfg.FallMultiple)
			before[id] = h.coldWork
		}
	}
	if lost := float64(w.unserved) / float64(w.requests); worst > 0.6 || lost > 0.019 {
		t.Errorf("a cold host got %.2f of the load that overloads it, %.3f of all requests lost", worst, lost)
	}
}
