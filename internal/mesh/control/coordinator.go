package control

import (
	"slices"

	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/view"
)

// The coordinator is the member that changes the view. It selects the joiner and the member to replace, proposes the joint view,
// and completes or abandons the change. Two coordinators at a time are harmless, because the register of the view takes one
// successor.

// Times are in seconds.
const (
	// replaceAfter is how long a member has to be silent before it is replaced, if a standby is available. Larger: the mesh stays
	// below its tolerance for longer. Smaller: a member that is only slow is replaced, and has to read all registers again.
	replaceAfter = 1.5

	// joinerTimeout is how long the joiner, or the majority of the new members, may be silent before the change is abandoned.
	// Larger: a joint view without a majority of its new members serves no requests for longer. Smaller: a joiner that reads
	// slowly is abandoned.
	joinerTimeout = 1.5

	// coordinatorStartDelay is how long a server waits after its start before it proposes a change, so that digests of the others
	// can arrive. Larger: the first change comes later. Smaller: members not heard yet count as silent.
	coordinatorStartDelay = 0.4

	coordinatorKey = "coordinator"
)

// isCoordinator reports whether this server is the one to change the view: the first member in rendezvous order that is neither
// silent nor leaving and still has the disk with which it is a member.
func (s *Server) isCoordinator(now float64) bool {
	for _, address := range rendezvous.Order(coordinatorKey, s.view().RetainedAddresses()) {
		if address == s.options.Self {
			return true
		}
		if !s.silent(now, address, replaceAfter) && !s.contact.leaving(address) && !s.lostDisk(address) {
			return false
		}
	}
	return false
}

// lostDisk reports whether a server at a member's address asks to join with another disk. Then the member is permanently lost,
// however recently it was heard.
func (s *Server) lostDisk(address string) bool {
	candidate := s.membership.standbys[address]
	return candidate != nil && !s.view().Has(candidate.member)
}

func (s *Server) tickCoordinator(now float64) {
	m := &s.membership
	for address, candidate := range m.standbys {
		gone := now > candidate.heardAt+standbyTimeout || s.view().Has(candidate.member) // silent, or already a member
		if gone && !s.isJoiner(candidate.member) {
			delete(m.standbys, address)
		}
	}
	if m.changeInProgress || m.leaving || !s.canChangeView(now) || !s.isCoordinator(now) ||
		now < s.startedAt+coordinatorStartDelay {
		return
	}
	next, change := s.nextView(now)
	switch {
	case !change:
		m.changeWantedSince = 0
	case !next.Joint() || s.newMajorityAcknowledged(now, next):
		m.changeWantedSince = 0
		s.proposeView(now, next)
	}
}

// canChangeView reports whether a change of the view proposed here can complete. The register of the view needs a majority of the
// members, or of the old members in a joint view; contact with the new members is not needed.
func (s *Server) canChangeView(now float64) bool {
	return s.Voting() && !s.disk.failing && s.view().OldQuorum(func(m view.Member) bool { return s.isReachable(now, m) })
}

// newMajorityAcknowledged reports whether a majority of the new members, not counting the joiner, has acknowledged a digest sent
// since this server first wanted the change. Recent contact alone does not suffice: such a member may be gone by now, and a joint
// view without a majority of its new members serves no requests until it is abandoned.
func (s *Server) newMajorityAcknowledged(now float64, joint view.View) bool {
	m := &s.membership
	if m.changeWantedSince == 0 {
		m.changeWantedSince, s.propagation.nextDigestAt = now, 0
		return false
	}
	joiner, _ := joint.Joiner()
	return joint.NewQuorum(func(member view.Member) bool {
		return member == s.self || member != joiner && s.contact.acknowledgedSince(member, m.changeWantedSince)
	})
}

