package simulation

// Rules with a bound in time hold for machines that are in touch: nothing has befallen them, or a link of theirs, of late.

// touchAfter is for how many seconds after a trouble a machine is not in touch. (The operators' pages: contactMs.)
const touchAfter = 3.0

// disturbed notes that something befalls machines, or the links between them, now.
func (w *World) disturbed(addresses ...string) {
	for _, address := range addresses {
		w.disturbedAt[address] = w.Now
	}
}

// inTouch says whether machines have been free of trouble for long enough.
func (w *World) inTouch(addresses ...string) bool {
	for _, address := range addresses {
		if at, known := w.disturbedAt[address]; known && w.Now < at+touchAfter {
			return false
		}
	}
	for _, address := range addresses {
		for pair := range w.cuts {
			if pair[0] == address || pair[1] == address {
				return false
			}
		}
		for pair := range w.slow {
			if pair[0] == address || pair[1] == address {
				return false
			}
		}
	}
	return true
}

// settled says whether all control servers have been in touch for long enough.
func (w *World) settled() bool {
	for _, h := range w.Servers {
		if !h.gone && (!h.up || !w.inTouch(h.addr)) {
			return false
		}
	}
	return true
}

// Freeze holds the process up; Thaw lets it go on.
func (h *ControlServer) Freeze() {
	h.w.disturbed(h.addr)
	h.freezer.Freeze()
}

// Thaw lets a frozen process go on. What came meanwhile comes now, in order.
func (h *ControlServer) Thaw() {
	if h.frozen {
		h.w.disturbed(h.addr)
	}
	h.freezer.Thaw()
}

// Freeze holds the process up; Thaw lets it go on.
func (s *Proxy) Freeze() {
	s.w.disturbed(s.addr)
	s.freezer.Freeze()
}

// Thaw lets a frozen process go on. What came meanwhile comes now, in order.
func (s *Proxy) Thaw() {
	if s.frozen {
		s.w.disturbed(s.addr)
	}
	s.freezer.Thaw()
}
