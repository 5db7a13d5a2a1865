package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeServer accepts connections and calls serve for each one until it is closed.
type fakeServer struct {
	ln    net.Listener
	serve func(c net.Conn, br *bufio.Reader)
	wg    sync.WaitGroup
	done  chan struct{} // closed by close
	mu    sync.Mutex
	open  map[net.Conn]bool
}

func newFakeServer(t testing.TB, serve func(c net.Conn, br *bufio.Reader)) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{ln: ln, serve: serve, open: map[net.Conn]bool{}, done: make(chan struct{})}
	s.wg.Go(s.run)
	t.Cleanup(s.close)
	return s
}

func (s *fakeServer) run() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(c, bufio.NewReader(c))
			c.Close()
			s.mu.Lock()
			delete(s.open, c)
			s.mu.Unlock()
		})
	}
}

func (s *fakeServer) addr() string { return s.ln.Addr().String() }

func (s *fakeServer) close() {
	if s.ln.Close() == nil { // not closed before
		close(s.done)
	}
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// receivedRequest is a request as a host received it.
type receivedRequest struct {
	*http.Request
	body       string
	reusedConn bool // not the first on its connection
}

// fakeHost is a host. Its handler is called for each complete request, one at a time per connection, and reports whether
// the connection stays open.
type fakeHost struct {
	*fakeServer
	requests eventChan[receivedRequest]
	ended    eventChan[error] // what ended each connection
}

func newFakeHost(t testing.TB, handler func(c net.Conn, r receivedRequest) bool) *fakeHost {
	t.Helper()
	h := &fakeHost{requests: make(eventChan[receivedRequest], 4096), ended: make(eventChan[error], 4096)}
	h.fakeServer = newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for reused := false; ; reused = true {
			r, err := http.ReadRequest(br)
			if err != nil {
				h.ended <- err
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				h.ended <- err
				return
			}
			q := receivedRequest{r, string(body), reused}
			h.requests <- q
			if !handler(c, q) {
				h.ended <- nil
				return
			}
		}
	})
	return h
}

// okResponse is a host's response to a successful request.
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"

// respondWith returns a handler that responds to every request with raw bytes.
func respondWith(raw string) func(net.Conn, receivedRequest) bool {
	return func(c net.Conn, _ receivedRequest) bool {
		_, err := io.WriteString(c, raw)
		return err == nil
	}
}

// gate blocks hosts until it is opened. Tests also defer open, so that a failed test leaves no host blocked.
type gate struct {
	opened chan struct{}
	once   sync.Once
}

// respondWith returns a handler that waits for the gate and then responds with raw bytes.
func (g *gate) respondWith(raw string) func(net.Conn, receivedRequest) bool {
	return func(c net.Conn, r receivedRequest) bool {
		<-g.opened
		return respondWith(raw)(c, r)
	}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open() { g.once.Do(func() { close(g.opened) }) }

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// listEntry is a host in discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// entry returns a ready host in the proxy's own zone.
func entry(id, addr string) listEntry {
	return listEntry{ID: id, Addr: addr, Zone: "a", State: "ready", Weight: 1}
}

func listText(version int, full bool, entries ...listEntry) string {
	if entries == nil {
		entries = []listEntry{}
	}
	text, err := json.Marshal(map[string]any{"version": version, "full": full, "servers": entries})
	if err != nil {
		panic(err)
	}
	return string(text)
}

func httpOK(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// fakeDiscovery is a discovery service. It responds to a watch with the full list once there is a newer version.
type fakeDiscovery struct {
	*fakeServer
	calls eventChan[string]

	mu                sync.Mutex
	version           int
	entries           []listEntry
	changed           chan struct{}
	unansweredWatches int      // watches still to be left without a response
	rawResponses      []string // responses to the next calls, in place of the list; "" closes the connection
}

func newFakeDiscovery(t testing.TB, entries ...listEntry) *fakeDiscovery {
	t.Helper()
	l := &fakeDiscovery{calls: make(eventChan[string], 4096), version: 1, entries: entries, changed: make(chan struct{})}
	l.fakeServer = newFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			l.calls <- r.URL.String()
			text := l.respond(c, r)
			if text == "" {
				return
			}
			if _, err := io.WriteString(c, text); err != nil || strings.Contains(text, "Connection: close") {
				return
			}
		}
	})
	return l
}

func (l *fakeDiscovery) respond(c net.Conn, r *http.Request) string {
	l.mu.Lock()
	if len(l.rawResponses) > 0 {
		raw := l.rawResponses[0]
		l.rawResponses = l.rawResponses[1:]
		l.mu.Unlock()
		return raw
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	ignored := l.unansweredWatches > 0 && ms > 1
	if ignored {
		l.unansweredWatches--
	}
	changed, newer := l.changed, err != nil || l.version > since
	l.mu.Unlock()
	if ignored {
		<-l.done
		return ""
	}
	if !newer {
		select {
		case <-changed:
		case <-l.done:
			return ""
		case <-time.After(time.Duration(ms) * time.Millisecond):
			return httpOK(listText(since, false))
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return httpOK(listText(l.version, true, l.entries...))
}

// set publishes a new version of the list.
func (l *fakeDiscovery) set(entries ...listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.entries = entries
	close(l.changed)
	l.changed = make(chan struct{})
}
