package failover

import (
	"math"
	"slices"
)

// Message is the unit of communication between members.
type Message struct {
	Version      int     `codec:"v"`
	From         string  `codec:"n"`
	Seq          uint64  `codec:"q"` // grows with each message of a sender: older ones are dropped
	Epoch        uint64  `codec:"e"` // of the sender's plan
	Leader       string  `codec:"w"`
	Report       *Report `codec:"r"`
	LeaderSilent bool    `codec:"o"` // the sender hears nothing from the leader
	Plan         *Plan   `codec:"p"`
	Digest       uint64  `codec:"d"` // of the orders that the sender knows
	Orders       []Order `codec:"x"`
	Reply        bool    `codec:"y"` // the message is a reply, which gets no reply in turn
}

// Outgoing is a message and its recipient.
type Outgoing struct {
	To string
	Message
}

const (
	maxZones      = 256
	maxNameLength = 256
)

// valid reports whether a message can be used: its names and lists are bounded, and its numbers are in range.
func (m *Message) valid() bool {
	ok := len(m.From) <= maxNameLength && len(m.Leader) <= maxNameLength
	if report := m.Report; report != nil {
		ok = ok && report.Member == m.From && len(report.Zone) <= maxNameLength && len(report.Targets) <= maxZones &&
			inRange(report.SpanSeconds, report.RequestRate)
		for _, stats := range report.Targets {
			ok = ok && len(stats.Zone) <= maxNameLength && stats.FailureStreak >= 0 &&
				inRange(stats.AnsweredRate, stats.FailedRate, stats.TimedOutRate, stats.Load,
					stats.SinceAnswer, stats.SinceFailure) && stats.Load <= 1
		}
	}
	ok = ok && len(m.Orders) <= maxOrders
	for _, order := range m.Orders {
		ok = ok && order.Zone != "" && len(order.Zone) <= maxNameLength && len(order.By) <= maxNameLength && inRange(order.At)
	}
	if m.Plan != nil {
		ok = ok && m.Plan.valid()
	}
	return ok
}

// valid reports whether a received plan can be used: it is bounded, and the shares and the refused fraction of each zone
// sum to one.
func (p *Plan) valid() bool {
	ok := len(p.Zones) > 0 && len(p.Zones) <= maxZones && p.Leader != "" && inRange(p.SoftCapacity, p.HardCapacity) &&
		len(p.Leader) <= maxNameLength
	for _, zonePlan := range p.Zones {
		sum := zonePlan.Refused
		ok = ok && len(zonePlan.Zone) <= maxNameLength && inRange(zonePlan.Refused, zonePlan.WeightFraction, zonePlan.Demand) &&
			len(zonePlan.Shares) <= maxZones && len(zonePlan.Restricted) <= maxZones
		for _, share := range zonePlan.Shares {
			ok = ok && len(share.Zone) <= maxNameLength && inRange(share.Fraction)
			sum += share.Fraction
		}
		for _, restricted := range zonePlan.Restricted {
			ok = ok && len(restricted.Zone) <= maxNameLength &&
				inRange(restricted.SecondsLeft, restricted.EjectionSeconds, restricted.RampFraction) &&
				restricted.RampFraction <= 1
		}
		ok = ok && (len(zonePlan.Shares) == 0 || math.Abs(sum-1) < 1e-3)
	}
	return ok
}

// inRange reports whether all numbers are between 0 and 1e12; NaN is not.
func inRange(numbers ...float64) bool {
	return !slices.ContainsFunc(numbers, func(x float64) bool { return !(x >= 0 && x <= 1e12) })
}
