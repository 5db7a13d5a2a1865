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

// toy accepts connections and serves each with serve until it is closed.
type toy struct {
	ln    net.Listener
	serve func(c net.Conn, br *bufio.Reader)
	wg    sync.WaitGroup
	done  chan struct{} // closed with it
	mu    sync.Mutex
	open  map[net.Conn]bool
}

func newToy(t testing.TB, serve func(c net.Conn, br *bufio.Reader)) *toy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &toy{ln: ln, serve: serve, open: map[net.Conn]bool{}, done: make(chan struct{})}
	s.wg.Go(s.run)
	t.Cleanup(s.close)
	return s
}

func (s *toy) run() {
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

func (s *toy) addr() string { return s.ln.Addr().String() }

func (s *toy) close() {
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

// seenRequest is a request as a host got it.
type seenRequest struct {
	*http.Request
	text  string // body
	again bool   // not the first on its connection
}

// toyHost is a host. answer is called for each whole request, one at a time on each connection, and says whether the
// connection goes on.
type toyHost struct {
	*toy
	seen  eventChan[seenRequest]
	ended eventChan[error] // what ended each connection
}

func newHost(t testing.TB, answer func(c net.Conn, r seenRequest) bool) *toyHost {
	t.Helper()
	h := &toyHost{seen: make(eventChan[seenRequest], 4096), ended: make(eventChan[error], 4096)}
	h.toy = newToy(t, func(c net.Conn, br *bufio.Reader) {
		for again := false; ; again = true {
			r, err := http.ReadRequest(br)
			if err != nil {
				h.ended <- err
				return
			}
			text, err := io.ReadAll(r.Body)
			if err != nil {
				h.ended <- err
				return
			}
			q := seenRequest{r, string(text), again}
			h.seen <- q
			if !answer(c, q) {
				h.ended <- nil
				return
			}
		}
	})
	return h
}

// ok is the answer of a host that serves.
const ok = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"

// says answers every request with raw bytes.
func says(raw string) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, _ seenRequest) bool {
		_, err := io.WriteString(c, raw)
		return err == nil
	}
}

// gate holds hosts back until it is opened. Tests defer that too: one that fails must not leave a host waiting.
type gate struct {
	opened chan struct{}
	once   sync.Once
}

// says answers as the function of that name does, once the gate is open.
func (g *gate) says(raw string) func(net.Conn, seenRequest) bool {
	return func(c net.Conn, r seenRequest) bool {
		<-g.opened
		return says(raw)(c, r)
	}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) open() { g.once.Do(func() { close(g.opened) }) }

// resets ends a connection with a reset.
func resets(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// listEntry is a line of discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// entry is a ready host of the proxy's own zone.
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

// toyList is discovery. A watch is answered with the whole list once there is a newer one.
type toyList struct {
	*toy
	calls eventChan[string]

	mu      sync.Mutex
	version int
	entries []listEntry
	changed chan struct{}
	deaf    int      // watches that are not answered
	raw     []string // answers to the next calls, in place of the list; "" ends the connection
}

func newList(t testing.TB, entries ...listEntry) *toyList {
	t.Helper()
	l := &toyList{calls: make(eventChan[string], 4096), version: 1, entries: entries, changed: make(chan struct{})}
	l.toy = newToy(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			l.calls <- r.URL.String()
			text := l.answer(c, r)
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

func (l *toyList) answer(c net.Conn, r *http.Request) string {
	l.mu.Lock()
	if len(l.raw) > 0 {
		raw := l.raw[0]
		l.raw = l.raw[1:]
		l.mu.Unlock()
		return raw
	}
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deaf := l.deaf > 0 && ms > 1
	if deaf {
		l.deaf--
	}
	changed, newer := l.changed, err != nil || l.version > since
	l.mu.Unlock()
	if deaf {
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

// set makes a new version of the list.
func (l *toyList) set(entries ...listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.entries = entries
	close(l.changed)
	l.changed = make(chan struct{})
}
