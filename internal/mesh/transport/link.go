package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"time"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/wire"
)

// A link queues the messages for one peer and writes them: heartbeats first, then small messages, and the
// pieces of large messages in between.

// enqueue queues a message. It returns false if the link has ended, the queue limit is reached, or the message cannot be
// encoded.
func (l *link) enqueue(p *meshpb.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	queue := &l.frames
	if meshpb.IsHeartbeat(p) {
		queue = &l.urgent
	}
	start := len(*queue)
	frames, err := AppendFrame(*queue, p)
	size := len(frames) - start
	if queuedBytes := l.net.queued.Load(); err != nil || queuedBytes > 0 && queuedBytes+int64(size) > l.net.queueLimit {
		return false
	}
	var ids []uint64
	if !meshpb.IsAnswer(p) && !meshpb.IsHeartbeat(p) {
		ids = []uint64{p.Id}
	}
	l.net.queued.Add(int64(size))
	if size > largeFrameBytes {
		l.large = append(l.large, queuedFrame{bytes.Clone(frames[start:]), ids})
		if start == 0 { // do not keep the buffer that grew for the large message
			*queue = nil
		}
	} else {
		*queue, l.ids = frames, append(l.ids, ids...)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// next returns the small frames to write next. If there are none, it makes the next large message the current
// one of the writer. It may use spare, a buffer that is no longer needed, for the frames queued from now on.
// From a dead link it takes nothing.
func (l *link) next(spare []byte) (frames []byte, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.dead:
	case len(l.urgent) > 0: // spare stays free for the other frames
		frames = l.urgent
		l.urgent = nil
	case len(l.frames) > 0:
		frames = l.frames
		l.frames, l.ids = spare[:0], nil
	case len(l.large) > 0 && l.current.frame == nil:
		l.current, l.large[0] = l.large[0], queuedFrame{}
		l.large = l.large[1:]
	}
	return frames, l.dead
}

// end takes the link out of use and reports the disconnection. unsent are the ids of messages of which nothing
// was sent.
func (l *link) end(unsent []uint64) {
	l.net.mu.Lock()
	if l.net.links[l.peer] == l {
		delete(l.net.links, l.peer)
	}
	closed := l.net.closed
	l.net.mu.Unlock()
	l.mu.Lock()
	wasDead := l.dead
	l.dead = true
	unsent = append(unsent, l.ids...)
	queuedBytes := len(l.urgent) + len(l.frames)
	for _, f := range l.large {
		unsent = append(unsent, f.ids...)
		queuedBytes += len(f.frame)
	}
	l.net.queued.Add(-int64(queuedBytes))
	l.urgent, l.frames, l.ids, l.large = nil, nil, nil, nil
	l.mu.Unlock()
	if wasDead && len(unsent) == 0 || closed {
		return
	}
	l.net.notify(Disconnected{Peer: l.peer, Link: l.number, Unsent: unsent})
}

// dial opens the connection, sends Hello and serves the connection until it ends.
func (l *link) dial() {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.Dial("tcp", l.peer)
	if err != nil {
		l.end(nil)
		return
	}
	setTimeouts(c)
	c = wire.NewDirectConn(c)
	hello, _ := AppendFrame(nil, &meshpb.Message{Hello: &meshpb.Hello{From: l.net.self}})
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(hello); err != nil {
		c.Close()
		l.end(nil)
		return
	}
	l.run(c, bufio.NewReaderSize(c, 8<<10))
}

// run serves a connection until it ends.
func (l *link) run(c net.Conn, br *bufio.Reader) {
	r := NewReader(br, func() { l.net.notify(PartReceived{l.peer}) })
	if !l.net.track(c) {
		l.end(nil)
		return
	}
	defer l.net.untrack(c)
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
		l.net.notify(Received{l.peer, p})
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

// write sends queued messages until the connection ends.
func (l *link) write(c net.Conn) {
	defer l.releaseSlot()
	for range l.wake {
		if !l.flush(c) {
			l.close()
			return
		}
	}
}

// flush sends everything that is queued: all small frames in one write, and the pieces of large messages in
// between. It returns false if the connection has ended.
func (l *link) flush(c net.Conn) bool {
	var spare []byte
	l.net.writing.Add(1)
	defer l.net.writing.Add(-1)
	for {
		frames, dead := l.next(spare)
		spare = nil
		l.net.queued.Add(-int64(len(frames)))
		if dead {
			return false
		}
		small := len(frames) > 0
		if !small && l.current.frame == nil {
			return true
		}
		if !small {
			if !l.acquireSlot() {
				continue
			}
			frames = l.nextPiece()
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.Write(frames); err != nil {
			c.Close()
			return false
		}
		if small && cap(frames) <= 1<<20 {
			spare = frames
		}
	}
}

// acquireSlot waits for a slot to send a large message. It returns false if something else was queued first.
func (l *link) acquireSlot() bool {
	if l.hasSlot {
		return true
	}
	if l.net.limiter.rate > 0 {
		select {
		case l.net.limiter.slots <- struct{}{}:
		case <-l.wake:
			return false
		}
	}
	l.hasSlot = true
	l.current.frame = l.current.frame[frameHeaderBytes:]
	l.net.queued.Add(-frameHeaderBytes)
	return true
}

// releaseSlot releases the slot.
func (l *link) releaseSlot() {
	if l.hasSlot && l.net.limiter.rate > 0 {
		<-l.net.limiter.slots
	}
	l.hasSlot = false
}

// nextPiece waits until the rate limit permits the next piece of the current large message and returns its
// frame.
func (l *link) nextPiece() []byte {
	n := min(l.net.limiter.pieceBytes(), len(l.current.frame))
	l.net.limiter.wait(n)
	head, end := uint32(n)|pieceFlag, n == len(l.current.frame)
	if end {
		head |= lastPieceFlag
	}
	out := append(binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+n), head), l.current.frame[:n]...)
	l.net.queued.Add(-int64(n))
	if l.current.frame = l.current.frame[n:]; end {
		l.current = queuedFrame{}
		l.releaseSlot()
	}
	return out
}

// close takes a link out of use whose connection has ended.
func (l *link) close() {
	l.net.queued.Add(-int64(len(l.current.frame)))
	var unsent []uint64
	if !l.hasSlot {
		unsent = l.current.ids // no piece of the message was sent
	}
	l.mu.Lock()
	l.dead = false // so that end reports the disconnection
	l.mu.Unlock()
	l.end(unsent)
}
