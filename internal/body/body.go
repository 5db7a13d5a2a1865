// Package body contains the rules for forwarding message bodies. ModeOf decides whether a message is buffered or streamed,
// Binding decides which attempt may consume the rest of a streamed request, and Pace decides when a slow sender is cut off.
// The package does no I/O.
package body

import (
	"sync/atomic"
	"time"
)

const (
	// MaxBuffered is how many bytes of a message are held, so that a request can be sent again and an unfinished response can be
	// discarded. A message of at most this length is forwarded only when it is complete.
	MaxBuffered = 64 << 10
	// MaxLength is the maximum length of a message. The platform's messages have up to 32 MB; a message that announces more
	// either has a wrong length or is not meant for this service.
	MaxLength = 36 << 20

	streamDelay = 100 * time.Millisecond
)

// Mode is the way in which a message is forwarded.
type Mode int

// The values of Mode.
const (
	Buffered      Mode = iota // held until it is complete
	Streamed                  // forwarded as it arrives
	UnknownLength             // buffered at first; streamed once it exceeds MaxBuffered or takes long
	Rejected                  // not forwarded
)

// ModeOf returns the mode for the announced length of a message; negative: the length is unknown.
func ModeOf(length int64) Mode {
	switch {
	case length < 0:
		return UnknownLength
	case length <= MaxBuffered:
		return Buffered
	case length <= MaxLength:
		return Streamed
	}
	return Rejected
}

// StreamDelay returns how long a response of unknown length is buffered before it is streamed.
func StreamDelay() time.Duration { return streamDelay }

// Pace is the minimum speed of a sender. It distinguishes a slow sender from one that has stopped.
type Pace struct {
	Grace time.Duration // time until the first byte
	Rate  float64       // minimum average in bytes per second
}

// Timeout returns the time after the start of a message by which the next byte must arrive, if received bytes have arrived.
func (p Pace) Timeout(received int64) time.Duration {
	return p.Grace + time.Duration(float64(received)/p.Rate*float64(time.Second))
}

// Binding records which attempt consumes the rest of a streamed request's body. The zero value is not bound.
type Binding struct{ owner atomic.Int64 } // the number of the attempt plus 1; 0: not bound

// Bind binds the rest of the body to an attempt unless another attempt has it, and reports whether this attempt has it.
func (b *Binding) Bind(attempt int) bool {
	n := int64(attempt) + 1
	return b.owner.CompareAndSwap(0, n) || b.owner.Load() == n
}

// Bound reports whether an attempt has the rest of the body, so that no other attempt can send the request.
func (b *Binding) Bound() bool { return b.owner.Load() != 0 }
