package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"beechwing/internal/places"
)

const maxHostCloses = 4 // connections to hosts given back at a time

// room is what connections to clients and to hosts share. Each side asks it before it opens one, and is told when the
// other was refused one that it holds beyond its own part.
type connBudget struct {
	mu             sync.Mutex
	shares         *places.Shares
	hosts          int             // connections to hosts
	waiters        []chan struct{} // attempts that wait for one, in their order
	onHostShortage func()          // clients hold what hosts lack; must not block
}

func newConnBudget(l Limits) *connBudget {
	total, clients, hosts := l.shares()
	return &connBudget{shares: places.NewShares(total, clients, hosts), onHostShortage: func() {}}
}

// clients notes how many connections clients hold or want to, and gives how many they may.
func (r *connBudget) claimClients(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.shares.Claim(places.Callers, n)
	r.grantWaiters()
	return limit
}

// limit is how many connections a side may hold now.
func (r *connBudget) limit(side places.Side) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.Limit(side)
}

// owes is how many connections a side should give back now, if they are idle: of clients' as many as attempts wait for,
// of hosts' a few at a time.
func (r *connBudget) excess(side places.Side) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if side == places.Callers {
		return min(len(r.waiters), r.shares.Owes(side))
	}
	return min(maxHostCloses, r.shares.Owes(side))
}

// hostCount is how many connections there are to hosts.
func (r *connBudget) hostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// takeHost takes a place for a connection to a host, if one is free.
func (r *connBudget) tryAcquireHost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiters) == 0 && r.growHosts()
}

// grow makes room for one more to a host. mu is held.
func (r *connBudget) growHosts() bool {
	if r.shares.Claim(places.Nodes, r.hosts+1) <= r.hosts {
		r.onHostShortage()
		return false
	}
	r.hosts++
	return true
}

// awaitHost waits for a place.
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
	case <-ctx.Done(): // the client's time may be over before a place is free
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.Index(r.waiters, granted)
	if i < 0 {
		return true // it has come just now
	}
	r.waiters = slices.Delete(r.waiters, i, i+1)
	if len(r.waiters) == 0 {
		r.shares.Claim(places.Nodes, r.hosts) // nobody lacks one any more
	}
	return false
}

// giveHost gives a place back.
func (r *connBudget) releaseHost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts--
	r.shares.Claim(places.Nodes, r.hosts)
	r.grantWaiters()
}

// callWaiting grants places to those that wait, in order. mu is held.
func (r *connBudget) grantWaiters() {
	for len(r.waiters) > 0 && r.growHosts() {
		close(r.waiters[0])
		r.waiters = r.waiters[1:]
	}
}
