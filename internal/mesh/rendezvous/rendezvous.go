// Package rendezvous ranks nodes by rendezvous hashing (highest random weight). All processes that know the same nodes compute the
// same order without communication, and a node that leaves changes only the assignments that it was part of.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order ranks names for a key, by descending hash.
func Order(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(name))
		x := h.Sum64()
		x ^= x >> 33 // FNV leaves the high bits of names that differ at their ends alike
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		all[i] = scored{name, x}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	order := make([]string, len(all))
	for i, s := range all {
		order[i] = s.name
	}
	return order
}

// Watched is the set of at most so many others that a node watches.
func Watched(self string, all []string, most int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	order := Order(self, others)
	return order[:min(most, len(order))]
}
