package places

// Stats describes a ConnTable for operators. Counters run from the creation of the table.
type Stats struct {
	MaxConns int                // the limit
	Held     [stateCount]int    // connections by State
	Closed   [causeCount]uint64 // connections marked for closing, by Cause
	Added    uint64             // connections admitted within the limit
	Rejected uint64             // connections beyond the limit, with none to evict
	Reused   uint64             // requests on connections that had been idle
	Clients  int                // clients with open connections
	Pressure float64            // 0 while at most half of the limit is in use, 1 at the limit
}

// Stats returns the current statistics.
func (t *ConnTable) Stats() Stats {
	s := t.stats
	s.MaxConns, s.Clients, s.Pressure = t.cfg.MaxConns, len(t.clients), t.pressure()
	return s
}

// Oldest returns the connection that has been in a state for longest, or nil if there is none.
func (t *ConnTable) Oldest(state State) *Conn { return t.byState[state].front() }
