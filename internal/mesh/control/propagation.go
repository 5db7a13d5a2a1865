package control

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// Proxies pull the records that they lack, according to a version vector with one entry for each source. Control servers send
// each other changes at once, in the digests that also serve as heartbeats, and send all records to each other every few seconds.

const (
	digestIntervalNoContact = 0.06 // seconds between digests while no quorum is reachable
	digestInterval          = 0.25 // seconds between digests otherwise, unless a change makes one due at once
	fullSyncInterval        = 3.0  // seconds within which each other member is sent a full digest
	fullResendAfter         = 0.5  // seconds before another full digest is sent to a member that asks: the last may be on its way
	silentAfter             = 7.0  // seconds without word of a proxy, on any server, after which its host gets no requests
	pullHoldTimeout         = 0.7  // seconds after which a pull is answered even if the proxy lacks nothing
	informTimeout           = 0.6  // seconds in contact after which a new server answers pulls with the records it has
	maxHeldPulls            = 4096 // pulls that wait for a change
	maxSources              = 8192 // sources that are tracked
)

// heldPull is a pull that waits for a change.
type heldPull struct {
	from  string
	id    uint64
	life  uint64
	pull  *meshpb.Pull
	until float64 // when the pull is answered at the latest
}

type propagation struct {
	records        map[string]*meshpb.Record // by source; includes tombstones
	lastHeard      map[string]float64        // by source: when any server last heard of it
	heardDirectly  map[string]bool           // sources heard by this server since its last digest
	heldPulls      []heldPull
	changed        bool             // something changed since the held pulls were last checked
	newRecords     []*meshpb.Record // since the last digest
	nextDigestAt   float64
	nextFullSyncAt float64
	fullSyncTurn   int
	wantFull       bool    // this server asks the others for a full digest
	informed       bool    // a full digest has arrived, or informTimeout has passed
	contactSince   float64 // when a quorum was first reachable
	tombstones     tombstones
}

func (p *propagation) init() {
	p.records, p.lastHeard, p.heardDirectly = map[string]*meshpb.Record{}, map[string]float64{}, map[string]bool{}
	p.tombstones.init()
	p.wantFull = true
}

// learnRecord takes a record if it is newer than the known one of its source. forward makes this server pass the record on in its
// next digest and answer held pulls at once.
func (s *Server) learnRecord(now float64, r *meshpb.Record, forward bool) {
	p := &s.propagation
	old := p.records[r.Source]
	if !r.Supersedes(old) || r.Expired() || old == nil && len(p.records) >= maxSources {
		return
	}
	p.records[r.Source], p.changed = r, true
	s.trackSource(now, r)
	if !forward { // the record came in another server's digest: handleDigest answers pulls after the whole digest
		return
	}
	p.newRecords = append(p.newRecords, r)
	p.nextDigestAt = 0
	s.answerHeldPulls(now)
}

func (s *Server) handlePull(now float64, from string, m *meshpb.Message) {
	p, pull := &s.propagation, m.Pull
	s.counts.Pulls++
	if own := pull.Own; own != nil {
		p.lastHeard[own.Source], p.heardDirectly[own.Source] = now, true
		s.learnRecord(now, own, true)
		s.recordObservations(now, own.Source, pull.Observations, true)
	}
	s.recordSeenVersions(now, pull.Seen)
	held := heldPull{from, m.Id, m.Life, pull, now + pullHoldTimeout}
	if !s.answerPull(now, held, !pull.Hold || s.mayBeStale(now)) && len(p.heldPulls) < maxHeldPulls {
		p.heldPulls = append(p.heldPulls, held)
	}
}

// mayBeStale reports whether the data of this server may be out of date, so that proxies should ask another server.
func (s *Server) mayBeStale(now float64) bool {
	c := &s.configuration
	return !s.Voting() || !s.inContact(now) || !c.confirmed || c.chosenVersion() < c.newestKnown || !s.propagation.informed
}

// answerPull sends a proxy what it lacks, and reports whether it has answered. If the proxy lacks nothing, it is answered only
// with force. A server whose data may be stale sends the list of servers only.
func (s *Server) answerPull(now float64, held heldPull, force bool) bool {
	update := &meshpb.Update{Servers: s.view().RetainedAddresses(), FromServer: true, Epoch: s.view().Epoch}
	if update.Alone = s.mayBeStale(now); !update.Alone {
		s.fillUpdate(now, update, held.pull)
		nothing := len(update.Records) == 0 && update.Edition == 0 && update.EjectionsVersion == 0 &&
			len(update.Assignments) == 0
		if nothing && !force && !s.hasUnaskedAccused(held.pull) {
			return false
		}
	} else if !force {
		return false
	}
	s.send(held.from, &meshpb.Message{Id: held.id, Life: held.life, Update: update})
	return true
}

func (s *Server) fillUpdate(now float64, update *meshpb.Update, pull *meshpb.Pull) {
	has := make(map[string]uint64, len(pull.Seen))
	for _, seen := range pull.Seen {
		has[seen.Source] = seen.Version
	}
	for source, r := range s.propagation.records {
		if v, known := has[source]; known && v < r.Version || !known && !r.IsTombstone() {
			update.Records = append(update.Records, s.aged(now, r))
		}
	}
	slices.SortFunc(update.Records, func(a, b *meshpb.Record) int { return cmp.Compare(a.Source, b.Source) })
	if version := s.ejections.version(); version > pull.EjectionLists {
		update.EjectionLists, update.EjectionsVersion = s.wireEjections(now), version
	}
	if s.assignments.version() > pull.Assignments {
		update.Assignments = s.assignments.changedSince(0)
	}
	if chosen := s.configuration.chosen; chosen.GetVersion() > pull.Edition {
		update.Edition, update.Text = chosen.Version, chosen.Text
	}
	update.Accused = s.ejections.accused
	update.Silent = s.silentSources(now)
}

