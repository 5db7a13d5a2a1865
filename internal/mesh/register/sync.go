package register

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// A server that joins reads what the others hold, page by page, in the order in which their entries changed. What changed after a
// page was read comes in a later one, so a second pass costs what changed since the first, and catching up costs what is live and
// not what has happened. Each member sends the values of a part of the registers, and of the others only which ballot was accepted: what
// the joiner then lacks it asks for by key, so most values come once. Once it has read, from a quorum of the old members that go by the joint view, everything up to the moment
// at which they took that view, it holds whatever was chosen before: none of them takes part in older ballots any more.

// pageBytes bounds one page: what a member has to do for one, and what waits behind it on its link, is no more than that.
const maxPageBytes = 64 << 10

// changeOrder has the keys of entries in the order in which they changed. A key that has changed again stands in it again.
type changeOrder struct {
	changes []keyChange
}

type keyChange struct {
	position uint64
	key      string
}

// sparseOrder is how many places the order has beyond twice the entries before those that count no more are taken out.
const compactionSlack = 1024

func (o *changeOrder) add(position uint64, key string) {
	o.changes = append(o.changes, keyChange{position, key})
}

// after gives the changes behind a position.
func (o *changeOrder) after(position uint64) []keyChange {
	at, _ := slices.BinarySearchFunc(o.changes, position+1, func(c keyChange, p uint64) int { return cmp.Compare(c.position, p) })
	return o.changes[at:]
}

// compact takes out what counts no more, once that is most of it: the cost is shared by as many changes.
func (o *changeOrder) compact(entries map[string]*entry) {
	if len(o.changes) <= 2*len(entries)+compactionSlack {
		return
	}
	o.changes = slices.DeleteFunc(o.changes, func(c keyChange) bool { return !c.isCurrent(entries) })
}

// counts says that the key has not changed since.
func (c keyChange) isCurrent(entries map[string]*entry) bool {
	e := entries[c.key]
	return e != nil && e.position == c.position
}

// Part is one of some equal parts of all registers, by their keys. The zero Part is all of them.
type Part struct{ Index, Of uint32 }

// has says whether a register belongs to the part. What is permanent belongs to each.
func (p Part) has(key string) bool {
	if p.Of <= 1 || isPermanent(key) {
		return true
	}
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32()%p.Of == p.Index
}

// Page gives the entries that changed after a position, oldest first; last says that these are all. It costs what it gives.
func (rs *Registers) Page(after uint64) (page []*meshpb.Entry, position uint64, last bool) {
	return rs.PartialPage(after, Part{})
}

// PartialPage is Page with the values of a part only.
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

// EntriesOf gives the registers of some keys, as many of the first as make a page. Of a key that is not held the entry is empty.
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

// Merge takes a page of another server's. Of each register the newest accepted value holds. It gives the keys that were told without their
// value and are newer there than here, with the ballots at which they were accepted.
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

// Lacks says whether what was accepted at a ballot is newer than what this server holds of a register.
func (rs *Registers) Lacks(key string, accepted Ballot) bool {
	e := rs.entries[key]
	return e == nil || e.accepted.compare(accepted) < 0
}

// merge takes one entry. What brings nothing new costs no write: the members tell mostly the same.
func (rs *Registers) merge(now float64, w *meshpb.Entry) {
	promised, accepted := FromWire(w.Promised), FromWire(w.Accepted)
	e := rs.entries[w.Key]
	switch {
	case e == nil && promised == (Ballot{}) && accepted == (Ballot{}): // it is not held there
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
