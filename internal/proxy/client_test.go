package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"beechwing/internal/places"
	"beechwing/internal/wire"
)

// TestServed: what a client sends reaches the host as the protocol says, and the host's answer comes back unchanged.
func TestServed(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", wire.MaxBody/16)
	for _, c := range []struct{ name, class, method, text string }{
		{"safe", "read", "GET", ""},
		{"unsafe", "write", "POST", "a=1"},
		{"keyed", "log", "POST", "done"},
		{"as large as may be", "write", "POST", big},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, func(conn net.Conn, r seenRequest) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"+
					fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.text), r.text))
				return err == nil
			})
			g := startOneHost(t, h)
			a := g.raw(requestText(c.class, c.text, "X-Txn: id-1", "X-Own: kept", "X-Hop: x", "Connection: X-Hop"))
			if a.status != http.StatusOK || a.text != c.text || a.header.Get("Content-Type") != "text/x" {
				t.Fatalf("answer %d, %d bytes, %v", a.status, len(a.text), a.header)
			}
			r := h.seen.next(t, "the request")
			if r.Method != c.method || r.RequestURI != "/api?x=1" || r.text != c.text || r.Header.Get(headerID) != "id-1" ||
				r.Header.Get("X-Own") != "kept" || r.Header.Get("X-Hop") != "" || r.Host != "api.internal" {
				t.Errorf("the host got %s %s %v", r.Method, r.RequestURI, r.Header)
			}
			left, err := parseSeconds(r.Header.Get(headerRemaining))
			if err != nil || left <= 0 || left > 1.4 {
				t.Errorf("remaining %q", r.Header.Get(headerRemaining))
			}
		})
	}
}

// TestChunked: a body without a length goes on with one.
func TestChunked(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h)
	a := g.raw(requestText("write", "3\r\nabc\r\n0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked"))
	if r := h.seen.next(t, "the request"); a.status != http.StatusOK || r.text != "abc" || r.ContentLength != 3 {
		t.Fatalf("answer %d, the host got %q", a.status, r.text)
	}
}

// TestExpect: a client that waits for leave to send its body gets it.
func TestExpect(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h, func(p *Proxy) { p.times.responseTimeout = 200 * time.Millisecond })
	c := g.dial()
	br := bufio.NewReader(c)
	io.WriteString(c, requestText("read", "")) // the time to take this answer is long over when the next request comes
	readResponse(t, br)
	h.seen.next(t, "the first request")
	time.Sleep(250 * time.Millisecond)
	head, text, _ := strings.Cut(requestText("write", "abc", "Expect: 100-continue"), "\r\n\r\n")
	io.WriteString(c, head+"\r\n\r\n")
	if line, _ := br.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatalf("got %q", line)
	}
	br.ReadString('\n')
	io.WriteString(c, text)
	if a := readResponse(t, br); a.status != http.StatusOK || h.seen.next(t, "the request").text != "abc" {
		t.Fatalf("answer %d", a.status)
	}
}

