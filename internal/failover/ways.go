package failover

import (
	"fmt"
	"slices"
)

const (
	// A way is given up on the word of so many members who got no answer on it, and of most of those who tried lately.
	rowSure, rowAlone = 4, 8 // of Flow.Row, of one member among several; of one alone
	witnessFresh      = 2.0  // seconds after which a loss or an answer is no evidence any more

	firstHold, mostHold = 1.0, 30.0 // seconds for which a way is out; twice as long if it fails again soon
	holdMemory          = 3.0       // times the last hold: the time of service after which it counts as the first
	firstRamp, rampStep = 0.06, 2.5
	rampEvery           = 0.5 // seconds of good answers between two steps
	provenFor           = 1.0 // seconds for which an answer proves a way
)

type way struct{ from, to string }

// passage is the state of a way that was given up at some time.
type passage struct {
	out         bool
	until, hold float64
	ramp        float64 // 1: as good as new
	stepAt      float64
}

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

// word is what members say of a way.
type word struct{ against, asked, proven, lost int }

// hear counts the witnesses of all ways, each those of its source: what they say moves their own requests alone.
func (d *Decider) hear(now float64, members int) (said map[way]word, need map[string]int) {
	said, need = map[way]word{}, map[string]int{}
	for _, h := range d.list {
		need[h.Zone]++
	}
	for zone, n := range need { // a small zone's few decide for what they send
		need[zone] = min(n, Witnesses(members))
	}
	for _, h := range d.list {
		for _, f := range h.Flows {
			w := way{h.Zone, f.Zone}
			x := said[w]
			x.add(&f, now-h.at, need[h.Zone])
			said[w] = x
		}
	}
	return said, need
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
	heard, need := d.hear(now, members)
	for _, from := range zones {
		for _, to := range zones {
			w := way{from.Name, to.Name}
			said, p := heard[w], d.ways[w]
			dead := said.against >= max(1, need[from.Name]) && 2*said.against > said.asked && (d.used[w] || w.from == w.to)
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
		return z.Name != w.to && z.WarmWeight > 0 && z.Held < 1 && (p == nil || p.ramp >= 1)
	})
}

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
