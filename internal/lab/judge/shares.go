package judge

import (
	"fmt"
	"slices"
	"time"

	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
)

// Shares is how requests ended, what became of their attempts and what they cost.
type Shares struct {
	Asked                            int
	Served, Late, Refused, Failed    int // Late: served, past the class's aim
	Lost, Unsent                     int
	Attempts, Again                  int
	Crossed, CrossedRegions          int // runs in another zone than the caller's, and in another region
	P50, P99                         time.Duration
	Calls, CallsFailed               int
	Connections, MostOpen, PerSecond int // to hosts: all, the most at once on one, the most new ones a second on one
	Fell                             int
	BadSeconds                       int // in which under goodShare of what was asked was served in time
}

const goodShare = 0.95

// Part is a share of what was asked.
func (s *Shares) Part(n int) float64 { return float64(n) / float64(max(1, s.Asked)) }

// Filter picks callers' zones and a span of due times. A nil one picks all since the run's start.
type Filter struct {
	Zone     int // -1: all
	From, To time.Duration
}

func (f *Filter) takes(s *plan.Schedule, proxy int, at time.Duration) bool {
	if f == nil {
		return at >= 0
	}
	return at >= f.From && at < f.To && (f.Zone < 0 || s.Proxies[proxy].Zone == f.Zone)
}

// Count sums up a run, or part of it.
func Count(s *plan.Schedule, b *record.Book, f *Filter) (c Shares) {
	var times []time.Duration
	tries := map[string]int{}
	asked, good := map[time.Duration]int{}, map[time.Duration]int{} // by second
	for i := range b.Asks {
		a := &b.Asks[i]
		if !f.takes(s, a.Proxy, a.Due) {
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
		if float64(good[second]) < goodShare*float64(n) {
			c.BadSeconds++
		}
	}
	for i := range b.Executions {
		e := &b.Executions[i]
		if !f.takes(s, e.Proxy, e.Arrived) {
			continue
		}
		c.Attempts++
		if tries[e.ID]++; tries[e.ID] > 1 {
			c.Again++
		}
		if from, to := s.Zones[s.Proxies[e.Proxy].Zone], s.Zones[s.Hosts[e.Host].Zone]; from.Name != to.Name && e.HasRun() {
			c.Crossed++
			if from.Region != to.Region {
				c.CrossedRegions++
			}
		}
	}
	for _, call := range b.Calls {
		if f.takes(s, call.Proxy, call.At) {
			c.Calls++
			if call.Failed && !call.Left {
				c.CallsFailed++
			}
		}
	}
	for _, e := range b.Events {
		if e.Kind == record.Fell && (f == nil || e.At >= f.From && e.At < f.To) {
			c.Fell++
		}
	}
	c.connections(s, b, f)
	slices.Sort(times)
	if n := len(times); n > 0 {
		c.P50, c.P99 = times[n/2], times[n*99/100]
	}
	return c
}

// connections finds the most that any host held at once, and the most that came to one in a second.
func (c *Shares) connections(s *plan.Schedule, b *record.Book, f *Filter) {
	type edge struct {
		at time.Duration
		n  int
	}
	edges := map[int][]edge{}
	news := map[[2]int]int{}
	for _, k := range b.Connections {
		if !f.takes(s, k.Proxy, k.Opened) {
			continue
		}
		c.Connections++
		edges[k.Host] = append(edges[k.Host], edge{k.Opened, 1}, edge{k.Closed, -1})
		second := [2]int{k.Host, int(k.Opened / time.Second)}
		news[second]++
		c.PerSecond = max(c.PerSecond, news[second])
	}
	for _, all := range edges {
		slices.SortFunc(all, func(a, b edge) int { return int(a.at - b.at) })
		open := 0
		for _, e := range all {
			open += e.n
			c.MostOpen = max(c.MostOpen, open)
		}
	}
}

// measure is the figure that an expectation is of.
func (c *Shares) measure(what string) float64 {
	runs := float64(max(1, c.Attempts))
	return map[string]float64{
		"served": c.Part(c.Served), "refused": c.Part(c.Refused), "failed": c.Part(c.Failed), "late": c.Part(c.Late),
		"lost": float64(c.Lost), "crossings": float64(c.Crossed) / runs, "regions_crossed": float64(c.CrossedRegions) / runs,
		"calls": float64(c.Calls), "fell": float64(c.Fell), "connections": float64(c.Connections),
		"bad_seconds": float64(c.BadSeconds),
	}[what]
}

func (j *judge) expect() {
	for _, e := range j.s.Expect {
		f := &Filter{Zone: -1, From: e.From.D(), To: e.To.D()}
		if e.To == 0 {
			f.To = 1<<63 - 1
		}
		if e.Zone != "" {
			f.Zone = slices.IndexFunc(j.s.Zones, func(z plan.Zone) bool { return z.Name == e.Zone })
		}
		counts := Count(j.s, j.b, f)
		got := counts.measure(e.What)
		if e.Least != nil && got < *e.Least {
			j.v.Unmet = append(j.v.Unmet, fmt.Sprintf("%s is %.4g, wanted at least %.4g (%v to %v)", e.What, got, *e.Least, e.From.D(), e.To.D()))
		}
		if e.Most != nil && got > *e.Most {
			j.v.Unmet = append(j.v.Unmet, fmt.Sprintf("%s is %.4g, wanted at most %.4g (%v to %v)", e.What, got, *e.Most, e.From.D(), e.To.D()))
		}
	}
}