// TestBadRequests: what is not a request gets one plain answer, neither 429 nor 503, and a close; nothing is sent.
func TestBadRequests(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h)
	for _, c := range []struct {
		name, text string
		status     int // 0: closed without a word
	}{
		{"garbage", "\x16\x03\x01\x02\r\n\r\n", 400},
		{"bad version", "GET / HTTP/9\r\n\r\n", 400},
		{"header without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", 400},
		{"huge header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n", 431},
		{"endless request line", strings.Repeat("G", 2*maxHeadBytes), 431},
		{"no id", requestText("read", "", "X-Txn: "), 400},
		{"endless id", requestText("read", "", "X-Txn: "+strings.Repeat("i", 300)), 400},
		{"unknown class", requestText("novel", ""), 400},
		{"no class", requestText("read", "", "X-Lane: "), 400},
		{"unknown tenant", requestText("read", "", "X-Org: nobody"), 400},
		{"no time", requestText("read", "", "X-Remaining: "), 400},
		{"time without unit", requestText("read", "", "X-Remaining: 480"), 400},
		{"negative time", requestText("read", "", "X-Remaining: -480m"), 400},
		{"time not a number", requestText("read", "", "X-Remaining: NaNm"), 400},
		{"endless time", requestText("read", "", "X-Remaining: Infm"), 400},
		{"absurd time", requestText("read", "", "X-Remaining: 99999999999m"), 400},
		{"GET for an unsafe class", strings.Replace(requestText("write", ""), "POST", "GET", 1), 405},
		{"POST for a safe class", strings.Replace(requestText("read", ""), "GET", "POST", 1), 405},
		{"DELETE", strings.Replace(requestText("write", ""), "POST", "DELETE", 1), 405},
		{"GET with a body", requestText("read", "abc", "Content-Length: 3"), 400},
		{"body over the limit", requestText("write", "x", "Content-Length: 60000000"), 413},
		{"broken chunks", requestText("write", "zz\r\nabc", "Content-Length: ", "Transfer-Encoding: chunked"), 400},
		{"two lengths", requestText("write", "abc", "Content-Length: 3\r\nContent-Length: 4"), 400},
		{"two lengths alike", requestText("write", "abc", "Content-Length: 3\r\nContent-Length: 3"), 400},
		{"negative length", requestText("write", "abc", "Content-Length: -3"), 400},
		{"length and chunks", requestText("write", "0\r\n\r\n"+requestText("read", ""), "Transfer-Encoding: chunked"), 400},
		{"chunks and length", strings.Replace(requestText("write", "0\r\n\r\n"+requestText("read", ""), "Content-Length: "),
			"\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 1), 400},
		{"chunks twice", requestText("write", "0\r\n\r\n", "Content-Length: ",
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"), 400},
		{"another coding", requestText("write", "abc", "Content-Length: ", "Transfer-Encoding: gzip"), 400},
		{"folded length", requestText("write", "abc", "Content-Length: 3\r\n 4"), 400},
		{"a name with a space", requestText("write", "abc", "Content-Length : 3"), 400},
		{"control character", requestText("read", "", "X-Own: a\x00b"), 400},
		{"bare carriage return", requestText("read", "", "X-Own: a\rX-Txn: b"), 400},
		{"two ids", requestText("read", "", "X-Txn: a\r\nX-Txn: b"), 400},
		{"two classes", requestText("read", "", "X-Lane: read\r\nX-Lane: write"), 400},
		{"one request behind another", requestText("read", "") + requestText("write", "x"), 400},
		{"body beyond its length", requestText("write", "abc", "Content-Length: 2"), 400},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := g.dial()
			io.WriteString(conn, c.text)
			br := bufio.NewReader(conn)
			a := readResponse(t, br)
			if a.status != c.status || !a.closes {
				t.Fatalf("answered %d, last %v; want %d", a.status, a.closes, c.status)
			}
			if _, err := br.ReadByte(); err == nil {
				t.Fatal("more came after the answer")
			}
			conn.Close()
		})
	}
	h.seen.none(t, "the host got a request")
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("after all that a good request got %d", a.status)
	}
}

// TestTruncated: a request that never came whole was not taken; its connection ends without an answer.
func TestTruncated(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h)
	whole := requestText("write", "0123456789")
	for _, cut := range []int{1, len(whole) / 2, len(whole) - 1} {
		c := g.dial()
		io.WriteString(c, whole[:cut])
		c.(*net.TCPConn).CloseWrite()
		if a := readResponse(t, bufio.NewReader(c)); a.status != 0 {
			t.Errorf("cut at %d: answered %d", cut, a.status)
		}
	}
	h.seen.none(t, "the host got a request")
}

// TestSilentClients: a connection that brings nothing, or stops within a request, is closed in time.
func TestSilentClients(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h, func(p *Proxy) { p.times.firstRequestTimeout = 20 * time.Millisecond })
	for _, text := range []string{"", "GET /api", requestText("write", "ab", "Content-Length: 5")} {
		c := g.dial()
		io.WriteString(c, text)
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			if _, reset := err.(*net.OpError); !reset {
				t.Errorf("%q: %v", text, err)
			}
		}
	}
}

// TestSentEarly: a client that sends more before it is answered has broken the protocol; what is out for it is called
// off, and the host gets nothing more.
func TestSentEarly(t *testing.T) {
	h := newHost(t, func(c net.Conn, r seenRequest) bool { return true }) // answers nothing
	g := startOneHost(t, h)
	c := g.dial()
	io.WriteString(c, requestText("read", ""))
	h.seen.next(t, "the request")
	io.WriteString(c, requestText("read", ""))
	br := bufio.NewReader(c)
	if a := readResponse(t, br); a.status != http.StatusBadRequest || !a.closes {
		t.Fatalf("answer %+v", a)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("after it: %v", err)
	}
	h.ended.next(t, "the end of the attempt's connection")
	h.seen.none(t, "sent on")
}

