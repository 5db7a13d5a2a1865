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

// TestHostAnswers checks, for each kind of host response, what the client gets and what the balancer is told.
func TestHostAnswers(t *testing.T) {
	turnedAway := "HTTP/1.1 503 S\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, raw string
		result    balancer.Result
		reused    bool // the connection is used for the next request
	}{
		{"served", okResponse, balancer.OK, true},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", balancer.OK, true},
		{"served, then closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", balancer.OK, false},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, balancer.OK, true},
		{"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		{"turned away", turnedAway, balancer.Rejected, true},
		{"turned away late", strings.Replace(turnedAway, "503", "504", 1), balancer.Rejected, true},
		{"503 without X-Turned-Away", "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		{"429 without X-Turned-Away", "HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", balancer.Errored, true},
		{"500 with X-Turned-Away", strings.Replace(turnedAway, "503", "500", 1), balancer.Errored, true},
		{"garbage", "no such thing\r\n\r\n", balancer.Malformed, false},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-", balancer.Reset, false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc", balancer.Reset, false},
		{"broken chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", balancer.Malformed, false},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", balancer.Malformed, false},
		{"ended by an announced close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", balancer.OK, false},
		{"head over the limit", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes), balancer.Malformed, false},
		{"too many interim responses", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", maxHeadBytes/4), balancer.Malformed, false},
		{"many interim responses", strings.Repeat("HTTP/1.1 103 E\r\n\r\n", 20) + okResponse, balancer.OK, true},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nok\r\n0\r\n\r\n", balancer.Malformed, false},
		{"two equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", balancer.Malformed, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", balancer.Malformed, false},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", balancer.Malformed, false},
		{"folded head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 0\r\n\r\nok", balancer.Malformed, false},
		{"header name with a space", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", balancer.Malformed, false},
		{"invalid load report", "HTTP/1.1 200 OK\r\nX-Pressure: %%%\r\nContent-Length: 2\r\n\r\nok", balancer.OK, true},
		{"garbage after the response", okResponse + "\x00\x01noise", balancer.OK, false},
		{"second response after the response", okResponse + okResponse, balancer.OK, false},
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
			s := newFakeBalancer()
			s.onRequest = sendsOnceTo("h1")
			g := startOneHost(t, h, s.install)
			a := g.raw(requestText("write", "x"))
			o := s.outcomes.next(t, "the outcome")
			if o.Result != c.result || o.Final != (c.result == balancer.OK) || o.Host != hostID("h1") || o.Took <= 0 {
				t.Fatalf("outcome %+v, want %v", o, c.result)
			}
			if want := c.result == balancer.OK; (a.status == http.StatusOK) != want {
				t.Fatalf("the client got status %d", a.status)
			}
			h.requests.next(t, "the request")
			if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
				t.Fatalf("the next request got status %d", a.status)
			}
			if again := h.requests.next(t, "the next request").reusedConn; again != c.reused {
				t.Errorf("connection reused: %v", again)
			}
			s.outcomes.next(t, "the next outcome")
			s.outcomes.none(t, "a second outcome of one attempt")
		})
	}
}

// TestRequestAtFault: a host that rejects a request as invalid is not blamed for it, and the request is not sent to
// another host.
func TestRequestAtFault(t *testing.T) {
	for _, status := range []int{400, 404, 413} {
		h := newFakeHost(t, respondWith(fmt.Sprintf("HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n", status)))
		s := newFakeBalancer()
		s.onRequest = sendsOnceTo("h1")
		g := startOneHost(t, h, s.install)
		if a := g.raw(requestText("read", "")); a.status != status {
			t.Errorf("host sent status %d, the client got %d", status, a.status)
		}
		if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Cancelled || !o.Final {
			t.Errorf("host sent status %d: outcome %+v", status, o)
		}
	}
}

// TestHugeAnswer: a response whose announced length is over the limit fails at once, without reading its body.
func TestHugeAnswer(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc")
		_, err := c.Read(make([]byte, 1)) // until the proxy closes it
		return err == nil
	})
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install)
	if a := g.raw(requestText("write", "x", "X-Remaining: 60000m")); a.status != http.StatusBadGateway {
		t.Fatalf("the client got status %d", a.status)
	}
	if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Malformed {
		t.Fatalf("outcome %+v", o)
	}
}

