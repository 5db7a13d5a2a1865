package places

// Figures is what operators can read of a Book. Counters run from its making.
type Figures struct {
	Most    int            // the limit
	Held    [kinds]int     // connections by Kind
	Ended   [causes]uint64 // told to end, by Cause
	Entered uint64         // given a place
	Refused uint64         // beyond the limit, with none to give way
	Reused  uint64         // requests on a connection that had been idle
	Callers int            // addresses that hold any
	Press   float64        // 0 up to half of the places taken, 1 with all
}

// Figures gives the state of now.
func (b *Book) Figures() Figures {
	f := b.figures
	f.Most, f.Callers, f.Press = b.cfg.Most, len(b.callers), b.press()
	return f
}

// Held gives the connection that has been of a kind for longest; nil: none is.
func (b *Book) Held(k Kind) *Seat { return b.seats[k].front() }
