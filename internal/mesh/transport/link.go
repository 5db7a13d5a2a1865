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

// A link queues what goes to one peer and writes it: heartbeats first, then small messages, large ones in pieces between them.

func (l *link) put(p *meshpb.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	queue := &l.frames
	if meshpb.IsHeartbeat(p) {
		queue = &l.urgent
	}
	was := len(*queue)
	frames, err := AppendFrame(*queue, p)
	size := len(frames) - was
	if waits := l.net.queued.Load(); err != nil || waits > 0 && waits+int64(size) > l.net.most {
		return false
	}
	var ids []uint64
	if !meshpb.IsAnswer(p) && !meshpb.IsHeartbeat(p) {
		ids = []uint64{p.Id}
	}
	l.net.queued.Add(int64(size))
	if size > largeFrame {
		l.large = append(l.large, large{bytes.Clone(frames[was:]), ids})
		if was == 0 { // what was grown for it is not kept
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

// take gives the small frames that are to be written next; where there are none, the next large message is the writer's. A buffer that is no
// longer needed may take the place. Of a dead link it takes nothing.
func (l *link) take(spare []byte) (frames []byte, dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.dead:
	case len(l.urgent) > 0: // they leave the buffer that may take the place to the others
		frames = l.urgent
		l.urgent = nil
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
	waits := len(l.urgent) + len(l.frames)
	for _, f := range l.large {
		unsent = append(unsent, f.ids...)
		waits += len(f.frame)
	}
	l.net.queued.Add(-int64(waits))
	l.urgent, l.frames, l.ids, l.large = nil, nil, nil, nil
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