// TestReports: a load report in a response reaches the balancer in the order of the columns in the settings. An invalid
// report is ignored.
func TestReports(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []float32 // -1 stands for NaN
	}{
		{"complete", `{"inflight":7,"queue":2,"util":0.5}`, []float32{7, 2, 0.5}},
		{"with the settings' column names", `{"cpu":0.5,"active":7,"waiting":2}`, []float32{7, 2, 0.5}},
		{"missing value", `{"inflight":7,"util":0.5}`, []float32{7, -1, 0.5}},
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
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install)
	g.raw(requestText("read", ""))
	if o := s.outcomes.next(t, "the outcome"); len(o.Report) != 3 || o.Report[2] != 0.25 {
		t.Fatalf("report %v", o.Report)
	}
}

// TestReusedConnectionBreaks: a request that must not run twice is sent on a reused connection. If the connection
// breaks before the last byte of the request is sent, the request is sent on another connection; if it breaks later,
// the request fails and is not repeated.
func TestReusedConnectionBreaks(t *testing.T) {
	t.Run("before its last byte", func(t *testing.T) {
		h := newFakeHost(t, respondWith(okResponse))
		g := startOneHost(t, h)
		if a := g.raw(requestText("write", "first")); a.status != http.StatusOK {
			t.Fatalf("the first got status %d", a.status)
		}
		h.requests.next(t, "the first")
		h.mu.Lock()
		for c := range h.open { // the idle connection dies, whether or not the proxy has noticed
			resetConn(c)
		}
		h.mu.Unlock()
		if a := g.raw(requestText("write", "second")); a.status != http.StatusOK {
			t.Fatalf("the second got status %d", a.status)
		}
		if r := h.requests.next(t, "the second"); r.reusedConn || r.body != "second" {
			t.Fatalf("the host got %q, on a reused connection: %v", r.body, r.reusedConn)
		}
		h.requests.none(t, "the request was sent twice")
	})
	t.Run("after its last byte", func(t *testing.T) {
		h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
			if r.reusedConn {
				resetConn(c)
				return false
			}
			return respondWith(okResponse)(c, r)
		})
		g := startOneHost(t, h)
		g.raw(requestText("write", "first"))
		h.requests.next(t, "the first")
		a := g.raw(requestText("write", "second"))
		if a.status != http.StatusBadGateway {
			t.Fatalf("got status %d, want a failure: the request may have run", a.status)
		}
		h.requests.next(t, "the second")
		h.requests.none(t, "the request was sent again")
	})
}

// TestResetAtOnce: a host that resets a connection on the first bytes of a request has not started it. A reused
// connection is replaced by a new one. On a new connection the attempt ends with a result that proves that nothing ran.
func TestResetAtOnce(t *testing.T) {
	var resetFirst atomic.Bool
	whole := make(eventChan[bool], 16) // one value per complete request: whether the connection had carried one before
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
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := startProxy(t, l.addr(), "null", s.install, func(p *Proxy) { p.times.lastByteDelay = time.Second })
	g.waitReady()
	for _, text := range []string{"first", "second"} {
		if a := g.raw(requestText("write", text, "X-Remaining: 9000m")); a.status != http.StatusOK {
			t.Fatalf("the %s got status %d", text, a.status)
		}
		whole.next(t, text)
		if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.OK {
			t.Fatalf("outcome of the %s %+v", text, o)
		}
	}
	resetFirst.Store(true)
	if a := g.raw(requestText("write", "third", "X-Remaining: 9000m")); a.status != http.StatusBadGateway {
		t.Fatalf("the third got status %d", a.status) // the fake balancer fails every request
	}
	if o := s.outcomes.next(t, "the outcome"); !o.Result.NeverRan() {
		t.Fatalf("outcome of the third %+v", o)
	}
	whole.none(t, "the host got the complete third request")
}

// TestNothingHalfWritten: a host that resets the connection before the last byte of a large request has not started it.
func TestNothingHalfWritten(t *testing.T) {
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		c.(*net.TCPConn).SetReadBuffer(2048)
		br.ReadByte()
		resetConn(c)
	})
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := startProxy(t, l.addr(), "null", s.install)
	g.waitReady()
	up := g.p.hosts.find(hostID("h1"))
	// The message is larger than both socket buffers together, so that the write cannot finish before the reset.
	_, result := up.exchange(t.Context(), largeMessage{})
	if result != balancer.ConnectFailed || !result.NeverRan() {
		t.Fatalf("result %v", result)
	}
}

