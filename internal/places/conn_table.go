// Package places keeps track of the client connections of a proxy and decides which of them stay open when connections
// run short. Its main type, ConnTable, holds every connection with its state and selects those to close: because the
// limit is reached, because a connection is unlikely to be used again, or because a timeout has passed. RequestQueue decides
// which requests are served and which are refused under overload, and SharedLimit divides the file descriptors between
// connections to clients and to hosts.
//
// The package does no I/O and starts no goroutines. The proxy reports each event with the current time, and closes the
// connections that ConnTable.Reap returns.
package places

import (
	"net/netip"
	"time"
)

// Config holds the limits of a ConnTable.
type Config struct {
	MaxConns            int           // open connections; those in StateOverLimit are not counted
	FirstRequestTimeout time.Duration // from accept until the first request begins to arrive; its reader bounds the rest
	PartialProtection   time.Duration // a connection is not evicted for this long after its first request began to arrive
	IdleTimeout         time.Duration // between two requests, while at most half of MaxConns are open
	MinIdleTimeout      time.Duration // with MaxConns open; in between, the timeout falls linearly
	ByAddress           bool          // each address is a client of its own; otherwise all connections belong to one client
}

// Conn is the entry of one connection in a ConnTable. Only the ConnTable writes to it.
type Conn struct {
	state     State
	reused    bool        // has received two or more requests
	served    bool        // has received a request
	idleMark  uint32      // the client's arrivals when the connection became idle
	countedIn *idleCounts // the counts that include the connection; nil: none
	since     time.Duration
	client    *client
	value     any
	inState   node[Conn] // in the list of its state, ordered by the time of entering the state
	inClient  node[Conn] // in its client's group
}

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }

// Value returns the value that was given to Add with the connection.
func (c *Conn) Value() any { return c.value }

// ConnTable holds all client connections. It is not safe for concurrent use.
type ConnTable struct {
	cfg                Config
	byState            [stateCount]list[Conn]
	bySize             [groupedStates][sizeClasses]list[group]
	clients            map[netip.Addr]*client
	open               int // connections admitted within the limit, including closing ones
	draining           bool
	closeAfterResponse bool
	drainedAt          time.Duration // time of the last call of Drain
	onceReuse          reuseEstimator
	repeatReuse        reuseEstimator
	sinceTrial         int     // connections found unlikely to be reused since the last trial
	toClose            []*Conn // in StateClosing and not yet returned by Reap
	stats              Stats
}

// NewConnTable returns an empty ConnTable.
func NewConnTable(cfg Config) *ConnTable {
	return &ConnTable{cfg: cfg, clients: map[netip.Addr]*client{}}
}

// Configure changes the limits, except ByAddress. Reap evicts connections in excess of a lowered limit as soon as they
// can be evicted.
func (t *ConnTable) Configure(cfg Config) {
	cfg.ByAddress = t.cfg.ByAddress
	t.cfg = cfg
}

// SetMaxConns changes only the limit of open connections.
func (t *ConnTable) SetMaxConns(n int) { t.cfg.MaxConns = n }

// Add enters an accepted connection. At the limit, another connection is evicted and returned by Reap; if none can be
// evicted, the new connection enters StateOverLimit. The value is returned by Conn.Value.
func (t *ConnTable) Add(now time.Duration, from netip.Addr, c *Conn, value any) {
	*c = Conn{state: StateRemoved, since: now, value: value}
	if t.Count() >= t.cfg.MaxConns && !t.evict(now) {
		t.stats.Rejected++
		t.setState(now, c, StateOverLimit)
		return
	}
	from = t.clientKey(from)
	cl := t.clients[from]
	if cl == nil {
		cl = &client{key: from}
		t.clients[from] = cl
	}
	cl.open++
	if cl.open > untrackedConns && cl.idleCounts == nil {
		cl.startTracking()
	}
	t.open++
	c.client = cl
	t.setState(now, c, StateNew)
	t.stats.Added++
}

// RequestStarted records that the first byte of a request has arrived.
func (t *ConnTable) RequestStarted(now time.Duration, c *Conn) {
	switch {
	case c.state == StateNew:
		t.setState(now, c, StatePartial)
	case c.state.Idle():
		t.recordReuse(c)
		t.setState(now, c, StateActive)
	}
}

// RequestReceived records that a request has arrived in full.
func (t *ConnTable) RequestReceived(now time.Duration, c *Conn) {
	t.RequestStarted(now, c)
	if c.state != StateActive && c.state < StateClosing {
		t.setState(now, c, StateActive)
	}
	c.reused, c.served = c.served, true
	if c.client != nil && !c.reused {
		t.recordArrival(now, c.client)
	}
}

// RequestDone records the end of a request on a connection that stays open.
func (t *ConnTable) RequestDone(now time.Duration, c *Conn) {
	switch {
	case c.state == StateClosing: // was marked while a request was in its socket; that request is done now
		t.toClose = append(t.toClose, c)
		return
	case c.state > StateClosing:
		return
	}
	c.served = true
	c.idleMark = c.client.arrivals
	switch {
	case t.draining:
		t.markClosing(now, c, CauseDrain)
	case c.reused:
		t.setState(now, c, StateIdleReused)
	default:
		t.setState(now, c, StateIdleOnce)
	}
}

// Drain makes Reap return all connections without a request, and from now on each connection when its request is done.
// Another call includes the connections that were accepted since.
func (t *ConnTable) Drain(now time.Duration) { t.draining, t.drainedAt = true, now }

// CloseAfterResponse makes every request the last of its connection. Idle connections stay open for one more request
// until Drain.
func (t *ConnTable) CloseAfterResponse() { t.closeAfterResponse = true }

// Linger records that the last response of a connection has been sent.
func (t *ConnTable) Linger(now time.Duration, c *Conn) {
	if c.state < StateClosing {
		t.setState(now, c, StateLingering)
	}
}

// Remove takes a closed connection out of the table.
func (t *ConnTable) Remove(c *Conn) {
	if c.state == StateRemoved {
		return
	}
	if cl := c.client; cl != nil {
		t.open--
		if cl.open--; cl.open == 0 {
			delete(t.clients, cl.key)
		}
	}
	t.setState(0, c, StateRemoved)
	if cl := c.client; cl != nil && cl.open <= untrackedConns/2 {
		cl.idleCounts = nil
	}
	c.client = nil
}

// Count returns the number of connections that count towards the limit: those admitted and not closing.
func (t *ConnTable) Count() int { return t.open - t.byState[StateClosing].length }

// ClosesAfterRequest reports whether the connection is closed after its current request.
func (t *ConnTable) ClosesAfterRequest(c *Conn) bool {
	return t.draining || t.closeAfterResponse || c.state >= StateClosing
}
