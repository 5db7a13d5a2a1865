package control

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// Proxies pull what they lack by a vector of versions, one for each source. Servers tell each other at once what is new, in digests
// that are their heartbeats too, and compare everything they know every few seconds.

const (
	digestIntervalNoContact = 0.06 // seconds between digests while no quorum is in reach
	digestInterval          = 0.25 // and at least else
	fullSyncInterval        = 3.0  // seconds between comparisons of everything with all other members
	fullResendAfter         = 0.5  // seconds until everything is sent again to one that asks for it: what was sent may be on its way
	silentAfter             = 7.0  // seconds after which a proxy that nobody has heard of takes no requests
	pullHoldTimeout         = 0.7  // seconds after which a pull that lacks nothing is answered at the latest
	informTimeout           = 0.6  // seconds in contact after which a server that just came tells what it knows, whatever that is
	maxHeldPulls            = 4096 // pulls
	maxSources              = 8192
)

// heldPull is a pull that waits for something new.
type heldPull struct {
	from  string
	id    uint64
	life  uint64
	pull  *meshpb.Pull
	until float64
}

type propagation struct {
	records        map[string]*meshpb.Record // tombstones too
	lastHeard      map[string]float64        // when a source was last heard of, by anybody
	heardDirectly  map[string]bool           // heard here since the last digest
	heldPulls      []heldPull
	changed        bool             // something has come since the pulls were looked through
	newRecords     []*meshpb.Record // since the last digest
	nextDigestAt   float64
	nextFullSyncAt float64
	fullSyncTurn   int
	wantFull       bool    // another server's records are asked for
	informed       bool    // they have come, or nobody had any
	contactSince   float64 // when a quorum was first in reach
	tombstones     tombstones
}

func (p *propagation) init() {
	p.records, p.lastHeard, p.heardDirectly = map[string]*meshpb.Record{}, map[string]float64{}, map[string]bool{}
	p.tombstones.init()
	p.wantFull = true
}

// learn takes a record if it is newer than what is known of its source.
func (s *Server) learnRecord(now float64, r *meshpb.Record, tell bool) {
	p := &s.propagation
	old := p.records[r.Source]
	if !r.Supersedes(old) || r.Expired() || old == nil && len(p.records) >= maxSources {
		return
	}
	p.records[r.Source], p.changed = r, true
	s.trackSource(now, r)
	if !tell { // another server's digest says so: what it brings is looked through as a whole
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

// behind says that what is known here may be old: proxies had better ask another.
func (s *Server) mayBeStale(now float64) bool {
	c := &s.configuration
	return !s.Voting() || !s.inContact(now) || !c.confirmed || c.chosenVersion() < c.newestKnown || !s.propagation.informed
}

// answerPull tells a proxy what it lacks. Where that is nothing it is told so only if it must be. A server that is behind tells
// nothing but whom to ask.
func (s *Server) answerPull(now float64, held heldPull, force bool) bool {
	update := &meshpb.Update{Servers: s.view().RetainedAddresses(), FromServer: true, Epoch: s.view().Epoch}
	if update.Alone = s.mayBeStale(now); !update.Alone {
		s.fillUpdate(now, update, held.pull)
		nothing := len(update.Records) == 0 && update.Edition == 0 && update.EjectionsVersion == 0 &&
			len(update.Assignments) == 0
		if nothing && !force && !s.hasUnreportedAccused(held.pull) {
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

// silentSources are the proxies of which nobody has heard for long, in order.
func (s *Server) silentSources(now float64) (sources []string) {
	for source, at := range s.propagation.lastHeard {
		if now > at+silentAfter {
			sources = append(sources, source)
		}
	}
	slices.Sort(sources)
	return sources
}

// asks says whether a proxy is to be asked about an accused host of which it has not spoken.
func (s *Server) hasUnreportedAccused(pull *meshpb.Pull) bool {
	return slices.ContainsFunc(s.ejections.accused, func(host string) bool {
		return !slices.Contains(pull.Accused, host)
	})
}

// wake answers the proxies that lack something by now.
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
		p.nextDigestAt = 0 // one that comes back, or comes first: it hears from here at once
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

// answerWantWhole sends everything to a member that knows nothing yet. It asks with each digest until something has come.
func (s *Server) answerFullRequest(now float64, to string) {
	known := s.contact.peers[to]
	if known == nil || len(s.propagation.records) == 0 || known.fullSentAt > 0 && now < known.fullSentAt+fullResendAfter {
		return
	}
	known.fullSentAt = now
	s.sendFull(now, to)
}

// tickPropagation tells the others what is new, and forgets whom nobody has heard of.
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

// inform decides when a server that just came, and may know of nobody, answers proxies.
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

// digest is what each one holds.
func (s *Server) newDigest(now float64) *meshpb.Digest {
	return &meshpb.Digest{Sequence: s.nextDigestSequence(now), Life: s.options.Life, Echoes: s.echoes(), Config: s.configState(),
		Leaving: s.membership.leaving}
}

// compare sends everything to one of the others, by turns.
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
