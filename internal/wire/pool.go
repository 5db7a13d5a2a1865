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
	// BufferSize is the size of every buffer. A message head fits into one buffer; a body uses as many as it needs.
	BufferSize = 16 << 10
	// MaxBody is the maximum number of body bytes that ReadBody holds in memory.
	MaxBody = bodies.MaxBuffered
)

// Pool reuses buffers and bufio.Readers of BufferSize. Live counts those in use: if the count does not return to zero when all
// connections are closed, there is a leak.
type Pool struct {
	buffers, readers sync.Pool
	live             atomic.Int64
}

// Live returns the number of buffers and readers in use.
func (p *Pool) Live() int64 { return p.live.Load() }

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		buffers: sync.Pool{New: func() any { return new([BufferSize]byte) }},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, BufferSize) }},
	}
}

// Buffer returns a buffer with undefined content.
func (p *Pool) Buffer() *[BufferSize]byte {
	p.live.Add(1)
	return p.buffers.Get().(*[BufferSize]byte)
}

// PutBuffer returns a buffer to the pool.
func (p *Pool) PutBuffer(b *[BufferSize]byte) {
	p.live.Add(-1)
	p.buffers.Put(b)
}

// Reader returns a buffered reader of r.
func (p *Pool) Reader(r io.Reader) *bufio.Reader {
	p.live.Add(1)
	br := p.readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

// PutReader returns a reader to the pool.
func (p *Pool) PutReader(br *bufio.Reader) {
	p.live.Add(-1)
	br.Reset(nil) // a pooled reader must not keep its connection alive
	p.readers.Put(br)
}

// Body is a message body held in pool buffers. Its zero value is an empty body.
type Body struct {
	Bufs []*[BufferSize]byte
	Size int
}

// ReadBody reads a message body of at most MaxBody bytes. If more is true, the limit was reached and the body may continue.
// On an error all buffers have been returned to the pool.
func (p *Pool) ReadBody(r io.Reader) (b Body, more bool, err error) {
	r = TruncationReader{r}
	for b.Size < MaxBody {
		buf := p.Buffer()
		b.Bufs = append(b.Bufs, buf)
		n, err := io.ReadFull(r, buf[:])
		b.Size += n
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF: // both mean the end of the body here
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

// ErrTruncated is returned for a body that ended before its announced length.
var ErrTruncated = errors.New("cut short")

// TruncationReader returns ErrTruncated for a body that ends before its announced length. net/http reports this as
// io.ErrUnexpectedEOF, which io.ReadFull also returns when a complete body fills only a part of the buffer.
type TruncationReader struct{ io.Reader }

func (t TruncationReader) Read(b []byte) (int, error) {
	n, err := t.Reader.Read(b)
	if err == io.ErrUnexpectedEOF {
		err = ErrTruncated
	}
	return n, err
}

// FreeBody returns a body's buffers to the pool and makes the body empty.
func (p *Pool) FreeBody(b *Body) {
	for _, buf := range b.Bufs {
		p.PutBuffer(buf)
	}
	*b = Body{}
}

// AppendTo appends the body's buffers to v, so that one vectored write can send them.
func (b *Body) AppendTo(v net.Buffers) net.Buffers {
	remaining := b.Size
	for _, buf := range b.Bufs {
		n := min(remaining, BufferSize)
		v = append(v, buf[:n])
		remaining -= n
	}
	return v
}

// FixedWriter writes into Buf up to its capacity and sets Full when a write does not fit.
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
