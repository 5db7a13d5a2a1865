package sidecar

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"
)

// The conditions of a host in records. The operators' API calls a serving host at_dock and a draining one unloading.
const (
	Unknown  = meshpb.Unknown
	Serving  = meshpb.Serving
	Draining = meshpb.Draining
	Gone     = meshpb.Gone
)

const (
	longPollTimeout       = 1.3  // seconds without an answer to a long poll until another control server is asked
	minPullTimeout        = 0.2  // the same for a pull that is answered at once; short, as the server's machine may be down
	missedHeartbeats      = 3.5  // intervals without a heartbeat, while this process ran, until the host counts as gone
	watchedCount          = 3    // number of other proxies that this one watches
	watchInterval         = 1.0  // seconds between two pulls from them, while no control server answers
	isolatedRetryDelay    = 0.05 // seconds until the next pull after an answer of a control server without contact to the others
	leaveNotice           = 0.5  // seconds before the end of the shutdown notice in which other proxies send nothing here any more
	unreachableRetryDelay = 0.04 // seconds until the next pull after the connection to a control server was lost
	// unreadableRetryDelay is the time in seconds until the next pull after a configuration that cannot be read. The server answers
	// that pull at once, with the same configuration, until there is a newer one.
	unreadableRetryDelay = 0.25
)

// discovery holds the host beside this sidecar, whose record only this sidecar publishes, the records of all other
// hosts, and the configuration in force. It pulls what it lacks from control servers by a version vector with one
// version for each proxy.
type discovery struct {
	sidecar            *Sidecar
	own                *meshpb.Record // of the host here
	lastSequence       uint64         // of the host's last heartbeat
	formerInstances    []string       // IDs of earlier host instances, the latest last
	unconfirmed        unconfirmedHost
	heartbeatAt        float64 // of the last heartbeat, in seconds that this process has run
	signedOff          bool    // the host has signed off
	conditionChangedAt float64
	announceLeavingAt  float64 // when other processes are told of the shutdown
	announcedLeaving   bool    // they have been told

	records          map[string]*meshpb.Record
	tombstones       map[string]tombstone // by proxy
	silent           map[string]bool
	servers          []string
	serversEpoch     uint64            // of the membership view that named the control servers
	serverIndex      int               // of the server to pull from
	newestPull       uint64            // ID of the newest pull from a control server
	outstandingPulls []outstandingPull // from control servers, in the order sent
	watchPulls       map[string]uint64 // IDs of the pulls from other proxies
	pulledAt         float64
	longPoll         bool    // the server may delay the answer to the newest pull until there is news
	missedPulls      int     // control servers in a row that did not answer
	pullNotBefore    float64 // no new pull begins before this time
	serverHeardAt    float64 // when a control server last answered
	serverAnswered   bool    // a control server has answered since this process started
	nextWatchAt      float64
	nextWeightsAt    float64
	nextProbeAt      float64
	zones            []string
	unreadableConfig uint64 // version of the last configuration that could not be read; 0: none
}

func (d *discovery) init(p *Sidecar) {
	d.sidecar = p
	d.own = &meshpb.Record{Source: p.opts.Self, Version: p.opts.RecordVersion, Carrier: p.opts.Service, Zone: p.opts.Zone}
	d.records = map[string]*meshpb.Record{p.opts.Self: d.own}
	d.tombstones = map[string]tombstone{}
	d.watchPulls = map[string]uint64{}
	d.silent = map[string]bool{}
	d.serverIndex = int(p.random() % 1024)
	d.serverHeardAt = p.now
}

// nextRecord returns a copy of the record of the host here under another version. The present version cannot be
// used again, as other processes may hold the present record.
func (d *discovery) nextRecord(version uint64) *meshpb.Record {
	record := proto.Clone(d.own).(*meshpb.Record)
	record.Version, record.Leaving = version, d.announcedLeaving
	return record
}

// updateOwn makes a new record of the host here if anything changes that other processes need to know.
func (d *discovery) updateOwn(f func(*meshpb.Record)) {
	old := d.own
	record := d.nextRecord(old.Version + 1)
	f(record)
	if record.Station == old.Station && record.Carrier == old.Carrier && record.Zone == old.Zone && record.Berths == old.Berths &&
		record.Condition == old.Condition && record.Leaving == old.Leaving {
		old.ColdMs = record.ColdMs
		return
	}
	if record.Condition != old.Condition {
		d.conditionChangedAt = d.sidecar.now
	}
	d.sidecar.opts.Log("host", "station", record.Station, "carrier", record.Carrier, "condition", record.Condition,
		"leaving", record.Leaving)
	d.own = record
	d.records[record.Source] = record
	d.updateBalancers()
	d.sendPull(false)
	d.sidecar.admission.fillSlots()
}

