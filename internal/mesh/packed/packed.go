// Package packed makes large texts small for the way and the disk. A packed text is gzip's, and told from a plain one by its first bytes,
// with which no configuration begins.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	least = 4 << 10  // bytes of a text that is worth it
	most  = 64 << 20 // bytes of a text when it is unpacked: what claims to be more is spoilt
)

var magic = []byte{0x1f, 0x8b}

// Pack gives a text as it is kept and sent: a small one, or one that does not get smaller, as it is.
func Pack(text []byte) []byte {
	if len(text) < least {
		return text
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(text)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil || out.Len() >= len(text) {
		return text
	}
	return out.Bytes()
}

// Unpack gives the text that was packed. A plain text is given as it is.
func Unpack(text []byte) ([]byte, error) {
	if !bytes.HasPrefix(text, magic) {
		return text, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "packed text")
	}
	plain, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && len(plain) > most {
		err = errors.Newf("more than %d bytes", most)
	}
	return plain, errors.Wrap(err, "packed text")
}
