// Package transport carries messages between the processes of the mesh, as protobuf frames over TCP with one
// connection per peer. A Net, made by Listen, accepts connections, dials peers when Send first needs them, and
// passes each Event (a received message, a piece of a large message, or a disconnection) to a function of the
// caller. The package does not resend lost messages: the state machines decide what a loss means.
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

// Limits of the connections, and the failures that they guard against.
const (
	MaxFrame           = 72 << 20               // bytes; a peer that speaks another protocol, or a corrupted length
	defaultQueueLimit  = 24 << 20               // bytes queued for all peers; peers that do not read
	largeFrameBytes    = 16 << 10               // larger frames wait behind smaller ones
	readChunkBytes     = 1 << 20                // allocated at once for a frame; a larger corrupted length would cost memory
	minPieceBytes      = 16 << 10               // lower limit of a piece of a large message; other messages go between pieces
	maxPieceBytes      = 256 << 10              // upper limit of a piece
	pieceDuration      = 8 * time.Millisecond   // between the limits, a piece takes a rate-limited link so long
	maxEarly           = 3 * time.Millisecond   // how much too early a piece may be sent; saves the cost of waking up
	maxConcurrentLarge = 3                      // large messages sent at once if rate-limited; one peer must not block others
	pieceFlag          = 1 << 31                // set in a frame's length: a piece of a large message
	lastPieceFlag      = 1 << 30                // set in a frame's length: the last piece
	dialTimeout        = 300 * time.Millisecond // an unreachable peer is silent, and a SYN is only resent after a second
	writeTimeout       = 3 * time.Second        // a peer that does not read
	silenceTimeout     = 1500 * time.Millisecond
	keepAliveIdle      = time.Second // idle connections to a machine that lost power
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveCount     = 2
	frameHeaderBytes   = 4
)

// Send is a message to be sent to a peer.
type Send struct {
	To      string
	Message *meshpb.Message
	Via     *uint64 // if not nil, set to the number of the link that the message is sent on
}

// Event is an event that a Net reports: Received, PartReceived or Disconnected.
type Event interface{ event() }

// Received is a message that has arrived.
type Received struct {
	From    string
	Message *meshpb.Message
}

// PartReceived reports a piece of a large message that is still arriving, as a sign that its peer is alive.
type PartReceived struct{ From string }

// Disconnected reports that the link to a peer has ended. Unsent holds the ids of messages of which no byte was
// sent. All other messages sent on links up to Link may have arrived. Unsent contains no answers, because an
// answer has the id of the requester's message.
type Disconnected struct {
	Peer   string
	Link   uint64
	Unsent []uint64
}

func (Received) event()     {}
func (PartReceived) event() {}
func (Disconnected) event() {}

// Net holds the connections of one process to the others.
type Net struct {
	self   string
	notify func(Event)
	ln     net.Listener

	mu         sync.Mutex
	links      map[string]*link
	open       map[net.Conn]bool
	lastNumber uint64
	closed     bool

	queueLimit int64 // limit on the bytes queued for all peers
	queued     atomic.Int64
	writing    atomic.Int64 // links that are writing now
	limiter    rateLimiter
}

// rateLimiter limits large messages to the bandwidth of the machine's network. Excess data then waits in this
// process and not in the network, where it would delay all other messages. The zero value does not limit.
type rateLimiter struct {
	rate  float64 // bytes per second; 0: no limit
	slots chan struct{}
	mu    sync.Mutex
	next  time.Time
}

// wait waits until n more bytes may be sent.
func (p *rateLimiter) wait(n int) {
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
	if d := at.Sub(now); d > maxEarly {
		time.Sleep(d)
	}
}

// pieceBytes returns the size of the pieces that large messages are sent in.
func (p *rateLimiter) pieceBytes() int {
	if p.rate == 0 {
		return maxPieceBytes
	}
	return min(maxPieceBytes, max(minPieceBytes, int(p.rate*pieceDuration.Seconds())))
}

