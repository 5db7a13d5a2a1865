package failover

import (
	"math"
	"slices"
)

// Message is a word between members.
type Message struct {
	Version int     `codec:"v"`
	From    string  `codec:"n"`
	Seq     uint64  `codec:"q"` // grows with each word of a sender: older ones are dropped
	Epoch   uint64  `codec:"e"` // of the sender's plan
	Author  string  `codec:"w"`
	Report  *Report `codec:"r"`
	Orphan  bool    `codec:"o"` // the sender hears nothing of its author
	Plan    *Plan   `codec:"p"`
	Digest  uint64  `codec:"d"` // of the orders that the sender knows
	Orders  []Order `codec:"x"`
	Answer  bool    `codec:"y"` // and gets none
}

// Outgoing is a message and whom it is for.
type Outgoing struct {
	To string
	Message
}

const (
	mostZones = 256
	mostName  = 256
)

// sound says whether a word can be used: bounded, and with numbers that are numbers.
func (m *Message) sound() bool {
	ok := len(m.From) <= mostName && len(m.Author) <= mostName
	if r := m.Report; r != nil {
		ok = ok && r.Member == m.From && len(r.Zone) <= mostName && len(r.Flows) <= mostZones && positive(r.Span, r.Taken)
		for _, f := range r.Flows {
			ok = ok && len(f.Zone) <= mostName && f.Row >= 0 && positive(f.Answered, f.Lost, f.Late, f.Load, f.Since, f.LostAgo) && f.Load <= 1
		}
	}
	ok = ok && len(m.Orders) <= mostOrders
	for _, o := range m.Orders {
		ok = ok && o.Zone != "" && len(o.Zone) <= mostName && len(o.By) <= mostName && positive(o.At)
	}
	if m.Plan != nil {
		ok = ok && m.Plan.sound()
	}
	return ok
}

func (p *Plan) sound() bool {
	ok := len(p.Rows) > 0 && len(p.Rows) <= mostZones && p.Leader != "" && positive(p.Well, p.Most) && len(p.Leader) <= mostName
	for _, r := range p.Rows {
		sum := r.Refused
		ok = ok && len(r.Zone) <= mostName && positive(r.Refused, r.Part, r.Demand) && len(r.Shares) <= mostZones && len(r.Out) <= mostZones
		for _, s := range r.Shares {
			ok = ok && len(s.Zone) <= mostName && positive(s.Fraction)
			sum += s.Fraction
		}
		for _, o := range r.Out {
			ok = ok && len(o.Zone) <= mostName && positive(o.For, o.Hold, o.Ramp) && o.Ramp <= 1
		}
		ok = ok && (len(r.Shares) == 0 || math.Abs(sum-1) < 1e-3)
	}
	return ok
}

func positive(numbers ...float64) bool {
	return !slices.ContainsFunc(numbers, func(x float64) bool { return !(x >= 0 && x <= 1e12) })
}
