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
	pageAgain   = 0.4 // seconds without an answer until a member is asked again, twice as long after each time
	pageMost    = 1   // times that this grows
	pageGiveUp  = 1.0 // and until another one is asked in its place
	keysAtOnce  = 256 // that a member is asked for by key
	syncWithin  = 1.5 // and until what was put is put again, as a disk that fails may have dropped the word on it
	followEvery = 0.3 // seconds between questions for what has changed, once all has been read
)

// source is a member from which this server reads.
type source struct {
	life     uint32
	position uint64
	askedAt  float64
	heardAt  float64
	asking   bool
	again    int    // how often the open question was put again
	id       uint64 // of the question that is open; it is the same where that is asked again
	complete bool   // all was read once in this life of the member
	epoch    uint64 // the member's when all that it had was read last
	member   view.Member

	part      register.Part              // of which it sends the values
	readEpoch uint64                     // its epoch when its last page came; 0: nothing told up to there is lacking
	lacking   map[string]register.Ballot // what it told without its value, and was newer than here
	fetching  []string                   // keys that the open question asks for; nil: it asks for a page
}

type catchup struct {
	sources     map[string]*source // by address
	caughtUp    bool               // a majority of the members has been read once
	syncedEpoch uint64             // the joint epoch for which everything was read
	syncingTill float64            // the disk is about to have the last of it; after this time it is asked again
	began       float64
}

func (c *catchup) init() { *c = catchup{sources: map[string]*source{}} }

// viewChanged has everything that is read count for the new view only. A question that is open bears the epoch before, and is not
// answered by a member that goes by the new view: it is asked again at once.
func (c *catchup) viewChanged() {
	c.syncingTill = 0
	for _, from := range c.sources {
		from.asking = false
	}
}

// memberBehind takes word that a member asks for this server's view: it has not answered a question that bears a newer epoch than its
// own, which is asked again once it has the view.
func (c *catchup) memberBehind(address string) {
	if from := c.sources[address]; from != nil {
		from.asking = false
	}
}

// tickCatchup asks as many members as make a majority, in an order of this server's own; who does not answer is passed over.
func (s *Server) tickCatchup(now float64) {
	c := &s.catchup
	if !s.view().Known() || s.Voting() || s.membership.foreign || s.membership.leaving {
		return
	}
	if c.began == 0 {
		c.began = now
	}
	wanted := s.view().Majority()
	others := slices.DeleteFunc(rendezvous.Order(s.o.Self, s.view().OldAddresses()), func(a string) bool { return a == s.o.Self })
	for i, address := range others {
		if wanted == 0 {
			break
		}
		from := c.sources[address]
		if from == nil {
			from = &source{askedAt: -pageAgain, heardAt: now}
			c.sources[address] = from
		}
		from.part = register.Part{Index: uint32(i % s.view().Majority()), Of: uint32(s.view().Majority())}
		if now < from.heardAt+pageGiveUp {
			wanted--
		}
		s.follow(now, address, from)
	}
	s.fetchLacking(now)
}

// askAgainAt is when a member is to be asked next: at once where there is more to read in this epoch.
func (s *Server) askAgainAt(from *source) float64 {
	switch {
	case from.asking:
		return from.askedAt + pageAgain*float64(uint(1)<<min(from.again, pageMost))
	case from.readEpoch != 0: // what it lacks is asked for by key, once the others had time to send it
		return math.Inf(1)
	case from.complete && from.epoch == s.view().Epoch:
		return from.askedAt + followEvery
	}
	return 0
}

// follow asks a member for the next page.
func (s *Server) follow(now float64, address string, from *source) {
	if now >= s.askAgainAt(from) {
		s.ask(now, address, from)
	}
}

// ask puts the next question to a member, or the one that is open again.
func (s *Server) ask(now float64, address string, from *source) {
	if from.id == 0 {
		s.lastID++
		from.id, from.again = s.lastID, 0
	} else {
		from.again++
	}
	from.askedAt, from.asking = now, true
	s.send(address, &meshpb.Message{Id: from.id, SyncRequest: &meshpb.SyncRequest{SourceLife: from.life, Position: from.position,
		Part: from.part.Index, Parts: from.part.Of, Keys: from.fetching}})
}