// link is a connection to one peer, open or being dialed.
type link struct {
	net    *Net
	peer   string
	number uint64
	wake   chan struct{}

	mu     sync.Mutex
	urgent []byte        // queued heartbeats, sent before all other frames
	frames []byte        // other queued small frames
	ids    []uint64      // ids of the requests in frames
	large  []queuedFrame // queued large frames, sent one by one after all others
	dead   bool

	current queuedFrame // the large frame being sent; used only by the writer
	hasSlot bool        // the writer holds a slot to send current
}

// queuedFrame is one large frame.
type queuedFrame struct {
	frame []byte
	ids   []uint64
}

// Listen listens on the address that other processes know this one by, and passes events to notify, which must
// not block.
func Listen(self string, notify func(Event)) (*Net, error) { return ListenAt(self, self, notify) }

// ListenAt is like Listen for a process that others reach through a relay: it listens on an address other than
// the one they know.
func ListenAt(address, self string, notify func(Event)) (*Net, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the inner address")
	}
	n := &Net{self: self, notify: notify, ln: ln, links: map[string]*link{}, open: map[net.Conn]bool{},
		queueLimit: defaultQueueLimit}
	go n.accept()
	return n, nil
}

// SetQueueLimit limits the bytes queued for all peers together. It must be called before the first Send.
func (n *Net) SetQueueLimit(bytes int64) { n.queueLimit = bytes }

// SetRate limits large messages to so many bytes per second over all peers. It must be called before the first
// Send.
func (n *Net) SetRate(bytesPerSecond float64) {
	n.limiter.rate, n.limiter.slots = bytesPerSecond, make(chan struct{}, maxConcurrentLarge)
}

// Backlog returns for how many seconds the queued bytes will wait, and for how many each further byte will, if
// large messages are rate-limited; otherwise 0.
func (n *Net) Backlog() (wait, perByte float64) {
	if n.limiter.rate == 0 {
		return 0, 0
	}
	return float64(n.queued.Load()) / n.limiter.rate, 1 / n.limiter.rate
}

// Drained reports whether all messages have been written. A process that exits earlier loses those still
// queued.
func (n *Net) Drained() bool { return n.queued.Load() == 0 && n.writing.Load() == 0 }

// Close closes the listener and all connections.
func (n *Net) Close() {
	n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.open {
		c.Close()
	}
}

// Send queues a message and returns the number of the link that it is sent on. It never blocks. If the message
// cannot be queued, Send returns 0, and a request is reported as unsent by Disconnected.
func (n *Net) Send(to string, p *meshpb.Message) uint64 {
	n.mu.Lock()
	l := n.links[to]
	if l == nil {
		l = n.newLink(to)
		n.links[to] = l
		go l.dial()
	}
	n.mu.Unlock()
	if l.enqueue(p) {
		return l.number
	}
	if !meshpb.IsAnswer(p) {
		go n.notify(Disconnected{Peer: to, Unsent: []uint64{p.Id}})
	}
	return 0
}

// newLink makes a link. The caller must hold n.mu.
func (n *Net) newLink(peer string) *link {
	n.lastNumber++
	return &link{net: n, peer: peer, number: n.lastNumber, wake: make(chan struct{}, 1)}
}

// track registers an open connection for Close. It returns false, and closes the connection, if the Net is closed.
func (n *Net) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.open[c] = true
	return true
}

// untrack closes a connection and unregisters it.
func (n *Net) untrack(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

// accept accepts connections until the listener is closed.
func (n *Net) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(20 * time.Millisecond) // out of file descriptors; some will be freed
			continue
		}
		go n.handshake(c)
	}
}

// handshake reads the peer's address from the Hello message of a new connection. A connection that begins with
// anything else is closed.
func (n *Net) handshake(c net.Conn) {
	setTimeouts(c)
	c = wire.NewDirectConn(c)
	c.SetReadDeadline(time.Now().Add(writeTimeout))
	br := bufio.NewReaderSize(c, 8<<10)
	p, err := NewReader(br, nil).Read()
	if err != nil || p.Hello == nil || p.Hello.From == "" {
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	n.mu.Lock()
	l := n.newLink(p.Hello.From)
	n.links[l.peer] = l // replaces an older link: its peer may have lost power
	n.mu.Unlock()
	l.run(c, br)
}

// setTimeouts makes a connection fail within silenceTimeout of its peer becoming silent.
func setTimeouts(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval,
		Count: keepAliveCount})
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
		})
	}
}
