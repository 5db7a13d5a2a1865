package proxy

import (
	"context"
	"errors"
	"io"
	"sync"

	bodies "beechwing/internal/body"
	"beechwing/internal/wire"
)

// streamBuffers is how many buffers of a long message may be here at once.
const streamBuffers = bodies.Kept / wire.BufferSize

var errLeft = errors.New("nobody takes it any more")

// stream passes a long message from the goroutine that reads it to the one that writes it. Whoever reads waits while it
// is full, so that a slow peer slows the other.
type stream struct {
	bufs *wire.Pool
	come chan struct{} // something has come, or the end
	gone chan struct{} // something has been taken, or nobody will

	mu    sync.Mutex
	queue []piece
	ended bool
	err   error // nil with ended: the message is whole
	left  bool  // nobody takes more
}

// piece is a buffer with n bytes.
type piece struct {
	buf *[wire.BufferSize]byte
	n   int
}

func (p piece) bytes() []byte { return p.buf[:p.n] }

func newStream(bufs *wire.Pool) *stream {
	return &stream{bufs: bufs, come: make(chan struct{}, 1), gone: make(chan struct{}, 1)}
}

// fill reads r until its end, which the caller tells with end. It waits while the stream is full, and calls whenFull
// first.
func (s *stream) fill(r io.Reader, whenFull func()) error {
	for total := 0; ; {
		if s.full() {
			whenFull()
		}
		if !s.awaitRoom() {
			return errLeft
		}
		buf := s.bufs.Buffer()
		n, err := r.Read(buf[:])
		if !s.put(piece{buf, n}) {
			return errLeft
		}
		switch total += n; {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case total > bodies.Longest:
			return wire.ErrTooLarge
		}
	}
}

// full says whether the stream holds as much as it may.
func (s *stream) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) >= streamBuffers
}

// awaitRoom waits until there is room, and says whether anybody still takes what comes.
func (s *stream) awaitRoom() bool {
	for {
		s.mu.Lock()
		full, left := len(s.queue) >= streamBuffers, s.left
		s.mu.Unlock()
		if !full || left {
			return !left
		}
		<-s.gone
	}
}

// put adds a piece. Small ones are gathered in one buffer, so that a peer that sends byte by byte fills no memory.
func (s *stream) put(p piece) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left || p.n == 0 {
		s.bufs.PutBuffer(p.buf)
		return !s.left
	}
	if k := len(s.queue) - 1; k >= 0 {
		last := &s.queue[k]
		n := copy(last.buf[last.n:], p.bytes())
		last.n += n
		p.n = copy(p.buf[:], p.buf[n:p.n])
	}
	if p.n > 0 {
		s.queue = append(s.queue, p)
	} else {
		s.bufs.PutBuffer(p.buf)
	}
	signal(s.come)
	return true
}

// end tells that nothing more comes. Without an error the message is whole.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.err = true, err
	signal(s.come)
}

// take gives the next piece, whose buffer is the caller's from then on. io.EOF: the message is whole.
func (s *stream) take(ctx context.Context) (piece, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			p := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			signal(s.gone)
			return p, nil
		}
		ended, err := s.ended, s.err
		s.mu.Unlock()
		switch {
		case ended && err == nil:
			return piece{}, io.EOF
		case ended:
			return piece{}, err
		}
		select {
		case <-s.come:
		case <-ctx.Done():
			return piece{}, ctx.Err()
		}
	}
}

// leave gives back what is held. Who fills it learns that nobody takes more.
func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	for _, p := range s.queue {
		s.bufs.PutBuffer(p.buf)
	}
	s.queue = nil
	signal(s.gone)
}

// whole gives all of a message that has ended, of which nothing has been taken, as a body.
func (s *stream) whole() (b wire.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		b.Bufs, b.Size = append(b.Bufs, p.buf), b.Size+p.n
	}
	s.queue, s.left = nil, true
	return b
}
