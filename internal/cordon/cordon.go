// Package cordon decides what hosts taken out by hand look like to the module: the set of them, merged with what
// discovery lists. It does no I/O; a Set is never changed once made, so that it may be shared.
package cordon

import (
	"errors"
	"maps"

	"beechwing/balancer"
)

// MaxHosts is how many hosts a set holds.
const MaxHosts = 4096

// ErrFull says that a set holds as many hosts as it may.
var ErrFull = errors.New("too many hosts are out")

// Entry is what is known of a host that was taken out. Times are Unix seconds.
type Entry struct {
	CordonedAt   float64 `json:"out"`            // when it was taken out
	UncordonedAt float64 `json:"back,omitempty"` // when it was put back; 0: it is out
}

// Set holds hosts by the name that discovery gives them.
type Set map[string]Entry

// Cordoned says whether a host is out.
func (s Set) Cordoned(id string) bool {
	e, known := s[id]
	return known && e.UncordonedAt == 0
}

// Cordon gives the set with a host taken out at now. One that is out stays as it is.
func (s Set) Cordon(id string, now float64) (Set, error) {
	switch {
	case s.Cordoned(id):
		return s, nil
	case len(s) >= MaxHosts:
		return s, ErrFull
	}
	return s.with(id, Entry{CordonedAt: now}), nil
}

// Uncordon gives the set with a host put back at now, however often it was taken out.
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

// Prune gives the set without hosts that have been back for longer than coldFor seconds: they are like any other.
func (s Set) Prune(now, coldFor float64) Set {
	next := maps.Clone(s)
	maps.DeleteFunc(next, func(_ string, e Entry) bool { return e.UncordonedAt != 0 && now > e.UncordonedAt+coldFor })
	if len(next) == len(s) {
		return s
	}
	return next
}

// Merge gives a host's entry in the list as the module is to see it. The stricter word on its state wins. A host that is
// back was restarted while it was out, and is cold also where the list has not told of that yet.
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

// Changed lists the hosts of which two sets differ.
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
