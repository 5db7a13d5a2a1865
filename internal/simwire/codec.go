package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"beechwing/balancer"
)

// The event codes of the simulator's protocol. Their values and order are fixed by the protocol.
const (
	evInit        = 256 + iota // an instance starts
	evSync                     // a host list or a change to it reached an instance
	evReq                      // a client request
	evEstablished              // a response started
	evCompleted                // an attempt ended
	evAbandoned                // the client left
	evDeadlineHit              // a timer expired
	evChecked                  // the result of a probe
	evWhisper                  // a message from a peer
	evShutdown                 // an instance ends
	evCensus                   // defines the host list of a slot; belongs to no instance
)

// The action codes of the simulator's protocol. Their values and order are fixed by the protocol.
const (
	actResolve      = 320 + iota // fetch the host list once
	actCheck                     // probe a host
	actKeepInformed              // watch the host list
	actTimer                     // start a timer
	actBounce                    // refuse a request; a retry is safe
	actShutIdle                  // not used here
	actEndFailed                 // fail a request
	actUndoSend                  // cancel an attempt
	actCallOut                   // send an attempt to a host
	actTrace                     // log a line
	actPanic                     // not used here
	actPost                      // send a message to peers
)

const (
	batchHeader  = 12     // bytes: u32 length and f64 clock
	replyHeader  = 4      // bytes: u32 length
	entrySize    = 24     // bytes of an entry of a host list
	listSlots    = 16     // host lists, numbered from 0
	allPeers     = 0xffff // the receiver of a message to all peers
	maxPostBytes = 256
	maxBatch     = 1 << 30   // a larger length means that the stream is corrupt
	optWorkHint  = 1         // the request's work field is valid
	optRepeat    = 2         // the request repeats an earlier one
	maxTimerWait = 71 * 60.0 // seconds
)

var errShort = errors.New("record is cut short")

// reader decodes the fields of a batch. The first invalid field sets err; from then on every field reads as zero.
type reader struct {
	buf []byte
	at  int
	err error
}

// take consumes n bytes, or sets err and returns nil if the batch has fewer.
func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.buf)-r.at {
		if r.err == nil {
			r.err = errShort
		}
		return nil
	}
	b := r.buf[r.at : r.at+n]
	r.at += n
	return b
}

func (r *reader) u8() uint8 {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f64() float64 { return r.finite(math.Float64frombits(r.u64())) }

func (r *reader) f32() float32 { return float32(r.finite(float64(math.Float32frombits(r.u32())))) }

// finite rejects NaN and infinities as corrupt input, because they would spread to every value computed from them.
func (r *reader) finite(v float64) float64 {
	if r.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		r.err = errors.New("number is not finite")
		return 0
	}
	return v
}

// host packs an IPv4 address and a port into a HostID. The address is big-endian, the port little-endian.
func (r *reader) host() balancer.HostID {
	b := r.take(6)
	if b == nil {
		return 0
	}
	return balancer.HostID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.LittleEndian.Uint16(b[4:])))
}

// report decodes a load report into buf, whose memory is reused.
func (r *reader) report(buf []float32) []float32 {
	buf = buf[:0]
	for n := int(r.u8()); n > 0 && r.err == nil; n-- {
		buf = append(buf, r.f32())
	}
	return buf
}

// entry decodes one entry of a host list.
func (r *reader) entry() balancer.Host {
	h := balancer.Host{Started: r.f64(), ID: r.host(), Weight: float64(r.f32())}
	r.u16() // the machine type; the balancer takes a host's size from Weight alone
	status := r.u8()
	switch status {
	case 0:
		h.Status = balancer.Removed
	case 1:
		h.Status = balancer.Ready
	case 2:
		h.Status = balancer.Draining
	default:
		if r.err == nil {
			r.err = fmt.Errorf("list entry has unknown status %d", status)
		}
	}
	h.Zone, h.Cell = int(r.u8()), int(r.u16())
	return h
}

// result decodes the result of an attempt or probe. The protocol numbers results from 1.
func (r *reader) result() balancer.Result {
	code := r.u16()
	if r.err == nil && (code < 1 || code > 8) {
		r.err = fmt.Errorf("unknown result %d", code)
	}
	return balancer.Result(code - 1)
}

// writer appends action records to a reply.
type writer struct{ buf []byte }

// action starts an action record.
func (w *writer) action(code uint16, proxy uint32) {
	w.buf = binary.LittleEndian.AppendUint16(w.buf, code)
	w.buf = binary.LittleEndian.AppendUint32(w.buf, proxy)
}

func (w *writer) u64(v uint64)  { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }
func (w *writer) f64(v float64) { w.u64(math.Float64bits(v)) }

func (w *writer) host(h balancer.HostID) {
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(h>>16))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(h))
}

func (w *writer) text(b []byte) {
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(b)))
	w.buf = append(w.buf, b...)
}
