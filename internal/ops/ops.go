// Package ops is the operators' door: a few calls over HTTP at an address of its own, one to a connection. It decides
// nothing of the proxy; what a call does or shows is behind Calls.
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

// Calls is what the door asks of the proxy. All of it may be called from many goroutines at once.
type Calls interface {
	Ready() error                                                   // nil: this process serves; else why not
	Figures() []byte                                                // never waits
	Plan() []byte                                                   // which zones count; nil: there is no such plan. Never waits
	Zone(ctx context.Context, o ZoneOrder) (said string, err error) // where there is a plan
	TakeOut(ctx context.Context, id string) (said string, err error)
	PutBack(ctx context.Context, id string) (said string, err error)
}

// ErrUnknown is a call's answer to a host that nobody knows; ErrForce to one that would leave too little without its second
// word.
var (
	ErrUnknown = errors.New("unknown host")
	ErrForce   = errors.New("needs force")
)

const (
	// Most is how many connections the door holds at once, one descriptor each.
	Most = 16

	callTime   = 2 * time.Second        // for a call to come whole
	workTime   = 800 * time.Millisecond // for what it asks for; operators are owed an answer in 1 s
	answerTime = 2 * time.Second        // to take the answer
	lingerTime = 250 * time.Millisecond // for the rest of a call that was refused before it had come whole
	mostHead   = 4 << 10
	mostBody   = 4 << 10
)

// Door serves operators at a listener.
type Door struct {
	ln    net.Listener
	calls Calls
	log   *zap.Logger
	ctx   context.Context
	end   context.CancelFunc
	wg    sync.WaitGroup

	mu    sync.Mutex
	open  int
	space chan struct{} // wakes an accept that waits for a place
	quiet []*visit      // connections that have not brought a whole call, the oldest first
}

// visit is one connection.
type visit struct {
	conn net.Conn
	br   *bufio.Reader
}

// New makes a door; Run opens it.
func New(ln net.Listener, calls Calls, log *zap.Logger) *Door {
	d := &Door{ln: ln, calls: calls, log: log, space: make(chan struct{}, 1)}
	d.ctx, d.end = context.WithCancel(context.Background())
	return d
}

// Run serves until Close, and returns when no connection is left.
func (d *Door) Run() {
	defer d.wg.Wait()
	for {
		c, err := d.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			d.log.Warn("operators' door: accept failed", zap.Error(err))
			if !d.rest(10 * time.Millisecond) {
				return
			}
			continue
		}
		if !d.admit(c) {
			c.Close()
			return
		}
	}
}

// Close ends the door. Calls under way are cut off.
func (d *Door) Close() {
	d.end()
	d.ln.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.quiet {
		v.conn.Close()
	}
}

func (d *Door) rest(long time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(long):
		return true
	}
}

// admit begins to serve a connection. With all places taken, the one that has said nothing whole for longest gives way:
// silent callers must not lock out those that have something to ask.
func (d *Door) admit(c net.Conn) bool {
	for {
		d.mu.Lock()
		if d.open < Most {
			d.open++
			v := &visit{conn: c, br: bufio.NewReaderSize(c, mostHead)}
			d.quiet = append(d.quiet, v)
			d.wg.Go(func() { d.serve(v) })
			d.mu.Unlock()
			return true
		}
		if len(d.quiet) > 0 {
			d.quiet[0].conn.Close()
			d.quiet = d.quiet[1:]
		}
		d.mu.Unlock()
		select {
		case <-d.ctx.Done():
			return false
		case <-d.space:
		}
	}
}

// heard takes a connection out of those that may give way.
func (d *Door) heard(v *visit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.quiet {
		if other == v {
			d.quiet = append(d.quiet[:i], d.quiet[i+1:]...)
			return
		}
	}
}

func (d *Door) leave(v *visit) {
	v.conn.Close()
	d.heard(v)
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
	select {
	case d.space <- struct{}{}:
	default:
	}
}

// serve takes the one call of a connection.
func (d *Door) serve(v *visit) {
	defer d.leave(v)
	v.conn.SetReadDeadline(time.Now().Add(callTime))
	r, body, bad := v.read()
	d.heard(v)
	if bad != nil && bad.status == 0 {
		return
	}
	a := bad
	if a == nil {
		a = d.answer(r, body)
	}
	v.conn.SetWriteDeadline(time.Now().Add(answerTime))
	if a.write(v.conn, r != nil && r.Method == http.MethodHead) != nil || bad == nil {
		return
	}
	if hc, ok := v.conn.(interface{ CloseWrite() error }); ok { // closing at once could reset the answer away
		hc.CloseWrite()
	}
	v.conn.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, io.LimitReader(v.br, 1<<20))
}

