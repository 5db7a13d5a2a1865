package sidecar

import (
	"slices"

	"beechwing/internal/mesh/ejection"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
)

// witness is this proxy's part in agreeing that a host fails: what it saw of hosts, and what is in force for all. It is empty where
// proxies decide alone.
type witness struct {
	docket  ejection.Tally
	accused []string           // hosts of which it was asked
	version uint64             // of what is in force
	out     map[string]float64 // by host, until when
	hand    map[string]bool    // by host, out until called back
	back    map[string]float64 // when a host came back: it gets its part in steps
	lookAt  float64
}

// A host that comes back gets a quarter of its part for a second and half of it for another.
const returnStep = 1.0

func (w *witness) condemned(now float64, station string) bool {
	return w.hand[station] || now < w.out[station]
}

// part is the share of its weight that a host gets.
func (w *witness) part(now float64, station string) float64 {
	switch ago := now - w.back[station]; {
	case w.back[station] == 0 || ago >= 2*returnStep:
		return 1
	case ago >= returnStep:
		return 0.5
	}
	return 0.25
}

// saw notes how a run ended, or that the proxy beside a host is gone. Time that ran out says nothing: that is load.
func (p *Sidecar) saw(station string, bad bool) {
	if p.o.AgreedEjection && station != "" && p.witness.docket.Record(p.now, station, bad) {
		p.discovery.ask(false) // a complaint is told at once
	}
}

// sawEnd notes what the end of a run says of its host.
func (p *Sidecar) sawEnd(station string, c *meshpb.Forwarded) {
	switch v := outcome.Outcome(c.Verdict); {
	case v == outcome.Answered:
		p.saw(station, c.Status >= 500 && c.Status != 504)
	case v == outcome.Broken, v == outcome.Turned && c.Refused:
		p.saw(station, true)
	}
}

// ruled takes what is in force.
func (w *witness) ruled(now float64, update *meshpb.Update) (changed bool) {
	w.accused = update.Accused
	if update.EjectionsVersion <= w.version {
		return false
	}
	w.version = update.EjectionsVersion
	was := w.out
	w.out, w.hand = map[string]float64{}, map[string]bool{}
	if w.back == nil {
		w.back = map[string]float64{}
	}
	for _, b := range update.EjectionLists {
		for _, r := range b.Ejections {
			switch {
			case r.Hand:
				w.hand[r.Station] = true
			case r.LeftMs > 0:
				w.out[r.Station] = ejection.Until(now, r.LeftMs)
			}
		}
	}
	for station := range was {
		if !w.condemned(now, station) {
			w.back[station] = now
		}
	}
	return true
}

// tick ends terms, and says whether anything has changed for a host.
func (w *witness) tick(now float64) (changed bool) {
	if now < w.lookAt {
		return false
	}
	w.lookAt = now + 0.1
	for station, until := range w.out {
		if now >= until {
			delete(w.out, station)
			w.back[station], changed = now, true
		}
	}
	for station, at := range w.back {
		if now >= at+2*returnStep {
			delete(w.back, station)
			changed = true
		} else if ago := now - at; ago >= returnStep && ago < returnStep+0.15 {
			changed = true
		}
	}
	return changed
}

// words is what this proxy has to say, for a pull.
func (w *witness) words(now float64) (words []*meshpb.Observation) {
	for _, word := range w.docket.Observations(now, w.accused) {
		words = append(words, &meshpb.Observation{Station: word.Station, Good: uint32(word.Good), Bad: uint32(word.Bad)})
	}
	return words
}

// all are the hosts that are out by what is in force.
func (w *witness) all(now float64) (stations []string) {
	for station := range w.hand {
		stations = append(stations, station)
	}
	for station := range w.out {
		if !w.hand[station] && w.condemned(now, station) {
			stations = append(stations, station)
		}
	}
	slices.Sort(stations)
	return stations
}
