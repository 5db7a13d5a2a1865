package control

import (
	"maps"
	"math"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/view"
)

// A server that is not a member reads all registers from a majority of the members while it waits, and then follows their
// changes. In the joint view that adds it, it reads the remaining values from a majority of the old members that have adopted the
// joint view. Those members take part in no older ballot any more, so their answers include every value chosen before. Only then
// does the joiner vote.

const (
	maxKeysPerRequest = 256 // keys requested by name at once
	syncTimeout       = 1.5 // seconds after which the marker of a complete read is put again: a failing disk may drop it
	followInterval    = 0.3 // seconds between requests for changes once everything has been read
)

// syncSource is a member from which this server reads registers.
type syncSource struct {
	life          uint32 // identifies the run of the member's process
	position      uint64 // position in the member's sequence of changes up to which it was read
	request       pageRequest
	heardAt       float64
	fullyRead     bool   // all registers were read once since the member started
	completeEpoch uint64 // epoch of the last complete read; 0: none
	member        view.Member

	part          register.Part              // the part of the registers whose values the member sends
	lastPageEpoch uint64                     // epoch of its last page, until no value that its pages named is missing; else 0
	missing       map[string]register.Ballot // by key: ballots of newer values that the member named without sending them
	missingQueue  []string                   // sorted keys of missing that are still to be requested
	fetchingKeys  []string                   // keys of the open request; nil: it asks for a page
}

type catchup struct {
	sources     map[string]*syncSource // by address
	caughtUp    bool                   // a majority of the members has been read completely
	syncedEpoch uint64                 // joint epoch for which everything was read
	syncRetryAt float64                // while the marker of a complete read (nameSynced) is being synced: when to put it again
	startedAt   float64
}

func (c *catchup) init() { *c = catchup{sources: map[string]*syncSource{}} }

// viewChanged closes all open requests. They carry the previous epoch, and a member that has adopted the new view does not answer
// them; they are sent again at once.
func (c *catchup) viewChanged() {
	c.syncRetryAt = 0
	for _, from := range c.sources {
		from.request.open = false
	}
}

// retrySyncRequest allows the open request to a member to be sent again. The member asked for this server's view, so it did not
// answer a request of a newer epoch than its own; it can answer once it has the view.
func (c *catchup) retrySyncRequest(address string) {
	if from := c.sources[address]; from != nil {
		from.request.open = false
	}
}

// tickCatchup reads from as many members as make a majority, in a rendezvous order specific to this server. For each
// member that does not answer, one more is asked.
func (s *Server) tickCatchup(now float64) {
	c := &s.catchup
	if !s.view().Known() || s.Voting() || s.membership.foreign || s.membership.leaving {
		return
	}
	if c.startedAt == 0 {
		c.startedAt = now
	}
	remaining := s.view().Majority()
	others := slices.DeleteFunc(rendezvous.Order(s.options.Self, s.view().OldAddresses()),
		func(a string) bool { return a == s.options.Self })
	for i, address := range others {
		if remaining == 0 {
			break
		}
		from := c.sources[address]
		if from == nil {
			from = &syncSource{heardAt: now}
			c.sources[address] = from
		}
		from.part = register.Part{Index: uint32(i % s.view().Majority()), Of: uint32(s.view().Majority())}
		if now < from.heardAt+pageTimeout {
			remaining--
		}
		s.requestIfDue(now, address, from)
	}
	s.fetchMissing(now)
}

// nextRequestAt returns when to send the next request to a member: at once if there is more to read in this epoch.
func (s *Server) nextRequestAt(from *syncSource) float64 {
	switch {
	case from.request.open:
		return from.request.dueAt()
	case from.lastPageEpoch != 0: // missing values are requested by key, after the other members had time to send them
		return math.Inf(1)
	case from.fullyRead && from.completeEpoch == s.view().Epoch:
		return from.request.requestedAt + followInterval
	}
	return 0
}

// requestIfDue sends the next request to a member, or sends the open one again, if it is due.
func (s *Server) requestIfDue(now float64, address string, from *syncSource) {
	if now >= s.nextRequestAt(from) {
		s.sendSyncRequest(now, address, from)
	}
}

// sendSyncRequest sends the next request to a member, or sends the open one again.
func (s *Server) sendSyncRequest(now float64, address string, from *syncSource) {
	id := s.notePageRequest(now, &from.request)
	s.send(address, &meshpb.Message{Id: id, SyncRequest: &meshpb.SyncRequest{SourceLife: from.life,
		Position: from.position, Part: from.part.Index, Parts: from.part.Of, Keys: from.fetchingKeys}})
}

// handleSyncRequest answers with a page of registers if this server votes. The page is sent once the view is on disk: the reader
// relies on this server never again taking part in an older ballot, even after a power loss.
func (s *Server) handleSyncRequest(from string, id uint64, r *meshpb.SyncRequest) {
	if !s.Voting() {
		return
	}
	read := r.Position
	if r.SourceLife != s.options.Life {
		read = 0
	}
	answer := &meshpb.SyncPage{SourceLife: s.options.Life, Position: read}
	if len(r.Keys) > 0 {
		answer.Entries = s.registers.EntriesOf(r.Keys)
	} else {
		answer.Entries, answer.Position, answer.Last = s.registers.PartialPage(read, register.Part{Index: r.Part, Of: r.Parts})
	}
	s.sendWithView(from, &meshpb.Message{Id: id, SyncPage: answer})
}

