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

const maxLingerBytes = 256 << 10 // bytes of a malformed request's rest that are taken and thrown away

// client is one connection of a client. It is parked while it brings nothing. Otherwise a goroutine reads requests and,
// while one is being worked on, watches for the client's leaving; respond writes the answer.
type clientConn struct {
	front        *frontend
	conn         net.Conn
	accepted     time.Time
	meter        wire.Meter
	br           *bufio.Reader  // nil while it is parked
	hasRequested bool           // it has brought a whole request
	graceUsed    bool           // the request at hand was read past its time
	verdict      places.Verdict // on the request at hand
	queueTime    time.Duration  // of the request at hand, before it was read

	// Guarded by front.mu.
	entry     places.Seat
	admission places.Turn
	pollEntry park.Spot
	parked    bool
	warm      bool // it counts among those that wait unparked
}

// giveWay ends a connection whose place is wanted and that has a goroutine, but for a request that is whole in its socket
// already. front.mu is held, so that no change of the connection's use can move the deadline.
func (c *clientConn) interrupt() { c.conn.SetReadDeadline(time.Now()) }

// Read reads off the connection. A deadline that has passed says nothing about bytes that have come: once for each
// request, what is there counts.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 || c.graceUsed || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if bytes, _ := wire.Arrived(c.conn); !bytes {
		return n, err
	}
	c.graceUsed = true
	c.conn.SetReadDeadline(time.Now().Add(c.front.times.lateGrace))
	return c.conn.Read(b)
}

// mark tells the book what the connection is at. within bounds what is to be read in it.
func (c *clientConn) updateState(tell func(now time.Duration, s *places.Seat), within time.Duration) {
	c.front.updateTable(func(now time.Duration) {
		c.endWarm()
		c.setReadTimeout(within)
		tell(now, &c.entry)
	})
}

// limitRead bounds what is read next; 0: not.
func (c *clientConn) setReadTimeout(within time.Duration) {
	var until time.Time
	if within > 0 {
		until = time.Now().Add(within)
	}
	c.conn.SetReadDeadline(until)
}

// cool ends the connection's waiting unparked, if it did. front.mu is held.
func (c *clientConn) endWarm() {
	if c.warm {
		c.warm = false
		c.front.warm--
	}
}

// setReading marks the first byte of a request. The limit of a connection's first one runs since it was accepted.
func (c *clientConn) markReading() {
	t := &c.front.times
	within := t.requestTimeout
	if !c.hasRequested {
		within = max(t.lateGrace, time.Until(c.accepted.Add(t.firstRequestTimeout)))
	}
	if c.verdict == places.Refuse { // those that wait to be refused behind it have waited for long enough
		within = min(within, t.refuseTimeout)
	}
	c.updateState(c.front.connTable.Begin, within)
}

// setTaken marks a request that has come whole: from here on only its own time bounds it.
func (c *clientConn) markReceived() {
	c.hasRequested, c.graceUsed = true, false
	c.updateState(c.front.connTable.Work, 0)
}

// setIdle marks the end of a request. For a moment the goroutine waits for the next one, if not too many do so and none
// waits for its turn; then the connection is parked. The book may end it at once.
func (c *clientConn) markIdle() {
	f := c.front
	f.updateTable(func(now time.Duration) {
		within := time.Nanosecond // over at once
		if f.warm < f.limits.maxWarm && f.admission.Waiting() == 0 && c.verdict == places.Serve {
			c.warm = true
			f.warm++
			within = f.times.warmWait
		}
		c.setReadTimeout(within)
		f.connTable.Rest(now, &c.entry)
	})
}

// last says whether the connection ends with the request at hand.
func (c *clientConn) isLast() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.front.connTable.Last(&c.entry)
}

// over says whether the connection is beyond the bound.
func (c *clientConn) overLimit() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.entry.Kind() == places.Over
}

