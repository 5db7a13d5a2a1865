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
			h := newFakeHost(t, func(conn net.Conn, r receivedRequest) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"+
					fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body), r.body))
				return err == nil
			})
			g := one(t, h)
			a := g.raw(message(c.class, c.text, "X-Txn: id-1", "X-Own: kept", "X-Hop: x", "Connection: X-Hop"))
			if a.status != http.StatusOK || a.text != c.text || a.header.Get("Content-Type") != "text/x" {
				t.Fatalf("answer %d, %d bytes, %v", a.status, len(a.text), a.header)
			}
			r := h.requests.next(t, "the request")
			if r.Method != c.method || r.RequestURI != "/api?x=1" || r.body != c.text || r.Header.Get(headerID) != "id-1" ||
				r.Header.Get("X-Own") != "kept" || r.Header.Get("X-Hop") != "" || r.Host != "api.internal" {
				t.Errorf("the host got %s %s %v", r.Method, r.RequestURI, r.Header)
			}
			left, err := parseSpan(r.Header.Get(headerRemaining))
			if err != nil || left <= 0 || left > 1.4 {
				t.Errorf("remaining %q", r.Header.Get(headerRemaining))
			}
		})
	}
}

// TestChunked: a body without a length goes on with one.
func TestChunked(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h)
	a := g.raw(message("write", "3\r\nabc\r\n0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked"))
	if r := h.requests.next(t, "the request"); a.status != http.StatusOK || r.body != "abc" || r.ContentLength != 3 {
		t.Fatalf("answer %d, the host got %q", a.status, r.body)
	}
}

// TestExpect: a client that waits for leave to send its body gets it.
func TestExpect(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, func(p *Proxy) { p.times.answer = 200 * time.Millisecond })
	c := g.dial()
	br := bufio.NewReader(c)
	io.WriteString(c, message("read", "")) // the time to take this answer is long over when the next request comes
	hear(t, br)
	h.requests.next(t, "the first request")
	time.Sleep(250 * time.Millisecond)
	head, text, _ := strings.Cut(message("write", "abc", "Expect: 100-continue"), "\r\n\r\n")
	io.WriteString(c, head+"\r\n\r\n")
	if line, _ := br.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatalf("got %q", line)
	}
	br.ReadString('\n')
	io.WriteString(c, text)
	if a := hear(t, br); a.status != http.StatusOK || h.requests.next(t, "the request").body != "abc" {
		t.Fatalf("answer %d", a.status)
	}
}

