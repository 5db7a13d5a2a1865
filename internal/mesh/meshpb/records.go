package meshpb

import (
	"math"

	"google.golang.org/protobuf/proto"
)

// TombstoneSeconds is how long the tombstone of a removed source is kept. The time counts across all processes that pass the
// tombstone on.
const TombstoneSeconds = 3600

// NewTombstone returns the record that marks a source as removed. It replaces the source's record of the given version.
func NewTombstone(source string, version uint64) *Record {
	return &Record{Source: source, Version: version + 1, Condition: Gone, ForgottenFor: 1}
}

// IsTombstone reports whether a record marks its source as removed.
func (x *Record) IsTombstone() bool { return x.GetForgottenFor() > 0 }

// Expired reports whether a tombstone has reached the age at which it is deleted.
func (x *Record) Expired() bool { return x.GetForgottenFor() >= TombstoneSeconds }

// Supersedes reports whether a record is newer than another one of the same source, which is nil if none is known. If the
// versions are equal, the source's own record supersedes a tombstone.
func (x *Record) Supersedes(old *Record) bool {
	switch {
	case old == nil || x.Version > old.Version:
		return true
	case x.Version < old.Version:
		return false
	}
	return old.IsTombstone() && !x.IsTombstone()
}

// Aged returns a record as it is sent to other processes. For a tombstone this is a copy with its age in seconds, rounded up, so
// that a tombstone expires however often it is passed on.
func (x *Record) Aged(seconds float64) *Record {
	if !x.IsTombstone() {
		return x
	}
	aged := proto.Clone(x).(*Record)
	aged.ForgottenFor = uint32(max(1, math.Ceil(seconds)))
	return aged
}
