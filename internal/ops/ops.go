// Package ops is the admin server of a proxy: a few HTTP calls for operators at a separate address, with one call per
// connection. Server accepts connections, reads calls and writes responses. A Backend, which the proxy implements, carries
// out the calls.
package ops

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Backend is implemented by the proxy to carry out the calls. Its methods may be called from many goroutines at once.
type Backend interface {
	Ready() error                                                        // nil if this process serves; otherwise the reason
	Stats() []byte                                                       // the statistics as text; never blocks
	Plan() []byte                                                        // the zone plan as text; nil: there is none. Never blocks
	Zone(ctx context.Context, o ZoneOrder) (message string, err error)   // drains or restores a zone; called only if there is a plan
	Cordon(ctx context.Context, id string) (message string, err error)   // stops sending requests to a host
	Uncordon(ctx context.Context, id string) (message string, err error) // reverses Cordon
}

// The errors of a Backend that have a status code of their own.
var (
	ErrUnknown    = errors.New("unknown host") // the host, zone or region does not exist
	ErrNeedsForce = errors.New("needs force")  // too little capacity would be left, and the call does not set "force"
)

const (
	// MaxConns is the maximum number of open connections. Each of them needs one file descriptor.
	MaxConns = 16

	readTimeout    = 2 * time.Second        // to receive a complete call
	backendTimeout = 800 * time.Millisecond // to carry it out; operators are promised a response within 1 s
	writeTimeout   = 2 * time.Second        // to write the response
	lingerTimeout  = 250 * time.Millisecond // to receive the rest of a call that was rejected before it was complete
	maxHeadBytes   = 4 << 10
	maxBodyBytes   = 4 << 10
)

// Server serves the admin calls of one listener.
type Server struct {
	ln      net.Listener
	backend Backend
	log     *zap.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu         sync.Mutex
	connCount  int           // open connections
	connEnded  chan struct{} // signals admit that a connection has ended
	incomplete []*adminConn  // connections that have not sent a complete call, the oldest first
}

// adminConn is one connection.
type adminConn struct {
	conn net.Conn
	br   *bufio.Reader
}

// New returns a server for a listener. Run starts it.
func New(ln net.Listener, backend Backend, log *zap.Logger) *Server {
	s := &Server{ln: ln, backend: backend, log: log, connEnded: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Run serves calls until Close is called, and returns when all connections have ended.
func (s *Server) Run() {
	defer s.wg.Wait()
	for {
		c, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn("operators' door: accept failed", zap.Error(err))
			if !s.sleep(10 * time.Millisecond) {
				return
			}
			continue
		}
		if !s.admit(c) {
			c.Close()
			return
		}
	}
}

// Close stops the server. It cancels the calls in progress and closes the connections that have not sent a complete call.
func (s *Server) Close() {
	s.cancel()
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.incomplete {
		c.conn.Close()
	}
}

// sleep waits, and returns false if the server is closed meanwhile.
func (s *Server) sleep(delay time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(delay):
		return true
	}
}

// admit starts serving a connection. If the maximum number of connections is open, admit first closes the oldest one that has
// not sent a complete call, so that silent clients cannot lock out others. It returns false if the server is closed.
func (s *Server) admit(c net.Conn) bool {
	for {
		s.mu.Lock()
		if s.connCount < MaxConns {
			s.connCount++
			admitted := &adminConn{conn: c, br: bufio.NewReaderSize(c, maxHeadBytes)}
			s.incomplete = append(s.incomplete, admitted)
			s.wg.Go(func() { s.serve(admitted) })
			s.mu.Unlock()
			return true
		}
		if len(s.incomplete) > 0 {
			s.incomplete[0].conn.Close()
			s.incomplete = s.incomplete[1:]
		}
		s.mu.Unlock()
		select {
		case <-s.ctx.Done():
			return false
		case <-s.connEnded:
		}
	}
}

// markCompleted removes a connection from those that admit may close.
func (s *Server) markCompleted(c *adminConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.incomplete {
		if other == c {
			s.incomplete = append(s.incomplete[:i], s.incomplete[i+1:]...)
			return
		}
	}
}

// release closes a connection.
func (s *Server) release(c *adminConn) {
	c.conn.Close()
	s.markCompleted(c)
	s.mu.Lock()
	s.connCount--
	s.mu.Unlock()
	select {
	case s.connEnded <- struct{}{}:
	default:
	}
}

// serve handles the one call of a connection.
func (s *Server) serve(c *adminConn) {
	defer s.release(c)
	c.conn.SetReadDeadline(time.Now().Add(readTimeout))
	r, body, failure := c.read()
	s.markCompleted(c)
	if failure != nil && failure.status == 0 {
		return
	}
	response := failure
	if response == nil {
		response = s.answer(r, body)
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if response.write(c.conn, r != nil && r.Method == http.MethodHead) != nil || failure == nil {
		return
	}
	// Closing both directions at once could reset the connection before the client has read the response.
	if hc, ok := c.conn.(interface{ CloseWrite() error }); ok {
		hc.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.br, 1<<20))
}

