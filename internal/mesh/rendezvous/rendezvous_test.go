package rendezvous

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
)

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	return all
}

// Names that differ only at their ends get about equal shares of the keys, in whatever order they are listed.
func TestOrderIsEvenAndAgreed(t *testing.T) {
	all := names(5)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	first := map[string]int{}
	for i := range 5000 {
		key := fmt.Sprintf("k-%d", i)
		order := Order(key, all)
		if !slices.Equal(order, Order(key, reversed)) {
			t.Fatal("the result depends on the order of the list")
		}
		first[order[0]]++
	}
	for name, n := range first {
		if n < 850 || n > 1150 {
			t.Errorf("%s is first for %d of 5000", name, n)
		}
	}
}

// A node that leaves changes only the sets that it was in.
func TestWatchedChangesLittle(t *testing.T) {
	all := names(40)
	gone := all[7]
	remaining := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == gone })
	for _, self := range remaining {
		before, after := Watched(self, all, 3), Watched(self, remaining, 3)
		if len(before) != 3 || slices.Contains(before, self) {
			t.Fatalf("%s watches %v", self, before)
		}
		if !slices.Contains(before, gone) && !slices.Equal(before, after) {
			t.Errorf("%s: the set changed from %v to %v although %s was not in it", self, before, after, gone)
		}
	}
}

// The scores are those of FNV-1a with a finalizer, so processes of other versions compute the same ones. First returns the
// first name of Order.
func TestScoresStay(t *testing.T) {
	for i := range 200 {
		key, all := fmt.Sprintf("key %d", i), names(1+i%9)
		order := Order(key, all)
		if first := First(key, all); first != order[0] {
			t.Fatalf("First returns %s, Order %v", first, order)
		}
		for _, name := range all {
			h := fnv.New64a()
			h.Write([]byte(key + "\x00" + name))
			x := h.Sum64()
			x ^= x >> 33
			x *= 0xff51afd7ed558ccd
			x ^= x >> 33
			if got := score(keyHash(key), name); got != x {
				t.Fatalf("score of key %s, name %s: %x, want %x", key, name, got, x)
			}
		}
	}
	if First("key", nil) != "" {
		t.Error("First of no names is not empty")
	}
}
