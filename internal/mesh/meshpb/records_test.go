package meshpb

import "testing"

// Of two records of a source the one of the higher version is the newer; of one version, what the source says
// is newer than a tombstone.
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
		{"a tombstone of what is older", live(2), NewTombstone("p", 0), false},
		{"the forgotten record", NewTombstone("p", 1), live(1), false},
		{"the source of a tombstone's version", NewTombstone("p", 1), live(2), true},
		{"a tombstone of the source's version", live(2), NewTombstone("p", 1), false},
		{"the same tombstone", NewTombstone("p", 1), NewTombstone("p", 1), false},
	} {
		if got := c.new.Supersedes(c.old); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// However often a tombstone is told on, and after however short a time, it does not get younger than it is.
func TestTombstoneExpiresThoughItIsToldOn(t *testing.T) {
	const keptFor = 0.9 // seconds, at each that is told it
	r := NewTombstone("p", 7)
	told := 0
	for ; !r.Expired(); told++ {
		r = r.Aged(float64(r.ForgottenFor) + keptFor)
	}
	if most := TombstoneSeconds / keptFor; float64(told) > most {
		t.Errorf("told on %d times, %.0f times %.1f s are its time", told, most, keptFor)
	}
	if live := (&Record{Source: "p", Version: 7}); live.Aged(100) != live {
		t.Error("the record of a source that is there has an age")
	}
}
