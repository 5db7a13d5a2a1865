package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"beechwing/internal/wire"
)

// clientResponse is the final response to a request. A status of zero means that the client has left and nothing is
// written.
type clientResponse struct {
	status            int
	contentType       string    // of a response from a host
	body              wire.Body // from a host
	stream            *stream   // a long response, in place of body
	contentLength     int64     // of stream; negative: unknown
	noChunks          bool      // the client speaks HTTP/1.0 and cannot read chunked encoding
	text              string    // body of a response made by the proxy
	retryAfterSeconds float64
	closeAfter        bool        // the connection is closed after it
	protocolError     bool        // it answers an invalid request
	abortedAttempts   []*attempt  // attempts that were aborted when the response was decided
	end               *requestEnd // counts the request before the last byte is written; nil: the request is not counted
}

// respond waits for the response from the owner and writes it. It reports whether the connection stays open.
func (c *clientConn) respond(q *request, class *classStats, last bool) bool {
	a := <-q.response
	defer c.front.bufs.FreeBody(&a.body)
	a.end = &requestEnd{stats: c.front.owner.stats, class: class}
	defer func() { a.end.count(a.status) }()
	if a.stream != nil {
		defer a.stream.abandon()
	}
	for _, at := range a.abortedAttempts { // once a request is answered, no further bytes may be sent for it
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

// deliver writes the response to a complete request. last means that the client wants no further request on the
// connection. It reports whether the connection stays open.
func (c *clientConn) deliver(a *clientResponse, last bool) bool {
	a.closeAfter = last || c.isLast()
	a.closeAfter = a.closeAfter || a.stream != nil && a.noChunks && a.contentLength < 0 // only the close marks the end
	err := c.write(a)
	if err == nil {
		err = c.relayResponse(a)
	}
	if err != nil { // the client can tell that the response is incomplete; closing also ends the reading goroutine
		a.status = http.StatusBadGateway
		c.conn.Close()
		return false
	}
	c.markIdle()
	return !a.closeAfter
}

// write sends a response in one gathered write.
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
	if w.Full { // only a host's Content-Type can be that long
		return wire.ErrTooLarge
	}
	if a.stream == nil {
		a.end.count(a.status)
	}
	c.conn.SetWriteDeadline(time.Now().Add(c.front.times.responseTimeout))
	parts := a.body.AppendTo(net.Buffers{w.Buf})
	_, err := parts.WriteTo(c.conn)
	return err
}