// zoneIndex returns the balancer's number of a zone.
func (d *discovery) zoneIndex(name string) int {
	at := slices.Index(d.zones, name)
	if at < 0 {
		d.zones = append(d.zones, name)
		at = len(d.zones) - 1
	}
	return at
}

func (d *discovery) proxies() []string { return slices.Sorted(maps.Keys(d.records)) }

// updateBalancers gives the balancer of each service its present hosts.
func (d *discovery) updateBalancers() {
	p := d.sidecar
	hosts := map[string][]balancer.Host{}
	previous := map[string]*endpoint{}
	for _, s := range p.services {
		for _, ep := range s.hosts {
			previous[s.name+" "+ep.proxy] = ep
		}
		clear(s.hosts)
	}
	for _, proxy := range d.proxies() {
		record := d.records[proxy]
		s := p.services[record.Carrier]
		if record.Station == "" || record.Condition == Gone || record.Condition == Unknown || d.silent[proxy] || s == nil {
			continue
		}
		h := balancer.Host{ID: hostID(record.Station), Zone: d.zoneIndex(record.Zone), Status: balancer.Ready}
		if record.Condition == Draining || record.Leaving {
			h.Status = balancer.Draining
		}
		ep := previous[record.Carrier+" "+proxy] // a new instance on the same machine starts with the slowness of the former one
		if ep == nil || s.hosts[h.ID] != nil {
			ep = &endpoint{slowness: 1}
		}
		ep.proxy, ep.instance, ep.reportedSlowness = proxy, record.Station, ep.slowness
		s.hosts[h.ID], h.Weight = ep, p.ejections.weightShare(p.now, record.Station)/(ep.slowness*ep.slowness)
		h.AgreedEjected = p.ejections.ejected(p.now, record.Station)
		hosts[record.Carrier] = append(hosts[record.Carrier], h)
	}
	for _, name := range p.serviceNames() {
		p.services[name].balancer.UpdateHosts(p.now, balancer.ListFull, hosts[name])
	}
	p.retryBudget.SetProxies(len(d.records))
}

// serviceNames returns the names of the services in order, so that a run can be replayed from its seed.
func (p *Sidecar) serviceNames() []string { return slices.Sorted(maps.Keys(p.services)) }

// SetSeeds replaces the seeds after a change of the settings file.
func (p *Sidecar) SetSeeds(now float64, seeds []string) {
	p.beginInput(now)
	p.opts.Seeds = seeds
	p.runPending()
}

func (d *discovery) tick() {
	p := d.sidecar
	d.expireTombstones()
	if p.shutdown.begun && !d.announcedLeaving && p.now >= d.announceLeavingAt { // the host will be out of reach for a while
		d.announcedLeaving = true
		d.updateOwn(func(*meshpb.Record) {})
	}
	if d.newestPull == 0 && p.now >= d.pullNotBefore {
		d.sendPull(false)
	} else if d.newestPull != 0 && p.now > d.pulledAt+d.pullTimeout() {
		d.serverIndex++
		d.missedPulls++
		d.sendPull(false)
	}
	d.probeHost()
	if p.opts.AgreedEjection && p.ejections.tick(p.now) {
		d.updateBalancers()
	}
	if p.now >= d.nextWeightsAt {
		d.nextWeightsAt = p.now + weightInterval
		for _, s := range p.services {
			if s.weightsChanged() {
				d.updateBalancers()
				break
			}
		}
	}
	if d.own.Condition == Serving && p.opts.HeartbeatInterval > 0 &&
		p.pauses.runSeconds > d.heartbeatAt+missedHeartbeats*p.opts.HeartbeatInterval {
		d.updateOwn(func(record *meshpb.Record) { record.Condition = Gone })
	}
	if p.now > d.serverHeardAt+watchInterval && p.now >= d.nextWatchAt {
		d.nextWatchAt = p.now + watchInterval
		for _, proxy := range d.watchedProxies() {
			d.watchPulls[proxy] = p.nextID()
			p.send(proxy, p.newRPC(d.watchPulls[proxy], &meshpb.Message{Pull: d.newPull(false)}))
		}
	}
}

// watchedProxies returns the few other proxies that this one watches.
func (d *discovery) watchedProxies() []string {
	return rendezvous.Watched(d.sidecar.opts.Self, d.proxies(), watchedCount)
}
