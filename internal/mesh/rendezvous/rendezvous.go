// Package rendezvous says by rendezvous hashing who belongs to whom. (The field's term: highest random weight.) All who know the same
// names agree without a word, and a name that goes changes only what it was part of.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order ranks names for a word, the first one first.
func Order(word string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		h := fnv.New64a()
		h.Write([]byte(word))
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

// Watched names the few others that one knows and watches.
func Watched(self string, all []string, most int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	order := Order(self, others)
	return order[:min(most, len(order))]
}
