package failover

import (
	"cmp"
	"math"
	"slices"
)

const (
	// The fleet has two bearings, by unit of warm weight: well at which answers are quick, and most at which they are not yet
	// late. Each is learned: what was carried, and as much more as the time that answers leave, by which it grows the slower the
	// fuller hosts are. Above its load it is cut, and then not again until members see what that did.
	well, most = 0, 1
	easyPart   = 0.75 // of such a load: below it bearings leap
	headroom   = 0.5
	grow, leap = 0.5, 2.0 // a second
	leastCut   = 0.03
	cutEvery   = 1.25 // seconds

	// Hosts that have tipped stay slow until what waits there is gone, and what they answer meanwhile is late whatever comes now.
	// So cuts are deep at first, and small once a part of the greatest bearing is reached. For a while it grows by creep only
	// once it comes near what was served as hosts became slow.
	deepPart   = 0.6
	brinkPart  = 0.92
	brinkFor   = 30.0 // seconds
	onsetAfter = 4.0  // seconds not full, after which being full is news
	creep      = 0.01 // a second

	// A zone fuller than the fleet by more than this, and near being late, counts for less of its weight, which regrows.
	apartMost = 0.1
	regain    = 0.15 // a second

	leastPart     = 0.02 // of a bearing or weight: it is never learned that a zone bears nothing
	leastAnswered = 0.5  // of attempts: with fewer a zone is dead rather than full
	leastSeen     = 10.0 // answers that say something
	coverage      = 0.7  // of the members have to be heard to speak of all
)

// fullAt is the load of each bearing.
var fullAt = [2]float64{0.6, 0.85}

// sums are of the reports at hand, of a zone or of all together: answered and lost a second, mean load, and answers in all.
type sums struct{ load, served, lost, seen float64 }

// room is what is known of a zone as a target.
type room struct {
	sums
	part   float64 // of its weight for which it counts; 1: all
	cutAt  float64 // when that was last cut
	demand float64 // of its members, of late
}

// bearing is what the fleet is held to bear.
type bearing struct {
	sums
	bears, best   [2]float64 // by unit of warm weight, and the greatest so far
	cutAt         [2]float64
	brink, slowAt float64 // what it served as it became slow, and when it last was
}

// covered says whether enough members tell to speak of all.
func (d *Decider) covered(members int) bool {
	return float64(len(d.heard)) >= coverage*float64(members)
}

// measure sums up what members saw of each zone. One member's word has a bound, so that a liar cannot drown the others.
func (d *Decider) measure(zones []Zone, demand map[string]float64, members int) {
	for _, z := range zones {
		if d.rooms[z.Name] == nil {
			d.rooms[z.Name] = &room{part: 1}
		}
	}
	for _, r := range d.rooms {
		r.sums = sums{}
	}
	bound := d.mostTaken()
	for _, h := range d.list {
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

// demand is what each zone's members take from callers, of late. One alone knows only its own, and supposes that the other
// zones' hosts have as much to do for their own zones.
func (d *Decider) demand(zones []Zone, members int) map[string]float64 {
	demand, bound := map[string]float64{}, d.mostTaken()
	for _, h := range d.list {
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
			sum, warm = sum+x, warm+z.WarmWeight
		}
	}
	for _, z := range zones {
		if _, known := demand[z.Name]; !known && warm > 0 {
			demand[z.Name] = sum / warm * z.WarmWeight
		}
	}
	return demand
}

// Demand is smoothed, so that shares do not follow its noise; what differs by more than jump is no noise.
const demandStep, jump = 0.2, 0.3

// rate moves the part of its weight for which a zone counts: less while it is fuller than the fleet and near being late. So what
// all zones share is learned of all together, which is far less noisy than of one.
func (r *room) rate(now, passed, fleet float64) {
	switch apart := r.load - fleet; {
	case r.seen >= leastSeen && r.load > fullAt[most] && apart > apartMost:
		if now-r.cutAt >= cutEvery {
			r.cutAt = now
			r.part = max(leastPart, r.part*(1-cut(r.load, fullAt[most])))
		}
	case r.seen < leastSeen || apart < apartMost || r.load < fullAt[well]:
		r.part = min(1, r.part*math.Exp(regain*passed))
	}
}

// learnFleet learns what all zones bear together.
func (d *Decider) learnFleet(now, passed float64, zones []Zone) {
	f := &d.fleet
	f.sums = sums{}
	for _, z := range zones {
		r := d.rooms[z.Name]
		f.served, f.lost, f.seen = f.served+r.served, f.lost+r.lost, f.seen+r.seen
		f.load += r.load * r.served
	}
	f.load /= max(1e-9, f.served)
	f.learn(now, passed, d.warm(zones))
}

// learn moves the bearings, by what was served and how full that made hosts.
func (r *bearing) learn(now, passed, warm float64) {
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

// move moves one of them.
func (r *bearing) move(k int, now, passed, carried float64) {
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

// cut is the part taken off a bearing: little where answers begin to be slow, a good third where all are late, as crowded hosts
// stay slow until the load is well below what crowded them.
func cut(load, full float64) float64 {
	over := (load - full) / (1 - full)
	return leastCut * (1 + 12*over*over)
}
