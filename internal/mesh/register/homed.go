package register

import (
	"hash/fnv"
	"io"

	"beechwing/internal/mesh/view"
)

// The home of a key may begin its first ballot without preparing it if nothing was chosen for the key before. After a change of view it
// has to know which keys were chosen without it: only their names, as it prepares those. It asks a majority of the members, itself
// counted, once they go by the new view, for the keys that they hold from earlier epochs and whose home it now is. Whoever answers
// takes part in no ballot of an earlier epoch any more, so nothing can be chosen there later; and whatever was chosen before is held
// by a majority of the members of the new view, one of which is among those that were asked. The answers count in the epoch in which they
// were given, so a home that changes again asks again.

// homedPage is how many keys are told at once: 16 KB.
const maxHomedPageKeys = 2048

// homed is what this server knows, as a home in the present epoch, of keys from earlier ones.
type homedKeys struct {
	hashes   map[uint64]struct{} // hashes of those that others hold
	answered map[view.Member]bool
	complete bool // a majority has told all of theirs
}

func (h *homedKeys) has(key string) bool {
	_, held := h.hashes[keyHash(key)]
	return held
}

// keyHash stands for a key in lists. Two keys of one hash cost a round trip, and nothing else.
func keyHash(key string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}

// KnowsHomedKeys says whether this server, as a home in the present epoch, knows all keys that were chosen before.
func (rs *Registers) KnowsHomedKeys() bool { return rs.homedKeys.complete }

// HomedKeyHashes gives hashes of the keys that this server holds from earlier epochs and whose home is at an address, of those that changed
// after a position, oldest first; last says that these are all.
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

// AddHomedKeys takes what HomedAt gave at a member that goes by this server's view; last says that this was all.
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