// reply is the response to a call. Status 0 closes the connection without a response.
type reply struct {
	status int
	text   string
	allow  string // the allowed method, with status 405
}

// errorReply returns a reply that reports a failed call.
func errorReply(status int, text string) *reply { return &reply{status: status, text: text} }

// write sends the response, without its body if headOnly is true.
func (r *reply) write(c net.Conn, headOnly bool) error {
	text := strings.TrimSuffix(r.text, "\n") + "\n"
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.status) + " " + http.StatusText(r.status) + "\r\n")
	if r.allow != "" {
		b.WriteString("Allow: " + r.allow + "\r\n")
	}
	b.WriteString("Content-Type: text/plain; charset=utf-8\r\nContent-Length: " + strconv.Itoa(len(text)) +
		"\r\nConnection: close\r\n\r\n")
	if !headOnly {
		b.WriteString(text)
	}
	_, err := io.WriteString(c, b.String())
	return err
}

// read reads a complete call.
func (c *adminConn) read() (*http.Request, []byte, *reply) {
	limited := &io.LimitedReader{R: c.br, N: maxHeadBytes}
	r, err := http.ReadRequest(bufio.NewReaderSize(limited, 1<<10))
	if err != nil {
		return nil, nil, readError(err, limited.N <= 0, errorReply(http.StatusRequestHeaderFieldsTooLarge, "head is too large"))
	}
	if r.ContentLength > maxBodyBytes {
		return r, nil, errorReply(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	limited.N += maxBodyBytes + 1<<10 // plus the framing of chunks
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if len(body) > maxBodyBytes || limited.N <= 0 {
		return r, nil, errorReply(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if err != nil {
		return r, nil, readError(err, false, nil)
	}
	return r, body, nil
}

// readError returns the response to a call that could not be read. There is none if the client has left or timed out.
func readError(err error, tooLarge bool, tooLargeReply *reply) *reply {
	var ne net.Error
	switch {
	case tooLarge:
		return tooLargeReply
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return &reply{}
	}
	return errorReply(http.StatusBadRequest, "malformed call")
}

// answer finds the handler of a call and runs it.
func (s *Server) answer(r *http.Request, body []byte) *reply {
	method, call := http.MethodGet, (func([]byte) *reply)(nil)
	switch r.URL.Path {
	case "/admin/health":
		call = s.handleHealth
	case "/admin/stats":
		call = func([]byte) *reply { return &reply{status: http.StatusOK, text: string(s.backend.Stats())} }
	case "/admin/plan":
		if text := s.backend.Plan(); text != nil {
			call = func([]byte) *reply { return &reply{status: http.StatusOK, text: string(text)} }
		}
	case "/admin/zone":
		if s.backend.Plan() != nil {
			method, call = http.MethodPost, s.handleZone
		}
	case "/admin/cordon":
		method, call = http.MethodPost, s.handleHost(s.backend.Cordon)
	case "/admin/uncordon":
		method, call = http.MethodPost, s.handleHost(s.backend.Uncordon)
	}
	if call == nil {
		return errorReply(http.StatusNotFound, "no such call")
	}
	if r.Method != method {
		return &reply{status: http.StatusMethodNotAllowed, text: "this call takes " + method, allow: method}
	}
	return call(body)
}

// handleHealth responds with status 200 if the proxy serves, and 503 otherwise.
func (s *Server) handleHealth([]byte) *reply {
	if err := s.backend.Ready(); err != nil {
		return errorReply(http.StatusServiceUnavailable, err.Error())
	}
	return &reply{status: http.StatusOK, text: "serving"}
}

// handleZone handles a call on a zone or region.
func (s *Server) handleZone(body []byte) *reply {
	o, err := parseZone(body)
	if err != nil {
		return errorReply(http.StatusBadRequest, err.Error())
	}
	return s.execute(zap.Any("order", o), func(ctx context.Context) (string, error) { return s.backend.Zone(ctx, o) })
}

// handleHost returns the handler of a call on a host.
func (s *Server) handleHost(operation func(context.Context, string) (string, error)) func([]byte) *reply {
	return func(body []byte) *reply {
		id, err := parseHostID(body)
		if err != nil {
			return errorReply(http.StatusBadRequest, err.Error())
		}
		return s.execute(zap.String("host", id), func(ctx context.Context) (string, error) { return operation(ctx, id) })
	}
}

// execute runs an operation with the timeout for calls, and converts its result to a response.
func (s *Server) execute(field zap.Field, operation func(context.Context) (string, error)) *reply {
	ctx, cancel := context.WithTimeout(s.ctx, backendTimeout)
	defer cancel()
	message, err := operation(ctx)
	switch {
	case errors.Is(err, ErrUnknown):
		return errorReply(http.StatusNotFound, err.Error())
	case errors.Is(err, ErrNeedsForce):
		return errorReply(http.StatusConflict, err.Error())
	case err != nil:
		return errorReply(http.StatusServiceUnavailable, err.Error())
	}
	s.log.Info("admin call carried out", field, zap.String("said", message))
	return &reply{status: http.StatusOK, text: message}
}
