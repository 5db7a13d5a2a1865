// Package outcome tells whether a request whose attempt ended may have run at a host.
//
// Every error that can end an attempt carries an outcome, so that one place decides what may be sent again.
package outcome

import "github.com/cockroachdb/errors"

// Outcome is how an attempt ended, and so what is known of the request's run at a host.
type Outcome uint8

// The outcomes. Their numbers go over the wire and into the registers: only add at the end.
const (
	Answered   Outcome = iota // the host's whole answer came
	Turned                    // turned away before a byte went to the host: no arrival there, never runs
	HostTurned                // the host said that it did not run it: an arrival, never runs
	Broken                    // sent, and no whole answer: it may have run
	Busy                      // its key's request is in progress elsewhere
	Kept                      // the recorded answer of an earlier run of its key
	Lost                      // a run of its key ended without a known result: it may have run
	Expired                   // its deadline passed before a byte went to the host
	Late                      // its deadline passed after it was sent: it may have run
	Unclaimed                 // its key could not be claimed in time: nothing was sent
	Cancelled                 // its client left while the host ran it: broken off
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
	return o == Turned || o == HostTurned || o == Expired || o == Unclaimed
}

// Arrived reports whether the attempt reached a host, so that it counts for the retry budget.
func (o Outcome) Arrived() bool {
	return o == Answered || o == HostTurned || o == Broken || o == Late || o == Cancelled
}

type marked struct {
	error
	outcome Outcome
}

func (m *marked) Unwrap() error { return m.error }

// Mark gives an error its outcome. A nil error stays nil.
func Mark(err error, o Outcome) error {
	if err == nil {
		return nil
	}
	return &marked{err, o}
}

// Newf makes an error with an outcome.
func Newf(o Outcome, format string, args ...any) error { return Mark(errors.Newf(format, args...), o) }

// Of is an error's outcome. An error without one counts as Broken: the request may have run, so it is not sent twice.
func Of(err error) Outcome {
	if err == nil {
		return Answered
	}
	if m := (*marked)(nil); errors.As(err, &m) {
		return m.outcome
	}
	return Broken
}
