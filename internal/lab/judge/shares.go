package judge

import (
	"fmt"
	"slices"
	"time"

	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
)

// Shares counts how requests ended, the attempts made for them and the load on hosts and on the list service.
type Shares struct {
	Asked                                 int
	Served, Late, Refused, Failed         int // Late: those of Served that missed the class's target latency
	Lost, Unsent                          int
	Attempts, Retries                     int
	CrossZone, CrossRegion                int // executions in another zone than the caller's, and in another region
	P50, P99                              time.Duration
	Calls, CallsFailed                    int
	Connections, MaxOpen, MaxNewPerSecond int // to hosts: all; on one host, the most at once and the most new ones a second
	HostsOverloaded                       int
	BadSeconds                            int // seconds in which less than goodSecondShare of the requests was served in time
}

// goodSecondShare is the share of a second's requests that must be served in time for the second not to count as bad.
const goodSecondShare = 0.95

// Fraction returns n as a fraction of all requests.
func (s *Shares) Fraction(n int) float64 { return float64(n) / float64(max(1, s.Asked)) }

// Filter selects records by the zone of the caller and by time. A nil Filter selects everything since the start of the run.
type Filter struct {
	Zone     int // -1: all
	From, To time.Duration
}

// matches reports whether the filter selects a record of a proxy's callers at a time.
func (f *Filter) matches(s *plan.Schedule, proxy int, at time.Duration) bool {
	if f == nil {
		return at >= 0
	}
	return at >= f.From && at < f.To && (f.Zone < 0 || s.Proxies[proxy].Zone == f.Zone)
}

// Count counts the records of a run that the filter selects.
func Count(s *plan.Schedule, b *record.Book, f *Filter) (c Shares) {
	var times []time.Duration
	attempts := map[string]int{}
	asked, good := map[time.Duration]int{}, map[time.Duration]int{} // by second
	for i := range b.Asks {
		a := &b.Asks[i]
		if !f.matches(s, a.Proxy, a.Due) {
			continue
		}
		c.Asked++
		second := a.Due / time.Second
		asked[second]++
		switch {
		case a.End == record.Lost:
			c.Lost++
		case a.End == record.Unsent:
			c.Unsent++
		case a.Status == 200:
			c.Served++
			times = append(times, a.Done-a.Due)
			if a.Done-a.Due > s.Classes[a.Class].Aim.D() {
				c.Late++
			} else {
				good[second]++
			}
		case a.Refused():
			c.Refused++
		default:
			c.Failed++
		}
	}
	for second, n := range asked {
		if float64(good[second]) < goodSecondShare*float64(n) {
			c.BadSeconds++
		}
	}
	for i := range b.Executions {
		e := &b.Executions[i]
		if !f.matches(s, e.Proxy, e.Arrived) {
			continue
		}
		c.Attempts++
		if attempts[e.ID]++; attempts[e.ID] > 1 {
			c.Retries++
		}
		if from, to := s.Zones[s.Proxies[e.Proxy].Zone], s.Zones[s.Hosts[e.Host].Zone]; from.Name != to.Name && e.HasRun() {
			c.CrossZone++
			if from.Region != to.Region {
				c.CrossRegion++
			}
		}
	}
	for _, call := range b.Calls {
		if f.matches(s, call.Proxy, call.At) {
			c.Calls++
			if call.Failed && !call.Left {
				c.CallsFailed++
			}
		}
	}
	for _, e := range b.Events {
		if e.Kind == record.HostOverloaded && (f == nil || e.At >= f.From && e.At < f.To) {
			c.HostsOverloaded++
		}
	}
	c.countConnections(s, b, f)
	slices.Sort(times)
	if n := len(times); n > 0 {
		c.P50, c.P99 = times[n/2], times[n*99/100]
	}
	return c
}

// countConnections counts the connections to hosts, the most that any host held at once, and the most new ones on a host in a
// second.
func (c *Shares) countConnections(s *plan.Schedule, b *record.Book, f *Filter) {
	type edge struct {
		at time.Duration
		n  int
	}
	edges := map[int][]edge{}
	newPerSecond := map[[2]int]int{}
	for _, k := range b.Connections {
		if !f.matches(s, k.Proxy, k.Opened) {
			continue
		}
		c.Connections++
		edges[k.Host] = append(edges[k.Host], edge{k.Opened, 1}, edge{k.Closed, -1})
		second := [2]int{k.Host, int(k.Opened / time.Second)}
		newPerSecond[second]++
		c.MaxNewPerSecond = max(c.MaxNewPerSecond, newPerSecond[second])
	}
	for _, all := range edges {
		slices.SortFunc(all, func(a, b edge) int { return int(a.at - b.at) })
		open := 0
		for _, e := range all {
			open += e.n
			c.MaxOpen = max(c.MaxOpen, open)
		}
	}
}

// measure returns the figure that an expectation names; see plan.Measures.
func (c *Shares) measure(what string) float64 {
	attempts := float64(max(1, c.Attempts))
	return map[string]float64{
		"served": c.Fraction(c.Served), "refused": c.Fraction(c.Refused), "failed": c.Fraction(c.Failed), "late": c.Fraction(c.Late),
		"lost": float64(c.Lost), "crossings": float64(c.CrossZone) / attempts, "regions_crossed": float64(c.CrossRegion) / attempts,
		"calls": float64(c.Calls), "fell": float64(c.HostsOverloaded), "connections": float64(c.Connections),
		"bad_seconds": float64(c.BadSeconds),
	}[what]
}

// checkExpectations adds the expectations of the experiment that the counts do not meet.
func (j *judge) checkExpectations() {
	for _, e := range j.schedule.Expect {
		f := &Filter{Zone: -1, From: e.From.D(), To: e.To.D()}
		if e.To == 0 {
			f.To = 1<<63 - 1
		}
		if e.Zone != "" {
			f.Zone = slices.IndexFunc(j.schedule.Zones, func(z plan.Zone) bool { return z.Name == e.Zone })
		}
		counts := Count(j.schedule, j.book, f)
		got := counts.measure(e.What)
		if e.Least != nil && got < *e.Least {
			j.verdict.Unmet = append(j.verdict.Unmet, fmt.Sprintf("%s is %.4g, want at least %.4g (%v to %v)",
				e.What, got, *e.Least, e.From.D(), e.To.D()))
		}
		if e.Most != nil && got > *e.Most {
			j.verdict.Unmet = append(j.verdict.Unmet, fmt.Sprintf("%s is %.4g, want at most %.4g (%v to %v)",
				e.What, got, *e.Most, e.From.D(), e.To.D()))
		}
	}
}
