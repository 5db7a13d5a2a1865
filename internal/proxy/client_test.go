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

// TestServed: a request reaches the host as the protocol defines, and the host's response reaches the client unchanged.
func TestServed(t *testing.T) {
	big := strings.Repeat("0123456789abcdef", wire.MaxBody/16)
	for _, c := range []struct{ name, class, method, text string }{
		{"safe", "read", "GET", ""},
		{"unsafe", "write", "POST", "a=1"},
		{"keyed", "log", "POST", "done"},
		{"largest body read at once", "write", "POST", big},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t, func(conn net.Conn, r receivedRequest) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\n"+
					fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body), r.body))
				return err == nil
			})
			g := startOneHost(t, h)
			a := g.raw(requestText(c.class, c.text, "X-Txn: id-1", "X-Own: kept", "X-Hop: x", "Connection: X-Hop"))
			if a.status != http.StatusOK || a.text != c.text || a.header.Get("Content-Type") != "text/x" {
				t.Fatalf("status %d, %d bytes, %v", a.status, len(a.text), a.header)
			}
			r := h.requests.next(t, "the request")
			if r.Method != c.method || r.RequestURI != "/api?x=1" || r.body != c.text || r.Header.Get(headerID) != "id-1" ||
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

// TestChunked: a short chunked body is sent to the host with a Content-Length.
func TestChunked(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h)
	a := g.raw(requestText("write", "3\r\nabc\r\n0\r\n\r\n", "Content-Length: ", "Transfer-Encoding: chunked"))
	if r := h.requests.next(t, "the request"); a.status != http.StatusOK || r.body != "abc" || r.ContentLength != 3 {
		t.Fatalf("status %d, the host got %q", a.status, r.body)
	}
}

// TestExpect: a client that sends Expect: 100-continue gets the interim response, even if the write deadline of the
// last response has passed.
func TestExpect(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, func(p *Proxy) { p.times.responseTimeout = 200 * time.Millisecond })
	c := g.dial()
	br := bufio.NewReader(c)
	io.WriteString(c, requestText("read", "")) // the write deadline of this response passes before the next request
	readResponse(t, br)
	h.requests.next(t, "the first request")
	time.Sleep(250 * time.Millisecond)
	head, text, _ := strings.Cut(requestText("write", "abc", "Expect: 100-continue"), "\r\n\r\n")
	io.WriteString(c, head+"\r\n\r\n")
	if line, _ := br.ReadString('\n'); !strings.Contains(line, "100") {
		t.Fatalf("got %q", line)
	}
	br.ReadString('\n')
	io.WriteString(c, text)
	if a := readResponse(t, br); a.status != http.StatusOK || h.requests.next(t, "the request").body != "abc" {
		t.Fatalf("got status %d", a.status)
	}
}

