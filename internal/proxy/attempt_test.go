package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"beechwing/balancer"
)

// TestHostAnswers plays the protocol's table: what comes back of a host's answer, and what the module is told.
func TestHostAnswers(t *testing.T) {
	turned := "HTTP/1.1 503 S\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, raw string
		result    balancer.Result
		reused    bool // the connection carries the next request
	}{
		{"served", okResponse, balancer.OK, true},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", balancer.OK, true},
		{"served, then closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", balancer.OK, false},
		{"after an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, balancer.OK, true},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		{"turned away", turned, balancer.Rejected, true},
		{"turned away late", strings.Replace(turned, "503", "504", 1), balancer.Rejected, true},
		{"503 without the word", "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		{"too many requests without the word", "HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		{"500 with the word", strings.Replace(turned, "503", "500", 1), balancer.Errored, true},
		{"garbage", "no such thing\r\n\r\n", balancer.Malformed, false},
		{"cut in the head", "HTTP/1.1 200 OK\r\nContent-", balancer.Reset, false},
		{"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc", balancer.Reset, false},
		{"broken chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", balancer.Malformed, false},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", balancer.Malformed, false},
		{"ended by the close, as announced", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", balancer.OK, false},
		{"head over the limit", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHead), balancer.Malformed, false},
		{"endless interim answers", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", maxHead/4), balancer.Malformed, false},
		{"many interim answers", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", 20) + okResponse, balancer.OK, true},
		{"a length beside chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nok\r\n0\r\n\r\n", balancer.Malformed, false},
		{"two lengths alike", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", balancer.Malformed, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", balancer.Malformed, false},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", balancer.Malformed, false},
		{"folded head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 0\r\n\r\nok", balancer.Malformed, false},
		{"a name with a space", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", balancer.Malformed, false},
		{"a report that is none", "HTTP/1.1 200 OK\r\nX-Pressure: %%%\r\nContent-Length: 2\r\n\r\nok", balancer.OK, true},
		{"noise behind the answer", okResponse + "\x00\x01noise", balancer.OK, false},
		{"bytes beyond the answer", okResponse + okResponse, balancer.OK, false},
		{"nothing", "", balancer.Reset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := true
			h := newFakeHost(t, func(conn net.Conn, r receivedRequest) bool {
				if !first {
					return respondWith(okResponse)(conn, r)
				}
				first = false
				io.WriteString(conn, c.raw)
				return c.reused
			})
			s := newScript()
			s.request = sends("h1")
			g := one(t, h, s.decides)
			a := g.raw(message("write", "x"))
			o := s.outcomes.next(t, "the outcome")
			if o.Result != c.result || o.Final != (c.result == balancer.OK) || o.Host != hostID("h1") || o.Took <= 0 {
				t.Fatalf("outcome %+v, want %v", o, c.result)
			}
			if want := c.result == balancer.OK; (a.status == http.StatusOK) != want {
				t.Fatalf("the client got %d", a.status)
			}
			h.requests.next(t, "the request")
			if a := g.raw(message("read", "")); a.status != http.StatusOK {
				t.Fatalf("the next request got %d", a.status)
			}
			if again := h.requests.next(t, "the next request").reusedConn; again != c.reused {
				t.Errorf("connection used again: %v", again)
			}
			s.outcomes.next(t, "the next outcome")
			s.outcomes.none(t, "a second outcome of one attempt")
		})
	}
}

// TestRequestAtFault: a host that cannot use a request is not blamed for it, nor is the request sent elsewhere.
func TestRequestAtFault(t *testing.T) {
	for _, status := range []int{400, 404, 413} {
		h := newFakeHost(t, respondWith(fmt.Sprintf("HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n", status)))
		s := newScript()
		s.request = sends("h1")
		g := one(t, h, s.decides)
		if a := g.raw(message("read", "")); a.status != status {
			t.Errorf("host said %d, the client got %d", status, a.status)
		}
		if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Cancelled || !o.Final {
			t.Errorf("host said %d: outcome %+v", status, o)
		}
	}
}

// TestHugeAnswer: an answer said to be huge is not waited for, however long the host goes on.
func TestHugeAnswer(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc")
		_, err := c.Read(make([]byte, 1)) // the end is the proxy's
		return err == nil
	})
	s := newScript()
	s.request = sends("h1")
	g := one(t, h, s.decides)
	if a := g.raw(message("write", "x", "X-Remaining: 60000m")); a.status != http.StatusBadGateway {
		t.Fatalf("the client got %d", a.status)
	}
	if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Malformed {
		t.Fatalf("outcome %+v", o)
	}
}

// TestReports: a report in the answer reaches the module in the order of the settings; a broken one is none.
func TestReports(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []float32 // NaN is told as -1 here
	}{
		{"whole", `{"inflight":7,"queue":2,"util":0.5}`, []float32{7, 2, 0.5}},
		{"under the settings' names", `{"cpu":0.5,"active":7,"waiting":2}`, []float32{7, 2, 0.5}},
		{"a value short", `{"inflight":7,"util":0.5}`, []float32{7, -1, 0.5}},
		{"not JSON", `{"inflight":`, nil},
		{"not numbers", `{"inflight":"many"}`, nil},
		{"empty", `{}`, nil},
		{"none", ``, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := parseReport(c.text, []string{"active", "waiting", "cpu"})
			if len(got) != len(c.want) {
				t.Fatalf("got %v", got)
			}
			for i, v := range got {
				if v != v {
					v = -1
				}
				if v != c.want[i] {
					t.Errorf("got %v, want %v", got, c.want)
				}
			}
		})
	}
	h := newFakeHost(t, respondWith(strings.Replace(okResponse, "\r\n\r\n", "\r\nX-Pressure: {\"util\":0.25}\r\n\r\n", 1)))
	s := newScript()
	s.request = sends("h1")
	g := one(t, h, s.decides)
	g.raw(message("read", ""))
	if o := s.outcomes.next(t, "the outcome"); len(o.Report) != 3 || o.Report[2] != 0.25 {
		t.Fatalf("report %v", o.Report)
	}
}

