// Package ejection implements outlier ejection by majority vote. A proxy stops sending requests that must not run twice to a
// host once a majority of the proxies that sent to the host agree that it fails. One proxy's temporary problem thus does not
// take traffic away from a healthy host.
//
// A Tally counts the outcomes that one proxy has seen recently. Votes collects the observations of all proxies and decides on a
// service's ejection list: which hosts are ejected, until when, and why. Neither does I/O. Times are seconds on a monotonic
// clock.
package ejection

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	windowSeconds    = 2.0  // sliding window of a tally, in seconds
	windowSlots      = 4    // number of slots of the window
	minFailures      = 2    // with fewer failures a host does not count as failing for a proxy
	failureShare     = 0.4  // share of failed outcomes from which on a host fails for a proxy
	ownPathShare     = 0.5  // if more than this share of the hosts fails, the proxy's own network path is at fault
	ownPathMinHosts  = 3    // minimum number of hosts for that conclusion
	observationTTL   = 2.5  // seconds for which an observation is valid
	minVotes         = 2    // minimum votes against a host: a single one never suffices
	baseEjectionTime = 3.0  // duration in seconds of a first ejection without new evidence
	maxEjectionTime  = 24.0 // upper bound in seconds for repeated ejections, which last longer each time
	countResetAfter  = 60.0 // seconds after the end of an ejection until the next one counts as a first one
	hostsPerEjection = 3    // one in so many hosts of a service may be ejected by vote, and one of two
	maxHosts         = 4096
	maxObservers     = 256  // limit per host
	maxEjections     = 256  // limit per service
	hopSlack         = 0.05 // seconds by which every process that receives an ejection shortens it
)

// Until returns the local time at which an ejection ends that has leftMs milliseconds left according to a message.
func Until(now float64, leftMs uint32) float64 { return now + max(0, float64(leftMs)/1000-hopSlack) }

// Observation is the outcomes of one host in the window of one proxy.
type Observation struct {
	Host      string
	Good, Bad int
}

// outcomeWindow is the sliding window of one host's outcomes.
type outcomeWindow struct {
	good, bad [windowSlots]int
	slot      int64
}

// advance moves the window to the given time.
func (w *outcomeWindow) advance(now float64) {
	current := int64(now / (windowSeconds / windowSlots))
	for ; w.slot < current; w.slot++ {
		if current-w.slot > windowSlots {
			w.slot = current - windowSlots
		}
		w.good[(w.slot+1)%windowSlots], w.bad[(w.slot+1)%windowSlots] = 0, 0
	}
}

func (w *outcomeWindow) sum() (good, bad int) {
	for i := range windowSlots {
		good, bad = good+w.good[i], bad+w.bad[i]
	}
	return good, bad
}

// fails reports whether a host with such outcomes counts as failing for a proxy.
func fails(good, bad int) bool {
	return bad >= minFailures && float64(bad) >= failureShare*float64(good+bad)
}

// Tally counts the outcomes that one proxy has seen in the last windowSeconds, by host.
type Tally struct{ hosts map[string]*outcomeWindow }

// Record counts an outcome, and reports whether the host starts to fail for this proxy with it.
func (t *Tally) Record(now float64, host string, bad bool) (startsFailing bool) {
	w := t.hosts[host]
	if w == nil {
		if t.hosts == nil {
			t.hosts = map[string]*outcomeWindow{}
		}
		if len(t.hosts) >= maxHosts {
			return false
		}
		w = &outcomeWindow{}
		t.hosts[host] = w
	}
	w.advance(now)
	wasFailing := fails(w.sum())
	if bad {
		w.bad[w.slot%windowSlots]++
	} else {
		w.good[w.slot%windowSlots]++
	}
	return bad && !wasFailing && fails(w.sum())
}

// Observations returns the observations of the hosts that fail for this proxy and of those that it is asked about. A proxy for
// which many hosts fail returns none, as its own network path is at fault.
func (t *Tally) Observations(now float64, asked []string) (all []Observation) {
	hosts, failingHosts := 0, 0
	for _, host := range slices.Sorted(maps.Keys(t.hosts)) {
		w := t.hosts[host]
		w.advance(now)
		good, bad := w.sum()
		if good+bad == 0 {
			delete(t.hosts, host)
			continue
		}
		hosts++
		failing := fails(good, bad)
		if failing {
			failingHosts++
		}
		if failing || slices.Contains(asked, host) {
			all = append(all, Observation{host, good, bad})
		}
	}
	if hosts >= ownPathMinHosts && float64(failingHosts) > ownPathShare*float64(hosts) {
		return nil
	}
	return all
}

// Ejection is an entry of a service's ejection list. An entry that has ended stays listed for a while, to keep its count.
type Ejection struct {
	Host               string
	Until              float64 // on the local clock; unused if Manual
	Count              int     // consecutive ejections
	Manual             bool    // ejected by an operator, until restored
	By, Why            string
	Against, Observers int // votes for the ejection, and number of observers
}

// InForce reports whether the host is ejected.
func (e *Ejection) InForce(now float64) bool { return e.Manual || now < e.Until }

// vote is an observation with the time at which it was received.
type vote struct {
	Observation
	receivedAt float64
}

