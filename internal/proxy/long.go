package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	bodies "beechwing/internal/body"
	"beechwing/internal/places"
	"beechwing/internal/wire"
)

const (
	stallTimeout   = 10 * time.Second       // a peer that takes or gives nothing of a long message for so long is gone
	extendInterval = 100 * time.Millisecond // at which a client's progress moves the limit of its reading
)

// pace is that of clients' bodies. The platform's slowest bring 64 kB a second.
var bodyPace = bodies.Pace{Grace: 2200 * time.Millisecond, Rate: 48e3}

// ---- requests

// upload is the rest of a long request's body.
type upload struct {
	*stream
	source     *pacedReader
	length     int64 // of the whole body; negative: nobody knows
	binding    bodies.Binding
	completeAt time.Time // when its last byte came; set ahead of the stream's end
}

// bound says whether a request can be sent by no further attempt.
func (f *flight) bodyBound() bool { return f.request.upload != nil && f.request.upload.binding.Bound() }

// framing is how a request's body goes to a host.
func (q *request) framing() string {
	switch {
	case q.upload == nil:
		return fmt.Sprintf("Content-Length: %d\r\n", q.body.Size)
	case q.upload.length >= 0:
		return fmt.Sprintf("Content-Length: %d\r\n", q.upload.length)
	}
	return "Transfer-Encoding: chunked\r\n"
}

// paced reads a client's body and lets the limit of its reading move with what has come.
type pacedReader struct {
	client      *clientConn
	r           io.Reader
	startedAt   time.Time // moved on by what passes between two reads: only the client's own time counts
	lastReadEnd time.Time // of the last read
	extendedAt  time.Time // when the limit was moved last
	received    int64
}

func (p *pacedReader) Read(b []byte) (int, error) {
	now := time.Now()
	if !p.lastReadEnd.IsZero() {
		p.startedAt = p.startedAt.Add(now.Sub(p.lastReadEnd))
	}
	if now.Sub(p.startedAt) > extendInterval && now.Sub(p.extendedAt) > extendInterval {
		p.extendedAt = now
		p.client.extendRead(p.startedAt.Add(bodyPace.Limit(p.received)))
	}
	n, err := p.r.Read(b)
	p.received += int64(n)
	p.lastReadEnd = time.Now()
	return n, err
}

// extend moves the limit of what is being read, unless the connection's place is wanted.
func (c *clientConn) extendRead(until time.Time) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.entry.Kind() < places.Ending {
		c.conn.SetReadDeadline(until)
	}
}

// pump takes the rest of a long body off the connection, as fast as its attempt passes it on, and says whether the
// request has come whole. The owner hears what became of it. What is answered early is read to its end all the same: a
// client that has not sent all might not read the answer, and closing would reset that away.
func (c *clientConn) pumpBody(q *request) bool {
	err := q.upload.fill(wire.WholeBody{Reader: q.upload.source}, func() {})
	switch {
	case err == nil && c.br.Buffered() > 0:
		q.upload.end(errAbandoned)
		c.front.owner.post(requestAborted{request: q, response: badPipelined.response()})
		return false
	case err == nil:
		q.upload.completeAt = time.Now()
		c.front.owner.post(bodyReceived{q})
		q.upload.end(nil)
		c.setReadTimeout(0)
		return true
	case errors.Is(err, errAbandoned):
		q.upload.end(err)
		_, err = io.Copy(io.Discard, io.LimitReader(q.upload.source, bodies.Longest))
		c.setReadTimeout(0)
		return err == nil
	}
	q.upload.end(err)
	early := requestAborted{request: q}
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		early.response = badRequest{http.StatusRequestEntityTooLarge, "body is too large"}.response()
	case !errors.Is(err, wire.ErrCut) && c.meter.Err == nil:
		early.response = badRequest{http.StatusBadRequest, "malformed body"}.response()
	}
	c.front.owner.post(early)
	return false
}

// whole is word that the last byte of a long request has come.
type bodyReceived struct{ request *request }

func (e bodyReceived) apply(o *owner) {
	f := o.flights[e.request.ID]
	if f == nil || f.answered {
		return
	}
	now := o.clock.now()
	f.deadline = now + f.request.Budget
	for _, a := range f.attempts {
		if !a.ended {
			a.sentAt = now
		}
	}
	o.bal.BodyReceived(now, e.request.ID)
}

var errBodyTaken = errors.New("another attempt has the rest of the body")

// writeLong passes on a long request. Its last byte, or the chunk that ends it, waits until the client has sent all:
// until then no host begins.
func (a *attempt) writeLongRequest(l messageConn) error {
	q := a.request
	if q.upload.binding.Bound() { // also by this attempt, on a connection that broke
		return errBodyTaken
	}
	left := seconds(q.Budget)
	if a.timeout > 0 {
		left = min(left, a.timeout)
	}
	tail := fmt.Appendf(nil, "%s: %du\r\n\r\n", headerRemaining, left.Microseconds())
	w := longWriter{chunked: q.upload.length < 0, send: func(parts net.Buffers) error {
		l.SetWriteDeadline(time.Now().Add(stallTimeout))
		return a.writeParts(l, parts)
	}}
	if err := w.send(net.Buffers{q.head[:q.headLen], tail}); err != nil {
		return err
	}
	for _, part := range q.body.Parts(nil) {
		if err := w.write(part); err != nil {
			return err
		}
	}
	if !q.upload.binding.Take(a.number) {
		return errBodyTaken
	}
	if err := a.relayBody(l, &w); err != nil {
		return err
	}
	a.setDeadline(q.upload.completeAt.Add(left))
	if err := l.confirmAlive(); err != nil {
		return err
	}
	if err := w.end(); err != nil {
		return err
	}
	a.tally.tries.Add(1)
	return nil
}

