package failover

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestFill checks the placement for any demand, capacity and path limits. All demand with an open path is placed.
// Closed paths carry nothing. With all paths open, no requests leave a zone that has capacity for them, and no target
// exceeds its capacity while the demand fits the total capacity.
func TestFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "zones")
		placed := newPlacement(n)
		number := func(name string, upper float64) float64 {
			return rapid.SampledFrom([]float64{0, 1}).Draw(t, name+" nonzero") * rapid.Float64Range(0, upper).Draw(t, name)
		}
		allOpen := rapid.Bool().Draw(t, "all paths open")
		totalDemand, totalCapacity := 0.0, 0.0
		for s := range n {
			placed.demand[s], placed.hard[s] = math.Round(number("demand", 100)), number("capacity", 150)
			placed.soft[s] = 0.7 * placed.hard[s]
			totalDemand, totalCapacity = totalDemand+placed.demand[s], totalCapacity+placed.hard[s]
			placed.region[s] = []string{"north", "south"}[rapid.IntRange(0, 1).Draw(t, "region")]
			for d := range n {
				placed.limit[s][d] = placed.demand[s]
				if !allOpen {
					placed.limit[s][d] *= rapid.SampledFrom([]float64{0, 0.06, 1, 1}).Draw(t, "limit")
				}
			}
		}
		unreachable := placed.place()
		for s := range n {
			sum, hasPath := unreachable[s]*placed.demand[s], false
			for d := range n {
				sum += placed.assigned[s][d]
				hasPath = hasPath || placed.open(s, d)
				if placed.assigned[s][d] < -1e-9 || placed.assigned[s][d] > 1e-6 && !placed.open(s, d) {
					t.Fatalf("path from %d to %d carries %v", s, d, placed.assigned[s][d])
				}
			}
			if math.Abs(sum-placed.demand[s]) > 1e-6 || unreachable[s] > 0 && hasPath {
				t.Fatalf("of demand %v from %d, %v is placed or unreachable (fraction %v)",
					placed.demand[s], s, sum, unreachable[s])
			}
			if allOpen && totalDemand <= totalCapacity && placed.received(s) > placed.hard[s]+1e-6 {
				t.Fatalf("target %d gets %v with capacity %v, although total capacity suffices",
					s, placed.received(s), placed.hard[s])
			}
			if own := placed.assigned[s][s]; allOpen && own < placed.demand[s]-1e-6 && own < placed.hard[s]-1e-6 {
				t.Fatalf("only %v of %v stays in zone %d with capacity %v", own, placed.demand[s], s, placed.hard[s])
			}
		}
	})
}

// TestSurplusSpreads checks that surplus demand goes first to the region, as far as load stays low there, and then
// fills all targets equally.
func TestSurplusSpreads(t *testing.T) {
	placed := newPlacement(4)
	copy(placed.region, []string{"north", "north", "south", "south"})
	for s := range 4 {
		placed.demand[s], placed.soft[s], placed.hard[s] = 60, 90, 100
		placed.limit[s] = []float64{60, 60, 60, 60}
	}
	placed.hard[1] = 40
	placed.place()
	if x := placed.assigned[1]; math.Abs(x[1]-40) > 0.1 || x[0] < 1.2*x[2] || math.Abs(x[2]-x[3]) > 0.1 {
		t.Errorf("rates with a surplus of 20: %v", x)
	}
	for s := range 4 { // no path to zone 1, whatever its capacity
		clear(placed.assigned[s])
		placed.limit[s][1], placed.hard[s], placed.soft[s] = 0, 100, 80
	}
	placed.place()
	if u := []float64{placed.received(0), placed.received(2), placed.received(3)}; slices.Max(u)-slices.Min(u) > 0.1 {
		t.Errorf("rates with a surplus of 60: %v", u)
	}
}

// TestZoneLost makes all hosts of a zone unreachable for 10 s. Hard case 1.
func TestZoneLost(t *testing.T) {
	m, planner := newModel(t, 12, 180), NewPlanner()
	m.runFleet(planner, 8, nil)
	m.expect("steady state", 1, 0, 0.01)
	m.failZone("b")
	m.runFleet(planner, 1, nil)
	m.expect("first second of failure", 0.9, 0.1, 0.3)
	m.runFleet(planner, 9, nil)
	m.expect("zone failed", 0.985, 0.01, 0.3) // a quarter had to move
	m.restoreAll()
	m.runFleet(planner, 6, nil)
	m.expect("zone recovering", 0.98, 0.01, 0.3)
	m.runFleet(planner, 4, nil)
	m.expect("zone recovered", 0.99, 0, 0.2)
}

