// Package transport carries messages between the processes of the mesh: protobuf in frames over TCP, one connection to a peer.
// It decides nothing: what a lost message means is for the state machines to say.
package transport

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/wire"
)

// Bounds of the connections. Each names the failure that it guards against.
const (
	MaxFrame     = 72 << 20               // bytes: a peer that speaks something else, or a length that was spoilt
	mostQueued   = 24 << 20               // bytes that wait for all peers, where Bound says nothing else: some that do not read
	largeFrame   = 16 << 10               // what is larger waits behind what is not
	wholeFrame   = 1 << 20                // is read into one piece of its length: beyond that a spoilt length would cost memory
	pieceLeast   = 16 << 10               // bytes of a large message that go at once, others go between: at least so many,
	pieceMost    = 256 << 10              // at most so many, and in between
	pieceFor     = 8 * time.Millisecond   // as many as take a paced link so long
	paceAhead    = 3 * time.Millisecond   // a piece may go so much ahead of its time: waking up has its price
	pacedAtOnce  = 3                      // large messages that go at once where the link is slow: one peer that does not read holds no other up
	piece        = 1 << 31                // in a frame's length: part of a large message
	lastPiece    = 1 << 30                // and its last
	dialWithin   = 300 * time.Millisecond // a peer behind a cut says nothing, and an opening packet is sent again only after a second
	writeWithin  = 3 * time.Second        // a peer that does not read
	silentWithin = 1500 * time.Millisecond
	probeAfter   = time.Second // idle connections to a machine without power
	probeEvery   = 500 * time.Millisecond
	probes       = 2
	frameHead    = 4
)

// Send is a message on its way to a peer.
type Send struct {
	To      string
	Message *meshpb.Message
	Via     *uint64 // if not nil it gets the number of the connection that the message goes by
}

// Event is what a Net tells: Came, Sign or Broke.
type Event interface{ event() }

// Came is a message that has come.
type Came struct {
	From    string
	Message *meshpb.Message
}

// Sign is a part of a large message that is still on its way: its peer is not silent.
type Sign struct{ From string }

// Broke tells that a connection to a peer is no more. Unsent are the ids of messages of which no byte went out; what else went
// by connections up to Link may have arrived. Answers are not among them: they have their asker's numbers.
type Broke struct {
	Peer   string
	Link   uint64
	Unsent []uint64
}

func (Came) event()  {}
func (Sign) event()  {}
func (Broke) event() {}

// Net is one process's connections to the others.
type Net struct {
	self string
	tell func(Event)
	ln   net.Listener

	mu     sync.Mutex
	links  map[string]*link
	all    map[net.Conn]bool
	last   uint64
	closed bool

	most    int64 // bytes that may wait for all peers
	queued  atomic.Int64
	writing atomic.Int64 // connections on which something is being written
	pace    pace
}

// pace keeps large messages to what the machine's link carries, so that they wait here and not in the link, where all else would wait
// behind them. The zero pace keeps nothing.
type pace struct {
	rate  float64 // bytes a second; 0: any
	turns chan struct{}
	mu    sync.Mutex
	next  time.Time
}

// wait waits until so many bytes may go.
func (p *pace) wait(n int) {
	if p.rate == 0 {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = at.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	p.mu.Unlock()
	if d := at.Sub(now); d > paceAhead {
		time.Sleep(d)
	}
}

// piece is how much of a large message goes at once.
func (p *pace) piece() int {
	if p.rate == 0 {
		return pieceMost
	}
	return min(pieceMost, max(pieceLeast, int(p.rate*pieceFor.Seconds())))
}

// link is one connection, or one that is being made.
type link struct {
	net    *Net
	peer   string
	number uint64
	wake   chan struct{}

	mu     sync.Mutex
	urgent []byte   // heartbeats that wait to be written: they go before all others
	frames []byte   // that wait to be written
	ids    []uint64 // of the questions in them
	large  []large  // the same, one by one: they go after all others
	dead   bool

	now  large // of which pieces have gone; only the writer has it
	turn bool  // it may send them
}

// large is one frame that keeps others waiting.
type large struct {
	frame []byte
	ids   []uint64
}

// Listen takes the address at which this process is known to the others and tells what comes. tell must not wait.
func Listen(self string, tell func(Event)) (*Net, error) { return ListenAt(self, self, tell) }

// ListenAt is Listen for a process that the others reach through a relay: it listens at another address than they know.
func ListenAt(address, self string, tell func(Event)) (*Net, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "inner address")
	}
	n := &Net{self: self, tell: tell, ln: ln, links: map[string]*link{}, all: map[net.Conn]bool{}, most: mostQueued}
	go n.accept()
	return n, nil
}

// Bound sets how many bytes may wait to be sent to all peers together. It is to be called before the first Send.
func (n *Net) Bound(bytes int64) { n.most = bytes }

// Pace keeps large messages to so many bytes a second, over all peers. It is to be called before the first Send.
func (n *Net) Pace(bytesPerSecond float64) {
	n.pace.rate, n.pace.turns = bytesPerSecond, make(chan struct{}, pacedAtOnce)
}

// Backlog is how many seconds what waits to be sent will take, and each further byte, where large messages are paced; else 0.
func (n *Net) Backlog() (wait, perByte float64) {
	if n.pace.rate == 0 {
		return 0, 0
	}
	return float64(n.queued.Load()) / n.pace.rate, 1 / n.pace.rate
}

// Drained reports whether all that was sent has gone: a process that is to end would take what waits along.
func (n *Net) Drained() bool { return n.queued.Load() == 0 && n.writing.Load() == 0 }

// Close ends all connections.
func (n *Net) Close() {
	n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.all {
		c.Close()
	}
}

// Send queues a message and gives the number of the connection that it goes by. It never waits: one that cannot go is told of
// by Broke, and goes by none: 0.
func (n *Net) Send(to string, p *meshpb.Message) uint64 {
	n.mu.Lock()
	l := n.links[to]
	if l == nil {
		l = n.newLink(to)
		n.links[to] = l
		go l.dial()
	}
	n.mu.Unlock()
	if l.put(p) {
		return l.number
	}
	if !meshpb.IsAnswer(p) {
		go n.tell(Broke{Peer: to, Unsent: []uint64{p.Id}})
	}
	return 0
}

// newLink makes a link. n.mu is held.
func (n *Net) newLink(peer string) *link {
	n.last++
	return &link{net: n, peer: peer, number: n.last, wake: make(chan struct{}, 1)}
}

func (n *Net) hold(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.all[c] = true
	return true
}

func (n *Net) release(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, c)
}

func (n *Net) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(20 * time.Millisecond) // out of descriptors: they come back
			continue
		}
		go n.greet(c)
	}
}

// greet learns who has connected. A connection that says something else first is none of ours.
func (n *Net) greet(c net.Conn) {
	tune(c)
	c = wire.Quicken(c)
	c.SetReadDeadline(time.Now().Add(writeWithin))
	br := bufio.NewReaderSize(c, 8<<10)
	p, err := NewReader(br, nil).Read()
	if err != nil || p.Hello == nil || p.Hello.From == "" {
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	n.mu.Lock()
	l := n.newLink(p.Hello.From)
	n.links[l.peer] = l // whatever went by before: a peer that connects anew may have lost power, and its old connection with it
	n.mu.Unlock()
	l.run(c, br)
}

// tune makes a connection tell within silentWithin that its peer has gone silent.
func tune(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes})
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentWithin.Milliseconds()))
		})
	}
}
