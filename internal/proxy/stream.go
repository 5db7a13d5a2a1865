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
const maxStreamBuffers = bodies.Kept / wire.BufferSize

var errAbandoned = errors.New("nobody takes it any more")

// stream passes a long message from the goroutine that reads it to the one that writes it. Whoever reads waits while it
// is full, so that a slow peer slows the other.
type stream struct {
	bufs       *wire.Pool
	dataReady  chan struct{} // something has come, or the end
	spaceFreed chan struct{} // something has been taken, or nobody will

	mu        sync.Mutex
	queue     []piece
	ended     bool
	err       error // nil with ended: the message is whole
	abandoned bool  // nobody takes more
}

// piece is a buffer with n bytes.
type piece struct {
	buf  *[wire.BufferSize]byte
	size int
}

func (p piece) bytes() []byte { return p.buf[:p.size] }

func newStream(bufs *wire.Pool) *stream {
	return &stream{bufs: bufs, dataReady: make(chan struct{}, 1), spaceFreed: make(chan struct{}, 1)}
}

// fill reads r until its end, which the caller tells with end. It waits while the stream is full, and calls whenFull
// first.
func (s *stream) fill(r io.Reader, whenFull func()) error {
	for total := 0; ; {
		if s.full() {
			whenFull()
		}
		if !s.awaitSpace() {
			return errAbandoned
		}
		buf := s.bufs.Buffer()
		n, err := r.Read(buf[:])
		if !s.put(piece{buf, n}) {
			return errAbandoned
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
	return len(s.queue) >= maxStreamBuffers
}

// awaitRoom waits until there is room, and says whether anybody still takes what comes.
func (s *stream) awaitSpace() bool {
	for {
		s.mu.Lock()
		full, left := len(s.queue) >= maxStreamBuffers, s.abandoned
		s.mu.Unlock()
		if !full || left {
			return !left
		}
		<-s.spaceFreed
	}
}

// put adds a piece. Small ones are gathered in one buffer, so that a peer that sends byte by byte fills no memory.
func (s *stream) put(p piece) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned || p.size == 0 {
		s.bufs.PutBuffer(p.buf)
		return !s.abandoned
	}
	if k := len(s.queue) - 1; k >= 0 {
		last := &s.queue[k]
		n := copy(last.buf[last.size:], p.bytes())
		last.size += n
		p.size = copy(p.buf[:], p.buf[n:p.size])
	}
	if p.size > 0 {
		s.queue = append(s.queue, p)
	} else {
		s.bufs.PutBuffer(p.buf)
	}
	ask(s.dataReady)
	return true
}

// end tells that nothing more comes. Without an error the message is whole.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.err = true, err
	ask(s.dataReady)
}

// take gives the next piece, whose buffer is the caller's from then on. io.EOF: the message is whole.
func (s *stream) take(ctx context.Context) (piece, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			p := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			ask(s.spaceFreed)
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
		case <-s.dataReady:
		case <-ctx.Done():
			return piece{}, ctx.Err()
		}
	}
}

// leave gives back what is held. Who fills it learns that nobody takes more.
func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	for _, p := range s.queue {
		s.bufs.PutBuffer(p.buf)
	}
	s.queue = nil
	ask(s.spaceFreed)
}

// whole gives all of a message that has ended, of which nothing has been taken, as a body.
func (s *stream) takeBody() (b wire.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		b.Bufs, b.Size = append(b.Bufs, p.buf), b.Size+p.size
	}
	s.queue, s.abandoned = nil, true
	return b
}
