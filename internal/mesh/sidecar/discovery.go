package sidecar

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"

	"beechwing/internal/mesh/packed"
	"beechwing/internal/mesh/routeconfig"
)

// The conditions of a host, as records tell them.
const (
	Unknown  = meshpb.Unknown
	Serving  = meshpb.AtDock
	Draining = meshpb.Unloading
	Gone     = meshpb.Gone
)

const (
	longPollTimeout       = 1.3 // seconds without an answer until another control process is asked, where it may wait for something new
	minPullTimeout        = 0.2 // the same where it has to answer at once: its machine may have no power
	missedHeartbeats      = 3.5 // beats after which a host that said nothing while this process ran is gone
	watchedCount          = 3   // other proxies that this one knows and watches
	watchInterval         = 1.0 // seconds between questions to them, while no control process answers
	isolatedRetryDelay    = 0.05
	leaveNotice           = 0.5  // seconds before its end in which the others send a proxy nothing
	probeInterval         = 0.3  // seconds between questions to a host that has not said anything yet
	unreachableRetryDelay = 0.04 // seconds after a control process that could not be reached
)

// discovery is what this proxy knows: the host beside it, which it alone tells the others of; who else there is; and which
// configuration is in force. It pulls what it lacks by a vector of versions, one for each source.
type discovery struct {
	sidecar            *Sidecar
	own                *meshpb.Record
	lastSequence       uint64   // of the host's last beat
	formerInstances    []string // ids of the lives before the host's present one, the newest last
	heartbeatAt        float64  // for how long this process had run then
	signedOff          bool     // the host has signed off
	conditionChangedAt float64  // when it said that it leaves
	shuttingDown       bool
	announceLeavingAt  float64 // when the others hear of that
	announcedLeaving   bool    // they have

	records          map[string]*meshpb.Record
	tombstones       map[string]tombstone // by source
	silent           map[string]bool
	servers          []string
	serversEpoch     uint64            // of the view that named them
	serverIndex      int               // whom it pulls from
	newestPull       uint64            // the newest question to one
	outstandingPulls []outstandingPull // the questions to them that are open, in order
	watchPulls       map[string]uint64 // those to other proxies
	pulledAt         float64
	longPoll         bool    // it may be held until there is something
	missedPulls      int     // control processes in a row that did not answer
	pullNotBefore    float64 // not before then
	serverHeardAt    float64 // of a control process
	serverAnswered   bool    // one has answered in this life
	nextWatchAt      float64
	nextWeightsAt    float64
	nextProbeAt      float64
	zones            []string
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

// Station is what a host says of itself in a beat.
type Heartbeat struct {
	ID, Service, Address, Zone string
	Slots                      int
	Draining                   bool
	WarmUpLeftMs               int
	Sequence                   uint64
}

// Beat takes a host's word. From here on nothing new goes to one that leaves: it may be acknowledged. A late beat is too.
func (p *Sidecar) Heartbeat(now float64, h Heartbeat) {
	p.beginInput(now)
	d := &p.discovery
	if slices.Contains(d.formerInstances, h.ID) || h.ID == d.own.Station && !d.isNewHeartbeat(h) {
		return // a late one
	}
	d.replaceInstance(h.ID)
	d.heartbeatAt, d.lastSequence, d.signedOff = p.pauses.runSeconds, h.Sequence, false
	condition := Serving
	if h.Draining {
		condition = Draining
	}
	d.updateOwn(func(record *meshpb.Record) {
		record.Station, record.Carrier, record.Zone, record.Berths = h.ID, cmp.Or(h.Service, record.Carrier), cmp.Or(h.Zone, record.Zone), uint32(max(0, h.Slots))
		record.ColdMs, record.Condition = uint32(max(0, h.WarmUpLeftMs)), condition
	})
	p.runPending()
}

// formerKept is how many former lives of the host are remembered: beats come seconds late, and a host does not start more often.
const maxFormerInstances = 8

// replace notes that the host's present life gives way to another: no late beat of it takes that one's place.
func (d *discovery) replaceInstance(instance string) {
	if before := d.own.Station; before != "" && before != instance {
		d.formerInstances = append(d.formerInstances, before)
		d.formerInstances = d.formerInstances[max(0, len(d.formerInstances)-maxFormerInstances):]
	}
}

// counts says whether a further beat of the host here is no late one. A host that has signed off stays gone. One that was taken
// for gone because its beats were missing is back with its next one.
func (d *discovery) isNewHeartbeat(h Heartbeat) bool {
	switch {
	case d.signedOff, h.Sequence < d.lastSequence:
		return false
	case d.own.Condition == Gone:
		return h.Sequence > d.lastSequence
	case d.own.Condition == Draining && !d.shuttingDown && !h.Draining:
		return h.Sequence > d.lastSequence
	}
	return true
}

// Probed takes what the host beside this proxy answered: a proxy that has just started need not wait for its next beat.
func (p *Sidecar) ProbeDone(now float64, instance string, well bool) {
	p.beginInput(now)
	if d := &p.discovery; instance != "" && well && d.own.Station == "" {
		d.heartbeatAt = p.pauses.runSeconds
		d.updateOwn(func(record *meshpb.Record) { record.Station, record.Condition = instance, Serving })
	}
	p.runPending()
}

// Leave takes a host's sign-off.
func (p *Sidecar) HostSignedOff(now float64, id string) {
	p.beginInput(now)
	if d := &p.discovery; id == d.own.Station {
		d.signedOff = true
		d.updateOwn(func(record *meshpb.Record) { record.Condition = Gone })
	}
	p.runPending()
}

// next is the record of the host here under another version, for others may have this one.
func (d *discovery) nextRecord(version uint64) *meshpb.Record {
	record := proto.Clone(d.own).(*meshpb.Record)
	record.Version, record.Leaving = version, d.announcedLeaving
	return record
}

// change makes a new record of the host here, if anything changed that others have to know.
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
	d.sidecar.opts.Log("host", "station", record.Station, "carrier", record.Carrier, "condition", record.Condition, "leaving", record.Leaving)
	d.own = record
	d.records[record.Source] = record
	d.updateBalancers()
	d.sendPull(false)
	d.sidecar.admission.fillSlots()
}

