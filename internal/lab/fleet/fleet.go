// Package fleet holds stand-ins for what a proxy talks to, by the platform's protocol: nodes that record what they run, and
// the discovery that lists them. It knows nothing of proxies or callers.
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
	ln   net.Listener
	wg   sync.WaitGroup
	mu   sync.Mutex
	open map[net.Conn]struct{}
	shut chan struct{} // closed with it
}

func listen(serve func(net.Conn, *bufio.Reader)) (*listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &listener{ln: ln, open: map[net.Conn]struct{}{}, shut: make(chan struct{})}
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !l.enter(c) {
				continue
			}
			l.wg.Go(func() {
				defer l.leave(c)
				serve(c, bufio.NewReaderSize(c, 4<<10))
			})
		}
	})
	return l, nil
}

func (l *listener) enter(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.shut:
		c.Close()
		return false
	default:
	}
	l.open[c] = struct{}{}
	return true
}

func (l *listener) leave(c net.Conn) {
	c.Close()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// Addr is where it listens.
func (l *listener) Addr() string { return l.ln.Addr().String() }

// Close ends it, and with it all its connections. Only the first call does anything.
func (l *listener) Close() {
	if l.ln.Close() != nil {
		return
	}
	l.mu.Lock()
	close(l.shut)
	for c := range l.open {
		c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Node is a stand-in host. It answers each request after a fixed time and counts how often each id has run.
type Node struct {
	*listener
	ID   string
	work time.Duration
	mu   sync.Mutex
	ran  map[string]int
}

// NewNode starts a node that takes work for each request.
func NewNode(id string, work time.Duration) (n *Node, err error) {
	n = &Node{ID: id, work: work, ran: map[string]int{}}
	n.listener, err = listen(n.serve)
	return n, err
}

const served = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nserved\n"

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
		if _, err := io.WriteString(c, served); err != nil {
			return
		}
	}
}

// Pause holds up all that comes for a time, as a process that is stopped does.
func (n *Node) Pause(span time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	time.Sleep(span)
}

// Ran takes what has run since the last call: how often, by id.
func (n *Node) Ran() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ran := n.ran
	n.ran = map[string]int{}
	return ran
}

// Entry is a node in discovery's list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Entry is the node as a ready one of zone a.
func (n *Node) Entry() Entry {
	return Entry{ID: n.ID, Addr: n.Addr(), Zone: "a", State: "ready", Weight: 1}
}

// Discovery is a stand-in for the platform's list.
type Discovery struct {
	*listener
	mu      sync.Mutex
	version int
	entries []Entry
	changed chan struct{} // closed with the next change, and replaced
}

// NewDiscovery starts a list with these entries.
func NewDiscovery(entries ...Entry) (d *Discovery, err error) {
	d = &Discovery{version: 1, entries: entries, changed: make(chan struct{})}
	d.listener, err = listen(d.serve)
	return d, err
}

// Set replaces the list; watches hear of it.
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
			case <-d.shut:
				return
			case <-time.After(time.Duration(wait) * time.Millisecond):
			}
		}
		if _, err := c.Write(d.answer()); err != nil {
			return
		}
	}
}

func (d *Discovery) answer() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, err := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.entries})
	if err != nil {
		panic(err) // entries hold nothing that JSON could not
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}
