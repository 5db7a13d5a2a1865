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

// noise is n bytes that are the same for a seed.
func noise(seed uint64, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{byte(seed)}), n)
}

func sum(r io.Reader) string {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%d %x %v", n, h.Sum(nil)[:4], err)
}

// bulkHost takes bodies as they come and answers with what answer writes.
func bulkHost(t testing.TB, seen watched[string], answer func(c net.Conn, got string) bool) *fakeServer {
	return newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			got := sum(r.Body)
			seen <- got
			if !answer(c, got) {
				return
			}
		}
	})
}

// chunks frames what r brings in chunks of odd sizes, with extensions and a trailer.
func chunks(w io.Writer, r io.Reader) {
	for n := int64(1); ; n = n*7%50021 + 1 {
		b, _ := io.ReadAll(io.LimitReader(r, n))
		if len(b) == 0 {
			fmt.Fprint(w, "0;last=1\r\nX-Sum: none\r\n\r\n")
			return
		}
		fmt.Fprintf(w, "%x;n=1\r\n%s\r\n", len(b), b)
	}
}

const bulk = 32 << 20

// TestLongBothWays: 32 MB there and back, with and without a length, arrive as they were sent, and little of them is held at
// any time though the client is slow to read.
func TestLongBothWays(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			seen := make(watched[string], 8)
			h := bulkHost(t, seen, func(c net.Conn, _ string) bool {
				w := bufio.NewWriter(c)
				if chunked {
					fmt.Fprint(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					chunks(w, noise(2, bulk))
				} else {
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bulk)
					io.Copy(w, noise(2, bulk))
				}
				return w.Flush() == nil
			})
			g := start(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null")
			g.waitReady()
			c := g.dial()
			c.(*net.TCPConn).SetReadBuffer(32 << 10)
			most := int64(0)
			go func() {
				w := bufio.NewWriter(c)
				if chunked {
					io.WriteString(w, message("write", "", "Content-Length: ", "Transfer-Encoding: chunked"))
					chunks(w, noise(1, bulk))
				} else {
					io.WriteString(w, message("write", "", fmt.Sprint("Content-Length: ", bulk)))
					io.Copy(w, noise(1, bulk))
				}
				w.Flush()
			}()
			if got, want := seen.next(t, "the body"), sum(noise(1, bulk)); got != want {
				t.Fatalf("the host got %s, want %s", got, want)
			}
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || r.StatusCode != http.StatusOK || (r.ContentLength < 0) != chunked {
				t.Fatalf("answer %+v, %v", r, err)
			}
			sampled := readerFunc(func(b []byte) (int, error) {
				most = max(most, g.p.bufs.Live())
				return r.Body.Read(b)
			})
			if got, want := sum(sampled), sum(noise(2, bulk)); got != want {
				t.Fatalf("the client got %s, want %s", got, want)
			}
			// Readers and heads of both sides, what is kept of the request, and a full stream.
			if limit := int64(8 + bodies.Kept/wire.BufferSize + streamBuffers + 2); most > limit {
				t.Fatalf("%d buffers held, at most %d wanted", most, limit)
			}
		})
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// TestLongRequestBreaks: whatever breaks before the last byte has reached the host has run nowhere; after it, an unsafe
// request may have run.
func TestLongRequestBreaks(t *testing.T) {
	const length = 4 << 20
	for _, k := range []struct {
		name   string
		taken  int64 // bytes of the body that the host takes before it breaks off
		status int
	}{
		{"at its begin", 0, http.StatusServiceUnavailable},
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
			g := start(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null")
			g.waitReady()
			c := g.dial()
			go func() {
				io.WriteString(c, message("write", "", fmt.Sprint("Content-Length: ", length)))
				io.Copy(c, noise(1, length))
			}()
			if a := hear(t, bufio.NewReader(c)); a.status != k.status {
				t.Fatalf("answered %d, want %d", a.status, k.status)
			}
		})
	}
}

