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
type clientResponse struct {
	status            int
	contentType       string    // content type of a served body
	body              wire.Body // of a host's answer
	stream            *stream   // a long one, in body's place
	contentLength     int64
	noChunks          bool   // its client knows no chunks
	text              string // of an answer of our own
	retryAfterSeconds float64
	closeAfter        bool       // the connection ends after it
	protocolError     bool       // it answers what is not a request
	abortedAttempts   []*attempt // called off with it
}

// respond waits for the owner's answer and writes it. It says whether the connection may go on.
func (c *clientConn) respond(q *request, class *classTally, last bool) bool {
	a := <-q.response
	defer c.front.bufs.FreeBody(&a.body)
	defer func() { c.front.owner.tally.end(class, a.status) }()
	if a.stream != nil {
		defer a.stream.abandon()
	}
	for _, at := range a.abortedAttempts { // nothing may be sent for a request once it is answered
		at.awaitWrites()
	}
	if a.status == 0 {
		return false
	}
	if a.protocolError {
		c.writeFinal(&a)
		return false
	}
	a.noChunks = q.noChunks
	return c.deliver(&a, last)
}

// deliver writes the answer to a whole request. last says that the client wants no further one; the result, whether the
// connection goes on.
func (c *clientConn) deliver(a *clientResponse, last bool) bool {
	a.closeAfter = last || c.isLast()
	a.closeAfter = a.closeAfter || a.stream != nil && a.noChunks && a.contentLength < 0 // only the end of the connection ends it
	err := c.write(a)
	if err == nil {
		err = c.relayResponse(a)
	}
	if err != nil { // what the client got is not whole, and it can tell; its reader waits for nothing more
		a.status = http.StatusBadGateway
		c.conn.Close()
		return false
	}
	c.markIdle()
	return !a.closeAfter
}

// write sends an answer in one gathered write.
func (c *clientConn) write(a *clientResponse) error {
	buf := c.front.bufs.Buffer()
	defer c.front.bufs.PutBuffer(buf)
	w := &wire.FixedWriter{Buf: buf[:0]}
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s", a.status, http.StatusText(a.status), a.framing())
	if a.contentType != "" {
		fmt.Fprintf(w, "Content-Type: %s\r\n", a.contentType)
	}
	if a.retryAfterSeconds > 0 {
		fmt.Fprintf(w, "Retry-After: %s\r\n", strconv.FormatFloat(a.retryAfterSeconds, 'f', 3, 64))
	}
	if a.closeAfter {
		fmt.Fprint(w, "Connection: close\r\n")
	}
	fmt.Fprintf(w, "\r\n%s", a.text)
	if w.Full { // only a host's content type can be that long
		return wire.ErrTooLarge
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.front.times.responseTimeout))
	parts := a.body.Parts(net.Buffers{w.Buf})
	_, err := parts.WriteTo(c.conn)
	return err
}
