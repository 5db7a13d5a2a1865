package proxy

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"beechwing/balancer"
	bodies "beechwing/internal/body"
	"beechwing/internal/wire"
)

// randomBytes returns n pseudo-random bytes that depend on the seed only.
func randomBytes(seed uint64, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{byte(seed)}), n)
}

func digest(r io.Reader) string {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%d %x %v", n, h.Sum(nil)[:4], err)
}

// bulkHost reads bodies as they arrive, posts their digests to seen, and calls answer to write the response.
func bulkHost(t testing.TB, seen eventChan[string], answer func(c net.Conn, got string) bool) *fakeServer {
	return newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			got := digest(r.Body)
			seen <- got
			if !answer(c, got) {
				return
			}
		}
	})
}

// writeChunked writes r in chunks of irregular sizes, with extensions and a trailer.
func writeChunked(w io.Writer, r io.Reader) {
	for n := int64(1); ; n = n*7%50021 + 1 {
		b, _ := io.ReadAll(io.LimitReader(r, n))
		if len(b) == 0 {
			fmt.Fprint(w, "0;last=1\r\nX-Sum: none\r\n\r\n")
			return
		}
		fmt.Fprintf(w, "%x;n=1\r\n%s\r\n", len(b), b)
	}
}

const bulkSize = 32 << 20

// TestLongBothWays: bodies of 32 MB, with and without a length, arrive unchanged in both directions. The proxy holds
// only a small part of them at any time, even if the client reads slowly.
func TestLongBothWays(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			seen := make(eventChan[string], 8)
			h := bulkHost(t, seen, func(c net.Conn, _ string) bool {
				w := bufio.NewWriter(c)
				if chunked {
					fmt.Fprint(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					writeChunked(w, randomBytes(2, bulkSize))
				} else {
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bulkSize)
					io.Copy(w, randomBytes(2, bulkSize))
				}
				return w.Flush() == nil
			})
			g := startProxy(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null")
			g.waitReady()
			c := g.dial()
			c.(*net.TCPConn).SetReadBuffer(32 << 10)
			most := int64(0)
			go func() {
				w := bufio.NewWriter(c)
				if chunked {
					io.WriteString(w, requestText("write", "", "Content-Length: ", "Transfer-Encoding: chunked"))
					writeChunked(w, randomBytes(1, bulkSize))
				} else {
					io.WriteString(w, requestText("write", "", fmt.Sprint("Content-Length: ", bulkSize)))
					io.Copy(w, randomBytes(1, bulkSize))
				}
				w.Flush()
			}()
			if got, want := seen.next(t, "the body"), digest(randomBytes(1, bulkSize)); got != want {
				t.Fatalf("the host got %s, want %s", got, want)
			}
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || r.StatusCode != http.StatusOK || (r.ContentLength < 0) != chunked {
				t.Fatalf("response %+v, %v", r, err)
			}
			sampled := readerFunc(func(b []byte) (int, error) {
				most = max(most, g.p.bufs.Live())
				return r.Body.Read(b)
			})
			if got, want := digest(sampled), digest(randomBytes(2, bulkSize)); got != want {
				t.Fatalf("the client got %s, want %s", got, want)
			}
			// The limit allows for the readers and heads of both sides, the buffered part of the request, and a full stream.
			if limit := int64(8 + bodies.MaxBuffered/wire.BufferSize + maxStreamBuffers + 2); most > limit {
				t.Fatalf("%d buffers held, want at most %d", most, limit)
			}
		})
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// TestLongRequestBreaks: if the connection to the host breaks before the last byte of a long request is sent, the
// request has not run and is refused. If it breaks later, a request that must not run twice may have run, and fails.
func TestLongRequestBreaks(t *testing.T) {
	const length = 4 << 20
	for _, k := range []struct {
		name   string
		taken  int64 // bytes of the body that the host reads before it resets the connection
		status int
	}{
		{"at the start", 0, http.StatusServiceUnavailable},
		{"in the middle", length / 2, http.StatusServiceUnavailable},
		{"after the last byte", length, http.StatusBadGateway},
	} {
		t.Run(k.name, func(t *testing.T) {
			h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
				if r, err := http.ReadRequest(br); err == nil {
					io.CopyN(io.Discard, r.Body, k.taken)
				}
				resetConn(c)
			})
			g := startProxy(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null")
			g.waitReady()
			c := g.dial()
			go func() {
				io.WriteString(c, requestText("write", "", fmt.Sprint("Content-Length: ", length)))
				io.Copy(c, randomBytes(1, length))
			}()
			if a := readResponse(t, bufio.NewReader(c)); a.status != k.status {
				t.Fatalf("got status %d, want %d", a.status, k.status)
			}
		})
	}
}

