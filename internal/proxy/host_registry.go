package proxy

import (
	"beechwing/balancer"
	"beechwing/internal/cordon"
)

// roll is the list as discovery tells it, with the hosts that operators have taken out. What the module and the sockets
// are told is the two merged. The owner has it.
type hostRegistry struct {
	entries  map[string]registeredHost // by name
	cordoned cordon.Set
}

// listed is a host's entry, as discovery tells it.
type registeredHost struct {
	host balancer.Host
	addr string
}

func newHostRegistry() *hostRegistry { return &hostRegistry{entries: map[string]registeredHost{}} }

// take takes word of the list and gives it merged.
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

// cordon takes another set of hosts that are out, and gives what changes by that.
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

// known says whether a host is in the list, or out by hand whatever the list says.
func (r *hostRegistry) isKnown(name string) bool {
	_, known := r.entries[name]
	return known || r.cordoned.Out(name)
}

// outNow counts the listed hosts that are out by hand.
func (r *hostRegistry) cordonedCount() (n int) {
	for name := range r.cordoned {
		if e, known := r.entries[name]; known && e.host.Status == balancer.Ready && r.cordoned.Out(name) {
			n++
		}
	}
	return n
}
