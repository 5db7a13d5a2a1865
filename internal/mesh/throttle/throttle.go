// Package throttle is adaptive throttling at the client: a caller of an overloaded service sends no more than a multiple of what the
// service lately answered, and turns the rest away itself. So what callers add to an overload is bounded by what gets through, and the
// service recovers without being told of anybody.
//
// It is the method of Google's SRE book, "Handling Overload": of the requests of the last seconds, those beyond K times the accepted
// ones are turned away with the probability (requests - K x accepts) / (requests + 1). A request counts once it is known how it ended:
// a burst to a service that is well is not turned away for want of answers that are on their way.
package throttle

import "math"

const (
	multiplier = 2.0 // K: requests that go out for each that is answered
	memory     = 1.0 // seconds after which a request counts for 1/e of what it did
	spare      = 4.0 // requests that go out whatever was answered: a caller with few has no other way to learn
)

// Throttle is one caller's memory of one service. The zero value has sent nothing.
type Throttle struct {
	requests, accepts float64 // of late, fading
	at                float64 // time to which they have faded
}

// Allow says whether a request may go out. draw is a random number in [0, 1).
func (t *Throttle) Allow(now, draw float64) bool {
	t.fade(now)
	refused := (t.requests - multiplier*t.accepts - spare) / (t.requests + 1)
	if draw >= refused {
		return true
	}
	t.requests++
	return false
}

// Accepted counts a request that was answered.
func (t *Throttle) Accepted(now float64) {
	t.fade(now)
	t.requests++
	t.accepts++
}

// Failed counts a request that was turned away, or has no answer in time.
func (t *Throttle) Failed(now float64) {
	t.fade(now)
	t.requests++
}

func (t *Throttle) fade(now float64) {
	if passed := now - t.at; passed > 0 {
		kept := math.Exp(-passed / memory)
		t.requests, t.accepts = t.requests*kept, t.accepts*kept
	}
	t.at = now
}