// TestBadRequests: what is not a request gets one plain answer, neither 429 nor 503, and a close; nothing is sent.
func TestBadRequests(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h)
	for _, c := range []struct {
		name, text string
		status     int // 0: closed without a word
	}{
		{"garbage", "\x16\x03\x01\x02\r\n\r\n", 400},
		{"bad version", "GET / HTTP/9\r\n\r\n", 400},
		{"header without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", 400},
		{"huge header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHead) + "\r\n\r\n", 431},
		{"endless request line", strings.Repeat("G", 2*maxHead), 431},
		{"no id", message("read", "", "X-Txn: "), 400},
		{"endless id", message("read", "", "X-Txn: "+strings.Repeat("i", 300)), 400},
		{"unknown class", message("novel", ""), 400},
		{"no class", message("read", "", "X-Lane: "), 400},
		{"unknown tenant", message("read", "", "X-Org: nobody"), 400},
		{"no time", message("read", "", "X-Remaining: "), 400},
		{"time without unit", message("read", "", "X-Remaining: 480"), 400},
		{"negative time", message("read", "", "X-Remaining: -480m"), 400},
		{"time not a number", message("read", "", "X-Remaining: NaNm"), 400},
		{"endless time", message("read", "", "X-Remaining: Infm"), 400},
		{"absurd time", message("read", "", "X-Remaining: 99999999999m"), 400},
		{"GET for an unsafe class", strings.Replace(message("write", ""), "POST", "GET", 1), 405},
		{"POST for a safe class", strings.Replace(message("read", ""), "GET", "POST", 1), 405},
		{"DELETE", strings.Replace(message("write", ""), "POST", "DELETE", 1), 405},
		{"GET with a body", message("read", "abc", "Content-Length: 3"), 400},
		{"body over the limit", message("write", "x", "Content-Length: 60000000"), 413},
		{"broken chunks", message("write", "zz\r\nabc", "Content-Length: ", "Transfer-Encoding: chunked"), 400},
		{"two lengths", message("write", "abc", "Content-Length: 3\r\nContent-Length: 4"), 400},
		{"two lengths alike", message("write", "abc", "Content-Length: 3\r\nContent-Length: 3"), 400},
		{"negative length", message("write", "abc", "Content-Length: -3"), 400},
		{"length and chunks", message("write", "0\r\n\r\n"+message("read", ""), "Transfer-Encoding: chunked"), 400},
		{"chunks and length", strings.Replace(message("write", "0\r\n\r\n"+message("read", ""), "Content-Length: "),
			"\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 1), 400},
		{"chunks twice", message("write", "0\r\n\r\n", "Content-Length: ",
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"), 400},
		{"another coding", message("write", "abc", "Content-Length: ", "Transfer-Encoding: gzip"), 400},
		{"folded length", message("write", "abc", "Content-Length: 3\r\n 4"), 400},
		{"a name with a space", message("write", "abc", "Content-Length : 3"), 400},
		{"control character", message("read", "", "X-Own: a\x00b"), 400},
		{"bare carriage return", message("read", "", "X-Own: a\rX-Txn: b"), 400},
		{"two ids", message("read", "", "X-Txn: a\r\nX-Txn: b"), 400},
		{"two classes", message("read", "", "X-Lane: read\r\nX-Lane: write"), 400},
		{"one request behind another", message("read", "") + message("write", "x"), 400},
		{"body beyond its length", message("write", "abc", "Content-Length: 2"), 400},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := g.dial()
			io.WriteString(conn, c.text)
			br := bufio.NewReader(conn)
			a := hear(t, br)
			if a.status != c.status || !a.last {
				t.Fatalf("answered %d, last %v; want %d", a.status, a.last, c.status)
			}
			if _, err := br.ReadByte(); err == nil {
				t.Fatal("more came after the answer")
			}
			conn.Close()
		})
	}
	h.requests.none(t, "the host got a request")
	if a := g.raw(message("read", "")); a.status != http.StatusOK {
		t.Fatalf("after all that a good request got %d", a.status)
	}
}

// TestTruncated: a request that never came whole was not taken; its connection ends without an answer.
func TestTruncated(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h)
	whole := message("write", "0123456789")
	for _, cut := range []int{1, len(whole) / 2, len(whole) - 1} {
		c := g.dial()
		io.WriteString(c, whole[:cut])
		c.(*net.TCPConn).CloseWrite()
		if a := hear(t, bufio.NewReader(c)); a.status != 0 {
			t.Errorf("cut at %d: answered %d", cut, a.status)
		}
	}
	h.requests.none(t, "the host got a request")
}

// TestSilentClients: a connection that brings nothing, or stops within a request, is closed in time.
func TestSilentClients(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, func(p *Proxy) { p.times.fresh = 20 * time.Millisecond })
	for _, text := range []string{"", "GET /api", message("write", "ab", "Content-Length: 5")} {
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
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool { return true }) // answers nothing
	g := one(t, h)
	c := g.dial()
	io.WriteString(c, message("read", ""))
	h.requests.next(t, "the request")
	io.WriteString(c, message("read", ""))
	br := bufio.NewReader(c)
	if a := hear(t, br); a.status != http.StatusBadRequest || !a.last {
		t.Fatalf("answer %+v", a)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("after it: %v", err)
	}
	h.ended.next(t, "the end of the attempt's connection")
	h.requests.none(t, "sent on")
}

