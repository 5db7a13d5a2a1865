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
	pullAgain   = 1.3 // seconds without an answer until another control process is asked, where it may wait for something new
	pullAtOnce  = 0.2 // the same where it has to answer at once: its machine may have no power
	beatsMissed = 3.5 // beats after which a host that said nothing while this process ran is gone
	watched     = 3   // other proxies that this one knows and watches
	watchEvery  = 1.0 // seconds between questions to them, while no control process answers
	aloneAgain  = 0.05
	leaveAhead  = 0.5  // seconds before its end in which the others send a proxy nothing
	probeEvery  = 0.3  // seconds between questions to a host that has not said anything yet
	retryAfter  = 0.04 // seconds after a control process that could not be reached
)

// discovery is what this proxy knows: the host beside it, which it alone tells the others of; who else there is; and which
// configuration is in force. It pulls what it lacks by a vector of versions, one for each source.
type discovery struct {
	p        *Sidecar
	own      *meshpb.Record
	sequence uint64   // of the host's last beat
	former   []string // ids of the lives before the host's present one, the newest last
	beatRan  float64  // for how long this process had run then
	signed   bool     // the host has signed off
	leftAt   float64  // when it said that it leaves
	ending   bool
	leaveAt  float64 // when the others hear of that
	leaving  bool    // they have

	records map[string]*meshpb.Record
	gone    map[string]tombstone // by source
	silent  map[string]bool
	servers []string
	epoch   uint64            // of the view that named them
	server  int               // whom it pulls from
	pull    uint64            // the newest question to one
	pulls   []openPull        // the questions to them that are open, in order
	watch   map[string]uint64 // those to other proxies
	pullAt  float64
	held    bool    // it may be held until there is something
	missed  int     // control processes in a row that did not answer
	again   float64 // not before then
	heardAt float64 // of a control process
	told    bool    // one has answered in this life
	watchAt float64
	weighAt float64
	probeAt float64
	zones   []string
}

