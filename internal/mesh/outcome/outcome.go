// Package outcome classifies how an attempt of a request ended, and in particular whether the request may have run at a host.
//
// Every error that can end an attempt carries an Outcome, so that what may be sent again is decided in one place.
package outcome

import "github.com/cockroachdb/errors"

// Outcome is how an attempt ended, and therefore what is known about the request's run at a host.
type Outcome uint8

// The outcomes. Their numbers are sent over the wire and stored in registers: only add new ones at the end.
const (
	Answered       Outcome = iota // the host's complete answer was received
	TurnedAway                    // rejected before a byte was sent to the host: did not arrive, never runs
	HostTurnedAway                // the host reported that it did not run the request: arrived, never runs
	Broken                        // sent, but no complete answer received: may have run
	Busy                          // a request with its key is in progress elsewhere
	Kept                          // answered with the recorded answer of an earlier run of its key
	Lost                          // a run of its key ended without a known result: may have run
	Expired                       // its deadline passed before a byte was sent to the host
	Late                          // its deadline passed after it was sent: may have run
	Unclaimed                     // its key could not be claimed in time: nothing was sent
	Cancelled                     // cancelled at the host because its client disconnected
)

var names = [...]string{"answered", "turned away", "turned away by the host", "broken", "busy", "kept", "lost", "expired",
	"late", "unclaimed", "cancelled"}

func (o Outcome) String() string {
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// NeverRan reports whether this attempt has not run the request and never will.
func (o Outcome) NeverRan() bool {
	return o == TurnedAway || o == HostTurnedAway || o == Expired || o == Unclaimed
}

// Arrived reports whether the attempt reached a host, so that it counts towards the retry budget.
func (o Outcome) Arrived() bool {
	return o == Answered || o == HostTurnedAway || o == Broken || o == Late || o == Cancelled
}

type outcomeError struct {
	error
	outcome Outcome
}

func (e *outcomeError) Unwrap() error { return e.error }

// Mark attaches an outcome to an error. A nil error stays nil.
func Mark(err error, o Outcome) error {
	if err == nil {
		return nil
	}
	return &outcomeError{err, o}
}

// Newf returns a new error with an outcome.
func Newf(o Outcome, format string, args ...any) error { return Mark(errors.Newf(format, args...), o) }

// Of returns an error's outcome. An error without one counts as Broken: the request may have run, so it is not sent twice.
func Of(err error) Outcome {
	if err == nil {
		return Answered
	}
	if marked := (*outcomeError)(nil); errors.As(err, &marked) {
		return marked.outcome
	}
	return Broken
}
