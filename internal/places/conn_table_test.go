package places

import (
	"flag"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random tests, so that each run has the same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func testConfig(maxConns int, byAddress bool) Config {
	return Config{MaxConns: maxConns, FirstRequestTimeout: 2 * time.Second, PartialProtection: 50 * time.Millisecond,
		IdleTimeout: 30 * time.Second, MinIdleTimeout: 2 * time.Second, ByAddress: byAddress}
}

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// tableChecker drives a ConnTable with random events of connections, and checks invariants after each event.
type tableChecker struct {
	t      *rapid.T
	table  *ConnTable
	now    time.Duration
	conns  []*Conn
	reaped map[*Conn]bool // connections that Reap has returned
}

// pick returns a random connection in one of the states, or nil.
func (tc *tableChecker) pick(states ...State) *Conn {
	var matching []*Conn
	for _, c := range tc.conns {
		if slices.Contains(states, c.state) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(tc.t, "connection")]
}

// reap calls Reap and checks that each returned connection was in a state from which it can be closed.
func (tc *tableChecker) reap(n int) {
	before := map[*Conn]State{}
	for _, c := range tc.conns {
		before[c] = c.state
	}
	for _, c := range tc.table.Reap(tc.now, n) {
		if before[c] == StateActive || before[c] >= StateOverLimit || tc.reaped[c] && before[c] != StateClosing {
			tc.t.Fatalf("Reap returned a connection in state %v", before[c])
		}
		tc.reaped[c] = true
	}
}

func (tc *tableChecker) remove(c *Conn) {
	tc.table.Remove(c)
	tc.conns = slices.DeleteFunc(tc.conns, func(other *Conn) bool { return other == c })
	delete(tc.reaped, c)
}

func (tc *tableChecker) add(from netip.Addr) {
	evictable := tc.pick(StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused) != nil
	c := new(Conn)
	held := tc.table.Count()
	tc.table.Add(tc.now, from, c, nil)
	tc.conns = append(tc.conns, c)
	if c.state == StateOverLimit && (evictable || held < tc.table.cfg.MaxConns) {
		tc.t.Fatalf("connection rejected with %d of %d held, or with others to evict", held, tc.table.cfg.MaxConns)
	}
}

func (tc *tableChecker) check() {
	if tc.table.Count() > tc.table.cfg.MaxConns &&
		tc.pick(StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused) != nil {
		tc.reap(1 << 20)
		if tc.table.Count() > tc.table.cfg.MaxConns &&
			tc.pick(StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused) != nil {
			tc.t.Fatalf("%d connections held after Reap, %d allowed, and some can be evicted",
				tc.table.Count(), tc.table.cfg.MaxConns)
		}
	}
	var held [stateCount]int
	clients := map[*client]int{}
	for _, c := range tc.conns {
		held[c.state]++
		if c.client != nil {
			clients[c.client]++
		}
	}
	if held != tc.table.Stats().Held {
		tc.t.Fatalf("connections by state: %v, stats: %v", held, tc.table.Stats().Held)
	}
	if len(clients) != len(tc.table.clients) {
		tc.t.Fatalf("%d clients have connections, the table has %d", len(clients), len(tc.table.clients))
	}
	for cl, n := range clients {
		if cl.open != n || cl.closing > n {
			tc.t.Fatalf("a client has %d connections; the table counts %d open and %d closing", n, cl.open, cl.closing)
		}
	}
	if trials := held[StateTrial]; trials > tc.table.maxTrials() {
		tc.t.Fatalf("more trials than allowed: %d", trials)
	}
}

// TestBook checks with random events that Reap never returns a connection with a request, that none is rejected while another
// can be evicted, that the limit holds once all that can be evicted is evicted, and that the entries of clients without
// connections are deleted.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tc := &tableChecker{t: t, reaped: map[*Conn]bool{}}
		tc.table = NewConnTable(testConfig(rapid.IntRange(1, 40).Draw(t, "max conns"), rapid.Bool().Draw(t, "by address")))
		idle := []State{StateTrial, StateIdleOnce, StateIdleReused}
		on := func(event func(time.Duration, *Conn), states ...State) func(*rapid.T) {
			return func(*rapid.T) {
				if c := tc.pick(states...); c != nil {
					event(tc.now, c)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"connect":       func(t *rapid.T) { tc.add(address(rapid.IntRange(1, 3).Draw(t, "from"))) },
			"begin request": on(tc.table.RequestStarted, append(idle, StateNew, StateClosing)...),
			"whole request": on(tc.table.RequestReceived, StatePartial, StateActive, StateOverLimit),
			"first request": on(tc.table.RequestReceived, StateNew),
			"request done":  on(tc.table.RequestDone, StateActive, StateClosing),
			"response sent": on(tc.table.Linger, StateActive, StatePartial),
			"hang up": on(func(_ time.Duration, c *Conn) { tc.remove(c) },
				StateClosing, StateLingering, StateIdleOnce, StateIdleReused, StateNew, StateOverLimit, StateActive),
			"reap":  func(t *rapid.T) { tc.reap(rapid.IntRange(1, 100).Draw(t, "at most")) },
			"wait":  func(t *rapid.T) { tc.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"limit": func(t *rapid.T) { tc.table.Configure(testConfig(rapid.IntRange(1, 40).Draw(t, "max conns"), false)) },
			"":      func(*rapid.T) { tc.check() },
		})
		for len(tc.conns) > 0 {
			tc.remove(tc.conns[0])
		}
		tc.check()
	})
}

