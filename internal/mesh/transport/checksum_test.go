package transport

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// testAnswer returns an answer in which every byte matters.
func testAnswer() *meshpb.Message {
	forwarded := &meshpb.Forwarded{
		Status: 200,
		Body:   []byte("one copper kettle"),
		Fields: []*meshpb.Field{{Name: "Beechwing-Postmark", Value: "i-1.77"}},
	}
	return &meshpb.Message{Id: 1 << 40, Life: 1 << 50, Forwarded: forwarded}
}

// A message with a flipped bit must never be taken for another message: wherever the bit, the reader returns an
// error or the message as it was sent.
func TestChangedBitsMakeNoOtherMessage(t *testing.T) {
	want := testAnswer()
	hello, err := AppendFrame(nil, &meshpb.Message{Hello: &meshpb.Hello{From: "10.0.0.9:7000"}})
	if err != nil {
		t.Fatal(err)
	}
	clean, err := AppendFrame(bytes.Clone(hello), want)
	if err != nil {
		t.Fatal(err)
	}
	wrong, rejected := 0, 0
	for at := len(hello) * 8; at < len(clean)*8; at++ {
		changed := bytes.Clone(clean)
		changed[at/8] ^= 1 << (at % 8)
		r := NewReader(bufio.NewReader(bytes.NewReader(changed)), nil)
		if _, err := r.Read(); err != nil {
			t.Fatal(err)
		}
		switch m, err := r.Read(); {
		case err != nil:
			rejected++
		case !proto.Equal(m, want):
			wrong++
		}
	}
	if wrong > 0 || rejected == 0 {
		bits := (len(clean) - len(hello)) * 8
		t.Errorf("%d of %d flipped bits gave another message, %d were rejected", wrong, bits, rejected)
	}
}

// Messages without a checksum come from older processes and are accepted, but not after a message with a
// checksum on the same connection.
func TestMessagesWithoutChecksum(t *testing.T) {
	want := testAnswer()
	bare, err := proto.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	old := append([]byte{0, 0, 0, byte(len(bare))}, bare...)
	if m, err := NewReader(bufio.NewReader(bytes.NewReader(old)), nil).Read(); err != nil || !proto.Equal(m, want) {
		t.Errorf("message without checksum from an older process: %v, %v", m, err)
	}
	mixed, err := AppendFrame(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	r := NewReader(bufio.NewReader(bytes.NewReader(append(mixed, old...))), nil)
	if m, err := r.Read(); err != nil || !proto.Equal(m, want) {
		t.Errorf("message with checksum: %v, %v", m, err)
	}
	if _, err := r.Read(); err == nil {
		t.Error("a message without checksum was accepted after one with a checksum")
	}
}
