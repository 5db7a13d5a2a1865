package failover

import (
	"math"
	"slices"
)

// Version is the format version of the plans, reports and messages of this build. Messages of any other version are
// dropped.
const Version = 1

// Plan is a routing plan: for each source zone, the fraction of its requests that goes to each target zone. Epoch
// orders plans and Leader breaks ties. A newer plan supersedes an older one.
type Plan struct {
	Epoch  uint64     `codec:"e"`
	Leader string     `codec:"w"`
	Reason string     `codec:"r"` // for operators
	Zones  []ZonePlan `codec:"z"` // sorted by zone name

	// Learned capacity of the fleet in requests per second per unit of warm weight; 0: not known. At SoftCapacity
	// answers are fast, at HardCapacity they are not yet late.
	SoftCapacity float64 `codec:"b"`
	HardCapacity float64 `codec:"k"`
}

// ZonePlan is what a plan says about one zone, as a source of requests and as a target.
type ZonePlan struct {
	Zone    string  `codec:"z"`
	Shares  []Share `codec:"s"` // of its requests, its own zone first; zones not listed get none
	Refused float64 `codec:"r"` // fraction of its requests for which no zone has capacity

	// State that the next leader needs to continue from this plan.
	Demand         float64          `codec:"d"` // requests per second from its clients
	WeightFraction float64          `codec:"b"` // fraction of its weight that counts as capacity
	Restricted     []RestrictedPath `codec:"o"` // paths from this zone that are ejected or ramping up
}

// Share is the fraction of a source zone's requests that goes to one target zone. A target with fraction 0 takes only
// requests for which the other targets have no capacity.
type Share struct {
	Zone     string  `codec:"z"`
	Fraction float64 `codec:"p"`
}

// RestrictedPath is a path that is ejected, or that is ramping up after an ejection.
type RestrictedPath struct {
	Zone            string  `codec:"z"`
	SecondsLeft     float64 `codec:"f"` // until the ejection ends
	EjectionSeconds float64 `codec:"h"` // length of the latest ejection
	RampFraction    float64 `codec:"r"` // fraction of the source's requests allowed on the path; 0: ejected
}

// NewerThan reports whether p supersedes other.
func (p *Plan) NewerThan(other *Plan) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch > other.Epoch
	}
	return p.Leader > other.Leader
}

// Zone returns the plan's entry for a zone, or nil if there is none.
func (p *Plan) Zone(zone string) *ZonePlan {
	if i := slices.IndexFunc(p.Zones, func(zonePlan ZonePlan) bool { return zonePlan.Zone == zone }); i >= 0 {
		return &p.Zones[i]
	}
	return nil
}

// minShareChange is the smallest change of a share that is worth a new plan.
const minShareChange = 0.03

// similar reports whether two entries send requests to the same zones in nearly the same fractions.
func (z *ZonePlan) similar(other *ZonePlan) bool {
	return z.Zone == other.Zone && nearlyEqual(z.Refused, other.Refused) &&
		slices.EqualFunc(z.Shares, other.Shares, func(x, y Share) bool {
			return x.Zone == y.Zone && nearlyEqual(x.Fraction, y.Fraction)
		})
}

// similar reports whether the entries of two plans are similar one by one.
func (p *Plan) similar(other *Plan) bool {
	return slices.EqualFunc(p.Zones, other.Zones, func(a, b ZonePlan) bool { return a.similar(&b) })
}

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) < minShareChange && (a > 0) == (b > 0) }

// sameTargets reports whether every source has the same target zones in both plans, that is, whether both exclude the
// same paths.
func (p *Plan) sameTargets(other *Plan) bool {
	return slices.EqualFunc(p.Zones, other.Zones, func(a, b ZonePlan) bool {
		return a.Zone == b.Zone && slices.EqualFunc(a.Shares, b.Shares, func(x, y Share) bool { return x.Zone == y.Zone })
	})
}
