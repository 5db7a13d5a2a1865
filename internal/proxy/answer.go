package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"beechwing/internal/wire"
)

// answer is the final word on a request. A status of zero means that nobody is there to hear one.
type answer struct {
	status   int
	kind     string    // content type of a served body
	body     wire.Body // of a host's answer
	long     *stream   // a long one, in body's place
	length   int64
	old      bool   // its client knows no chunks
	text     string // of an answer of our own
	coolDown float64
	last     bool       // the connection ends after it
	bad      bool       // it answers what is not a request
	stopped  []*attempt // called off with it
}

// respond waits for the owner's answer and writes it. It says whether the connection may go on.
func (c *client) respond(q *request, class *classStats, last bool) bool {
	a := <-q.answer
	defer c.front.bufs.FreeBody(&a.body)
	defer func() { c.front.owner.stats.end(class, a.status) }()
	if a.long != nil {
		defer a.long.leave()
	}
	for _, at := range a.stopped { // nothing may be sent for a request once it is answered
		at.quiet()
	}
	if a.status == 0 {
		return false
	}
	if a.bad {
		c.finish(&a)
		return false
	}
	a.old = q.old
	return c.deliver(&a, last)
}

// deliver writes the answer to a whole request. last says that the client wants no further one; the result, whether the
// connection goes on.
func (c *client) deliver(a *answer, last bool) bool {
	a.last = last || c.last()
	a.last = a.last || a.long != nil && a.old && a.length < 0 // only the end of the connection ends it
	err := c.write(a)
	if err == nil {
		err = c.pass(a)
	}
	if err != nil { // what the client got is not whole, and it can tell; its reader waits for nothing more
		a.status = http.StatusBadGateway
		c.conn.Close()
		return false
	}
	c.setIdle()
	return !a.last
}

// write sends an answer in one gathered write.
func (c *client) write(a *answer) error {
	buf := c.front.bufs.Buffer()
	defer c.front.bufs.PutBuffer(buf)
	w := &wire.FixedWriter{Buf: buf[:0]}
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s", a.status, http.StatusText(a.status), a.framing())
	if a.kind != "" {
		fmt.Fprintf(w, "Content-Type: %s\r\n", a.kind)
	}
	if a.coolDown > 0 {
		fmt.Fprintf(w, "Retry-After: %s\r\n", strconv.FormatFloat(a.coolDown, 'f', 3, 64))
	}
	if a.last {
		fmt.Fprint(w, "Connection: close\r\n")
	}
	fmt.Fprintf(w, "\r\n%s", a.text)
	if w.Full { // only a host's content type can be that long
		return wire.ErrTooLarge
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.front.times.answer))
	parts := a.body.Parts(net.Buffers{w.Buf})
	_, err := parts.WriteTo(c.conn)
	return err
}
