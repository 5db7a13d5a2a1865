package register

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// A server that joins reads what the others hold, page by page, in the order in which their entries changed. What changed after a
// page was read comes in a later one, so a second pass costs what changed since the first, and catching up costs what is live and
// not what has happened. Once it has read, from a quorum of the old members that go by the joint view, everything up to the moment
// at which they took that view, it holds whatever was chosen before: none of them takes part in older ballots any more.

// pageBytes bounds one page.
const pageBytes = 256 << 10

// Page gives the entries that changed after a position, oldest first; last says that these are all.
func (l *Registers) Page(after uint64) (page []*meshpb.Entry, position uint64, last bool) {
	type changed struct {
		key string
		*entry
	}
	var all []changed
	for key, e := range l.entries {
		if e.position > after {
			all = append(all, changed{key, e})
		}
	}
	slices.SortFunc(all, func(a, b changed) int { return int(int64(a.position) - int64(b.position)) })
	size := 0
	for _, c := range all {
		w := wireEntry(c.key, c.entry)
		page = append(page, w)
		if size += proto.Size(w); size > pageBytes {
			return page, c.position, false
		}
	}
	return page, l.position, true
}

// Merge takes a page of another server's. Of each register the newest accepted value holds.
func (l *Registers) Merge(now float64, page []*meshpb.Entry) {
	for _, w := range page {
		l.merge(now, w)
	}
}

// merge takes one entry. What brings nothing new costs no write: the members tell mostly the same.
func (l *Registers) merge(now float64, w *meshpb.Entry) {
	promised, accepted := FromWire(w.Promised), FromWire(w.Accepted)
	e := l.entries[w.Key]
	switch {
	case e == nil:
		e = &entry{at: now}
		l.entries[w.Key] = e
	case promised.compare(e.promised) <= 0 && accepted.compare(e.accepted) <= 0:
		return
	}
	if promised.compare(e.promised) > 0 {
		e.promised, e.chosen = promised, false
	}
	if accepted.compare(e.accepted) > 0 {
		e.accepted, e.value, e.chosen = accepted, w.Value, false
	}
	l.keep(w.Key, e)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