// nextView returns the view to propose. change is false if the present view should stay.
func (s *Server) nextView(now float64) (next view.View, change bool) {
	v := s.view()
	if joiner, found := v.Joiner(); found {
		candidate := s.membership.standbys[joiner.Address]
		known := candidate != nil && candidate.member == joiner
		switch {
		case candidate != nil && !known: // the joiner of an old proposal lost its disk: another disk is at its address now
			return v.Abandon(), true
		case now > s.membership.adoptedAt+joinerTimeout && !s.newMajorityAlive(now):
			return v.Abandon(), true
		case known && candidate.syncedEpoch == v.Epoch:
			return v.Complete(), true
		case known && now < candidate.heardAt+joinerTimeout, now < s.membership.adoptedAt+joinerTimeout:
			return view.View{}, false
		}
		return v.Abandon(), true
	}
	return s.planReplacement(now)
}

// newMajorityAlive reports whether a majority of the members of the coming view has been heard recently. Without that majority
// the change can only be abandoned, even if the joiner has read everything.
func (s *Server) newMajorityAlive(now float64) bool {
	return s.view().NewQuorum(func(m view.Member) bool {
		if candidate := s.membership.standbys[m.Address]; candidate != nil && candidate.member == m {
			return now < candidate.heardAt+joinerTimeout
		}
		return m == s.self || !s.silent(now, m.Address, joinerTimeout)
	})
}

// planReplacement selects a joiner and the member that it replaces. A member whose disk was lost is replaced first, by the server
// at its own address, then a silent member, then a leaving one. If none of these can be replaced, a joiner is added while there
// are fewer members than the tolerance requires.
func (s *Server) planReplacement(now float64) (next view.View, change bool) {
	v := s.view()
	var joiners []view.Member
	for _, address := range sorted(s.membership.standbys) {
		candidate := s.membership.standbys[address]
		if !candidate.caughtUp || now > candidate.heardAt+standbyTimeout || v.Has(candidate.member) {
			continue
		}
		at := slices.IndexFunc(v.Members, func(m view.Member) bool { return m.Address == address })
		switch {
		case at < 0:
			joiners = append(joiners, candidate.member)
		case s.survivesWithout(now, candidate.member, v.Members[at]):
			return v.Join(candidate.member, v.Members[at]), true
		}
	}
	if len(joiners) == 0 {
		return view.View{}, false
	}
	for _, m := range v.Members {
		if m != s.self && s.silent(now, m.Address, replaceAfter) && s.survivesWithout(now, joiners[0], m) {
			return v.Join(joiners[0], m), true
		}
	}
	for _, m := range v.Members {
		if m != s.self && s.contact.leaving(m.Address) && s.survivesWithout(now, joiners[0], m) {
			return v.Join(joiners[0], m), true
		}
	}
	if len(v.Members) < 2*s.options.Tolerance+1 {
		return v.Join(joiners[0], view.Member{}), true
	}
	return view.View{}, false
}

// survivesWithout reports whether the joint view would have a majority of its new members now and would keep it if the joiner
// were lost: the members that are reachable now have to form that majority without the joiner. canChangeView checks the old
// members.
func (s *Server) survivesWithout(now float64, joiner, leaver view.Member) bool {
	joint := s.view().Join(joiner, leaver)
	return joint.NewQuorum(func(m view.Member) bool { return m != joiner && s.isReachable(now, m) })
}

// proposeView has the next view chosen. It adopts whichever view the register holds for the next epoch, even one that another
// server proposed.
func (s *Server) proposeView(now float64, next view.View) {
	m := &s.membership
	m.changeInProgress = true
	s.options.Log("changing view", "epoch", next.Epoch, "members", next.Members, "next", next.Next)
	edit := func(old []byte) []byte {
		held, err := view.Decode(old)
		if err != nil || held.Epoch >= next.Epoch {
			return nil
		}
		return next.Encode()
	}
	s.registers.Update(now, register.ViewKey, edit, func(_ uint64, body []byte, ok bool) {
		m.changeInProgress = false
		chosen, err := view.Decode(body)
		if !ok || err != nil || chosen.Epoch != s.view().Epoch+1 || chosen.Validate() != nil {
			return
		}
		before := s.view()
		s.adoptView(now, chosen)
		s.broadcastView(before)
		s.broadcastView(chosen)
	})
}
