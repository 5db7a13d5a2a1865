package failover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// model is a fleet in virtual time: hosts by zone that become slow once full, and proxies that each keep a window.
type model struct {
	t       *testing.T
	rng     *rand.Rand
	now     float64
	zones   []Zone
	cap     map[string]float64 // requests a second that a zone bears
	tipped  map[string]bool    // its hosts are crowded, and bear two thirds until the load has fallen
	dead    func(from, to string) bool
	proxies []*stand
	mean    map[string]float64 // load of late
	slow    map[string]float64 // multiple of the time that work takes

	offered, served, refused, lost, far, abroad float64 // since reset
}

// stand is a proxy of the model.
type stand struct {
	name, zone string
	rate       float64
	window     *Window
	row        ZonePlan
	off        bool // it does not run
}

func newModel(t *testing.T, perZone int, rate float64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: 100, cap: map[string]float64{}, tipped: map[string]bool{},
		slow: map[string]float64{}, mean: map[string]float64{}, dead: func(string, string) bool { return false }}
	for i, name := range []string{"a", "b", "c", "d"} {
		m.zones = append(m.zones, Zone{Name: name, Region: []string{"north", "south"}[i/2], WarmWeight: 6})
		m.cap[name] = 300
		for k := range perZone {
			m.proxies = append(m.proxies, &stand{name: fmt.Sprintf("%s%02d", name, k), zone: name, rate: rate / float64(perZone),
				window: NewWindow(m.now), row: ZonePlan{Shares: []Share{{name, 1}}}})
		}
	}
	return m
}

func (m *model) poisson(mean float64) (n int) {
	for x := m.rng.ExpFloat64(); x < mean; x += m.rng.ExpFloat64() {
		n++
	}
	return n
}

// tick plays a quarter of a second, in which requests go by the rows in force.
func (m *model) tick() {
	const dt = 0.25
	type trip struct {
		p  *stand
		to string
	}
	var trips []trip
	load := map[string]float64{}
	for _, p := range m.proxies {
		if p.off {
			continue
		}
		for range m.poisson(p.rate * dt) {
			p.window.RequestReceived(m.now)
			m.offered++
			x := m.rng.Float64()
			to := ""
			for _, s := range p.row.Shares {
				if x -= s.Fraction; x < 0 {
					to = s.Zone
					break
				}
			}
			if to == "" {
				m.refused++
				continue
			}
			trips = append(trips, trip{p, to})
			load[to] += 1 / dt
		}
	}
	for _, z := range m.zones {
		bears := m.cap[z.Name] / max(1, m.slow[z.Name])
		m.mean[z.Name] += 0.3 * (load[z.Name] - m.mean[z.Name])
		rho := m.mean[z.Name] / bears
		m.tipped[z.Name] = rho > 1.05 || m.tipped[z.Name] && rho > 0.66
	}
	for _, t := range trips {
		m.arrive(t.p, t.to, m.mean[t.to])
	}
	m.now += dt
}

func (m *model) arrive(p *stand, to string, load float64) {
	slow := max(1, m.slow[to])
	bears := m.cap[to] / slow
	if m.tipped[to] {
		bears /= 1.5
	}
	rho := load / bears
	switch {
	case m.dead(p.zone, to):
		p.window.Failed(m.now, to, false)
		m.lost++
		return
	case rho > 1 && m.rng.Float64() > 1/rho:
		p.window.Failed(m.now, to, true)
		m.lost++
		return
	}
	p.window.Answered(m.now, to, min(1, 0.25*slow/max(0.02, 1-min(rho, 0.99))*0.4*(0.5+m.rng.Float64())))
	m.served++
	if to != p.zone {
		m.far++
	}
	if m.zones[0].Region == "north" && (p.zone < "c") != (to < "c") {
		m.abroad++
	}
}

func (m *model) reset() { m.offered, m.served, m.refused, m.lost, m.far, m.abroad = 0, 0, 0, 0, 0, 0 }

// common lets one decider hear all and all follow it; members may lie.
func (m *model) common(d *Decider, seconds float64, lie func(*Report)) *Plan {
	var plan *Plan
	for range int(seconds * 4) {
		m.tick()
		for _, p := range m.proxies {
			r := p.window.Report(m.now, p.name, p.zone)
			if lie != nil {
				lie(&r)
			}
			d.Hear(m.now, r)
		}
		plan = d.Decide(m.now, m.zones, len(m.proxies))
		m.check(plan)
		for _, p := range m.proxies {
			p.row = *plan.Zone(p.zone)
		}
	}
	return plan
}

// each lets every proxy decide alone.
func (m *model) each(agents []*Agent, seconds float64) {
	for range int(seconds * 4) {
		m.tick()
		for i, p := range m.proxies {
			agents[i].Tick(m.now, p.window.Report(m.now, p.name, p.zone), m.zones, nil)
			p.row = agents[i].ZonePlan()
		}
	}
}

// check is what holds of any plan: shares that sum to one with what is refused, and none below zero.
func (m *model) check(p *Plan) {
	m.t.Helper()
	for _, r := range p.Rows {
		sum := r.Refused
		for _, s := range r.Shares {
			sum += s.Fraction
			if s.Fraction < 0 || math.IsNaN(s.Fraction) {
				m.t.Fatalf("at %.2f: %+v", m.now, r)
			}
		}
		if math.Abs(sum-1) > 1e-6 {
			m.t.Fatalf("at %.2f: shares of %s sum to %v: %+v", m.now, r.Zone, sum, r)
		}
	}
}

// want checks what came of the requests since reset, and begins anew.
func (m *model) want(what string, servedLeast, lostMost, farMost float64) {
	m.t.Helper()
	served, lost, far := m.served/m.offered, m.lost/m.offered, m.far/m.offered
	m.t.Logf("%-24s served %.3f refused %.3f lost %.3f far %.3f abroad %.3f", what, served, m.refused/m.offered, lost, far,
		m.abroad/m.offered)
	if served < servedLeast || lost > lostMost || far > farMost {
		m.t.Errorf("%s: served %.3f, lost %.3f, sent away %.3f; want at least %v, at most %v and %v", what, served, lost, far,
			servedLeast, lostMost, farMost)
	}
	m.reset()
}

func (m *model) allDead(to string) { m.dead = func(_, z string) bool { return z == to } }
func (m *model) allWell()          { m.dead = func(string, string) bool { return false } }
