package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/site"
)

// patience bounds every wait of the tests; nothing that passes comes near it.
const patience = 10 * time.Second

// nobody is an address that refuses connections. One that a test has freed could be given to the next listener.
const nobody = "127.0.0.1:1"

const testSettings = `{"Balancers": 2, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Discovery": "ask",
 "Classes": [
 {"Name": "read", "Effect": "repeatable", "AimS": 0.5, "DeadlineS": 1.5, "Credit": 1.0, "LateWorth": 0.5},
 {"Name": "write", "Effect": "once", "AimS": 0.6, "DeadlineS": 3.0, "Credit": 5.0, "LateWorth": 0.5},
 {"Name": "log", "Effect": "by_key", "Group": "zone", "DedupWindowS": 1.0, "AimS": 0.5, "DeadlineS": 1.0,
  "Credit": 1.0, "LateWorth": 0.5}],
 "Tenants": [{"Name": "acme", "QuotaRps": 50.0, "Share": 1.0}],
 "Limits": {"Cancelling": true, "Probes": true, "SecondCopies": true, "RetryAfter": true, "MaxRetryAfterS": 2.0,
  "MaxAttempts": 3, "ConnectTimeoutS": 0.25, "ConnIdleS": 10.0},
 "Report": {"Columns": ["active", "waiting", "cpu"], "How": "answers"}, "WeightKind": "nominal", "WorthBy": "work",
 "Rules": {"AskWithinS": 10.0, "StopSendingWithinS": 1.0, "ColdFrom": 0.3, "ColdS": 9.0, "FallMultiple": 3.0,
  "TipAfterS": 2.0}}`

// watched is a channel of what a toy saw, with waiting that fails the test.
type watched[T any] chan T

func (w watched[T]) next(t testing.TB, what string) T {
	t.Helper()
	select {
	case v := <-w:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

func (w watched[T]) none(t testing.TB, what string) {
	t.Helper()
	select {
	case v := <-w:
		t.Fatalf("%s: %v", what, v)
	default:
	}
}

// toy accepts connections and serves each with serve until it is closed.
type toy struct {
	ln    net.Listener
	serve func(c net.Conn, br *bufio.Reader)
	wg    sync.WaitGroup
	done  chan struct{} // closed with it
	mu    sync.Mutex
	open  map[net.Conn]bool
}

func newToy(t testing.TB, serve func(c net.Conn, br *bufio.Reader)) *toy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &toy{ln: ln, serve: serve, open: map[net.Conn]bool{}, done: make(chan struct{})}
	s.wg.Go(s.run)
	t.Cleanup(s.close)
	return s
}

func (s *toy) run() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(c, bufio.NewReader(c))
			c.Close()
			s.mu.Lock()
			delete(s.open, c)
			s.mu.Unlock()
		})
	}
}

func (s *toy) addr() string { return s.ln.Addr().String() }

func (s *toy) close() {
	if s.ln.Close() == nil { // not closed before
		close(s.done)
	}
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// seenRequest is a request as a host got it.
type seenRequest struct {
	*http.Request
	text  string // body
	again bool   // not the first on its connection
}

// toyHost is a host. answer is called for each whole request, one at a time on each connection, and says whether the
// connection goes on.
type toyHost struct {
	*toy
	seen  watched[seenRequest]
	ended watched[error] // what ended each connection
}

func newHost(t testing.TB, answer func(c net.Conn, r seenRequest) bool) *toyHost {
	t.Helper()
	h := &toyHost{seen: make(watched[seenRequest], 4096), ended: make(watched[error], 4096)}
	h.toy = newToy(t, func(c net.Conn, br *bufio.Reader) {
		for again := false; ; again = true {
			r, err := http.ReadRequest(br)
			if err != nil {
				h.ended <- err
				return
			}
			text, err := io.ReadAll(r.Body)
			if err != nil {
				h.ended <- err
				return
			}
			q := seenRequest{r, string(text), again}
			h.seen <- q
			if !answer(c, q) {
				h.ended <- nil
				return
			}
		}
	})
	return h
}

// ok is the answer of a host that serves.
const ok = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"

// says answers every request with raw bytes.
func says(raw string) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, _ seenRequest) bool {
		_, err := io.WriteString(c, raw)
		return err == nil
	}
}

// gate holds hosts back until it is opened. Tests defer that too: one that fails must not leave a host waiting.
type gate struct {
	opened chan struct{}
	once   sync.Once
}

