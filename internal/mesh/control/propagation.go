package control

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// Proxies pull what they lack (pulls.go). Servers tell each other at once what is new, in digests that are their heartbeats too, and
// compare everything they know every few seconds.

const (
	digestSoon   = 0.06 // seconds between digests while no quorum is in reach
	digestEvery  = 0.25 // and at least else
	wholeEvery   = 3.0  // seconds between comparisons of everything with all other members
	silentAfter  = 7.0  // seconds after which a proxy that nobody has heard of takes no requests
	informWithin = 0.6  // seconds in contact after which a server that just came tells what it knows, whatever that is
	mostSources  = 8192
)

type propagation struct {
	records   map[string]*meshpb.Record // tombstones too
	heard     map[string]float64        // when a source was last heard of, by anybody
	direct    map[string]bool           // heard here since the last digest
	silent    []string                  // proxies of which nobody has heard for long, in order, as of the last tick
	changes   changeLog                 // of the records
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
	p.changes.init()
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
	p.changes.add(r.Source)
	s.rememberSource(now, r)
	if tell {
		p.news = append(p.news, r)
		p.digestAt = 0
	}
	s.wake(now)
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
	if d.Whole {
		p.wantWhole, p.informed = false, true
	}
	if d.WantWhole && len(p.records) > 0 {
		s.sendWhole(now, from.Address)
	}
	s.heardConfigState(now, from, d.Config)
	s.wake(now)
}

// tickPropagation tells the others what is new, and forgets whom nobody has heard of.
func (s *Server) tickPropagation(now float64) {
	p := &s.propagation
	p.silent = s.silentSources(now)
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
	d.Whole, d.Silent = true, s.silentSources(now)
	for _, source := range sorted(s.propagation.records) {
		d.Records = append(d.Records, s.aged(now, s.propagation.records[source]))
	}
	s.send(to, &meshpb.Message{Digest: d})
}
