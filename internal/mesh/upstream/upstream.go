// Package upstream sends requests to the application host beside this sidecar and returns its responses, over
// kept-alive connections. The main type is Host; its Run method executes one request and reports what is known
// about its execution. A request is never sent twice.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/wire"
)

const (
	maxIdle           = 5 * time.Second // a host closes idle connections after a time that it need not announce
	dialTimeout       = 500 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	maxHeadBytes      = wire.BufferSize
	maxBodyBytes      = 64 << 20
	maxIdleConns      = 64
	maxStaleResponses = 2 // responses to other requests to skip before the expected one
	maxServedIDs      = 8 // request ids to remember per connection; a host repeats a response soon or never
)

// singleHeaders are the headers that a response may contain only once.
var singleHeaders = []string{"Content-Length", "Transfer-Encoding", sidecar.HeaderNotRun, sidecar.HeaderPostmark,
	sidecar.HeaderID}

// Host is a client for one host.
type Host struct {
	addr string
	bufs *wire.Pool

	mu     sync.Mutex
	idle   []*conn // ordered by last use; the most recently used is used first
	opened int64
}

// conn is a connection to the host.
type conn struct {
	net.Conn
	meter     wire.LimitedReader
	br        *bufio.Reader
	bufs      *wire.Pool
	expiresAt time.Time // the connection is not reused after that
	servedIDs []string  // ids of the requests that it served most recently
}

// Close closes the connection. Its user must call it exactly once.
func (c *conn) Close() error {
	c.bufs.PutReader(c.br)
	c.br = nil
	return c.Conn.Close()
}

// New returns a client for the host at an address.
func New(addr string, bufs *wire.Pool) *Host { return &Host{addr: addr, bufs: bufs} }

// Forget closes the idle connections. It is called when another instance of the host has taken over the
// address.
func (h *Host) Forget() {
	h.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Opened returns how many connections have been opened.
func (h *Host) Opened() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opened
}

// takeIdle returns an idle connection, or nil if there is none. A connection that has already served a request
// with the same id is not used: a repeated response to that request would be taken for the response to this
// one.
func (h *Host) takeIdle(id string) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		hasData, ended := wire.Pending(c.Conn)
		if !hasData && !ended && c.br.Buffered() == 0 && time.Now().Before(c.expiresAt) && !slices.Contains(c.servedIDs, id) {
			return c
		}
		c.Close() // the connection has ended, or its unread or future bytes belong to no request
	}
	return nil
}

// keepIdle keeps a connection for reuse, for hostTimeout or maxIdle, whichever is shorter.
func (h *Host) keepIdle(c *conn, hostTimeout time.Duration) {
	c.expiresAt = time.Now().Add(min(maxIdle, hostTimeout))
	c.SetDeadline(time.Time{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) >= maxIdleConns {
		c.Close()
		return
	}
	h.idle = append(h.idle, c)
	for len(h.idle) > 0 && time.Now().After(h.idle[0].expiresAt) { // expired connections are closed as others become idle
		h.idle[0].Close()
		h.idle = h.idle[1:]
	}
}

// dial opens a connection to the host. Its error marks the request as not sent.
func (h *Host) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1} // no keep-alive probes: both ends are on one machine
	nc, err := d.DialContext(ctx, "tcp", h.addr)
	if err != nil {
		return nil, outcome.Mark(err, outcome.TurnedAway)
	}
	h.mu.Lock()
	h.opened++
	h.mu.Unlock()
	nc = wire.NewDirectConn(nc)
	c := &conn{Conn: nc, meter: wire.LimitedReader{R: nc}}
	c.br = h.bufs.Reader(&c.meter)
	c.bufs = h.bufs
	return c, nil
}

