// Package rendezvous ranks nodes by rendezvous hashing (highest random weight). All processes that know the same nodes compute
// the same order without communication, and a node that leaves changes only the assignments that it was part of.
package rendezvous

import (
	"cmp"
	"slices"
)

// The constants of 64-bit FNV-1a. The hash is implemented here because hash/fnv allocates memory for each hash.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// extendHash continues a hash with the bytes of a text.
func extendHash(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// Hash returns the hash of a name. Callers that rank names for many keys compute it once per name.
func Hash(name string) uint64 { return extendHash(fnvOffset, name) }

// keyHash returns the part of a score that is the same for all names: the hash of the key followed by a zero byte.
func keyHash(key string) uint64 { return extendHash(fnvOffset, key) * fnvPrime }

// score returns the weight of a name for a key.
func score(keyHash uint64, name string) uint64 {
	hash := extendHash(keyHash, name)
	hash ^= hash >> 33 // FNV leaves the high bits equal if names differ only at their ends
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash
}

// Order returns the names ranked for a key, by descending score.
func Order(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	hash := keyHash(key)
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

// First returns the first name of Order without ranking the others, or an empty string if there are no names.
func First(key string, names []string) (first string) {
	hash, best := keyHash(key), uint64(0)
	for i, name := range names {
		if nodeScore := score(hash, name); i == 0 || nodeScore > best || nodeScore == best && name < first {
			first, best = name, nodeScore
		}
	}
	return first
}

// Watched returns up to limit other nodes that a node watches.
func Watched(self string, all []string, limit int) []string {
	others := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == self })
	order := Order(self, others)
	return order[:min(limit, len(order))]
}
