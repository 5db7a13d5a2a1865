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
	stall       = 10 * time.Second       // a peer that takes or gives nothing of a long message for so long is gone
	extendEvery = 100 * time.Millisecond // at which a client's progress moves the limit of its reading
)

// pace is that of clients' bodies. The platform's slowest bring 64 kB a second.
var pace = bodies.Pace{Grace: 2200 * time.Millisecond, Rate: 48e3}

// ---- requests

// upload is the rest of a long request's body.
type upload struct {
	*stream
	from   *paced
	length int64 // of the whole body; negative: nobody knows
	bound  bodies.Binding
	whole  time.Time // when its last byte came; set ahead of the stream's end
}

// bound says whether a request can be sent by no further attempt.
func (f *pendingRequest) bound() bool { return f.request.up != nil && f.request.up.bound.Bound() }

// framing is how a request's body goes to a host.
func (q *request) framing() string {
	switch {
	case q.up == nil:
		return fmt.Sprintf("Content-Length: %d\r\n", q.body.Size)
	case q.up.length >= 0:
		return fmt.Sprintf("Content-Length: %d\r\n", q.up.length)
	}
	return "Transfer-Encoding: chunked\r\n"
}

// paced reads a client's body and lets the limit of its reading move with what has come.
type paced struct {
	client *client
	r      io.Reader
	began  time.Time // moved on by what passes between two reads: only the client's own time counts
	ended  time.Time // of the last read
	last   time.Time // when the limit was moved last
	got    int64
}

func (p *paced) Read(b []byte) (int, error) {
	now := time.Now()
	if !p.ended.IsZero() {
		p.began = p.began.Add(now.Sub(p.ended))
	}
	if now.Sub(p.began) > extendEvery && now.Sub(p.last) > extendEvery {
		p.last = now
		p.client.extend(p.began.Add(pace.Limit(p.got)))
	}
	n, err := p.r.Read(b)
	p.got += int64(n)
	p.ended = time.Now()
	return n, err
}

// extend moves the limit of what is being read, unless the connection's place is wanted.
func (c *client) extend(until time.Time) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	if c.seat.Kind() < places.Ending {
		c.conn.SetReadDeadline(until)
	}
}

// pump takes the rest of a long body off the connection, as fast as its attempt passes it on, and says whether the
// request has come whole. The owner hears what became of it. What is answered early is read to its end all the same: a
// client that has not sent all might not read the answer, and closing would reset that away.
func (c *client) pump(q *request) bool {
	err := q.up.fill(wire.WholeBody{Reader: q.up.from}, func() {})
	switch {
	case err == nil && c.br.Buffered() > 0:
		q.up.end(errLeft)
		c.front.owner.post(departure{request: q, answer: errBehind.answer()})
		return false
	case err == nil:
		q.up.whole = time.Now()
		c.front.owner.post(whole{q})
		q.up.end(nil)
		c.limitRead(0)
		return true
	case errors.Is(err, errLeft):
		q.up.end(err)
		_, err = io.Copy(io.Discard, io.LimitReader(q.up.from, bodies.Longest))
		c.limitRead(0)
		return err == nil
	}
	q.up.end(err)
	early := departure{request: q}
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		early.answer = badRequest{http.StatusRequestEntityTooLarge, "body is too large"}.answer()
	case !errors.Is(err, wire.ErrCut) && c.meter.Err == nil:
		early.answer = badRequest{http.StatusBadRequest, "malformed body"}.answer()
	}
	c.front.owner.post(early)
	return false
}

// whole is word that the last byte of a long request has come.
type whole struct{ request *request }

func (e whole) apply(o *owner) {
	f := o.pending[e.request.ID]
	if f == nil || f.answered {
		return
	}
	now := o.clock.now()
	f.deadline = now + f.request.Budget
	for _, a := range f.attempts {
		if !a.over {
			a.sent = now
		}
	}
	o.bal.BodyReceived(now, e.request.ID)
}

var errBound = errors.New("another attempt has the rest of the body")

// writeLong passes on a long request. Its last byte, or the chunk that ends it, waits until the client has sent all:
// until then no host begins.
func (a *attempt) writeLong(l line) error {
	q := a.request
	if q.up.bound.Bound() { // also by this attempt, on a connection that broke
		return errBound
	}
	left := seconds(q.Budget)
	if a.within > 0 {
		left = min(left, a.within)
	}
	tail := fmt.Appendf(nil, "%s: %du\r\n\r\n", headerRemaining, left.Microseconds())
	w := longWriter{chunked: q.up.length < 0, put: func(parts net.Buffers) error {
		l.SetWriteDeadline(time.Now().Add(stall))
		return a.put(l, parts)
	}}
	if err := w.put(net.Buffers{q.head[:q.headed], tail}); err != nil {
		return err
	}
	for _, part := range q.body.Parts(nil) {
		if err := w.write(part); err != nil {
			return err
		}
	}
	if !q.up.bound.Take(a.number) {
		return errBound
	}
	if err := a.relay(l, &w); err != nil {
		return err
	}
	a.expire(q.up.whole.Add(left))
	if err := l.settle(); err != nil {
		return err
	}
	if err := w.end(); err != nil {
		return err
	}
	a.tally.attempts.Add(1)
	return nil
}

