package control

// diskState is whether this server's disk accepts writes.
type diskState struct {
	failing bool
	reason  string
}

// SetDiskState tells the server that its disk has begun to fail or stall, or accepts writes again. While the disk fails, no
// message that waits for a write is sent, so no change can commit: orders and claims are refused at once, and this server changes
// no view. It still distributes what is in force, which it learns from the other servers.
func (s *Server) SetDiskState(now float64, failing bool, reason string) {
	s.disk = diskState{failing: failing, reason: reason}
	if failing {
		s.registers.Abort(now)
	}
}

// canCommit reports whether a register change started here can complete.
func (s *Server) canCommit(now float64) bool { return s.commitObstacle(now) == "" }

// commitObstacle returns why no register change started here can complete; empty: no reason is known.
func (s *Server) commitObstacle(now float64) string {
	switch {
	case !s.Voting():
		return "this server does not vote"
	case !s.inContact(now):
		return "no quorum is reachable"
	case s.disk.failing:
		return "the disk accepts no writes"
	}
	return ""
}
