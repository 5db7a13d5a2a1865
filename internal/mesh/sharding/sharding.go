// Package sharding computes which host of a service holds which keys. The main type is Table, made by NewTable from an assignment
// that the control servers agreed on; lease.go has the durations of the leases under which hosts hold their keys.
//
// The keys of a service are divided into ranges of equal size. The holder of a range follows from the list of members by
// rendezvous hashing with bounded loads, so every process computes the same holders and only the members have to be stored. A
// member is a machine, named by the address of the proxy on it. The host on the machine can be reached through that proxy only,
// also after either process has restarted.
//
// Members change in epochs. In a new epoch a member that loses a range releases it first, and the member that gains the range
// waits for the release or until all leases of the previous epoch have expired. The next epoch starts only when no member waits
// any more, so a range has at most one earlier holder to wait for.
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
	// Keys is the number of keys of a service, and Ranges the number of its ranges. More ranges: the load of neighbouring busy
	// keys is spread over more hosts. Fewer: there is less to renew.
	Keys         = 1 << 16
	Ranges       = 1024
	keysPerRange = Keys / Ranges

	// maxLoadFactor bounds the number of ranges of a member, as a multiple of the mean. Larger: fewer ranges move when members
	// change. Smaller: the load is more even.
	maxLoadFactor = 1.25
)

// RegisterName returns the name of the register of a service's assignment. The name also selects the coordinator of the
// assignment.
func RegisterName(service string) string { return "assignment\x00" + service }

// Range is the index of a range of consecutive keys.
type Range int

// RangeOf returns the range of a key.
func RangeOf(key int) Range { return Range(key / keysPerRange) }

// First returns the lowest key of the range.
func (r Range) First() int { return int(r) * keysPerRange }

// Last returns the highest key of the range.
func (r Range) Last() int { return r.First() + keysPerRange - 1 }

// ParseKey parses a key as written in requests.
func ParseKey(text string) (key int, ok bool) {
	n, err := strconv.ParseUint(text, 10, 16)
	return int(n), err == nil
}

// noMember is the member index of a range without a holder.
const noMember = -1

// Table is the assignment of an epoch with the holders computed from it. It is immutable.
type Table struct {
	*meshpb.Assignment
	holders, previousHolders []int // by range: indexes into Members and Previous
	handovers                map[Range]string
}

// NewTable computes the holders of an assignment.
func NewTable(a *meshpb.Assignment) *Table {
	t := &Table{Assignment: a, holders: assignRanges(a.GetMembers()), previousHolders: assignRanges(a.GetPrevious()),
		handovers: map[Range]string{}}
	for _, h := range a.GetHandovers() {
		t.handovers[Range(h.Range)] = h.Token
	}
	return t
}

// assignRanges gives each range to the member with the highest score for it among those below the load bound.
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

// Holder returns the member that holds a range in this epoch; empty: there is none.
func (t *Table) Holder(r Range) string { return memberAt(t.Members, t.holders[r]) }

// PreviousHolder returns the member that held a range in the previous epoch.
func (t *Table) PreviousHolder(r Range) string { return memberAt(t.Previous, t.previousHolders[r]) }

func memberAt(members []string, at int) string {
	if at == noMember {
		return ""
	}
	return members[at]
}

// Available reports whether the holder of a range may use it: no other member held the range in the previous epoch, or that
// member has released its lost ranges or has no lease any more.
func (t *Table) Available(r Range) bool {
	previous := t.PreviousHolder(r)
	return previous == "" || previous == t.Holder(r) || slices.Contains(t.Cleared, previous)
}

// Handover returns the token that the previous holder of a range passed on when it released the range; empty: none.
func (t *Table) Handover(r Range) string { return t.handovers[r] }

// HeldBy returns the ranges that a member holds in this epoch.
func (t *Table) HeldBy(member string) (ranges []Range) {
	for r := range Range(Ranges) {
		if t.Holder(r) == member {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// LostBy returns the ranges that a member has to release: it held them in the previous epoch, and another member holds them now.
func (t *Table) LostBy(member string) (ranges []Range) {
	for r := range Range(Ranges) {
		if t.PreviousHolder(r) == member && t.Holder(r) != member {
			ranges = append(ranges, r)
		}
	}
	return ranges
}

// AwaitedMembers returns, in order, the previous holders of the ranges that are not available to their new holders yet.
func (t *Table) AwaitedMembers() (members []string) {
	for r := range Range(Ranges) {
		if previous := t.PreviousHolder(r); !t.Available(r) && !slices.Contains(members, previous) {
			members = append(members, previous)
		}
	}
	slices.Sort(members)
	return members
}