// TestBadRequests: an invalid request gets one error response, neither 429 nor 503. The connection is closed, and no
// host gets anything.
func TestBadRequests(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h)
	for _, c := range []struct {
		name, text string
		status     int // 0: closed without a response
	}{
		{"garbage", "\x16\x03\x01\x02\r\n\r\n", 400},
		{"bad version", "GET / HTTP/9\r\n\r\n", 400},
		{"header without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", 400},
		{"huge header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n", 431},
		{"request line too long", strings.Repeat("G", 2*maxHeadBytes), 431},
		{"no ID", requestText("read", "", "X-Txn: "), 400},
		{"ID too long", requestText("read", "", "X-Txn: "+strings.Repeat("i", 300)), 400},
		{"unknown class", requestText("novel", ""), 400},
		{"no class", requestText("read", "", "X-Lane: "), 400},
		{"unknown tenant", requestText("read", "", "X-Org: nobody"), 400},
		{"no time", requestText("read", "", "X-Remaining: "), 400},
		{"time without unit", requestText("read", "", "X-Remaining: 480"), 400},
		{"negative time", requestText("read", "", "X-Remaining: -480m"), 400},
		{"time not a number", requestText("read", "", "X-Remaining: NaNm"), 400},
		{"infinite time", requestText("read", "", "X-Remaining: Infm"), 400},
		{"time too long", requestText("read", "", "X-Remaining: 99999999999m"), 400},
		{"GET for an unsafe class", strings.Replace(requestText("write", ""), "POST", "GET", 1), 405},
		{"POST for a safe class", strings.Replace(requestText("read", ""), "GET", "POST", 1), 405},
		{"DELETE", strings.Replace(requestText("write", ""), "POST", "DELETE", 1), 405},
		{"GET with a body", requestText("read", "abc", "Content-Length: 3"), 400},
		{"body over the limit", requestText("write", "x", "Content-Length: 60000000"), 413},
		{"broken chunks", requestText("write", "zz\r\nabc", "Content-Length: ", "Transfer-Encoding: chunked"), 400},
		{"two lengths", requestText("write", "abc", "Content-Length: 3\r\nContent-Length: 4"), 400},
		{"two equal lengths", requestText("write", "abc", "Content-Length: 3\r\nContent-Length: 3"), 400},
		{"negative length", requestText("write", "abc", "Content-Length: -3"), 400},
		{"length and chunks", requestText("write", "0\r\n\r\n"+requestText("read", ""), "Transfer-Encoding: chunked"), 400},
		{"chunks and length", strings.Replace(requestText("write", "0\r\n\r\n"+requestText("read", ""), "Content-Length: "),
			"\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 1), 400},
		{"two chunked encodings", requestText("write", "0\r\n\r\n", "Content-Length: ",
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"), 400},
		{"other transfer coding", requestText("write", "abc", "Content-Length: ", "Transfer-Encoding: gzip"), 400},
		{"folded length", requestText("write", "abc", "Content-Length: 3\r\n 4"), 400},
		{"header name with a space", requestText("write", "abc", "Content-Length : 3"), 400},
		{"control character", requestText("read", "", "X-Own: a\x00b"), 400},
		{"bare carriage return", requestText("read", "", "X-Own: a\rX-Txn: b"), 400},
		{"two IDs", requestText("read", "", "X-Txn: a\r\nX-Txn: b"), 400},
		{"two classes", requestText("read", "", "X-Lane: read\r\nX-Lane: write"), 400},
		{"pipelined request", requestText("read", "") + requestText("write", "x"), 400},
		{"body longer than its length", requestText("write", "abc", "Content-Length: 2"), 400},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := g.dial()
			io.WriteString(conn, c.text)
			br := bufio.NewReader(conn)
			a := readResponse(t, br)
			if a.status != c.status || !a.closes {
				t.Fatalf("got status %d, closes %v; want status %d", a.status, a.closes, c.status)
			}
			if _, err := br.ReadByte(); err == nil {
				t.Fatal("more bytes after the response")
			}
			conn.Close()
		})
	}
	h.requests.none(t, "the host got a request")
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("a valid request after these got status %d", a.status)
	}
}

// TestTruncated: a connection that ends within a request gets no response.
func TestTruncated(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h)
	whole := requestText("write", "0123456789")
	for _, cut := range []int{1, len(whole) / 2, len(whole) - 1} {
		c := g.dial()
		io.WriteString(c, whole[:cut])
		c.(*net.TCPConn).CloseWrite()
		if a := readResponse(t, bufio.NewReader(c)); a.status != 0 {
			t.Errorf("cut at %d: got status %d", cut, a.status)
		}
	}
	h.requests.none(t, "the host got a request")
}

// TestSilentClients: a connection that sends nothing, or stops within a request, is closed in time.
func TestSilentClients(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
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

// TestSentEarly: a client that sends more before it has its response violates the protocol. The attempt is aborted, and
// the host gets nothing more.
func TestSentEarly(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool { return true }) // never responds
	g := startOneHost(t, h)
	c := g.dial()
	io.WriteString(c, requestText("read", ""))
	h.requests.next(t, "the request")
	io.WriteString(c, requestText("read", ""))
	br := bufio.NewReader(c)
	if a := readResponse(t, br); a.status != http.StatusBadRequest || !a.closes {
		t.Fatalf("response %+v", a)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("after the response: %v", err)
	}
	h.ended.next(t, "the end of the attempt's connection")
	h.requests.none(t, "the second request was sent")
}

