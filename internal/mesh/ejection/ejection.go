// Package ejection is outlier ejection by vote: a proxy leaves a host out for requests that must not run twice only once a majority
// of the proxies that sent to the host agree that it fails, so that one proxy's bad moment does not empty a healthy host.
//
// A Tally counts the outcomes that one proxy has seen lately. Votes collects the observations of all proxies and decides on a
// service's ejection list: which hosts are out, until when, and why. Neither does I/O; times are seconds on a monotonic clock.
package ejection

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	window           = 2.0  // seconds over which a tally counts
	slots            = 4    // into which the window is divided
	minFailures      = 2    // with fewer a host does not fail for a proxy
	failureShare     = 0.4  // of a host's outcomes, from which on it fails for a proxy
	ownPathShare     = 0.5  // of the hosts sent to: if more fail, the proxy's own network path is at fault
	ownPathHosts     = 3    // hosts sent to, at least, for that
	observationFor   = 2.5  // seconds for which an observation counts
	minVotes         = 2    // votes against a host: one alone never suffices
	baseTime         = 3.0  // seconds of a first ejection without new evidence
	maxTime          = 24.0 // repeated ejections last longer, up to this
	forgetAfter      = 60.0 // seconds after which an ejection counts as a first one again
	hostsPerEjection = 3    // one in so many hosts of a service may be out by vote, and one of two
	maxHosts         = 4096
	maxObservers     = 256  // of one host
	maxEjections     = 256  // of one service
	hopSlack         = 0.05 // seconds by which each process that is told of an ejection takes it as shorter
)

// Until is the local time at which an ejection ends that has so many milliseconds left by a message.
func Until(now float64, leftMs uint32) float64 { return now + max(0, float64(leftMs)/1000-hopSlack) }

// Observation is the outcomes of one host in the window of one proxy.
type Observation struct {
	Station   string
	Good, Bad int
}

// count is the sliding window of one host's outcomes.
type count struct {
	good, bad [slots]int
	slot      int64
}

// advance moves the window to now.
func (c *count) advance(now float64) {
	at := int64(now / (window / slots))
	for ; c.slot < at; c.slot++ {
		if at-c.slot > slots {
			c.slot = at - slots
		}
		c.good[(c.slot+1)%slots], c.bad[(c.slot+1)%slots] = 0, 0
	}
}

func (c *count) sum() (good, bad int) {
	for i := range slots {
		good, bad = good+c.good[i], bad+c.bad[i]
	}
	return good, bad
}

// fails reports whether a host with such outcomes fails for a proxy.
func fails(good, bad int) bool {
	return bad >= minFailures && float64(bad) >= failureShare*float64(good+bad)
}

// Tally counts the outcomes that one proxy has seen in the last two seconds, by host.
type Tally struct{ hosts map[string]*count }

// Record counts an outcome, and reports whether with it the host begins to fail for this proxy.
func (t *Tally) Record(now float64, station string, bad bool) (begins bool) {
	c := t.hosts[station]
	if c == nil {
		if t.hosts == nil {
			t.hosts = map[string]*count{}
		}
		if len(t.hosts) >= maxHosts {
			return false
		}
		c = &count{}
		t.hosts[station] = c
	}
	c.advance(now)
	was := fails(c.sum())
	if bad {
		c.bad[c.slot%slots]++
	} else {
		c.good[c.slot%slots]++
	}
	return bad && !was && fails(c.sum())
}

// Observations are those of the hosts that fail for this proxy, and of those that it is asked about. A proxy for which many hosts fail
// reports none, as its own network path is at fault.
func (t *Tally) Observations(now float64, asked []string) (all []Observation) {
	hosts, failing := 0, 0
	for _, station := range slices.Sorted(maps.Keys(t.hosts)) {
		c := t.hosts[station]
		c.advance(now)
		good, bad := c.sum()
		if good+bad == 0 {
			delete(t.hosts, station)
			continue
		}
		hosts++
		f := fails(good, bad)
		if f {
			failing++
		}
		if f || slices.Contains(asked, station) {
			all = append(all, Observation{station, good, bad})
		}
	}
	if hosts >= ownPathHosts && float64(failing) > ownPathShare*float64(hosts) {
		return nil
	}
	return all
}

// Ejection is an entry of a service's ejection list. One that has ended stays listed for a while with its count.
type Ejection struct {
	Station            string
	Until              float64 // on the local clock; not used if Manual
	Count              int     // ejections in a row
	Manual             bool    // by an operator, until called back
	By, Why            string
	Against, Observers int // votes for the ejection, of how many observers
}

// InForce reports whether the host is out.
func (r *Ejection) InForce(now float64) bool { return r.Manual || now < r.Until }

// vote is an observation and the time at which it was received.
type vote struct {
	Observation
	at float64
}

