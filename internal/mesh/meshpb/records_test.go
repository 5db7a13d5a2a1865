package meshpb

import "testing"

// The record with the higher version supersedes the other one. At equal versions, the source's own record supersedes a tombstone.
func TestSupersedes(t *testing.T) {
	live := func(version uint64) *Record { return &Record{Source: "p", Version: version} }
	for _, c := range []struct {
		name     string
		old, new *Record
		want     bool
	}{
		{"the first", nil, live(0), true},
		{"older", live(2), live(1), false},
		{"the same", live(1), live(1), false},
		{"newer", live(1), live(2), true},
		{"a tombstone", live(1), NewTombstone("p", 1), true},
		{"a tombstone of an older record", live(2), NewTombstone("p", 0), false},
		{"the record that the tombstone replaced", NewTombstone("p", 1), live(1), false},
		{"the source's record at the tombstone's version", NewTombstone("p", 1), live(2), true},
		{"a tombstone at the version of the source's record", live(2), NewTombstone("p", 1), false},
		{"the same tombstone", NewTombstone("p", 1), NewTombstone("p", 1), false},
	} {
		if got := c.new.Supersedes(c.old); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A tombstone's age increases with each hop, however short the time at a hop is. Without rounding up, a tombstone that is passed
// on quickly would never expire.
func TestTombstoneExpiresThoughItIsToldOn(t *testing.T) {
	const hopSeconds = 0.9 // time that each process keeps the tombstone before passing it on
	r := NewTombstone("p", 7)
	hops := 0
	for ; !r.Expired(); hops++ {
		r = r.Aged(float64(r.ForgottenFor) + hopSeconds)
	}
	if maxHops := TombstoneSeconds / hopSeconds; float64(hops) > maxHops {
		t.Errorf("tombstone expired after %d hops, want at most %.0f hops of %.1f s", hops, maxHops, hopSeconds)
	}
	if live := (&Record{Source: "p", Version: 7}); live.Aged(100) != live {
		t.Error("Aged changed a record that is no tombstone")
	}
}
