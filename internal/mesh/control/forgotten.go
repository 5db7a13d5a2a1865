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
const forgetAfter = 30.0

// forgotten is what a server knows of sources that are forgotten, or may have to be.
type forgotten struct {
	at         map[string]float64 // by source with a tombstone: when it was forgotten
	named      map[string]uint64  // versions that proxies have and that are not known here
	hearsAllAt float64            // since when this server hears all members that anybody hears; 0: it does not
}

func (f *forgotten) init() { f.at, f.named = map[string]float64{}, map[string]uint64{} }

// rememberSource notes, of a record that was taken, since when its source is there or is forgotten.
func (s *Server) rememberSource(now float64, r *meshpb.Record) {
	p := &s.propagation
	if p.forgotten.named[r.Source] <= r.Version {
		delete(p.forgotten.named, r.Source)
	}
	if r.IsTombstone() {
		p.forgotten.at[r.Source] = now - float64(r.ForgottenFor)
		delete(p.heard, r.Source)
		return
	}
	delete(p.forgotten.at, r.Source)
	if _, known := p.heard[r.Source]; !known {
		p.heard[r.Source] = now
	}
}

// heardNamed takes which versions a proxy has. Of a source with a newer version than is known here the time to
// be forgotten begins to run: the server that knew it may be no more.
func (s *Server) heardNamed(now float64, all []*meshpb.Seen) {
	p := &s.propagation
	for _, seen := range all {
		r := p.records[seen.Source]
		if r != nil && r.Version >= seen.Version {
			continue
		}
		if _, known := p.heard[seen.Source]; !known {
			if len(p.heard) >= mostSources {
				continue
			}
			p.heard[seen.Source] = now
		}
		p.forgotten.named[seen.Source] = max(p.forgotten.named[seen.Source], seen.Version)
	}
}

// heardSilent takes which of the sources that another server tells of are silent: here they are too, where
// nothing is known of them.
func (s *Server) heardSilent(now float64, d *meshpb.Digest) {
	for _, r := range d.Records {
		if s.propagation.records[r.Source] == nil && slices.Contains(d.Silent, r.Source) {
			s.propagation.heard[r.Source] = now - silentAfter
		}
	}
}

// tickForgotten forgets sources, and drops tombstones that are too old.
func (s *Server) tickForgotten(now float64) {
	p := &s.propagation
	for source, at := range p.forgotten.at {
		if now > at+meshpb.TombstoneSeconds {
			delete(p.forgotten.at, source)
			delete(p.records, source)
		}
	}
	if !s.hearsAll(now) {
		p.forgotten.hearsAllAt = 0
		return
	}
	if p.forgotten.hearsAllAt == 0 {
		p.forgotten.hearsAllAt = now
	}
	for _, source := range sorted(p.heard) {
		if now > max(p.heard[source], p.forgotten.hearsAllAt)+forgetAfter {
			s.forget(now, source)
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
		heard := address == s.o.Self || now <= p.heardAt+contactFor
		if !heard && !s.silent(now, address, contactFor) {
			return false
		}
	}
	return true
}

// forget puts a tombstone in place of what is known of a source.
func (s *Server) forget(now float64, source string) {
	p := &s.propagation
	named := p.forgotten.named[source]
	delete(p.heard, source)
	delete(p.forgotten.named, source)
	r := p.records[source]
	if r.IsTombstone() && r.Version >= named {
		return
	}
	s.o.Log("forgotten", "source", source, "version", r.GetVersion())
	s.learn(now, meshpb.NewTombstone(source, max(named, r.GetVersion())), true)
}

// aged is a record to be told to others.
func (s *Server) aged(now float64, r *meshpb.Record) *meshpb.Record {
	return r.Aged(now - s.propagation.forgotten.at[r.Source])
}
