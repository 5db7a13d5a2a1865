// Package upstream takes a request to the host beside this proxy and brings its answer back, over connections that it keeps.
// It tells what is known of the run; it never sends a request twice.
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
	idleFor     = 5 * time.Second // a host closes idle connections after a time that it need not tell
	dialWithin  = 500 * time.Millisecond
	probeWithin = 300 * time.Millisecond
	mostHead    = wire.BufferSize
	mostBody    = 64 << 20
	mostIdle    = 64
	mostStale   = 2 // answers of others ahead of the one waited for
	mostServed  = 8 // ids that a connection is known to have served: a host sends an answer again soon or never
)

// once are the headers that may stand in a host's answer a single time.
var once = []string{"Content-Length", "Transfer-Encoding", sidecar.HeaderNotRun, sidecar.HeaderPostmark, sidecar.HeaderID}

// Host is the way to one host.
type Host struct {
	addr string
	bufs *wire.Pool

	mu     sync.Mutex
	idle   []*conn // the one used last comes last, and is used first
	opened int64
}

type conn struct {
	net.Conn
	meter wire.Meter
	br    *bufio.Reader
	bufs  *wire.Pool
	until time.Time // it is not used after that
	ids   []string  // that it served last
}

// Close ends the connection. Whoever has it calls it once.
func (c *conn) Close() error {
	c.bufs.PutReader(c.br)
	c.br = nil
	return c.Conn.Close()
}

// New makes a porter for the host at an address.
func New(addr string, bufs *wire.Pool) *Host { return &Host{addr: addr, bufs: bufs} }

// Forget closes what is idle: another life of the host has the address.
func (p *Host) Forget() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Opened is how many connections were made.
func (p *Host) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// take gives an idle connection; nil: there is none. What has an id that one has served before does not go by it: an answer
// that comes twice would be taken for its own.
func (p *Host) take(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		said, ended := wire.Arrived(c.Conn)
		if !said && !ended && c.br.Buffered() == 0 && time.Now().Before(c.until) && !slices.Contains(c.ids, id) {
			return c
		}
		c.Close() // it has ended, or what it has said or would say belongs to nothing
	}
	return nil
}

func (p *Host) keep(c *conn, most time.Duration) {
	c.until = time.Now().Add(min(idleFor, most))
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= mostIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && time.Now().After(p.idle[0].until) { // the oldest go as others come
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

func (p *Host) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialWithin, KeepAlive: -1} // on one machine nobody goes silent without the other
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, outcome.Mark(err, outcome.TurnedAway)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	nc = wire.Quicken(nc)
	c := &conn{Conn: nc, meter: wire.Meter{R: nc}}
	c.br = p.bufs.Reader(&c.meter)
	c.bufs = p.bufs
	return c, nil
}

// Run has a request run by the host, which has to answer by until. Once ctx is done the run is broken off: most hosts drop a request
// whose connection closes.
func (p *Host) Run(ctx context.Context, r *meshpb.Forward, until time.Time) *meshpb.Forwarded {
	answer, err := p.run(ctx, r, until)
	if err != nil {
		return &meshpb.Forwarded{Verdict: uint32(outcome.Of(err)), Why: short(err), Refused: outcome.Of(err) == outcome.TurnedAway}
	}
	return answer
}

// Probe asks the host for its health: which life of it answers, and whether it is well.
func (p *Host) Probe(path string) (station string, well bool) {
	c, err := p.dial(context.Background())
	if err != nil {
		return "", false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(probeWithin))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, p.addr); err != nil {
		return "", false
	}
	_, res, err := c.readOne(http.MethodGet)
	if err != nil {
		return "", false
	}
	return res.Header.Get(sidecar.HeaderStation), res.StatusCode == http.StatusOK
}

func short(err error) string {
	const most = 200
	text := err.Error()
	return text[:min(len(text), most)]
}

func (p *Host) run(ctx context.Context, r *meshpb.Forward, until time.Time) (*meshpb.Forwarded, error) {
	id := requestID(r)
	c := p.take(id)
	if c == nil {
		var err error
		if c, err = p.dial(ctx); err != nil {
			return nil, err
		}
	}
	c.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	var a answer
	err := c.write(r) // where it fails, some of it may have gone out
	wrote := err == nil
	if wrote {
		a, err = c.read(r.Method, id)
	}
	if !stop() { // its deadline is in the past, or about to be: it cannot be used again
		c.Close()
		return nil, outcome.Newf(outcome.Cancelled, "broken off")
	}
	if err != nil {
		c.Close()
		if wrote && errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(c.meter.Err, os.ErrDeadlineExceeded) {
			return nil, outcome.Newf(outcome.Late, "the host has not answered")
		}
		return nil, outcome.Mark(err, outcome.Broken)
	}
	if a.keep > 0 {
		c.served(id)
		p.keep(c, a.keep)
	} else {
		c.Close()
	}
	return a.Forwarded, nil
}