// serve reads what has come and goes on until nothing comes for a moment, or the connection ends.
func (c *clientConn) serve(v places.Verdict, waited time.Duration) {
	c.br = c.front.bufs.Reader(&c.meter)
	c.verdict, c.queueTime = v, waited
	c.setReadTimeout(c.front.times.firstRequestTimeout) // the last limit may be over; that of a request is set with its first byte
	goesOn := true
	for goesOn && c.awaitRequest() {
		c.markReading()
		goesOn = c.serveRequest()
		c.queueTime = 0
	}
	c.front.mu.Lock()
	c.endWarm()
	c.front.mu.Unlock()
	c.parkOrClose(goesOn && c.meter.Err != nil && errors.Is(c.meter.Err, os.ErrDeadlineExceeded))
}

// await waits for the first byte of a request.
func (c *clientConn) awaitRequest() bool {
	c.meter.Allow(maxHeadBytes)
	_, err := c.br.Peek(1)
	return err == nil
}

// next takes one request and sees to its answer; it says whether the connection goes on.
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
		c.front.owner.tally.begin()
		defer c.front.owner.tally.end(q.names.tallies[q.Class], bad.status)
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

// readHead reads a request up to its body.
func (c *clientConn) readHead() (*http.Request, error) {
	c.meter.Allow(maxHeadBytes)
	head, err := wire.PeekHead(c.br, maxHeadBytes)
	if err == nil {
		err = wire.CheckHead(head, singleInRequests)
	}
	if err == nil {
		err = wire.CheckText(head)
	}
	if err != nil {
		return nil, err
	}
	return http.ReadRequest(c.br)
}

// handOver gives the request to the owner and waits for the answer to be written, or for the client to leave.
func (c *clientConn) dispatch(q *request, last bool) bool {
	written := make(chan bool, 1)
	c.markReceived()
	c.front.owner.tally.begin()
	class := q.names.tallies[q.Class] // from now on the owner may number it anew
	go func() { written <- c.respond(q, class, last) }()
	c.front.owner.post(requestReceived{q})
	if q.upload != nil && !c.pumpBody(q) {
		return <-written && false
	}
	c.meter.Allow(maxHeadBytes)
	_, err := c.br.Peek(1)
	var goesOn bool
	select {
	case goesOn = <-written: // the usual case: the answer is out, and now the next request comes
	default:
		early := requestAborted{request: q} // no news to the owner if the answer is on its way
		if err == nil {
			early.response = badPipelined.response()
		}
		c.front.owner.post(early)
		if goesOn = <-written; err == nil && !goesOn {
			c.linger()
		}
	}
	return goesOn && (err == nil || errors.Is(err, os.ErrDeadlineExceeded))
}

// turnDown refuses a request that has waited for too long to be read. Nothing has been sent for it.
func (c *clientConn) refuse(q *request, last bool) bool {
	freeRequest(c.front.bufs, q)
	c.markReceived()
	c.front.owner.tally.begin()
	defer c.front.owner.tally.end(q.names.tallies[q.Class], http.StatusServiceUnavailable)
	a := clientResponse{status: http.StatusServiceUnavailable, text: "busy\n", retryAfterSeconds: q.names.retryAfterSeconds}
	return c.deliver(&a, last)
}

// health answers the client's question whether it may begin.
func (c *clientConn) answerHealthCheck(r *http.Request) bool {
	a := clientResponse{status: http.StatusOK}
	if !c.front.owner.ready.Load() {
		a.status = http.StatusInternalServerError // not 503, which would be a refusal
	}
	c.markReceived()
	return c.deliver(&a, r.Close)
}

// reject answers what is not a request with a plain error and ends the connection.
func (c *clientConn) reject(bad *badRequest) {
	if bad == nil || bad.status == 0 {
		return
	}
	a := bad.response()
	if c.writeFinal(&a) {
		c.linger()
	}
}

// finish writes the last answer of a connection that a client has spoilt.
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

// linger takes what the client still sends for a moment: closing at once would reset the connection and with it the
// answer.
func (c *clientConn) linger() {
	c.updateState(c.front.connTable.Linger, c.front.times.lingerTimeout)
	c.meter.Allow(maxLingerBytes)
	for {
		if _, err := c.br.Discard(wire.BufferSize); err != nil {
			return
		}
	}
}
