package sidecar

import (
	"maps"
	"slices"

	"beechwing/internal/mesh/meshpb"
)

// tombstone replaces the record of a proxy that the control servers have forgotten, so that no older record of it is
// accepted from another proxy.
type tombstone struct {
	record      *meshpb.Record
	forgottenAt float64 // when the proxy was forgotten
}

// applyRecord stores another proxy's record if it is newer than the known one, and reports whether the list of hosts
// may have changed.
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

// supersedesOwn reports whether a received record of the host here supersedes the own one: it is of a former process,
// or a tombstone. Then a record with a higher version has to be published.
func (d *discovery) supersedesOwn(record *meshpb.Record) bool {
	if record.Version != d.own.Version {
		return record.Version > d.own.Version
	}
	return record.IsTombstone() || record.Station != d.own.Station
}

// tombstonesFor returns the tombstones of the proxies of which another process has older records.
func (d *discovery) tombstonesFor(versions map[string]uint64) (all []*meshpb.Record) {
	for _, proxy := range slices.Sorted(maps.Keys(d.tombstones)) {
		entry := d.tombstones[proxy]
		if version, named := versions[proxy]; named && version < entry.record.Version {
			all = append(all, entry.record.Aged(d.sidecar.now-entry.forgottenAt))
		}
	}
	return all
}

// expireTombstones drops the tombstones that are too old.
func (d *discovery) expireTombstones() {
	maps.DeleteFunc(d.tombstones, func(_ string, entry tombstone) bool {
		return d.sidecar.now > entry.forgottenAt+meshpb.TombstoneSeconds
	})
}
