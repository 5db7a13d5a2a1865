package failover

import (
	"math"
	"slices"
)

// Version is that of the plans and reports made here. Words of another are not understood, and dropped.
const Version = 1

// Plan says which share of each zone's requests goes where. Epoch and Author order plans; a later one goes before an earlier.
type Plan struct {
	Epoch  uint64     `codec:"e"`
	Leader string     `codec:"w"`
	Reason string     `codec:"r"` // for people
	Rows   []ZonePlan `codec:"z"` // by zone, in order of the names

	// Requests a second by unit of warm weight at which the fleet answers well, and at which it is not yet late; 0: not known.
	Well float64 `codec:"b"`
	Most float64 `codec:"k"`
}

// ZonePlan is what a plan says of a zone: as a source, and as a target.
type ZonePlan struct {
	Zone    string  `codec:"z"`
	Shares  []Share `codec:"s"` // of its requests, its own zone first; zones not named are out for it
	Refused float64 `codec:"r"` // part of its requests that finds no room anywhere

	// What the next author needs to go on from here.
	Demand float64 `codec:"d"` // requests a second from its callers
	Part   float64 `codec:"b"` // of its weight for which it counts
	Out    []Out   `codec:"o"` // ways from here that are given up
}

// Share is a target's part of a source's requests. With 0 it takes what finds no room at the others.
type Share struct {
	Zone     string  `codec:"z"`
	Fraction float64 `codec:"p"`
}

// Out is a way that is given up, or tried again.
type Out struct {
	Zone string  `codec:"z"`
	For  float64 `codec:"f"` // seconds left
	Hold float64 `codec:"h"` // seconds for which it was given up this time
	Ramp float64 `codec:"r"` // part of the source's requests that may go there; 0: it is out
}

// After says whether p goes before q.
func (p *Plan) After(q *Plan) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch > q.Epoch
	}
	return p.Leader > q.Leader
}

// Zone is what the plan says of a zone; nil: nothing.
func (p *Plan) Zone(zone string) *ZonePlan {
	if i := slices.IndexFunc(p.Rows, func(r ZonePlan) bool { return r.Zone == zone }); i >= 0 {
		return &p.Rows[i]
	}
	return nil
}

// sameStep is the difference between two shares that is not worth a new plan.
const sameStep = 0.03

// like says whether two rows send requests to the same places, nearly.
func (r *ZonePlan) like(q *ZonePlan) bool {
	return r.Zone == q.Zone && near(r.Refused, q.Refused) &&
		slices.EqualFunc(r.Shares, q.Shares, func(x, y Share) bool { return x.Zone == y.Zone && near(x.Fraction, y.Fraction) })
}

// like says so of all rows.
func (p *Plan) like(q *Plan) bool {
	return slices.EqualFunc(p.Rows, q.Rows, func(a, b ZonePlan) bool { return a.like(&b) })
}

func near(a, b float64) bool { return math.Abs(a-b) < sameStep && (a > 0) == (b > 0) }

// sameWays says whether two plans have given up the same ways.
func (p *Plan) sameWays(q *Plan) bool {
	return slices.EqualFunc(p.Rows, q.Rows, func(a, b ZonePlan) bool {
		return a.Zone == b.Zone && slices.EqualFunc(a.Shares, b.Shares, func(x, y Share) bool { return x.Zone == y.Zone })
	})
}
