package control

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// A source of which nobody has heard for long is forgotten: its record gives way to a tombstone of a higher
// version, which goes the way of all records. So it leaves every list, and no older copy that a proxy or
// another server still has brings it back. A proxy that lives after all is told its own tombstone, and tells
// a record of a higher version.
//
// Tombstones are only in memory. A source that a proxy names and that is not known here, as after a restart of
// all servers, is forgotten like any other if it does not speak.

// forgetAfter is how many seconds nobody has to have heard of a source for it to be forgotten.
const tombstoneAfter = 30.0

// forgotten is what a server knows of sources that are forgotten, or may have to be.
type tombstones struct {
	createdAt     map[string]float64 // by source with a tombstone: when it was forgotten
	namedVersions map[string]uint64  // versions that proxies have and that are not known here
	hearsAllSince float64            // since when this server hears all members that anybody hears; 0: it does not
}

func (t *tombstones) init() { t.createdAt, t.namedVersions = map[string]float64{}, map[string]uint64{} }

// rememberSource notes, of a record that was taken, since when its source is there or is forgotten.
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

// heardNamed takes which versions a proxy has. Of a source with a newer version than is known here the time to
// be forgotten begins to run: the server that knew it may be no more.
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

// heardSilent takes which of the sources that another server tells of are silent: here they are too, where
// nothing is known of them.
func (s *Server) recordSilentSources(now float64, d *meshpb.Digest) {
	for _, r := range d.Records {
		if s.propagation.records[r.Source] == nil && slices.Contains(d.Silent, r.Source) {
			s.propagation.lastHeard[r.Source] = now - silentAfter
		}
	}
}

// tickForgotten forgets sources, and drops tombstones that are too old.
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

// hearsAll says whether this server would hear of any proxy that speaks to a member: a quorum is in reach, and
// it hears each member that any other hears.
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

// forget puts a tombstone in place of what is known of a source.
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

// aged is a record to be told to others.
func (s *Server) aged(now float64, r *meshpb.Record) *meshpb.Record {
	return r.Aged(now - s.propagation.tombstones.createdAt[r.Source])
}
