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

// A frame is a message's length in four bytes and the encoded message, which ends with its checksum. A large
// message is sent in pieces, each with a length of its own.

// AppendFrame appends the frame of a message to buf: its length in four bytes, then the encoded message, which
// ends with its checksum.
func AppendFrame(buf []byte, p *meshpb.Message) ([]byte, error) {
	at := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, p)
	if err != nil {
		return buf, errors.Wrap(err, "encode message")
	}
	buf = appendChecksum(buf, at+frameHeaderBytes)
	size := len(buf) - at - frameHeaderBytes
	if size > MaxFrame {
		return buf, errors.Newf("message of %d bytes exceeds the frame limit", size)
	}
	binary.BigEndian.PutUint32(buf[at:], uint32(size))
	return buf, nil
}

// Reader reads messages from a connection.
type Reader struct {
	br              *bufio.Reader
	onPart          func() // called while a large message is still arriving; may be nil
	partial         []byte // pieces of a large message received so far
	requireChecksum bool   // the sender adds checksums, so every message must have one; older processes add none
}

// NewReader returns a Reader. onPart may be nil.
func NewReader(br *bufio.Reader, onPart func()) *Reader { return &Reader{br: br, onPart: onPart} }

// Read reads one message.
func (r *Reader) Read() (*meshpb.Message, error) {
	for {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(r.br, header[:]); err != nil {
			return nil, err
		}
		lengthWord := binary.BigEndian.Uint32(header[:])
		size := int(lengthWord &^ (pieceFlag | lastPieceFlag))
		switch {
		case size > MaxFrame || len(r.partial)+size > MaxFrame:
			return nil, errors.Newf("frame of %d bytes exceeds the limit", len(r.partial)+size)
		case lengthWord&pieceFlag == 0 && size <= r.br.Size(): // decoded within the read buffer; decoding copies what it keeps
			b, err := r.br.Peek(size)
			if err != nil {
				return nil, err
			}
			p, err := r.decode(b)
			r.br.Discard(size)
			return p, err
		case lengthWord&pieceFlag == 0:
			b, err := appendBytes(nil, r.br, size)
			if err != nil {
				return nil, err
			}
			return r.decode(b)
		}
		var err error
		if r.partial, err = appendBytes(r.partial, r.br, size); err != nil {
			return nil, err
		}
		if lengthWord&lastPieceFlag != 0 {
			b := r.partial
			r.partial = nil
			return r.decode(b)
		}
		if r.onPart != nil {
			r.onPart()
		}
	}
}

// appendBytes appends size bytes from br to b. It allocates only as bytes arrive, so that a corrupted length
// does not cost memory.
func appendBytes(b []byte, br *bufio.Reader, size int) ([]byte, error) {
	for size > 0 {
		n := min(size, readChunkBytes)
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

// decode decodes one message. An invalid checksum is an error, after which the caller closes the connection.
func (r *Reader) decode(b []byte) (*meshpb.Message, error) {
	present, err := verifyChecksum(b)
	if err == nil && r.requireChecksum && !present {
		err = errChecksum
	}
	if err != nil {
		return nil, err
	}
	r.requireChecksum = present
	p := &meshpb.Message{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	p.Checksum = 0 // the checksum belongs to the frame, not to the message
	return p, nil
}
