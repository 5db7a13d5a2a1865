// Package ejection is the agreement that a host fails. (The field's term: outlier ejection by quorum.) Before any proxy leaves a host
// out for what must not run twice, the others have to agree, so that one proxy's bad moment empties no healthy host.
//
// A Tally is what one proxy has seen lately, as a witness. A Bench is what is in force for a service: which hosts are out, until when,
// and why. A Judge hears all witnesses and says what the next Bench is. None does I/O; times are seconds on clocks that never jump.
package ejection

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	window       = 2.0  // seconds that a docket looks back
	slots        = 4    // in which it counts
	leastBad     = 2    // failures that make a complaint
	badShare     = 0.4  // of what was seen of the host
	ownPathShare = 0.5  // of the hosts met: with so many failing it is this proxy's own path
	ownPathLeast = 3    // hosts met, for that
	wordFor      = 2.5  // seconds for which a word counts
	leastAccuse  = 2    // witnesses against a host: one alone never suffices
	firstTerm    = 3.0  // seconds that a host stays out without fresh evidence
	mostTerm     = 24.0 // a host that flaps stays out longer, up to so long
	forgive      = 60.0 // seconds after which it counts as a first time again
	outShare     = 3    // one in so many hosts of a service may be out by witnesses, and one of two
	mostHosts    = 4096
	mostWords    = 256  // witnesses heard on one host
	mostRulings  = 256  // of one service
	hopSlack     = 0.05 // seconds by which each process that hears of a term takes it as shorter
)

// Until is when a term ends here of which so much was left as it was told.
func Until(now float64, leftMs uint32) float64 { return now + max(0, float64(leftMs)/1000-hopSlack) }

// Observation is what a witness saw of a host lately.
type Observation struct {
	Station   string
	Good, Bad int
}

// ---- the witness

type count struct {
	good, bad [slots]int
	slot      int64
}