// says answers as the function of that name does, once the gate is open.
func (g *gate) says(raw string) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, r seenRequest) bool {
		<-g.opened
		return says(raw)(c, r)
	}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open() { g.once.Do(func() { close(g.opened) }) }

// resets ends a connection with a reset.
func resets(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// listEntry is a line of discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// entry is a ready host of the proxy's own zone.
func entry(id, addr string) listEntry {
	return listEntry{ID: id, Addr: addr, Zone: "a", State: "ready", Weight: 1}
}

func listText(version int, full bool, entries ...listEntry) string {
	if entries == nil {
		entries = []listEntry{}
	}
	text, err := json.Marshal(map[string]any{"version": version, "full": full, "servers": entries})
	if err != nil {
		panic(err)
	}
	return string(text)
}

func httpOK(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// toyList is discovery. A watch is answered with the whole list once there is a newer one.
type toyList struct {
	*toy
	calls watched[string]

	mu      sync.Mutex
	version int
	entries []listEntry
	changed chan struct{}
	deaf    int      // watches that are not answered
	raw     []string // answers to the next calls, in place of the list; "" ends the connection
}

func newList(t testing.TB, entries ...listEntry) *toyList {
	t.Helper()
	l := &toyList{calls: make(watched[string], 4096), version: 1, entries: entries, changed: make(chan struct{})}
	l.toy = newToy(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			l.calls <- r.URL.String()
			text := l.answer(c, r)
			if text == "" {
				return
			}
			if _, err := io.WriteString(c, text); err != nil || strings.Contains(text, "Connection: close") {
				return
			}
		}
	})
	return l
}

func (l *toyList) answer(c net.Conn, r *http.Request) string {
	l.mu.Lock()
	if len(l.raw) > 0 {
		raw := l.raw[0]
		l.raw = l.raw[1:]
		l.mu.Unlock()
		return raw
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deaf := l.deaf > 0 && ms > 1
	if deaf {
		l.deaf--
	}
	changed, newer := l.changed, err != nil || l.version > since
	l.mu.Unlock()
	if deaf {
		<-l.done
		return ""
	}
	if !newer {
		select {
		case <-changed:
		case <-l.done:
			return ""
		case <-time.After(time.Duration(ms) * time.Millisecond):
			return httpOK(listText(since, false))
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return httpOK(listText(l.version, true, l.entries...))
}

// set makes a new version of the list.
func (l *toyList) set(entries ...listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.entries = entries
	close(l.changed)
	l.changed = make(chan struct{})
}

// rig is a running client proxy.
type rig struct {
	t     testing.TB
	p     *Proxy
	addr  string
	tell  context.CancelFunc // as SIGTERM does
	ended chan error
}

// quickTiming is short where a test would only wait, and long where it would race.
func quickTiming() timing {
	q := defaultTiming()
	q.set(site.Default().Connections)
	q.drain, q.backlog, q.last, q.linger = 20*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond, patience
	return q
}

// start runs a client proxy with the list that discovery has. known is what it held before.
func start(t testing.TB, discovery string, known string, change ...func(*Proxy)) *rig {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file := fmt.Sprintf(`{"name": "n1", "listen": %q, "discovery": %q, "seed": "7",
 "limits": {"memory_mb": 192, "sockets": 1024}, "known": %s, "settings": %s}`,
		ln.Addr(), discovery, known, testSettings)
	cfg, err := parseConfig([]byte(file), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	p := New(cfg, zap.NewNop())
	p.times = quickTiming()
	p.listen = func(string, string) (net.Listener, error) { return ln, nil }
	for _, f := range change {
		f(p)
	}
	ctx, tell := context.WithCancel(context.Background())
	g := &rig{t: t, p: p, addr: ln.Addr().String(), tell: tell, ended: make(chan error, 1)}
	go func() { g.ended <- p.Run(ctx) }()
	t.Cleanup(g.stop)
	return g
}

// stop ends the proxy and checks that nothing of it is left.
func (g *rig) stop() {
	g.t.Helper()
	g.tell()
	select {
	case err := <-g.ended:
		if err != nil {
			g.t.Errorf("the proxy ended with %v", err)
		}
	case <-time.After(patience):
		g.t.Fatal("the proxy does not end")
	}
	g.ended <- nil // for a second stop
	// Attempts and connections of the last requests end on their own; wait for the pool to be whole again.
	for end := time.Now().Add(patience); g.p.bufs.Live() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("%d buffers left", g.p.bufs.Live())
		}
	}
}

// one starts a proxy with a single host.
func one(t testing.TB, h *toyHost, change ...func(*Proxy)) *rig {
	t.Helper()
	l := newList(t, entry("h1", h.addr()))
	g := start(t, l.addr(), "null", change...)
	g.waitReady()
	return g
}

// TestMain checks after all tests that no goroutine is left.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (g *rig) dial() net.Conn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	g.t.Cleanup(func() { c.Close() })
	return c
}

func (g *rig) waitReady() {
	g.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if a := g.raw("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); a.status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			g.t.Fatal("the proxy does not get ready")
		}
	}
	for f := g.p.front; ; time.Sleep(time.Millisecond) { // until the connections that asked are gone
		n := 0
		for _, held := range f.figures().Places.Held {
			n += held
		}
		if n == 0 {
			return
		}
	}
}

