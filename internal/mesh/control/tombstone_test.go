package control

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
)

// newServer makes a server that is a member of no view.
func newServer(t *testing.T) *Server {
	t.Helper()
	s, err := New(1, Options{Self: "here", Life: 5, RandomSeed: 1}, map[string][]byte{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A tombstone keeps older records out for its time, counted from when any server forgot the source. Then it is
// dropped, and an expired one that another server still tells is not taken anew.
func TestTombstoneIsDroppedAfterItsTime(t *testing.T) {
	s := newServer(t)
	const age = 600
	tombstone := meshpb.NewTombstone("p", 3)
	tombstone.ForgottenFor = age
	s.learnRecord(1, &meshpb.Record{Source: "p", Version: 3}, false)
	s.learnRecord(1, tombstone, false)
	s.learnRecord(2, &meshpb.Record{Source: "p", Version: 3}, false)
	last := 1.0 + meshpb.TombstoneSeconds - age
	s.tickTombstones(last)
	if r := s.propagation.records["p"]; !r.IsTombstone() {
		t.Fatalf("%v in place of the tombstone", r)
	}
	if told := s.aged(last, tombstone); !told.Expired() {
		t.Errorf("told at its end as forgotten for %d s", told.ForgottenFor)
	}
	s.tickTombstones(last + 1)
	expired := meshpb.NewTombstone("p", 3)
	expired.ForgottenFor = meshpb.TombstoneSeconds
	s.learnRecord(last+1, expired, false)
	if r := s.propagation.records["p"]; r != nil {
		t.Errorf("%v is kept after its time", r)
	}
	if n := len(s.propagation.tombstones.createdAt) + len(s.propagation.lastHeard); n > 0 {
		t.Errorf("%d things are remembered of it", n)
	}
}

// A proxy names a newer version than the tombstone here has: the time to be forgotten runs anew, and the next
// tombstone is above what was named.
func TestNamedVersionIsForgottenToo(t *testing.T) {
	s := newServer(t)
	s.learnRecord(1, meshpb.NewTombstone("p", 3), false)
	s.recordSeenVersions(2, []*meshpb.Seen{{Source: "p", Version: 4}})
	if _, heard := s.propagation.lastHeard["p"]; heard {
		t.Error("a version that is not newer begins its time anew")
	}
	s.recordSeenVersions(2, []*meshpb.Seen{{Source: "p", Version: 9}})
	if silent := s.silentSources(2 + silentAfter + 1); len(silent) != 1 {
		t.Errorf("silent are %v", silent)
	}
	s.putTombstone(40, "p")
	if r := s.propagation.records["p"]; !r.IsTombstone() || r.Version != 10 {
		t.Errorf("the tombstone is %v", r)
	}
}
