package proxy

import (
	"beechwing/balancer"
	"beechwing/internal/cordon"
)

// roll is the list as discovery tells it, with the hosts that operators have taken out. What the module and the sockets
// are told is the two merged. The owner has it.
type roll struct {
	listed map[string]listed // by name
	out    cordon.Set
}

// listed is a host's entry, as discovery tells it.
type listed struct {
	host balancer.Host
	addr string
}

func newRoll() *roll { return &roll{listed: map[string]listed{}} }

// take takes word of the list and gives it merged.
func (r *roll) take(kind balancer.ListKind, list catalog) catalog {
	if kind != balancer.ListChanges {
		clear(r.listed)
	}
	merged := catalog{version: list.version, full: list.full}
	for i, name := range list.names {
		if list.hosts[i].Status == balancer.Removed {
			delete(r.listed, name)
		} else {
			r.listed[name] = listed{list.hosts[i], list.addrs[i]}
		}
		merged.add(name, r.out.Merge(name, list.hosts[i]), list.addrs[i])
	}
	return merged
}

// cordon takes another set of hosts that are out, and gives what changes by that.
func (r *roll) cordon(out cordon.Set) catalog {
	var changes catalog
	for _, name := range cordon.Changed(r.out, out) {
		if e, known := r.listed[name]; known {
			changes.add(name, out.Merge(name, e.host), e.addr)
		}
	}
	r.out = out
	return changes
}

// known says whether a host is in the list, or out by hand whatever the list says.
func (r *roll) known(name string) bool {
	_, known := r.listed[name]
	return known || r.out.Out(name)
}

// outNow counts the listed hosts that are out by hand.
func (r *roll) outNow() (n int) {
	for name := range r.out {
		if e, known := r.listed[name]; known && e.host.Status == balancer.Ready && r.out.Out(name) {
			n++
		}
	}
	return n
}
