// Package rendezvous ranks nodes by rendezvous hashing (highest random weight). All processes that know the same nodes compute the
// same order without communication, and a node that leaves changes only the assignments that it was part of.
package rendezvous

import (
	"cmp"
	"slices"
)

// The constants of FNV-1a with 64 bits. It is written out as hash/fnv allocates for each hash.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// addTo goes on with a hash by the bytes of a text.
func addTo(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// Hash is the hash of a name, for rankings of many keys: it need not be worked out for each.
func Hash(name string) uint64 { return addTo(fnvOffset, name) }

// ofKey is the part of a score that all names share: the hash of the key and a zero byte.
func ofKey(key string) uint64 { return addTo(fnvOffset, key) * fnvPrime }

// score is the weight of a name for a key.
func score(key uint64, name string) uint64 {
	x := addTo(key, name)
	x ^= x >> 33 // FNV leaves the high bits of names that differ at their ends alike
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Order ranks names for a key, by descending score.
func Order(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	hash := ofKey(key)
	for i, name := range names {
		all[i] = scored{name, score(hash, name)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	order := make([]string, len(all))
	for i, s := range all {
		order[i] = s.name
	}
	return order
}

// First is the first of Order, without ranking the others; empty where there are no names.
func First(key string, names []string) (first string) {
	hash, best := ofKey(key), uint64(0)
	for i, name := range names {
		if x := score(hash, name); i == 0 || x > best || x == best && name < first {
			first, best = name, x
		}
	}
	return first
}

// Watched is the set of at most so many others that a node watches.
func Watched(self string, all []string, most int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	order := Order(self, others)
	return order[:min(most, len(order))]
}