func (n *discovery) begin(p *Sidecar) {
	n.p = p
	n.own = &meshpb.Record{Source: p.o.Self, Version: p.o.RecordVersion, Carrier: p.o.Service, Zone: p.o.Zone}
	n.records = map[string]*meshpb.Record{p.o.Self: n.own}
	n.gone = map[string]tombstone{}
	n.watch = map[string]uint64{}
	n.silent = map[string]bool{}
	n.server = int(p.random() % 1024)
	n.heardAt = p.now
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
func (p *Sidecar) Heartbeat(now float64, s Heartbeat) {
	p.input(now)
	n := &p.discovery
	if slices.Contains(n.former, s.ID) || s.ID == n.own.Station && !n.counts(s) {
		return // a late one
	}
	n.replace(s.ID)
	n.beatRan, n.sequence, n.signed = p.pauses.ran, s.Sequence, false
	condition := Serving
	if s.Draining {
		condition = Draining
	}
	n.change(func(r *meshpb.Record) {
		r.Station, r.Carrier, r.Zone, r.Berths = s.ID, cmp.Or(s.Service, r.Carrier), cmp.Or(s.Zone, r.Zone), uint32(max(0, s.Slots))
		r.ColdMs, r.Condition = uint32(max(0, s.WarmUpLeftMs)), condition
	})
	p.settle()
}

// formerKept is how many former lives of the host are remembered: beats come seconds late, and a host does not start more often.
const formerKept = 8

// replace notes that the host's present life gives way to another: no late beat of it takes that one's place.
func (n *discovery) replace(life string) {
	if before := n.own.Station; before != "" && before != life {
		n.former = append(n.former, before)
		n.former = n.former[max(0, len(n.former)-formerKept):]
	}
}

// counts says whether a further beat of the host here is no late one. A host that has signed off stays gone. One that was taken
// for gone because its beats were missing is back with its next one.
func (n *discovery) counts(s Heartbeat) bool {
	switch {
	case n.signed, s.Sequence < n.sequence:
		return false
	case n.own.Condition == Gone:
		return s.Sequence > n.sequence
	case n.own.Condition == Draining && !n.ending && !s.Draining:
		return s.Sequence > n.sequence
	}
	return true
}

// Probed takes what the host beside this proxy answered: a proxy that has just started need not wait for its next beat.
func (p *Sidecar) ProbeDone(now float64, station string, well bool) {
	p.input(now)
	if n := &p.discovery; station != "" && well && n.own.Station == "" {
		n.beatRan = p.pauses.ran
		n.change(func(r *meshpb.Record) { r.Station, r.Condition = station, Serving })
	}
	p.settle()
}

// Leave takes a host's sign-off.
func (p *Sidecar) HostSignedOff(now float64, id string) {
	p.input(now)
	if n := &p.discovery; id == n.own.Station {
		n.signed = true
		n.change(func(r *meshpb.Record) { r.Condition = Gone })
	}
	p.settle()
}

// next is the record of the host here under another version, for others may have this one.
func (n *discovery) next(version uint64) *meshpb.Record {
	r := proto.Clone(n.own).(*meshpb.Record)
	r.Version, r.Leaving = version, n.leaving
	return r
}

// change makes a new record of the host here, if anything changed that others have to know.
func (n *discovery) change(f func(*meshpb.Record)) {
	old := n.own
	r := n.next(old.Version + 1)
	f(r)
	if r.Station == old.Station && r.Carrier == old.Carrier && r.Zone == old.Zone && r.Berths == old.Berths &&
		r.Condition == old.Condition && r.Leaving == old.Leaving {
		old.ColdMs = r.ColdMs
		return
	}
	if r.Condition != old.Condition {
		n.leftAt = n.p.now
	}
	n.p.o.Log("host", "station", r.Station, "carrier", r.Carrier, "condition", r.Condition, "leaving", r.Leaving)
	n.own = r
	n.records[r.Source] = r
	n.list()
	n.ask(false)
	n.p.admission.serve()
}

// zone numbers a zone, for the module.
func (n *discovery) zone(name string) int {
	at := slices.Index(n.zones, name)
	if at < 0 {
		n.zones = append(n.zones, name)
		at = len(n.zones) - 1
	}
	return at
}

func (n *discovery) sources() []string { return slices.Sorted(maps.Keys(n.records)) }

// list gives the module of each service its hosts anew.
func (n *discovery) list() {
	p := n.p
	by := map[string][]balancer.Host{}
	was := map[string]*place{}
	for _, s := range p.services {
		for _, at := range s.hosts {
			was[s.name+" "+at.source] = at
		}
		clear(s.hosts)
	}
	for _, source := range n.sources() {
		r := n.records[source]
		s := p.services[r.Carrier]
		if r.Station == "" || r.Condition == Gone || r.Condition == Unknown || n.silent[source] || s == nil {
			continue
		}
		h := balancer.Host{ID: hostID(r.Station), Zone: n.zone(r.Zone), Status: balancer.Ready}
		if r.Condition == Draining || r.Leaving {
			h.Status = balancer.Draining
		}
		at := was[r.Carrier+" "+source] // a new life on the same machine is taken for as fast as the last
		if at == nil || s.hosts[h.ID] != nil {
			at = &place{slow: 1}
		}
		at.source, at.station, at.told = source, r.Station, at.slow
		s.hosts[h.ID], h.Weight = at, p.witness.part(p.now, r.Station)/(at.slow*at.slow)
		h.Condemned = p.witness.condemned(p.now, r.Station)
		by[r.Carrier] = append(by[r.Carrier], h)
	}
	for _, name := range p.serviceNames() {
		p.services[name].bal.Members(p.now, balancer.ListFull, by[name])
	}
	p.budget.Share(len(n.records))
}

// services are the names of the services, in order: a seed replays.
func (p *Sidecar) serviceNames() []string { return slices.Sorted(maps.Keys(p.services)) }

// ---- pulling

// ask pulls from a control process what is lacking here. hold says that it may wait until there is something.
func (n *discovery) ask(hold bool) {
	servers := n.servers
	if len(servers) == 0 {
		servers = n.p.o.Seeds
	}
	n.pull, n.pullAt, n.held = n.p.id(), n.p.now, hold
	to := servers[n.server%len(servers)]
	n.open(openPull{n.pull, to})
	n.p.send(to, n.p.question(n.pull, &meshpb.Message{Pull: n.vector(hold)}))
}

// patience is how long the control process that was asked may say nothing.
func (n *discovery) patience() float64 {
	if n.held {
		return pullAgain
	}
	return min(pullAgain, pullAtOnce*float64(int(1)<<min(n.missed, 4))) // if all are slow, asking more often makes them slower
}

// vector is what this proxy has, by source.
func (n *discovery) vector(hold bool) *meshpb.Pull {
	pull := &meshpb.Pull{Own: n.own, Hold: hold}
	for _, source := range n.sources() {
		pull.Seen = append(pull.Seen, &meshpb.Seen{Source: source, Version: n.records[source].Version})
	}
	if n.p.table != nil {
		pull.Edition = n.p.table.Edition
	}
	pull.Assignments = n.p.shards.version()
	if n.p.o.AgreedEjection {
		w := &n.p.witness
		pull.Observations, pull.Accused, pull.EjectionLists = w.words(n.p.now), w.accused, w.version
	}
	return pull
}

// came takes what another process knows. A process never goes back: older versions change nothing.
func (n *discovery) came(from string, m *meshpb.Message) {
	p, w := n.p, m.Update
	asked, fromServer := n.asked(m.Id, from)
	if !p.accepts(from, m, asked) {
		return
	}
	n.close(m.Id, from)
	changed := false
	for _, r := range w.Records {
		if r.Source == p.o.Self {
			if n.isOlder(r) {
				n.own = n.next(r.Version + 1)
				n.records[p.o.Self] = n.own
				changed = true
			}
			continue
		}
		if n.take(r) {
			changed = true
		}
	}
	if fromServer {
		n.missed, n.heardAt = 0, p.now
		if servers := n.others(w.Servers); len(servers) > 0 && w.Epoch >= n.epoch {
			n.servers, n.epoch = servers, w.Epoch
		}
		n.told = true
		if !w.Alone && n.judged(w) {
			changed = true
		}
	}
	p.shards.learn(w.Assignments)
	if w.Edition > 0 && (p.table == nil || w.Edition > p.table.Edition) {
		if t, err := compile(w.Text); err != nil {
			p.o.Log("configuration not understood", "edition", w.Edition, "error", err)
		} else {
			p.adopt(t)
			p.o.Log("in force", "edition", t.Edition, "routes", len(t.Config.Itineraries))
			changed = false // adopt has listed
		}
	}
	if changed {
		n.list()
	}
	switch {
	case m.Id != n.pull:
	case w.Alone: // behind a cut from the others of its kind: what it knows may be old
		n.server++
		n.pull, n.again = 0, p.now+aloneAgain
	default:
		n.ask(true)
	}
}

// compile reads a configuration as it is sent.
func compile(text []byte) (*routeconfig.Table, error) {
	plain, err := packed.Unpack(text)
	if err != nil {
		return nil, err
	}
	return routeconfig.Compile(plain)
}

// others are the addresses that are not this proxy's: it asks itself nothing.
func (n *discovery) others(addresses []string) (all []string) {
	for _, address := range addresses {
		if address != n.p.o.Self {
			all = append(all, address)
		}
	}
	return all
}

// judged takes what a control server that is in contact says of proxies that are silent and of hosts that are out.
func (n *discovery) judged(w *meshpb.Update) (changed bool) {
	p := n.p
	silent := map[string]bool{}
	for _, source := range w.Silent {
		if source != p.o.Self {
			silent[source] = true
		}
	}
	changed = !maps.Equal(silent, n.silent)
	n.silent = silent
	return p.o.AgreedEjection && p.witness.ruled(p.now, w) || changed
}

// pulled tells another proxy what it lacks of what is known here: those that watch this one ask while no control process
// answers them.
func (n *discovery) pulled(from string, m *meshpb.Message) {
	p, pull := n.p, m.Pull
	if pull.Own != nil && n.take(pull.Own) {
		n.list()
	}
	w := &meshpb.Update{}
	has := make(map[string]uint64, len(pull.Seen))
	for _, s := range pull.Seen {
		has[s.Source] = s.Version
	}
	for _, source := range n.sources() {
		if r := n.records[source]; has[source] < r.Version {
			w.Records = append(w.Records, r)
		}
	}
	w.Records = append(w.Records, n.forgottenOf(has)...)
	if p.table != nil && p.table.Edition > pull.Edition {
		w.Edition, w.Text = p.table.Edition, packed.Pack(p.table.Text)
	}
	p.answer(from, m, &meshpb.Message{Update: w})
}

// broke goes on to the next control process.
func (n *discovery) broke(from string) {
	servers := n.servers
	if len(servers) == 0 {
		servers = n.p.o.Seeds
	}
	if servers[n.server%len(servers)] == from {
		n.server++
		n.pull, n.again = 0, n.p.now+retryAfter
	}
}

// Seeds takes over other seeds: the settings file has changed.
func (p *Sidecar) SetSeeds(now float64, seeds []string) {
	p.input(now)
	p.o.Seeds = seeds
	p.settle()
}

func (n *discovery) tick() {
	p := n.p
	n.dropTombstones()
	if n.ending && !n.leaving && p.now >= n.leaveAt { // the host cannot be reached for a while
		n.leaving = true
		n.change(func(*meshpb.Record) {})
	}
	if n.pull == 0 && p.now >= n.again {
		n.ask(false)
	} else if n.pull != 0 && p.now > n.pullAt+n.patience() {
		n.server++
		n.missed++
		n.ask(false)
	}
	if n.own.Station == "" && !n.ending && p.table != nil && p.now >= n.probeAt { // its next beat may be a while
		if s := p.table.Service(p.o.Service); s != nil && s.HealthPath != "" {
			n.probeAt = p.now + probeEvery
			p.out.Commands = append(p.out.Commands, Probe{s.HealthPath})
		}
	}
	if p.o.AgreedEjection && p.witness.tick(p.now) {
		n.list()
	}
	if p.now >= n.weighAt {
		n.weighAt = p.now + weighEvery
		for _, s := range p.services {
			if s.weigh() {
				n.list()
				break
			}
		}
	}
	if n.own.Condition == Serving && p.o.HeartbeatInterval > 0 && p.pauses.ran > n.beatRan+beatsMissed*p.o.HeartbeatInterval {
		n.change(func(r *meshpb.Record) { r.Condition = Gone })
	}
	if p.now > n.heardAt+watchEvery && p.now >= n.watchAt {
		n.watchAt = p.now + watchEvery
		for _, source := range n.neighbours() {
			n.watch[source] = p.id()
			p.send(source, p.question(n.watch[source], &meshpb.Message{Pull: n.vector(false)}))
		}
	}
}

// neighbours are the few other proxies that this one knows and watches.
func (n *discovery) neighbours() []string {
	return rendezvous.Watched(n.p.o.Self, n.sources(), watched)
}
