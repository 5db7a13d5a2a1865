package transport

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// checksumNumber is the field number of Message.checksum in mesh.proto.
const checksumNumber = 42

const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumTag is the protobuf tag that precedes the checksum in an encoded message.
var checksumTag = protowire.AppendTag(nil, checksumNumber, protowire.Fixed32Type)

// errChecksum reports a frame whose bytes changed in transit, or that lacks an expected checksum.
var errChecksum = errors.New("frame checksum missing or wrong")

// appendChecksum appends the checksum of buf[from:], which is one encoded message.
func appendChecksum(buf []byte, from int) []byte {
	sum := crc32.Checksum(buf[from:], castagnoli)
	return binary.LittleEndian.AppendUint32(append(buf, checksumTag...), sum)
}

// verifyChecksum verifies the checksum at the end of an encoded message; present reports whether there is one.
func verifyChecksum(message []byte) (present bool, err error) {
	end := len(message) - checksumBytes - len(checksumTag)
	if end < 0 || string(message[end:end+len(checksumTag)]) != string(checksumTag) {
		return false, nil
	}
	received := binary.LittleEndian.Uint32(message[end+len(checksumTag):])
	if received != crc32.Checksum(message[:end], castagnoli) {
		return true, errChecksum
	}
	return true, nil
}
