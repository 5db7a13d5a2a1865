package proxy

import (
	"beechwing/balancer"
	"beechwing/internal/cordon"
)

// hostRegistry holds the host list from discovery and the hosts that operators have cordoned. The balancer and the
// connections to hosts get the two merged. Only the owner uses it.
type hostRegistry struct {
	entries  map[string]registeredHost // by host name
	cordoned cordon.Set
}

// registeredHost is a host's entry in the list from discovery.
type registeredHost struct {
	host balancer.Host
	addr string
}

func newHostRegistry() *hostRegistry { return &hostRegistry{entries: map[string]registeredHost{}} }

// update applies a list or changes from discovery, and returns them merged with the cordoned hosts.
func (r *hostRegistry) update(kind balancer.ListKind, list catalog) catalog {
	if kind != balancer.ListChanges {
		clear(r.entries)
	}
	merged := catalog{version: list.version, full: list.full}
	for i, name := range list.names {
		if list.hosts[i].Status == balancer.Removed {
			delete(r.entries, name)
		} else {
			r.entries[name] = registeredHost{list.hosts[i], list.addrs[i]}
		}
		merged.add(name, r.cordoned.Merge(name, list.hosts[i]), list.addrs[i])
	}
	return merged
}

// setCordoned replaces the set of cordoned hosts, and returns the entries that change by that.
func (r *hostRegistry) setCordoned(cordoned cordon.Set) catalog {
	var changes catalog
	for _, name := range cordon.Changed(r.cordoned, cordoned) {
		if e, known := r.entries[name]; known {
			changes.add(name, cordoned.Merge(name, e.host), e.addr)
		}
	}
	r.cordoned = cordoned
	return changes
}

// isKnown reports whether a host is in the list or cordoned.
func (r *hostRegistry) isKnown(name string) bool {
	_, known := r.entries[name]
	return known || r.cordoned.Cordoned(name)
}

// cordonedCount returns the number of hosts that are ready in the list but cordoned.
func (r *hostRegistry) cordonedCount() (n int) {
	for name := range r.cordoned {
		if e, known := r.entries[name]; known && e.host.Status == balancer.Ready && r.cordoned.Cordoned(name) {
			n++
		}
	}
	return n
}
