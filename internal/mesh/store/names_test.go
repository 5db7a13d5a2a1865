package store

import (
	"fmt"
	"maps"
	"testing"
)

// TestNamesThatEndLikeSlots guards against a slot that is read back as the record of another name: a name that itself ended
// in a slot's suffix replaced the record of the shorter name, and its own newest value was lost.
func TestNamesThatEndLikeSlots(t *testing.T) {
	names := []string{"k", "k/0", "k/1", "k/0/0", "k/0/1", "k/1/0", "k/1/1", "/0", "/1", "/", "", completionMark,
		completionMark + "/0", "k.\n", "k.\x00/1"}
	for writes := 1; writes <= 4; writes++ {
		disk := newMemoryDisk(nil)
		s, _, _ := openMemory(t, disk)
		expected := map[string]string{}
		for i, name := range names {
			for n := range (writes+i)%5 + 1 { // names have different sequence numbers
				expected[name] = fmt.Sprintf("%q %d", name, n)
				write(t, s, Put{name, []byte(expected[name])})
			}
		}
		for start := range 3 { // the second start reads the generation that the first one wrote
			again, values, _ := openMemory(t, disk)
			read := map[string]string{}
			for name, value := range values {
				read[name] = string(value)
			}
			if !maps.Equal(read, expected) {
				t.Fatalf("%d writes, start %d: read back %q, written %q", writes, start, read, expected)
			}
			write(t, again, Put{names[start], []byte(expected[names[start]])})
		}
	}
}
