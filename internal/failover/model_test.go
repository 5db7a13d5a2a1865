package failover

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// model is a fleet in virtual time: zones of hosts that become slow when they are full, and proxies with a window each.
type model struct {
	t           *testing.T
	rng         *rand.Rand
	now         float64
	zones       []Zone
	capacity    map[string]float64 // requests per second by zone
	overloaded  map[string]bool    // zones with two thirds of their capacity until the load has fallen
	unreachable func(from, to string) bool
	proxies     []*modelProxy
	meanRate    map[string]float64 // smoothed requests per second by zone
	slowdown    map[string]float64 // factor on the time that work takes, by zone

	offered, served, refused, failed, otherZone, otherRegion float64 // counts since resetCounts
}

// modelProxy is a proxy of the model.
type modelProxy struct {
	name, zone string
	rate       float64
	window     *Window
	zonePlan   ZonePlan
	stopped    bool
}

func newModel(t *testing.T, perZone int, rate float64) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: 100, capacity: map[string]float64{}, overloaded: map[string]bool{},
		slowdown: map[string]float64{}, meanRate: map[string]float64{}, unreachable: func(string, string) bool { return false }}
	for i, name := range []string{"a", "b", "c", "d"} {
		m.zones = append(m.zones, Zone{Name: name, Region: []string{"north", "south"}[i/2], WarmWeight: 6})
		m.capacity[name] = 300
		for k := range perZone {
			m.proxies = append(m.proxies, &modelProxy{name: fmt.Sprintf("%s%02d", name, k), zone: name,
				rate: rate / float64(perZone), window: NewWindow(m.now), zonePlan: ZonePlan{Shares: []Share{{name, 1}}}})
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

// tick simulates a quarter of a second. Requests follow the zone plans in force.
func (m *model) tick() {
	const dt = 0.25
	type request struct {
		p  *modelProxy
		to string
	}
	var requests []request
	rate := map[string]float64{}
	for _, p := range m.proxies {
		if p.stopped {
			continue
		}
		for range m.poisson(p.rate * dt) {
			p.window.RequestReceived(m.now)
			m.offered++
			x := m.rng.Float64()
			to := ""
			for _, s := range p.zonePlan.Shares {
				if x -= s.Fraction; x < 0 {
					to = s.Zone
					break
				}
			}
			if to == "" {
				m.refused++
				continue
			}
			requests = append(requests, request{p, to})
			rate[to] += 1 / dt
		}
	}
	for _, z := range m.zones {
		capacity := m.capacity[z.Name] / max(1, m.slowdown[z.Name])
		m.meanRate[z.Name] += 0.3 * (rate[z.Name] - m.meanRate[z.Name])
		utilization := m.meanRate[z.Name] / capacity
		m.overloaded[z.Name] = utilization > 1.05 || m.overloaded[z.Name] && utilization > 0.66
	}
	for _, r := range requests {
		m.arrive(r.p, r.to, m.meanRate[r.to])
	}
	m.now += dt
}

func (m *model) arrive(p *modelProxy, to string, rate float64) {
	slowdown := max(1, m.slowdown[to])
	capacity := m.capacity[to] / slowdown
	if m.overloaded[to] {
		capacity /= 1.5
	}
	utilization := rate / capacity
	switch {
	case m.unreachable(p.zone, to):
		p.window.Failed(m.now, to, false)
		m.failed++
		return
	case utilization > 1 && m.rng.Float64() > 1/utilization:
		p.window.Failed(m.now, to, true)
		m.failed++
		return
	}
	p.window.Answered(m.now, to, min(1, 0.25*slowdown/max(0.02, 1-min(utilization, 0.99))*0.4*(0.5+m.rng.Float64())))
	m.served++
	if to != p.zone {
		m.otherZone++
	}
	if m.zones[0].Region == "north" && (p.zone < "c") != (to < "c") {
		m.otherRegion++
	}
}

func (m *model) resetCounts() {
	m.offered, m.served, m.refused, m.failed, m.otherZone, m.otherRegion = 0, 0, 0, 0, 0, 0
}

// runFleet gives all reports to one planner and its plans to all proxies. lie, if set, changes reports.
func (m *model) runFleet(planner *Planner, seconds float64, lie func(*Report)) *Plan {
	var plan *Plan
	for range int(seconds * 4) {
		m.tick()
		for _, p := range m.proxies {
			r := p.window.Report(m.now, p.name, p.zone)
			if lie != nil {
				lie(&r)
			}
			planner.AddReport(m.now, r)
		}
		plan = planner.MakePlan(m.now, m.zones, len(m.proxies))
		m.checkPlan(plan)
		for _, p := range m.proxies {
			p.zonePlan = *plan.Zone(p.zone)
		}
	}
	return plan
}

// runAlone has every proxy decide alone.
func (m *model) runAlone(agents []*Agent, seconds float64) {
	for range int(seconds * 4) {
		m.tick()
		for i, p := range m.proxies {
			agents[i].Tick(m.now, p.window.Report(m.now, p.name, p.zone), m.zones, nil)
			p.zonePlan = agents[i].ZonePlan()
		}
	}
}

// checkPlan checks the invariants of any plan: no share is negative, and the shares of a zone sum to one with its
// refused fraction.
func (m *model) checkPlan(p *Plan) {
	m.t.Helper()
	for _, zonePlan := range p.Zones {
		sum := zonePlan.Refused
		for _, s := range zonePlan.Shares {
			sum += s.Fraction
			if s.Fraction < 0 || math.IsNaN(s.Fraction) {
				m.t.Fatalf("at %.2f: %+v", m.now, zonePlan)
			}
		}
		if math.Abs(sum-1) > 1e-6 {
			m.t.Fatalf("at %.2f: shares of %s sum to %v: %+v", m.now, zonePlan.Zone, sum, zonePlan)
		}
	}
}

// expect checks what became of the requests since resetCounts, and resets the counts.
func (m *model) expect(what string, minServed, maxFailed, maxOtherZone float64) {
	m.t.Helper()
	served, failed, otherZone := m.served/m.offered, m.failed/m.offered, m.otherZone/m.offered
	m.t.Logf("%-24s served %.3f refused %.3f failed %.3f other zone %.3f other region %.3f", what, served,
		m.refused/m.offered, failed, otherZone, m.otherRegion/m.offered)
	if served < minServed || failed > maxFailed || otherZone > maxOtherZone {
		m.t.Errorf("%s: served %.3f, failed %.3f, sent to other zones %.3f; want at least %v, at most %v and %v", what, served,
			failed, otherZone, minServed, maxFailed, maxOtherZone)
	}
	m.resetCounts()
}

func (m *model) failZone(to string) { m.unreachable = func(_, z string) bool { return z == to } }
func (m *model) restoreAll()        { m.unreachable = func(string, string) bool { return false } }
