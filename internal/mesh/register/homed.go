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

// HomedKeyHashes returns hashes of the keys that this server holds from earlier epochs, whose home has the given address, and
// which changed after a position, oldest first. position is where the next page starts, and last reports whether no further
// page follows.
func (rs *Registers) HomedKeyHashes(address string, after uint64) (hashes []uint64, position uint64, last bool) {
	for _, c := range rs.entryOrder.after(after) {
		if !c.isCurrent(rs.entries) || isPermanent(c.key) {
			continue
		}
		accepted := rs.entries[c.key].accepted
		if accepted == (Ballot{}) || accepted.Epoch >= rs.view.Epoch || rs.homeAddress(c.key) != address {
			continue
		}
		if hashes = append(hashes, keyHash(c.key)); len(hashes) == maxHomedPageKeys {
			return hashes, c.position, false
		}
	}
	return hashes, rs.position, true
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
