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

// TestMain fixes the seed, so that a run's verdict is the same every time; -rapid.seed takes another.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func testConfig(most int, byAddress bool) Config {
	return Config{MaxConns: most, FirstRequestTimeout: 2 * time.Second, PartialProtection: 50 * time.Millisecond, IdleTimeout: 30 * time.Second,
		MinIdleTimeout: 2 * time.Second, ByAddress: byAddress}
}

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// world drives a Book as connections would, and checks after every step what must always hold.
type world struct {
	t     *rapid.T
	b     *ConnTable
	now   time.Duration
	seats []*Conn
	told  map[*Conn]bool
}

func (w *world) pick(want ...State) *Conn {
	var of []*Conn
	for _, s := range w.seats {
		if slices.Contains(want, s.kind) {
			of = append(of, s)
		}
	}
	if len(of) == 0 {
		return nil
	}
	return of[rapid.IntRange(0, len(of)-1).Draw(w.t, "seat")]
}

// reap takes what the book names. Only a connection that could give way may be among it.
func (w *world) reap(n int) {
	before := map[*Conn]State{}
	for _, s := range w.seats {
		before[s] = s.kind
	}
	for _, s := range w.b.Reap(w.now, n) {
		if before[s] == StateActive || before[s] >= StateOverLimit || w.told[s] && before[s] != StateClosing {
			w.t.Fatalf("named from %v", before[s])
		}
		w.told[s] = true
	}
}

func (w *world) leave(s *Conn) {
	w.b.Remove(s)
	w.seats = slices.DeleteFunc(w.seats, func(o *Conn) bool { return o == s })
	delete(w.told, s)
}

func (w *world) enter(from netip.Addr) {
	yields := w.pick(StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused) != nil
	s := new(Conn)
	held := w.b.Count()
	w.b.Add(w.now, from, s, nil)
	w.seats = append(w.seats, s)
	if s.kind == StateOverLimit && (yields || held < w.b.cfg.MaxConns) {
		w.t.Fatalf("turned down with %d of %d held and others to give way", held, w.b.cfg.MaxConns)
	}
}

func (w *world) check() {
	if w.b.Count() > w.b.cfg.MaxConns && w.pick(StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused) != nil {
		w.reap(1 << 20)
		if w.b.Count() > w.b.cfg.MaxConns && w.pick(StateLingering, StateNew, StateTrial, StateIdleOnce, StateIdleReused) != nil {
			w.t.Fatalf("%d held, %d allowed, and some could give way", w.b.Count(), w.b.cfg.MaxConns)
		}
	}
	var held [kinds]int
	callers := map[*caller]int{}
	for _, s := range w.seats {
		held[s.kind]++
		if s.caller != nil {
			callers[s.caller]++
		}
	}
	if held != w.b.Stats().Held {
		w.t.Fatalf("held %v, figures %v", held, w.b.Stats().Held)
	}
	if len(callers) != len(w.b.callers) {
		w.t.Fatalf("%d callers, %d kept", len(callers), len(w.b.callers))
	}
	for c, n := range callers {
		if c.open != n || c.ending > n {
			w.t.Fatalf("a caller has %d, counted %d of which %d end", n, c.open, c.ending)
		}
	}
	if trials := held[StateTrial]; trials > w.b.trials() {
		w.t.Fatalf("%d trials", trials)
	}
}

// TestBook: whatever connections do, one with a request is never told to end, none is turned down while another could
// give way, the limit holds once what can give way has done so, and nothing is kept of callers that have left.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, told: map[*Conn]bool{}}
		w.b = NewConnTable(testConfig(rapid.IntRange(1, 40).Draw(t, "most"), rapid.Bool().Draw(t, "by address")))
		idle := []State{StateTrial, StateIdleOnce, StateIdleReused}
		on := func(f func(time.Duration, *Conn), kinds ...State) func(*rapid.T) {
			return func(*rapid.T) {
				if s := w.pick(kinds...); s != nil {
					f(w.now, s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) { w.enter(address(rapid.IntRange(1, 3).Draw(t, "from"))) },
			"begin": on(w.b.RequestStarted, append(idle, StateNew, StateClosing)...),
			"work":  on(w.b.RequestReceived, StatePartial, StateActive, StateOverLimit),
			"first": on(w.b.RequestReceived, StateNew),
			"rest":  on(w.b.RequestDone, StateActive, StateClosing),
			"stop":  on(w.b.Linger, StateActive, StatePartial),
			"leave": on(func(_ time.Duration, s *Conn) { w.leave(s) }, StateClosing, StateLingering, StateIdleOnce, StateIdleReused, StateNew, StateOverLimit, StateActive),
			"reap":  func(t *rapid.T) { w.reap(rapid.IntRange(1, 100).Draw(t, "at most")) },
			"wait":  func(t *rapid.T) { w.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond },
			"limit": func(t *rapid.T) { w.b.Configure(testConfig(rapid.IntRange(1, 40).Draw(t, "most"), false)) },
			"":      func(*rapid.T) { w.check() },
		})
		for len(w.seats) > 0 {
			w.leave(w.seats[0])
		}
		w.check()
	})
}