// Run sends a request to the host, which must respond by deadline. If ctx is cancelled, Run closes the
// connection, because most hosts abandon a request whose connection closes.
func (h *Host) Run(ctx context.Context, r *meshpb.Forward, deadline time.Time) *meshpb.Forwarded {
	response, err := h.run(ctx, r, deadline)
	if err != nil {
		return &meshpb.Forwarded{Verdict: uint32(outcome.Of(err)), Why: truncatedError(err),
			Refused: outcome.Of(err) == outcome.TurnedAway}
	}
	return response
}

// Probe asks the host for its health. It returns the id of the instance that answers, and whether it is
// healthy.
func (h *Host) Probe(path string) (instance string, healthy bool) {
	c, err := h.dial(context.Background())
	if err != nil {
		return "", false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, h.addr); err != nil {
		return "", false
	}
	_, res, err := c.readOne(http.MethodGet)
	if err != nil {
		return "", false
	}
	return res.Header.Get(sidecar.HeaderStation), res.StatusCode == http.StatusOK
}

// truncatedError returns the text of an error, cut to the length that is reported.
func truncatedError(err error) string {
	const maxBytes = 200
	text := err.Error()
	return text[:min(len(text), maxBytes)]
}

// run does the work of Run. Its errors are marked with the outcome to report.
func (h *Host) run(ctx context.Context, r *meshpb.Forward, deadline time.Time) (*meshpb.Forwarded, error) {
	id := requestID(r)
	c := h.takeIdle(id)
	if c == nil {
		var err error
		if c, err = h.dial(ctx); err != nil {
			return nil, err
		}
	}
	c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	var resp response
	err := c.write(r) // after an error, part of the request may have been sent
	written := err == nil
	if written {
		resp, err = c.read(r.Method, id)
	}
	if !stop() { // the connection's deadline was or will be set to the past, so it cannot be reused
		c.Close()
		return nil, outcome.Newf(outcome.Cancelled, "broken off")
	}
	if err != nil {
		c.Close()
		if written && errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(c.meter.Err, os.ErrDeadlineExceeded) {
			return nil, outcome.Newf(outcome.Late, "the host has not answered")
		}
		return nil, outcome.Mark(err, outcome.Broken)
	}
	if resp.keepFor > 0 {
		c.addServed(id)
		h.keepIdle(c, resp.keepFor)
	} else {
		c.Close()
	}
	return resp.Forwarded, nil
}

