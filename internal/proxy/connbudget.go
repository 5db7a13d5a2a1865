package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"beechwing/internal/places"
)

const maxHostCloses = 4 // most connections to hosts closed for clients at a time

// connBudget divides the connections that the process may hold between clients and hosts. Each side has a guaranteed
// share and may borrow unused connections of the other. Each side asks before it opens a connection, and learns when it
// should return borrowed ones.
type connBudget struct {
	mu             sync.Mutex
	shares         *places.SharedLimit
	hosts          int             // connections to hosts
	waiters        []chan struct{} // attempts that wait for a connection, oldest first
	onHostShortage func()          // called when clients hold connections that hosts need; must not block
}

func newConnBudget(l Limits) *connBudget {
	total, clients, hosts := l.connectionShares()
	return &connBudget{shares: places.NewSharedLimit(total, clients, hosts), onHostShortage: func() {}}
}

// claimClients records how many connections clients hold or need, and returns how many they may hold.
func (r *connBudget) claimClients(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.shares.Claim(places.ClientSide, n)
	r.grantWaiters()
	return limit
}

// limit returns how many connections a side may hold now.
func (r *connBudget) limit(side places.Side) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.Limit(side)
}

// excess returns how many idle connections a side should close now for the other: for clients, as many as attempts wait
// for; for hosts, a few at a time.
func (r *connBudget) excess(side places.Side) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if side == places.ClientSide {
		return min(len(r.waiters), r.shares.Surplus(side))
	}
	return min(maxHostCloses, r.shares.Surplus(side))
}

// hostCount returns the number of connections to hosts.
func (r *connBudget) hostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// tryAcquireHost reserves a connection to a host if one is free.
func (r *connBudget) tryAcquireHost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters) == 0 && r.growHosts()
}

// growHosts reserves one more connection to a host. The caller holds mu.
func (r *connBudget) growHosts() bool {
	if r.shares.Claim(places.HostSide, r.hosts+1) <= r.hosts {
		r.onHostShortage()
		return false
	}
	r.hosts++
	return true
}

// awaitHost waits until a connection to a host is reserved. It returns false if none became free in time.
func (r *connBudget) awaitHost(ctx context.Context, within time.Duration) bool {
	granted := make(chan struct{})
	r.mu.Lock()
	r.waiters = append(r.waiters, granted)
	r.grantWaiters()
	r.mu.Unlock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-ctx.Done(): // the client's deadline may pass before a connection is free
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.waiters, granted)
	if i < 0 {
		return true // granted at the same moment
	}
	r.waiters = slices.Delete(r.waiters, i, i+1)
	if len(r.waiters) == 0 {
		r.shares.Claim(places.HostSide, r.hosts) // withdraws the claim for one more
	}
	return false
}

// releaseHost releases a reserved connection to a host.
func (r *connBudget) releaseHost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts--
	r.shares.Claim(places.HostSide, r.hosts)
	r.grantWaiters()
}

// grantWaiters reserves connections for waiters, oldest first. The caller holds mu.
func (r *connBudget) grantWaiters() {
	for len(r.waiters) > 0 && r.growHosts() {
		close(r.waiters[0])
		r.waiters = r.waiters[1:]
	}
}