// TestReusedConnectionBreaks: an unsafe request on a connection that has carried others. As long as its last byte has not
// gone out it may take another connection; once it has, a break is a reset, and it is not sent again.
func TestReusedConnectionBreaks(t *testing.T) {
	t.Run("before its last byte", func(t *testing.T) {
		h := newFakeHost(t, respondWith(okResponse))
		g := one(t, h)
		if a := g.raw(message("write", "first")); a.status != http.StatusOK {
			t.Fatalf("the first got %d", a.status)
		}
		h.requests.next(t, "the first")
		h.mu.Lock()
		for c := range h.open { // the idle connection dies, whether the proxy has noticed or not
			resetConn(c)
		}
		h.mu.Unlock()
		if a := g.raw(message("write", "second")); a.status != http.StatusOK {
			t.Fatalf("the second got %d", a.status)
		}
		if r := h.requests.next(t, "the second"); r.reusedConn || r.body != "second" {
			t.Fatalf("it came as %q, again %v", r.body, r.reusedConn)
		}
		h.requests.none(t, "it came twice")
	})
	t.Run("after its last byte", func(t *testing.T) {
		h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
			if r.reusedConn {
				resetConn(c)
				return false
			}
			return respondWith(okResponse)(c, r)
		})
		g := one(t, h)
		g.raw(message("write", "first"))
		h.requests.next(t, "the first")
		a := g.raw(message("write", "second"))
		if a.status != http.StatusBadGateway {
			t.Fatalf("answered %d: after a reset nothing is promised", a.status)
		}
		h.requests.next(t, "the second")
		h.requests.none(t, "it was sent again")
	})
}

// TestResetAtOnce: a host that resets a connection at a request's first bytes has not begun it. A connection kept from
// before is replaced; a new one is an outcome that proves that nothing ran.
func TestResetAtOnce(t *testing.T) {
	var resetFirst atomic.Bool
	whole := make(watched[bool], 16) // for each connection that carried whole requests: whether it had before
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for again := false; ; again = true {
			if _, err := br.Peek(1); err != nil {
				return
			}
			if again || resetFirst.Load() {
				resetConn(c)
				return
			}
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			whole <- again
			io.WriteString(c, okResponse)
		}
	})
	s := newScript()
	s.request = sends("h1")
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := start(t, l.addr(), "null", s.decides, func(p *Proxy) { p.times.settle = time.Second })
	g.waitReady()
	for _, text := range []string{"first", "second"} {
		if a := g.raw(message("write", text, "X-Remaining: 9000m")); a.status != http.StatusOK {
			t.Fatalf("the %s got %d", text, a.status)
		}
		whole.next(t, text)
		if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.OK {
			t.Fatalf("outcome of the %s %+v", text, o)
		}
	}
	resetFirst.Store(true)
	if a := g.raw(message("write", "third", "X-Remaining: 9000m")); a.status != http.StatusBadGateway {
		t.Fatalf("the third got %d", a.status) // the script gives every request up
	}
	if o := s.outcomes.next(t, "the outcome"); !o.Result.NeverRan() {
		t.Fatalf("outcome of the third %+v", o)
	}
	whole.none(t, "a host took it whole")
}

