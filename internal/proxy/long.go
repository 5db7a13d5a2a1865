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
	stallTimeout   = 10 * time.Second       // a peer that moves no byte of a long message for so long is dead
	extendInterval = 100 * time.Millisecond // interval at which progress of a body extends the client's read deadline
)

// bodyPace is the least pace at which clients have to send request bodies. The platform's slowest clients send 64 kB a
// second.
var bodyPace = bodies.Pace{Grace: 2200 * time.Millisecond, Rate: 48e3}

// ---- Requests

// upload is the part of a long request body that is still to be passed on.
type upload struct {
	*stream
	source     *pacedReader
	length     int64 // of the whole body; negative: unknown
	binding    bodies.Binding
	completeAt time.Time // when the last byte arrived; set before the stream is ended
}

// bodyBound reports whether an attempt has taken the rest of the body, so that no other attempt can send the request.
func (f *pendingRequest) bodyBound() bool {
	return f.request.upload != nil && f.request.upload.binding.Bound()
}

// framing returns the header that frames the request body for a host.
func (q *request) framing() string {
	switch {
	case q.upload == nil:
		return fmt.Sprintf("Content-Length: %d\r\n", q.body.Size)
	case q.upload.length >= 0:
		return fmt.Sprintf("Content-Length: %d\r\n", q.upload.length)
	}
	return "Transfer-Encoding: chunked\r\n"
}

// pacedReader reads a client's body and extends the read deadline as the body progresses.
type pacedReader struct {
	client      *clientConn
	r           io.Reader
	startedAt   time.Time // moved on by the time between two reads, so that only the client's own time counts
	lastReadEnd time.Time // end of the last read
	extendedAt  time.Time // when the deadline was last extended
	received    int64     // bytes
}

func (p *pacedReader) Read(b []byte) (int, error) {
	now := time.Now()
	if !p.lastReadEnd.IsZero() {
		p.startedAt = p.startedAt.Add(now.Sub(p.lastReadEnd))
	}
	if now.Sub(p.startedAt) > extendInterval && now.Sub(p.extendedAt) > extendInterval {
		p.extendedAt = now
		p.client.extendRead(p.startedAt.Add(bodyPace.Timeout(p.received)))
	}
	n, err := p.r.Read(b)
	p.received += int64(n)
	p.lastReadEnd = time.Now()
	return n, err
}

// extendRead moves the read deadline, unless the connection is to be closed.
func (c *clientConn) extendRead(until time.Time) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.entry.State() < places.StateClosing {
		c.conn.SetReadDeadline(until)
	}
}

// pumpBody reads the rest of a long body from the connection, as fast as the attempt passes it on, and reports whether
// the body is complete. It posts the result to the owner, unless the rest of the body is no longer wanted. A body whose
// request is answered early is still read to its end: a client might not read the response before it has sent everything,
// and closing the connection would reset it and lose the response.
func (c *clientConn) pumpBody(q *request) bool {
	err := q.upload.fill(wire.TruncationReader{Reader: q.upload.source}, func() {})
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
		_, err = io.Copy(io.Discard, io.LimitReader(q.upload.source, bodies.MaxLength))
		c.setReadTimeout(0)
		return err == nil
	}
	q.upload.end(err)
	early := requestAborted{request: q}
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		early.response = badRequest{http.StatusRequestEntityTooLarge, "body is too large"}.response()
	case !errors.Is(err, wire.ErrTruncated) && c.meter.Err == nil:
		early.response = badRequest{http.StatusBadRequest, "malformed body"}.response()
	}
	c.front.owner.post(early)
	return false
}

// bodyReceived is posted when the last byte of a long request body has arrived.
type bodyReceived struct{ request *request }

