package control

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
)

// An order whose number was passed over is taken under one text only.
func TestNumberThatWasPassedOverStandsForOneText(t *testing.T) {
	order := func(held *meshpb.Config, version uint64, text string) (*meshpb.Config, OrderResult) {
		hash := hashOf([]byte(text))
		result, open := judge(held, version, hash)
		if open {
			held = succeed(held, version, []byte(text), hash)
		}
		return held, result
	}
	held, _ := order(nil, 1, "one")
	held, _ = order(held, 3, "three")
	held, first := order(held, 2, "two")
	_, again := order(held, 2, "two")
	_, other := order(held, 2, "another")
	if first != OrderTaken || again != OrderTaken || other != OrderConflict {
		t.Fatalf("told %v, again %v, another text %v", first, again, other)
	}
	if held.Version != 3 || string(held.Text) != "three" {
		t.Fatalf("in force: %d %q", held.Version, held.Text)
	}
}
