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
	wholeMark = "~whole" // sorts behind all names; written last into a new generation
	headBytes = 8        // of a value in its slot: checksum, sequence
	slots     = 2        // of a name

	bufferBytes = 64 << 10
)

// record is one value as it lies in a file.
type record struct {
	name  string
	seq   uint32
	value []byte // empty: the name was taken away
}

// slot is the key under which a record lies.
func (r record) slot() string { return r.name + slotNames[r.seq%slots] }

// size is how many bytes a record is counted for.
func (r record) size() int64 { return int64(headBytes + len(r.name) + len(r.value)) }

func (r record) text() string {
	buf := make([]byte, headBytes, headBytes+len(r.value))
	binary.BigEndian.PutUint32(buf[4:], r.seq)
	buf = append(buf, r.value...)
	binary.BigEndian.PutUint32(buf, crc32.ChecksumIEEE(buf[4:]))
	return string(buf)
}

// parseRecord reads what lies in a slot; ok is false where that was torn, or is no record.
func parseRecord(key, text string) (r record, ok bool) {
	name := strings.TrimSuffix(strings.TrimSuffix(key, slotNames[0]), slotNames[1])
	if len(name) == len(key) || len(text) < headBytes {
		return record{}, false
	}
	head, rest := []byte(text[:headBytes]), []byte(text[4:])
	if crc32.ChecksumIEEE(rest) != binary.BigEndian.Uint32(head) {
		return record{}, false
	}
	return record{name, binary.BigEndian.Uint32(head[4:]), rest[headBytes-4:]}, true
}

// mark is the text of the whole mark: how many bytes come before it in the file, and their checksum.
type mark struct {
	size     int64
	checksum uint32
}

// slotNames end the keys of a name's slots.
var slotNames = [slots]string{"/0", "/1"}

const (
	markFormat = "%d %08x"
	oldMark    = "1" // of generations written before marks had a checksum
)

func (m mark) text() string { return fmt.Sprintf(markFormat, m.size, m.checksum) }

func parseMark(text string) (m mark, err error) {
	_, err = fmt.Sscanf(text, markFormat, &m.size, &m.checksum)
	return m, err
}

// codec turns pairs of key and text into the bytes of buntdb's log, and back. It reads with a buntdb in memory: buntdb's own files are of no use on a disk that fails, as it passes over an error of their sync
// and panics where it can't cut a torn end.
type codec struct {
	db     *buntdb.DB
	reader *bufio.Reader
	writer *bufio.Writer

	command []byte // room for one
}

func newCodec() (*codec, error) {
	db, err := buntdb.Open(":memory:")
	reader, writer := bufio.NewReaderSize(nil, bufferBytes), bufio.NewWriterSize(nil, bufferBytes)
	return &codec{db: db, reader: reader, writer: writer}, errors.Wrap(err, "store")
}

func (c *codec) close() { _ = c.db.Close() }

func (c *codec) clear() error {
	return c.db.Update(func(tx *buntdb.Tx) error { return tx.DeleteAll() })
}

// encode writes pairs to w in the order of their keys, as buntdb does when it saves itself. It does not go through a database: of a small
// machine's processor that took most of the time of a write.
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

// appendSet appends one command of buntdb's log: an array of three strings, each with its length before it.
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

// decode reads pairs up to the first bytes that make no sense, and gives those that hold at that point in
// the order of their keys.
func (c *codec) decode(r io.Reader, each func(key, text string)) error {
	c.reader.Reset(r)
	_ = c.db.Load(c.reader) // what came before the first senseless byte is in the database
	err := c.db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, text string) bool {
			each(key, text)
			return true
		})
	})
	return errors.CombineErrors(err, c.clear())
}