// heard is an answer as a client got it.
type heard struct {
	status int
	header http.Header
	text   string
	last   bool // the connection ends
}

// hear reads an answer. A status of zero means that the connection ended without one.
func hear(t testing.TB, br *bufio.Reader) heard {
	t.Helper()
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return heard{last: true}
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("answer cut short: %v", err)
	}
	return heard{r.StatusCode, r.Header, string(text), r.Close}
}

// raw sends bytes on a new connection and returns the answer.
func (g *rig) raw(text string) heard {
	g.t.Helper()
	c := g.dial()
	defer c.Close()
	io.WriteString(c, text)
	return hear(g.t, bufio.NewReader(c))
}

var lastTxn atomic.Int64

// message words a request of a class under an id of its own; further headers may replace the usual ones.
func message(class, text string, headers ...string) string {
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	lines := map[string]string{"Host": "api.internal", headerID: fmt.Sprint("id-", lastTxn.Add(1)), headerClass: class, headerTenant: "acme",
		headerKey: "k", headerRemaining: "1400m"}
	if method == http.MethodPost {
		lines["Content-Length"] = strconv.Itoa(len(text))
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		if lines[name] = value; value == "" {
			delete(lines, name)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api?x=1 HTTP/1.1\r\n", method)
	for name, value := range lines {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n" + text
}

// script is a stand-in for the module: it notes what it is told and acts as the test says.
type script struct {
	act      balancer.Actions
	request  func(s *script, r balancer.Request)
	outcome  func(s *script, o balancer.Outcome)
	outcomes watched[balancer.Outcome]
	probes   watched[balancer.ProbeResult]
	gone     watched[balancer.RequestID]
	lists    watched[listEvent]
}

type listEvent struct {
	kind  balancer.ListKind
	hosts []balancer.Host
}

func newScript() *script {
	return &script{outcomes: make(watched[balancer.Outcome], 4096), probes: make(watched[balancer.ProbeResult], 16),
		gone: make(watched[balancer.RequestID], 16), lists: make(watched[listEvent], 4096)}
}

// decides puts the script in the module's place.
func (s *script) decides(p *Proxy) {
	p.decide = func(_ float64, _ balancer.Config, act balancer.Actions) balancer.Handler {
		s.act = act
		act.Watch()
		return s
	}
}

func (s *script) Members(_ float64, kind balancer.ListKind, hosts []balancer.Host) {
	s.lists <- listEvent{kind, hosts}
}

func (s *script) Request(_ float64, r balancer.Request) {
	if s.request != nil {
		s.request(s, r)
	}
}

func (s *script) Outcome(_ float64, o balancer.Outcome) {
	s.outcomes <- o
	if s.outcome != nil {
		s.outcome(s, o)
	} else if !o.Final {
		s.act.Fail(o.ID)
	}
}

func (s *script) Probed(_ float64, p balancer.ProbeResult) { s.probes <- p }

func (s *script) Gone(_ float64, id balancer.RequestID) { s.gone <- id }

func (s *script) Avoided(float64) int                       { return 0 }
func (s *script) Plan(float64, []balancer.Route)            {}
func (s *script) Whole(float64, balancer.RequestID)         {}
func (s *script) Begun(float64, balancer.RequestID, int)    {}
func (s *script) Timer(float64, uint64)                     {}
func (s *script) Configure(float64, balancer.Config, []int) {}
func (s *script) Peer(float64, int, []byte)                 {}

// sends makes the script send every request once to a host.
func sends(host string) func(*script, balancer.Request) {
	return func(s *script, r balancer.Request) { s.act.Send(r.ID, hostID(host), 0) }
}
