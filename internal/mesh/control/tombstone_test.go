package control

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
)

// newServer returns a server without a view.
func newServer(t *testing.T) *Server {
	t.Helper()
	s, err := New(1, Options{Self: "here", Life: 5, RandomSeed: 1}, map[string][]byte{})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A tombstone keeps older records out until it expires, counted from the time when any server forgot the source. Then it is
// dropped, and an expired tombstone from another server must not be taken.
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
		t.Fatalf("found %v in place of the tombstone", r)
	}
	if sent := s.aged(last, tombstone); !sent.Expired() {
		t.Errorf("sent with an age of %d s at its end, want it expired", sent.ForgottenFor)
	}
	s.tickTombstones(last + 1)
	expired := meshpb.NewTombstone("p", 3)
	expired.ForgottenFor = meshpb.TombstoneSeconds
	s.learnRecord(last+1, expired, false)
	if r := s.propagation.records["p"]; r != nil {
		t.Errorf("expired tombstone %v is kept", r)
	}
	if n := len(s.propagation.tombstones.createdAt) + len(s.propagation.lastHeard); n > 0 {
		t.Errorf("%d entries of the source remain", n)
	}
}

// A proxy names a newer version than that of the tombstone here. The source must count as heard again, and the next tombstone
// must exceed the named version.
func TestNamedVersionIsForgottenToo(t *testing.T) {
	s := newServer(t)
	s.learnRecord(1, meshpb.NewTombstone("p", 3), false)
	s.recordSeenVersions(2, []*meshpb.Seen{{Source: "p", Version: 4}})
	if _, heard := s.propagation.lastHeard["p"]; heard {
		t.Error("a version that is not newer counts as hearing the source")
	}
	s.recordSeenVersions(2, []*meshpb.Seen{{Source: "p", Version: 9}})
	if silent := s.silentSources(2 + silentAfter + 1); len(silent) != 1 {
		t.Errorf("silent sources are %v, want one", silent)
	}
	s.putTombstone(40, "p")
	if r := s.propagation.records["p"]; !r.IsTombstone() || r.Version != 10 {
		t.Errorf("the tombstone is %v", r)
	}
}
