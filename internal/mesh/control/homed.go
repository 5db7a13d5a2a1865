package control

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/view"
)

// The home of a key is the member that normally proposes for it. After a change of view this server asks a majority of the
// members for the keys from earlier epochs whose home it has become. It has to prepare ballots for these keys; claims of all
// other keys take one round trip again (register.HomedKeyHashes). Until the answers are complete, all its claims take two round
// trips.

// homedSource is a member that is asked for its keys.
type homedSource struct {
	life     uint32 // identifies the run of the member's process
	position uint64 // where the next page starts
	request  pageRequest
	heardAt  float64 // of its last page, or when it was first asked
	done     bool
}

// homedState is the progress of the reading in the present epoch.
type homedState struct {
	sources   map[string]*homedSource // by address
	startedAt float64
	requests  int // sent since startedAt
	unusable  int // answers since startedAt to no open request
	nextLogAt float64
}

// homedLogInterval is the number of seconds between log lines about a reading that is not complete.
const homedLogInterval = 2.0

// viewChanged restarts the reading.
func (h *homedState) viewChanged(now float64) {
	*h = homedState{sources: map[string]*homedSource{}, startedAt: now, nextLogAt: now + homedLogInterval}
}

// complete returns the number of members that have sent all their keys.
func (h *homedState) complete() (n int) {
	for _, from := range h.sources {
		if from.done {
			n++
		}
	}
	return n
}

// logHomedProgress logs a reading that takes long.
func (s *Server) logHomedProgress(now float64) {
	h := &s.homed
	if now < h.nextLogAt {
		return
	}
	h.nextLogAt = now + homedLogInterval
	s.options.Log("two round trips", "epoch", s.view().Epoch, "seconds", now-h.startedAt, "complete", h.complete(),
		"needed", s.view().Majority()-1, "asked", len(h.sources), "requests", h.requests, "unusable", h.unusable)
}

// tickHomed asks as many other members as make a majority with this server, and one more for each that has not answered in time.
func (s *Server) tickHomed(now float64) {
	if !s.Voting() || s.view().Joint() || s.membership.epochSettled || s.registers.KnowsHomedKeys() {
		return
	}
	s.logHomedProgress(now)
	remaining := s.view().Majority() - 1
	for _, address := range rendezvous.Order(s.options.Self, s.view().Addresses()) {
		if remaining == 0 {
			return
		}
		if address == s.options.Self {
			continue
		}
		from := s.homed.sources[address]
		if from == nil {
			from = &homedSource{heardAt: now}
			s.homed.sources[address] = from
		}
		if from.done || now < from.heardAt+pageTimeout {
			remaining--
		}
		if !from.done && (!from.request.open || now >= from.request.dueAt()) {
			s.sendHomedRequest(now, address, from)
		}
	}
}

// retryRequest allows the open request to a member to be sent again. The member asked for this server's view, so it did not
// answer a request of a newer epoch than its own.
func (h *homedState) retryRequest(address string) {
	if from := h.sources[address]; from != nil {
		from.request.open = false
	}
}

func (s *Server) sendHomedRequest(now float64, address string, from *homedSource) {
	s.homed.requests++
	id := s.notePageRequest(now, &from.request)
	s.send(address, &meshpb.Message{Id: id,
		HomedRequest: &meshpb.HomedRequest{SourceLife: from.life, Position: from.position}})
}

// handleHomedRequest answers once the view is on disk: the sender relies on this server never again taking part in an older
// ballot, even after a power loss.
func (s *Server) handleHomedRequest(from string, id uint64, r *meshpb.HomedRequest) {
	if !s.Voting() || s.view().Joint() {
		return
	}
	read := r.Position
	if r.SourceLife != s.options.Life {
		read = 0
	}
	answer := &meshpb.Homed{SourceLife: s.options.Life}
	answer.Hashes, answer.Position, answer.Last = s.registers.HomedKeyHashes(from, read)
	s.sendWithView(from, &meshpb.Message{Id: id, Homed: answer})
}

// handleHomed processes the answer to the open request. A member that has restarted sends its keys from the beginning.
func (s *Server) handleHomed(now float64, member view.Member, id uint64, h *meshpb.Homed) {
	from := s.homed.sources[member.Address]
	if from == nil || from.request.id != id || from.done || !slices.Contains(s.view().Members, member) {
		s.homed.unusable++
		return
	}
	from.heardAt = now
	from.request.answered()
	from.life, from.position, from.done = h.SourceLife, h.Position, h.Last
	knew := s.registers.KnowsHomedKeys()
	s.registers.AddHomedKeys(member, h.Hashes, h.Last)
	if !h.Last {
		s.sendHomedRequest(now, member.Address, from)
		return
	}
	if !knew && s.registers.KnowsHomedKeys() {
		s.options.Log("one round trip", "epoch", s.view().Epoch, "seconds", now-s.homed.startedAt, "requests",
			s.homed.requests, "unusable", s.homed.unusable)
	}
}