// TestOpenID: a request with the ID of an open request is rejected before the balancer sees it. The open request goes
// on, and its ID can be used again once it is answered.
func TestOpenID(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, release.respondWith(okResponse))
	g := startOneHost(t, h)
	first := g.dial()
	io.WriteString(first, requestText("read", "", "X-Txn: a"))
	h.requests.next(t, "the first request")
	for range 3 {
		if a := g.raw(requestText("write", "x", "X-Txn: a")); a.status != http.StatusConflict || !a.closes {
			t.Fatalf("the same id got %+v", a)
		}
	}
	h.requests.none(t, "the same id was sent on")
	release.open()
	if a := readResponse(t, bufio.NewReader(first)); a.status != http.StatusOK {
		t.Fatalf("the first got status %d", a.status)
	}
	if a := g.raw(requestText("write", "x", "X-Txn: a")); a.status != http.StatusOK {
		t.Fatalf("the ID used again got status %d", a.status)
	}
}

// closedByProxy reports whether the proxy closes or resets the connection before the test's own deadline passes.
func closedByProxy(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	var ne net.Error
	return err != nil && !(errors.As(err, &ne) && ne.Timeout())
}

// TestDripFed: bytes sent one by one extend no deadline, neither for the first request of a connection nor for a
// further one.
func TestDripFed(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, func(p *Proxy) {
		p.times.firstRequestTimeout, p.times.requestTimeout = 200*time.Millisecond, 200*time.Millisecond
	})
	for _, served := range []bool{false, true} {
		c := g.dial()
		if served {
			io.WriteString(c, requestText("read", ""))
			if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
				t.Fatalf("the first request got status %d", a.status)
			}
			h.requests.next(t, "the first request")
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
			t.Errorf("after a served request (%v): still open", served)
		}
	}
	h.requests.none(t, "a partial request was sent")
}

// TestGivesWay: at the connection limit, a connection that has sent nothing is closed first, then one that has sent
// part of its first request, then one that is idle between requests. A connection whose request is being processed
// stays.
func TestGivesWay(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		if r.Method == http.MethodPost {
			<-release.opened
		}
		return respondWith(okResponse)(c, r)
	})
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install, func(p *Proxy) {
		p.cfg.Site.Connections.Limit = 4
		p.times.firstRequestTimeout, p.times.lateGrace = testTimeout, 0
	})
	busy, idle, begun, silent := g.dial(), g.dial(), g.dial(), g.dial()
	io.WriteString(busy, requestText("write", "x", "X-Remaining: 9000m"))
	h.requests.next(t, "the request being processed")
	io.WriteString(idle, requestText("read", ""))
	readResponse(t, bufio.NewReader(idle))
	h.requests.next(t, "the first request of the idle connection")
	io.WriteString(begun, "GET /api HTTP/1.1\r\n")
	for g.p.front.stats().Places.Held[places.StatePartial] == 0 { // until the partial request is read
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		name string
		conn net.Conn
	}{{"silent", silent}, {"begun", begun}, {"idle", idle}} {
		next := g.dial()
		io.WriteString(next, requestText("write", "x", "X-Remaining: 9000m"))
		if !closedByProxy(c.conn) {
			t.Fatalf("the %s connection is still open", c.name)
		}
		h.requests.next(t, "the request on the new connection")
	}
	release.open()
	if a := readResponse(t, bufio.NewReader(busy)); a.status != http.StatusOK {
		t.Errorf("the request being processed got status %d", a.status)
	}
}

