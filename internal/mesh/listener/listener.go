// Package listener is where clients stand: it takes their requests off connections and writes the answers. (The field's term:
// downstream listener.) It decides nothing about a request that is in order; what is not is refused here, with the status that
// the protocol has for it.
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

	"beechwing/internal/wire"
)

// Limits bound what a client may send, and for how long.
type Limits struct {
	HeadBytes  int
	BodyBytes  int64
	HeadWithin time.Duration // from its first byte
	IdleFor    time.Duration // between requests
}

// Usual are the limits while no configuration tells any.
var Usual = Limits{HeadBytes: 16 << 10, BodyBytes: 64 << 20, HeadWithin: 10 * time.Second, IdleFor: time.Minute}

const (
	mostHead    = wire.BufferSize  // whatever the configuration says
	bodyWithin  = 30 * time.Second // a client that sends a body and stops
	writeWithin = 10 * time.Second // a client that does not read
	lingerFor   = 200 * time.Millisecond
	lingerMost  = 256 << 10
	refusePause = 20 * time.Millisecond // out of descriptors: they come back
)

// Request is a request that has come whole.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	Framed               bool // it came with a body, of whatever length
}

// Answer is what a client gets.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// Field is one header of an answer.
type Field struct{ Name, Value string }

// Listener is one listener with its connections.
type Listener struct {
	ln     net.Listener
	limits func() Limits
	serve  func(*Request) Answer
	bufs   *wire.Pool
	last   atomic.Bool // every answer closes its connection

	mu    sync.Mutex
	conns map[*conn]bool
	ended bool
	wg    sync.WaitGroup
}

type conn struct {
	net.Conn
	meter wire.Meter
	br    *bufio.Reader
	busy  bool // a request is being read or served; guarded by Listener.mu
}

// Open begins to take clients at an address. serve is called for each request, by many at once.
func Open(ln net.Listener, bufs *wire.Pool, limits func() Limits, serve func(*Request) Answer) *Listener {
	a := &Listener{ln: ln, bufs: bufs, limits: limits, serve: serve, conns: map[*conn]bool{}}
	go a.accept()
	return a
}

// Last has every answer from now on close its connection.
func (a *Listener) Last() { a.last.Store(true) }

// Close takes no more clients, ends connections that bring nothing, and waits until the others are answered, but no longer than
// so long.
func (a *Listener) Close(most time.Duration) {
	a.Last()
	a.ln.Close()
	a.mu.Lock()
	a.ended = true
	for c := range a.conns {
		if !c.busy {
			c.SetReadDeadline(time.Now())
		}
	}
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(most):
	}
}

func (a *Listener) accept() {
	for {
		nc, err := a.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(refusePause)
			continue
		}
		nc = wire.Quicken(nc)
		c := &conn{Conn: nc, meter: wire.Meter{R: nc}}
		a.mu.Lock()
		if a.ended {
			a.mu.Unlock()
			nc.Close()
			continue
		}
		a.conns[c] = true
		a.wg.Add(1)
		a.mu.Unlock()
		go a.run(c)
	}
}

// mark notes that a connection is busy or not, and says whether it may go on.
func (a *Listener) mark(c *conn, busy bool, idle time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.busy = busy
	if !busy {
		c.SetReadDeadline(time.Now().Add(idle))
	}
	return !a.ended || busy
}

func (a *Listener) run(c *conn) {
	c.br = a.bufs.Reader(&c.meter)
	defer func() {
		c.Close()
		a.bufs.PutReader(c.br)
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
		a.wg.Done()
	}()
	for {
		l := a.limits()
		c.meter.Allow(mostHead)
		if !a.mark(c, false, l.IdleFor) {
			return
		}
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		a.mark(c, true, 0)
		r, bad := c.read(l)
		if bad != nil {
			if bad.Status > 0 && c.write(*bad, true) == nil {
				c.linger()
			}
			return
		}
		q := &Request{Method: r.Method, Target: target(r), Host: r.Host, Header: r.Header}
		if q.Body, bad = c.body(r, l); bad != nil {
			if bad.Status > 0 && c.write(*bad, true) == nil {
				c.linger()
			}
			return
		}
		q.Framed = r.ContentLength != 0 || r.Header.Get("Content-Length") != ""
		answer := a.serve(q)
		last := r.Close || a.last.Load()
		if c.write(answer, last) != nil || last {
			return
		}
	}
}

// once are the headers that may stand in a request a single time.
var once = []string{"Content-Length", "Transfer-Encoding", "Host"}

// read takes a request's head. An answer without a status closes the connection without a word: nothing whole has come.
func (c *conn) read(l Limits) (*http.Request, *Answer) {
	most := min(l.HeadBytes, mostHead-1)
	c.SetReadDeadline(time.Now().Add(l.HeadWithin))
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
		return nil, &Answer{}
	}
	return nil, refusal(http.StatusBadRequest, "malformed request")
}

func refusal(status int, why string) *Answer {
	return &Answer{Status: status, Fields: []Field{{"Content-Type", "text/plain"}}, Body: []byte(why + "\n")}
}

// target is path and query as they came; a client that takes this for a plain proxy names the host before them.
func target(r *http.Request) string {
	if r.URL.Scheme != "" && r.URL.Host != "" {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

func (c *conn) body(r *http.Request, l Limits) ([]byte, *Answer) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > l.BodyBytes {
		return nil, refusal(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		c.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, &Answer{}
		}
	}
	c.SetReadDeadline(time.Now().Add(bodyWithin))
	const framing = 2 // chunks of few bytes each take more for their framing than this allows: none of the protocol's do
	c.meter.Allow(int(min(framing*l.BodyBytes+mostHead, 1<<30)))
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, l.BodyBytes+1))
	}
	var ne net.Error
	switch {
	case int64(len(body)) > l.BodyBytes, errors.Is(err, wire.ErrTooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, "body is too large")
	case err == nil:
		return body, nil
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &ne):
		return nil, &Answer{}
	}
	return nil, refusal(http.StatusBadRequest, "malformed body")
}

// write sends an answer in one piece.
func (c *conn) write(a Answer, last bool) error {
	b := make([]byte, 0, 512+len(a.Body))
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(append(append(b, ' '), http.StatusText(a.Status)...), "\r\n"...)
	for _, f := range a.Fields {
		b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(a.Body)), 10), "\r\n"...)
	}
	b = append(append(b, "\r\n"...), a.Body...)
	c.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := c.Write(b)
	return err
}

// linger takes what the client still sends for a moment: closing at once would reset the connection, and the answer with it.
func (c *conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerFor))
	c.meter.Allow(lingerMost)
	io.Copy(io.Discard, c.br)
}
