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
	// A zone has two bearings: well at which its answers are quick, and most at which they are not yet late. Requests are sent
	// away for the first, and refused for the second alone. Each is learned: what the zone carried, and as much more as the
	// time its answers leave, by which it grows the slower the fuller the zone is. Above its load it is cut, and then not
	// again until members see what that did.
	well, most = 0, 1
	easyPart   = 0.75 // of such a load: below it bearings leap
	headroom   = 0.5
	grow, leap = 0.5, 2.0 // a second
	leastCut   = 0.03
	cutEvery   = 1.25 // seconds
	// Hosts that have tipped stay slow until what waits there is gone, and what they answer meanwhile is late whatever comes now.
	// So cuts are deep at first, and small once a part of the greatest bearing is reached. For a while it grows by creep only
	// once it comes near what the zone served as it became slow.
	apartMost  = 0.1  // of a zone's load from the fleet's, within which it is no worse than the others
	regain     = 0.15 // a second, of the part of its weight for which a zone counts
	deepPart   = 0.6
	brinkPart  = 0.92
	brinkFor   = 30.0 // seconds
	onsetAfter = 4.0  // seconds not full, after which being full is news
	creep      = 0.01 // a second

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

// fullAt is the load of each bearing.
var fullAt = [2]float64{0.6, 0.85}

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
	heard    map[string]*heard // by member
	rooms    map[string]*room  // by zone
	fleet    room              // all zones together
	refusing bool
	ways     map[way]*passage
	used     map[way]bool   // by the last plan
	shown    map[string]Row // the last plan, by source
	at       float64        // of the last decision; 0: none yet
}

type heard struct {
	Report
	at float64
}

// room is what is known of a zone as a target.
type room struct {
	part               float64    // of its weight for which it counts; 1: all
	bears, best        [2]float64 // of the fleet, by unit of warm weight, and the greatest so far
	cutAt              [2]float64 // when a bearing was last cut
	demand             float64    // of its members, of late
	brink, slowAt      float64    // what it served as it became slow, and when it last was
	load, served, lost float64    // of the reports at hand
	seen               float64    // answers in them
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
	return &Decider{heard: map[string]*heard{}, rooms: map[string]*room{}, ways: map[way]*passage{}, used: map[way]bool{}, shown: map[string]Row{}}
}

// Hear takes a member's report, which replaces its last.
func (d *Decider) Hear(now float64, r Report) { d.heard[r.Member] = &heard{r, now} }

// Forget drops a member that has gone.
func (d *Decider) Forget(member string) { delete(d.heard, member) }

