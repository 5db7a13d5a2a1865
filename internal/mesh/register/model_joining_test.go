package register

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/view"
)

// This file has the part of modelServer that catches up a joiner and restores the fast path after a change of view.

// requestState asks the members for their registers or, at a voting server, for the keys whose home this server is.
func (s *modelServer) requestState() {
	if s.registers.Voting() {
		s.requestHomedKeys()
		return
	}
	if !s.view.Known() {
		return
	}
	for _, m := range s.view.Members {
		if m.Address == s.address {
			continue
		}
		from := s.sources[m.Address]
		if from == nil {
			from = &modelSource{}
			s.sources[m.Address] = from
		}
		s.lastID++
		from.requestID = s.lastID
		s.send(m.Address, &meshpb.Message{Id: from.requestID,
			SyncRequest: &meshpb.SyncRequest{SourceLife: from.life, Position: from.position}})
	}
}

func (s *modelServer) handleSyncRequest(m modelMessage) {
	if !s.registers.Voting() {
		return
	}
	request := m.message.SyncRequest
	after := request.Position
	if request.SourceLife != s.life {
		after = 0
	}
	page, position, last := s.registers.Page(after)
	answer := &meshpb.Message{Id: m.message.Id, SyncPage: &meshpb.SyncPage{SourceLife: s.life, Position: position,
		Last: last, Entries: page}}
	s.sendSynced(m.from.Address, answer)
}

func (s *modelServer) handleSyncPage(m modelMessage) {
	from, page := s.sources[m.from.Address], m.message.SyncPage
	if from == nil || m.message.Id != from.requestID || s.registers.Voting() || !slices.Contains(s.view.Members, m.from) {
		return
	}
	s.registers.Merge(s.cluster.now, page.Entries)
	*from = modelSource{life: page.SourceLife, position: page.Position, member: m.from}
	if page.Last {
		from.epoch = s.view.Epoch
	}
	s.checkSyncComplete()
}

// requestHomedKeys asks all other members for the keys whose home this server is.
func (s *modelServer) requestHomedKeys() {
	if s.view.Joint() || s.view.Epoch == 1 || s.registers.KnowsHomedKeys() {
		return
	}
	for _, m := range s.view.Members {
		if m.Address != s.address {
			s.send(m.Address, &meshpb.Message{HomedRequest: &meshpb.HomedRequest{}})
		}
	}
}

func (s *modelServer) handleHomedRequest(m modelMessage) {
	if !s.registers.Voting() || s.view.Joint() {
		return
	}
	answer := &meshpb.Homed{Last: true}
	answer.Hashes, _, _ = s.registers.HomedKeyHashes(m.from.Address, 0)
	s.sendSynced(m.from.Address, &meshpb.Message{Homed: answer})
}

func (s *modelServer) handleHomed(m modelMessage) {
	if s.cluster.fault == homedKeysIgnored { // injected fault: the keys in the answer are ignored
		m.message.Homed.Hashes = nil
	}
	s.registers.AddHomedKeys(m.from, m.message.Homed.Hashes, m.message.Homed.Last)
}

// checkSyncComplete checks whether a majority of the old members has sent everything. The joiner announces this only
// once everything that it read is on its disk.
func (s *modelServer) checkSyncComplete() {
	joiner, _ := s.view.Joiner()
	if joiner != s.self || s.syncFinishing || !s.view.OldQuorum(func(m view.Member) bool {
		from := s.sources[m.Address]
		return from != nil && from.member == m && from.epoch == s.view.Epoch
	}) {
		return
	}
	s.syncFinishing = true
	epoch := s.view.Epoch
	s.collectEffects()
	s.whenSynced(func() {
		s.put(modelSyncedName, encodeUint64(epoch))
		s.whenSynced(func() { s.syncFinished(epoch) })
	})
}

func (s *modelServer) syncFinished(epoch uint64) {
	if s.view.Epoch != epoch {
		return
	}
	s.syncedEpoch = epoch
	s.startVotingIfAllowed()
	s.announceSynced()
}

// announceSynced tells the other members that this joiner has read everything.
func (s *modelServer) announceSynced() {
	if !s.view.Joint() || s.syncedEpoch != s.view.Epoch {
		return
	}
	for _, address := range s.view.Addresses() {
		if address != s.address {
			s.send(address, &meshpb.Message{Join: &meshpb.Join{SyncedEpoch: s.syncedEpoch}})
		}
	}
}