// TestLongRequestStops: of a body that stops or whose client leaves, no host gets a whole request, and the module hears that
// its client has gone.
func TestLongRequestStops(t *testing.T) {
	seen := make(watched[string], 8)
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		seen <- "its head"
		seen <- sum(r.Body)
	})
	s := newScript()
	s.request = sends("h1")
	g := start(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null", s.decides)
	g.waitReady()
	for _, sent := range []int64{bodies.Kept + 1, 1 << 20} {
		c := g.dial()
		io.WriteString(c, message("write", "", "Content-Length: 2000000"))
		io.Copy(c, noise(1, sent))
		seen.next(t, "the head")
		c.Close()
		s.gone.next(t, "the departure")
		if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Cancelled {
			t.Fatalf("outcome %+v", o)
		}
		if got := seen.next(t, "the break"); !strings.HasSuffix(got, "unexpected EOF") {
			t.Fatalf("the host got %s", got)
		}
	}
}

// TestLongAnswerBreaks: an answer that breaks midway ends so that its client can tell, and counts as failed.
func TestLongAnswerBreaks(t *testing.T) {
	for name, head := range map[string]string{
		"length": fmt.Sprint("Content-Length: ", bulk), "chunks": "Transfer-Encoding: chunked", "close": "Connection: close",
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
				time.Sleep(20 * time.Millisecond) // a reset at once would take what is in the sockets with it
				resetConn(c)
				return false
			})
			g := one(t, h)
			c := g.dial()
			io.WriteString(c, message("read", ""))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, r.Body); err == nil {
				t.Fatalf("%d bytes came as if they were all", n)
			}
			for end := time.Now().Add(patience); g.p.owner.stats.forClass("read").errors.Load() != 1; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("figures:\n%s", g.p.owner.stats.text())
				}
			}
		})
	}
}

// TestLongAnswerBegins: the first bytes of an answer of unknown length go on though it has not ended, and the time that its
// client gave binds no longer.
func TestLongAnswerBegins(t *testing.T) {
	end := newGate()
	defer end.open()
	h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		<-end.opened
		io.WriteString(c, "3\r\ndef\r\n0\r\n\r\n")
		return true
	})
	g := one(t, h)
	c := g.dial()
	io.WriteString(c, message("read", "", "X-Remaining: 300m"))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("%+v, %v", r, err)
	}
	first := make([]byte, 3)
	io.ReadFull(r.Body, first)
	time.Sleep(400 * time.Millisecond) // past the client's time
	end.open()
	if rest, err := io.ReadAll(r.Body); err != nil || string(first)+string(rest) != "abcdef" {
		t.Fatalf("%q%q, %v", first, rest, err)
	}
}

// TestClientLeavesLongAnswer: the host's connection ends with the client's, while the host has nothing more to give.
func TestClientLeavesLongAnswer(t *testing.T) {
	h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nabc", bulk)
		_, err := c.Read(make([]byte, 1)) // until the proxy closes it
		return err == nil
	})
	g := one(t, h)
	c := g.dial()
	io.WriteString(c, message("read", ""))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	c.Close()
	h.ended.next(t, "the end of the host's connection")
}

// TestBeginAndEndTogether: an answer that has begun and ended by the time somebody looks is still told as begun, first; taken
// for one that was held whole it would be served empty.
func TestBeginAndEndTogether(t *testing.T) {
	for range 100 {
		c, s := newCall(), newStream(wire.NewPool())
		c.begun <- reply{long: s}
		c.done <- reply{long: s}
		told := 0
		c.wait(func(reply) { told++ })
		if told != 1 {
			t.Fatalf("told %d times", told)
		}
	}
}

// TestLongAnswerAhead: a long answer that comes ahead of a request's last byte is no answer to it; nothing has run, and
// the request is not left hanging.
func TestLongAnswerAhead(t *testing.T) {
	h := newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bulk)
		io.Copy(c, noise(2, bulk))
	})
	g := start(t, newFakeDiscovery(t, entry("h1", h.addr())).addr(), "null", func(p *Proxy) { p.times.settle = 50 * time.Millisecond })
	g.waitReady()
	if a := g.raw(message("write", "x")); a.status != http.StatusServiceUnavailable {
		t.Fatalf("answered %d, want a refusal", a.status)
	}
}
