// Package outcome says of an error whether the request behind it may have run. (The field's term: delivery certainty.)
//
// Every error that can end a request carries one, so that what may be sent again is told from what may not in one place.
package outcome

import "github.com/cockroachdb/errors"

// Outcome is what is known of a request's run at a host.
type Outcome uint8

// The verdicts. Their numbers go over the wire and into the registers: only add at the end.
const (
	Answered   Outcome = iota // the host's whole answer came
	Turned                    // turned away before a byte went to the host: no arrival there, never runs
	HostTurned                // the host said that it did not run it: an arrival, never runs
	Broken                    // sent, and no whole answer: it may have run
	Busy                      // its key is at work elsewhere
	Kept                      // its key's answer, recorded before
	Lost                      // its key's run ended and nobody knows how: it may have run
	Expired                   // its time was over before a byte went to the host
	Late                      // its time was over after it was sent: it may have run
	Unclaimed                 // its key could not be claimed in time: nothing was sent
)

var words = [...]string{"answered", "turned away", "turned away by the host", "broken", "busy", "kept", "lost", "expired",
	"late", "unclaimed"}

func (v Outcome) String() string {
	if int(v) < len(words) {
		return words[v]
	}
	return "unknown"
}

// NeverRan reports whether the request has not run by this try, and will not.
func (v Outcome) NeverRan() bool {
	return v == Turned || v == HostTurned || v == Expired || v == Unclaimed
}

// Arrived reports whether the try reached a host, so that it counts for the budget of further tries.
func (v Outcome) Arrived() bool {
	return v == Answered || v == HostTurned || v == Broken || v == Late
}

type marked struct {
	error
	outcome Outcome
}

func (m *marked) Unwrap() error { return m.error }

// Mark gives an error its outcome. A nil error stays nil.
func Mark(err error, v Outcome) error {
	if err == nil {
		return nil
	}
	return &marked{err, v}
}

// Newf makes an error with a outcome.
func Newf(v Outcome, format string, args ...any) error { return Mark(errors.Newf(format, args...), v) }

// Of is an error's outcome. What carries none may have run: that is the side on which nothing is doubled.
func Of(err error) Outcome {
	if err == nil {
		return Answered
	}
	if m := (*marked)(nil); errors.As(err, &m) {
		return m.outcome
	}
	return Broken
}