// TestOpenID: a request with the id of one that is open is turned down before the module sees it; the first goes on, and
// once it is answered its id is free again.
func TestOpenID(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, release.respondWith(okResponse))
	g := one(t, h)
	first := g.dial()
	io.WriteString(first, message("read", "", "X-Txn: a"))
	h.requests.next(t, "the first request")
	for range 3 {
		if a := g.raw(message("write", "x", "X-Txn: a")); a.status != http.StatusConflict || !a.last {
			t.Fatalf("the same id got %+v", a)
		}
	}
	h.requests.none(t, "the same id was sent on")
	release.open()
	if a := hear(t, bufio.NewReader(first)); a.status != http.StatusOK {
		t.Fatalf("the first got %d", a.status)
	}
	if a := g.raw(message("write", "x", "X-Txn: a")); a.status != http.StatusOK {
		t.Fatalf("once it was free the id got %d", a.status)
	}
}

// ended says whether the proxy ends a connection: by a close or a reset, and not after a time limit of the test's own.
func ended(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	var ne net.Error
	return err != nil && !(errors.As(err, &ne) && ne.Timeout())
}

// TestDripFed: bytes sent one by one renew no time limit, neither in a connection's first request nor in a further one.
func TestDripFed(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, func(p *Proxy) { p.times.fresh, p.times.head = 200*time.Millisecond, 200*time.Millisecond })
	for _, served := range []bool{false, true} {
		c := g.dial()
		if served {
			io.WriteString(c, message("read", ""))
			if a := hear(t, bufio.NewReader(c)); a.status != http.StatusOK {
				t.Fatalf("the first request got %d", a.status)
			}
			h.requests.next(t, "it")
		}
		go func() {
			for _, b := range []byte(strings.Repeat("X-Pad: x\r\n", 1000)) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
		if !ended(c) {
			t.Errorf("served before %v: still open", served)
		}
	}
	h.requests.none(t, "sent on")
}

// TestGivesWay: when all places are taken, a connection that has brought nothing goes before one that has begun a request,
// that before one between two requests, and what is worked on stays.
func TestGivesWay(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		if r.Method == http.MethodPost {
			<-release.opened
		}
		return respondWith(okResponse)(c, r)
	})
	s := newScript()
	s.request = sends("h1")
	g := one(t, h, s.decides, func(p *Proxy) {
		p.cfg.Site.Connections.Limit = 4
		p.times.fresh, p.times.late = patience, 0
	})
	busy, idle, begun, silent := g.dial(), g.dial(), g.dial(), g.dial()
	io.WriteString(busy, message("write", "x", "X-Remaining: 9000m"))
	h.requests.next(t, "the request worked on")
	io.WriteString(idle, message("read", ""))
	hear(t, bufio.NewReader(idle))
	h.requests.next(t, "the request before")
	io.WriteString(begun, "GET /api HTTP/1.1\r\n")
	for g.p.front.stats().Places.Held[places.Partial] == 0 { // until its first bytes are read
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		name string
		conn net.Conn
	}{{"silent", silent}, {"begun", begun}, {"idle", idle}} {
		next := g.dial()
		io.WriteString(next, message("write", "x", "X-Remaining: 9000m"))
		if !ended(c.conn) {
			t.Fatalf("the %s one is still open", c.name)
		}
		h.requests.next(t, "the request that took its place")
	}
	release.open()
	if a := hear(t, bufio.NewReader(busy)); a.status != http.StatusOK {
		t.Errorf("the one worked on got %d", a.status)
	}
}

// TestFlood: hundreds that connect and say nothing, or send what is no request, keep usual clients from nothing.
func TestFlood(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, func(p *Proxy) {
		p.cfg.Site.Connections.Limit = 8
		p.times.linger = 50 * time.Millisecond
	})
	for n := range 30 {
		for range 10 {
			bad := g.dial()
			if n%2 == 0 {
				io.WriteString(bad, "nonsense\r\n\r\n")
			}
		}
		if a := g.raw(message("write", "x")); a.status != http.StatusOK {
			t.Fatalf("usual request %d got %d", n, a.status)
		}
	}
}

