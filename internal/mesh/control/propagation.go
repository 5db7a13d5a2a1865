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
	digestSoon   = 0.06 // seconds between digests while no quorum is in reach
	digestEvery  = 0.25 // and at least else
	wholeEvery   = 3.0  // seconds between comparisons of everything with all other members
	wholeAgain   = 0.5  // seconds until everything is sent again to one that asks for it: what was sent may be on its way
	silentAfter  = 7.0  // seconds after which a proxy that nobody has heard of takes no requests
	holdFor      = 0.7  // seconds after which a pull that lacks nothing is answered at the latest
	informWithin = 0.6  // seconds in contact after which a server that just came tells what it knows, whatever that is
	mostHeld     = 4096 // pulls
	mostSources  = 8192
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
	records   map[string]*meshpb.Record // tombstones too
	heard     map[string]float64        // when a source was last heard of, by anybody
	direct    map[string]bool           // heard here since the last digest
	pulls     []heldPull
	changed   bool             // something has come since the pulls were looked through
	news      []*meshpb.Record // since the last digest
	digestAt  float64
	wholeAt   float64
	whole     int
	wantWhole bool    // another server's records are asked for
	informed  bool    // they have come, or nobody had any
	informAt  float64 // when a quorum was first in reach
	forgotten forgotten
}

func (p *propagation) init() {
	p.records, p.heard, p.direct = map[string]*meshpb.Record{}, map[string]float64{}, map[string]bool{}
	p.forgotten.init()
	p.wantWhole = true
}

// learn takes a record if it is newer than what is known of its source.
func (s *Server) learn(now float64, r *meshpb.Record, tell bool) {
	p := &s.propagation
	old := p.records[r.Source]
	if !r.Supersedes(old) || r.Expired() || old == nil && len(p.records) >= mostSources {
		return
	}
	p.records[r.Source], p.changed = r, true
	s.rememberSource(now, r)
	if !tell { // another server's digest says so: what it brings is looked through as a whole
		return
	}
	p.news = append(p.news, r)
	p.digestAt = 0
	s.wake(now)
}

func (s *Server) heardPull(now float64, from string, m *meshpb.Message) {
	p, pull := &s.propagation, m.Pull
	s.count.Pulls++
	if own := pull.Own; own != nil {
		p.heard[own.Source], p.direct[own.Source] = now, true
		s.learn(now, own, true)
		s.heardObservations(now, own.Source, pull.Observations, true)
	}
	s.heardNamed(now, pull.Seen)
	held := heldPull{from, m.Id, m.Life, pull, now + holdFor}
	if !s.answerPull(now, held, !pull.Hold || s.behind(now)) && len(p.pulls) < mostHeld {
		p.pulls = append(p.pulls, held)
	}
}

// behind says that what is known here may be old: proxies had better ask another.
func (s *Server) behind(now float64) bool {
	c := &s.configuration
	return !s.Voting() || !s.inContact(now) || !c.confirmed || c.chosenVersion() < c.known || !s.propagation.informed
}

// answerPull tells a proxy what it lacks. Where that is nothing it is told so only if it must be. A server that is behind tells
// nothing but whom to ask.
func (s *Server) answerPull(now float64, held heldPull, must bool) bool {
	update := &meshpb.Update{Servers: s.view().Staying(), FromServer: true, Epoch: s.view().Epoch}
	if update.Alone = s.behind(now); !update.Alone {
		s.fill(now, update, held.pull)
		nothing := len(update.Records) == 0 && update.Edition == 0 && update.EjectionsVersion == 0 &&
			len(update.Assignments) == 0
		if nothing && !must && !s.asks(held.pull) {
			return false
		}
	} else if !must {
		return false
	}
	s.send(held.from, &meshpb.Message{Id: held.id, Life: held.life, Update: update})
	return true
}

func (s *Server) fill(now float64, update *meshpb.Update, pull *meshpb.Pull) {
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
		update.Assignments = s.assignments.wire(0)
	}
	if chosen := s.configuration.chosen; chosen.GetVersion() > pull.Edition {
		update.Edition, update.Text = chosen.Version, chosen.Text
	}
	update.Accused = s.ejections.asked
	update.Silent = s.silentSources(now)
}

// silentSources are the proxies of which nobody has heard for long, in order.
func (s *Server) silentSources(now float64) (sources []string) {
	for source, at := range s.propagation.heard {
		if now > at+silentAfter {
			sources = append(sources, source)
		}
	}
	slices.Sort(sources)
	return sources
}

