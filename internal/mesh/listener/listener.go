// Package listener is the downstream listener: it reads clients' HTTP/1.1 requests and writes the responses.
// Open starts a Listener, which calls a function for every valid request and sends its response. Invalid
// requests, and requests beyond the limits, are answered by the listener itself with the status that HTTP
// defines for them.
package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"beechwing/internal/wire"
)

// Limits bounds the size of requests and the time that clients may take.
type Limits struct {
	HeadBytes   int
	BodyBytes   int64
	HeadTimeout time.Duration // from the first byte of the request
	IdleTimeout time.Duration // between requests
}

// DefaultLimits are the limits used if none are configured.
var DefaultLimits = Limits{HeadBytes: 16 << 10, BodyBytes: 64 << 20, HeadTimeout: 10 * time.Second, IdleTimeout: time.Minute}

const (
	maxHeadBytes     = wire.BufferSize  // upper bound, whatever the configuration says
	bodyTimeout      = 30 * time.Second // for a client to send a body
	writeTimeout     = 10 * time.Second // for a client to read a response
	lingerTimeout    = 200 * time.Millisecond
	lingerBytes      = 256 << 10
	acceptRetryDelay = 20 * time.Millisecond // after a failed accept, for example for lack of file descriptors
)

// Request is a completely received request.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	Framed               bool // it has a body, possibly an empty one

	listener *Listener
	conn     *conn
}

// Response is the response to a request. Content-Length and Connection are added to its fields. A zero Status
// closes the connection without a response.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
}

// Field is one header field.
type Field struct{ Name, Value string }

// Listener accepts connections and serves the requests on them.
type Listener struct {
	ln                 net.Listener
	limits             func() Limits
	serve              func(*Request) Response
	bufs               *wire.Pool
	closeAfterResponse atomic.Bool // every response closes its connection

	mu      sync.Mutex
	conns   map[*conn]bool
	closing bool
	watched []*conn // buffers of closed, kept between its calls
	polled  []unix.PollFd
	wg      sync.WaitGroup
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	meter    wire.LimitedReader
	br       *bufio.Reader
	busy     bool   // a request is being read or served; guarded by Listener.mu
	fd       int32  // 0: not determined yet; guarded by Listener.mu
	onClosed func() // called once if the client closes the connection; may be nil; guarded by Listener.mu
}

// Open starts accepting connections. serve is called for each request, concurrently for different connections.
func Open(ln net.Listener, bufs *wire.Pool, limits func() Limits, serve func(*Request) Response) *Listener {
	l := &Listener{ln: ln, bufs: bufs, limits: limits, serve: serve, conns: map[*conn]bool{}}
	go l.accept()
	return l
}

// DisableKeepAlives makes every response from now on close its connection.
func (l *Listener) DisableKeepAlives() { l.closeAfterResponse.Store(true) }

