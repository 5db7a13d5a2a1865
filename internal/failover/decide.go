package failover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// How a zone's bearing is learned: what it carried, and as much more as the time its answers leave, by which it grows the
	// slower the fuller the zone is. Above full it is cut, and then not again until members see what that did.
	full, easy    = 0.6, 0.45
	headroom      = 0.5
	grow, leap    = 0.5, 2.0 // a second; leap: while the zone is easy
	leastCut      = 0.03
	cutEvery      = 1.25 // seconds
	stretch       = 1.1  // as far beyond its bearing an easy zone is asked before anything is refused
	leastPart     = 0.02 // of the greatest bearing: it is never learned that a zone bears nothing
	leastAnswered = 0.5  // of attempts: with fewer a zone is dead rather than full
	leastSeen     = 10.0 // answers that say something of a zone

	// A way is given up on the word of so many members who got no answer on it, and of most of those who tried lately.
	rowSure, rowAlone = 4, 8 // of Flow.Row, of one member among several; of one alone
	witnessFresh      = 2.0  // seconds after which a loss or an answer is no evidence any more

	firstHold, mostHold = 1.0, 30.0 // seconds for which a way is out; twice as long if it fails again soon
	holdMemory          = 3.0       // times the last hold: the time of service after which it counts as the first
	firstRamp, rampStep = 0.06, 2.5
	rampEvery           = 0.5 // seconds of good answers between two steps
	provenFor           = 1.0 // seconds for which an answer proves a way

	reportLife = 40.0 // seconds
	coverage   = 0.7  // of the members have to be heard before anything is refused
)

// Witnesses is how many members have to say that a way is dead, among so many members: one alone decides for itself, two
// must agree, and from five on no two broken ones can move the others.
func Witnesses(members int) int {
	switch {
	case members <= 1:
		return 1
	case members < 5:
		return 2
	}
	return 3
}

// Zone is a place with hosts.
type Zone struct {
	Name, Region string
	Warm         float64 // weight of its hosts that take requests, as far as they are warm
	Held         float64 // part of its room that operators hold back; 1: it is out
}

// Decider makes plans from reports.
type Decider struct {
	heard map[string]*heard // by member
	rooms map[string]*room  // by zone
	ways  map[way]*passage
	used  map[way]bool // by the last plan
	at    float64      // of the last decision; 0: none yet
}

type heard struct {
	Report
	at float64
}

// room is what is known of a zone as a target.
type room struct {
	bears              float64
	most               float64 // the greatest bearing so far
	cutAt              float64 // when its bearing was last cut
	load, served, lost float64 // of the reports at hand
	seen               float64 // answers in them
}

type way struct{ from, to string }

// passage is the state of a way that was given up at some time.
type passage struct {
	out         bool
	until, hold float64
	ramp        float64 // 1: as good as new
	stepAt      float64
}

// NewDecider makes one that knows nothing.
func NewDecider() *Decider {
	return &Decider{heard: map[string]*heard{}, rooms: map[string]*room{}, ways: map[way]*passage{}, used: map[way]bool{}}
}

// Hear takes a member's report, which replaces its last.
func (d *Decider) Hear(now float64, r Report) { d.heard[r.Member] = &heard{r, now} }

// Forget drops a member that has gone.
func (d *Decider) Forget(member string) { delete(d.heard, member) }

// GoOn takes over what the author of a plan knew.
func (d *Decider) GoOn(now float64, p *Plan) {
	clear(d.ways)
	for _, r := range p.Rows {
		d.rooms[r.Zone] = &room{bears: r.Bears, most: r.Bears}
		for _, o := range r.Out {
			d.ways[way{r.Zone, o.Zone}] = &passage{out: o.Ramp <= 0, until: now + o.For, hold: o.Hold, ramp: o.Ramp, stepAt: now}
		}
	}
	d.at = now
}