// handleSyncPage processes the answer to the open request. Any other page is ignored: it may answer a request of an earlier run
// of this process, which had already read the preceding pages.
func (s *Server) handleSyncPage(now float64, member view.Member, id uint64, p *meshpb.SyncPage) {
	from := s.catchup.sources[member.Address]
	if from == nil || id != from.request.id || s.Voting() || !slices.Contains(s.view().Members, member) {
		return
	}
	if from.life != p.SourceLife || from.member != member {
		*from = syncSource{life: p.SourceLife, member: member, part: from.part}
	}
	missing := s.registers.Merge(now, p.Entries)
	from.heardAt = now
	from.request.answered()
	if from.fetchingKeys != nil {
		from.recordFetched(p.Entries)
	} else {
		s.recordPage(now, from, p, missing)
	}
	s.fetchMissing(now)
}

// recordPage records a page and requests the next one.
func (s *Server) recordPage(now float64, from *syncSource, p *meshpb.SyncPage, missing map[string]register.Ballot) {
	from.position = p.Position
	if from.missing == nil {
		from.missing = map[string]register.Ballot{}
	}
	maps.Copy(from.missing, missing)
	if !p.Last {
		s.requestIfDue(now, from.member.Address, from)
		return
	}
	from.lastPageEpoch, from.request.requestedAt = s.view().Epoch, now
}

// recordFetched records the answer to a request by key. A key that the member no longer holds has expired there.
func (from *syncSource) recordFetched(entries []*meshpb.Entry) {
	from.fetchingKeys = nil
	for _, e := range entries {
		delete(from.missing, e.Key)
	}
}

// fetchMissing requests by key the values that members named but no member has sent. It first waits for members that are still
// sending pages, which contain most of these values. A member from which nothing is missing counts as read completely.
func (s *Server) fetchMissing(now float64) {
	for _, from := range s.catchup.sources {
		if s.isSendingPages(now, from) {
			return
		}
	}
	for _, address := range sorted(s.catchup.sources) {
		from := s.catchup.sources[address]
		if from.lastPageEpoch == 0 || from.request.open || s.Voting() {
			continue
		}
		from.fetchingKeys = s.stillMissing(from)
		if from.fetchingKeys != nil {
			s.sendSyncRequest(now, address, from)
			continue
		}
		from.fullyRead, from.completeEpoch, from.lastPageEpoch = true, from.lastPageEpoch, 0
		s.checkCatchup(now)
	}
}

// isSendingPages reports whether a member is expected to send more pages of its registers soon. A member that was read completely
// in this epoch is only followed: it is asked for changes again and again, and its answers contain little.
func (s *Server) isSendingPages(now float64, from *syncSource) bool {
	following := from.fullyRead && from.completeEpoch == s.view().Epoch
	return !following && from.request.open && from.fetchingKeys == nil && now < from.heardAt+pageTimeout
}

// stillMissing returns keys for which the member has a newer value than this server, at most maxKeysPerRequest. The keys are
// sorted once for a whole pass over them.
func (s *Server) stillMissing(from *syncSource) (keys []string) {
	for len(keys) < maxKeysPerRequest {
		if len(from.missingQueue) == 0 {
			if len(keys) > 0 || len(from.missing) == 0 {
				break
			}
			from.missingQueue = sorted(from.missing)
		}
		key := from.missingQueue[0]
		from.missingQueue = from.missingQueue[1:]
		ballot, missing := from.missing[key]
		switch {
		case !missing:
		case s.registers.Lacks(key, ballot):
			keys = append(keys, key)
		default:
			delete(from.missing, key)
		}
	}
	return keys
}

// checkCatchup determines whether enough has been read to ask for admission or to vote.
func (s *Server) checkCatchup(now float64) {
	c := &s.catchup
	read := func(needed func(*syncSource) bool) bool {
		return s.view().OldQuorum(func(m view.Member) bool {
			from := c.sources[m.Address]
			return from != nil && from.member == m && needed(from)
		})
	}
	if !c.caughtUp && read(func(from *syncSource) bool { return from.fullyRead }) {
		c.caughtUp = true
		registers, _ := s.registers.Size()
		s.options.Log("caught up", "registers", registers, "seconds", now-c.startedAt)
		s.membership.nextJoinAt = 0
	}
	joiner, _ := s.view().Joiner()
	if joiner != s.self || now < c.syncRetryAt ||
		!read(func(from *syncSource) bool { return from.completeEpoch == s.view().Epoch }) {
		return
	}
	c.syncRetryAt = now + syncTimeout
	epoch := s.view().Epoch
	s.whenSynced(func(float64) { // the marker is put after the values are synced: a power loss may keep any part of a batch
		if s.view().Epoch != epoch {
			return
		}
		s.put(nameSynced, encodeUint64(epoch))
		s.whenSynced(func(now float64) { s.finishJoin(now, epoch) })
	})
}

// finishJoin starts voting: the disk holds everything that was read and the marker that says so.
func (s *Server) finishJoin(now float64, epoch uint64) {
	if s.view().Epoch != epoch {
		return
	}
	s.catchup.syncedEpoch = epoch
	s.startVotingIfReady(now)
	s.propagation.wantFull = true
	s.sendJoin()
}
