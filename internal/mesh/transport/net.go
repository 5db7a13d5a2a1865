// Package transport carries messages between the processes of the mesh: protobuf in frames over TCP, one connection to a peer.
// It decides nothing: what a lost message means is for the state machines to say.
package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

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

func (l *link) put(p *meshpb.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	was := len(l.frames)
	frames, err := AppendFrame(l.frames, p)
	size := len(frames) - was
	if waits := l.net.queued.Load(); err != nil || waits > 0 && waits+int64(size) > l.net.most {
		return false
	}
	var ids []uint64
	if !meshpb.IsAnswer(p) {
		ids = []uint64{p.Id}
	}
	l.net.queued.Add(int64(size))
	if size > largeFrame {
		l.large = append(l.large, large{bytes.Clone(frames[was:]), ids})
		if was == 0 { // what was grown for it is not kept
			l.frames = nil
		}
	} else {
		l.frames, l.ids = frames, append(l.ids, ids...)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// take gives the small frames that are to be written next; where there are none, the next large message is the writer's. A buffer that is no
// longer needed may take the place. Of a dead link it takes nothing.
func (l *link) take(spare []byte) (frames []byte, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.dead:
	case len(l.frames) > 0:
		frames = l.frames
		l.frames, l.ids = spare[:0], nil
	case len(l.large) > 0 && l.now.frame == nil:
		l.now, l.large[0] = l.large[0], large{}
		l.large = l.large[1:]
	}
	return frames, l.dead
}

// end takes the link out of use and tells of it. unsent never went out.
func (l *link) end(unsent []uint64) {
	l.net.mu.Lock()
	if l.net.links[l.peer] == l {
		delete(l.net.links, l.peer)
	}
	closed := l.net.closed
	l.net.mu.Unlock()
	l.mu.Lock()
	was := l.dead
	l.dead = true
	unsent = append(unsent, l.ids...)
	waits := len(l.frames)
	for _, f := range l.large {
		unsent = append(unsent, f.ids...)
		waits += len(f.frame)
	}
	l.net.queued.Add(-int64(waits))
	l.frames, l.ids, l.large = nil, nil, nil
	l.mu.Unlock()
	if was && len(unsent) == 0 || closed {
		return
	}
	l.net.tell(Broke{Peer: l.peer, Link: l.number, Unsent: unsent})
}

func (l *link) dial() {
	d := net.Dialer{Timeout: dialWithin}
	c, err := d.Dial("tcp", l.peer)
	if err != nil {
		l.end(nil)
		return
	}
	tune(c)
	c = wire.Quicken(c)
	hello, _ := AppendFrame(nil, &meshpb.Message{Hello: &meshpb.Hello{From: l.net.self}})
	c.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := c.Write(hello); err != nil {
		c.Close()
		l.end(nil)
		return
	}
	l.run(c, bufio.NewReaderSize(c, 8<<10))
}

// run serves a connection until it ends.
func (l *link) run(c net.Conn, br *bufio.Reader) {
	r := NewReader(br, func() { l.net.tell(Sign{l.peer}) })
	if !l.net.hold(c) {
		l.end(nil)
		return
	}
	defer l.net.release(c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.write(c)
	}()
	for {
		p, err := r.Read()
		if err != nil {
			break
		}
		l.net.tell(Came{l.peer, p})
	}
	c.Close()
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	<-done
}

// write sends what is queued until the connection ends.
func (l *link) write(c net.Conn) {
	defer l.done()
	for range l.wake {
		if !l.flush(c) {
			l.close()
			return
		}
	}
}

// flush sends all that waits: all small frames in one write, and pieces of the large ones between them. False: the
// connection has ended.
func (l *link) flush(c net.Conn) bool {
	var spare []byte
	l.net.writing.Add(1)
	defer l.net.writing.Add(-1)
	for {
		frames, dead := l.take(spare)
		spare = nil
		l.net.queued.Add(-int64(len(frames)))
		if dead {
			return false
		}
		small := len(frames) > 0
		if !small && l.now.frame == nil {
			return true
		}
		if !small {
			if !l.mayGo() {
				continue
			}
			frames = l.piece()
		}
		c.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := c.Write(frames); err != nil {
			c.Close()
			return false
		}
		if small && cap(frames) <= 1<<20 {
			spare = frames
		}
	}
}

// mayGo waits for a turn to send a large message; false: something else came first.
func (l *link) mayGo() bool {
	if l.turn {
		return true
	}
	if l.net.pace.rate > 0 {
		select {
		case l.net.pace.turns <- struct{}{}:
		case <-l.wake:
			return false
		}
	}
	l.turn = true
	l.now.frame = l.now.frame[frameHead:]
	l.net.queued.Add(-frameHead)
	return true
}

// done gives the turn back.
func (l *link) done() {
	if l.turn && l.net.pace.rate > 0 {
		<-l.net.pace.turns
	}
	l.turn = false
}

// piece takes the next piece of the large message that is being sent, at its time.
func (l *link) piece() []byte {
	n := min(l.net.pace.piece(), len(l.now.frame))
	l.net.pace.wait(n)
	head, end := uint32(n)|piece, n == len(l.now.frame)
	if end {
		head |= lastPiece
	}
	out := append(binary.BigEndian.AppendUint32(make([]byte, 0, frameHead+n), head), l.now.frame[:n]...)
	l.net.queued.Add(-int64(n))
	if l.now.frame = l.now.frame[n:]; end {
		l.now = large{}
		l.done()
	}
	return out
}

// close takes a link whose connection is no more out of use.
func (l *link) close() {
	l.net.queued.Add(-int64(len(l.now.frame)))
	var unsent []uint64
	if !l.turn {
		unsent = l.now.ids // no piece of it went out
	}
	l.mu.Lock()
	l.dead = false // so that the end is told
	l.mu.Unlock()
	l.end(unsent)
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

// AppendFrame appends a message's frame: its length in four bytes, then the message, which its checksum ends.
func AppendFrame(buf []byte, p *meshpb.Message) ([]byte, error) {
	at := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, p)
	if err != nil {
		return buf, errors.Wrap(err, "message")
	}
	buf = appendChecksum(buf, at+frameHead)
	size := len(buf) - at - frameHead
	if size > MaxFrame {
		return buf, errors.Newf("message of %d bytes", size)
	}
	binary.BigEndian.PutUint32(buf[at:], uint32(size))
	return buf, nil
}

// Reader takes messages off a connection.
type Reader struct {
	br   *bufio.Reader
	sign func() // called while a large one is still coming
	part []byte // of one that comes in pieces
	sums bool   // its sender ends messages with checksums, as older processes do not: all of them have to
}

// NewReader makes a reader. sign may be nil.
func NewReader(br *bufio.Reader, sign func()) *Reader { return &Reader{br: br, sign: sign} }

// Read takes one message.
func (r *Reader) Read() (*meshpb.Message, error) {
	for {
		var head [frameHead]byte
		if _, err := io.ReadFull(r.br, head[:]); err != nil {
			return nil, err
		}
		word := binary.BigEndian.Uint32(head[:])
		size := int(word &^ (piece | lastPiece))
		switch {
		case size > MaxFrame || len(r.part)+size > MaxFrame:
			return nil, errors.Newf("frame of %d bytes", len(r.part)+size)
		case word&piece == 0 && size <= r.br.Size(): // decoded where it lies: what is kept of it is copied
			b, err := r.br.Peek(size)
			if err != nil {
				return nil, err
			}
			p, err := r.decode(b)
			r.br.Discard(size)
			return p, err
		case word&piece == 0:
			b, err := appendBytes(nil, r.br, size)
			if err != nil {
				return nil, err
			}
			return r.decode(b)
		}
		var err error
		if r.part, err = appendBytes(r.part, r.br, size); err != nil {
			return nil, err
		}
		if word&lastPiece != 0 {
			b := r.part
			r.part = nil
			return r.decode(b)
		}
		if r.sign != nil {
			r.sign()
		}
	}
}

// appendBytes takes so many bytes. Of a length that was spoilt it makes no more room than comes.
func appendBytes(b []byte, br *bufio.Reader, size int) ([]byte, error) {
	for size > 0 {
		n := min(size, wholeFrame)
		b = slices.Grow(b, n)
		got, err := io.ReadFull(br, b[len(b):len(b)+n])
		b = b[:len(b)+got]
		if err != nil {
			return b, err
		}
		size -= n
	}
	return b, nil
}

// decode takes a message out of its bytes. One that was changed on the way is none: its connection ends with it.
func (r *Reader) decode(b []byte) (*meshpb.Message, error) {
	present, err := checkSum(b)
	if err == nil && r.sums && !present {
		err = errChecksum
	}
	if err != nil {
		return nil, err
	}
	r.sums = present
	p := &meshpb.Message{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	p.Checksum = 0 // of the frame that it came in
	return p, nil
}
