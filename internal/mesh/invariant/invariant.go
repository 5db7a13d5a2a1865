// Package invariant counts violations of invariants of a state machine at run time. A violation is counted and reported, and
// the state machine continues, because ending the process would add an outage to the fault. Tests fail on any violation. Checks
// is the main type.
package invariant

import "maps"

// Name is the name of an invariant. It is used as a metric label.
type Name string

// The invariants of the control plane.
const (
	// BallotSuperseded: a change replaces a ballot by a newer one only if a member rejected the ballot, the view has changed,
	// or the first ballot was not prepared. Slow answers are no reason: restarting late work on an overloaded server makes all
	// other late work later.
	BallotSuperseded Name = "ballot superseded without a refusal"
	// BallotUnique: no ballot is used for two values.
	BallotUnique Name = "two values at one ballot"
	// PromiseKept: no value is accepted at an older ballot than the one accepted before.
	PromiseKept Name = "accepted below what was accepted"
	// ConfigurationMonotonic: the newest configuration version known to be chosen never decreases while a process runs.
	ConfigurationMonotonic Name = "chosen configuration falls"
	// ConfirmedIsChosen: an order is confirmed only by a server that knows the order's version, or a newer one, to be chosen.
	ConfirmedIsChosen Name = "confirmed order is not chosen"
	// JoinerCaughtUp: a joiner votes only in the epoch for which its disk holds everything that was chosen before.
	JoinerCaughtUp Name = "joiner votes without what was chosen"
)

// Checks counts violations. The zero value has none and reports to nobody.
type Checks struct {
	OnViolation func(name Name, args ...any) // called for each violation, unless nil
	counts      map[Name]uint64
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
	if c.OnViolation != nil {
		c.OnViolation(name, args...)
	}
}

// Counts returns the number of violations so far, by invariant.
func (c *Checks) Counts() map[Name]uint64 { return maps.Clone(c.counts) }
