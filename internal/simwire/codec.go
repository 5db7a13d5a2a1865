package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"beechwing/balancer"
)

// Event codes.
const (
	evInit = 256 + iota
	evSync
	evReq
	evEstablished
	evCompleted
	evAbandoned
	evDeadlineHit
	evChecked
	evWhisper
	evShutdown
	evCensus
)

// Action codes.
const (
	actResolve = 320 + iota
	actCheck
	actKeepInformed
	actTimer
	actBounce
	actShutIdle
	actEndFailed
	actUndoSend
	actCallOut
	actTrace
	actPanic
	actPost
)

const (
	batchHeader  = 12 // u32 length and f64 clock
	replyHeader  = 4
	entrySize    = 24
	censusSlots  = 16
	everyPeer    = 0xffff
	maxPost      = 256
	maxBatch     = 1 << 30 // a longer length is damage, not a batch
	optHint      = 1
	optRepeat    = 2
	maxTimerWait = 71 * 60.0
)

var errShort = errors.New("record is cut short")

// reader takes fields off a batch. The first field that does not fit sets err; later ones read as zero.
type reader struct {
	buf []byte
	at  int
	err error
}

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

// finite takes a number that is not finite for damage: it would poison every figure made from it.
func (r *reader) finite(v float64) float64 {
	if r.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		r.err = errors.New("a number is not finite")
		return 0
	}
	return v
}

// host packs address and port; the first address byte is the highest.
func (r *reader) host() balancer.HostID {
	b := r.take(6)
	if b == nil {
		return 0
	}
	return balancer.HostID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.LittleEndian.Uint16(b[4:])))
}

// report reads a load report into buf, which is reused.
func (r *reader) report(buf []float32) []float32 {
	buf = buf[:0]
	for n := int(r.u8()); n > 0 && r.err == nil; n-- {
		buf = append(buf, r.f32())
	}
	return buf
}

func (r *reader) entry() balancer.Host {
	h := balancer.Host{Started: r.f64(), ID: r.host(), Weight: float64(r.f32())}
	r.u16() // the machine type; the core takes sizes from Weight only
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
			r.err = fmt.Errorf("list entry has the unknown status %d", status)
		}
	}
	h.Zone, h.Cell = int(r.u8()), int(r.u16())
	return h
}

// result translates an ending; the wire counts from 1.
func (r *reader) result() balancer.Result {
	code := r.u16()
	if r.err == nil && (code < 1 || code > 8) {
		r.err = fmt.Errorf("unknown ending %d", code)
	}
	return balancer.Result(code - 1)
}

// writer appends action records to a reply.
type writer struct{ buf []byte }

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