// TestKeepAlive: a connection carries one request after another.
func TestKeepAlive(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h)
	c := g.dial()
	br := bufio.NewReader(c)
	for n, text := range []string{message("read", ""), message("write", "x")} {
		io.WriteString(c, text)
		if a := hear(t, br); a.status != http.StatusOK || a.last {
			t.Fatalf("answer %d: %+v", n, a)
		}
	}
	io.WriteString(c, message("read", "", "Connection: close"))
	if a := hear(t, br); a.status != http.StatusOK || !a.last {
		t.Fatalf("last answer %+v", a)
	}
}

// TestTooManyClients: over the bound an idle connection makes room; if none is idle, the new one gets a plain failure.
func TestTooManyClients(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, release.respondWith(okResponse))
	g := one(t, h, func(p *Proxy) { p.cfg.Site.Connections.Limit = 2 })
	idle := g.dial()
	busy := []net.Conn{g.dial(), g.dial()}
	for _, c := range busy {
		io.WriteString(c, message("read", "", "X-Remaining: 9000m"))
		h.requests.next(t, "a request")
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	if a := g.raw(message("write", "x")); a.status != http.StatusInternalServerError || !a.last {
		t.Errorf("the one over the bound got %d", a.status)
	}
	h.requests.none(t, "it was sent")
	release.open()
	for _, c := range busy {
		if a := hear(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Errorf("a busy one got %d", a.status)
		}
	}
}

// narrow hands out connections whose socket holds little of what is written to them.
type narrow struct{ net.Listener }

func (n narrow) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err == nil {
		c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// TestSlowReader: a client that does not take its answer is cut off, and the buffers come back (checked at the end).
func TestSlowReader(t *testing.T) {
	large := strings.Repeat("x", wire.MaxBody)
	h := newFakeHost(t, respondWith(httpOK(large)))
	g := one(t, h, func(p *Proxy) {
		p.times.answer = 100 * time.Millisecond
		listen := p.listen
		p.listen = func(network, addr string) (net.Listener, error) {
			ln, err := listen(network, addr)
			return narrow{ln}, err
		}
	})
	c := g.dial()
	c.(*net.TCPConn).SetReadBuffer(4096)
	io.WriteString(c, message("read", ""))
	h.requests.next(t, "the request")
	eventually(t, "the client that takes nothing is cut off", g.nobodyHeld)
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
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool { return true }) // answers nothing
	g := one(t, h)
	c := g.dial()
	io.WriteString(c, message("write", "x"))
	h.requests.next(t, "the request")
	c.Close()
	if err := h.ended.next(t, "the end of the connection"); err == nil {
		t.Fatal("the host ended it")
	}
}

// TestAskOnceAndKeep: clients that ask once and keep their connection, up to a bound of their own that is under the
// proxy's, always find a place for the next: what they do not use again is closed long before its idle time is over.
func TestAskOnceAndKeep(t *testing.T) {
	const own, asked = 40, 300
	h := newFakeHost(t, respondWith(okResponse))
	g := one(t, h, func(p *Proxy) { p.cfg.Site.Connections.Limit = 48 })
	places := make(chan struct{}, own)
	for n := range asked {
		select {
		case places <- struct{}{}:
		case <-time.After(patience):
			t.Fatalf("request %d finds no place: %+v", n, g.p.front.stats())
		}
		c := g.dial()
		io.WriteString(c, message("read", ""))
		if a := hear(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Fatalf("request %d got %d", n, a.status)
		}
		go func() {
			c.Read(make([]byte, 1)) // until the proxy ends it
			c.Close()
			<-places
		}()
	}
}