func (c *count) turn(now float64) {
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

func fails(good, bad int) bool { return bad >= leastBad && float64(bad) >= badShare*float64(good+bad) }

// Tally is what one proxy has seen of hosts in the last two seconds.
type Tally struct{ hosts map[string]*count }

// Saw notes an outcome, and says whether the host now fails for this proxy as it did not before.
func (d *Tally) Saw(now float64, station string, bad bool) (complaint bool) {
	c := d.hosts[station]
	if c == nil {
		if d.hosts == nil {
			d.hosts = map[string]*count{}
		}
		if len(d.hosts) >= mostHosts {
			return false
		}
		c = &count{}
		d.hosts[station] = c
	}
	c.turn(now)
	was := fails(c.sum())
	if bad {
		c.bad[c.slot%slots]++
	} else {
		c.good[c.slot%slots]++
	}
	return bad && !was && fails(c.sum())
}

// Words are what this proxy has to say: of hosts that fail for it, and of those that it is asked about. A proxy for which many hosts
// fail says nothing: that is its own path.
func (d *Tally) Observations(now float64, asked []string) (words []Observation) {
	met, failing := 0, 0
	for _, station := range slices.Sorted(maps.Keys(d.hosts)) {
		c := d.hosts[station]
		c.turn(now)
		good, bad := c.sum()
		if good+bad == 0 {
			delete(d.hosts, station)
			continue
		}
		met++
		f := fails(good, bad)
		if f {
			failing++
		}
		if f || slices.Contains(asked, station) {
			words = append(words, Observation{station, good, bad})
		}
	}
	if met >= ownPathLeast && float64(failing) > ownPathShare*float64(met) {
		return nil
	}
	return words
}

// ---- what is in force

// Ejection is that a host is out.
type Ejection struct {
	Station          string
	Until            float64 // on the clock of who has it; of no account where Hand
	Count            int     // times in a row
	Hand             bool    // by an operator: until called back
	By, Why          string
	Against, Witness int // how many witnesses said so, of how many
}

// InForce says whether it holds.
func (r *Ejection) InForce(now float64) bool { return r.Hand || now < r.Until }

// ---- the judge

type word struct {
	Observation
	at float64
}

// Judge hears witnesses.
type Judge struct{ words map[string]map[string]word } // by host and witness

// Hear takes what a witness says. A later word on a host replaces an earlier one.
func (j *Judge) Hear(now float64, witness string, words []Observation) {
	if j.words == nil {
		j.words = map[string]map[string]word{}
	}
	for _, w := range words {
		by := j.words[w.Station]
		if by == nil {
			if len(j.words) >= mostHosts {
				continue
			}
			by = map[string]word{}
			j.words[w.Station] = by
		}
		if _, known := by[witness]; known || len(by) < mostWords {
			by[witness] = word{w, now}
		}
	}
}

// Accused are the hosts against which somebody speaks, in order: others are asked about them.
func (j *Judge) Accused(now float64) (stations []string) {
	for station, by := range j.words {
		accused := false
		for witness, w := range by {
			if now > w.at+wordFor {
				delete(by, witness)
				continue
			}
			accused = accused || fails(w.Good, w.Bad)
		}
		if len(by) == 0 {
			delete(j.words, station)
		}
		if accused {
			stations = append(stations, station)
		}
	}
	slices.Sort(stations)
	return stations
}

// speak counts who speaks against a host, and who has met it at all. Where traffic is thin most have met it once: what they saw counts
// beside a complaint, and is none by itself.
func (j *Judge) speak(now float64, station string) (against, witnesses int) {
	complaints := 0
	for _, w := range j.words[station] {
		if now > w.at+wordFor || w.Good+w.Bad == 0 {
			continue
		}
		witnesses++
		if complains := fails(w.Good, w.Bad); complains || w.Bad > 0 && w.Good == 0 {
			against++
			if complains {
				complaints++
			}
		}
	}
	if complaints == 0 {
		against = 0
	}
	return against, witnesses
}

// guilty: more than half of those who met the host lately, and two at least.
func guilty(against, witnesses int) bool { return against >= leastAccuse && 2*against > witnesses }

// Weigh says what is in force next for a service with these hosts, and whether that is anything new: hosts that most of their
// witnesses speak against go out, up to a share of the service; evidence renews a term; what has ended stays on the list for a while,
// so that a host that flaps stays out longer.
func (j *Judge) Weigh(now float64, hosts []string, held []Ejection) (next []Ejection, changed bool) {
	out := 0
	for _, r := range held {
		switch {
		case !slices.Contains(hosts, r.Station) && !r.Hand, !r.Hand && now > r.Until+forgive:
			changed = true
			continue
		case r.Hand:
		case guilty(j.speak(now, r.Station)) && r.InForce(now):
			if until := now + firstTerm; until > r.Until+firstTerm/3 { // renewed, but not at every word
				r.Until, changed = until, true
			}
		}
		if r.InForce(now) && slices.Contains(hosts, r.Station) {
			out++
		}
		next = append(next, r)
	}
	most := max(len(hosts)/outShare, min(1, len(hosts)/2))
	for _, station := range hosts {
		against, witnesses := j.speak(now, station)
		if out >= most || !guilty(against, witnesses) {
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
		r.Until = now + min(mostTerm, firstTerm*float64(int(1)<<min(r.Count-1, 5)))
		r.By, r.Why, r.Against, r.Witness = "witnesses", "fails for most that met it", against, witnesses
		out++
		changed = true
	}
	return next, changed
}

// ErrSecondWord tells that an order would leave less than half of a service.
var ErrSecondWord = errors.New("that would leave less than half of the service's hosts: say it with force")

// Order takes a host out by hand, or back. Leaving less than half of a service needs force.
func Order(now float64, hosts []string, held []Ejection, station string, out, force bool, by, why string) ([]Ejection, error) {
	next := slices.DeleteFunc(slices.Clone(held), func(r Ejection) bool { return r.Station == station })
	if !out {
		return next, nil
	}
	if len(next) >= mostRulings {
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
		return nil, ErrSecondWord
	}
	next = append(next, Ejection{Station: station, Hand: true, By: by, Why: why})
	slices.SortFunc(next, func(a, b Ejection) int { return cmp.Compare(a.Station, b.Station) })
	return next, nil
}