// silentSources returns the proxies that no server has heard of for silentAfter, in order.
func (s *Server) silentSources(now float64) (sources []string) {
	for source, at := range s.propagation.lastHeard {
		if now > at+silentAfter {
			sources = append(sources, source)
		}
	}
	slices.Sort(sources)
	return sources
}

// hasUnaskedAccused reports whether the proxy has yet to be asked for its observations of an accused host.
func (s *Server) hasUnaskedAccused(pull *meshpb.Pull) bool {
	return slices.ContainsFunc(s.ejections.accused, func(host string) bool {
		return !slices.Contains(pull.Accused, host)
	})
}

// answerHeldPulls answers the held pulls whose time is up or whose proxy lacks something by now, and all of them if the data here
// may be stale.
func (s *Server) answerHeldPulls(now float64) {
	p := &s.propagation
	changed, stale := p.changed, s.mayBeStale(now)
	p.changed = false
	p.heldPulls = slices.DeleteFunc(p.heldPulls, func(held heldPull) bool {
		force := now > held.until || stale
		return (force || changed) && s.answerPull(now, held, force)
	})
}

func (s *Server) handleDigest(now float64, from view.Member, d *meshpb.Digest) {
	p := &s.propagation
	if known := s.contact.peers[from.Address]; known != nil && now > known.heardAt+contactTimeout {
		p.nextDigestAt = 0 // a new or returning member: it is sent a digest at once
	}
	if !s.recordDigest(now, from, d) {
		return
	}
	for _, source := range d.Heard {
		if p.records[source] != nil {
			p.lastHeard[source] = now
		}
	}
	s.recordSilentSources(now, d)
	for _, r := range d.Records {
		s.learnRecord(now, r, false)
	}
	for _, r := range d.Reports {
		s.recordObservations(now, r.Witness, r.Observations, false)
	}
	s.handleEjections(now, d.EjectionLists)
	s.handleAssignments(now, d.Assignments)
	if d.Whole {
		p.wantFull, p.informed = false, true
	}
	if d.WantWhole {
		s.answerFullRequest(now, from.Address)
	}
	s.handleConfigState(now, from, d.Config)
	s.answerHeldPulls(now)
}

// answerFullRequest sends a full digest to a member that has no records yet. Such a member asks in each of its digests until a
// full digest arrives or informTimeout has passed.
func (s *Server) answerFullRequest(now float64, to string) {
	known := s.contact.peers[to]
	if known == nil || len(s.propagation.records) == 0 || known.fullSentAt > 0 && now < known.fullSentAt+fullResendAfter {
		return
	}
	known.fullSentAt = now
	s.sendFull(now, to)
}

// tickPropagation sends digests to the other members and tombstones sources that have gone.
func (s *Server) tickPropagation(now float64) {
	p := &s.propagation
	s.updateInformed(now)
	s.answerHeldPulls(now)
	if !s.isMember() || now < p.nextDigestAt {
		return
	}
	p.nextDigestAt = now + digestInterval
	if !s.inContact(now) {
		p.nextDigestAt = now + digestIntervalNoContact
	}
	d := s.newDigest(now)
	d.WantWhole = p.wantFull
	d.Records, d.Reports, d.EjectionLists = p.newRecords, s.ejections.newReports, s.wireEjections(now)
	d.Assignments = s.assignments.changedSince(now - recentChangeSeconds)
	p.newRecords, s.ejections.newReports = nil, nil
	d.Heard = sorted(p.heardDirectly)
	clear(p.heardDirectly)
	s.sendOthers(&meshpb.Message{Digest: d})
	s.sendFullToNext(now)
	s.tickTombstones(now)
}

// updateInformed decides when a newly started server, which may lack records, starts to answer pulls.
func (s *Server) updateInformed(now float64) {
	p := &s.propagation
	if p.informed || !s.inContact(now) {
		return
	}
	if p.contactSince == 0 {
		p.contactSince = now
	}
	if now > p.contactSince+informTimeout {
		p.wantFull, p.informed = false, true
	}
}

// newDigest returns a digest with the fields that every digest has.
func (s *Server) newDigest(now float64) *meshpb.Digest {
	return &meshpb.Digest{Sequence: s.nextDigestSequence(now), Life: s.options.Life, Echoes: s.echoes(), Config: s.configState(),
		Leaving: s.membership.leaving}
}

// sendFullToNext sends a full digest to one of the other members in turn.
func (s *Server) sendFullToNext(now float64) {
	p := &s.propagation
	others := slices.DeleteFunc(slices.Clone(s.view().Addresses()), func(a string) bool { return a == s.options.Self })
	if now < p.nextFullSyncAt || len(others) == 0 {
		return
	}
	p.nextFullSyncAt = now + fullSyncInterval/float64(len(others))
	p.fullSyncTurn++
	if len(p.records) > 0 {
		s.sendFull(now, others[p.fullSyncTurn%len(others)])
	}
}

func (s *Server) sendFull(now float64, to string) {
	d := s.newDigest(now)
	d.Whole, d.Silent, d.Assignments = true, s.silentSources(now), s.assignments.changedSince(0)
	for _, source := range sorted(s.propagation.records) {
		d.Records = append(d.Records, s.aged(now, s.propagation.records[source]))
	}
	s.send(to, &meshpb.Message{Digest: d})
}