// TestFlood: hundreds of connections that send nothing or invalid requests do not affect other clients.
func TestFlood(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
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
			t.Fatalf("valid request %d got status %d", n, a.status)
		}
	}
}

// TestKeepAlive: a connection carries several requests, one after another.
func TestKeepAlive(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h)
	c := g.dial()
	br := bufio.NewReader(c)
	for n, text := range []string{requestText("read", ""), requestText("write", "x")} {
		io.WriteString(c, text)
		if a := readResponse(t, br); a.status != http.StatusOK || a.closes {
			t.Fatalf("response %d: %+v", n, a)
		}
	}
	io.WriteString(c, requestText("read", "", "Connection: close"))
	if a := readResponse(t, br); a.status != http.StatusOK || !a.closes {
		t.Fatalf("last response %+v", a)
	}
}

// TestTooManyClients: at the connection limit, an idle connection is closed for a new one. If none is idle, the new
// connection gets an error response.
func TestTooManyClients(t *testing.T) {
	release := newGate()
	defer release.open()
	h := newFakeHost(t, release.respondWith(okResponse))
	g := startOneHost(t, h, func(p *Proxy) { p.cfg.Site.Connections.Limit = 2 })
	idle := g.dial()
	busy := []net.Conn{g.dial(), g.dial()}
	for _, c := range busy {
		io.WriteString(c, requestText("read", "", "X-Remaining: 9000m"))
		h.requests.next(t, "a request")
	}
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	if a := g.raw(requestText("write", "x")); a.status != http.StatusInternalServerError || !a.closes {
		t.Errorf("the connection over the limit got status %d", a.status)
	}
	h.requests.none(t, "the request over the limit was sent")
	release.open()
	for _, c := range busy {
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Errorf("a busy connection got status %d", a.status)
		}
	}
}

// smallBufferListener accepts connections with a small socket write buffer.
type smallBufferListener struct{ net.Listener }

func (n smallBufferListener) Accept() (net.Conn, error) {
	c, err := n.Listener.Accept()
	if err == nil {
		c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// TestSlowReader: a client that does not read its response is disconnected. That all buffers are returned is checked
// when the proxy stops.
func TestSlowReader(t *testing.T) {
	large := strings.Repeat("x", wire.MaxBody)
	h := newFakeHost(t, respondWith(httpOK(large)))
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
	h.requests.next(t, "the request")
	eventually(t, "the client that does not read is disconnected", g.noClientConns)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return
	}
	if got, err := io.Copy(io.Discard, r.Body); err == nil {
		t.Fatalf("all %d bytes were received", got)
	}
}

// TestClientLeaves: when a client closes its connection, its attempt is aborted by closing the connection to the host.
func TestClientLeaves(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool { return true }) // never responds
	g := startOneHost(t, h)
	c := g.dial()
	io.WriteString(c, requestText("write", "x"))
	h.requests.next(t, "the request")
	c.Close()
	if err := h.ended.next(t, "the end of the connection"); err == nil {
		t.Fatal("the host ended it")
	}
}

// TestAskOnceAndKeep: clients that use each connection for one request and keep it open, up to a limit of their own
// below that of the proxy, can always open the next one. The proxy closes connections that are not used again long
// before their idle timeout.
func TestAskOnceAndKeep(t *testing.T) {
	const own, asked = 40, 300
	h := newFakeHost(t, respondWith(okResponse))
	g := startOneHost(t, h, func(p *Proxy) { p.cfg.Site.Connections.Limit = 48 })
	places := make(chan struct{}, own)
	for n := range asked {
		select {
		case places <- struct{}{}:
		case <-time.After(testTimeout):
			t.Fatalf("request %d: none of the client's connections was closed: %+v", n, g.p.front.stats())
		}
		c := g.dial()
		io.WriteString(c, requestText("read", ""))
		if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
			t.Fatalf("request %d got status %d", n, a.status)
		}
		go func() {
			c.Read(make([]byte, 1)) // until the proxy closes it
			c.Close()
			<-places
		}()
	}
}
