package packed

import (
	"bytes"
	"crypto/rand"
	"strings"
	"testing"
)

// Every text is restored unchanged. A large repetitive text is stored in less than a fifth of its size.
func TestPackAndUnpack(t *testing.T) {
	noise := make([]byte, 3*minPackedSize)
	rand.Read(noise)
	routes := []byte(strings.Repeat(`{"name":"route","lanePrefix":"/a/","carrier":"shop"},`, 4000))
	for name, text := range map[string][]byte{"empty": nil, "small": []byte("{}"), "noise": noise, "routes": routes} {
		stored := Pack(text)
		plain, err := Unpack(stored)
		if err != nil || !bytes.Equal(plain, text) {
			t.Errorf("%s: %d bytes restored as %d, %v", name, len(text), len(plain), err)
		}
	}
	if stored := Pack(routes); len(stored) > len(routes)/5 {
		t.Errorf("%d bytes are stored in %d", len(routes), len(stored))
	}
}

// A truncated or modified packed text is an error, wherever it is truncated.
func TestSpoiltTextIsAnError(t *testing.T) {
	stored := Pack([]byte(strings.Repeat("configuration ", 2000)))
	for at := 2; at < len(stored); at++ {
		if _, err := Unpack(stored[:at]); err == nil {
			t.Fatalf("truncated at %d of %d: no error", at, len(stored))
		}
	}
	stored[len(stored)/2] ^= 0x55
	if _, err := Unpack(stored); err == nil {
		t.Error("a changed byte: no error")
	}
}
