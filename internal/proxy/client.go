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

const lingerMost = 256 << 10 // bytes of a malformed request's rest that are taken and thrown away

// client is one connection of a client. It is parked while it brings nothing. Otherwise a goroutine reads requests and,
// while one is being worked on, watches for the client's leaving; respond writes the answer.
type client struct {
	front    *front
	conn     net.Conn
	accepted time.Time
	meter    wire.Meter
	br       *bufio.Reader  // nil while it is parked
	served   bool           // it has brought a whole request
	graced   bool           // the request at hand was read past its time
	verdict  places.Verdict // on the request at hand
	waited   time.Duration  // of the request at hand, before it was read

	// Guarded by front.mu.
	seat   places.Seat
	turn   places.Turn
	spot   park.Spot
	parked bool
	warm   bool // it counts among those that wait unparked
}

// giveWay ends a connection whose place is wanted and that has a goroutine, but for a request that is whole in its socket
// already. front.mu is held, so that no change of the connection's use can move the deadline.
func (c *client) giveWay() { c.conn.SetReadDeadline(time.Now()) }

// Read reads off the connection. A deadline that has passed says nothing about bytes that have come: once for each
// request, what is there counts.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 || c.graced || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if bytes, _ := wire.Arrived(c.conn); !bytes {
		return n, err
	}
	c.graced = true
	c.conn.SetReadDeadline(time.Now().Add(c.front.times.late))
	return c.conn.Read(b)
}

// mark tells the book what the connection is at. within bounds what is to be read in it.
func (c *client) mark(tell func(now time.Duration, s *places.Seat), within time.Duration) {
	c.front.seat(func(now time.Duration) {
		c.cool()
		c.limitRead(within)
		tell(now, &c.seat)
	})
}

// limitRead bounds what is read next; 0: not.
func (c *client) limitRead(within time.Duration) {
	var until time.Time
	if within > 0 {
		until = time.Now().Add(within)
	}
	c.conn.SetReadDeadline(until)
}

// cool ends the connection's waiting unparked, if it did. front.mu is held.
func (c *client) cool() {
	if c.warm {
		c.warm = false
		c.front.warm--
	}
}

// setReading marks the first byte of a request. The limit of a connection's first one runs since it was accepted.
func (c *client) setReading() {
	t := &c.front.times
	within := t.head
	if !c.served {
		within = max(t.late, time.Until(c.accepted.Add(t.fresh)))
	}
	if c.verdict == places.Refuse { // those that wait to be refused behind it have waited for long enough
		within = min(within, t.refuse)
	}
	c.mark(c.front.book.Begin, within)
}

// setTaken marks a request that has come whole: from here on only its own time bounds it.
func (c *client) setTaken() {
	c.served, c.graced = true, false
	c.mark(c.front.book.Work, 0)
}

// setIdle marks the end of a request. For a moment the goroutine waits for the next one, if not too many do so and none
// waits for its turn; then the connection is parked. The book may end it at once.
func (c *client) setIdle() {
	f := c.front
	f.seat(func(now time.Duration) {
		within := time.Nanosecond // over at once
		if f.warm < f.limits.warm && f.desk.Waiting() == 0 && c.verdict == places.Serve {
			c.warm = true
			f.warm++
			within = f.times.warm
		}
		c.limitRead(within)
		f.book.Rest(now, &c.seat)
	})
}

// last says whether the connection ends with the request at hand.
func (c *client) last() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.front.book.Last(&c.seat)
}

// over says whether the connection is beyond the bound.
func (c *client) over() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return c.seat.Kind() == places.Over
}

// serve reads what has come and goes on until nothing comes for a moment, or the connection ends.
func (c *client) serve(v places.Verdict, waited time.Duration) {
	c.br = c.front.bufs.Reader(&c.meter)
	c.verdict, c.waited = v, waited
	c.limitRead(c.front.times.fresh) // the last limit may be over; that of a request is set with its first byte
	goesOn := true
	for goesOn && c.await() {
		c.setReading()
		goesOn = c.next()
		c.waited = 0
	}
	c.front.mu.Lock()
	c.cool()
	c.front.mu.Unlock()
	c.settle(goesOn && c.meter.Err != nil && errors.Is(c.meter.Err, os.ErrDeadlineExceeded))
}

