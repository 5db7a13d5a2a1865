// Package body decides how long messages pass: whole or in pieces, how far a request may still be sent again, and by when
// a peer that is slow has to have moved. It does no I/O.
package body

import (
	"sync/atomic"
	"time"
)

const (
	// Kept is how much of a message is held, so that it can be sent again or thrown away unseen. A message of this many
	// bytes at the most is passed on whole.
	Kept = 64 << 10
	// Longest is the longest message that is passed on. The platform's have up to 32 MB; what says that it is longer
	// lies, or is not for this service.
	Longest = 36 << 20

	unhurried = 100 * time.Millisecond
)

// Way is how a message is passed on.
type Way int

// The ways.
const (
	Whole    Way = iota // held until it has ended
	Pieces              // from its first bytes on
	Open                // its length is not told: in pieces once more than Kept has come, or it takes long
	Refusing            // not at all
)

// Of decides by the length that a message tells; negative: it tells none.
func Of(length int64) Way {
	switch {
	case length < 0:
		return Open
	case length <= Kept:
		return Whole
	case length <= Longest:
		return Pieces
	}
	return Refusing
}

// Unhurried is how long an answer of unknown length may take to end before its first bytes go on.
func Unhurried() time.Duration { return unhurried }

// Pace tells a slow peer from a dead one by what it has moved.
type Pace struct {
	Grace time.Duration // for the first byte
	Rate  float64       // bytes a second that it has to keep up on the whole
}

// Limit is how long after its begin a message of which got bytes have come may go without another.
func (p Pace) Limit(got int64) time.Duration {
	return p.Grace + time.Duration(float64(got)/p.Rate*float64(time.Second))
}

// Binding ties the rest of a request's body to the one attempt that takes it. Its zero value is free.
type Binding struct{ to atomic.Int64 }

// Take binds the rest to an attempt, and says whether it is that attempt's.
func (b *Binding) Take(attempt int) bool {
	n := int64(attempt) + 1
	return b.to.CompareAndSwap(0, n) || b.to.Load() == n
}

// Bound says whether the rest is some attempt's, so that no other can send the request any more.
func (b *Binding) Bound() bool { return b.to.Load() != 0 }