// Votes holds the latest observation of each observer on each host.
type Votes struct{ votes map[string]map[string]vote } // by host and observer

// Record takes an observer's observations. A later one on a host replaces an earlier one.
func (v *Votes) Record(now float64, observer string, observations []Observation) {
	if v.votes == nil {
		v.votes = map[string]map[string]vote{}
	}
	for _, o := range observations {
		by := v.votes[o.Station]
		if by == nil {
			if len(v.votes) >= maxHosts {
				continue
			}
			by = map[string]vote{}
			v.votes[o.Station] = by
		}
		if _, known := by[observer]; known || len(by) < maxObservers {
			by[observer] = vote{o, now}
		}
	}
}

// Suspects are the hosts that fail for some observer, in order: others are asked about them.
func (v *Votes) Suspects(now float64) (stations []string) {
	for station, by := range v.votes {
		suspect := false
		for observer, o := range by {
			if now > o.at+observationFor {
				delete(by, observer)
				continue
			}
			suspect = suspect || fails(o.Good, o.Bad)
		}
		if len(by) == 0 {
			delete(v.votes, station)
		}
		if suspect {
			stations = append(stations, station)
		}
	}
	slices.Sort(stations)
	return stations
}

// count counts the votes against a host, and all observers that sent to it. Where traffic is thin most have sent to it once: one
// failure is a vote against it if the host fails for some other observer, and none by itself.
func (v *Votes) count(now float64, station string) (against, observers int) {
	failing := 0
	for _, o := range v.votes[station] {
		if now > o.at+observationFor || o.Good+o.Bad == 0 {
			continue
		}
		observers++
		if f := fails(o.Good, o.Bad); f || o.Bad > 0 && o.Good == 0 {
			against++
			if f {
				failing++
			}
		}
	}
	if failing == 0 {
		against = 0
	}
	return against, observers
}

// majority reports whether votes suffice: those of more than half of the observers, and of two at least.
func majority(against, observers int) bool { return against >= minVotes && 2*against > observers }

// Decide computes the next ejection list of a service with these hosts from the one held, and whether it differs: hosts with a
// majority against them are ejected, up to a share of the service; new evidence prolongs an ejection; one that has ended stays listed
// for a while, so that a host that is ejected again stays out longer.
func (v *Votes) Decide(now float64, hosts []string, held []Ejection) (next []Ejection, changed bool) {
	out := 0
	for _, r := range held {
		switch {
		case !slices.Contains(hosts, r.Station) && !r.Manual, !r.Manual && now > r.Until+forgetAfter:
			changed = true
			continue
		case r.Manual:
		case majority(v.count(now, r.Station)) && r.InForce(now):
			if until := now + baseTime; until > r.Until+baseTime/3 { // not at every observation
				r.Until, changed = until, true
			}
		}
		if r.InForce(now) && slices.Contains(hosts, r.Station) {
			out++
		}
		next = append(next, r)
	}
	most := max(len(hosts)/hostsPerEjection, min(1, len(hosts)/2))
	for _, station := range hosts {
		against, observers := v.count(now, station)
		if out >= most || !majority(against, observers) {
			continue
		}
		at := slices.IndexFunc(next, func(r Ejection) bool { return r.Station == station })
		if at >= 0 && next[at].InForce(now) {
			continue
		}
		if at < 0 {
			next = append(next, Ejection{Station: station})
			at = len(next) - 1
		}
		r := &next[at]
		r.Count++
		r.Until = now + min(maxTime, baseTime*float64(int(1)<<min(r.Count-1, 5)))
		r.By, r.Why, r.Against, r.Observers = "vote", "fails for most proxies that sent to it", against, observers
		out++
		changed = true
	}
	return next, changed
}

// ErrForceRequired tells that an order without force would leave less than half of a service.
var ErrForceRequired = errors.New("that would leave less than half of the service's hosts: force is required")

// Order computes the ejection list after an operator's order, which takes a host out or calls it back. Leaving less than half of a
// service requires force.
func Order(now float64, hosts []string, held []Ejection, station string, out, force bool, by, why string) ([]Ejection, error) {
	next := slices.DeleteFunc(slices.Clone(held), func(r Ejection) bool { return r.Station == station })
	if !out {
		return next, nil
	}
	if len(next) >= maxEjections {
		return nil, errors.Newf("%d hosts of the service are out already: call some back", len(next))
	}
	left := 0
	for _, h := range hosts {
		gone := h == station || slices.ContainsFunc(held, func(r Ejection) bool { return r.Station == h && r.InForce(now) })
		if !gone {
			left++
		}
	}
	if 2*left < len(hosts) && !force {
		return nil, ErrForceRequired
	}
	next = append(next, Ejection{Station: station, Manual: true, By: by, Why: why})
	slices.SortFunc(next, func(a, b Ejection) int { return cmp.Compare(a.Station, b.Station) })
	return next, nil
}