// await waits for the first byte of a request.
func (c *client) await() bool {
	c.meter.Allow(maxHead)
	_, err := c.br.Peek(1)
	return err == nil
}

// next takes one request and sees to its answer; it says whether the connection goes on.
func (c *client) next() bool {
	r, err := c.readHead()
	if err != nil {
		c.reject(c.errorFor(err))
		return false
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		return c.health(r)
	}
	q, bad := c.parse(r)
	if line := c.front.log.Check(zap.DebugLevel, "request read"); line != nil && bad == nil {
		line.Write(zap.String("id", q.name), zap.Stringer("from", c.conn.RemoteAddr()))
	}
	if bad == nil && c.over() {
		freeRequest(c.front.bufs, q)
		bad = &badRequest{http.StatusInternalServerError, "too many connections"}
		c.front.owner.stats.begin()
		defer c.front.owner.stats.end(q.names.tally[q.Class], bad.status)
	}
	if bad != nil {
		c.reject(bad)
		return false
	}
	if c.verdict == places.Refuse {
		return c.turnDown(q, r.Close)
	}
	return c.handOver(q, r.Close)
}

// readHead reads a request up to its body.
func (c *client) readHead() (*http.Request, error) {
	c.meter.Allow(maxHead)
	head, err := wire.PeekHead(c.br, maxHead)
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
func (c *client) handOver(q *request, last bool) bool {
	written := make(chan bool, 1)
	c.setTaken()
	c.front.owner.stats.begin()
	class := q.names.tally[q.Class] // from now on the owner may number it anew
	go func() { written <- c.respond(q, class, last) }()
	c.front.owner.post(arrival{q})
	if q.up != nil && !c.pump(q) {
		return <-written && false
	}
	c.meter.Allow(maxHead)
	_, err := c.br.Peek(1)
	var goesOn bool
	select {
	case goesOn = <-written: // the usual case: the answer is out, and now the next request comes
	default:
		early := departure{request: q} // no news to the owner if the answer is on its way
		if err == nil {
			early.answer = errBehind.answer()
		}
		c.front.owner.post(early)
		if goesOn = <-written; err == nil && !goesOn {
			c.linger()
		}
	}
	return goesOn && (err == nil || errors.Is(err, os.ErrDeadlineExceeded))
}

// turnDown refuses a request that has waited for too long to be read. Nothing has been sent for it.
func (c *client) turnDown(q *request, last bool) bool {
	freeRequest(c.front.bufs, q)
	c.setTaken()
	c.front.owner.stats.begin()
	defer c.front.owner.stats.end(q.names.tally[q.Class], http.StatusServiceUnavailable)
	a := answer{status: http.StatusServiceUnavailable, text: "busy\n", coolDown: q.names.coolDown}
	return c.deliver(&a, last)
}

// health answers the client's question whether it may begin.
func (c *client) health(r *http.Request) bool {
	a := answer{status: http.StatusOK}
	if !c.front.owner.ready.Load() {
		a.status = http.StatusInternalServerError // not 503, which would be a refusal
	}
	c.setTaken()
	return c.deliver(&a, r.Close)
}

// reject answers what is not a request with a plain error and ends the connection.
func (c *client) reject(bad *badRequest) {
	if bad == nil || bad.status == 0 {
		return
	}
	a := bad.answer()
	if c.finish(&a) {
		c.linger()
	}
}

// finish writes the last answer of a connection that a client has spoilt.
func (c *client) finish(a *answer) bool {
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
func (c *client) linger() {
	c.mark(c.front.book.Linger, c.front.times.linger)
	c.meter.Allow(lingerMost)
	for {
		if _, err := c.br.Discard(wire.BufferSize); err != nil {
			return
		}
	}
}
