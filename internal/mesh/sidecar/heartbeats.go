package sidecar

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// This file decides what the host beside this sidecar is, from its heartbeats, its sign-off and its answers to probes.
//
// Heartbeats may arrive seconds late, and this process may be newer than they are: a former process at this address may
// have acknowledged since then that the host leaves. So an instance of which this process has not heard before counts as
// serving only once the host itself has confirmed it by its answer to a probe.

const (
	probeInterval = 0.3 // seconds between two probes of a host that is not confirmed yet
	// unconfirmedSpan is the time in seconds for which newer and newer heartbeats of a host that does not answer probes have to
	// arrive until it counts as serving. Heartbeats are late by a few seconds at most.
	unconfirmedSpan = 10.0
	// maxFormerInstances is how many former host instances are remembered. A host does not restart more often than that in
	// the time by which heartbeats are late.
	maxFormerInstances = 8
)

// Heartbeat is what a host reports about itself.
type Heartbeat struct {
	ID, Service, Address, Zone string
	Slots                      int // requests that the host runs at once; 0: not stated
	Draining                   bool
	WarmUpLeftMs               int
	Sequence                   uint64 // grows with each heartbeat of an instance
}

// unconfirmedHost is a host instance whose heartbeats arrive, and which has not confirmed yet that it is the present one.
type unconfirmedHost struct {
	newest  Heartbeat // its ID is empty if there is no such instance
	since   float64   // when its first heartbeat arrived
	heardAt float64   // when the newest one arrived
}

// Heartbeat handles a heartbeat of the host. When it returns, no new requests go to a host that is draining, so the
// heartbeat may be acknowledged. An outdated heartbeat is acknowledged too and has no effect.
func (p *Sidecar) Heartbeat(now float64, h Heartbeat) {
	p.beginInput(now)
	d := &p.discovery
	switch {
	case slices.Contains(d.formerInstances, h.ID), h.ID == d.own.Station && !d.isNewHeartbeat(h):
		return // outdated
	case h.ID != d.own.Station && !d.confirmedByHeartbeats(h):
		return
	}
	d.applyHeartbeat(h)
	p.runPending()
}

// applyHeartbeat publishes what the present host instance reports.
func (d *discovery) applyHeartbeat(h Heartbeat) {
	d.replaceInstance(h.ID)
	d.heartbeatAt, d.lastSequence, d.signedOff = d.sidecar.pauses.runSeconds, h.Sequence, false
	condition := Serving
	if h.Draining {
		condition = Draining
	}
	d.updateOwn(func(record *meshpb.Record) {
		record.Station, record.Carrier, record.Zone, record.Berths = h.ID, cmp.Or(h.Service, record.Carrier),
			cmp.Or(h.Zone, record.Zone), uint32(max(0, h.Slots))
		record.ColdMs, record.Condition = uint32(max(0, h.WarmUpLeftMs)), condition
	})
}

// confirmedByHeartbeats records a heartbeat of an instance that is not the present one, and reports whether it may be
// applied although no probe has confirmed the instance. A draining instance gets no requests, so it needs no
// confirmation unless it would replace another one.
func (d *discovery) confirmedByHeartbeats(h Heartbeat) bool {
	if d.own.Station == "" && h.Draining {
		return true
	}
	now, u := d.sidecar.now, &d.unconfirmed
	switch {
	case u.newest.ID != h.ID:
		*u = unconfirmedHost{newest: h, since: now, heardAt: now}
		d.nextProbeAt = now
	case h.Sequence > u.newest.Sequence:
		u.newest, u.heardAt = h, now
		return now >= u.since+unconfirmedSpan
	}
	return false
}

// replaceInstance records that an instance is the present one, so that no late heartbeat of the former one brings that
// back.
func (d *discovery) replaceInstance(instance string) {
	d.unconfirmed = unconfirmedHost{}
	if before := d.own.Station; before != "" && before != instance {
		d.rememberFormer(before)
	}
}

// rememberFormer records that an instance has ended or ends, so that heartbeats and probes of it have no effect any more.
func (d *discovery) rememberFormer(instance string) {
	if slices.Contains(d.formerInstances, instance) {
		return
	}
	d.formerInstances = append(d.formerInstances, instance)
	d.formerInstances = d.formerInstances[max(0, len(d.formerInstances)-maxFormerInstances):]
}

// isNewHeartbeat reports whether a heartbeat of the present host instance is not outdated. A host that has signed off
// stays gone. A host that counted as gone because its heartbeats were missing returns with its next one.
func (d *discovery) isNewHeartbeat(h Heartbeat) bool {
	switch {
	case d.signedOff, h.Sequence < d.lastSequence:
		return false
	case d.own.Condition == Gone:
		return h.Sequence > d.lastSequence
	case d.own.Condition == Draining && !d.sidecar.shutdown.begun && !h.Draining:
		return h.Sequence > d.lastSequence
	}
	return true
}

// probeHost probes the host while no instance is known, or another one than the known one sends heartbeats. Where no
// instance is known, the next heartbeat may be a while away.
func (d *discovery) probeHost() {
	p, u := d.sidecar, &d.unconfirmed
	if u.newest.ID != "" && p.opts.HeartbeatInterval > 0 && p.now > u.heardAt+missedHeartbeats*p.opts.HeartbeatInterval {
		*u = unconfirmedHost{}
	}
	if d.own.Station != "" && u.newest.ID == "" || p.shutdown.begun || p.table == nil || p.now < d.nextProbeAt {
		return
	}
	service := p.table.Service(cmp.Or(u.newest.Service, p.opts.Service))
	if service == nil || service.HealthPath == "" {
		return
	}
	d.nextProbeAt = p.now + probeInterval
	p.output.Commands = append(p.output.Commands, Probe{service.HealthPath})
}

// ProbeDone handles the host's answer to a probe. The probe confirms an instance of which this process has not heard
// before, and it lets a process that has just started learn of its host without waiting for the next heartbeat.
func (p *Sidecar) ProbeDone(now float64, instance string, healthy bool) {
	p.beginInput(now)
	defer p.runPending()
	d := &p.discovery
	if instance == "" || !healthy || slices.Contains(d.formerInstances, instance) {
		return
	}
	switch u := d.unconfirmed; {
	case instance == u.newest.ID:
		d.applyHeartbeat(u.newest)
	case d.own.Station == "":
		d.heartbeatAt = p.pauses.runSeconds
		d.updateOwn(func(record *meshpb.Record) { record.Station, record.Condition = instance, Serving })
	case instance == d.own.Station: // the heartbeats of the other instance are late ones
		d.unconfirmed = unconfirmedHost{}
	}
}

// HostSignedOff handles the sign-off of a host. It binds also if this process has not heard of the instance before.
func (p *Sidecar) HostSignedOff(now float64, id string) {
	p.beginInput(now)
	d := &p.discovery
	if d.unconfirmed.newest.ID == id {
		d.unconfirmed = unconfirmedHost{}
	}
	if id == d.own.Station {
		d.signedOff = true
		d.updateOwn(func(record *meshpb.Record) { record.Condition = Gone })
	} else {
		d.rememberFormer(id)
	}
	p.runPending()
}
