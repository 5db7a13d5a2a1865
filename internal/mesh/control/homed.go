package control

import (
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/view"
)

// After a change of view this server asks a majority of the members which keys they hold from earlier epochs whose home it is by now, so
// that claims of all other keys take one round trip again (register.HomedKeyHashes). Until it knows, its claims take two.

// homedAgain is how many seconds a member has to answer before it is asked again, and the next one beside it. Larger: after a loss claims
// take two round trips for longer. Smaller: a busy member looks through its registers twice.
const homedRetryAfter = 0.4

// homedSource is a member that is asked.
type homedSource struct {
	life        uint32
	position    uint64
	requestedAt float64
	requestID   uint64 // of the open question
	done        bool
}

// homedReading is what was read of the present epoch.
type homedState struct {
	sources   map[string]*homedSource // by address
	startedAt float64
}

// viewChanged has everything asked anew.
func (h *homedState) viewChanged(now float64) {
	*h = homedState{sources: map[string]*homedSource{}, startedAt: now}
}

// tickHomed asks as many others as make a majority, and one more for each that has not answered in time.
func (s *Server) tickHomed(now float64) {
	if !s.Voting() || s.view().Joint() || s.membership.epochSettled || s.registers.KnowsHomedKeys() {
		return
	}
	wanted := s.view().Majority() - 1
	for _, address := range rendezvous.Order(s.options.Self, s.view().Addresses()) {
		if wanted == 0 {
			return
		}
		if address == s.options.Self {
			continue
		}
		from := s.homed.sources[address]
		if from == nil {
			from = &homedSource{}
			s.homed.sources[address] = from
			s.sendHomedRequest(now, address, from)
		}
		if from.done || now < from.requestedAt+homedRetryAfter {
			wanted--
			continue
		}
		s.sendHomedRequest(now, address, from)
	}
}

func (s *Server) sendHomedRequest(now float64, address string, from *homedSource) {
	s.lastID++
	from.requestID, from.requestedAt = s.lastID, now
	s.send(address, &meshpb.Message{Id: from.requestID, HomedRequest: &meshpb.HomedRequest{SourceLife: from.life, Position: from.position}})
}

// heardHomedRequest answers once the disk has the view: who asks counts on this server to take part in no older ballot any more, also
// after a loss of power.
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
	s.effects.After = append(s.effects.After, after(from, &meshpb.Message{Id: id, Homed: answer}))
}

// heardHomed takes the answer to the question that is open. A member that has started again tells all from the beginning.
func (s *Server) handleHomed(now float64, member view.Member, id uint64, h *meshpb.Homed) {
	from := s.homed.sources[member.Address]
	if from == nil || from.requestID != id || from.done || !slices.Contains(s.view().Members, member) {
		return
	}
	from.life, from.position, from.done = h.SourceLife, h.Position, h.Last
	knew := s.registers.KnowsHomedKeys()
	s.registers.AddHomedKeys(member, h.Hashes, h.Last)
	if !h.Last {
		s.sendHomedRequest(now, member.Address, from)
		return
	}
	if !knew && s.registers.KnowsHomedKeys() {
		s.options.Log("one round trip", "epoch", s.view().Epoch, "seconds", now-s.homed.startedAt)
	}
}
