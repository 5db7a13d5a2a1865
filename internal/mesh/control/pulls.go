package control

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// A proxy pulls what it lacks. At first it sends a vector of versions, one for each source; with the answer it
// is told a cursor, a position in this server's order of changes, and sends that in place of the vector from
// then on. So a pull costs what has changed since the last. A cursor counts in one life of a server only;
// who sends one that is not known is told none, and sends the vector again.

const (
	holdFor  = 0.7  // seconds after which a pull that lacks nothing is answered at the latest
	mostHeld = 4096 // pulls
)

// heldPull is a pull that waits for something new.
type heldPull struct {
	from    string
	message *meshpb.Message // without the vector
	until   float64
	since   uint64 // position up to which the proxy lacks nothing
	unknown bool   // its cursor is not of this life: nobody knows what it lacks
}

func (s *Server) heardPull(now float64, from string, m *meshpb.Message) {
	p, pull := &s.propagation, m.Pull
	s.count.Pulls++
	if own := pull.Own; own != nil {
		s.heardSource(now, own.Source)
		s.learn(now, own, true)
		s.heardObservations(now, own.Source, pull.Observations, true)
	}
	held := heldPull{from: from, message: m, until: now + holdFor, since: p.changes.position}
	var lacks []*meshpb.Record
	if cursor := pull.Cursor; cursor != nil {
		held.since = cursor.Position
		held.unknown = cursor.Life != s.o.Life || !p.changes.complete(cursor.Position)
	} else {
		s.count.Vectors++
		s.heardNamed(now, pull.Seen)
		lacks = s.lacking(now, pull.Seen)
		pull.Seen = nil // it may be held long
	}
	must := !pull.Hold || held.unknown || s.behind(now)
	if !s.answerPull(now, &held, lacks, must) && len(p.pulls) < mostHeld {
		p.pulls = append(p.pulls, held)
	}
}

// heardSource notes that a source has spoken.
func (s *Server) heardSource(now float64, source string) {
	p := &s.propagation
	p.heard[source], p.direct[source] = now, true
	if at, silent := slices.BinarySearch(p.silent, source); silent {
		p.silent = slices.Delete(slices.Clone(p.silent), at, at+1)
	}
}

// behind says that what is known here may be old: proxies had better ask another.
func (s *Server) behind(now float64) bool {
	c := &s.configuration
	return !s.Voting() || !s.inContact(now) || !c.confirmed || c.chosenVersion() < c.known || !s.propagation.informed
}

// answerPull tells a proxy what it lacks: the given records, and what has changed since its position. Where that is nothing it is
// told so only if it must be. A server that is behind tells nothing but whom to ask.
func (s *Server) answerPull(now float64, held *heldPull, lacks []*meshpb.Record, must bool) bool {
	pull, view := held.message.Pull, s.view()
	update := &meshpb.Update{FromServer: true, Epoch: view.Epoch, Alone: s.behind(now)}
	if pull.Epoch != view.Epoch {
		update.Servers = view.Staying()
	}
	switch {
	case update.Alone && !must:
		return false
	case !update.Alone:
		update.Records = lacks
		s.fill(now, update, held)
		nothing := len(update.Records) == 0 && update.Edition == 0 && update.EjectionsVersion == 0
		if nothing && !must && !s.asks(pull) {
			return false
		}
	}
	s.send(held.from, meshpb.Answer(held.message, &meshpb.Message{Update: update}))
	return true
}

// lacking are the records of which a proxy has no version or an older one. Tombstones are told to who knows the source.
func (s *Server) lacking(now float64, seen []*meshpb.Seen) (records []*meshpb.Record) {
	has := make(map[string]uint64, len(seen))
	for _, x := range seen {
		has[x.Source] = x.Version
	}
	for _, source := range sorted(s.propagation.records) {
		r := s.propagation.records[source]
		if version, known := has[source]; known && version < r.Version || !known && !r.IsTombstone() {
			records = append(records, s.aged(now, r))
		}
	}
	return records
}

func (s *Server) fill(now float64, update *meshpb.Update, held *heldPull) {
	p, pull := &s.propagation, held.message.Pull
	if !held.unknown {
		update.Records = append(update.Records, s.changedSince(now, held)...)
		update.Cursor = &meshpb.Cursor{Life: s.o.Life, Position: p.changes.position}
	}
	if version := s.ejections.version(); version > pull.EjectionLists {
		update.EjectionLists, update.EjectionsVersion = s.wireEjections(now), version
	}
	if chosen := s.configuration.chosen; chosen.GetVersion() > pull.Edition {
		update.Edition, update.Text = chosen.Version, chosen.Text
	}
	update.Accused, update.Silent = s.ejections.asked, p.silent
}

// changedSince are the records that have changed since the position of a pull, but for what the proxy said itself.
func (s *Server) changedSince(now float64, held *heldPull) (records []*meshpb.Record) {
	own := held.message.Pull.Own
	for _, source := range s.propagation.changes.after(held.since) {
		r := s.propagation.records[source]
		if source == own.GetSource() && r.Version <= own.Version {
			continue
		}
		records = append(records, s.aged(now, r))
	}
	return records
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
		return (must || changed) && s.answerPull(now, &held, nil, must)
	})
}
