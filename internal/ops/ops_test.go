package ops

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
)

const testTimeout = 40 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeBackend implements Backend for a proxy that knows only the host h1. The held channel can block its calls on hosts.
type fakeBackend struct {
	ready atomic.Bool
	held  chan struct{} // if not nil, Cordon blocks until it is closed

	plan    []byte
	order   ZoneOrder
	zoneErr error
}

func (f *fakeBackend) Ready() error {
	if f.ready.Load() {
		return nil
	}
	return errors.New("not serving")
}

func (f *fakeBackend) Plan() []byte { return f.plan }

func (f *fakeBackend) Zone(_ context.Context, o ZoneOrder) (string, error) {
	f.order = o
	return "done", f.zoneErr
}

func (f *fakeBackend) Stats() []byte { return []byte("proxy.active=1\n") }

func (f *fakeBackend) Cordon(ctx context.Context, id string) (string, error) {
	if id != "h1" {
		return "", fmt.Errorf("%w: %s", ErrUnknown, id)
	}
	if f.held != nil {
		select {
		case <-f.held:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	return "out", nil
}

func (f *fakeBackend) Uncordon(_ context.Context, id string) (string, error) { return "back", nil }

// startServer starts a server and returns its address.
func startServer(t *testing.T, f *fakeBackend) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(ln, f, zap.NewNop())
	ended := make(chan struct{})
	go func() {
		d.Run()
		close(ended)
	}()
	t.Cleanup(func() {
		d.Close()
		<-ended
	})
	return ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { c.Close() })
	return c
}

// call sends raw bytes and returns the response. It fails the test if anything follows the response on the connection.
func call(t *testing.T, addr, raw string) (int, http.Header, string) {
	t.Helper()
	c := dial(t, addr)
	io.WriteString(c, raw)
	br := bufio.NewReader(c)
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, nil, ""
	}
	text, _ := io.ReadAll(r.Body)
	if _, err := br.ReadByte(); err == nil {
		t.Fatal("the server sent more than one response")
	}
	return r.StatusCode, r.Header, string(text)
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// TestCalls checks the response to each call and to each kind of invalid call.
func TestCalls(t *testing.T) {
	f := &fakeBackend{}
	addr := startServer(t, f)
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	for _, c := range []struct {
		raw      string
		status   int
		wantText string
	}{
		{get("/admin/health"), 503, "not serving"},
		{get("/admin/stats"), 200, "proxy.active=1\n"},
		{get("/admin/stats?x=1"), 200, "proxy.active=1\n"},
		{post("/admin/cordon", `{"who":"h1"}`), 200, "out"},
		{post("/admin/cordon", ` { "who" : "h1" } `), 200, "out"},
		{post("/admin/uncordon", `{"who":"h1"}`), 200, "back"},
		{post("/admin/cordon", `{"who":"h2"}`), 404, "unknown host: h2"},
		{post("/admin/cordon", `{"who":"h1","who":"h2"}`), 400, "twice"},
		{post("/admin/cordon", `{"Who":"h1"}`), 400, "unknown field"},
		{post("/admin/cordon", `{"who":"h1","why":1}`), 400, "unknown field"},
		{post("/admin/cordon", `{"who":7}`), 400, "text"},
		{post("/admin/cordon", `{"who":""}`), 400, "missing"},
		{post("/admin/cordon", `{}`), 400, "missing"},
		{post("/admin/cordon", `{"who":"h1"} {}`), 400, "one JSON object"},
		{post("/admin/cordon", `["h1"]`), 400, "one JSON object"},
		{post("/admin/cordon", ``), 400, "one JSON object"},
		{post("/admin/cordon", `{"who":"`+strings.Repeat("x", 300)+`"}`), 400, "too long"},
		{post("/admin/cordon", strings.Repeat(" ", maxBodyBytes+1)), 413, "too large"},
		{"POST /admin/cordon HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{\"who\":\"h1\"}\r\n0\r\n\r\n", 200, "out"},
		{"POST /admin/cordon HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n" +
			strings.Repeat(" ", 0x2000), 413, "too large"},
		{get("/admin/cordon"), 405, "POST"},
		{post("/admin/health", ""), 405, "GET"},
		{get("/api"), 404, "no such call"},
		{get("/_health"), 404, "no such call"},
		{"nonsense\r\n\r\n", 400, "malformed"},
		{"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n", 431, "too large"},
	} {
		status, head, text := call(t, addr, c.raw)
		if status != c.status || !strings.Contains(text, c.wantText) || strings.Count(text, "\n") != 1 {
			t.Errorf("%.60q: %d %q, want %d %q", c.raw, status, text, c.status, c.wantText)
		}
		if (status == 405) != (head.Get("Allow") != "") {
			t.Errorf("%.60q: Allow %q", c.raw, head.Get("Allow"))
		}
	}
	f.ready.Store(true)
	if status, _, _ := call(t, addr, get("/admin/health")); status != 200 {
		t.Errorf("health of a serving proxy: got status %d, want 200", status)
	}
}

