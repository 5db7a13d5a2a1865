package failover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const reportLife = 40.0 // seconds

// Zone is a place with hosts.
type Zone struct {
	Name, Region string
	WarmWeight   float64 // weight of its hosts that take requests, as far as they are warm
	Held         float64 // part of its room that operators hold back; 1: it is out
}

// Decider makes plans from reports.
type Decider struct {
	heard    map[string]*heard // by member
	list     []*heard          // the same in order, for the decision at hand
	rooms    map[string]*room  // by zone
	fleet    bearing           // all zones together
	refusing bool
	ways     map[way]*passage
	used     map[way]bool        // by the last plan
	shown    map[string]ZonePlan // the last plan, by source
	at       float64             // of the last decision; 0: none yet
}

type heard struct {
	Report
	at float64
}

// NewDecider makes one that knows nothing.
func NewDecider() *Decider {
	return &Decider{heard: map[string]*heard{}, rooms: map[string]*room{}, ways: map[way]*passage{}, used: map[way]bool{}, shown: map[string]ZonePlan{}}
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
	d.list = d.reports()
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
		row := ZonePlan{Zone: z.Name, Refused: refused[i], Shares: d.shares(t, i, zones, refused[i])}
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

func (d *Decider) steady(row ZonePlan) ZonePlan {
	was, known := d.shown[row.Zone]
	same := func(x, y Share) bool { return x.Zone == y.Zone }
	if known && slices.EqualFunc(was.Shares, row.Shares, same) {
		apart := math.Abs(row.Refused - was.Refused)
		for i, s := range row.Shares {
			apart = max(apart, math.Abs(s.Fraction-was.Shares[i].Fraction))
		}
		step := shareStep
		if row.Refused > was.Refused {
			step = refuseStep
		}
		if part := step / apart; part < 1 {
			row.Refused = was.Refused + part*(row.Refused-was.Refused)
			for i := range row.Shares {
				row.Shares[i].Fraction = was.Shares[i].Fraction + part*(row.Shares[i].Fraction-was.Shares[i].Fraction)
			}
		}
	}
	if least := was.Refused - shareStep; known && row.Refused < least { // a way that opens does not let in what was refused at once
		for i := range row.Shares {
			row.Shares[i].Fraction *= (1 - least) / (1 - row.Refused)
		}
		row.Refused = least
	}
	d.shown[row.Zone] = ZonePlan{Refused: row.Refused, Shares: slices.Clone(row.Shares)}
	return row
}

// room is what a zone bears now, by what the fleet bears; with nothing known of that it has no bound.
func (d *Decider) room(z Zone, k int) float64 {
	r := d.rooms[z.Name]
	bears := cmp.Or(d.fleet.bears[k], unbounded) * z.WarmWeight * r.part
	if r.load < fullAt[well] { // what it carries well now it bears, whatever was learned before
		bears = max(bears, r.served*min(1, z.WarmWeight))
	}
	return bears * (1 - min(1, z.Held))
}

const unbounded = 1e12 // requests a second

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
			sum += z.WarmWeight * (1 - z.Held) * d.rooms[z.Name].part
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
		shares[0].Fraction = 1
	}
	return shares
}
