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

// A server that is no member reads all registers of a majority of the members while it waits, and then follows what changes. In the
// joint view that adds it, it reads the rest from a majority of the old members that go by that view too: they take part in no
// older ballot any more, so whatever was chosen before is among what they told. Only then it votes.

const (
	pageRetryAfter          = 0.4 // seconds without an answer until a member is asked again, twice as long after each time
	maxPageBackoffDoublings = 1   // times that this grows
	pageTimeout             = 1.0 // and until another one is asked in its place
	maxKeysPerRequest       = 256 // that a member is asked for by key
	syncTimeout             = 1.5 // and until what was put is put again, as a disk that fails may have dropped the word on it
	followInterval          = 0.3 // seconds between questions for what has changed, once all has been read
)

// source is a member from which this server reads.
type syncSource struct {
	life          uint32
	position      uint64
	requestedAt   float64
	heardAt       float64
	requestOpen   bool
	retries       int    // how often the open question was put again
	requestID     uint64 // of the question that is open; it is the same where that is asked again
	fullyRead     bool   // all was read once in this life of the member
	completeEpoch uint64 // the member's when all that it had was read last
	member        view.Member

	part          register.Part              // of which it sends the values
	lastPageEpoch uint64                     // its epoch when its last page came; 0: nothing told up to there is lacking
	missing       map[string]register.Ballot // what it told without its value, and was newer than here
	fetchingKeys  []string                   // keys that the open question asks for; nil: it asks for a page
}

type catchup struct {
	sources     map[string]*syncSource // by address
	caughtUp    bool                   // a majority of the members has been read once
	syncedEpoch uint64                 // the joint epoch for which everything was read
	syncRetryAt float64                // the disk is about to have the last of it; after this time it is asked again
	startedAt   float64
}

func (c *catchup) init() { *c = catchup{sources: map[string]*syncSource{}} }

// viewChanged has everything that is read count for the new view only. A question that is open bears the epoch before, and is not
// answered by a member that goes by the new view: it is asked again at once.
func (c *catchup) viewChanged() {
	c.syncRetryAt = 0
	for _, from := range c.sources {
		from.requestOpen = false
	}
}

// memberBehind takes word that a member asks for this server's view: it has not answered a question that bears a newer epoch than its
// own, which is asked again once it has the view.
func (c *catchup) retrySyncRequest(address string) {
	if from := c.sources[address]; from != nil {
		from.requestOpen = false
	}
}

// tickCatchup asks as many members as make a majority, in an order of this server's own; who does not answer is passed over.
func (s *Server) tickCatchup(now float64) {
	c := &s.catchup
	if !s.view().Known() || s.Voting() || s.membership.foreign || s.membership.leaving {
		return
	}
	if c.startedAt == 0 {
		c.startedAt = now
	}
	wanted := s.view().Majority()
	others := slices.DeleteFunc(rendezvous.Order(s.options.Self, s.view().OldAddresses()), func(a string) bool { return a == s.options.Self })
	for i, address := range others {
		if wanted == 0 {
			break
		}
		from := c.sources[address]
		if from == nil {
			from = &syncSource{requestedAt: -pageRetryAfter, heardAt: now}
			c.sources[address] = from
		}
		from.part = register.Part{Index: uint32(i % s.view().Majority()), Of: uint32(s.view().Majority())}
		if now < from.heardAt+pageTimeout {
			wanted--
		}
		s.requestIfDue(now, address, from)
	}
	s.fetchMissing(now)
}

// askAgainAt is when a member is to be asked next: at once where there is more to read in this epoch.
func (s *Server) nextRequestAt(from *syncSource) float64 {
	switch {
	case from.requestOpen:
		return from.requestedAt + pageRetryAfter*float64(uint(1)<<min(from.retries, maxPageBackoffDoublings))
	case from.lastPageEpoch != 0: // what it lacks is asked for by key, once the others had time to send it
		return math.Inf(1)
	case from.fullyRead && from.completeEpoch == s.view().Epoch:
		return from.requestedAt + followInterval
	}
	return 0
}

