// Package fleet implements simple test servers that speak the platform's protocol: Node, a host that answers after a fixed
// time and counts what it runs, and Discovery, the service that lists the nodes. The package is independent of proxies and
// their clients.
package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// listener accepts connections on loopback and serves each in a goroutine of its own until it is closed.
type listener struct {
	ln     net.Listener
	wg     sync.WaitGroup
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed chan struct{} // closed by Close
}

// listen starts a listener on a free port. serve is called for each connection, which is closed when serve returns.
func listen(serve func(net.Conn, *bufio.Reader)) (*listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &listener{ln: ln, open: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !l.track(c) {
				continue
			}
			l.wg.Go(func() {
				defer l.untrack(c)
				serve(c, bufio.NewReaderSize(c, 4<<10))
			})
		}
	})
	return l, nil
}

// track adds a connection to the open ones. It closes the connection and returns false if the listener is closed.
func (l *listener) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		c.Close()
		return false
	default:
	}
	l.open[c] = struct{}{}
	return true
}

func (l *listener) untrack(c net.Conn) {
	c.Close()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// Addr returns the address of the listener.
func (l *listener) Addr() string { return l.ln.Addr().String() }

// Close closes the listener and all its connections, and waits for their goroutines. Further calls have no effect.
func (l *listener) Close() {
	if l.ln.Close() != nil {
		return
	}
	l.mu.Lock()
	close(l.closed)
	for c := range l.open {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Node is a test host. It answers each request after a fixed time and counts how often each request ID has run.
type Node struct {
	*listener
	ID   string
	work time.Duration
	mu   sync.Mutex
	ran  map[string]int // executions by request ID
}

// NewNode starts a node that takes the time work for each request.
func NewNode(id string, work time.Duration) (n *Node, err error) {
	n = &Node{ID: id, work: work, ran: map[string]int{}}
	n.listener, err = listen(n.serve)
	return n, err
}

const response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nserved\n"

func (n *Node) serve(c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		n.mu.Lock()
		n.ran[r.Header.Get("X-Txn")]++
		n.mu.Unlock()
		time.Sleep(n.work)
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

// Pause blocks new requests for the given time, as a process stopped by SIGSTOP does. It returns after that time.
func (n *Node) Pause(span time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	time.Sleep(span)
}

// TakeRuns returns and clears the number of executions of each request ID since the last call.
func (n *Node) TakeRuns() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ran := n.ran
	n.ran = map[string]int{}
	return ran
}

// Entry is a node in the list of Discovery.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Entry returns an entry for the node, in the state ready and in zone a.
func (n *Node) Entry() Entry {
	return Entry{ID: n.ID, Addr: n.Addr(), Zone: "a", State: "ready", Weight: 1}
}

// Discovery is a test service that serves the list of nodes, with watches.
type Discovery struct {
	*listener
	mu      sync.Mutex
	version int
	entries []Entry
	changed chan struct{} // closed and replaced at each change
}

// NewDiscovery starts a discovery service with the given entries as version 1.
func NewDiscovery(entries ...Entry) (d *Discovery, err error) {
	d = &Discovery{version: 1, entries: entries, changed: make(chan struct{})}
	d.listener, err = listen(d.serve)
	return d, err
}

// Set replaces the list and answers pending watches.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		var since, wait int
		fmt.Sscan(r.URL.Query().Get("since"), &since)
		fmt.Sscan(r.URL.Query().Get("timeout_ms"), &wait)
		d.mu.Lock()
		changed, newer := d.changed, d.version > since
		d.mu.Unlock()
		if !newer {
			select {
			case <-changed:
			case <-d.closed:
				return
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
		if _, err := c.Write(d.answer()); err != nil {
			return
		}
	}
}

// answer returns a response with the whole list.
func (d *Discovery) answer() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.entries})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded as JSON
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}
