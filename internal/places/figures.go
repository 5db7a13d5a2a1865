package places

// Stats is what operators can read of a Book. Counters run from its making.
type Stats struct {
	MaxConns int            // the limit
	Held     [kinds]int     // connections by Kind
	Closed   [causes]uint64 // told to end, by Cause
	Added    uint64         // given a place
	Rejected uint64         // beyond the limit, with none to give way
	Reused   uint64         // requests on a connection that had been idle
	Clients  int            // addresses that hold any
	Pressure float64        // 0 up to half of the places taken, 1 with all
}

// Stats gives the state of now.
func (b *ConnTable) Stats() Stats {
	f := b.figures
	f.MaxConns, f.Clients, f.Pressure = b.cfg.MaxConns, len(b.callers), b.press()
	return f
}

// Oldest gives the connection that has been of a kind for longest; nil: none is.
func (b *ConnTable) Oldest(k State) *Conn { return b.seats[k].front() }
