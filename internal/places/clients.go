package places

import (
	"math/bits"
	"net/netip"
	"time"
)

// sizeClasses is the number of classes of group sizes: 1, 2 to 3, 4 to 7 and so on.
const sizeClasses = 32

// client is a peer that opens connections. Its entry is deleted with its last connection.
type client struct {
	key        netip.Addr
	open       int
	closing    int    // open connections in StateClosing
	arrivals   uint32 // connections that have received a request
	groups     [groupedStates]group
	idleCounts *idleCounts // nil while the client has few connections
}

// idleCounts counts the idle connections of a client that has more than untrackedConns.
type idleCounts struct{ once, reused idleHistogram }

// group holds a client's connections of one state. ConnTable.bySize orders groups by size class.
type group struct {
	conns  list[Conn]
	inSize node[group]
}

// groupedStates is the number of states for which each client has a group.
const groupedStates = 3

// groupIndex gives the group of each state, or -1. Connections of a state without groups are evicted in the order in which
// they entered the state, whichever client they belong to.
var groupIndex = [stateCount]int8{StateLingering: -1, StateNew: 0, StatePartial: -1, StateTrial: -1, StateIdleOnce: 1,
	StateIdleReused: 2, StateActive: -1, StateClosing: -1, StateOverLimit: -1, StateRemoved: -1}

// clientKey returns the address that identifies a client: an IPv4 address, or the /64 prefix of an IPv6 address, as a site
// is assigned a /64 or more (RFC 6177). Without ByAddress, all connections have the same key.
func (t *ConnTable) clientKey(addr netip.Addr) netip.Addr {
	if !t.cfg.ByAddress {
		return netip.Addr{}
	}
	if addr = addr.Unmap(); addr.Is6() {
		if p, err := addr.Prefix(64); err == nil {
			return p.Addr()
		}
	}
	return addr
}

// setState moves a connection to the lists of another state.
func (t *ConnTable) setState(now time.Duration, c *Conn, next State) {
	previous := c.state
	if previous != StateRemoved {
		c.inState.remove()
		t.updateGroup(c, -1)
	}
	c.state, c.since = next, now
	if next != StateRemoved {
		t.byState[next].pushBack(&c.inState, c)
		t.updateGroup(c, 1)
	}
	t.stats.Held[previous], t.stats.Held[next] = t.byState[previous].length, t.byState[next].length
}

// updateGroup adds a connection to its client's group (delta 1) or removes it (delta -1), and updates the size class of the
// group.
func (t *ConnTable) updateGroup(c *Conn, delta int) {
	if c.client == nil {
		return
	}
	c.client.countIdle(c, delta)
	if c.state == StateClosing {
		c.client.closing += delta
	}
	index := groupIndex[c.state]
	if index < 0 {
		return
	}
	g := &c.client.groups[index]
	if delta < 0 {
		c.inClient.remove()
	} else {
		g.conns.pushBack(&c.inClient, c)
	}
	class := bits.Len(uint(g.conns.length)) - 1
	if class >= 0 && g.inSize.in == &t.bySize[index][class] {
		return
	}
	g.inSize.remove()
	if class >= 0 {
		t.bySize[index][class].pushBack(&g.inSize, g)
	}
}

// countIdle adds an idle connection to the client's counts, under the arrival at which it became idle (delta 1), or
// removes it (delta -1).
func (cl *client) countIdle(c *Conn, delta int) {
	switch {
	case delta > 0 && (cl.idleCounts == nil || !c.state.Idle()),
		delta < 0 && (cl.idleCounts == nil || c.countedIn != cl.idleCounts):
		c.countedIn = nil
		return
	case delta > 0:
		c.countedIn = cl.idleCounts
	default:
		c.countedIn = nil
	}
	h := &cl.idleCounts.once
	if c.reused {
		h = &cl.idleCounts.reused
	}
	if cl.arrivals-c.idleMark < distanceWindow {
		h[c.idleMark%distanceWindow] += uint16(delta)
	}
}

// startTracking begins to count the client's idle connections, as if those that it has now had just become idle.
func (cl *client) startTracking() {
	cl.idleCounts = new(idleCounts)
	for _, state := range []State{StateIdleOnce, StateIdleReused} {
		for n := cl.groups[groupIndex[state]].conns.first; n != nil; n = n.next {
			n.item.idleMark = cl.arrivals
			cl.countIdle(n.item, 1)
		}
	}
}