// Votes holds the latest observation of each observer for each host.
type Votes struct{ votes map[string]map[string]vote } // by host and observer

// Record records an observer's observations. A later observation of a host replaces an earlier one.
func (v *Votes) Record(now float64, observer string, observations []Observation) {
	if v.votes == nil {
		v.votes = map[string]map[string]vote{}
	}
	for _, o := range observations {
		byObserver := v.votes[o.Host]
		if byObserver == nil {
			if len(v.votes) >= maxHosts {
				continue
			}
			byObserver = map[string]vote{}
			v.votes[o.Host] = byObserver
		}
		if _, known := byObserver[observer]; known || len(byObserver) < maxObservers {
			byObserver[observer] = vote{o, now}
		}
	}
}

// Suspects returns the hosts that fail for at least one observer, sorted. The other observers are asked about them.
func (v *Votes) Suspects(now float64) (hosts []string) {
	for host, byObserver := range v.votes {
		suspect := false
		for observer, o := range byObserver {
			if now > o.receivedAt+observationTTL {
				delete(byObserver, observer)
				continue
			}
			suspect = suspect || fails(o.Good, o.Bad)
		}
		if len(byObserver) == 0 {
			delete(v.votes, host)
		}
		if suspect {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// countVotes returns the votes against a host and the number of observers that sent to it. With little traffic most observers
// have sent to the host only once. An observer that saw only failures then counts as a vote against the host if the host fails
// for some other observer, and never on its own.
func (v *Votes) countVotes(now float64, host string) (against, observers int) {
	failingFor := 0
	for _, o := range v.votes[host] {
		if now > o.receivedAt+observationTTL || o.Good+o.Bad == 0 {
			continue
		}
		observers++
		if failing := fails(o.Good, o.Bad); failing || o.Bad > 0 && o.Good == 0 {
			against++
			if failing {
				failingFor++
			}
		}
	}
	if failingFor == 0 {
		against = 0
	}
	return against, observers
}

// majority reports whether the votes suffice: those of more than half of the observers, and at least minVotes.
func majority(against, observers int) bool { return against >= minVotes && 2*against > observers }

// Decide returns the next ejection list of a service with the given hosts, and whether it differs from the current one. Hosts
// with a majority against them are ejected, up to a share of the service. New evidence prolongs an ejection. An ejection that
// has ended stays listed for a while, so that a host that is ejected again stays out longer.
func (v *Votes) Decide(now float64, hosts []string, held []Ejection) (next []Ejection, changed bool) {
	ejected := 0
	for _, e := range held {
		switch {
		case !slices.Contains(hosts, e.Host) && !e.Manual, !e.Manual && now > e.Until+countResetAfter:
			changed = true
			continue
		case e.Manual:
		case majority(v.countVotes(now, e.Host)) && e.InForce(now):
			if until := now + baseEjectionTime; until > e.Until+baseEjectionTime/3 { // avoid a change at every observation
				e.Until, changed = until, true
			}
		}
		if e.InForce(now) && slices.Contains(hosts, e.Host) {
			ejected++
		}
		next = append(next, e)
	}
	maxEjected := max(len(hosts)/hostsPerEjection, min(1, len(hosts)/2))
	for _, host := range hosts {
		against, observers := v.countVotes(now, host)
		if ejected >= maxEjected || !majority(against, observers) {
			continue
		}
		index := slices.IndexFunc(next, func(e Ejection) bool { return e.Host == host })
		if index >= 0 && next[index].InForce(now) {
			continue
		}
		if index < 0 {
			next = append(next, Ejection{Host: host})
			index = len(next) - 1
		}
		e := &next[index]
		e.Count++
		e.Until = now + min(maxEjectionTime, baseEjectionTime*float64(int(1)<<min(e.Count-1, 5)))
		e.By, e.Why, e.Against, e.Observers = "vote", "fails for most proxies that sent to it", against, observers
		ejected++
		changed = true
	}
	return next, changed
}

// ErrForceRequired reports that an order without force would leave less than half of a service's hosts.
var ErrForceRequired = errors.New("that would leave less than half of the service's hosts: force is required")

// ApplyOrder returns the ejection list after an operator's order, which ejects a host or restores it. Leaving less than half of
// a service's hosts requires force.
func ApplyOrder(now float64, hosts []string, held []Ejection, host string, eject, force bool,
	by, why string) ([]Ejection, error) {
	next := slices.DeleteFunc(slices.Clone(held), func(e Ejection) bool { return e.Host == host })
	if !eject {
		return next, nil
	}
	if len(next) >= maxEjections {
		return nil, errors.Newf("%d hosts of the service are out already: call some back", len(next))
	}
	remaining := 0
	for _, h := range hosts {
		ejected := h == host || slices.ContainsFunc(held, func(e Ejection) bool { return e.Host == h && e.InForce(now) })
		if !ejected {
			remaining++
		}
	}
	if 2*remaining < len(hosts) && !force {
		return nil, ErrForceRequired
	}
	next = append(next, Ejection{Host: host, Manual: true, By: by, Why: why})
	slices.SortFunc(next, func(a, b Ejection) int { return cmp.Compare(a.Host, b.Host) })
	return next, nil
}