// write sends a request in one write: method, target and headers as received, with new framing.
func (c *conn) write(r *meshpb.Forward) error {
	b := make([]byte, 0, 1024+len(r.Body))
	b = append(append(append(append(b, r.Method...), ' '), r.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	line := func(name, value string) {
		b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
	}
	for _, f := range r.Fields {
		line(f.Name, f.Value)
	}
	line(sidecar.HeaderDeadline, strconv.FormatUint(uint64(max(1, r.LeftUs/1000)), 10))
	line(sidecar.HeaderAddressee, r.Station)
	line(sidecar.HeaderSender, r.Sender)
	if r.Framed {
		line("Content-Length", strconv.Itoa(len(r.Body)))
	}
	b = append(append(b, "\r\n"...), r.Body...)
	_, err := c.Write(b)
	return err
}

// response is a response of the host.
type response struct {
	*meshpb.Forwarded
	keepFor time.Duration // how long the connection may be kept idle; 0: not reusable
}

// requestID returns the id that the response to a request repeats, or "" if it has none.
func requestID(r *meshpb.Forward) string {
	for _, f := range r.Fields {
		if f.Name == sidecar.HeaderID {
			return f.Value
		}
	}
	return ""
}

// addServed records the id of a request that the connection has served.
func (c *conn) addServed(id string) {
	c.servedIDs = append(c.servedIDs, id)
	if len(c.servedIDs) > maxServedIDs {
		c.servedIDs = c.servedIDs[1:]
	}
}

// read reads the response to a request. It skips responses to other requests, because hosts send some responses
// twice.
func (c *conn) read(method, id string) (response, error) {
	for stale := 0; ; {
		resp, res, err := c.readOne(method)
		switch {
		case err != nil:
			return response{}, err
		case res.StatusCode < 200:
			continue
		}
		got := res.Header.Get(sidecar.HeaderID)
		if got != "" && got != id {
			if stale++; stale > maxStaleResponses {
				return response{}, errors.New("answers of other requests")
			}
			continue
		}
		if err := checkResponse(resp, res, id); err != nil {
			return response{}, err
		}
		if stale > 0 || c.br.Buffered() > 0 { // a host that sends unrequested bytes is not trusted with another request
			resp.keepFor = 0
		}
		if got == "" { // a repetition could not be told from the response to the next request
			resp.keepFor = 0
		}
		return resp, nil
	}
}

// checkResponse sets the verdict of a complete response, or returns an error if it cannot be trusted.
func checkResponse(resp response, res *http.Response, id string) error {
	switch {
	case res.Header.Get(sidecar.HeaderNotRun) != "", res.StatusCode == http.StatusMisdirectedRequest:
		resp.Verdict = uint32(outcome.HostTurnedAway)
		resp.Fields, resp.Body = nil, nil
		resp.Why = fmt.Sprintf("the host says %d, not run", resp.Status)
	case res.Header.Get("Content-Encoding") != "":
		return errors.New("an answer in an encoding that nobody asked for")
	case res.StatusCode < 300 && res.Header.Get(sidecar.HeaderPostmark) == "":
		return errors.New("a success without its postmark")
	case id != "" && res.Header.Get(sidecar.HeaderID) == "" && res.StatusCode < 300:
		return errors.New("a success that does not say whose it is")
	}
	return nil
}

// readOne reads one response, which may be an informational one, and decides whether its connection can be kept.
func (c *conn) readOne(method string) (resp response, res *http.Response, err error) {
	c.meter.SetLimit(maxHeadBytes)
	head, err := wire.PeekHead(c.br, maxHeadBytes-1)
	if err == nil {
		err = wire.CheckHead(head, singleHeaders)
	}
	if err != nil {
		return resp, nil, err
	}
	res, err = http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return resp, nil, err
	}
	if res.StatusCode < 200 {
		return resp, res, nil
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return resp, nil, errors.New("an answer without a length may be cut short anywhere")
	}
	c.meter.SetLimit(2 * maxBodyBytes)
	var body []byte
	if res.ContentLength > maxBodyBytes {
		return resp, nil, wire.ErrTooLarge
	}
	if res.ContentLength > 0 && method != http.MethodHead {
		body = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	}
	if err != nil {
		return resp, nil, errors.Wrap(err, "body")
	}
	resp.Forwarded = &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: uint32(res.StatusCode), Body: body,
		Fields: Fields(res.Header)}
	if !res.Close {
		resp.keepFor = keepAliveTimeout(res.Header)
	}
	return resp, res, nil
}

// keepAliveTimeout returns how long the host says it keeps a connection open, less half a second for the
// transmission.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if s, err := strconv.Atoi(text); err == nil {
				return time.Duration(s)*time.Second - 500*time.Millisecond
			}
		}
	}
	return maxIdle
}

// hopHeaders are the headers that concern one connection only, or that are set anew for each hop.
var hopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, sidecar.HeaderDeadline: true, sidecar.HeaderAddressee: true, sidecar.HeaderSender: true}

// endToEndHeaders are passed on even if a Connection header names them.
var endToEndHeaders = map[string]bool{sidecar.HeaderID: true, sidecar.HeaderIdempotencyKey: true, sidecar.HeaderPostmark: true}

// Fields returns the headers of a message that are passed on.
func Fields(h http.Header) []*meshpb.Field {
	named := map[string]bool{}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]*meshpb.Field, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] || named[name] && !endToEndHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, &meshpb.Field{Name: name, Value: v})
		}
	}
	return fields
}
