package proxy

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/park"
	"beechwing/internal/places"
	"beechwing/internal/wire"
)

const maxLingerBytes = 256 << 10 // bytes that are read and discarded after a rejected request

// clientConn is a connection from a client. It is parked while nothing arrives on it. Otherwise a goroutine (serve)
// reads requests and, while one is being processed, detects that the client has closed the connection; another
// goroutine (respond) writes the response.
type clientConn struct {
	front        *frontend
	conn         net.Conn
	accepted     time.Time
	meter        wire.LimitedReader
	br           *bufio.Reader   // nil while the connection is parked
	hasRequested bool            // a complete request has been received
	graceUsed    bool            // the deadline of the current request has been extended by the grace time
	verdict      places.Decision // for the current request
	queueTime    time.Duration   // time that the current request waited before it was read

	// Guarded by front.mu.
	entry     places.Conn
	admission places.QueueEntry
	pollEntry park.Registration
	parked    bool
	warm      bool // counted in front.warm
}

// interrupt ends the reading of a connection that has a goroutine, so that it is closed. A request that is already
// complete in the socket buffer is still read. The caller holds front.mu, so that no state change of the connection
// can move the deadline.
func (c *clientConn) interrupt() { c.conn.SetReadDeadline(time.Now()) }

// Read reads from the connection. Bytes may have arrived before the read deadline without having been read, so the
// deadline is extended by a short grace time once per request if bytes are waiting.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 || c.graceUsed || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if bytes, _ := wire.Pending(c.conn); !bytes {
		return n, err
	}
	c.graceUsed = true
	c.conn.SetReadDeadline(time.Now().Add(c.front.times.lateGrace))
	return c.conn.Read(b)
}

// updateState applies a state change of the connection to the connection table, and bounds the reads in the new
// state.
func (c *clientConn) updateState(apply func(now time.Duration, s *places.Conn), readTimeout time.Duration) {
	c.front.updateTable(func(now time.Duration) {
		c.endWarm()
		c.setReadTimeout(readTimeout)
		apply(now, &c.entry)
	})
}

// setReadTimeout bounds the reads that follow; 0 means no limit.
func (c *clientConn) setReadTimeout(timeout time.Duration) {
	var until time.Time
	if timeout > 0 {
		until = time.Now().Add(timeout)
	}
	c.conn.SetReadDeadline(until)
}

// endWarm ends the warm state of the connection, if it was warm. The caller holds front.mu.
func (c *clientConn) endWarm() {
	if c.warm {
		c.warm = false
		c.front.warm--
	}
}

// markReading records the first byte of a request. For the first request of a connection, the time limit runs from
// the accept.
func (c *clientConn) markReading() {
	t := &c.front.times
	within := t.requestTimeout
	if !c.hasRequested {
		within = max(t.lateGrace, time.Until(c.accepted.Add(t.firstRequestTimeout)))
	}
	if c.verdict == places.Refuse { // the refused requests queued behind this one have waited long enough
		within = min(within, t.refuseTimeout)
	}
	c.updateState(c.front.connTable.RequestStarted, within)
}

// markReceived records that a request is complete. From here on only the deadline of the request applies.
func (c *clientConn) markReceived() {
	c.hasRequested, c.graceUsed = true, false
	c.updateState(c.front.connTable.RequestReceived, 0)
}

// markIdle records the end of a request. If not too many connections are warm and no request is queued, the goroutine
// waits a moment for the next request; otherwise the connection is parked. The table may select the connection to be
// closed at once.
func (c *clientConn) markIdle() {
	f := c.front
	f.updateTable(func(now time.Duration) {
		within := time.Nanosecond // expires at once
		if f.warm < f.limits.maxWarm && f.admission.Waiting() == 0 && c.verdict == places.Serve {
			c.warm = true
			f.warm++
			within = f.times.warmWait
		}
		c.setReadTimeout(within)
		f.connTable.RequestDone(now, &c.entry)
	})
}

// isLast reports whether the connection is to be closed after the current request.
func (c *clientConn) isLast() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.front.connTable.ClosesAfterRequest(&c.entry)
}

// overLimit reports whether the connection was accepted beyond the connection limit.
func (c *clientConn) overLimit() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.entry.State() == places.StateOverLimit
}

// serve reads and processes requests until nothing arrives for a moment or the connection ends.
func (c *clientConn) serve(v places.Decision, waited time.Duration) {
	c.br = c.front.bufs.Reader(&c.meter)
	c.verdict, c.queueTime = v, waited
	c.setReadTimeout(c.front.times.firstRequestTimeout) // the old deadline may have passed
	keepOpen := true
	for keepOpen && c.awaitRequest() {
		c.markReading()
		keepOpen = c.serveRequest()
		c.queueTime = 0
	}
	c.front.mu.Lock()
	c.endWarm()
	c.front.mu.Unlock()
	c.parkOrClose(keepOpen && c.meter.Err != nil && errors.Is(c.meter.Err, os.ErrDeadlineExceeded))
}

