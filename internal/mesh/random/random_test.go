package random

import "testing"

// The numbers are those of splitmix64 as published, so a seed gives the same numbers in every version.
func TestNumbersOfASeed(t *testing.T) {
	source := Source(1234567)
	for _, want := range []uint64{6457827717110365317, 3203168211198807973, 9817491932198370423} {
		if got := source.Next(); got != want {
			t.Errorf("%d, want %d", got, want)
		}
	}
}