// TestOpenID: a request with the id of one that is open is turned down before the module sees it; the first goes on, and
// once it is answered its id is free again.
func TestOpenID(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newHost(t, release.says(ok))
	g := startOneHost(t, h)
	first := g.dial()
	io.WriteString(first, requestText("read", "", "X-Txn: a"))
	h.seen.next(t, "the first request")
	for range 3 {
		if a := g.raw(requestText("write", "x", "X-Txn: a")); a.status != http.StatusConflict || !a.closes {
			t.Fatalf("the same id got %+v", a)
		}
	}
	h.seen.none(t, "the same id was sent on")
	release.open()
	if a := readResponse(t, bufio.NewReader(first)); a.status != http.StatusOK {
		t.Fatalf("the first got %d", a.status)
	}
	if a := g.raw(requestText("write", "x", "X-Txn: a")); a.status != http.StatusOK {
		t.Fatalf("once it was free the id got %d", a.status)
	}
}

// ended says whether the proxy ends a connection: by a close or a reset, and not after a time limit of the test's own.
func closedByProxy(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	var ne net.Error
	return err != nil && !(errors.As(err, &ne) && ne.Timeout())
}

// TestDripFed: bytes sent one by one renew no time limit, neither in a connection's first request nor in a further one.
func TestDripFed(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h, func(p *Proxy) {
		p.times.firstRequestTimeout, p.times.requestTimeout = 200*time.Millisecond, 200*time.Millisecond
	})
	for _, served := range []bool{false, true} {
		c := g.dial()
		if served {
			io.WriteString(c, requestText("read", ""))
			if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
				t.Fatalf("the first request got %d", a.status)
			}
			h.seen.next(t, "it")
		}
		go func() {
			for _, b := range []byte(strings.Repeat("X-Pad: x\r\n", 1000)) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		if !closedByProxy(c) {
			t.Errorf("served before %v: still open", served)
		}
	}
	h.seen.none(t, "sent on")
}

// TestGivesWay: when all places are taken, a connection that has brought nothing goes before one that has begun a request,
// that before one between two requests, and what is worked on stays.
func TestGivesWay(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newHost(t, func(c net.Conn, r seenRequest) bool {
		if r.Method == http.MethodPost {
			<-release.opened
		}
		return says(ok)(c, r)
	})
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install, func(p *Proxy) {
		p.cfg.Site.Connections.Limit = 4
		p.times.firstRequestTimeout, p.times.lateGrace = testTimeout, 0
	})
	busy, idle, begun, silent := g.dial(), g.dial(), g.dial(), g.dial()
	io.WriteString(busy, requestText("write", "x", "X-Remaining: 9000m"))
	h.seen.next(t, "the request worked on")
	io.WriteString(idle, requestText("read", ""))
	readResponse(t, bufio.NewReader(idle))
	h.seen.next(t, "the request before")
	io.WriteString(begun, "GET /api HTTP/1.1\r\n")
	for g.p.front.figures().Places.Held[places.Partial] == 0 { // until its first bytes are read
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		name string
		conn net.Conn
	}{{"silent", silent}, {"begun", begun}, {"idle", idle}} {
		next := g.dial()
		io.WriteString(next, requestText("write", "x", "X-Remaining: 9000m"))
		if !closedByProxy(c.conn) {
			t.Fatalf("the %s one is still open", c.name)
		}
		h.seen.next(t, "the request that took its place")
	}
	release.open()
	if a := readResponse(t, bufio.NewReader(busy)); a.status != http.StatusOK {
		t.Errorf("the one worked on got %d", a.status)
	}
}

// TestFlood: hundreds that connect and say nothing, or send what is no request, keep usual clients from nothing.
func TestFlood(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h, func(p *Proxy) {
		p.cfg.Site.Connections.Limit = 8
		p.times.lingerTimeout = 50 * time.Millisecond
	})
	for n := range 30 {
		for range 10 {
			bad := g.dial()
			if n%2 == 0 {
				io.WriteString(bad, "nonsense\r\n\r\n")
			}
		}
		if a := g.raw(requestText("write", "x")); a.status != http.StatusOK {
			t.Fatalf("usual request %d got %d", n, a.status)
		}
	}
}

