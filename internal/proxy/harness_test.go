package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"beechwing/internal/site"
)

// testTimeout bounds every wait in the tests. It is far longer than any wait in a test that passes.
const testTimeout = 40 * time.Second

// refusingAddr is an address that refuses connections. The port of a closed test listener would not do: the next
// listener may get it.
const refusingAddr = "127.0.0.1:1"

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

// eventChan is a channel of events that a test server has recorded. Its methods fail the test.
type eventChan[T any] chan T

// next returns the next event and fails the test if none comes in time.
func (w eventChan[T]) next(t testing.TB, what string) T {
	t.Helper()
	select {
	case v := <-w:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// none fails the test if an event is waiting.
func (w eventChan[T]) none(t testing.TB, what string) {
	t.Helper()
	select {
	case v := <-w:
		t.Fatalf("%s: %v", what, v)
	default:
	}
}

// testProxy is a running client proxy.
type testProxy struct {
	t        testing.TB
	p        *Proxy
	addr     string
	shutDown context.CancelFunc // ends the proxy, as SIGTERM does
	ended    chan error
}

// testTiming is short where a test would only wait, and long where a test depends on something happening in time.
func testTiming() timing {
	q := defaultTiming()
	q.set(site.Default().Connections)
	q.drainPeriod, q.backlogPeriod, q.lastRequestPeriod, q.lingerTimeout =
		20*time.Millisecond, 20*time.Millisecond, 20*time.Millisecond, testTimeout
	return q
}

// startProxy runs a client proxy that uses the given discovery address. known is the host list from before its start.
func startProxy(t testing.TB, discovery string, known string, change ...func(*Proxy)) *testProxy {
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
	p.times = testTiming()
	p.listen = func(string, string) (net.Listener, error) { return ln, nil }
	for _, f := range change {
		f(p)
	}
	ctx, tell := context.WithCancel(context.Background())
	g := &testProxy{t: t, p: p, addr: ln.Addr().String(), shutDown: tell, ended: make(chan error, 1)}
	go func() { g.ended <- p.Run(ctx) }()
	t.Cleanup(g.stop)
	return g
}

// stop ends the proxy and checks that all its buffers are back in the pool.
func (g *testProxy) stop() {
	g.t.Helper()
	g.shutDown()
	select {
	case err := <-g.ended:
		if err != nil {
			g.t.Errorf("the proxy ended with %v", err)
		}
	case <-time.After(testTimeout):
		g.t.Fatal("the proxy does not stop")
	}
	g.ended <- nil // for a second call of stop
	// Attempts and connections of the last requests end on their own; wait until all buffers are back in the pool.
	for end := time.Now().Add(testTimeout); g.p.bufs.Live() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("%d buffers not returned to the pool", g.p.bufs.Live())
		}
	}
}

// startOneHost starts a proxy with a single host.
func startOneHost(t testing.TB, h *fakeHost, change ...func(*Proxy)) *testProxy {
	t.Helper()
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := startProxy(t, l.addr(), "null", change...)
	g.waitReady()
	return g
}

// TestMain checks after all tests that no goroutine is left.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (g *testProxy) dial() net.Conn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	g.t.Cleanup(func() { c.Close() })
	return c
}

func (g *testProxy) waitReady() {
	g.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if a := g.raw("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); a.status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			g.t.Fatal("the proxy does not become ready")
		}
	}
	eventually(g.t, "the connections of the health checks are closed", g.noClientConns)
}

// noClientConns reports whether the proxy holds no client connection.
func (g *testProxy) noClientConns() bool {
	n := 0
	for _, held := range g.p.front.stats().Places.Held {
		n += held
	}
	return n == 0
}

// receivedResponse is a response as a client received it.
type receivedResponse struct {
	status int
	header http.Header
	text   string
	closes bool // the connection is closed after it
}

// readResponse reads a response. A status of zero means that the connection ended without one.
func readResponse(t testing.TB, br *bufio.Reader) receivedResponse {
	t.Helper()
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return receivedResponse{closes: true}
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatalf("response truncated: %v", err)
	}
	return receivedResponse{r.StatusCode, r.Header, string(text), r.Close}
}

// raw sends bytes on a new connection and returns the response.
func (g *testProxy) raw(text string) receivedResponse {
	g.t.Helper()
	c := g.dial()
	defer c.Close()
	io.WriteString(c, text)
	return readResponse(g.t, bufio.NewReader(c))
}

var lastTxnID atomic.Int64

// requestText returns the text of a request of a class, with a new request ID. headers replace or, if empty, remove the
// default headers.
func requestText(class, text string, headers ...string) string {
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	lines := map[string]string{"Host": "api.internal", headerID: fmt.Sprint("id-", lastTxnID.Add(1)), headerClass: class,
		headerTenant: "acme", headerKey: "k", headerRemaining: "1400m"}
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
