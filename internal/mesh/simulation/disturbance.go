package simulation

// disturbanceSeconds is the time after a fault of a machine, or of one of its links, for which the machine counts as
// disturbed. Rules with a time limit are checked only for undisturbed machines. The operators' pages call this time
// contactMs.
const disturbanceSeconds = 3.0

// noteDisturbance records a fault of machines, or of the links between them, at the present time.
func (w *World) noteDisturbance(addresses ...string) {
	for _, address := range addresses {
		w.disturbedAt[address] = w.Now
	}
}

// undisturbed reports whether machines have had no fault for disturbanceSeconds, and have no blocked or slowed link.
func (w *World) undisturbed(addresses ...string) bool {
	for _, address := range addresses {
		if at, known := w.disturbedAt[address]; known && w.Now < at+disturbanceSeconds {
			return false
		}
	}
	for _, address := range addresses {
		for pair := range w.blocked {
			if pair[0] == address || pair[1] == address {
				return false
			}
		}
		for pair := range w.addedLatency {
			if pair[0] == address || pair[1] == address {
				return false
			}
		}
	}
	return true
}

// controlPlaneUndisturbed reports whether all control servers that are not removed are running and undisturbed.
func (w *World) controlPlaneUndisturbed() bool {
	for _, h := range w.Servers {
		if !h.removed && (!h.up || !w.undisturbed(h.addr)) {
			return false
		}
	}
	return true
}

// Freeze stops the process until Thaw.
func (h *ControlServer) Freeze() {
	h.w.noteDisturbance(h.addr)
	h.freezer.Freeze()
}

// Thaw resumes a frozen process. The inputs that arrived while it was frozen are handled in order.
func (h *ControlServer) Thaw() {
	if h.frozen {
		h.w.noteDisturbance(h.addr)
	}
	h.freezer.Thaw()
}

// Freeze stops the process until Thaw.
func (s *Proxy) Freeze() {
	s.w.noteDisturbance(s.addr)
	s.freezer.Freeze()
}

// Thaw resumes a frozen process. The inputs that arrived while it was frozen are handled in order.
func (s *Proxy) Thaw() {
	if s.frozen {
		s.w.noteDisturbance(s.addr)
	}
	s.freezer.Thaw()
}