// follow asks a member for the next page.
func (s *Server) requestIfDue(now float64, address string, from *syncSource) {
	if now >= s.nextRequestAt(from) {
		s.sendSyncRequest(now, address, from)
	}
}

// ask puts the next question to a member, or the one that is open again.
func (s *Server) sendSyncRequest(now float64, address string, from *syncSource) {
	if from.requestID == 0 {
		s.lastID++
		from.requestID, from.retries = s.lastID, 0
	} else {
		from.retries++
	}
	from.requestedAt, from.requestOpen = now, true
	s.send(address, &meshpb.Message{Id: from.requestID, SyncRequest: &meshpb.SyncRequest{SourceLife: from.life, Position: from.position,
		Part: from.part.Index, Parts: from.part.Of, Keys: from.fetchingKeys}})
}

// heardSyncRequest gives a page, unless this server lacks something itself. It goes once the disk has the view: who reads it counts on
// this server to take part in no older ballot any more, also after a loss of power.
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
	s.effects.After = append(s.effects.After, after(from, &meshpb.Message{Id: id, SyncPage: answer}))
}

// heardSyncPage takes the answer to the question that is open. Any other may be one to an earlier life, which had read what came
// before the page.
func (s *Server) handleSyncPage(now float64, member view.Member, id uint64, p *meshpb.SyncPage) {
	from := s.catchup.sources[member.Address]
	if from == nil || id != from.requestID || s.Voting() || !slices.Contains(s.view().Members, member) {
		return
	}
	if from.life != p.SourceLife || from.member != member {
		*from = syncSource{life: p.SourceLife, member: member, part: from.part}
	}
	missing := s.registers.Merge(now, p.Entries)
	from.heardAt, from.requestOpen, from.requestID = now, false, 0
	if from.fetchingKeys != nil {
		from.recordFetched(p.Entries)
	} else {
		s.recordPage(now, from, p, missing)
	}
	s.fetchMissing(now)
}

// readPage goes on behind a page.
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
	from.lastPageEpoch, from.requestedAt = s.view().Epoch, now
}

// fetched notes that a member has answered for some keys. One that it no longer holds has grown old.
func (from *syncSource) recordFetched(entries []*meshpb.Entry) {
	from.fetchingKeys = nil
	for _, e := range entries {
		delete(from.missing, e.Key)
	}
}

// fetchLacking asks members by key for what they told without a value and nobody else has sent. It waits for those that are still sending
// pages: most of it comes from them.
func (s *Server) fetchMissing(now float64) {
	for _, from := range s.catchup.sources {
		if from.requestOpen && from.fetchingKeys == nil && now < from.heardAt+pageTimeout {
			return
		}
	}
	for _, address := range sorted(s.catchup.sources) {
		from := s.catchup.sources[address]
		if from.lastPageEpoch == 0 || from.requestOpen || s.Voting() {
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

// stillLacking gives keys that a member has told of and that are newer there than here, as many as are asked for at once.
func (s *Server) stillMissing(from *syncSource) (keys []string) {
	for _, key := range sorted(from.missing) {
		if !s.registers.Lacks(key, from.missing[key]) {
			delete(from.missing, key)
			continue
		}
		if keys = append(keys, key); len(keys) == maxKeysPerRequest {
			break
		}
	}
	return keys
}

// reviewCatchup looks whether enough has been read to join, or to vote.
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
	if joiner != s.self || now < c.syncRetryAt || !read(func(from *syncSource) bool { return from.completeEpoch == s.view().Epoch }) {
		return
	}
	c.syncRetryAt = now + syncTimeout
	epoch := s.view().Epoch
	s.whenSynced(func(float64) { // not in one batch: of one that is cut off any part may be there
		if s.view().Epoch != epoch {
			return
		}
		s.put(nameSynced, encodeUint64(epoch))
		s.whenSynced(func(now float64) { s.finishJoin(now, epoch) })
	})
}

// joinSynced has this joiner vote: its disk holds everything, and says so.
func (s *Server) finishJoin(now float64, epoch uint64) {
	if s.view().Epoch != epoch {
		return
	}
	s.catchup.syncedEpoch = epoch
	s.startVotingIfReady(now)
	s.propagation.wantFull = true
	s.sendJoin()
}