// TestNothingHalfWritten: a host that breaks the connection before the last byte of a large request has not begun it.
func TestNothingHalfWritten(t *testing.T) {
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(2048)
		br.ReadByte()
		resetConn(c)
	})
	s := newScript()
	s.request = sends("h1")
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := start(t, l.addr(), "null", s.decides)
	g.waitReady()
	up := g.p.hosts.find(hostID("h1"))
	// A request larger than both sockets hold together, so that writing it cannot end before the host breaks off.
	_, result := up.exchange(t.Context(), flood{})
	if result != balancer.ConnectFailed || !result.NeverRan() {
		t.Fatalf("result %v", result)
	}
}

// flood is a message of 16 MB.
type flood struct{}

func (flood) begun(reply) bool { return false }
func (flood) write(l line) error {
	l.Conn.(*net.TCPConn).SetWriteBuffer(2048)
	_, err := l.Write(make([]byte, 16<<20))
	return err
}

// TestRefusedConnection: nothing listens, so nothing has run; the request goes elsewhere or is refused.
func TestRefusedConnection(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()), entry("h2", nobody))
	g := start(t, l.addr(), "null")
	g.waitReady()
	for n := range 20 {
		if a := g.raw(message("write", "x", "X-Entity: k"+string(rune('a'+n)))); a.status != http.StatusOK {
			t.Fatalf("answered %d", a.status)
		}
	}
	l.set(entry("h2", nobody))
	g.settled(l)
	if a := g.raw(message("write", "x")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("with no host left: %d, want a refusal", a.status)
	}
}

// settled waits until the proxy has taken the newest list: its next call says so.
func (g *rig) settled(l *fakeDiscovery) {
	g.t.Helper()
	l.mu.Lock()
	want := "since=" + strconv.Itoa(l.version) + "&"
	l.mu.Unlock()
	for !strings.Contains(l.calls.next(g.t, "a call with "+want), want) {
	}
	// The event was queued before that call went out, and the owner plays its queue in order.
	g.raw(message("read", "", "X-Remaining: 0m"))
}

// TestTimeouts: an attempt ends with the time that the client has left, and its connection with it, whether the host
// is silent or does not come to an end.
func TestTimeouts(t *testing.T) {
	for _, c := range []struct{ name, first, rest string }{
		{"silent", "", ""},
		{"endless head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"endless body", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "x"},
	} {
		t.Run(c.name, func(t *testing.T) { runsOut(t, c.first, c.rest) })
	}
}

// runsOut plays a host that begins an answer and goes on with it for ever.
func runsOut(t *testing.T, first, rest string) {
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		for text := first; text != ""; text = rest {
			if _, err := io.WriteString(c, text); err != nil {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		return true
	})
	s := newScript()
	s.request = func(s *script, r balancer.Request) { s.act.Send(r.ID, hostID("h1"), 60) }
	g := one(t, h, s.decides)
	began := time.Now()
	a := g.raw(message("write", "x", "X-Remaining: 80m"))
	took := time.Since(began)
	if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.TimedOut || o.Result.NeverRan() || o.Final {
		t.Fatalf("outcome %+v", o)
	}
	if a.status != http.StatusBadGateway || took < 80*time.Millisecond {
		t.Fatalf("answered %d after %v", a.status, took)
	}
	if err := h.ended.next(t, "the end of the connection"); err == nil {
		t.Fatal("the host ended it")
	}
}

// TestNoTimeLeft: a request that comes with no time left is answered at once, and not sent.
func TestNoTimeLeft(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h)
	if a := g.raw(message("write", "x", "X-Remaining: 0u")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("answered %d", a.status)
	}
	h.requests.none(t, "it was sent")
}

// TestKeyedStaysInGroup: a keyed request that may have run goes on only inside the zone that drops its repeats. With
// one host in each zone it has nowhere to go, and may not be refused either.
func TestKeyedStaysInGroup(t *testing.T) {
	breaks := func(c net.Conn, r receivedRequest) bool {
		resetConn(c)
		return false
	}
	h1, h2 := newFakeHost(t, breaks), newFakeHost(t, breaks)
	other := entry("h2", h2.addr())
	other.Zone = "b"
	l := newFakeDiscovery(t, entry("h1", h1.addr()), other)
	g := start(t, l.addr(), "null")
	g.waitReady()
	if a := g.raw(message("log", "x")); a.status != http.StatusBadGateway {
		t.Fatalf("answered %d", a.status)
	}
	if n := len(h1.requests) + len(h2.requests); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}