// awaitRequest waits for the first byte of a request.
func (c *clientConn) awaitRequest() bool {
	c.meter.SetLimit(maxHeadBytes)
	_, err := c.br.Peek(1)
	return err == nil
}

// serveRequest reads one request and gets it answered. It reports whether the connection stays open.
func (c *clientConn) serveRequest() bool {
	r, err := c.readHead()
	if err != nil {
		c.reject(c.readError(err))
		return false
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		return c.answerHealthCheck(r)
	}
	q, bad := c.parse(r)
	if line := c.front.log.Check(zap.DebugLevel, "request read"); line != nil && bad == nil {
		line.Write(zap.String("id", q.txnID), zap.Stringer("from", c.conn.RemoteAddr()))
	}
	if bad == nil && c.overLimit() {
		freeRequest(c.front.bufs, q)
		bad = &badRequest{http.StatusInternalServerError, "too many connections"}
		c.front.owner.stats.begin()
		c.front.owner.stats.end(q.names.tallies[q.Class], bad.status)
	}
	if bad != nil {
		c.reject(bad)
		return false
	}
	if c.verdict == places.Refuse {
		return c.refuse(q, r.Close)
	}
	return c.dispatch(q, r.Close)
}

// readHead reads the head of a request and checks it.
func (c *clientConn) readHead() (*http.Request, error) {
	c.meter.SetLimit(maxHeadBytes)
	head, err := wire.PeekHead(c.br, maxHeadBytes)
	if err == nil {
		err = wire.CheckHead(head, singleInRequests)
	}
	if err == nil {
		err = wire.CheckControlChars(head)
	}
	if err != nil {
		return nil, err
	}
	return http.ReadRequest(c.br)
}

// dispatch passes the request to the owner and waits until the response is written or the client leaves. It reports
// whether the connection stays open.
func (c *clientConn) dispatch(q *request, last bool) bool {
	written := make(chan bool, 1)
	c.markReceived()
	c.front.owner.stats.begin()
	class := q.names.tallies[q.Class] // read now: a settings change may renumber the classes once the owner has the request
	go func() { written <- c.respond(q, class, last) }()
	c.front.owner.post(requestReceived{q})
	if q.upload != nil && !c.pumpBody(q) {
		return <-written && false
	}
	c.meter.SetLimit(maxHeadBytes)
	_, err := c.br.Peek(1)
	var keepOpen bool
	select {
	case keepOpen = <-written: // the usual case: the response is written, and the next request has begun
	default:
		early := requestAborted{request: q} // the owner ignores this if the response is already on its way
		if err == nil {
			early.response = badPipelined.response()
		}
		c.front.owner.post(early)
		if keepOpen = <-written; err == nil && !keepOpen {
			c.linger()
		}
	}
	return keepOpen && (err == nil || errors.Is(err, os.ErrDeadlineExceeded))
}

// refuse answers 503 to a request that waited too long before it was read. No attempt has been made.
func (c *clientConn) refuse(q *request, last bool) bool {
	freeRequest(c.front.bufs, q)
	c.markReceived()
	c.front.owner.stats.begin()
	c.front.owner.stats.end(q.names.tallies[q.Class], http.StatusServiceUnavailable)
	a := clientResponse{status: http.StatusServiceUnavailable, text: "busy\n", retryAfterSeconds: q.names.retryAfterSeconds}
	return c.deliver(&a, last)
}

// answerHealthCheck tells the client whether the proxy is ready.
func (c *clientConn) answerHealthCheck(r *http.Request) bool {
	a := clientResponse{status: http.StatusOK}
	if !c.front.owner.ready.Load() {
		a.status = http.StatusInternalServerError // not 503, which clients treat as a refusal
	}
	c.markReceived()
	return c.deliver(&a, r.Close)
}

// reject answers an invalid request with an error response and closes the connection.
func (c *clientConn) reject(bad *badRequest) {
	if bad == nil || bad.status == 0 {
		return
	}
	a := bad.response()
	if c.writeFinal(&a) {
		c.linger()
	}
}

// writeFinal writes the last response on a connection whose client violated the protocol.
func (c *clientConn) writeFinal(a *clientResponse) bool {
	c.front.log.Debug("request rejected", zap.Int("status", a.status), zap.String("why", a.text))
	if c.write(a) != nil {
		return false
	}
	if hc, ok := c.conn.(interface{ CloseWrite() error }); ok {
		hc.CloseWrite()
	}
	return true
}

// linger reads and discards what the client still sends for a moment. Closing at once would reset the connection and
// the client might lose the response.
func (c *clientConn) linger() {
	c.updateState(c.front.connTable.Linger, c.front.times.lingerTimeout)
	c.meter.SetLimit(maxLingerBytes)
	for {
		if _, err := c.br.Discard(wire.BufferSize); err != nil {
			return
		}
	}
}