// once opens a connection, asks once and keeps it.
func once(b *ConnTable, now time.Duration, from netip.Addr) *Conn {
	s := new(Conn)
	b.Add(now, from, s, nil)
	b.RequestReceived(now, s)
	b.RequestDone(now, s)
	return s
}

func reap(b *ConnTable, now time.Duration) (out []*Conn) {
	for _, s := range b.Reap(now, 1<<20) {
		out = append(out, s)
		b.Remove(s)
	}
	return out
}

// TestPassedOver: of connections that one caller asks once on and keeps, a handful and the trials stay; while as many that
// are used again stay all; and once uses at a distance are seen, connections of that distance are kept.
func TestPassedOver(t *testing.T) {
	b := NewConnTable(testConfig(160, false))
	now := time.Duration(0)
	for range 1000 {
		now += 10 * time.Millisecond
		once(b, now, address(1))
		reap(b, now)
	}
	if n := b.Count(); n > 30 {
		t.Errorf("%d connections that nobody uses again are held", n)
	}
	if f := b.Stats(); f.Closed[CauseFull] > 0 {
		t.Errorf("%d gave way to a full house", f.Closed[CauseFull])
	}

	b = NewConnTable(testConfig(160, false))
	pool := make([]*Conn, 100)
	for i := range pool {
		pool[i] = once(b, now, address(1))
	}
	reap(b, now)
	kept, used := 0, 0
	for n := range 20000 { // each comes back after a hundred others, and one new connection comes for every ten
		now += time.Millisecond
		if n%10 == 0 {
			once(b, now, address(1))
		}
		i := n % len(pool)
		if pool[i].kind.Idle() {
			kept++
		} else {
			pool[i] = new(Conn)
			b.Add(now, address(1), pool[i], nil)
		}
		b.RequestReceived(now, pool[i])
		b.RequestDone(now, pool[i])
		used++
		reap(b, now)
	}
	if kept < used*9/10 {
		t.Errorf("%d of %d uses found their connection", kept, used)
	}
}

// TestByAddress: an address that opens hundreds loses its own, not those of others that have one or two each.
func TestByAddress(t *testing.T) {
	b := NewConnTable(testConfig(100, true))
	var desks []*Conn
	for n := range 60 {
		desks = append(desks, once(b, 0, address(100+n/2)))
	}
	for range 1000 {
		once(b, time.Second, address(1))
		s := new(Conn)
		b.Add(time.Second, address(2), s, nil)
		reap(b, time.Second)
	}
	for n, s := range desks {
		if !s.kind.Idle() {
			t.Fatalf("desk %d: %v", n, s.kind)
		}
	}
}

// TestStay: idle connections stay for less as places run out, with no step on the way.
func TestStay(t *testing.T) {
	b := NewConnTable(testConfig(1000, true))
	last := b.stay(StateIdleOnce)
	if last != b.cfg.IdleTimeout {
		t.Fatalf("empty: %v", last)
	}
	for n := range 1000 {
		once(b, 0, address(n))
		is := b.stay(StateIdleOnce)
		if is > last || last-is > 60*time.Millisecond {
			t.Fatalf("%d held: from %v to %v", n, last, is)
		}
		last = is
	}
	if last != b.cfg.MinIdleTimeout {
		t.Fatalf("full: %v", last)
	}
}

// BenchmarkBook: what an operation costs is the same with few connections held as with many.
func BenchmarkBook(bench *testing.B) {
	for _, held := range []int{1000, 10000, 100000} {
		fill := func(most int) (*ConnTable, []*Conn) {
			b := NewConnTable(testConfig(most, true))
			seats := make([]*Conn, held)
			for i := range seats {
				seats[i] = once(b, 0, address(i%5000))
			}
			return b, seats
		}
		name := func(op string) string {
			return op + "/" + map[int]string{1000: "1k", 10000: "10k", 100000: "100k"}[held]
		}
		bench.Run(name("park and wake"), func(bench *testing.B) {
			b, seats := fill(4 * held)
			for i := 0; bench.Loop(); i++ {
				s := seats[i%held]
				b.RequestReceived(0, s)
				b.RequestDone(0, s)
			}
		})
		bench.Run(name("evict"), func(bench *testing.B) {
			b, _ := fill(held)
			for bench.Loop() {
				once(b, 0, address(1))
				for _, s := range b.Reap(0, 8) {
					b.Remove(s)
				}
			}
		})
		bench.Run(name("expire"), func(bench *testing.B) {
			b, _ := fill(4 * held)
			now := time.Hour
			for bench.Loop() { // all are over; one is ended and another comes, over as well by the next look
				for _, s := range b.Reap(now, 1) {
					b.Remove(s)
				}
				now += time.Hour
				once(b, now, address(7))
			}
		})
		bench.Run(name("tick"), func(bench *testing.B) {
			b, _ := fill(4 * held)
			for bench.Loop() {
				b.Reap(time.Second, 64)
			}
		})
	}
}