// zone numbers a zone, for the module.
func (d *discovery) zoneIndex(name string) int {
	at := slices.Index(d.zones, name)
	if at < 0 {
		d.zones = append(d.zones, name)
		at = len(d.zones) - 1
	}
	return at
}

func (d *discovery) proxies() []string { return slices.Sorted(maps.Keys(d.records)) }

// list gives the module of each service its hosts anew.
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
		ep := previous[record.Carrier+" "+proxy] // a new life on the same machine is taken for as fast as the last
		if ep == nil || s.hosts[h.ID] != nil {
			ep = &endpoint{slowness: 1}
		}
		ep.proxy, ep.instance, ep.reportedSlowness = proxy, record.Station, ep.slowness
		s.hosts[h.ID], h.Weight = ep, p.ejections.weightShare(p.now, record.Station)/(ep.slowness*ep.slowness)
		h.Condemned = p.ejections.ejected(p.now, record.Station)
		hosts[record.Carrier] = append(hosts[record.Carrier], h)
	}
	for _, name := range p.serviceNames() {
		p.services[name].balancer.Members(p.now, balancer.ListFull, hosts[name])
	}
	p.retryBudget.Share(len(d.records))
}

// services are the names of the services, in order: a seed replays.
func (p *Sidecar) serviceNames() []string { return slices.Sorted(maps.Keys(p.services)) }

// ---- pulling

// ask pulls from a control process what is lacking here. hold says that it may wait until there is something.
func (d *discovery) sendPull(hold bool) {
	servers := d.servers
	if len(servers) == 0 {
		servers = d.sidecar.opts.Seeds
	}
	d.newestPull, d.pulledAt, d.longPoll = d.sidecar.nextID(), d.sidecar.now, hold
	to := servers[d.serverIndex%len(servers)]
	d.addPull(outstandingPull{d.newestPull, to})
	d.sidecar.send(to, d.sidecar.newRPC(d.newestPull, &meshpb.Message{Pull: d.newPull(hold)}))
}

// patience is how long the control process that was asked may say nothing.
func (d *discovery) pullTimeout() float64 {
	if d.longPoll {
		return longPollTimeout
	}
	return min(longPollTimeout, minPullTimeout*float64(int(1)<<min(d.missedPulls, 4))) // if all are slow, asking more often makes them slower
}

// vector is what this proxy has, by source.
func (d *discovery) newPull(hold bool) *meshpb.Pull {
	pull := &meshpb.Pull{Own: d.own, Hold: hold}
	for _, proxy := range d.proxies() {
		pull.Seen = append(pull.Seen, &meshpb.Seen{Source: proxy, Version: d.records[proxy].Version})
	}
	if d.sidecar.table != nil {
		pull.Edition = d.sidecar.table.Edition
	}
	pull.Assignments = d.sidecar.shards.version()
	if d.sidecar.opts.AgreedEjection {
		e := &d.sidecar.ejections
		pull.Observations, pull.Accused, pull.EjectionLists = e.observations(d.sidecar.now), e.suspects, e.version
	}
	return pull
}

