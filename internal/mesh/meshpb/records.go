package meshpb

import (
	"math"

	"google.golang.org/protobuf/proto"
)

// TombstoneSeconds is how long the tombstone of a source that was forgotten is kept, counted over all that
// tell it.
const TombstoneSeconds = 3600

// NewTombstone is the record of a source that is forgotten, in place of one of the given version.
func NewTombstone(source string, version uint64) *Record {
	return &Record{Source: source, Version: version + 1, Condition: Gone, ForgottenFor: 1}
}

// IsTombstone reports whether a record says that its source is forgotten.
func (x *Record) IsTombstone() bool { return x.GetForgottenFor() > 0 }

// Expired reports whether a tombstone is too old to be kept.
func (x *Record) Expired() bool { return x.GetForgottenFor() >= TombstoneSeconds }

// Supersedes reports whether a record is newer than another of the same source; nil: none is known. Of one
// version, what the source says itself is the newer.
func (x *Record) Supersedes(old *Record) bool {
	switch {
	case old == nil || x.Version > old.Version:
		return true
	case x.Version < old.Version:
		return false
	}
	return old.IsTombstone() && !x.IsTombstone()
}

// Aged is a record to be told to others. Of a tombstone it tells since how many seconds the source is
// forgotten, rounded up: it expires everywhere, however often it is told.
func (x *Record) Aged(seconds float64) *Record {
	if !x.IsTombstone() {
		return x
	}
	aged := proto.Clone(x).(*Record)
	aged.ForgottenFor = uint32(max(1, math.Ceil(seconds)))
	return aged
}
