package proxy

import (
	"context"
	"errors"
	"io"
	"sync"

	bodies "beechwing/internal/body"
	"beechwing/internal/wire"
)

// maxStreamBuffers is the most buffers of a long message that are held at once.
const maxStreamBuffers = bodies.MaxBuffered / wire.BufferSize

var errAbandoned = errors.New("the receiver has stopped reading")

// stream passes a long message from the goroutine that reads it to the one that writes it. The reading side waits while
// the stream is full, so that a slow receiver slows the sender down.
type stream struct {
	bufs       *wire.Pool
	dataReady  chan struct{} // signals new data or the end of the message
	spaceFreed chan struct{} // signals that data was taken or the stream abandoned

	mu        sync.Mutex
	queue     []piece
	ended     bool
	err       error // with ended, nil means that the message is complete
	abandoned bool  // the receiver takes no more
}

// piece is a buffer that holds size bytes.
type piece struct {
	buf  *[wire.BufferSize]byte
	size int
}

func (p piece) bytes() []byte { return p.buf[:p.size] }

func newStream(bufs *wire.Pool) *stream {
	return &stream{bufs: bufs, dataReady: make(chan struct{}, 1), spaceFreed: make(chan struct{}, 1)}
}

// fill reads r to its end into the stream; the caller then calls end. While the stream is full, fill calls onFull and
// waits.
func (s *stream) fill(r io.Reader, onFull func()) error {
	for total := 0; ; {
		if s.full() {
			onFull()
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
		case total > bodies.MaxLength:
			return wire.ErrTooLarge
		}
	}
}

// full reports whether the stream holds as much as it may.
func (s *stream) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) >= maxStreamBuffers
}

// awaitSpace waits until the stream is not full. It returns false if the stream has been abandoned.
func (s *stream) awaitSpace() bool {
	for {
		s.mu.Lock()
		full, abandoned := len(s.queue) >= maxStreamBuffers, s.abandoned
		s.mu.Unlock()
		if !full || abandoned {
			return !abandoned
		}
		<-s.spaceFreed
	}
}

// put appends a piece. Small pieces are merged into one buffer, so that a sender of single bytes cannot use up memory.
// It returns false if the stream has been abandoned.
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
	signal(s.dataReady)
	return true
}

// end marks the end of the message. A nil error means that the message is complete.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.err = true, err
	signal(s.dataReady)
}

// take returns the next piece, whose buffer then belongs to the caller. It returns io.EOF at the end of a complete
// message.
func (s *stream) take(ctx context.Context) (piece, error) {
	for {
		s.mu.Lock()
		if len(s.queue) > 0 {
			p := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			signal(s.spaceFreed)
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

// abandon frees what the stream holds and makes fill return errAbandoned.
func (s *stream) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	for _, p := range s.queue {
		s.bufs.PutBuffer(p.buf)
	}
	s.queue = nil
	signal(s.spaceFreed)
}

// takeBody returns the whole message as a body. The message has ended and no piece has been taken.
func (s *stream) takeBody() (b wire.Body) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.queue {
		b.Bufs, b.Size = append(b.Bufs, p.buf), b.Size+p.size
	}
	s.queue, s.abandoned = nil, true
	return b
}