// reply is what a call is answered. A status of 0 closes the connection without a word.
type reply struct {
	status int
	text   string
	allow  string
}

func refuse(status int, text string) *reply { return &reply{status: status, text: text} }

func (a *reply) write(c net.Conn, headOnly bool) error {
	text := strings.TrimSuffix(a.text, "\n") + "\n"
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	if a.allow != "" {
		b.WriteString("Allow: " + a.allow + "\r\n")
	}
	b.WriteString("Content-Type: text/plain; charset=utf-8\r\nContent-Length: " + strconv.Itoa(len(text)) +
		"\r\nConnection: close\r\n\r\n")
	if !headOnly {
		b.WriteString(text)
	}
	_, err := io.WriteString(c, b.String())
	return err
}

// read takes a call whole.
func (v *visit) read() (*http.Request, []byte, *reply) {
	limited := &io.LimitedReader{R: v.br, N: mostHead}
	r, err := http.ReadRequest(bufio.NewReaderSize(limited, 1<<10))
	if err != nil {
		return nil, nil, readError(err, limited.N <= 0, refuse(http.StatusRequestHeaderFieldsTooLarge, "head is too large"))
	}
	if r.ContentLength > mostBody {
		return r, nil, refuse(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		io.WriteString(v.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	limited.N += mostBody + 1<<10 // and the framing of chunks
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
	if len(body) > mostBody || limited.N <= 0 {
		return r, nil, refuse(http.StatusRequestEntityTooLarge, "body is too large")
	}
	if err != nil {
		return r, nil, readError(err, false, nil)
	}
	return r, body, nil
}

// readError words the answer to a call that could not be read; who has left or is silent gets none.
func readError(err error, over bool, large *reply) *reply {
	var ne net.Error
	switch {
	case over:
		return large
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &ne):
		return &reply{}
	}
	return refuse(http.StatusBadRequest, "malformed call")
}

// answer carries a call out.
func (d *Door) answer(r *http.Request, body []byte) *reply {
	method, call := http.MethodGet, (func([]byte) *reply)(nil)
	switch r.URL.Path {
	case "/admin/health":
		call = d.health
	case "/admin/stats":
		call = func([]byte) *reply { return &reply{status: http.StatusOK, text: string(d.calls.Figures())} }
	case "/admin/plan":
		if text := d.calls.Plan(); text != nil {
			call = func([]byte) *reply { return &reply{status: http.StatusOK, text: string(text)} }
		}
	case "/admin/zone":
		if d.calls.Plan() != nil {
			method, call = http.MethodPost, d.zone
		}
	case "/admin/cordon":
		method, call = http.MethodPost, d.change(d.calls.TakeOut)
	case "/admin/uncordon":
		method, call = http.MethodPost, d.change(d.calls.PutBack)
	}
	if call == nil {
		return refuse(http.StatusNotFound, "no such call")
	}
	if r.Method != method {
		return &reply{status: http.StatusMethodNotAllowed, text: "this call takes " + method, allow: method}
	}
	return call(body)
}

func (d *Door) health([]byte) *reply {
	if err := d.calls.Ready(); err != nil {
		return refuse(http.StatusServiceUnavailable, err.Error())
	}
	return &reply{status: http.StatusOK, text: "serving"}
}

// zone carries out a call on a zone or region.
func (d *Door) zone(body []byte) *reply {
	o, err := parseZone(body)
	if err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	return d.carry(zap.Any("order", o), func(ctx context.Context) (string, error) { return d.calls.Zone(ctx, o) })
}

// change carries out a call on a host.
func (d *Door) change(what func(context.Context, string) (string, error)) func([]byte) *reply {
	return func(body []byte) *reply {
		id, err := parseWho(body)
		if err != nil {
			return refuse(http.StatusBadRequest, err.Error())
		}
		return d.carry(zap.String("host", id), func(ctx context.Context) (string, error) { return what(ctx, id) })
	}
}

// carry has a call carried out in its time, and words what came of it.
func (d *Door) carry(on zap.Field, what func(context.Context) (string, error)) *reply {
	ctx, cancel := context.WithTimeout(d.ctx, workTime)
	defer cancel()
	said, err := what(ctx)
	switch {
	case errors.Is(err, ErrUnknown):
		return refuse(http.StatusNotFound, err.Error())
	case errors.Is(err, ErrForce):
		return refuse(http.StatusConflict, err.Error())
	case err != nil:
		return refuse(http.StatusServiceUnavailable, err.Error())
	}
	d.log.Info("operators' call", on, zap.String("said", said))
	return &reply{status: http.StatusOK, text: said}
}
