package store

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/buntdb"
)

const (
	completionMark = "~whole" // sorts after all names; written last into a new generation
	headerBytes    = 8        // header of a value in its slot: checksum and sequence number
	slots          = 2        // slots of each name

	bufferBytes = 64 << 10
)

// record is one value as stored in a file.
type record struct {
	name  string
	seq   uint32
	value []byte // empty: the name was removed
}

// slot returns the key that a record is stored under.
func (r record) slot() string { return r.name + slotSuffixes[r.seq%slots] }

// size returns the bytes that a record counts for.
func (r record) size() int64 { return int64(headerBytes + len(r.name) + len(r.value)) }

// text returns the content of the slot that a record is stored in.
func (r record) text() string {
	buf := make([]byte, headerBytes, headerBytes+len(r.value))
	binary.BigEndian.PutUint32(buf[4:], r.seq)
	buf = append(buf, r.value...)
	binary.BigEndian.PutUint32(buf, crc32.ChecksumIEEE(buf[4:]))
	return string(buf)
}

// slotName returns the name that a slot belongs to; ok is false if the key is not that of a slot. Exactly one suffix is
// removed, because names may end in a suffix themselves.
func slotName(key string) (name string, ok bool) {
	for _, suffix := range slotSuffixes {
		if name, ok = strings.CutSuffix(key, suffix); ok {
			return name, true
		}
	}
	return "", false
}

// parseRecord decodes the content of a slot; ok is false if the slot is torn or holds no record.
func parseRecord(key, text string) (r record, ok bool) {
	name, ok := slotName(key)
	if !ok || len(text) < headerBytes {
		return record{}, false
	}
	header, rest := []byte(text[:headerBytes]), []byte(text[4:])
	if crc32.ChecksumIEEE(rest) != binary.BigEndian.Uint32(header) {
		return record{}, false
	}
	return record{name, binary.BigEndian.Uint32(header[4:]), rest[headerBytes-4:]}, true
}

// mark is the content of a completion mark: the number of bytes before it in the file, and their checksum.
type mark struct {
	size     int64
	checksum uint32
}

// slotSuffixes are appended to a name to form the keys of its slots.
var slotSuffixes = [slots]string{"/0", "/1"}

const (
	markFormat = "%d %08x"
	legacyMark = "1" // mark of generations written before marks had a checksum
)

// text encodes a mark.
func (m mark) text() string { return fmt.Sprintf(markFormat, m.size, m.checksum) }

// parseMark decodes a mark.
func parseMark(text string) (m mark, err error) {
	_, err = fmt.Sscanf(text, markFormat, &m.size, &m.checksum)
	return m, err
}

// codec encodes key-text pairs in the format of buntdb's log and decodes them. It decodes with an in-memory
// buntdb. buntdb's own file handling is unsuitable for a failing disk: it ignores an error of its sync, and
// panics if it cannot truncate a torn end.
type codec struct {
	db     *buntdb.DB
	reader *bufio.Reader
	writer *bufio.Writer

	command []byte // reusable buffer for one command
}

// newCodec returns a codec, which must be closed after use.
func newCodec() (*codec, error) {
	db, err := buntdb.Open(":memory:")
	reader, writer := bufio.NewReaderSize(nil, bufferBytes), bufio.NewWriterSize(nil, bufferBytes)
	return &codec{db: db, reader: reader, writer: writer}, errors.Wrap(err, "store")
}

func (c *codec) close() { _ = c.db.Close() }

// clear removes everything that was decoded from the database.
func (c *codec) clear() error {
	return c.db.Update(func(tx *buntdb.Tx) error { return tx.DeleteAll() })
}

// encode writes pairs to w in the order of their keys, as buntdb does when it saves itself. It bypasses the
// database, which took most of the time of a write on a small machine's processor.
func (c *codec) encode(w io.Writer, pairs map[string]string) error {
	c.writer.Reset(w)
	for _, key := range slices.Sorted(maps.Keys(pairs)) {
		c.command = appendSet(c.command[:0], key, pairs[key])
		if _, err := c.writer.Write(c.command); err != nil {
			return err
		}
	}
	return c.writer.Flush()
}

// appendSet appends one "set" command of buntdb's log: an array of three strings, each preceded by its length.
func appendSet(buf []byte, key, text string) []byte {
	buf = append(buf, "*3\r\n$3\r\nset\r\n"...)
	for _, s := range []string{key, text} {
		buf = append(buf, '$')
		buf = strconv.AppendInt(buf, int64(len(s)), 10)
		buf = append(buf, "\r\n"...)
		buf = append(buf, s...)
		buf = append(buf, "\r\n"...)
	}
	return buf
}

// decode reads pairs up to the first invalid bytes, and passes the pairs that are set at that point to visit in
// the order of their keys.
func (c *codec) decode(r io.Reader, visit func(key, text string)) error {
	c.reader.Reset(r)
	_ = c.db.Load(c.reader) // the database holds all pairs before the first invalid byte
	err := c.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, text string) bool {
			visit(key, text)
			return true
		})
	})
	return errors.CombineErrors(err, c.clear())
}
