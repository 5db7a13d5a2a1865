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

// Node is a running stand-in host.
type Node struct {
	*link.Target
	ID      string
	Index   int // in the records
	book    *record.Book
	classes []string
	onFall  func()

	mu    sync.Mutex
	model *Model
	life  int // grows with each start: what an earlier life began is void
	queue []*waiter
	held  int // connections
	fell  bool
}

type waiter struct{ turn chan struct{} }

// New starts a host at a link of its own. onFall is called once for each time that it is pushed over, when it is down.
func New(network *link.Network, id string, index int, c Config, classes []string, seed uint64, book *record.Book, onFall func()) (*Node, error) {
	n := &Node{ID: id, Index: index, book: book, classes: classes, onFall: onFall, model: NewModel(c, seed)}
	var err error
	n.Target, err = network.Listen(n.serve)
	return n, err
}

// Change alters what the host is like from now on.
func (n *Node) Change(f func(*Model)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.model)
}

// Stop ends the host as a crash does.
func (n *Node) Stop() {
	n.mu.Lock()
	n.life++
	for _, w := range n.queue {
		close(w.turn)
	}
	n.queue = nil
	n.mu.Unlock()
	n.Down()
}

// Start begins a new life, cold.
func (n *Node) Start() error {
	n.mu.Lock()
	n.life++
	n.fell, n.held = false, 0
	n.model.Start(n.book.Now())
	n.mu.Unlock()
	return n.Up()
}

func (n *Node) serve(c *link.Conn) {
	rec := record.Connection{Host: n.Index, Proxy: c.Proxy, Opened: n.book.Now()}
	n.mu.Lock()
	n.held++
	life := n.life
	rec.TurnedAway = n.held > n.model.cfg.Conns
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		if n.life == life {
			n.held--
		}
		n.mu.Unlock()
		rec.Closed = n.book.Now()
		n.book.Add(rec)
	}()
	c.ServeRequests(func(r *http.Request, gone chan struct{}) bool {
		rec.Asked++
		e := record.Execution{ID: r.Header.Get("X-Txn"), Host: n.Index, Proxy: c.Proxy, Arrived: n.book.Now(), Sent: n.book.Since(c.SentAt())}
		if rec.TurnedAway {
			n.turnAway(c, e)
			return false
		}
		return n.handle(c, r, e, rec.Asked == 1, gone)
	})
}

func (n *Node) turnAway(c *link.Conn, e record.Execution) bool {
	e.How = record.TurnedAway
	_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
	e.Whole = err == nil
	n.book.Add(e)
	return err == nil
}

// handle works on one request and says whether its connection goes on.
func (n *Node) handle(c *link.Conn, r *http.Request, e record.Execution, fresh bool, gone chan struct{}) bool {
	class := slices.Index(n.classes, r.Header.Get("X-Lane"))
	if r.URL.Path != "/api" || e.ID == "" || class < 0 {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return false
	}
	n.mu.Lock()
	life := n.life
	job, away, falls := n.model.Arrive(e.Arrived, class, hash(r.Header.Get("X-Entity")), fresh)
	switch {
	case away:
		n.mu.Unlock()
		return n.turnAway(c, e)
	case falls:
		first := !n.fell
		n.fell = true
		n.mu.Unlock()
		e.How, e.Began = record.Pushed, e.Arrived
		n.book.Add(e)
		if first {
			go func() {
				n.Stop()
				n.onFall()
			}()
		}
		return false
	}
	if !n.await(gone, life) {
		e.How = record.Moot
		n.mu.Unlock()
		n.book.Add(e)
		return false
	}
	if n.life != life {
		n.mu.Unlock()
		return false
	}
	e.Began = n.book.Now()
	took := n.model.Takes(e.Began, job)
	n.mu.Unlock()
	time.Sleep(took)
	e.Ended, e.How = n.book.Now(), record.Ran
	n.mu.Lock()
	over := n.life != life
	if !over {
		n.free()
	}
	n.mu.Unlock()
	if over { // it died under the request, which may have had its effect
		n.book.Add(e)
		return false
	}
	return n.answer(c, e, job.Fail)
}

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

// await waits for a core; false: the sender has left meanwhile, or the host has ended. mu is held, and given up meanwhile.
func (n *Node) await(gone chan struct{}, life int) bool {
	if n.model.Free() {
		return true
	}
	w := &waiter{turn: make(chan struct{})}
	n.queue = append(n.queue, w)
	n.mu.Unlock()
	select {
	case <-w.turn:
		n.mu.Lock()
		return true
	case <-gone:
	}
	n.mu.Lock()
	if at := slices.Index(n.queue, w); at >= 0 {
		n.queue = slices.Delete(n.queue, at, at+1)
		n.model.Leave()
	} else if n.life == life { // the turn came at the same moment
		n.free()
	}
	return false
}

// free gives the core to the next that waits. mu is held.
func (n *Node) free() {
	if n.model.Next() && len(n.queue) > 0 {
		close(n.queue[0].turn)
		n.queue = n.queue[1:]
	}
}

// Body is what a host answers: its own name and the request's, so that an answer that no host made can be told.
func Body(host, id string) string { return host + " " + id + "\n" }

func hash(key string) uint64 {
	if n, err := strconv.ParseUint(key, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}