// Decide makes a plan for the zones, of which members tell, so many in all. Epoch and Author are the caller's.
func (d *Decider) Decide(now float64, zones []Zone, members int) *Plan {
	zones = slices.SortedFunc(slices.Values(zones), func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	maps.DeleteFunc(d.heard, func(_ string, h *heard) bool { return now-h.at > reportLife })
	passed := 0.0
	if d.at > 0 {
		passed = min(1, max(0, now-d.at))
	}
	d.at = now
	var why []string
	demand := d.demand(zones, members)
	d.measure(zones, demand, members)
	for _, z := range zones {
		why = append(why, d.learn(now, passed, z)...)
	}
	why = append(why, d.judge(now, zones, members)...)
	return d.plan(now, zones, demand, members, why)
}

// reports are those of all members, in an order of their own.
func (d *Decider) reports() []*heard {
	all := slices.Collect(maps.Values(d.heard))
	slices.SortFunc(all, func(a, b *heard) int { return cmp.Compare(a.Member, b.Member) })
	return all
}

// measure sums up what members saw of each zone. One member's word has a bound, so that a liar cannot drown the others.
func (d *Decider) measure(zones []Zone, demand map[string]float64, members int) {
	for _, z := range zones {
		if d.rooms[z.Name] == nil {
			d.rooms[z.Name] = &room{}
		}
	}
	for _, r := range d.rooms {
		r.load, r.served, r.lost, r.seen = 0, 0, 0, 0
	}
	most := d.mostTaken()
	for _, h := range d.reports() {
		for _, f := range h.Flows {
			r := d.rooms[f.Zone]
			if r == nil {
				continue
			}
			served := min(most, f.Answered)
			r.served, r.lost, r.load = r.served+served, r.lost+min(most, f.Lost), r.load+served*f.Load
			r.seen += f.Answered * h.Span
		}
	}
	for name, r := range d.rooms {
		r.load /= max(1e-9, r.served)
		if members <= 1 && d.heardOf(name) == 0 && r.served > 0 { // beside what its own proxies send
			r.served += demand[name] * r.served / (r.served + r.lost)
		}
	}
}

// heardOf counts the members of a zone that told of themselves.
func (d *Decider) heardOf(zone string) (n int) {
	for _, h := range d.heard {
		if h.Zone == zone {
			n++
		}
	}
	return n
}

const outsize = 5.0 // times the median of what members take: as much as one is believed

func (d *Decider) mostTaken() float64 {
	var rates []float64
	for _, h := range d.heard {
		rates = append(rates, h.Taken)
	}
	if len(rates) < 3 {
		return math.Inf(1)
	}
	slices.Sort(rates)
	return max(1, outsize*rates[len(rates)/2])
}

// learn moves what a zone is held to bear, by what it served and how full that made it.
func (d *Decider) learn(now, passed float64, z Zone) (why []string) {
	r := d.rooms[z.Name]
	if r.seen < leastSeen && r.bears < r.most { // what is hardly asked does not show that it has recovered
		r.bears = min(r.most, r.bears*math.Exp(grow*passed))
	}
	if z.Warm <= 0 || r.seen < leastSeen || r.served < leastAnswered*(r.served+r.lost) {
		return nil
	}
	carried := r.served / z.Warm
	switch {
	case r.load > full:
		if now-r.cutAt >= cutEvery {
			r.cutAt = now
			r.bears = cmp.Or(min(r.bears, carried), carried) * (1 - cut(r.load))
			r.bears = max(r.bears, leastPart*r.most)
		}
		why = append(why, fmt.Sprintf("%s is full at %.0f/s", z.Name, r.served))
	case r.bears == 0:
		r.bears = carried * (1 + headroom*(1-r.load/full))
	default:
		ease, rate := 1-r.load/full, leap
		if r.load > easy {
			rate = grow * ease
		}
		if wanted := carried * (1 + headroom*ease); wanted > r.bears {
			r.bears = min(wanted, r.bears*math.Exp(rate*passed))
		}
	}
	r.most = max(r.most, r.bears)
	return why
}

// word is what members say of a way.
type word struct{ against, asked, proven, lost int }

// ask counts the witnesses of a way, all of its source: what they say moves their own requests alone.
func (d *Decider) ask(now float64, w way, need int) (said word) {
	for _, h := range d.reports() {
		for _, f := range h.Flows {
			if f.Zone == w.to && h.Zone == w.from {
				said.add(&f, now-h.at, need)
			}
		}
	}
	return said
}

func (w *word) add(f *Flow, age float64, need int) {
	since, lostAgo := f.Since+age, f.LostAgo+age
	sure := rowSure
	if need == 1 {
		sure = rowAlone
	}
	bad := f.Row >= sure && lostAgo < witnessFresh
	if bad || since < witnessFresh {
		w.asked++
	}
	if bad {
		w.against++
		w.lost += f.Row
	}
	if since < provenFor {
		w.proven++
	}
}

// judge gives ways up and tries them again. Of ways that the plan does not use few can tell, so that a few liars could shut
// them all: they stay as they are until they are used.
func (d *Decider) judge(now float64, zones []Zone, members int) (why []string) {
	for _, from := range zones {
		need := Witnesses(members)
		if n := d.heardOf(from.Name); n > 0 { // a small zone's few decide for what they send
			need = min(need, n)
		}
		for _, to := range zones {
			w := way{from.Name, to.Name}
			said := d.ask(now, w, need)
			p := d.ways[w]
			dead := said.against >= need && 2*said.against > said.asked && (d.used[w] || w.from == w.to)
			switch {
			case dead && (p == nil || !p.out) && d.othersOpen(w, zones):
				d.ways[w] = giveUp(now, p)
				why = append(why, fmt.Sprintf("%s cannot reach %s: %d of %d witnesses, %d lost in a row",
					w.from, w.to, said.against, said.asked, said.lost))
			case p != nil:
				why = append(why, d.retry(now, w, p, said)...)
			}
		}
	}
	return why
}

// giveUp puts a way out, for longer if it was out not long ago.
func giveUp(now float64, p *passage) *passage {
	hold := firstHold
	if p != nil && now-p.stepAt < holdMemory*p.hold+holdMemory {
		hold = min(mostHold, 2*p.hold)
	}
	return &passage{out: true, until: now + hold, hold: hold}
}

// retry moves a way that was given up: after its time a few requests find out, and with good answers more follow.
func (d *Decider) retry(now float64, w way, p *passage, said word) (why []string) {
	switch {
	case p.out && now < p.until:
		return []string{fmt.Sprintf("%s leaves %s for %.1f s more", w.from, w.to, p.until-now)}
	case p.out:
		p.out, p.ramp, p.stepAt = false, firstRamp, now
	case p.ramp >= 1:
		if now-p.stepAt > holdMemory*p.hold+holdMemory {
			delete(d.ways, w)
		}
		return nil
	case 2*said.proven > said.asked && d.rooms[w.to].load < full && now-p.stepAt >= rampEvery:
		p.ramp, p.stepAt = min(1, p.ramp*rampStep), now
	}
	return []string{fmt.Sprintf("%s tries %s with %.0f %%", w.from, w.to, 100*p.ramp)}
}

// othersOpen says whether a source reaches anything else. With every way dead it is not they that are broken.
func (d *Decider) othersOpen(w way, zones []Zone) bool {
	return slices.ContainsFunc(zones, func(z Zone) bool {
		p := d.ways[way{w.from, z.Name}]
		return z.Name != w.to && z.Warm > 0 && z.Held < 1 && (p == nil || p.ramp >= 1)
	})
}

// plan places the demand of all zones.
func (d *Decider) plan(now float64, zones []Zone, demand map[string]float64, members int, why []string) *Plan {
	t := newTable(len(zones))
	for i, z := range zones {
		t.region[i], t.demand[i], t.room[i] = z.Region, demand[z.Name], d.room(z, zones)
		for j, to := range zones {
			t.limit[i][j] = d.limit(way{z.Name, to.Name}) * t.demand[i]
		}
	}
	t.stretch(zones, d.rooms)
	var refused []float64
	if float64(len(d.heard)) >= coverage*float64(members) && members > 1 {
		refused = t.place()
	} else { // what others send is not known: nothing is refused for it, as in panic
		refused = t.spread()
	}
	p := &Plan{}
	for i, z := range zones {
		row := Row{Zone: z.Name, Refused: refused[i], Shares: d.shares(t, i, zones, refused[i])}
		row.Demand, row.Bears = t.demand[i], d.rooms[z.Name].bears
		for _, to := range zones {
			if g := d.ways[way{z.Name, to.Name}]; g != nil && g.ramp < 1 {
				row.Out = append(row.Out, Out{to.Name, max(0, g.until-now), g.hold, g.ramp})
			}
		}
		if z.Held > 0 {
			why = append(why, fmt.Sprintf("operators hold back %.0f %% of %s", 100*z.Held, z.Name))
		}
		if refused[i] > 0 {
			why = append(why, fmt.Sprintf("%s refuses %.0f %%", z.Name, 100*refused[i]))
		}
		p.Rows = append(p.Rows, row)
	}
	p.Reason = cmp.Or(strings.Join(why, "; "), "all at home")
	return p
}

// cut is the part taken off a bearing: little where answers begin to be slow, a good third where all are late, as crowded hosts
// stay slow until the load is well below what crowded them.
func cut(load float64) float64 {
	over := (load - full) / (1 - full)
	return leastCut * (1 + 12*over*over)
}

// demand is what each zone's members take from callers. One alone knows only its own, and supposes that the other zones'
// hosts have as much to do for their own zones.
func (d *Decider) demand(zones []Zone, members int) map[string]float64 {
	demand, most := map[string]float64{}, d.mostTaken()
	for _, h := range d.reports() {
		demand[h.Zone] += min(most, h.Taken)
	}
	if members > 1 {
		return demand
	}
	sum, warm := 0.0, 0.0
	for _, z := range zones {
		if x, known := demand[z.Name]; known {
			sum, warm = sum+x, warm+z.Warm
		}
	}
	for _, z := range zones {
		if _, known := demand[z.Name]; !known && warm > 0 {
			demand[z.Name] = sum / warm * z.Warm
		}
	}
	return demand
}

// room is what a zone bears now. Of one that nobody asked yet it is what the others bear for their size; with nothing known of
// any it has no bound.
func (d *Decider) room(z Zone, zones []Zone) float64 {
	if z.Held >= 1 || z.Warm <= 0 {
		return 0
	}
	if r := d.rooms[z.Name]; r.bears > 0 {
		return r.bears * z.Warm * (1 - z.Held)
	}
	sum, n := 0.0, 0.0
	for _, other := range zones {
		if r := d.rooms[other.Name]; r.bears > 0 {
			sum, n = sum+r.bears, n+1
		}
	}
	if n == 0 {
		return unbounded
	}
	return sum / n * z.Warm * (1 - z.Held)
}

const unbounded = 1e12 // requests a second

// limit is the part of a source's demand that may take a way.
func (d *Decider) limit(w way) float64 {
	p := d.ways[w]
	if p == nil && !d.used[w] { // nobody tried: what the target's own zone says of it holds
		p = d.ways[way{w.to, w.to}]
	}
	switch {
	case p == nil:
		return 1
	case p.out:
		return 0
	default:
		return p.ramp
	}
}

// stretch lets zones that are easy be asked for more than they have shown to bear, as far as else something were refused.
func (t *table) stretch(zones []Zone, rooms map[string]*room) {
	probe := newTable(len(zones))
	copy(probe.demand, t.demand)
	copy(probe.room, t.room)
	copy(probe.region, t.region)
	probe.limit = t.limit
	probe.fill()
	over, could := probe.unplaced(), 0.0
	for i, z := range zones {
		if rooms[z.Name].load < easy {
			could += (stretch - 1) * t.room[i]
		}
	}
	if over <= 0 || could <= 0 {
		return
	}
	part := min(1, over/could)
	for i, z := range zones {
		if rooms[z.Name].load < easy {
			t.room[i] *= 1 + part*(stretch-1)
		}
	}
}

// shares words what the table found for a source, its own zone first. What nothing is asked of stays open for what finds no
// room elsewhere.
func (d *Decider) shares(t *table, s int, zones []Zone, refused float64) (shares []Share) {
	sum := 0.0
	for _, x := range t.sent[s] {
		sum += x
	}
	add := func(to int) {
		w := way{zones[s].Name, zones[to].Name}
		if t.room[to] <= 0 || d.limit(w) <= 0 {
			return
		}
		part := 0.0
		switch {
		case sum > 0:
			part = t.sent[s][to] / sum * (1 - refused)
		case s == to: // no demand yet: the first of it stays at home
			part = 1
		}
		shares = append(shares, Share{zones[to].Name, part})
		d.used[w] = part > 0
	}
	add(s)
	for to := range zones {
		if to != s {
			add(to)
		}
	}
	if sum <= 0 && len(shares) > 0 && refused < 1 {
		shares[0].Part = 1
	}
	return shares
}