// heardSyncRequest gives a page, unless this server lacks something itself. It goes once the disk has the view: who reads it counts on
// this server to take part in no older ballot any more, also after a loss of power.
func (s *Server) heardSyncRequest(from string, id uint64, r *meshpb.SyncRequest) {
	if !s.Voting() {
		return
	}
	read := r.Position
	if r.SourceLife != s.o.Life {
		read = 0
	}
	answer := &meshpb.SyncPage{SourceLife: s.o.Life, Position: read}
	if len(r.Keys) > 0 {
		answer.Entries = s.registers.EntriesOf(r.Keys)
	} else {
		answer.Entries, answer.Position, answer.Last = s.registers.PartialPage(read, register.Part{Index: r.Part, Of: r.Parts})
	}
	s.out.After = append(s.out.After, after(from, &meshpb.Message{Id: id, SyncPage: answer}))
}

// heardSyncPage takes the answer to the question that is open. Any other may be one to an earlier life, which had read what came
// before the page.
func (s *Server) heardSyncPage(now float64, member view.Member, id uint64, p *meshpb.SyncPage) {
	from := s.catchup.sources[member.Address]
	if from == nil || id != from.id || s.Voting() || !slices.Contains(s.view().Members, member) {
		return
	}
	if from.life != p.SourceLife || from.member != member {
		*from = source{life: p.SourceLife, member: member, part: from.part}
	}
	lacking := s.registers.Merge(now, p.Entries)
	from.heardAt, from.asking, from.id = now, false, 0
	if from.fetching != nil {
		from.fetched(p.Entries)
	} else {
		s.readPage(now, from, p, lacking)
	}
	s.fetchLacking(now)
}

// readPage goes on behind a page.
func (s *Server) readPage(now float64, from *source, p *meshpb.SyncPage, lacking map[string]register.Ballot) {
	from.position = p.Position
	if from.lacking == nil {
		from.lacking = map[string]register.Ballot{}
	}
	maps.Copy(from.lacking, lacking)
	if !p.Last {
		s.follow(now, from.member.Address, from)
		return
	}
	from.readEpoch, from.askedAt = s.view().Epoch, now
}

// fetched notes that a member has answered for some keys. One that it no longer holds has grown old.
func (from *source) fetched(entries []*meshpb.Entry) {
	from.fetching = nil
	for _, e := range entries {
		delete(from.lacking, e.Key)
	}
}

// fetchLacking asks members by key for what they told without a value and nobody else has sent. It waits for those that are still sending
// pages: most of it comes from them.
func (s *Server) fetchLacking(now float64) {
	for _, from := range s.catchup.sources {
		if from.asking && from.fetching == nil && now < from.heardAt+pageGiveUp {
			return
		}
	}
	for _, address := range sorted(s.catchup.sources) {
		from := s.catchup.sources[address]
		if from.readEpoch == 0 || from.asking || s.Voting() {
			continue
		}
		from.fetching = s.stillLacking(from)
		if from.fetching != nil {
			s.ask(now, address, from)
			continue
		}
		from.complete, from.epoch, from.readEpoch = true, from.readEpoch, 0
		s.reviewCatchup(now)
	}
}

// stillLacking gives keys that a member has told of and that are newer there than here, as many as are asked for at once.
func (s *Server) stillLacking(from *source) (keys []string) {
	for _, key := range sorted(from.lacking) {
		if !s.registers.Lacks(key, from.lacking[key]) {
			delete(from.lacking, key)
			continue
		}
		if keys = append(keys, key); len(keys) == keysAtOnce {
			break
		}
	}
	return keys
}

// reviewCatchup looks whether enough has been read to join, or to vote.
func (s *Server) reviewCatchup(now float64) {
	c := &s.catchup
	read := func(needed func(*source) bool) bool {
		return s.view().OldQuorum(func(m view.Member) bool {
			from := c.sources[m.Address]
			return from != nil && from.member == m && needed(from)
		})
	}
	if !c.caughtUp && read(func(from *source) bool { return from.complete }) {
		c.caughtUp = true
		registers, _ := s.registers.Size()
		s.o.Log("caught up", "registers", registers, "seconds", now-c.began)
		s.membership.joinAt = 0
	}
	joiner, _ := s.view().Joiner()
	if joiner != s.self || now < c.syncingTill || !read(func(from *source) bool { return from.epoch == s.view().Epoch }) {
		return
	}
	c.syncingTill = now + syncWithin
	epoch := s.view().Epoch
	s.whenSynced(func(float64) { // not in one batch: of one that is cut off any part may be there
		if s.view().Epoch != epoch {
			return
		}
		s.put(nameSynced, word(epoch))
		s.whenSynced(func(now float64) { s.joinSynced(now, epoch) })
	})
}

// joinSynced has this joiner vote: its disk holds everything, and says so.
func (s *Server) joinSynced(now float64, epoch uint64) {
	if s.view().Epoch != epoch {
		return
	}
	s.catchup.syncedEpoch = epoch
	s.vote(now)
	s.propagation.wantWhole = true
	s.askToJoin()
}
