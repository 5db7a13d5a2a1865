// Package cordon tracks the hosts that operators have cordoned, which are hosts that take no new requests until an operator
// uncordons them. Its type Set holds these hosts. Set.Merge combines a Set with the entries of discovery's host list, and the
// result is what the load balancer (package balancer) is given.
//
// The package does no I/O. The methods of Set return a changed copy and never modify their receiver, so a Set may be shared
// between goroutines.
package cordon

import (
	"errors"
	"maps"

	"beechwing/balancer"
)

// MaxHosts is the largest number of hosts in a Set.
const MaxHosts = 4096

// ErrFull is returned when a Set already holds MaxHosts hosts.
var ErrFull = errors.New("too many hosts are out")

// Entry describes a host that has been cordoned. Times are in Unix seconds.
type Entry struct {
	CordonedAt   float64 `json:"out"`
	UncordonedAt float64 `json:"back,omitempty"` // 0: still cordoned
}

// Set holds the hosts that have been cordoned, including hosts uncordoned since, by their name in discovery.
type Set map[string]Entry

// Cordoned reports whether a host is cordoned.
func (s Set) Cordoned(id string) bool {
	e, known := s[id]
	return known && e.UncordonedAt == 0
}

// Cordon returns the set with a host cordoned at now. The entry of a host that is already cordoned does not change.
func (s Set) Cordon(id string, now float64) (Set, error) {
	switch {
	case s.Cordoned(id):
		return s, nil
	case len(s) >= MaxHosts:
		return s, ErrFull
	}
	return s.with(id, Entry{CordonedAt: now}), nil
}

// Uncordon returns the set with a host uncordoned at now. One call is enough, however often the host was cordoned.
func (s Set) Uncordon(id string, now float64) Set {
	if !s.Cordoned(id) {
		return s
	}
	return s.with(id, Entry{CordonedAt: s[id].CordonedAt, UncordonedAt: now})
}

func (s Set) with(id string, e Entry) Set {
	next := make(Set, len(s)+1)
	maps.Copy(next, s)
	next[id] = e
	return next
}

// Prune returns the set without the hosts that were uncordoned more than coldSeconds ago. These hosts have warmed up, and
// need no entry any more.
func (s Set) Prune(now, coldSeconds float64) Set {
	next := maps.Clone(s)
	maps.DeleteFunc(next, func(_ string, e Entry) bool { return e.UncordonedAt != 0 && now > e.UncordonedAt+coldSeconds })
	if len(next) == len(s) {
		return s
	}
	return next
}

// Merge returns a host's list entry with the cordon applied. A cordoned host is draining, unless discovery has removed it. An
// uncordoned host is assumed to have restarted while it was cordoned, and counts as cold from the time of uncordoning, even
// if the list does not show the restart yet.
func (s Set) Merge(id string, h balancer.Host) balancer.Host {
	e, known := s[id]
	switch {
	case !known:
	case e.UncordonedAt == 0 && h.Status == balancer.Ready:
		h.Status = balancer.Draining
	case e.UncordonedAt != 0 && h.Started <= e.CordonedAt:
		h.Started = e.UncordonedAt
	}
	return h
}

// Changed returns the hosts whose entries differ between two sets.
func Changed(a, b Set) []string {
	var ids []string
	for id, e := range a {
		if other, known := b[id]; !known || other != e {
			ids = append(ids, id)
		}
	}
	for id := range b {
		if _, known := a[id]; !known {
			ids = append(ids, id)
		}
	}
	return ids
}