// GoOn takes over what the author of a plan knew.
func (d *Decider) GoOn(now float64, p *Plan) {
	clear(d.ways)
	for _, r := range p.Rows {
		d.rooms[r.Zone] = &room{part: cmp.Or(r.Part, 1), demand: r.Demand}
		for _, o := range r.Out {
			d.ways[way{r.Zone, o.Zone}] = &passage{out: o.Ramp <= 0, until: now + o.For, hold: o.Hold, ramp: o.Ramp, stepAt: now}
		}
	}
	d.fleet.bears, d.fleet.best = [2]float64{p.Well, p.Most}, [2]float64{p.Well, p.Most}
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
	if d.covered(members) {
		d.learnFleet(now, passed, zones)
	}
	for _, z := range zones {
		r := d.rooms[z.Name]
		if r.rate(now, passed, d.fleet.load); r.part < 1 {
			why = append(why, fmt.Sprintf("%s counts for %.0f %%", z.Name, 100*r.part))
		}
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
			d.rooms[z.Name] = &room{part: 1}
		}
	}
	for _, r := range d.rooms {
		r.load, r.served, r.lost, r.seen = 0, 0, 0, 0
	}
	bound := d.mostTaken()
	for _, h := range d.reports() {
		for _, f := range h.Flows {
			r := d.rooms[f.Zone]
			if r == nil {
				continue
			}
			served := min(bound, f.Answered)
			r.served, r.lost, r.load = r.served+served, r.lost+min(bound, max(0, f.Lost-f.Late)), r.load+served*f.Load
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

// learn moves what a zone, or all together, is held to bear, by what it served and how full that made it.
func (r *room) learn(now, passed, warm float64) {
	for k := range r.bears {
		if r.seen < leastSeen && r.bears[k] < r.best[k] { // what is hardly asked does not show that it has recovered
			r.bears[k] = min(r.best[k], r.bears[k]*math.Exp(grow*passed))
		}
	}
	if warm <= 0 || r.seen < leastSeen || r.served < leastAnswered*(r.served+r.lost) {
		return
	}
	if r.load > fullAt[most] {
		if now-r.slowAt > onsetAfter || r.brink == 0 {
			r.brink = brinkPart * r.served / warm
		}
		r.slowAt = now
	} else if now-r.slowAt > brinkFor {
		r.brink = 0
	}
	for k := range r.bears {
		r.move(k, now, passed, r.served/warm)
	}
}

// rate moves the part of its weight for which a zone counts: less while it is fuller than the fleet and near being late. So what
// all zones share is learned of all together, which is far less noisy than of one.
func (r *room) rate(now, passed, fleet float64) {
	switch apart := r.load - fleet; {
	case r.seen >= leastSeen && r.load > fullAt[most] && apart > apartMost:
		if now-r.cutAt[most] >= cutEvery {
			r.cutAt[most] = now
			r.part = max(leastPart, r.part*(1-cut(r.load, fullAt[most])))
		}
	case r.seen < leastSeen || apart < apartMost || r.load < fullAt[well]:
		r.part = min(1, r.part*math.Exp(regain*passed))
	}
}

// covered says whether enough members tell to speak of all.
func (d *Decider) covered(members int) bool {
	return float64(len(d.heard)) >= coverage*float64(members)
}

// learnFleet learns what all zones bear together.
func (d *Decider) learnFleet(now, passed float64, zones []Zone) {
	f := &d.fleet
	f.load, f.served, f.lost, f.seen = 0, 0, 0, 0
	for _, z := range zones {
		r := d.rooms[z.Name]
		f.served, f.lost, f.seen = f.served+r.served, f.lost+r.lost, f.seen+r.seen
		f.load += r.load * r.served
	}
	f.load /= max(1e-9, f.served)
	f.learn(now, passed, d.warm(zones))
}

// move moves one of a zone's bearings.
func (r *room) move(k int, now, passed, carried float64) {
	ease := 1 - r.load/fullAt[k]
	wanted := carried * (1 + headroom*ease)
	switch bears := &r.bears[k]; {
	case ease < 0 && now-r.cutAt[k] < cutEvery:
	case ease < 0:
		r.cutAt[k] = now
		if *bears = cmp.Or(*bears, carried); *bears < deepPart*r.best[k] {
			*bears *= 1 - leastCut
		} else {
			*bears = max(min(*bears, carried), deepPart*r.best[k]) * (1 - cut(r.load, fullAt[k]))
		}
		*bears = max(*bears, leastPart*r.best[k])
	case *bears == 0:
		*bears = wanted
	case wanted > *bears:
		rate := leap
		switch {
		case r.brink > 0 && *bears >= r.brink:
			rate = creep
		case ease < 1-easyPart:
			rate = grow * ease
		}
		*bears = min(wanted, *bears*math.Exp(rate*passed))
	}
	r.bears[most] = max(r.bears[most], r.bears[well])
	r.best[k] = max(r.best[k], r.bears[k])
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
	case 2*said.proven > said.asked && d.rooms[w.to].load < fullAt[most] && now-p.stepAt >= rampEvery:
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
	over := d.over(zones, demand, members)
	for i, z := range zones {
		t.region[i], t.demand[i] = z.Region, demand[z.Name]*(1-over)
		t.well[i], t.most[i] = d.room(z, well), d.room(z, most)
		for j, to := range zones {
			t.limit[i][j] = d.limit(way{z.Name, to.Name}) * max(t.demand[i], 1e-9)
		}
	}
	var refused []float64
	if members > 1 {
		refused = t.place()
	} else {
		for i, z := range zones {
			if t.most[i] > 0 && d.rooms[z.Name].load < fullAt[well] { // its requests come too unevenly to say more
				t.most[i] = max(t.most[i], t.demand[i])
			}
		}
		refused = t.scatter()
	}
	for i, stranded := range refused {
		refused[i] = 1 - (1-over)*(1-stranded)
	}
	p := &Plan{Well: d.fleet.bears[well], Most: d.fleet.bears[most]}
	for i, z := range zones {
		row := Row{Zone: z.Name, Refused: refused[i], Shares: d.shares(t, i, zones, refused[i])}
		row = d.steady(row)
		row.Demand, row.Part = demand[z.Name], d.rooms[z.Name].part
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

// A plan's shares move by steps, but for ways that open or close: what they do shows after a second or two, and shares that ran
// ahead of that would swing from zone to zone, and tip one after the other. Refusing begins faster.
const shareStep, refuseStep = 0.04, 0.1 // a decision

func (d *Decider) steady(row Row) Row {
	was, known := d.shown[row.Zone]
	same := func(x, y Share) bool { return x.Zone == y.Zone }
	if known && slices.EqualFunc(was.Shares, row.Shares, same) {
		apart := math.Abs(row.Refused - was.Refused)
		for i, s := range row.Shares {
			apart = max(apart, math.Abs(s.Part-was.Shares[i].Part))
		}
		step := shareStep
		if row.Refused > was.Refused {
			step = refuseStep
		}
		if part := step / apart; part < 1 {
			row.Refused = was.Refused + part*(row.Refused-was.Refused)
			for i := range row.Shares {
				row.Shares[i].Part = was.Shares[i].Part + part*(row.Shares[i].Part-was.Shares[i].Part)
			}
		}
	}
	if least := was.Refused - shareStep; known && row.Refused < least { // a way that opens does not let in what was refused at once
		for i := range row.Shares {
			row.Shares[i].Part *= (1 - least) / (1 - row.Refused)
		}
		row.Refused = least
	}
	d.shown[row.Zone] = Row{Refused: row.Refused, Shares: slices.Clone(row.Shares)}
	return row
}

// room is what a zone bears now, by what the fleet bears; with nothing known of that it has no bound.
func (d *Decider) room(z Zone, k int) float64 {
	r := d.rooms[z.Name]
	bears := cmp.Or(d.fleet.bears[k], unbounded) * z.Warm * r.part
	if r.load < fullAt[well] { // what it carries well now it bears, whatever was learned before
		bears = max(bears, r.served*min(1, z.Warm))
	}
	return bears * (1 - min(1, z.Held))
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

// over is the part of all demand that the fleet cannot bear, the same for every source, so that no zone tips for the sake of
// another. That one zone is full is a matter of the shares, and as long as all are easy nothing is refused.
func (d *Decider) over(zones []Zone, demand map[string]float64, members int) float64 {
	asked, bears := 0.0, d.fleet.bears[most]*d.warm(zones)
	for _, x := range demand {
		asked += x
	}
	d.refusing = members > 1 && bears > 0 && asked > bears && (d.refusing || d.fleet.load > fullAt[well]) &&
		d.covered(members)
	if !d.refusing {
		return 0
	}
	return 1 - bears/asked
}

// warm is the weight of all zones that anybody reaches.
func (d *Decider) warm(zones []Zone) (sum float64) {
	for _, z := range zones {
		if p := d.ways[way{z.Name, z.Name}]; p == nil || !p.out {
			sum += z.Warm * (1 - z.Held) * d.rooms[z.Name].part
		}
	}
	return sum
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
		if !t.open(s, to) {
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

// demand is what each zone's members take from callers, of late. One alone knows only its own, and supposes that the other
// zones' hosts have as much to do for their own zones.
func (d *Decider) demand(zones []Zone, members int) map[string]float64 {
	demand, bound := map[string]float64{}, d.mostTaken()
	for _, h := range d.reports() {
		demand[h.Zone] += min(bound, h.Taken)
	}
	for zone, x := range demand {
		if r := d.rooms[zone]; r != nil {
			if math.Abs(x-r.demand) > jump*r.demand {
				r.demand = x
			}
			r.demand += demandStep * (x - r.demand)
			demand[zone] = r.demand
		}
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

// Demand is smoothed, so that shares do not follow its noise; what differs by more than jump is no noise.
const demandStep, jump = 0.2, 0.3

// cut is the part taken off a bearing: little where answers begin to be slow, a good third where all are late, as crowded hosts
// stay slow until the load is well below what crowded them.
func cut(load, full float64) float64 {
	over := (load - full) / (1 - full)
	return leastCut * (1 + 12*over*over)
}