// TestSurplusLeaves slows a zone to a third of its speed. The zone must keep the requests that it can
// handle. Hard case 2.
func TestSurplusLeaves(t *testing.T) {
	m, planner := newModel(t, 12, 180), NewPlanner()
	m.runFleet(planner, 8, nil)
	m.slowdown["b"] = 3
	m.runFleet(planner, 6, nil)
	m.resetCounts()
	p := m.runFleet(planner, 15, nil)
	m.expect("zone slow", 0.99, 0.01, 0.25)
	if own := p.Zone("b").Shares[0]; own.Zone != "b" || own.Fraction <= 0 {
		t.Errorf("a slow zone gets no requests: %+v", p.Zone("b"))
	}
	m.slowdown["b"] = 1
	m.runFleet(planner, 15, nil)
	m.resetCounts()
	m.runFleet(planner, 5, nil)
	m.expect("zone at full speed again", 0.999, 0, 0.15)
}

// TestCutOneWay makes the hosts of a zone reachable only for the zone's own proxies. Hard case 3.
func TestCutOneWay(t *testing.T) {
	m, planner := newModel(t, 12, 180), NewPlanner()
	m.runFleet(planner, 8, nil)
	m.slowdown["a"] = 3 // so that requests would move to b, the nearest zone
	m.unreachable = func(from, to string) bool { return to == "b" && from != "b" }
	m.runFleet(planner, 6, nil)
	m.resetCounts()
	p := m.runFleet(planner, 10, nil)
	m.expect("zone cut off", 0.96, 0.015, 0.25) // two zones carry nearly three zones' demand
	if own := p.Zone("b").Shares[0]; own.Zone != "b" || own.Fraction < 0.9 {
		t.Errorf("proxies of b reach their hosts but send requests elsewhere: %+v, %s", p.Zone("b"), p.Reason)
	}
}

// TestLiars has one of 48 members, and then five of them, report that every zone is dead and that they receive a
// million requests per second. The false reports may move only a part of their own zones' requests. Hard case 6.
func TestLiars(t *testing.T) {
	for _, falseReporters := range []int{1, 5} {
		m, planner := newModel(t, 12, 180), NewPlanner()
		m.runFleet(planner, 8, nil)
		m.resetCounts()
		p := m.runFleet(planner, 10, func(report *Report) {
			if report.Member <= "b00" && report.Zone == "b" || falseReporters > 1 &&
				slices.Contains([]string{"a07", "b09", "c01", "d11"}, report.Member) {
				report.RequestRate = 1e6
				report.Targets = nil
				for _, z := range m.zones {
					report.Targets = append(report.Targets,
						ZoneStats{Zone: z.Name, FailureStreak: 100, FailedRate: 1e6, SinceAnswer: never})
				}
			}
		})
		m.expect(fmt.Sprint(falseReporters, " false reporters"), 0.97, 0.001, 0.2)
		for _, report := range p.Zones {
			if report.Shares[0].Zone != report.Zone || report.Shares[0].Fraction < 0.85 {
				t.Errorf("%d false reporters moved requests of %s: %+v, %s", falseReporters, report.Zone, report, p.Reason)
			}
		}
	}
}

// TestWitnesses checks how many members must agree, by fleet size, before a path is ejected. Fewer than that, or no
// majority, must change nothing.
func TestWitnesses(t *testing.T) {
	for _, c := range []struct {
		members, against int
		ejected          bool
	}{{1, 1, true}, {2, 1, false}, {2, 2, true}, {3, 1, false}, {3, 2, true},
		{5, 2, false}, {5, 3, true}, {8, 4, false}, {8, 5, true}} {
		m, planner := newModel(t, 1, 1), NewPlanner()
		for i := range c.members {
			r := Report{Member: fmt.Sprint(i), Zone: "a", SpanSeconds: 1, RequestRate: 10,
				Targets: []ZoneStats{{Zone: "a", AnsweredRate: 10, SinceAnswer: 0.1, SinceFailure: never}}}
			if i < c.against {
				r.Targets = []ZoneStats{{Zone: "a", FailedRate: 10, FailureStreak: 20, SinceAnswer: never}}
			}
			planner.AddReport(m.now, r)
		}
		p := planner.MakePlan(m.now, m.zones, c.members)
		if ejected := strings.Contains(p.Reason, "a cannot reach a"); ejected != c.ejected {
			t.Errorf("%d of %d witnesses: ejected %v, want %v", c.against, c.members, ejected, c.ejected)
		}
	}
}

