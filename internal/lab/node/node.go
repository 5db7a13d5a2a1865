package node

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"beechwing/internal/lab/link"
	"beechwing/internal/lab/record"
)

// Node is a running test host.
type Node struct {
	*link.Target
	ID      string
	Index   int // host index in the records
	book    *record.Book
	classes []string
	onCrash func()

	mu          sync.Mutex
	model       *Model
	generation  int // incremented by Start and Stop; work that began under an earlier value is discarded
	queue       []*waiter
	connections int  // open connections
	crashed     bool // has crashed from overload since the last start
}

// waiter is a request in the queue. turn is closed when the request gets a core or the host stops.
type waiter struct{ turn chan struct{} }

// New starts a host as a new target of the network. onCrash is called after each crash from overload, once the host is down.
func New(network *link.Network, id string, index int, c Config, classes []string, seed uint64, book *record.Book,
	onCrash func()) (*Node, error) {
	n := &Node{ID: id, Index: index, book: book, classes: classes, onCrash: onCrash, model: NewModel(c, seed)}
	var err error
	n.Target, err = network.Listen(n.serve)
	return n, err
}

// Change calls f with the model under the lock, to alter the host from now on.
func (n *Node) Change(f func(*Model)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.model)
}

// Stop crashes the host: open connections are reset and queued requests are dropped.
func (n *Node) Stop() {
	n.mu.Lock()
	n.generation++
	for _, w := range n.queue {
		close(w.turn)
	}
	n.queue = nil
	n.mu.Unlock()
	n.Down()
}

// Start restarts the host cold, at the same addresses.
func (n *Node) Start() error {
	n.mu.Lock()
	n.generation++
	n.crashed, n.connections = false, 0
	n.model.Start(n.book.Now())
	n.mu.Unlock()
	return n.Up()
}

func (n *Node) serve(c *link.Conn) {
	rec := record.Connection{Host: n.Index, Proxy: c.Proxy, Opened: n.book.Now()}
	n.mu.Lock()
	n.connections++
	generation := n.generation
	rec.TurnedAway = n.connections > n.model.cfg.Conns
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		if n.generation == generation {
			n.connections--
		}
		n.mu.Unlock()
		rec.Closed = n.book.Now()
		n.book.Add(rec)
	}()
	c.ServeRequests(func(r *http.Request, clientGone chan struct{}) bool {
		rec.Asked++
		e := record.Execution{ID: r.Header.Get("X-Txn"), Host: n.Index, Proxy: c.Proxy, Arrived: n.book.Now(),
			Sent: n.book.Since(c.SentAt())}
		if rec.TurnedAway {
			n.turnAway(c, e)
			return false
		}
		return n.handle(c, r, e, rec.Asked == 1, clientGone)
	})
}

// turnAway rejects a request before any work on it, and reports whether the connection stays open.
func (n *Node) turnAway(c *link.Conn, e record.Execution) bool {
	e.How = record.TurnedAway
	_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	e.Whole = err == nil
	n.book.Add(e)
	return err == nil
}

// handle runs one request and reports whether the connection stays open.
func (n *Node) handle(c *link.Conn, r *http.Request, e record.Execution, newConn bool, clientGone chan struct{}) bool {
	class := slices.Index(n.classes, r.Header.Get("X-Lane"))
	if r.URL.Path != "/api" || e.ID == "" || class < 0 {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	n.mu.Lock()
	generation := n.generation
	job, turnedAway, crashes := n.model.Arrive(e.Arrived, class, hash(r.Header.Get("X-Entity")), newConn)
	switch {
	case turnedAway:
		n.mu.Unlock()
		return n.turnAway(c, e)
	case crashes:
		firstCrash := !n.crashed
		n.crashed = true
		n.mu.Unlock()
		e.How, e.Began = record.Overloaded, e.Arrived
		n.book.Add(e)
		if firstCrash {
			go func() {
				n.Stop()
				n.onCrash()
			}()
		}
		return false
	}
	if !n.awaitCore(clientGone, generation) {
		e.How = record.Abandoned
		n.mu.Unlock()
		n.book.Add(e)
		return false
	}
	if n.generation != generation {
		n.mu.Unlock()
		return false
	}
	e.Began = n.book.Now()
	took := n.model.RunTime(e.Began, job)
	n.mu.Unlock()
	time.Sleep(took)
	e.Ended, e.How = n.book.Now(), record.Ran
	n.mu.Lock()
	stopped := n.generation != generation
	if !stopped {
		n.releaseCore()
	}
	n.mu.Unlock()
	if stopped { // the host crashed during the request, which may still have taken effect
		n.book.Add(e)
		return false
	}
	return n.answer(c, e, job.Fail)
}

// answer sends the response and reports whether the connection stays open.
func (n *Node) answer(c *link.Conn, e record.Execution, fail bool) bool {
	status, body := "200 OK", Body(n.ID, e.ID)
	if fail {
		e.How, status, body = record.Failed, "500 Error", ""
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	e.Whole = err == nil
	n.book.Add(e)
	return err == nil
}

// awaitCore waits for a core. It returns false if the client has disconnected meanwhile. It returns true as well when the host
// stops; the caller then sees a new generation. mu is held on entry and on return, and released while waiting.
func (n *Node) awaitCore(clientGone chan struct{}, generation int) bool {
	if n.model.AcquireCore() {
		return true
	}
	w := &waiter{turn: make(chan struct{})}
	n.queue = append(n.queue, w)
	n.mu.Unlock()
	select {
	case <-w.turn:
		n.mu.Lock()
		return true
	case <-clientGone:
	}
	n.mu.Lock()
	if at := slices.Index(n.queue, w); at >= 0 {
		n.queue = slices.Delete(n.queue, at, at+1)
		n.model.LeaveQueue()
	} else if n.generation == generation { // the core was assigned at the same moment
		n.releaseCore()
	}
	return false
}

// releaseCore releases a core and wakes the next waiting request, if any. mu is held.
func (n *Node) releaseCore() {
	if n.model.ReleaseCore() && len(n.queue) > 0 {
		close(n.queue[0].turn)
		n.queue = n.queue[1:]
	}
}

// Body returns the body of an answer: the names of the host and of the request, so that a made-up answer can be detected.
func Body(host, id string) string { return host + " " + id + "\n" }

// hash returns the key as a number: parsed as hexadecimal if possible, else as its FNV-1a hash.
func hash(key string) uint64 {
	if n, err := strconv.ParseUint(key, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}