func (e bodyReceived) apply(o *owner) {
	f := o.pending[e.request.ID]
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

var errBodyTaken = errors.New("another attempt has taken the rest of the request body")

// writeLongRequest sends a long request. The last byte of the body, or the final chunk, is held back until the client
// has sent everything, because a host starts to process the request only then.
func (a *attempt) writeLongRequest(l messageConn) error {
	q := a.request
	if q.upload.binding.Bound() { // perhaps taken by this attempt, on a connection that has broken since
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
	for _, part := range q.body.AppendTo(nil) {
		if err := w.write(part); err != nil {
			return err
		}
	}
	if !q.upload.binding.Bind(a.number) {
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
	a.tally.attempts.Add(1)
	return nil
}

// relayBody forwards the body as it arrives from the client, up to its end.
func (a *attempt) relayBody(l messageConn, w *longWriter) error {
	u := a.request.upload
	for {
		p, err := u.take(a.ctx)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err = l.checkOpen(); err == nil {
			err = w.write(p.bytes())
		}
		u.bufs.PutBuffer(p.buf)
		if err != nil {
			return err
		}
	}
}

// longWriter frames a long body and holds its end (the last byte, or the final chunk) back until end is called.
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

// ---- Responses

// receiveLong reads a response that may be passed on to the client before it is complete: at once (atOnce), when the
// stream is full, or after a short delay. A response that is complete by then is returned whole.
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
		defer time.AfterFunc(bodies.StreamDelay(), begin).Stop()
	}
	err := s.fill(wire.TruncationReader{Reader: stallReader{c.conn, r.Body}}, begin)
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

// stallReader fails when the peer sends nothing for stallTimeout.
type stallReader struct {
	conn net.Conn
	r    io.Reader
}

func (a stallReader) Read(b []byte) (int, error) {
	a.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	return a.r.Read(b)
}

// responseStarted is posted when the first part of a long response is ready to be passed on. It becomes the response to
// the request.
type responseStarted struct {
	attempt  *attempt
	response hostResponse
}

func (e responseStarted) apply(o *owner) {
	a := e.attempt
	f := o.pending[a.request.ID]
	if f.answered {
		e.response.stream.abandon()
		a.cancel(nil)
		return
	}
	now := o.clock.now()
	a.responseStartedAt, a.response = now, e.response.stream
	o.complete(f, clientResponse{status: http.StatusOK, contentType: e.response.contentType, stream: e.response.stream,
		contentLength: e.response.contentLength})
	o.bal.ResponseStarted(now, a.request.ID, a.number)
}

// abandonResponse stops a long response whose client has left.
func (f *pendingRequest) abandonResponse() {
	for _, a := range f.attempts {
		if a.response != nil && !a.ended {
			a.response.abandon()
			a.cancel(nil)
		}
	}
}

// framing returns the header that frames the response body for the client.
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

// relayResponse passes a long response on to the client. On an error the connection ends before the response is
// complete, so that the client can detect it. The request is counted before the write that completes the response.
func (c *clientConn) relayResponse(a *clientResponse) error {
	if a.stream == nil {
		return nil
	}
	chunked := a.contentLength < 0 && !a.noChunks
	for remaining := a.contentLength; ; {
		p, err := a.stream.take(context.Background())
		if err == io.EOF {
			break
		}
		if err == nil {
			if remaining -= int64(p.size); remaining == 0 {
				a.end.count(a.status)
			}
			err = c.writePiece(p.bytes(), chunked)
			c.front.bufs.PutBuffer(p.buf)
		}
		if err != nil {
			if tc, ok := c.conn.(*net.TCPConn); ok { // a clean close could mark the end of a complete response
				tc.SetLinger(0)
			}
			return err
		}
	}
	if chunked {
		a.end.count(a.status)
		return c.writePiece(nil, true)
	}
	return nil
}

// chunkFrame frames a part of a chunked message; an empty one is the final chunk.
func chunkFrame(b []byte) net.Buffers {
	return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
}

// writePiece writes a part of a long response. If chunked, an empty part is written as the final chunk.
func (c *clientConn) writePiece(b []byte, chunked bool) error {
	parts := net.Buffers{b}
	if chunked {
		parts = chunkFrame(b)
	}
	c.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := parts.WriteTo(c.conn)
	return err
}
