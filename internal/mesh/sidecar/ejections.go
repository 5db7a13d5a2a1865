package sidecar

import (
	"slices"

	"beechwing/internal/mesh/ejection"
	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
)

// ejections is this sidecar's part in the agreed ejection of failing hosts: its own observations, and the ejection
// lists in force. It is unused where each proxy decides alone.
type ejections struct {
	tally        ejection.Tally
	suspects     []string           // instances on which the control servers want observations
	version      uint64             // of the lists in force
	ejectedUntil map[string]float64 // by instance
	manual       map[string]bool    // instances that an operator ejected, until called back
	returnedAt   map[string]float64 // when each instance returned; its traffic is restored in steps
	nextCheckAt  float64
}

// returnStepSeconds is the length of the two steps in which an instance that returns gets its traffic back: a quarter
// of its weight in the first step and half in the second.
const returnStepSeconds = 1.0

func (e *ejections) ejected(now float64, instance string) bool {
	return e.manual[instance] || now < e.ejectedUntil[instance]
}

// weightShare returns the share of its weight that an instance gets.
func (e *ejections) weightShare(now float64, instance string) float64 {
	switch ago := now - e.returnedAt[instance]; {
	case e.returnedAt[instance] == 0 || ago >= 2*returnStepSeconds:
		return 1
	case ago >= returnStepSeconds:
		return 0.5
	}
	return 0.25
}

// recordResult records the outcome of a run, or that the sidecar of the host is lost. Time-outs are not recorded, as
// they show load and not a failing host.
func (p *Sidecar) recordResult(instance string, bad bool) {
	if p.opts.AgreedEjection && instance != "" && p.ejections.tally.Record(p.now, instance, bad) {
		p.discovery.sendPull(false) // a host that begins to fail is reported at once
	}
}

// recordOutcome records what the end of a run shows about its host.
func (p *Sidecar) recordOutcome(instance string, forwarded *meshpb.Forwarded) {
	switch verdict := outcome.Outcome(forwarded.Verdict); {
	case verdict == outcome.Answered:
		p.recordResult(instance, forwarded.Status >= 500 && forwarded.Status != 504)
	case verdict == outcome.Broken, verdict == outcome.TurnedAway && forwarded.Refused:
		p.recordResult(instance, true)
	}
}

// applyLists applies the ejection lists in force.
func (e *ejections) applyLists(now float64, update *meshpb.Update) (changed bool) {
	e.suspects = update.Accused
	if update.EjectionsVersion <= e.version {
		return false
	}
	e.version = update.EjectionsVersion
	previous := e.ejectedUntil
	e.ejectedUntil, e.manual = map[string]float64{}, map[string]bool{}
	if e.returnedAt == nil {
		e.returnedAt = map[string]float64{}
	}
	for _, list := range update.EjectionLists {
		for _, entry := range list.Ejections {
			switch {
			case entry.Hand:
				e.manual[entry.Station] = true
			case entry.LeftMs > 0:
				e.ejectedUntil[entry.Station] = ejection.Until(now, entry.LeftMs)
			}
		}
	}
	for instance := range previous {
		if !e.ejected(now, instance) {
			e.returnedAt[instance] = now
		}
	}
	return true
}

// tick ends expired ejections, and reports whether the standing of any host has changed.
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

// observations returns the observations that this sidecar reports in a pull.
func (e *ejections) observations(now float64) (observations []*meshpb.Observation) {
	for _, observation := range e.tally.Observations(now, e.suspects) {
		observations = append(observations, &meshpb.Observation{Station: observation.Host,
			Good: uint32(observation.Good), Bad: uint32(observation.Bad)})
	}
	return observations
}

// ejectedInstances returns the ejected instances by the lists in force, in order.
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
