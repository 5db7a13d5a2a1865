package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// Frames: a message's length in four bytes, then the message, which its checksum ends; a large one goes in pieces.

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
