package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	bodies "beechwing/internal/body"
)

// watchedConn is a client's connection that calls beforeWrite before each write.
type watchedConn struct {
	net.Conn
	beforeWrite func()
}

func (c watchedConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.Conn.Write(b)
}

func (c watchedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// watchedListener accepts connections as watchedConn.
type watchedListener struct {
	net.Listener
	beforeWrite func()
}

func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return watchedConn{c, l.beforeWrite}, nil
}

// TestCountedBeforeAnswerIsOut guards against statistics that still count a request as active, and not by its outcome, when its
// client already has the whole response.
func TestCountedBeforeAnswerIsOut(t *testing.T) {
	long := 4 * bodies.MaxBuffered
	for name, test := range map[string]struct{ response, class, text, expected string }{
		"short":        {okResponse, "write", "x", "proxy.ok.write=1\n"},
		"with length":  {httpOK(strings.Repeat("x", long)), "read", "", "proxy.ok.read=1\n"},
		"in chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "read", "", "proxy.ok.read=1\n"},
		"bad response": {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", "write", "x", "proxy.errors.write=1\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var stats atomic.Pointer[requestStats]
			var lastSeen atomic.Pointer[string]
			h := newFakeHost(t, func(c net.Conn, _ receivedRequest) bool {
				_, err := io.WriteString(c, test.response)
				return err == nil
			})
			g := startOneHost(t, h, func(p *Proxy) {
				listen := p.listen
				p.listen = func(network, addr string) (net.Listener, error) {
					ln, err := listen(network, addr)
					return watchedListener{ln, func() {
						if s := stats.Load(); s != nil {
							text := string(s.text())
							lastSeen.Store(&text)
						}
					}}, err
				}
			})
			stats.Store(g.p.owner.stats)
			if a := g.raw(requestText(test.class, test.text)); a.status == 0 {
				t.Fatal("no response")
			}
			if seen := *lastSeen.Load(); !strings.Contains(seen, test.expected) || !strings.Contains(seen, "proxy.active=0\n") {
				t.Errorf("before the last write: %s", seen)
			}
		})
	}
}

// TestFailedWriteIsMoved checks that a request whose response could not be written counts as one error and as nothing else.
func TestFailedWriteIsMoved(t *testing.T) {
	s := newRequestStats()
	s.begin()
	end := requestEnd{stats: s, class: s.forClass("read")}
	end.count(http.StatusOK)
	end.count(http.StatusBadGateway)
	end.count(http.StatusBadGateway)
	for _, expected := range []string{"proxy.ok.read=0\n", "proxy.errors.read=1\n", "proxy.active=0\n"} {
		if text := string(s.text()); !strings.Contains(text, expected) {
			t.Errorf("not %s: %s", strings.TrimSpace(expected), text)
		}
	}
}
