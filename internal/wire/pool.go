package wire

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
	// BufferSize is the one size of all buffers: a message's head fits into one, a body takes as many as it needs.
	BufferSize = 16 << 10
	// MaxBody is how many bytes of a body are read at once.
	MaxBody = bodies.Kept
)

// Pool hands out buffers and bufio.Readers of BufferSize and takes them back. Live counts what is out: a number
// that does not come back to zero when all connections are closed is a leak.
type Pool struct {
	buffers, readers sync.Pool
	live             atomic.Int64
}

// Live is how many buffers and readers are out.
func (p *Pool) Live() int64 { return p.live.Load() }

// NewPool makes a pool.
func NewPool() *Pool {
	return &Pool{
		buffers: sync.Pool{New: func() any { return new([BufferSize]byte) }},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, BufferSize) }},
	}
}

// Buffer gives a buffer, whose content is of no account.
func (p *Pool) Buffer() *[BufferSize]byte {
	p.live.Add(1)
	return p.buffers.Get().(*[BufferSize]byte)
}

// PutBuffer takes a buffer back.
func (p *Pool) PutBuffer(b *[BufferSize]byte) {
	p.live.Add(-1)
	p.buffers.Put(b)
}

// Reader gives a reader of r.
func (p *Pool) Reader(r io.Reader) *bufio.Reader {
	p.live.Add(1)
	br := p.readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

// PutReader takes a reader back.
func (p *Pool) PutReader(br *bufio.Reader) {
	p.live.Add(-1)
	br.Reset(nil) // a pooled reader must not keep its connection alive
	p.readers.Put(br)
}

// Body is a message body held in buffers of the pool. The zero body is empty.
type Body struct {
	Bufs []*[BufferSize]byte
	Size int
}

// ReadBody takes all of a message's body, at most MaxBody bytes. more says that it may not be all. On an error nothing
// stays taken from the pool.
func (p *Pool) ReadBody(r io.Reader) (b Body, more bool, err error) {
	r = WholeBody{r}
	for b.Size < MaxBody {
		buf := p.Buffer()
		b.Bufs = append(b.Bufs, buf)
		n, err := io.ReadFull(r, buf[:])
		b.Size += n
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF: // the end, as ReadFull words it
			if n == 0 {
				p.PutBuffer(buf)
				b.Bufs = b.Bufs[:len(b.Bufs)-1]
			}
			return b, false, nil
		case err != nil:
			p.FreeBody(&b)
			return Body{}, false, fmt.Errorf("body: %w", err)
		}
	}
	return b, true, nil
}

// ErrCut tells of a body that ended before its announced length.
var ErrCut = errors.New("cut short")

// WholeBody marks an end that came before the body's announced length. It would come as io.ErrUnexpectedEOF, which is
// also what ReadFull makes of a buffer that the end leaves half full.
type WholeBody struct{ io.Reader }

func (w WholeBody) Read(b []byte) (int, error) {
	n, err := w.Reader.Read(b)
	if err == io.ErrUnexpectedEOF {
		err = ErrCut
	}
	return n, err
}

// FreeBody takes a body's buffers back.
func (p *Pool) FreeBody(b *Body) {
	for _, buf := range b.Bufs {
		p.PutBuffer(buf)
	}
	*b = Body{}
}

// Parts appends the body's bytes to v for one gathered write.
func (b *Body) Parts(v net.Buffers) net.Buffers {
	left := b.Size
	for _, buf := range b.Bufs {
		n := min(left, BufferSize)
		v = append(v, buf[:n])
		left -= n
	}
	return v
}

// FixedWriter fills a buffer and notes when it does not suffice.
type FixedWriter struct {
	Buf  []byte
	Full bool
}

func (w *FixedWriter) Write(b []byte) (int, error) {
	if len(w.Buf)+len(b) > cap(w.Buf) {
		w.Full = true
		return 0, io.ErrShortWrite
	}
	w.Buf = append(w.Buf, b...)
	return len(b), nil
}
