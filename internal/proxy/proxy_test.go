package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"beechwing/internal/wire"

	"go.uber.org/zap"
)

// TestDrainPhases checks that a stopping proxy answers pending and new requests, closes each connection with its response,
// and then ends.
func TestDrainPhases(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		<-release.opened
		return respondWith(okResponse)(c, r)
	})
	g := startOneHost(t, h, func(p *Proxy) { p.times.drainPeriod = 1500 * time.Millisecond })
	idle, busy, late := g.dial(), g.dial(), g.dial()
	long := func() string { return requestText("write", "x", "X-Remaining: 9000m") }
	io.WriteString(idle, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	idleReader := bufio.NewReader(idle)
	readResponse(t, idleReader)
	io.WriteString(busy, long())
	h.requests.next(t, "the request")
	g.shutDown()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Fatalf("the idle connection: %v", err)
	}
	after := g.dial() // new connections are still taken
	io.WriteString(after, long())
	h.requests.next(t, "the request that came after")
	release.open()
	for name, c := range map[string]net.Conn{"busy": busy, "after": after} {
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK || !a.closes {
			t.Errorf("%s: %d, last %v", name, a.status, a.closes)
		}
	}
	late.Close()
	g.stop()
	if _, err := net.Dial("tcp", g.addr); err == nil {
		t.Error("the address is still taken")
	}
}

// TestBacklog checks that connections in the listener's backlog when the proxy is told to stop are accepted and answered.
func TestBacklog(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, func(p *Proxy) {
		p.cfg.Site.Connections.Limit = 1
		p.times.drainPeriod = 100 * time.Millisecond
	})
	// All connection slots are taken, so that new connections stay in the backlog.
	f := g.p.front
	hold := func(n int) {
		f.mu.Lock()
		f.open += n
		f.mu.Unlock()
	}
	hold(overflowConns) // the last slot is for the accept call that is waiting
	taken := g.dial()
	io.WriteString(taken, requestText("read", ""))
	readResponse(t, bufio.NewReader(taken))
	waiting := []net.Conn{g.dial(), g.dial(), g.dial()}
	for _, c := range waiting {
		io.WriteString(c, requestText("read", ""))
	}
	g.shutDown()
	hold(-overflowConns)
	for n, c := range waiting {
		if a := readResponse(t, bufio.NewReader(c)); a.status == 0 {
			t.Errorf("request %d in the backlog was lost", n)
		}
	}
}

// TestAddressTaken checks the error for a listening address that is already in use.
func TestAddressTaken(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg, err := parseConfig([]byte(`{"listen": "`+ln.Addr().String()+`", "discovery": "127.0.0.1:1", "settings": `+
		testSettings+`}`), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	err = New(cfg, zap.NewNop()).Run(t.Context())
	if err == nil || !strings.HasPrefix(err.Error(), "starting: listen") {
		t.Fatalf("got %v", err)
	}
}

// TestUnreadyHealth checks that the health check fails without a host list, but not with 503, which would mean a refusal.
func TestUnreadyHealth(t *testing.T) {
	l := newFakeDiscovery(t)
	g := startProxy(t, l.addr(), "null")
	a := g.raw("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
	if a.status != http.StatusInternalServerError {
		t.Fatalf("answered %d", a.status)
	}
	if a := g.raw(requestText("write", "x")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("a request got %d, want a refusal since nothing has run", a.status)
	}
}

// TestPhaseNames checks the names of the phases in the log.
func TestPhaseNames(t *testing.T) {
	for p, want := range map[Phase]string{Starting: "starting", Serving: "serving", Draining: "draining",
		Finishing: "finishing", Stopped: "stopped"} {
		if p.String() != want {
			t.Errorf("%d is %q", p, p)
		}
	}
}

// TestFullHouseEnds checks that accept returns when the listener is closed, even while it waits for a free connection slot.
func TestFullHouseEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := newFrontend(ln, frontendLimits{maxConns: 1}, newConnBudget(Limits{Sockets: 100}), nil, nil, wire.NewPool(), nil,
		testTiming(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	f.open = 1 + overflowConns
	ended := make(eventChan[bool], 1)
	go func() {
		f.accept()
		ended <- true
	}()
	f.close()
	ended.next(t, "the return of accept")
}
