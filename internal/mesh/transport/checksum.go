package transport

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// checksumNumber is the number of Message.checksum in the protocol buffers.
const checksumNumber = 42

const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumTag is what stands before the checksum in a message's bytes.
var checksumTag = protowire.AppendTag(nil, checksumNumber, protowire.Fixed32Type)

// errChecksum tells of a frame that is not what its sender made.
var errChecksum = errors.New("frame with a wrong checksum")

// appendChecksum ends a message's bytes, which begin at a place in buf, with their checksum.
func appendChecksum(buf []byte, from int) []byte {
	sum := crc32.Checksum(buf[from:], castagnoli)
	return binary.LittleEndian.AppendUint32(append(buf, checksumTag...), sum)
}

// checkSum looks at the checksum that a message's bytes end with, and says whether there is one.
func checkSum(message []byte) (present bool, err error) {
	end := len(message) - checksumBytes - len(checksumTag)
	if end < 0 || string(message[end:end+len(checksumTag)]) != string(checksumTag) {
		return false, nil
	}
	told := binary.LittleEndian.Uint32(message[end+len(checksumTag):])
	if told != crc32.Checksum(message[:end], castagnoli) {
		return true, errChecksum
	}
	return true, nil
}