// addIdle opens a connection, receives one request on it and leaves it idle.
func addIdle(table *ConnTable, now time.Duration, from netip.Addr) *Conn {
	c := new(Conn)
	table.Add(now, from, c, nil)
	table.RequestReceived(now, c)
	table.RequestDone(now, c)
	return c
}

// reapAndRemove removes all connections that Reap returns.
func reapAndRemove(table *ConnTable, now time.Duration) (out []*Conn) {
	for _, c := range table.Reap(now, 1<<20) {
		out = append(out, c)
		table.Remove(c)
	}
	return out
}

// TestPassedOver checks the estimate of reuse. A client that never reuses its connections keeps only a few of them and the
// trials, and none is evicted for the limit. A client that reuses a pool of a hundred connections, each after ten arrivals
// of new ones, keeps its pool.
func TestPassedOver(t *testing.T) {
	table := NewConnTable(testConfig(160, false))
	now := time.Duration(0)
	for range 1000 {
		now += 10 * time.Millisecond
		addIdle(table, now, address(1))
		reapAndRemove(table, now)
	}
	if n := table.Count(); n > 30 {
		t.Errorf("%d connections held of a client that reuses none, want at most 30", n)
	}
	if s := table.Stats(); s.Closed[CauseFull] > 0 {
		t.Errorf("%d connections evicted for the limit, want none", s.Closed[CauseFull])
	}

	table = NewConnTable(testConfig(160, false))
	pool := make([]*Conn, 100)
	for i := range pool {
		pool[i] = addIdle(table, now, address(1))
	}
	reapAndRemove(table, now)
	kept, used := 0, 0
	for n := range 20000 { // uses the pool in turn, and opens one further connection for every ten uses
		now += time.Millisecond
		if n%10 == 0 {
			addIdle(table, now, address(1))
		}
		i := n % len(pool)
		if pool[i].state.Idle() {
			kept++
		} else {
			pool[i] = new(Conn)
			table.Add(now, address(1), pool[i], nil)
		}
		table.RequestReceived(now, pool[i])
		table.RequestDone(now, pool[i])
		used++
		reapAndRemove(table, now)
	}
	if kept < used*9/10 {
		t.Errorf("%d of %d uses found their connection open, want nine in ten", kept, used)
	}
}

// TestByAddress checks that an address with hundreds of connections loses its own, and not those of addresses with two each.
func TestByAddress(t *testing.T) {
	table := NewConnTable(testConfig(100, true))
	var small []*Conn
	for n := range 60 {
		small = append(small, addIdle(table, 0, address(100+n/2)))
	}
	for range 1000 {
		addIdle(table, time.Second, address(1))
		c := new(Conn)
		table.Add(time.Second, address(2), c, nil)
		reapAndRemove(table, time.Second)
	}
	for n, c := range small {
		if !c.state.Idle() {
			t.Fatalf("connection %d, of an address with two connections, is in state %v, want idle", n, c.state)
		}
	}
}

// TestStay checks that the idle timeout shrinks from IdleTimeout to MinIdleTimeout without jumps as the table fills.
func TestStay(t *testing.T) {
	table := NewConnTable(testConfig(1000, true))
	last := table.timeout(StateIdleOnce)
	if last != table.cfg.IdleTimeout {
		t.Fatalf("timeout with an empty table: %v", last)
	}
	for n := range 1000 {
		addIdle(table, 0, address(n))
		timeout := table.timeout(StateIdleOnce)
		if timeout > last || last-timeout > 60*time.Millisecond {
			t.Fatalf("connection %d changes the timeout from %v to %v", n, last, timeout)
		}
		last = timeout
	}
	if last != table.cfg.MinIdleTimeout {
		t.Fatalf("timeout with a full table: %v", last)
	}
}

// BenchmarkBook shows that the cost of an operation does not grow with the number of connections held.
func BenchmarkBook(bench *testing.B) {
	for _, held := range []int{1000, 10000, 100000} {
		fill := func(maxConns int) (*ConnTable, []*Conn) {
			table := NewConnTable(testConfig(maxConns, true))
			conns := make([]*Conn, held)
			for i := range conns {
				conns[i] = addIdle(table, 0, address(i%5000))
			}
			return table, conns
		}
		name := func(op string) string {
			return op + "/" + map[int]string{1000: "1k", 10000: "10k", 100000: "100k"}[held]
		}
		bench.Run(name("request on idle"), func(bench *testing.B) {
			table, conns := fill(4 * held)
			for i := 0; bench.Loop(); i++ {
				c := conns[i%held]
				table.RequestReceived(0, c)
				table.RequestDone(0, c)
			}
		})
		bench.Run(name("evict"), func(bench *testing.B) {
			table, _ := fill(held)
			for bench.Loop() {
				addIdle(table, 0, address(1))
				for _, c := range table.Reap(0, 8) {
					table.Remove(c)
				}
			}
		})
		bench.Run(name("expire"), func(bench *testing.B) {
			table, _ := fill(4 * held)
			now := time.Hour
			for bench.Loop() { // all have timed out; one is closed, and its replacement times out before the next call
				for _, c := range table.Reap(now, 1) {
					table.Remove(c)
				}
				now += time.Hour
				addIdle(table, now, address(7))
			}
		})
		bench.Run(name("tick"), func(bench *testing.B) {
			table, _ := fill(4 * held)
			for bench.Loop() {
				table.Reap(time.Second, 64)
			}
		})
	}
}
