package control

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// A source of which no server has heard for long is forgotten: a tombstone of a higher version replaces its record and spreads
// like any record. The source thereby leaves all lists, and older copies of its record on proxies or other servers cannot bring
// it back. A proxy that is alive after all receives its own tombstone and publishes a record of a higher version.
//
// Tombstones are kept in memory only. A source that a proxy names and this server does not know, for example after a restart of
// all servers, is forgotten like any other if nothing is heard of it.

// tombstoneAfter is the number of seconds without word of a source, on any server, after which it is forgotten.
const tombstoneAfter = 30.0

// tombstones tracks the sources that were forgotten or may have to be.
type tombstones struct {
	createdAt     map[string]float64 // by forgotten source: when it was forgotten
	namedVersions map[string]uint64  // by source: newest version that proxies have, if it is newer than the one here
	hearsAllSince float64            // since when this server hears every member that any member hears; 0: it does not
}

func (t *tombstones) init() { t.createdAt, t.namedVersions = map[string]float64{}, map[string]uint64{} }

// trackSource updates what is tracked of a source after its record or tombstone was taken.
func (s *Server) trackSource(now float64, r *meshpb.Record) {
	p := &s.propagation
	if p.tombstones.namedVersions[r.Source] <= r.Version {
		delete(p.tombstones.namedVersions, r.Source)
	}
	if r.IsTombstone() {
		p.tombstones.createdAt[r.Source] = now - float64(r.ForgottenFor)
		delete(p.lastHeard, r.Source)
		return
	}
	delete(p.tombstones.createdAt, r.Source)
	if _, known := p.lastHeard[r.Source]; !known {
		p.lastHeard[r.Source] = now
	}
}

// recordSeenVersions processes the versions that a proxy has. A source with a newer version than the one here counts as heard now
// if it is not tracked yet, and is forgotten after tombstoneAfter: the server that knew it may be gone.
func (s *Server) recordSeenVersions(now float64, all []*meshpb.Seen) {
	p := &s.propagation
	for _, seen := range all {
		r := p.records[seen.Source]
		if r != nil && r.Version >= seen.Version {
			continue
		}
		if _, known := p.lastHeard[seen.Source]; !known {
			if len(p.lastHeard) >= maxSources {
				continue
			}
			p.lastHeard[seen.Source] = now
		}
		p.tombstones.namedVersions[seen.Source] = max(p.tombstones.namedVersions[seen.Source], seen.Version)
	}
}

// recordSilentSources takes over which sources another server considers silent. A source that is unknown here becomes silent here
// too.
func (s *Server) recordSilentSources(now float64, d *meshpb.Digest) {
	for _, r := range d.Records {
		if s.propagation.records[r.Source] == nil && slices.Contains(d.Silent, r.Source) {
			s.propagation.lastHeard[r.Source] = now - silentAfter
		}
	}
}

// tickTombstones forgets sources and drops expired tombstones.
func (s *Server) tickTombstones(now float64) {
	p := &s.propagation
	for source, at := range p.tombstones.createdAt {
		if now > at+meshpb.TombstoneSeconds {
			delete(p.tombstones.createdAt, source)
			delete(p.records, source)
		}
	}
	if !s.hearsAll(now) {
		p.tombstones.hearsAllSince = 0
		return
	}
	if p.tombstones.hearsAllSince == 0 {
		p.tombstones.hearsAllSince = now
	}
	for _, source := range sorted(p.lastHeard) {
		if now > max(p.lastHeard[source], p.tombstones.hearsAllSince)+tombstoneAfter {
			s.putTombstone(now, source)
		}
	}
}

// hearsAll reports whether this server would hear of any proxy that is in touch with a member: a quorum is reachable, and this
// server hears every member that any other member hears.
func (s *Server) hearsAll(now float64) bool {
	if !s.inContact(now) {
		return false
	}
	for address, p := range s.contact.peers {
		heard := address == s.options.Self || now <= p.heardAt+contactTimeout
		if !heard && !s.silent(now, address, contactTimeout) {
			return false
		}
	}
	return true
}

// putTombstone replaces the record of a source by a tombstone.
func (s *Server) putTombstone(now float64, source string) {
	p := &s.propagation
	named := p.tombstones.namedVersions[source]
	delete(p.lastHeard, source)
	delete(p.tombstones.namedVersions, source)
	r := p.records[source]
	if r.IsTombstone() && r.Version >= named {
		return
	}
	s.options.Log("forgotten", "source", source, "version", r.GetVersion())
	s.learnRecord(now, meshpb.NewTombstone(source, max(named, r.GetVersion())), true)
}

// aged returns a record for sending. A tombstone states for how long its source has been forgotten.
func (s *Server) aged(now float64, r *meshpb.Record) *meshpb.Record {
	return r.Aged(now - s.propagation.tombstones.createdAt[r.Source])
}