// largeMessage is a message of 16 MB.
type largeMessage struct{}

func (largeMessage) responseStarted(hostResponse) bool { return false }
func (largeMessage) write(l messageConn) error {
	l.Conn.(*net.TCPConn).SetWriteBuffer(2048)
	_, err := l.Write(make([]byte, 16<<20))
	return err
}

// TestRefusedConnection: if a host refuses connections, the request has not run. It is sent to another host, or refused
// if there is none.
func TestRefusedConnection(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	l := newFakeDiscovery(t, entry("h1", h.addr()), entry("h2", refusingAddr))
	g := startProxy(t, l.addr(), "null")
	g.waitReady()
	for n := range 20 {
		if a := g.raw(requestText("write", "x", "X-Entity: k"+string(rune('a'+n)))); a.status != http.StatusOK {
			t.Fatalf("got status %d", a.status)
		}
	}
	l.set(entry("h2", refusingAddr))
	g.awaitListApplied(l)
	if a := g.raw(requestText("write", "x")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("with no host left: got status %d, want a refusal", a.status)
	}
}

// awaitListApplied waits until the proxy has applied the newest list: its next call to discovery names that version.
func (g *testProxy) awaitListApplied(l *fakeDiscovery) {
	g.t.Helper()
	l.mu.Lock()
	want := "since=" + strconv.Itoa(l.version) + "&"
	l.mu.Unlock()
	for !strings.Contains(l.calls.next(g.t, "a call with "+want), want) {
	}
	// The event was queued before that call was made, and the owner processes its queue in order.
	g.raw(requestText("read", "", "X-Remaining: 0m"))
}

// TestTimeouts: an attempt ends when the client's remaining time is over, and its connection is closed, whether the
// host sends nothing or never completes its response.
func TestTimeouts(t *testing.T) {
	for _, c := range []struct{ name, first, rest string }{
		{"silent", "", ""},
		{"endless head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"endless body", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "x"},
	} {
		t.Run(c.name, func(t *testing.T) { checkTimesOut(t, c.first, c.rest) })
	}
}

// checkTimesOut runs a request against a host that starts a response and never completes it.
func checkTimesOut(t *testing.T, first, rest string) {
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		for text := first; text != ""; text = rest {
			if _, err := io.WriteString(c, text); err != nil {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		return true
	})
	s := newFakeBalancer()
	s.onRequest = func(s *fakeBalancer, r balancer.Request) { s.act.Send(r.ID, hostID("h1"), 60) }
	g := startOneHost(t, h, s.install)
	began := time.Now()
	a := g.raw(requestText("write", "x", "X-Remaining: 80m"))
	took := time.Since(began)
	if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.TimedOut || o.Result.NeverRan() || o.Final {
		t.Fatalf("outcome %+v", o)
	}
	if a.status != http.StatusBadGateway || took < 80*time.Millisecond {
		t.Fatalf("got status %d after %v", a.status, took)
	}
	if err := h.ended.next(t, "the end of the connection"); err == nil {
		t.Fatal("the host ended it")
	}
}

// TestNoTimeLeft: a request that arrives with no time left is refused at once and not sent.
func TestNoTimeLeft(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h)
	if a := g.raw(requestText("write", "x", "X-Remaining: 0u")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("got status %d", a.status)
	}
	h.requests.none(t, "the request was sent")
}

// TestKeyedStaysInGroup: a keyed request that may have run is retried only within its zone, where repeats are dropped.
// With one host in each zone it cannot be retried, and it must not be refused either, since it may have run.
func TestKeyedStaysInGroup(t *testing.T) {
	breaks := func(c net.Conn, r receivedRequest) bool {
		resetConn(c)
		return false
	}
	h1, h2 := newFakeHost(t, breaks), newFakeHost(t, breaks)
	other := entry("h2", h2.addr())
	other.Zone = "b"
	l := newFakeDiscovery(t, entry("h1", h1.addr()), other)
	g := startProxy(t, l.addr(), "null")
	g.waitReady()
	if a := g.raw(requestText("log", "x")); a.status != http.StatusBadGateway {
		t.Fatalf("got status %d", a.status)
	}
	if n := len(h1.requests) + len(h2.requests); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}
