package places

import (
	"slices"
	"time"
)

// One in trialEvery connections that are unlikely to be reused is kept open as a trial. Without trials, a wrong estimate would
// never be corrected, because a closed connection cannot be reused.
const trialEvery = 8

// maxTrials is the number of connections that may be in StateTrial at once.
func (t *ConnTable) maxTrials() int { return max(1, t.cfg.MaxConns/16) }

// recordArrival counts the first request of a client's connection. It increases the distance of each of the client's idle
// connections by one, and marks for closing those that are unlikely to be reused.
func (t *ConnTable) recordArrival(now time.Duration, cl *client) {
	cl.arrivals++
	if cl.idleCounts == nil {
		return
	}
	for b := range buckets {
		t.onceReuse.addReached(b, cl.idleCounts.once.reaching(cl.arrivals, b))
		t.repeatReuse.addReached(b, cl.idleCounts.reused.reaching(cl.arrivals, b))
	}
	minProbability := minReuse + (minReuseFull-minReuse)*t.pressure()
	t.closeUnlikely(now, cl, StateIdleOnce, t.onceReuse.evictionDistance(minProbability))
	t.closeUnlikely(now, cl, StateIdleReused, t.repeatReuse.evictionDistance(minProbability))
}

// closeUnlikely marks for closing a client's idle connections whose distance is at least fromDistance, apart from a few
// trials. A fromDistance of 0 closes none.
func (t *ConnTable) closeUnlikely(now time.Duration, cl *client, state State, fromDistance uint32) {
	if fromDistance == 0 {
		return
	}
	for g := &cl.groups[groupIndex[state]]; ; {
		c := g.conns.front()
		if c == nil || cl.arrivals-c.idleMark < fromDistance || cl.open-cl.closing <= untrackedConns {
			return
		}
		if t.sinceTrial++; t.sinceTrial >= trialEvery && t.byState[StateTrial].length < t.maxTrials() {
			t.sinceTrial = 0
			t.setState(now, c, StateTrial)
			continue
		}
		t.markClosing(now, c, CauseUnlikelyReuse)
	}
}

// recordReuse records that an idle connection has received a further request.
func (t *ConnTable) recordReuse(c *Conn) {
	t.stats.Reused++
	if c.client.idleCounts == nil {
		return
	}
	if distance := c.client.arrivals - c.idleMark; distance > 0 {
		t.estimatorOf(c).addReused(bucketOf(distance))
	}
}

func (t *ConnTable) estimatorOf(c *Conn) *reuseEstimator {
	if c.reused {
		return &t.repeatReuse
	}
	return &t.onceReuse
}

// Evict marks for closing the connection that is next to evict, if any can be evicted. The proxy calls Evict when something
// other than MaxConns is short, such as file descriptors.
func (t *ConnTable) Evict(now time.Duration) { t.evict(now) }

// EvictReading marks for closing a connection that occupies a reader to little use: one whose last response is sent, or one
// whose first request has been arriving for PartialProtection or longer.
func (t *ConnTable) EvictReading(now time.Duration) {
	for _, state := range []State{StateLingering, StatePartial} {
		if c := t.victim(now, state); c != nil {
			t.markClosing(now, c, CauseFull)
			return
		}
	}
}

// evict marks for closing the connection that is next to evict, and reports whether there is one. The connection holds its
// file descriptor until it is closed, but Count no longer includes the connection.
func (t *ConnTable) evict(now time.Duration) bool {
	for state := StateLingering; state < StateActive; state++ {
		if c := t.victim(now, state); c != nil {
			t.markClosing(now, c, CauseFull)
			return true
		}
	}
	return false
}

// victim returns the connection of a state that is next to evict, or nil. For states with groups this is the oldest of a
// client with the most such connections, to the precision of a size class; otherwise the oldest of all.
func (t *ConnTable) victim(now time.Duration, state State) *Conn {
	index := groupIndex[state]
	if index < 0 {
		c := t.byState[state].front()
		if state == StatePartial && c != nil && now-c.since < t.cfg.PartialProtection {
			return nil
		}
		return c
	}
	for class := sizeClasses - 1; class >= 0; class-- {
		if largest := t.bySize[index][class].front(); largest != nil {
			return largest.conns.front()
		}
	}
	return nil
}

// markClosing marks a connection for closing, and queues it for Reap. From then on Count does not include the
// connection.
func (t *ConnTable) markClosing(now time.Duration, c *Conn, cause Cause) {
	t.stats.Closed[cause]++
	t.setState(now, c, StateClosing)
	t.toClose = append(t.toClose, c)
}

// Reap returns up to n connections to close now. A connection that is returned takes no further request, except one that
// has already arrived in full in its socket.
func (t *ConnTable) Reap(now time.Duration, n int) []*Conn {
	for t.Count() > t.cfg.MaxConns && len(t.toClose) < n && t.evict(now) {
	}
	for _, state := range []State{StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused} {
		timeout := t.timeout(state)
		for c := t.byState[state].front(); c != nil && len(t.toClose) < n; c = t.byState[state].front() {
			if t.draining && c.since <= t.drainedAt {
				t.markClosing(now, c, CauseDrain)
			} else if state != StateLingering && now-c.since >= timeout { // the proxy bounds the time spent lingering
				t.markClosing(now, c, CauseTimeout)
			} else {
				break
			}
		}
	}
	n = min(n, len(t.toClose))
	out := slices.DeleteFunc(t.toClose[:n:n], func(c *Conn) bool { return c.state != StateClosing }) // removed meanwhile
	if t.toClose = t.toClose[n:]; len(t.toClose) == 0 {
		t.toClose = nil
	}
	return out
}

// pressure returns how scarce connections are: 0 while at most half of the limit is in use, rising linearly to 1 at the
// limit.
func (t *ConnTable) pressure() float64 {
	return min(1, max(0, 2*float64(t.Count())/float64(max(1, t.cfg.MaxConns))-1))
}

// timeout returns how long a connection may stay in a state. The idle timeout shrinks linearly under pressure, like the
// scaled timeouts of Envoy's overload manager, so that there is no sudden change when the limit is reached.
func (t *ConnTable) timeout(state State) time.Duration {
	if state == StateNew {
		return t.cfg.FirstRequestTimeout
	}
	least := min(t.cfg.MinIdleTimeout, t.cfg.IdleTimeout)
	return t.cfg.IdleTimeout - time.Duration(t.pressure()*float64(t.cfg.IdleTimeout-least))
}