// TestLongRequestStops: if the client leaves within a long body, the balancer is told, and no host gets the whole
// request.
func TestLongRequestStops(t *testing.T) {
	seen := make(eventChan[string], 8)
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		seen <- "its head"
		seen <- digest(r.Body)
	})
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startProxy(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null", s.install)
	g.waitReady()
	for _, sent := range []int64{bodies.MaxBuffered + 1, 1 << 20} {
		c := g.dial()
		io.WriteString(c, requestText("write", "", "Content-Length: 2000000"))
		io.Copy(c, randomBytes(1, sent))
		seen.next(t, "the head")
		c.Close()
		s.clientsLeft.next(t, "the event that the client has left")
		if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Cancelled {
			t.Fatalf("outcome %+v", o)
		}
		if got := seen.next(t, "the end of the partial body"); !strings.HasSuffix(got, "unexpected EOF") {
			t.Fatalf("the host got %s", got)
		}
	}
}

// TestLongAnswerBreaks: if a long response breaks off, its client can detect that, and the request counts as failed.
func TestLongAnswerBreaks(t *testing.T) {
	for name, head := range map[string]string{
		"length": fmt.Sprint("Content-Length: ", bulkSize), "chunks": "Transfer-Encoding: chunked", "close": "Connection: close",
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", head)
				for range 64 {
					if name == "chunks" {
						fmt.Fprint(c, "1000\r\n")
					}
					c.Write(make([]byte, 4096))
					if name == "chunks" {
						fmt.Fprint(c, "\r\n")
					}
				}
				time.Sleep(20 * time.Millisecond) // an immediate reset would discard what is in the socket buffers
				resetConn(c)
				return false
			})
			g := startOneHost(t, h)
			c := g.dial()
			io.WriteString(c, requestText("read", ""))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, r.Body); err == nil {
				t.Fatalf("%d bytes were received as a complete response", n)
			}
			for end := time.Now().Add(testTimeout); g.p.owner.stats.forClass("read").errors.Load() != 1; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("figures:\n%s", g.p.owner.stats.text())
				}
			}
		})
	}
}

// TestLongAnswerBegins: the first part of a response of unknown length is passed on before the response is complete.
// From then on the request's deadline no longer applies.
func TestLongAnswerBegins(t *testing.T) {
	end := newGate()
	defer end.open()
	h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		<-end.opened
		io.WriteString(c, "3\r\ndef\r\n0\r\n\r\n")
		return true
	})
	g := startOneHost(t, h)
	c := g.dial()
	io.WriteString(c, requestText("read", "", "X-Remaining: 300m"))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", r, err)
	}
	first := make([]byte, 3)
	io.ReadFull(r.Body, first)
	time.Sleep(400 * time.Millisecond) // past the deadline
	end.open()
	if rest, err := io.ReadAll(r.Body); err != nil || string(first)+string(rest) != "abcdef" {
		t.Fatalf("%q%q, %v", first, rest, err)
	}
}

// TestClientLeavesLongAnswer: if the client leaves during a long response, the connection to the host is closed, even
// while the host sends nothing.
func TestClientLeavesLongAnswer(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nabc", bulkSize)
		_, err := c.Read(make([]byte, 1)) // until the proxy closes it
		return err == nil
	})
	g := startOneHost(t, h)
	c := g.dial()
	io.WriteString(c, requestText("read", ""))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	c.Close()
	h.ended.next(t, "the end of the host's connection")
}

// TestBeginAndEndTogether: if the start and the end of a long response are both pending, the start is still reported.
// Otherwise the response would be taken for one without a stream and passed on with an empty body.
func TestBeginAndEndTogether(t *testing.T) {
	for range 100 {
		c, s := newCall(), newStream(wire.NewPool())
		c.started <- hostResponse{stream: s}
		c.done <- hostResponse{stream: s}
		told := 0
		c.wait(func(hostResponse) { told++ })
		if told != 1 {
			t.Fatalf("reported %d times", told)
		}
	}
}

// TestLongAnswerAhead: a long response that arrives before the last byte of the request was sent is not a response to
// the request. The request has not run and is refused; it must not hang.
func TestLongAnswerAhead(t *testing.T) {
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bulkSize)
		io.Copy(c, randomBytes(2, bulkSize))
	})
	g := startProxy(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null",
		func(p *Proxy) { p.times.lastByteDelay = 50 * time.Millisecond })
	g.waitReady()
	if a := g.raw(requestText("write", "x")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want a refusal", a.status)
	}
}
