// Package listener is the downstream listener: it reads clients' HTTP/1.1 requests and writes the responses. A valid request is
// passed on as it is; an invalid one, or one beyond the limits, is answered here with the status that the protocol has for it.
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

// Limits bound the size of requests and the time that clients may take.
type Limits struct {
	HeadBytes  int
	BodyBytes  int64
	HeadWithin time.Duration // from its first byte
	IdleFor    time.Duration // between requests
}

// DefaultLimits are the limits without a configuration.
var DefaultLimits = Limits{HeadBytes: 16 << 10, BodyBytes: 64 << 20, HeadWithin: 10 * time.Second, IdleFor: time.Minute}

const (
	maxHead      = wire.BufferSize  // whatever the configuration says
	bodyTimeout  = 30 * time.Second // for a client to send a body
	writeTimeout = 10 * time.Second // for a client to read a response
	lingerFor    = 200 * time.Millisecond
	lingerBytes  = 256 << 10
	acceptPause  = 20 * time.Millisecond // after a failed accept, as when descriptors run out
)

// Request is a request that has been read whole.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	Framed               bool // it had a body, also an empty one

	listener *Listener
	conn     *conn
}

// Response is the response to a request. Content-Length and Connection are added to its fields. One without a status closes the
// connection without an answer.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
}

// Field is one header field.
type Field struct{ Name, Value string }

// Listener accepts connections and serves them.
type Listener struct {
	ln     net.Listener
	limits func() Limits
	serve  func(*Request) Response
	bufs   *wire.Pool
	last   atomic.Bool // every response closes its connection

	mu      sync.Mutex
	conns   map[*conn]bool
	ended   bool
	watched []*conn // kept between calls of closed, with what it asks of them
	polled  []unix.PollFd
	wg      sync.WaitGroup
}

type conn struct {
	net.Conn
	meter wire.Meter
	br    *bufio.Reader
	busy  bool   // a request is being read or served; guarded by Listener.mu
	fd    int32  // 0: not known yet; guarded by Listener.mu
	left  func() // to be called once if the client closes the connection; nil: nobody waits for that; guarded by Listener.mu
}

// Open begins to accept connections. serve is called for each request, concurrently.
func Open(ln net.Listener, bufs *wire.Pool, limits func() Limits, serve func(*Request) Response) *Listener {
	l := &Listener{ln: ln, bufs: bufs, limits: limits, serve: serve, conns: map[*conn]bool{}}
	go l.accept()
	return l
}

// DisableKeepAlives has every response from now on close its connection.
func (l *Listener) DisableKeepAlives() { l.last.Store(true) }

// Close stops accepting, closes idle connections and waits for requests in progress, at most for the timeout.
func (l *Listener) Close(timeout time.Duration) {
	l.DisableKeepAlives()
	l.ln.Close()
	l.mu.Lock()
	l.ended = true
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

func (l *Listener) accept() {
	for {
		nc, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		nc = wire.Quicken(nc)
		c := &conn{Conn: nc, meter: wire.Meter{R: nc}}
		l.mu.Lock()
		if l.ended {
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

// mark sets whether a connection is busy, and reports whether it may go on.
func (l *Listener) mark(c *conn, busy bool, idle time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.busy = busy
	if !busy {
		c.SetReadDeadline(time.Now().Add(idle))
	}
	return !l.ended || busy
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
		c.meter.Allow(maxHead)
		if !l.mark(c, false, limits.IdleFor) {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		l.mark(c, true, 0)
		r, bad := c.read(limits)
		if bad != nil {
			if bad.Status > 0 && c.write(*bad, true) == nil {
				c.linger()
			}
			return
		}
		q := &Request{Method: r.Method, Target: target(r), Host: r.Host, Header: r.Header, listener: l, conn: c}
		if q.Body, bad = c.body(r, limits); bad != nil {
			if bad.Status > 0 && c.write(*bad, true) == nil {
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
		last := r.Close || l.last.Load()
		if c.write(response, last) != nil || last {
			return
		}
	}
}

// once are the fields that a request may have only once.
var once = []string{"Content-Length", "Transfer-Encoding", "Host"}

// read reads a request's head. A response without a status closes the connection without one, as no whole request has come.
func (c *conn) read(limits Limits) (*http.Request, *Response) {
	most := min(limits.HeadBytes, maxHead-1)
	c.SetReadDeadline(time.Now().Add(limits.HeadWithin))
	head, err := wire.PeekHead(c.br, most)
	if err == nil {
		err = wire.CheckHead(head, once)
	}
	if err == nil {
		err = wire.CheckText(head)
	}
	var r *http.Request
	if err == nil {
		r, err = http.ReadRequest(c.br)
	}
	var ne net.Error
	switch {
	case err == nil:
		return r, nil
	case errors.Is(err, wire.ErrTooLarge), errors.Is(err, bufio.ErrBufferFull):
		return nil, refusal(http.StatusRequestHeaderFieldsTooLarge, "header is too large")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return nil, &Response{}
	}
	return nil, refusal(http.StatusBadRequest, "malformed request")
}

func refusal(status int, why string) *Response {
	return &Response{Status: status, Fields: []Field{{"Content-Type", "text/plain"}}, Body: []byte(why + "\n")}
}

// target is path and query as they came. A client that uses this as a forward proxy sends an absolute URI, of which it is a part.
func target(r *http.Request) string {
	if r.URL.Scheme != "" && r.URL.Host != "" {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

// body reads a request's body whole.
func (c *conn) body(r *http.Request, limits Limits) ([]byte, *Response) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, refusal(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, &Response{}
		}
	}
	c.SetReadDeadline(time.Now().Add(bodyTimeout))
	const framing = 2 // bounds the overhead of chunked coding; chunks of few bytes each exceed it and are refused
	c.meter.Allow(int(min(framing*limits.BodyBytes+maxHead, 1<<30)))
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, limits.BodyBytes+1))
	}
	var ne net.Error
	switch {
	case int64(len(body)) > limits.BodyBytes, errors.Is(err, wire.ErrTooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, "body is too large")
	case err == nil:
		return body, nil
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &ne):
		return nil, &Response{}
	}
	return nil, refusal(http.StatusBadRequest, "malformed body")
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

// linger reads what the client still sends for a moment: closing at once would reset the connection before the response is read.
func (c *conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerFor))
	c.meter.Allow(lingerBytes)
	io.Copy(io.Discard, c.br)
}