// TestKeepAlive: a connection carries one request after another.
func TestKeepAlive(t *testing.T) {
	h := newHost(t, says(ok))
	g := startOneHost(t, h)
	c := g.dial()
	br := bufio.NewReader(c)
	for n, text := range []string{requestText("read", ""), requestText("write", "x")} {
		io.WriteString(c, text)
		if a := readResponse(t, br); a.status != http.StatusOK || a.closes {
			t.Fatalf("answer %d: %+v", n, a)
		}
	}
	io.WriteString(c, requestText("read", "", "Connection: close"))
	if a := readResponse(t, br); a.status != http.StatusOK || !a.closes {
		t.Fatalf("last answer %+v", a)
	}
}

// TestTooManyClients: over the bound an idle connection makes room; if none is idle, the new one gets a plain failure.
func TestTooManyClients(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newHost(t, release.says(ok))
	g := startOneHost(t, h, func(p *Proxy) { p.cfg.Site.Connections.Limit = 2 })
	idle := g.dial()
	busy := []net.Conn{g.dial(), g.dial()}
	for _, c := range busy {
		io.WriteString(c, requestText("read", "", "X-Remaining: 9000m"))
		h.seen.next(t, "a request")
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	if a := g.raw(requestText("write", "x")); a.status != http.StatusInternalServerError || !a.closes {
		t.Errorf("the one over the bound got %d", a.status)
	}
	h.seen.none(t, "it was sent")
	release.open()
	for _, c := range busy {
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Errorf("a busy one got %d", a.status)
		}
	}
}

// narrow hands out connections whose socket holds little of what is written to them.
type smallBufferListener struct{ net.Listener }

func (n smallBufferListener) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err == nil {
		c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// TestSlowReader: a client that does not take its answer is cut off, and the buffers come back (checked at the end).
func TestSlowReader(t *testing.T) {
	large := strings.Repeat("x", wire.MaxBody)
	h := newHost(t, says(httpOK(large)))
	g := startOneHost(t, h, func(p *Proxy) {
		p.times.responseTimeout = 100 * time.Millisecond
		listen := p.listen
		p.listen = func(network, addr string) (net.Listener, error) {
			ln, err := listen(network, addr)
			return smallBufferListener{ln}, err
		}
	})
	c := g.dial()
	c.(*net.TCPConn).SetReadBuffer(4096)
	io.WriteString(c, requestText("read", ""))
	h.seen.next(t, "the request")
	eventually(t, "the client that takes nothing is cut off", g.noClientConns)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if got, err := io.Copy(io.Discard, r.Body); err == nil {
		t.Fatalf("all %d bytes came", got)
	}
}

// TestClientLeaves: when a client hangs up its attempt is called off by closing the connection to the host.
func TestClientLeaves(t *testing.T) {
	h := newHost(t, func(c net.Conn, r seenRequest) bool { return true }) // answers nothing
	g := startOneHost(t, h)
	c := g.dial()
	io.WriteString(c, requestText("write", "x"))
	h.seen.next(t, "the request")
	c.Close()
	if err := h.ended.next(t, "the end of the connection"); err == nil {
		t.Fatal("the host ended it")
	}
}

// TestAskOnceAndKeep: clients that ask once and keep their connection, up to a bound of their own that is under the
// proxy's, always find a place for the next: what they do not use again is closed long before its idle time is over.
func TestAskOnceAndKeep(t *testing.T) {
	const own, asked = 40, 300
	h := newHost(t, says(ok))
	g := startOneHost(t, h, func(p *Proxy) { p.cfg.Site.Connections.Limit = 48 })
	places := make(chan struct{}, own)
	for n := range asked {
		select {
		case places <- struct{}{}:
		case <-time.After(testTimeout):
			t.Fatalf("request %d finds no place: %+v", n, g.p.front.figures())
		}
		c := g.dial()
		io.WriteString(c, requestText("read", ""))
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Fatalf("request %d got %d", n, a.status)
		}
		go func() {
			c.Read(make([]byte, 1)) // until the proxy ends it
			c.Close()
			<-places
		}()
	}
}
