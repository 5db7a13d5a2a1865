package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"beechwing/internal/places"
)

const hostsBack = 4 // connections to hosts given back at a time

// room is what connections to clients and to hosts share. Each side asks it before it opens one, and is told when the
// other was refused one that it holds beyond its own part.
type room struct {
	mu      sync.Mutex
	shares  *places.Shares
	hosts   int             // connections to hosts
	waiting []chan struct{} // attempts that wait for one, in their order
	owing   func()          // clients hold what hosts lack; must not block
}

func newRoom(l Limits) *room {
	total, clients, hosts := l.connectionShares()
	return &room{shares: places.NewShares(total, clients, hosts), owing: func() {}}
}

// clients notes how many connections clients hold or want to, and gives how many they may.
func (r *room) clients(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.shares.Claim(places.Callers, n)
	r.callWaiting()
	return limit
}

// limit is how many connections a side may hold now.
func (r *room) limit(side places.Side) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.Limit(side)
}

// owes is how many connections a side should give back now, if they are idle: of clients' as many as attempts wait for,
// of hosts' a few at a time.
func (r *room) owes(side places.Side) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if side == places.Callers {
		return min(len(r.waiting), r.shares.Owes(side))
	}
	return min(hostsBack, r.shares.Owes(side))
}

// hostCount is how many connections there are to hosts.
func (r *room) hostCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts
}

// takeHost takes a place for a connection to a host, if one is free.
func (r *room) takeHost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) == 0 && r.grow()
}

// grow makes room for one more to a host. mu is held.
func (r *room) grow() bool {
	if r.shares.Claim(places.Nodes, r.hosts+1) <= r.hosts {
		r.owing()
		return false
	}
	r.hosts++
	return true
}

// awaitHost waits for a place.
func (r *room) awaitHost(ctx context.Context, within time.Duration) bool {
	granted := make(chan struct{})
	r.mu.Lock()
	r.waiting = append(r.waiting, granted)
	r.callWaiting()
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
	i := slices.Index(r.waiting, granted)
	if i < 0 {
		return true // it has come just now
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	if len(r.waiting) == 0 {
		r.shares.Claim(places.Nodes, r.hosts) // nobody lacks one any more
	}
	return false
}

// giveHost gives a place back.
func (r *room) giveHost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts--
	r.shares.Claim(places.Nodes, r.hosts)
	r.callWaiting()
}

// callWaiting grants places to those that wait, in order. mu is held.
func (r *room) callWaiting() {
	for len(r.waiting) > 0 && r.grow() {
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
	}
}
