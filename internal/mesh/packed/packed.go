// Package packed compresses large texts, such as configurations, for transfer and storage. A packed text is in gzip format and
// is recognized by the first bytes of that format, with which no configuration starts.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	minPackedSize   = 4 << 10  // smallest text in bytes that is compressed
	maxUnpackedSize = 64 << 20 // largest text in bytes after decompression: a larger one is treated as corrupt
)

var magic = []byte{0x1f, 0x8b}

// Pack returns a text as it is stored and sent. A small text, or one that does not get smaller, is returned unchanged.
func Pack(text []byte) []byte {
	if len(text) < minPackedSize {
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

// Unpack returns the original of a packed text. A plain text is returned unchanged.
func Unpack(text []byte) ([]byte, error) {
	if !bytes.HasPrefix(text, magic) {
		return text, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "decompress packed text")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedSize+1))
	if err == nil && len(plain) > maxUnpackedSize {
		err = errors.Newf("decompressed size exceeds %d bytes", maxUnpackedSize)
	}
	return plain, errors.Wrap(err, "decompress packed text")
}
