package control

// diskState is how the disk of this server takes writes.
type diskState struct {
	failing bool
	reason  string
}

// SetDiskState tells the server that its disk has begun to fail or to stall, or takes writes again. While it fails nothing that waits
// for the disk is sent, so no promise can be kept: orders and claims are refused at once, and this server changes no view. It goes
// on telling what is in force, which it learns from the others.
func (s *Server) SetDiskState(now float64, failing bool, reason string) {
	s.disk = diskState{failing: failing, reason: reason}
	if failing {
		s.registers.Abort(now)
	}
}

// canPromise says whether a change of a register begun here can come to an end.
func (s *Server) canCommit(now float64) bool { return s.commitObstacle(now) == "" }

// obstacle is why no change of a register can come to an end here; empty: none is known.
func (s *Server) commitObstacle(now float64) string {
	switch {
	case !s.Voting():
		return "it does not vote"
	case !s.inContact(now):
		return "no quorum is in reach"
	case s.disk.failing:
		return "the disk takes no writes"
	}
	return ""
}
