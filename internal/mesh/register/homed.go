package register

import (
	"hash/fnv"
	"io"

	"beechwing/internal/mesh/view"
)

// The home of a key may skip the prepare phase of the key's first ballot in an epoch if nothing was chosen for the key in an
// earlier epoch. After a change of the view, the home has to learn which keys were chosen without it. It needs only their
// names, as it prepares the first ballots of those keys.
//
// The home asks the members of the new view for the keys that they hold from earlier epochs and whose home it now is, until a
// majority, itself included, has answered. A member answers once it uses the new view, and from then on takes part in no ballot
// of an earlier epoch, so nothing more can be chosen there. Whatever was chosen before is held by a majority of the members of
// the new view, so at least one of the members that answered holds it. Answers are valid only in the epoch in which they were
// given: after another change of the view the home asks again.

// maxHomedPageKeys is the maximum number of keys in one answer: 16 KB of hashes.
const maxHomedPageKeys = 2048

// homedKeys is what this server knows of keys of earlier epochs whose home it is in the present epoch.
type homedKeys struct {
	hashes   map[uint64]struct{} // hashes of the keys that other members hold
	answered map[view.Member]bool
	complete bool // a majority has sent all its keys
}

func (h *homedKeys) has(key string) bool {
	_, held := h.hashes[keyHash(key)]
	return held
}

// keyHash returns the hash that represents a key in lists. Two keys with the same hash cost a round trip and nothing else.
func keyHash(key string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}

// KnowsHomedKeys reports whether this server knows all keys that were chosen in earlier epochs and whose home it is in the
// present epoch.
func (rs *Registers) KnowsHomedKeys() bool { return rs.homedKeys.complete }

// maxIndexStep is the maximum number of entries that one page adds to the index. It bounds the time for which other messages wait.
const maxIndexStep = 2048

// homedIndex lists, by the address of the home, the hashes of the keys that this server holds from earlier epochs. All members
// ask for their keys at the same time, and finding a key's home takes a hash for each member, so each entry is examined once in
// an epoch, whoever asks. A server that votes in the present epoch receives no further values of earlier epochs.
type homedIndex struct {
	hashes   map[string][]uint64 // by address of the home
	position uint64              // position of the last entry examined
	complete bool                // all entries have been examined
}

// extend examines the next entries, at most maxIndexStep of them.
func (x *homedIndex) extend(rs *Registers) {
	if x.complete {
		return
	}
	if x.hashes == nil {
		x.hashes = map[string][]uint64{}
	}
	changes := rs.entryOrder.after(x.position)
	x.complete = len(changes) <= maxIndexStep
	for _, c := range changes[:min(len(changes), maxIndexStep)] {
		x.position = c.position
		if !c.isCurrent(rs.entries) || isPermanent(c.key) {
			continue
		}
		if accepted := rs.entries[c.key].accepted; accepted != (Ballot{}) && accepted.Epoch < rs.view.Epoch {
			home := rs.homeAddress(c.key)
			x.hashes[home] = append(x.hashes[home], keyHash(c.key))
		}
	}
}

// HomedKeyHashes returns a page of the hashes of the keys that this server holds from earlier epochs and whose home has the given
// address. The page starts after the given number of hashes, next is where the next page starts, and last reports whether no
// further page follows. While the index is being built, a page may be empty and not the last.
func (rs *Registers) HomedKeyHashes(address string, after uint64) (hashes []uint64, next uint64, last bool) {
	rs.homedIndex.extend(rs)
	held := rs.homedIndex.hashes[address]
	from := min(after, uint64(len(held)))
	next = min(from+maxHomedPageKeys, uint64(len(held)))
	return held[from:next], next, rs.homedIndex.complete && next == uint64(len(held))
}

// AddHomedKeys adds hashes that HomedKeyHashes returned at a member that uses this server's view. last reports whether they are
// the last of that member.
func (rs *Registers) AddHomedKeys(from view.Member, hashes []uint64, last bool) {
	h := &rs.homedKeys
	if h.hashes == nil {
		h.hashes, h.answered = map[uint64]struct{}{}, map[view.Member]bool{rs.self: true}
	}
	for _, hash := range hashes {
		h.hashes[hash] = struct{}{}
	}
	if !last {
		return
	}
	h.answered[from] = true
	h.complete = !rs.view.Joint() && rs.view.Quorum(func(m view.Member) bool { return h.answered[m] })
}
