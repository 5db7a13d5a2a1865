package sidecar

import (
	"slices"

	"beechwing/internal/mesh/ejection"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
)

// witness is this proxy's part in agreeing that a host fails: what it saw of hosts, and what is in force for all. It is empty where
// proxies decide alone.
type ejections struct {
	tally        ejection.Tally
	suspects     []string           // hosts of which it was asked
	version      uint64             // of what is in force
	ejectedUntil map[string]float64 // by host, until when
	manual       map[string]bool    // by host, out until called back
	returnedAt   map[string]float64 // when a host came back: it gets its part in steps
	nextCheckAt  float64
}

// A host that comes back gets a quarter of its part for a second and half of it for another.
const returnStepSeconds = 1.0

func (e *ejections) ejected(now float64, instance string) bool {
	return e.manual[instance] || now < e.ejectedUntil[instance]
}

// part is the share of its weight that a host gets.
func (e *ejections) weightShare(now float64, instance string) float64 {
	switch ago := now - e.returnedAt[instance]; {
	case e.returnedAt[instance] == 0 || ago >= 2*returnStepSeconds:
		return 1
	case ago >= returnStepSeconds:
		return 0.5
	}
	return 0.25
}

// saw notes how a run ended, or that the proxy beside a host is gone. Time that ran out says nothing: that is load.
func (p *Sidecar) recordResult(instance string, bad bool) {
	if p.opts.AgreedEjection && instance != "" && p.ejections.tally.Record(p.now, instance, bad) {
		p.discovery.sendPull(false) // a complaint is told at once
	}
}

// sawEnd notes what the end of a run says of its host.
func (p *Sidecar) recordOutcome(instance string, forwarded *meshpb.Forwarded) {
	switch verdict := outcome.Outcome(forwarded.Verdict); {
	case verdict == outcome.Answered:
		p.recordResult(instance, forwarded.Status >= 500 && forwarded.Status != 504)
	case verdict == outcome.Broken, verdict == outcome.Turned && forwarded.Refused:
		p.recordResult(instance, true)
	}
}

// ruled takes what is in force.
func (e *ejections) applyLists(now float64, update *meshpb.Update) (changed bool) {
	e.suspects = update.Accused
	if update.EjectionsVersion <= e.version {
		return false
	}
	e.version = update.EjectionsVersion
	was := e.ejectedUntil
	e.ejectedUntil, e.manual = map[string]float64{}, map[string]bool{}
	if e.returnedAt == nil {
		e.returnedAt = map[string]float64{}
	}
	for _, b := range update.EjectionLists {
		for _, r := range b.Ejections {
			switch {
			case r.Hand:
				e.manual[r.Station] = true
			case r.LeftMs > 0:
				e.ejectedUntil[r.Station] = ejection.Until(now, r.LeftMs)
			}
		}
	}
	for instance := range was {
		if !e.ejected(now, instance) {
			e.returnedAt[instance] = now
		}
	}
	return true
}

// tick ends terms, and says whether anything has changed for a host.
func (e *ejections) tick(now float64) (changed bool) {
	if now < e.nextCheckAt {
		return false
	}
	e.nextCheckAt = now + 0.1
	for instance, until := range e.ejectedUntil {
		if now >= until {
			delete(e.ejectedUntil, instance)
			e.returnedAt[instance], changed = now, true
		}
	}
	for instance, at := range e.returnedAt {
		if now >= at+2*returnStepSeconds {
			delete(e.returnedAt, instance)
			changed = true
		} else if ago := now - at; ago >= returnStepSeconds && ago < returnStepSeconds+0.15 {
			changed = true
		}
	}
	return changed
}

// words is what this proxy has to say, for a pull.
func (e *ejections) observations(now float64) (observations []*meshpb.Observation) {
	for _, observation := range e.tally.Observations(now, e.suspects) {
		observations = append(observations, &meshpb.Observation{Station: observation.Station, Good: uint32(observation.Good), Bad: uint32(observation.Bad)})
	}
	return observations
}

// all are the hosts that are out by what is in force.
func (e *ejections) ejectedInstances(now float64) (instances []string) {
	for instance := range e.manual {
		instances = append(instances, instance)
	}
	for instance := range e.ejectedUntil {
		if !e.manual[instance] && e.ejected(now, instance) {
			instances = append(instances, instance)
		}
	}
	slices.Sort(instances)
	return instances
}
