// Package throttle implements adaptive client-side throttling. A caller of an overloaded service sends no more than a multiple
// of what the service recently answered, and rejects the rest itself. The load that callers add to an overload is thereby
// bounded, and the service recovers without any signal to its callers.
//
// The method is that of Google's SRE book, "Handling Overload": of the requests of the last seconds, those beyond K times the
// accepted ones are rejected with the probability (requests - K x accepts) / (requests + 1). A request counts
// once its outcome is known, so that a burst to a healthy service is not rejected while its answers are in transit.
package throttle

import "math"

const (
	multiplier  = 2.0 // K: requests sent for each accepted one
	decayTime   = 1.0 // seconds after which a request's weight has decayed to 1/e
	minRequests = 4.0 // requests that are sent whatever was answered: a caller with few requests has no other way to learn
)

// Throttle is one caller's recent history with one service. The zero value has sent nothing.
type Throttle struct {
	requests, accepts float64 // recent counts, decaying exponentially
	decayedAt         float64 // time to which the counts have decayed
}

// Allow reports whether a request may be sent. draw is a random number in [0, 1).
func (t *Throttle) Allow(now, draw float64) bool {
	t.decay(now)
	rejectProbability := (t.requests - multiplier*t.accepts - minRequests) / (t.requests + 1)
	if draw >= rejectProbability {
		return true
	}
	t.requests++
	return false
}

// Accepted counts a request that was answered.
func (t *Throttle) Accepted(now float64) {
	t.decay(now)
	t.requests++
	t.accepts++
}

// Failed counts a request that was rejected or got no answer in time.
func (t *Throttle) Failed(now float64) {
	t.decay(now)
	t.requests++
}

func (t *Throttle) decay(now float64) {
	if elapsed := now - t.decayedAt; elapsed > 0 {
		factor := math.Exp(-elapsed / decayTime)
		t.requests, t.accepts = t.requests*factor, t.accepts*factor
	}
	t.decayedAt = now
}