// TestSilentCallers checks that calls are answered in time while many clients hold connections without a complete call, and
// others hold connections with calls that the proxy does not answer.
func TestSilentCallers(t *testing.T) {
	f := &fakeBackend{held: make(chan struct{})}
	addr := startServer(t, f)
	for n := range 10 * MaxConns {
		c := dial(t, addr)
		if n%2 == 0 {
			io.WriteString(c, "POST /admin/cordon HTTP/1.1\r\nContent-Length: 12\r\n\r\n{\"who\"")
		}
	}
	for range MaxConns / 2 { // calls that wait for the backend use connections too
		io.WriteString(dial(t, addr), post("/admin/cordon", `{"who":"h1"}`))
	}
	for range 20 {
		began := time.Now()
		status, _, _ := call(t, addr, "GET /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n")
		if took := time.Since(began); status != 200 || took > testTimeout/4 {
			t.Fatalf("status %d after %v", status, took)
		}
	}
}

// FuzzWho checks that an accepted ID has a valid length and that the body does not contain a second one.
func FuzzWho(f *testing.F) {
	for _, text := range []string{`{"who":"h1"}`, `{"who":"h1","who":"h2"}`, `{"who":{"who":"x"}}`, `{`, `{"who":"\u0041"}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if id, err := parseHostID(body); err == nil && (id == "" || len(id) > maxIDBytes || strings.Count(string(body), `"who"`) > 1 &&
			!strings.Contains(id, "who")) {
			t.Fatalf("%q of %q", id, body)
		}
	})
}

// TestZoneCalls checks that a call on a zone must name either a zone or a region and set "out", and that the calls on zones and
// the plan do not exist if the proxy has no zone plan.
func TestZoneCalls(t *testing.T) {
	f := &fakeBackend{plan: []byte("plan=x\n")}
	addr := startServer(t, f)
	for _, c := range []struct {
		body     string
		err      error
		status   int
		wantText string
	}{
		{`{"zone":"b","out":true}`, nil, 200, "done"},
		{`{"region":"north","out":false,"dry":true}`, nil, 200, "done"},
		{`{"zone":"b"}`, nil, 400, `"out" is missing`},
		{`{"out":true}`, nil, 400, "named"},
		{`{"zone":"b","region":"north","out":true}`, nil, 400, "named"},
		{`{"zone":"b","out":true,"why":1}`, nil, 400, "unknown field"},
		{`{"zone":"b","out":true} {}`, nil, 400, "one JSON object"},
		{`{"zone":"x","out":true}`, ErrUnknown, 404, "unknown"},
		{`{"zone":"b","out":true}`, fmt.Errorf("%w: a third is left", ErrNeedsForce), 409, "a third is left"},
		{`{"zone":"b","out":true}`, io.ErrUnexpectedEOF, 503, "EOF"},
	} {
		f.zoneErr = c.err
		status, _, text := call(t, addr, post("/admin/zone", c.body))
		if status != c.status || !strings.Contains(text, c.wantText) {
			t.Errorf("%s: %d %q, want %d with %q", c.body, status, text, c.status, c.wantText)
		}
	}
	f.zoneErr = nil
	call(t, addr, post("/admin/zone", `{"region":"north","out":true,"force":true}`))
	if f.order.Region != "north" || !*f.order.Out || !f.order.Force {
		t.Errorf("the backend got the order %+v", f.order)
	}
	addr = startServer(t, &fakeBackend{})
	for _, raw := range []string{post("/admin/zone", `{"zone":"b","out":true}`), "GET /admin/plan HTTP/1.1\r\nHost: x\r\n\r\n"} {
		if status, _, text := call(t, addr, raw); status != 404 || !strings.Contains(text, "no such call") {
			t.Errorf("without a plan: %d %q", status, text)
		}
	}
}