// relay writes what the client sends until all has come.
func (a *attempt) relay(l line, w *longWriter) error {
	up := a.request.up
	for {
		p, err := up.take(a.ctx)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err = l.stands(); err == nil {
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
	chunked bool
	put     func(net.Buffers) error
	held    [1]byte
	holds   bool
}

func (w *longWriter) write(b []byte) error {
	if w.chunked {
		return w.put(chunk(b))
	}
	parts := net.Buffers{b[:len(b)-1]}
	if w.holds {
		parts = net.Buffers{[]byte{w.held[0]}, b[:len(b)-1]}
	}
	w.held[0], w.holds = b[len(b)-1], true
	return w.put(parts)
}

func (w *longWriter) end() error {
	if w.chunked {
		return w.put(chunk(nil))
	}
	return w.put(net.Buffers{w.held[:]})
}

// ---- answers

// takeLong reads an answer that may go on to the client before it has ended: at once, or once as much as may be held is
// here, or after a moment. What has ended by then comes back whole.
func (c *hostConn) takeLong(r *http.Response, out reply, call *call, atOnce bool) reply {
	s := newStream(c.up.hosts.bufs)
	var claimed atomic.Bool
	begin := func() {
		if claimed.CompareAndSwap(false, true) {
			b := out
			b.long = s
			call.begun <- b
		}
	}
	if atOnce {
		begin()
	} else {
		defer time.AfterFunc(bodies.Unhurried(), begin).Stop()
	}
	err := s.fill(wire.WholeBody{Reader: alive{c.conn, r.Body}}, begin)
	c.conn.SetReadDeadline(time.Time{})
	if out.err = err; !claimed.CompareAndSwap(false, true) {
		s.end(err)
		out.long = s
		return out
	}
	if err != nil {
		s.leave()
		return reply{err: err}
	}
	out.body = s.whole()
	return out
}

// alive reads from a peer that has to give something now and then.
type alive struct {
	conn net.Conn
	r    io.Reader
}

func (a alive) Read(b []byte) (int, error) {
	a.conn.SetReadDeadline(time.Now().Add(stall))
	return a.r.Read(b)
}

// begun is the begin of a long answer: it is the request's answer from now on.
type begun struct {
	attempt *attempt
	reply   reply
}

func (e begun) apply(o *owner) {
	a := e.attempt
	f := o.pending[a.request.ID]
	if f.answered {
		e.reply.long.leave()
		a.cancel(nil)
		return
	}
	now := o.clock.now()
	a.begunAt, a.long = now, e.reply.long
	o.complete(f, answer{status: http.StatusOK, kind: e.reply.kind, long: e.reply.long, length: e.reply.length})
	o.bal.ResponseStarted(now, a.request.ID, a.number)
}

// leave gives up a long answer whose client has gone.
func (f *pendingRequest) leave() {
	for _, a := range f.attempts {
		if a.long != nil && !a.over {
			a.long.leave()
			a.cancel(nil)
		}
	}
}

// framing is how an answer's body goes to the client.
func (a *answer) framing() string {
	switch {
	case a.long == nil:
		return fmt.Sprintf("Content-Length: %d\r\n", a.body.Size+len(a.text))
	case a.length >= 0:
		return fmt.Sprintf("Content-Length: %d\r\n", a.length)
	case a.old:
		return ""
	}
	return "Transfer-Encoding: chunked\r\n"
}

// pass passes a long answer on. If that breaks, its connection ends short of the answer's end, which the client can tell.
func (c *client) pass(a *answer) error {
	if a.long == nil {
		return nil
	}
	chunked := a.length < 0 && !a.old
	for {
		p, err := a.long.take(context.Background())
		if err == io.EOF {
			break
		}
		if err == nil {
			err = c.putLong(p.bytes(), chunked)
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
		return c.putLong(nil, true)
	}
	return nil
}

// chunk frames a piece of a message without a length; an empty one ends it.
func chunk(b []byte) net.Buffers {
	return net.Buffers{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
}

// putLong writes a piece; as a chunk, an empty one is the last.
func (c *client) putLong(b []byte, chunked bool) error {
	parts := net.Buffers{b}
	if chunked {
		parts = chunk(b)
	}
	c.conn.SetWriteDeadline(time.Now().Add(stall))
	_, err := parts.WriteTo(c.conn)
	return err
}
