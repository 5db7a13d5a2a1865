package register

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// A server that joins reads the registers of the members page by page, in the order in which their entries changed. An entry
// that changes after its page was read appears in a later page, so a second pass costs only what changed since the first, and
// the cost of catching up depends on the live entries and not on the history.
//
// Each member sends the values of one part of the registers. Of the registers outside that part it sends the ballots without the
// value, and the joiner requests the values that it lacks by key, so most values are sent once.
//
// The joiner needs, from a quorum of the old members that use the joint view, everything up to the moment at which they adopted
// that view. Then it holds whatever was chosen before, as none of those members takes part in older ballots any more.

// maxPageBytes is the size at which a page ends. It bounds the work of a member for one request, and the delay of other
// messages on the same connection.
const maxPageBytes = 64 << 10

// changeOrder lists the keys of entries in the order in which the entries changed. A key that changes again is listed again at
// the end.
type changeOrder struct {
	changes []keyChange
}

type keyChange struct {
	position uint64
	key      string
}

// compactionSlack is the number of outdated positions, beyond twice the number of entries, that the order may hold before it is
// compacted.
const compactionSlack = 1024

func (o *changeOrder) add(position uint64, key string) {
	o.changes = append(o.changes, keyChange{position, key})
}

// after returns the changes after a position.
func (o *changeOrder) after(position uint64) []keyChange {
	at, _ := slices.BinarySearchFunc(o.changes, position+1, func(c keyChange, p uint64) int { return cmp.Compare(c.position, p) })
	return o.changes[at:]
}

// compact removes outdated positions once they are the majority, so that its cost is amortized over as many changes.
func (o *changeOrder) compact(entries map[string]*entry) {
	if len(o.changes) <= 2*len(entries)+compactionSlack {
		return
	}
	o.changes = slices.DeleteFunc(o.changes, func(c keyChange) bool { return !c.isCurrent(entries) })
}

// isCurrent reports whether the key has not changed again since c.
func (c keyChange) isCurrent(entries map[string]*entry) bool {
	e := entries[c.key]
	return e != nil && e.position == c.position
}

// Part is one of Of equal parts of all registers, divided by the hash of the key. The zero Part contains all registers.
type Part struct{ Index, Of uint32 }

// has reports whether a register belongs to the part. Permanent registers belong to every part.
func (p Part) has(key string) bool {
	if p.Of <= 1 || isPermanent(key) {
		return true
	}
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32()%p.Of == p.Index
}

// Page returns the entries that changed after a position, oldest first. position is where the next page starts, and last
// reports whether no further page follows. The cost is proportional to the entries returned and the outdated positions among
// them, whose number compact limits.
func (rs *Registers) Page(after uint64) (page []*meshpb.Entry, position uint64, last bool) {
	return rs.PartialPage(after, Part{})
}

// PartialPage is like Page, but leaves out the values of registers outside the given part.
func (rs *Registers) PartialPage(after uint64, part Part) (page []*meshpb.Entry, position uint64, last bool) {
	size := 0
	for _, c := range rs.entryOrder.after(after) {
		if !c.isCurrent(rs.entries) {
			continue
		}
		w := wireEntry(c.key, rs.entries[c.key])
		if !part.has(c.key) {
			w.Value = nil
		}
		page = append(page, w)
		if size += proto.Size(w); size > maxPageBytes {
			return page, c.position, false
		}
	}
	return page, rs.position, true
}

// EntriesOf returns the registers of some keys, up to the size of a page. The entry of a key that is not held is empty.
func (rs *Registers) EntriesOf(keys []string) (page []*meshpb.Entry) {
	size := 0
	for _, key := range keys {
		w := &meshpb.Entry{Key: key}
		if e := rs.entries[key]; e != nil {
			w = wireEntry(key, e)
		}
		page = append(page, w)
		if size += proto.Size(w); size > maxPageBytes {
			break
		}
	}
	return page
}

// Merge merges a page of another server into the registers, keeping the newest accepted value of each. It returns the keys that
// came without a value and are newer there than here, with the ballots at which they were accepted.
func (rs *Registers) Merge(now float64, page []*meshpb.Entry) (missing map[string]Ballot) {
	for _, w := range page {
		if accepted := FromWire(w.Accepted); w.Value == nil && accepted != (Ballot{}) {
			if rs.Lacks(w.Key, accepted) {
				if missing == nil {
					missing = map[string]Ballot{}
				}
				missing[w.Key] = accepted
			}
			continue
		}
		rs.merge(now, w)
	}
	return missing
}

// Lacks reports whether the given ballot is newer than the one that this server has accepted for a register.
func (rs *Registers) Lacks(key string, accepted Ballot) bool {
	e := rs.entries[key]
	return e == nil || e.accepted.compare(accepted) < 0
}

// merge merges one entry. An entry without news causes no write, as the members mostly send the same entries.
func (rs *Registers) merge(now float64, w *meshpb.Entry) {
	promised, accepted := FromWire(w.Promised), FromWire(w.Accepted)
	e := rs.entries[w.Key]
	switch {
	case e == nil && promised == (Ballot{}) && accepted == (Ballot{}): // the other server does not hold the register
		return
	case e == nil:
		e = &entry{receivedAt: now}
		rs.entries[w.Key] = e
	case promised.compare(e.promised) <= 0 && accepted.compare(e.accepted) <= 0:
		return
	}
	if promised.compare(e.promised) > 0 {
		e.promised, e.chosen = promised, false
	}
	if accepted.compare(e.accepted) > 0 {
		e.accepted, e.value, e.chosen = accepted, w.Value, false
	}
	rs.persist(w.Key, e)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