// came takes what another process knows. A process never goes back: older versions change nothing.
func (d *discovery) receiveUpdate(from string, m *meshpb.Message) {
	p, update := d.sidecar, m.Update
	asked, fromServer := d.pullTarget(m.Id, from)
	if !p.acceptsResponse(from, m, asked) {
		return
	}
	d.finishPull(m.Id, from)
	changed := false
	for _, record := range update.Records {
		if record.Source == p.opts.Self {
			if d.supersedesOwn(record) {
				d.own = d.nextRecord(record.Version + 1)
				d.records[p.opts.Self] = d.own
				changed = true
			}
			continue
		}
		if d.applyRecord(record) {
			changed = true
		}
	}
	if fromServer {
		d.missedPulls, d.serverHeardAt = 0, p.now
		if servers := d.withoutSelf(update.Servers); len(servers) > 0 && update.Epoch >= d.serversEpoch {
			d.servers, d.serversEpoch = servers, update.Epoch
		}
		d.serverAnswered = true
		if !update.Alone && d.applyVerdicts(update) {
			changed = true
		}
	}
	p.shards.learn(update.Assignments)
	if update.Edition > 0 && (p.table == nil || update.Edition > p.table.Edition) {
		if table, err := decodeConfig(update.Text); err != nil {
			p.opts.Log("configuration not understood", "edition", update.Edition, "error", err)
		} else {
			p.applyConfig(table)
			p.opts.Log("in force", "edition", table.Edition, "routes", len(table.Config.Itineraries))
			changed = false // adopt has listed
		}
	}
	if changed {
		d.updateBalancers()
	}
	switch {
	case m.Id != d.newestPull:
	case update.Alone: // behind a cut from the others of its kind: what it knows may be old
		d.serverIndex++
		d.newestPull, d.pullNotBefore = 0, p.now+isolatedRetryDelay
	default:
		d.sendPull(true)
	}
}

// compile reads a configuration as it is sent.
func decodeConfig(text []byte) (*routeconfig.Table, error) {
	plain, err := packed.Unpack(text)
	if err != nil {
		return nil, err
	}
	return routeconfig.Compile(plain)
}

// others are the addresses that are not this proxy's: it asks itself nothing.
func (d *discovery) withoutSelf(addresses []string) (all []string) {
	for _, address := range addresses {
		if address != d.sidecar.opts.Self {
			all = append(all, address)
		}
	}
	return all
}

// judged takes what a control server that is in contact says of proxies that are silent and of hosts that are out.
func (d *discovery) applyVerdicts(update *meshpb.Update) (changed bool) {
	p := d.sidecar
	silent := map[string]bool{}
	for _, proxy := range update.Silent {
		if proxy != p.opts.Self {
			silent[proxy] = true
		}
	}
	changed = !maps.Equal(silent, d.silent)
	d.silent = silent
	return p.opts.AgreedEjection && p.ejections.applyLists(p.now, update) || changed
}

// pulled tells another proxy what it lacks of what is known here: those that watch this one ask while no control process
// answers them.
func (d *discovery) receivePull(from string, m *meshpb.Message) {
	p, pull := d.sidecar, m.Pull
	if pull.Own != nil && d.applyRecord(pull.Own) {
		d.updateBalancers()
	}
	update := &meshpb.Update{}
	has := make(map[string]uint64, len(pull.Seen))
	for _, s := range pull.Seen {
		has[s.Source] = s.Version
	}
	for _, proxy := range d.proxies() {
		if record := d.records[proxy]; has[proxy] < record.Version {
			update.Records = append(update.Records, record)
		}
	}
	update.Records = append(update.Records, d.tombstonesFor(has)...)
	if p.table != nil && p.table.Edition > pull.Edition {
		update.Edition, update.Text = p.table.Edition, packed.Pack(p.table.Text)
	}
	p.respond(from, m, &meshpb.Message{Update: update})
}

// broke goes on to the next control process.
func (d *discovery) connectionLost(from string) {
	servers := d.servers
	if len(servers) == 0 {
		servers = d.sidecar.opts.Seeds
	}
	if servers[d.serverIndex%len(servers)] == from {
		d.serverIndex++
		d.newestPull, d.pullNotBefore = 0, d.sidecar.now+unreachableRetryDelay
	}
}

// Seeds takes over other seeds: the settings file has changed.
func (p *Sidecar) SetSeeds(now float64, seeds []string) {
	p.beginInput(now)
	p.opts.Seeds = seeds
	p.runPending()
}

func (d *discovery) tick() {
	p := d.sidecar
	d.expireTombstones()
	if d.shuttingDown && !d.announcedLeaving && p.now >= d.announceLeavingAt { // the host cannot be reached for a while
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
	if d.own.Station == "" && !d.shuttingDown && p.table != nil && p.now >= d.nextProbeAt { // its next beat may be a while
		if s := p.table.Service(p.opts.Service); s != nil && s.HealthPath != "" {
			d.nextProbeAt = p.now + probeInterval
			p.output.Commands = append(p.output.Commands, Probe{s.HealthPath})
		}
	}
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
	if d.own.Condition == Serving && p.opts.HeartbeatInterval > 0 && p.pauses.runSeconds > d.heartbeatAt+missedHeartbeats*p.opts.HeartbeatInterval {
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

// neighbours are the few other proxies that this one knows and watches.
func (d *discovery) watchedProxies() []string {
	return rendezvous.Watched(d.sidecar.opts.Self, d.proxies(), watchedCount)
}