// relay writes what the client sends until all has come.
func (a *attempt) relayBody(l messageConn, w *longWriter) error {
	up := a.request.upload
	for {
		p, err := up.take(a.ctx)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err = l.checkOpen(); err == nil {
			err = w.write(p.bytes())
		}
		up.bufs.PutBuffer(p.buf)
		if err != nil {
			return err
		}
	}
}

// longWriter frames a long body and holds its end back: the last byte, or the last chunk.
type longWriter struct {
	chunked     bool
	send        func(net.Buffers) error
	heldByte    [1]byte
	hasHeldByte bool
}

func (w *longWriter) write(b []byte) error {
	if w.chunked {
		return w.send(chunkFrame(b))
	}
	parts := net.Buffers{b[:len(b)-1]}
	if w.hasHeldByte {
		parts = net.Buffers{[]byte{w.heldByte[0]}, b[:len(b)-1]}
	}
	w.heldByte[0], w.hasHeldByte = b[len(b)-1], true
	return w.send(parts)
}

func (w *longWriter) end() error {
	if w.chunked {
		return w.send(chunkFrame(nil))
	}
	return w.send(net.Buffers{w.heldByte[:]})
}

// ---- answers

// takeLong reads an answer that may go on to the client before it has ended: at once, or once as much as may be held is
// here, or after a moment. What has ended by then comes back whole.
func (c *hostConn) receiveLong(r *http.Response, out hostResponse, call *call, atOnce bool) hostResponse {
	s := newStream(c.upstream.pool.bufs)
	var claimed atomic.Bool
	begin := func() {
		if claimed.CompareAndSwap(false, true) {
			b := out
			b.stream = s
			call.started <- b
		}
	}
	if atOnce {
		begin()
	} else {
		defer time.AfterFunc(bodies.Unhurried(), begin).Stop()
	}
	err := s.fill(wire.WholeBody{Reader: stallReader{c.conn, r.Body}}, begin)
	c.conn.SetReadDeadline(time.Time{})
	if out.err = err; !claimed.CompareAndSwap(false, true) {
		s.end(err)
		out.stream = s
		return out
	}
	if err != nil {
		s.abandon()
		return hostResponse{err: err}
	}
	out.body = s.takeBody()
	return out
}

// alive reads from a peer that has to give something now and then.
type stallReader struct {
	conn net.Conn
	r    io.Reader
}

func (a stallReader) Read(b []byte) (int, error) {
	a.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	return a.r.Read(b)
}

// begun is the begin of a long answer: it is the request's answer from now on.
type responseStarted struct {
	attempt  *attempt
	response hostResponse
}

func (e responseStarted) apply(o *owner) {
	a := e.attempt
	f := o.flights[a.request.ID]
	if f.answered {
		e.response.stream.abandon()
		a.cancel(nil)
		return
	}
	now := o.clock.now()
	a.responseStartedAt, a.response = now, e.response.stream
	o.conclude(f, clientResponse{status: http.StatusOK, contentType: e.response.contentType, stream: e.response.stream, contentLength: e.response.contentLength})
	o.bal.ResponseStarted(now, a.request.ID, a.number)
}

// leave gives up a long answer whose client has gone.
func (f *flight) abandonResponse() {
	for _, a := range f.attempts {
		if a.response != nil && !a.ended {
			a.response.abandon()
			a.cancel(nil)
		}
	}
}

// framing is how an answer's body goes to the client.
func (a *clientResponse) framing() string {
	switch {
	case a.stream == nil:
		return fmt.Sprintf("Content-Length: %d\r\n", a.body.Size+len(a.text))
	case a.contentLength >= 0:
		return fmt.Sprintf("Content-Length: %d\r\n", a.contentLength)
	case a.noChunks:
		return ""
	}
	return "Transfer-Encoding: chunked\r\n"
}

// pass passes a long answer on. If that breaks, its connection ends short of the answer's end, which the client can tell.
func (c *clientConn) relayResponse(a *clientResponse) error {
	if a.stream == nil {
		return nil
	}
	chunked := a.contentLength < 0 && !a.noChunks
	for {
		p, err := a.stream.take(context.Background())
		if err == io.EOF {
			break
		}
		if err == nil {
			err = c.writePiece(p.bytes(), chunked)
			c.front.bufs.PutBuffer(p.buf)
		}
		if err != nil {
			if tc, ok := c.conn.(*net.TCPConn); ok { // an answer that only the connection ends must not end well
				tc.SetLinger(0)
			}
			return err
		}
	}
	if chunked {
		return c.writePiece(nil, true)
	}
	return nil
}

// chunk frames a piece of a message without a length; an empty one ends it.
func chunkFrame(b []byte) net.Buffers {
	return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
}

// putLong writes a piece; as a chunk, an empty one is the last.
func (c *clientConn) writePiece(b []byte, chunked bool) error {
	parts := net.Buffers{b}
	if chunked {
		parts = chunkFrame(b)
	}
	c.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := parts.WriteTo(c.conn)
	return err
}
