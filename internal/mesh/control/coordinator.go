package control

import (
	"slices"

	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/rendezvous"
	"beechwing/internal/mesh/view"
)

// The coordinator is the member that changes the view: it chooses who joins for whom, has the joint view chosen, and completes or abandons it.
// Two coordinators are harmless, as the register of views takes one successor.

// Times are in seconds.
const (
	// replaceAfter is for how long a member is silent before it is exchanged, where somebody can take its place. Larger: the tolerance is
	// whole later. Smaller: a member that is only slow is exchanged, and reads everything anew.
	replaceAfter = 1.5

	// joinerGone is for how long a joiner, or the majority of the new members, is silent before the change is abandoned. Larger: nothing is
	// served for longer in a joint view without its new majority. Smaller: a joiner that reads on a slow machine is given up.
	joinerTimeout = 1.5

	// coordinateIn is how long after its start a server waits before it begins a change: others' digests have to reach it first. Larger:
	// the first change is later. Smaller: members that it has not heard yet count as silent.
	coordinatorStartDelay = 0.4

	coordinatorKey = "coordinator"
)

// coordinates says whether this server is the one to change the view: the first in order that is neither silent nor leaving, and still
// has the disk with which it is a member.
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

// lostDisk says whether a server at a member's address asks to join with another disk: the member is gone for good, however short a
// time it has been silent.
func (s *Server) lostDisk(address string) bool {
	waiting := s.membership.standbys[address]
	return waiting != nil && !s.view().Has(waiting.member)
}

func (s *Server) tickCoordinator(now float64) {
	m := &s.membership
	for address, waiting := range m.standbys {
		gone := now > waiting.heardAt+standbyTimeout || s.view().Has(waiting.member) // silent, or a member by now
		if gone && !s.isJoiner(waiting.member) {
			delete(m.standbys, address)
		}
	}
	if m.changeInProgress || m.leaving || !s.canChangeView(now) || !s.isCoordinator(now) || now < s.startedAt+coordinatorStartDelay {
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

// mayChangeView says whether a change of the view begun here can come to an end: it takes a majority of the members, in a joint view of
// the old ones, and no contact with the new ones.
func (s *Server) canChangeView(now float64) bool {
	return s.Voting() && !s.disk.failing && s.view().OldQuorum(func(m view.Member) bool { return s.isReachable(now, m) })
}

// confirmed says whether a majority of the new members, the joiner not counted, has acknowledged a digest that was sent since the change is
// wanted. A member that is only known to have been in reach lately may be gone, and a joint view without its new majority serves
// nobody until it is abandoned.
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

// nextView says which view is to follow, if any.
func (s *Server) nextView(now float64) (next view.View, change bool) {
	v := s.view()
	if joiner, found := v.Joiner(); found {
		waiting := s.membership.standbys[joiner.Address]
		known := waiting != nil && waiting.member == joiner
		switch {
		case waiting != nil && !known: // another disk is at its address: the joiner of an old proposal, which is gone for good
			return v.Abandon(), true
		case now > s.membership.adoptedAt+joinerTimeout && !s.newMajorityAlive(now):
			return v.Abandon(), true
		case known && waiting.syncedEpoch == v.Epoch:
			return v.Complete(), true
		case known && now < waiting.heardAt+joinerTimeout, now < s.membership.adoptedAt+joinerTimeout:
			return view.View{}, false
		}
		return v.Abandon(), true
	}
	return s.planExchange(now)
}

// newMajorityHeard says whether a majority of the members of the view to come has been heard of lately. Without it the change can only
// be abandoned, also where the joiner has read everything.
func (s *Server) newMajorityAlive(now float64) bool {
	return s.view().NewQuorum(func(m view.Member) bool {
		if waiting := s.membership.standbys[m.Address]; waiting != nil && waiting.member == m {
			return now < waiting.heardAt+joinerTimeout
		}
		return m == s.self || !s.silent(now, m.Address, joinerTimeout)
	})
}

// exchange chooses a joiner and the member whose place it takes. A disk that came back empty takes the place of what it was; then go
// the members that are silent, then those that leave.
func (s *Server) planExchange(now float64) (next view.View, change bool) {
	v := s.view()
	var joiners []view.Member
	for _, address := range sorted(s.membership.standbys) {
		waiting := s.membership.standbys[address]
		if !waiting.caughtUp || now > waiting.heardAt+standbyTimeout || v.Has(waiting.member) {
			continue
		}
		at := slices.IndexFunc(v.Members, func(m view.Member) bool { return m.Address == address })
		switch {
		case at < 0:
			joiners = append(joiners, waiting.member)
		case s.survivesWithout(now, waiting.member, v.Members[at]):
			return v.Join(waiting.member, v.Members[at]), true
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

// goesOnWithout says whether the joint view would have its quorums, and lose none by the loss of the joiner: that takes a majority of the
// new members without it.
func (s *Server) survivesWithout(now float64, joiner, leaver view.Member) bool {
	joint := s.view().Join(joiner, leaver)
	return joint.NewQuorum(func(m view.Member) bool { return m != joiner && s.isReachable(now, m) })
}

// changeView has the next view chosen. Whatever the register turns out to hold for the next epoch is adopted, whoever proposed it.
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
