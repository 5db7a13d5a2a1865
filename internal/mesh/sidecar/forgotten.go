package sidecar

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// tombstone is what stays of a source that the control servers have forgotten, so that no older record of it
// is taken from another proxy.
type tombstone struct {
	record *meshpb.Record
	at     float64 // when the source was forgotten
}

// take takes another source's record if it is newer than what is known, and says whether the list may change.
func (n *discovery) take(r *meshpb.Record) bool {
	known := n.records[r.Source]
	if known == nil {
		known = n.gone[r.Source].record
	}
	if !r.Supersedes(known) {
		return false
	}
	if !r.IsTombstone() {
		delete(n.gone, r.Source)
		n.records[r.Source] = r
		return true
	}
	_, listed := n.records[r.Source]
	delete(n.records, r.Source)
	n.gone[r.Source] = tombstone{r, n.p.now - float64(r.ForgottenFor)}
	return listed
}

// isOlder says of a record of the host here whether it is an earlier life's, or a tombstone: a newer one has
// to be told.
func (n *discovery) isOlder(r *meshpb.Record) bool {
	if r.Version != n.own.Version {
		return r.Version > n.own.Version
	}
	return r.IsTombstone() || r.Station != n.own.Station
}

// forgottenOf are the tombstones of sources of which another proxy has older versions.
func (n *discovery) forgottenOf(has map[string]uint64) (all []*meshpb.Record) {
	for _, source := range slices.Sorted(maps.Keys(n.gone)) {
		gone := n.gone[source]
		if version, named := has[source]; named && version < gone.record.Version {
			all = append(all, gone.record.Aged(n.p.now-gone.at))
		}
	}
	return all
}

// dropTombstones drops those that are too old.
func (n *discovery) dropTombstones() {
	maps.DeleteFunc(n.gone, func(_ string, gone tombstone) bool {
		return n.p.now > gone.at+meshpb.TombstoneSeconds
	})
}