// asks says whether a proxy is to be asked about an accused host of which it has not spoken.
func (s *Server) asks(pull *meshpb.Pull) bool {
	return slices.ContainsFunc(s.ejections.asked, func(station string) bool {
		return !slices.Contains(pull.Accused, station)
	})
}

// wake answers the proxies that lack something by now.
func (s *Server) wake(now float64) {
	p := &s.propagation
	changed, behind := p.changed, s.behind(now)
	p.changed = false
	p.pulls = slices.DeleteFunc(p.pulls, func(held heldPull) bool {
		must := now > held.until || behind
		return (must || changed) && s.answerPull(now, held, must)
	})
}

func (s *Server) heardDigest(now float64, from view.Member, d *meshpb.Digest) {
	p := &s.propagation
	if known := s.contact.peers[from.Address]; known != nil && now > known.heardAt+contactFor {
		p.digestAt = 0 // one that comes back, or comes first: it hears from here at once
	}
	if !s.heardPeer(now, from, d) {
		return
	}
	for _, source := range d.Heard {
		if p.records[source] != nil {
			p.heard[source] = now
		}
	}
	s.heardSilent(now, d)
	for _, r := range d.Records {
		s.learn(now, r, false)
	}
	for _, r := range d.Reports {
		s.heardObservations(now, r.Witness, r.Observations, false)
	}
	s.heardEjections(now, d.EjectionLists)
	s.heardAssignments(now, d.Assignments)
	if d.Whole {
		p.wantWhole, p.informed = false, true
	}
	if d.WantWhole {
		s.answerWantWhole(now, from.Address)
	}
	s.heardConfigState(now, from, d.Config)
	s.wake(now)
}

// answerWantWhole sends everything to a member that knows nothing yet. It asks with each digest until something has come.
func (s *Server) answerWantWhole(now float64, to string) {
	known := s.contact.peers[to]
	if known == nil || len(s.propagation.records) == 0 || known.wholeAt > 0 && now < known.wholeAt+wholeAgain {
		return
	}
	known.wholeAt = now
	s.sendWhole(now, to)
}

// tickPropagation tells the others what is new, and forgets whom nobody has heard of.
func (s *Server) tickPropagation(now float64) {
	p := &s.propagation
	s.inform(now)
	s.wake(now)
	if !s.isMember() || now < p.digestAt {
		return
	}
	p.digestAt = now + digestEvery
	if !s.inContact(now) {
		p.digestAt = now + digestSoon
	}
	d := s.digest(now)
	d.WantWhole = p.wantWhole
	d.Records, d.Reports, d.EjectionLists = p.news, s.ejections.news, s.wireEjections(now)
	d.Assignments = s.assignments.wire(now - assignNews)
	p.news, s.ejections.news = nil, nil
	d.Heard = sorted(p.direct)
	clear(p.direct)
	s.sendOthers(&meshpb.Message{Digest: d})
	s.compare(now)
	s.tickForgotten(now)
}

// inform decides when a server that just came, and may know of nobody, answers proxies.
func (s *Server) inform(now float64) {
	p := &s.propagation
	if p.informed || !s.inContact(now) {
		return
	}
	if p.informAt == 0 {
		p.informAt = now
	}
	if now > p.informAt+informWithin {
		p.wantWhole, p.informed = false, true
	}
}

// digest is what each one holds.
func (s *Server) digest(now float64) *meshpb.Digest {
	return &meshpb.Digest{Sequence: s.nextDigest(now), Life: s.o.Life, Echoes: s.echoes(), Config: s.configState(),
		Leaving: s.membership.leaving}
}

// compare sends everything to one of the others, by turns.
func (s *Server) compare(now float64) {
	p := &s.propagation
	others := slices.DeleteFunc(slices.Clone(s.view().Addresses()), func(a string) bool { return a == s.o.Self })
	if now < p.wholeAt || len(others) == 0 {
		return
	}
	p.wholeAt = now + wholeEvery/float64(len(others))
	p.whole++
	if len(p.records) > 0 {
		s.sendWhole(now, others[p.whole%len(others)])
	}
}

func (s *Server) sendWhole(now float64, to string) {
	d := s.digest(now)
	d.Whole, d.Silent, d.Assignments = true, s.silentSources(now), s.assignments.wire(0)
	for _, source := range sorted(s.propagation.records) {
		d.Records = append(d.Records, s.aged(now, s.propagation.records[source]))
	}
	s.send(to, &meshpb.Message{Digest: d})
}
