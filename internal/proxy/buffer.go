package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	bodies "beechwing/internal/body"
)

const (
	// bufferSize is the one size of all buffers: a message's head fits into one, a body takes as many as it needs.
	bufferSize = 16 << 10
	maxHead    = 12 << 10 // of a client's request, so that the head made of it for a host fits into a buffer
	maxBody    = bodies.Kept
)

// pool hands out buffers and bufio.Readers of bufferSize and takes them back. live counts what is out: a number
// that does not come back to zero when all connections are closed is a leak.
type pool struct {
	buffers, readers sync.Pool
	live             atomic.Int64
}

func newPool() *pool {
	return &pool{
		buffers: sync.Pool{New: func() any { return new([bufferSize]byte) }},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }},
	}
}

func (p *pool) buffer() *[bufferSize]byte {
	p.live.Add(1)
	return p.buffers.Get().(*[bufferSize]byte)
}

func (p *pool) putBuffer(b *[bufferSize]byte) {
	p.live.Add(-1)
	p.buffers.Put(b)
}

func (p *pool) reader(r io.Reader) *bufio.Reader {
	p.live.Add(1)
	br := p.readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

func (p *pool) putReader(br *bufio.Reader) {
	p.live.Add(-1)
	br.Reset(nil) // a pooled reader must not keep its connection alive
	p.readers.Put(br)
}

// body is a message body held in buffers of the pool. The zero body is empty.
type body struct {
	bufs []*[bufferSize]byte
	size int
}

// readBody takes all of a message's body, at most maxBody bytes. more says that it may not be all. On an error nothing
// stays taken from the pool.
func (p *pool) readBody(r io.Reader) (b body, more bool, err error) {
	r = wholeBody{r}
	for b.size < maxBody {
		buf := p.buffer()
		b.bufs = append(b.bufs, buf)
		n, err := io.ReadFull(r, buf[:])
		b.size += n
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF: // the end, as ReadFull words it
			if n == 0 {
				p.putBuffer(buf)
				b.bufs = b.bufs[:len(b.bufs)-1]
			}
			return b, false, nil
		case err != nil:
			p.freeBody(&b)
			return body{}, false, fmt.Errorf("body: %w", err)
		}
	}
	return b, true, nil
}

var errCut = errors.New("cut short")

// wholeBody marks an end that came before the body's announced length. It would come as io.ErrUnexpectedEOF, which is
// also what ReadFull makes of a buffer that the end leaves half full.
type wholeBody struct{ io.Reader }

func (w wholeBody) Read(b []byte) (int, error) {
	n, err := w.Reader.Read(b)
	if err == io.ErrUnexpectedEOF {
		err = errCut
	}
	return n, err
}

func (p *pool) freeBody(b *body) {
	for _, buf := range b.bufs {
		p.putBuffer(buf)
	}
	*b = body{}
}

// parts appends the body's bytes to v for one gathered write.
func (b *body) parts(v net.Buffers) net.Buffers {
	left := b.size
	for _, buf := range b.bufs {
		n := min(left, bufferSize)
		v = append(v, buf[:n])
		left -= n
	}
	return v
}

// fixedWriter fills a buffer and notes when it does not suffice.
type fixedWriter struct {
	buf  []byte
	full bool
}

func (w *fixedWriter) Write(b []byte) (int, error) {
	if len(w.buf)+len(b) > cap(w.buf) {
		w.full = true
		return 0, io.ErrShortWrite
	}
	w.buf = append(w.buf, b...)
	return len(b), nil
}
