// Package sharding says which host of a service holds which keys.
//
// A service's keys are cut into ranges of equal size. Which member holds a range follows from the members alone, by rendezvous hashing
// with bounded loads, so everybody computes the same and nothing is stored but the members. A member is a machine, named by the address
// of the proxy on it: the host there can be reached through that proxy only, whichever life of it runs.
//
// Members change in epochs. In an epoch a member that loses a range to another one releases it first; a member that gains it waits for
// that, or until every lease of the epoch before has run out. The next epoch begins only when no member waits any more, so of each range
// there is at most one earlier holder to wait for.
package sharding

import (
	"math"
	"slices"
	"strconv"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/random"
	"beechwing/internal/mesh/rendezvous"
)

const (
	// Keys is the number of keys of a service, Ranges that of its ranges. More ranges: the load of busy keys that are close to one another
	// is spread over more hosts. Fewer: less has to be renewed.
	Keys         = 1 << 16
	Ranges       = 1024
	keysPerRange = Keys / Ranges

	// loadSlack is by how much a member may hold more ranges than the mean. Larger: fewer ranges move when members change. Smaller: the
	// members are loaded more evenly.
	maxLoadFactor = 1.25
)

// RegisterName is the name under which a service's assignment is kept, and by which its coordinator is chosen.
func RegisterName(service string) string { return "assignment\x00" + service }

// Range is a run of neighbouring keys.
type Range int

// RangeOf is the range that a key belongs to.
func RangeOf(key int) Range { return Range(key / keysPerRange) }

// First is the least key of the range.
func (r Range) First() int { return int(r) * keysPerRange }

// Last is the greatest.
func (r Range) Last() int { return r.First() + keysPerRange - 1 }

// ParseKey reads a key as requests carry it.
func ParseKey(text string) (key int, ok bool) {
	n, err := strconv.ParseUint(text, 10, 16)
	return int(n), err == nil
}

// nobody is the place in a list of members of the holder of a range that has none.
const noMember = -1

// Table is the assignment of an epoch with the holders that follow from it. It is immutable.
type Table struct {
	*meshpb.Assignment
	holders, previousHolders []int // by range: places in Members and in Previous
	handovers                map[Range]string
}

// NewTable works out the holders of an assignment.
func NewTable(a *meshpb.Assignment) *Table {
	t := &Table{Assignment: a, holders: assignRanges(a.GetMembers()), previousHolders: assignRanges(a.GetPrevious()), handovers: map[Range]string{}}
	for _, h := range a.GetHandovers() {
		t.handovers[Range(h.Range)] = h.Token
	}
	return t
}

// place gives each range the member that scores highest for it among those that are not full.
func assignRanges(members []string) []int {
	holders := make([]int, Ranges)
	if len(members) == 0 {
		for r := range holders {
			holders[r] = noMember
		}
		return holders
	}
	maxRanges := int(math.Ceil(maxLoadFactor * Ranges / float64(len(members))))
	seeds := make([]uint64, len(members))
	for i, member := range members {
		seeds[i] = rendezvous.Hash(member)
	}
	loads := make([]int, len(members))
	for r := range holders {
		best, highest := noMember, uint64(0)
		for i := range members {
			if loads[i] >= maxRanges {
				continue
			}
			if score := random.Mix(seeds[i] ^ random.Mix(uint64(r)+1)); best == noMember || score > highest {
				best, highest = i, score
			}
		}
		holders[r] = best
		loads[best]++
	}
	return holders
}

// Holder is the member that holds a range in this epoch; empty: there is none.
func (t *Table) Holder(r Range) string { return memberAt(t.Members, t.holders[r]) }

// PreviousHolder is the member that held a range in the epoch before.
func (t *Table) PreviousHolder(r Range) string { return memberAt(t.Previous, t.previousHolders[r]) }

func memberAt(members []string, at int) string {
	if at == noMember {
		return ""
	}
	return members[at]
}

// Available says whether the holder of a range may have it: nobody else held it, or whoever did has no lease of it any more.
func (t *Table) Available(r Range) bool {
	previous := t.PreviousHolder(r)
	return previous == "" || previous == t.Holder(r) || slices.Contains(t.Cleared, previous)
}

// Handover is what the former holder of a range told when it released it; empty: nothing.
func (t *Table) Handover(r Range) string { return t.handovers[r] }

// HeldBy are the ranges of a member in this epoch.
func (t *Table) HeldBy(member string) (ranges []Range) {
	for r := range Range(Ranges) {
		if t.Holder(r) == member {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// LostBy are the ranges that a member has to release: it held them in the epoch before, and another one holds them now.
func (t *Table) LostBy(member string) (ranges []Range) {
	for r := range Range(Ranges) {
		if t.PreviousHolder(r) == member && t.Holder(r) != member {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// AwaitedMembers are the former members of which somebody else's range waits, in order.
func (t *Table) AwaitedMembers() (members []string) {
	for r := range Range(Ranges) {
		if previous := t.PreviousHolder(r); !t.Available(r) && !slices.Contains(members, previous) {
			members = append(members, previous)
		}
	}
	slices.Sort(members)
	return members
}
