// Package invariant counts violations of what must always hold in a state machine. A check runs wherever the machine runs: a violation
// is counted and told, and the machine goes on, as ending a process would add a loss to a fault. Tests fail on any.
package invariant

import "maps"

// Name names what must hold. Names are labels of a metric.
type Name string

// The invariants of the control plane.
const (
	// BallotSuperseded: a ballot is followed by a newer one of its change only where a member refused it, the view has changed, or the first one
	// was not prepared. Slow answers are no reason: what is begun anew because it is late makes all that is late later.
	BallotSuperseded Name = "ballot superseded without a refusal"
	// BallotUnique: no ballot is used for two values.
	BallotUnique Name = "two values at one ballot"
	// PromiseKept: nothing is accepted below what was accepted before.
	PromiseKept Name = "accepted below what was accepted"
	// ConfigurationRises: the version known to be chosen never falls within a life.
	ConfigurationRises Name = "chosen configuration falls"
	// ConfirmedIsChosen: an order is confirmed only by a server that knows its version, or a newer one, to be chosen.
	ConfirmedIsChosen Name = "confirmed order is not chosen"
	// JoinerHolds: a joiner votes only in the epoch for which its disk holds all that was chosen before.
	JoinerHolds Name = "joiner votes without what was chosen"
)

// Checks counts violations. The zero value has none, and tells nobody.
type Checks struct {
	Violated func(name Name, args ...any) // hears of each violation; nil: nobody does
	counts   map[Name]uint64
}

// Check counts a violation unless the invariant holds.
func (c *Checks) Check(name Name, holds bool, args ...any) {
	if holds {
		return
	}
	if c.counts == nil {
		c.counts = map[Name]uint64{}
	}
	c.counts[name]++
	if c.Violated != nil {
		c.Violated(name, args...)
	}
}

// Counts gives the violations so far, by invariant.
func (c *Checks) Counts() map[Name]uint64 { return maps.Clone(c.counts) }
