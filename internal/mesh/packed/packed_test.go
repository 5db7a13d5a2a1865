package packed

import (
	"bytes"
	"crypto/rand"
	"strings"
	"testing"
)

// Every text comes back as it was; a large one that repeats itself is kept in less than a fifth.
func TestPackAndUnpack(t *testing.T) {
	noise := make([]byte, 3*least)
	rand.Read(noise)
	routes := []byte(strings.Repeat(`{"name":"route","lanePrefix":"/a/","carrier":"shop"},`, 4000))
	for name, text := range map[string][]byte{"empty": nil, "small": []byte("{}"), "noise": noise, "routes": routes} {
		kept := Pack(text)
		plain, err := Unpack(kept)
		if err != nil || !bytes.Equal(plain, text) {
			t.Errorf("%s: %d bytes come back as %d, %v", name, len(text), len(plain), err)
		}
	}
	if kept := Pack(routes); len(kept) > len(routes)/5 {
		t.Errorf("%d bytes are kept in %d", len(routes), len(kept))
	}
}

// What is spoilt is an error, wherever it is cut or changed.
func TestSpoiltTextIsAnError(t *testing.T) {
	kept := Pack([]byte(strings.Repeat("configuration ", 2000)))
	for at := 2; at < len(kept); at++ {
		if _, err := Unpack(kept[:at]); err == nil {
			t.Fatalf("cut at %d of %d: no error", at, len(kept))
		}
	}
	kept[len(kept)/2] ^= 0x55
	if _, err := Unpack(kept); err == nil {
		t.Error("a changed byte: no error")
	}
}