// TestFlapping makes a zone fail and recover periodically. Its ejections must not be longer than the bound, and plan
// changes must be few. Hard case 9.
func TestFlapping(t *testing.T) {
	for _, period := range []float64{0.5, 2, 8, 30} {
		m, planner := newModel(t, 12, 180), NewPlanner()
		m.runFleet(planner, 8, nil)
		m.resetCounts()
		changes, wasOpen, longest := 0, true, 0.0
		for at := 0.0; at < 120; at += 0.25 {
			if math.Mod(at, period) < period/2 {
				m.failZone("b")
			} else {
				m.restoreAll()
			}
			p := m.runFleet(planner, 0.25, nil)
			open := slices.ContainsFunc(p.Zone("b").Shares, func(s Share) bool { return s.Zone == "b" })
			if open != wasOpen {
				changes++
			}
			wasOpen = open
			for _, o := range p.Zone("b").Restricted {
				longest = max(longest, o.EjectionSeconds)
			}
		}
		m.expect(fmt.Sprintf("flapping, period %v s", period), 0.95, 0.05, 0.3)
		if changes > 30 || longest > maxEjectionSeconds {
			t.Errorf("period %v s: %d changes in 120 s, ejected for up to %.0f s", period, changes, longest)
		}
	}
}

// TestDemandOverAll raises demand to one and a half times the usual while a zone is down. Hosts must not stay
// overloaded, and all must be well 5 s after demand has fallen. Hard case 10.
func TestDemandOverAll(t *testing.T) {
	m, planner := newModel(t, 12, 180), NewPlanner()
	m.runFleet(planner, 8, nil)
	scaleDemand := func(f float64) {
		for _, p := range m.proxies {
			p.rate *= f
		}
	}
	scaleDemand(1.5)
	m.failZone("b")
	m.runFleet(planner, 10, nil)
	m.resetCounts()
	m.runFleet(planner, 20, nil)
	m.expect("over capacity", 0.6, 0.02, 0.3) // at most 0.83 is possible
	scaleDemand(1 / 1.5)
	m.runFleet(planner, 5, nil)
	m.resetCounts()
	m.runFleet(planner, 5, nil)
	m.expect("demand back to normal", 0.99, 0.01, 0.3)
}

// TestSmallHome has one zone with a fifteenth of the capacity and half of the traffic, and another with half of the
// capacity and a sixth of the traffic. Hard case 13.
func TestSmallHome(t *testing.T) {
	m, planner := newModel(t, 12, 180), NewPlanner()
	m.zones[0].WarmWeight, m.capacity["a"] = 2, 100
	m.zones[2].WarmWeight, m.capacity["c"] = 16, 800
	for _, p := range m.proxies {
		p.rate = map[string]float64{"a": 400, "b": 130, "c": 130, "d": 130}[p.zone] / 12
	}
	m.runFleet(planner, 15, nil)
	m.resetCounts()
	m.runFleet(planner, 10, nil)
	m.expect("uneven zones", 0.99, 0.01, 0.5)
}

// TestEachAlone has proxies that exchange no messages. They must use their own zone as a rule, leave a failed zone and
// return to it.
func TestEachAlone(t *testing.T) {
	m := newModel(t, 12, 180)
	var agents []*Agent
	for _, p := range m.proxies {
		agents = append(agents, NewAgent(m.now, p.name, p.zone, 0))
	}
	m.runAlone(agents, 8)
	m.expect("steady state", 1, 0, 0.02)
	m.failZone("b")
	m.runAlone(agents, 2)
	m.expect("zone failed, first 2 s", 0.93, 0.07, 0.3)
	m.runAlone(agents, 8)
	m.expect("zone failed", 0.97, 0.03, 0.35)
	m.restoreAll()
	m.runAlone(agents, 10)
	m.resetCounts()
	m.runAlone(agents, 5)
	m.expect("zone recovered", 0.99, 0.01, 0.1)
}