// Close stops accepting, closes idle connections and waits for requests in progress, at most for the timeout.
func (l *Listener) Close(timeout time.Duration) {
	l.DisableKeepAlives()
	l.ln.Close()
	l.mu.Lock()
	l.closing = true
	for c := range l.conns {
		if !c.busy {
			c.SetReadDeadline(time.Now())
		}
	}
	l.mu.Unlock()
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// accept accepts connections until the listener is closed.
func (l *Listener) accept() {
	for {
		nc, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		nc = wire.NewDirectConn(nc)
		c := &conn{Conn: nc, meter: wire.LimitedReader{R: nc}}
		l.mu.Lock()
		if l.closing {
			l.mu.Unlock()
			nc.Close()
			continue
		}
		l.conns[c] = true
		l.wg.Add(1)
		l.mu.Unlock()
		go l.run(c)
	}
}

// setBusy sets whether a connection is busy, and reports whether it may go on.
func (l *Listener) setBusy(c *conn, busy bool, idle time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.busy = busy
	if !busy {
		c.SetReadDeadline(time.Now().Add(idle))
	}
	return !l.closing || busy
}

// run serves a connection until it ends.
func (l *Listener) run(c *conn) {
	c.br = l.bufs.Reader(&c.meter)
	defer func() {
		c.Close()
		l.bufs.PutReader(c.br)
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
		l.wg.Done()
	}()
	for {
		limits := l.limits()
		c.meter.SetLimit(maxHeadBytes)
		if !l.setBusy(c, false, limits.IdleTimeout) {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		l.setBusy(c, true, 0)
		r, errResponse := c.read(limits)
		if errResponse != nil {
			if errResponse.Status > 0 && c.write(*errResponse, true) == nil {
				c.linger()
			}
			return
		}
		q := &Request{Method: r.Method, Target: target(r), Host: r.Host, Header: r.Header, listener: l, conn: c}
		if q.Body, errResponse = c.body(r, limits); errResponse != nil {
			if errResponse.Status > 0 && c.write(*errResponse, true) == nil {
				c.linger()
			}
			return
		}
		q.Framed = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
		response := l.serve(q)
		l.unwatch(c)
		if response.Status == 0 {
			return
		}
		last := r.Close || l.closeAfterResponse.Load()
		if c.write(response, last) != nil || last {
			return
		}
	}
}

// singleHeaders are the headers that a request may contain only once.
var singleHeaders = []string{"Content-Length", "Transfer-Encoding", "Host"}

// read reads the head of a request. If no complete request arrives, the returned response has no status, which
// closes the connection without a response.
func (c *conn) read(limits Limits) (*http.Request, *Response) {
	maxBytes := min(limits.HeadBytes, maxHeadBytes-1)
	c.SetReadDeadline(time.Now().Add(limits.HeadTimeout))
	head, err := wire.PeekHead(c.br, maxBytes)
	if err == nil {
		err = wire.CheckHead(head, singleHeaders)
	}
	if err == nil {
		err = wire.CheckControlChars(head)
	}
	var r *http.Request
	if err == nil {
		r, err = http.ReadRequest(c.br)
	}
	var netErr net.Error
	switch {
	case err == nil:
		return r, nil
	case errors.Is(err, wire.ErrTooLarge), errors.Is(err, bufio.ErrBufferFull):
		return nil, errorResponse(http.StatusRequestHeaderFieldsTooLarge, "header is too large")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return nil, &Response{}
	}
	return nil, errorResponse(http.StatusBadRequest, "malformed request")
}

// errorResponse returns a response with a one-line text body.
func errorResponse(status int, why string) *Response {
	return &Response{Status: status, Fields: []Field{{"Content-Type", "text/plain"}}, Body: []byte(why + "\n")}
}

// target returns path and query as received. A client that uses this process as a forward proxy sends an
// absolute URI, from which path and query are taken.
func target(r *http.Request) string {
	if r.URL.Scheme != "" && r.URL.Host != "" {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

// body reads the complete body of a request.
func (c *conn) body(r *http.Request, limits Limits) ([]byte, *Response) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, errorResponse(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, &Response{}
		}
	}
	c.SetReadDeadline(time.Now().Add(bodyTimeout))
	const maxOverhead = 2 // of chunked encoding; bodies in chunks of few bytes exceed it and are rejected
	c.meter.SetLimit(int(min(maxOverhead*limits.BodyBytes+maxHeadBytes, 1<<30)))
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, limits.BodyBytes+1))
	}
	var netErr net.Error
	switch {
	case int64(len(body)) > limits.BodyBytes, errors.Is(err, wire.ErrTooLarge):
		return nil, errorResponse(http.StatusRequestEntityTooLarge, "body is too large")
	case err == nil:
		return body, nil
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &netErr):
		return nil, &Response{}
	}
	return nil, errorResponse(http.StatusBadRequest, "malformed body")
}

// write sends a response in one write.
func (c *conn) write(r Response, last bool) error {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(append(append(b, ' '), http.StatusText(r.Status)...), "\r\n"...)
	for _, f := range r.Fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	b = append(append(b, "\r\n"...), r.Body...)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(b)
	return err
}

// linger reads for a moment what the client still sends: closing at once would reset the connection before the
// client has read the response.
func (c *conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.meter.SetLimit(lingerBytes)
	io.Copy(io.Discard, c.br)
}
