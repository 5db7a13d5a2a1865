package control

// diskState is how the disk of this process takes writes.
type diskState struct {
	since   float64
	failing bool
	why     string
}

// DiskState tells the machine that its disk has begun to fail or to stall, or takes writes again. What
// waits for the disk waits for it all the same; this says that it may be long.
func (s *Server) DiskState(now float64, failing bool, why string) {
	s.setDiskState(diskState{since: now, failing: failing, why: why})
}

// setDiskState is where the state goes. Nothing is decided by it yet.
func (s *Server) setDiskState(diskState) {}
