package sidecar

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// tombstone is what stays of a source that the control servers have forgotten, so that no older record of it
// is taken from another proxy.
type tombstone struct {
	record      *meshpb.Record
	forgottenAt float64 // when the source was forgotten
}

// take takes another source's record if it is newer than what is known, and says whether the list may change.
func (d *discovery) applyRecord(record *meshpb.Record) bool {
	known := d.records[record.Source]
	if known == nil {
		known = d.tombstones[record.Source].record
	}
	if !record.Supersedes(known) {
		return false
	}
	if !record.IsTombstone() {
		delete(d.tombstones, record.Source)
		d.records[record.Source] = record
		return true
	}
	_, listed := d.records[record.Source]
	delete(d.records, record.Source)
	d.tombstones[record.Source] = tombstone{record, d.sidecar.now - float64(record.ForgottenFor)}
	return listed
}

// isOlder says of a record of the host here whether it is an earlier life's, or a tombstone: a newer one has
// to be told.
func (d *discovery) supersedesOwn(record *meshpb.Record) bool {
	if record.Version != d.own.Version {
		return record.Version > d.own.Version
	}
	return record.IsTombstone() || record.Station != d.own.Station
}

// forgottenOf are the tombstones of sources of which another proxy has older versions.
func (d *discovery) tombstonesFor(has map[string]uint64) (all []*meshpb.Record) {
	for _, proxy := range slices.Sorted(maps.Keys(d.tombstones)) {
		gone := d.tombstones[proxy]
		if version, named := has[proxy]; named && version < gone.record.Version {
			all = append(all, gone.record.Aged(d.sidecar.now-gone.forgottenAt))
		}
	}
	return all
}

// dropTombstones drops those that are too old.
func (d *discovery) expireTombstones() {
	maps.DeleteFunc(d.tombstones, func(_ string, gone tombstone) bool {
		return d.sidecar.now > gone.forgottenAt+meshpb.TombstoneSeconds
	})
}