// write sends a request in one piece: method, target and headers as they came, framing anew.
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

type answer struct {
	*meshpb.Forwarded
	keep time.Duration // for how long the connection may be kept; 0: not at all
}

// requestID is the id that a request's answer carries; "": it has none.
func requestID(r *meshpb.Forward) string {
	for _, f := range r.Fields {
		if f.Name == sidecar.HeaderID {
			return f.Value
		}
	}
	return ""
}

// served notes a request that the connection has served.
func (c *conn) served(id string) {
	c.ids = append(c.ids, id)
	if len(c.ids) > mostServed {
		c.ids = c.ids[1:]
	}
}

// read takes the answer to a request. One that belongs to another request is passed over: hosts send some twice.
func (c *conn) read(method, id string) (answer, error) {
	for stale := 0; ; {
		a, res, err := c.readOne(method)
		switch {
		case err != nil:
			return answer{}, err
		case res.StatusCode < 200:
			continue
		}
		got := res.Header.Get(sidecar.HeaderID)
		if got != "" && got != id {
			if stale++; stale > mostStale {
				return answer{}, errors.New("answers of other requests")
			}
			continue
		}
		if err := judge(a, res, id); err != nil {
			return answer{}, err
		}
		if stale > 0 || c.br.Buffered() > 0 { // who sends more than was asked cannot be trusted with a further request
			a.keep = 0
		}
		if got == "" { // should it come again, nothing would tell it from the answer to the next request
			a.keep = 0
		}
		return a, nil
	}
}

// judge says what a whole message is worth.
func judge(a answer, res *http.Response, id string) error {
	switch {
	case res.Header.Get(sidecar.HeaderNotRun) != "", res.StatusCode == http.StatusMisdirectedRequest:
		a.Verdict = uint32(outcome.HostTurnedAway)
		a.Fields, a.Body = nil, nil
		a.Why = fmt.Sprintf("the host says %d, not run", a.Status)
	case res.Header.Get("Content-Encoding") != "":
		return errors.New("an answer in an encoding that nobody asked for")
	case res.StatusCode < 300 && res.Header.Get(sidecar.HeaderPostmark) == "":
		return errors.New("a success without its postmark")
	case id != "" && res.Header.Get(sidecar.HeaderID) == "" && res.StatusCode < 300:
		return errors.New("a success that does not say whose it is")
	}
	return nil
}

func (c *conn) readOne(method string) (a answer, res *http.Response, err error) {
	c.meter.Allow(mostHead)
	head, err := wire.PeekHead(c.br, mostHead-1)
	if err == nil {
		err = wire.CheckHead(head, once)
	}
	if err != nil {
		return a, nil, err
	}
	res, err = http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return a, nil, err
	}
	if res.StatusCode < 200 {
		return a, res, nil
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return a, nil, errors.New("an answer without a length may be cut short anywhere")
	}
	c.meter.Allow(2 * mostBody)
	var body []byte
	if res.ContentLength > mostBody {
		return a, nil, wire.ErrTooLarge
	}
	if res.ContentLength > 0 && method != http.MethodHead {
		body = make([]byte, res.ContentLength)
		_, err = io.ReadFull(res.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(res.Body, mostBody))
	}
	if err != nil {
		return a, nil, errors.Wrap(err, "body")
	}
	a.Forwarded = &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: uint32(res.StatusCode), Body: body,
		Fields: Fields(res.Header)}
	if !res.Close {
		a.keep = keepFor(res.Header)
	}
	return a, res, nil
}

// keepFor is how long the host says that it keeps a connection, with something taken off for the way.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if s, err := strconv.Atoi(text); err == nil {
				return time.Duration(s)*time.Second - 500*time.Millisecond
			}
		}
	}
	return idleFor
}

// hop are the headers that concern one connection only, or are set anew for each.
var hop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, sidecar.HeaderDeadline: true, sidecar.HeaderAddressee: true, sidecar.HeaderSender: true}

// stay are those that go on even where a Connection header names them.
var stay = map[string]bool{sidecar.HeaderID: true, sidecar.HeaderIdempotencyKey: true, sidecar.HeaderPostmark: true}

// Fields are a message's headers that go on.
func Fields(h http.Header) []*meshpb.Field {
	named := map[string]bool{}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	fields := make([]*meshpb.Field, 0, len(h))
	for name, values := range h {
		if hop[name] || named[name] && !stay[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, &meshpb.Field{Name: name, Value: v})
		}
	}
	return fields
}
