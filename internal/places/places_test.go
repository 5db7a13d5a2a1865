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
	return Config{Most: most, Fresh: 2 * time.Second, Late: 50 * time.Millisecond, Idle: 30 * time.Second,
		IdleLeast: 2 * time.Second, ByAddress: byAddress}
}

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// world drives a Book as connections would, and checks after every step what must always hold.
type world struct {
	t     *rapid.T
	b     *Book
	now   time.Duration
	seats []*Seat
	told  map[*Seat]bool
}

func (w *world) pick(want ...Kind) *Seat {
	var of []*Seat
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
	before := map[*Seat]Kind{}
	for _, s := range w.seats {
		before[s] = s.kind
	}
	for _, s := range w.b.Reap(w.now, n) {
		if before[s] == Active || before[s] >= Over || w.told[s] && before[s] != Ending {
			w.t.Fatalf("named from %v", before[s])
		}
		w.told[s] = true
	}
}

func (w *world) leave(s *Seat) {
	w.b.Leave(s)
	w.seats = slices.DeleteFunc(w.seats, func(o *Seat) bool { return o == s })
	delete(w.told, s)
}

func (w *world) enter(from netip.Addr) {
	yields := w.pick(Lingering, Silent, Trial, Once, Often) != nil
	s := new(Seat)
	held := w.b.Count()
	w.b.Enter(w.now, from, s, nil)
	w.seats = append(w.seats, s)
	if s.kind == Over && (yields || held < w.b.cfg.Most) {
		w.t.Fatalf("turned down with %d of %d held and others to give way", held, w.b.cfg.Most)
	}
}

func (w *world) check() {
	if w.b.Count() > w.b.cfg.Most && w.pick(Lingering, Silent, Trial, Once, Often) != nil {
		w.reap(1 << 20)
		if w.b.Count() > w.b.cfg.Most && w.pick(Lingering, Silent, Trial, Once, Often) != nil {
			w.t.Fatalf("%d held, %d allowed, and some could give way", w.b.Count(), w.b.cfg.Most)
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
	if held != w.b.Figures().Held {
		w.t.Fatalf("held %v, figures %v", held, w.b.Figures().Held)
	}
	if len(callers) != len(w.b.callers) {
		w.t.Fatalf("%d callers, %d kept", len(callers), len(w.b.callers))
	}
	for c, n := range callers {
		if c.open != n || c.ending > n {
			w.t.Fatalf("a caller has %d, counted %d of which %d end", n, c.open, c.ending)
		}
	}
	if trials := held[Trial]; trials > w.b.trials() {
		w.t.Fatalf("%d trials", trials)
	}
}

// TestBook: whatever connections do, one with a request is never told to end, none is turned down while another could
// give way, the limit holds once what can give way has done so, and nothing is kept of callers that have left.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, told: map[*Seat]bool{}}
		w.b = New(testConfig(rapid.IntRange(1, 40).Draw(t, "most"), rapid.Bool().Draw(t, "by address")))
		idle := []Kind{Trial, Once, Often}
		on := func(f func(time.Duration, *Seat), kinds ...Kind) func(*rapid.T) {
			return func(*rapid.T) {
				if s := w.pick(kinds...); s != nil {
					f(w.now, s)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) { w.enter(address(rapid.IntRange(1, 3).Draw(t, "from"))) },
			"begin": on(w.b.Begin, append(idle, Silent, Ending)...),
			"work":  on(w.b.Work, Partial, Active, Over),
			"first": on(w.b.Work, Silent),
			"rest":  on(w.b.Rest, Active, Ending),
			"stop":  on(w.b.Linger, Active, Partial),
			"leave": on(func(_ time.Duration, s *Seat) { w.leave(s) }, Ending, Lingering, Once, Often, Silent, Over, Active),
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
func once(b *Book, now time.Duration, from netip.Addr) *Seat {
	s := new(Seat)
	b.Enter(now, from, s, nil)
	b.Work(now, s)
	b.Rest(now, s)
	return s
}

func reap(b *Book, now time.Duration) (out []*Seat) {
	for _, s := range b.Reap(now, 1<<20) {
		out = append(out, s)
		b.Leave(s)
	}
	return out
}

// TestPassedOver: of connections that one caller asks once on and keeps, a handful and the trials stay; while as many that
// are used again stay all; and once uses at a distance are seen, connections of that distance are kept.
func TestPassedOver(t *testing.T) {
	b := New(testConfig(160, false))
	now := time.Duration(0)
	for range 1000 {
		now += 10 * time.Millisecond
		once(b, now, address(1))
		reap(b, now)
	}
	if n := b.Count(); n > 30 {
		t.Errorf("%d connections that nobody uses again are held", n)
	}
	if f := b.Figures(); f.Ended[Full] > 0 {
		t.Errorf("%d gave way to a full house", f.Ended[Full])
	}

	b = New(testConfig(160, false))
	pool := make([]*Seat, 100)
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
			pool[i] = new(Seat)
			b.Enter(now, address(1), pool[i], nil)
		}
		b.Work(now, pool[i])
		b.Rest(now, pool[i])
		used++
		reap(b, now)
	}
	if kept < used*9/10 {
		t.Errorf("%d of %d uses found their connection", kept, used)
	}
}

// TestByAddress: an address that opens hundreds loses its own, not those of others that have one or two each.
func TestByAddress(t *testing.T) {
	b := New(testConfig(100, true))
	var desks []*Seat
	for n := range 60 {
		desks = append(desks, once(b, 0, address(100+n/2)))
	}
	for range 1000 {
		once(b, time.Second, address(1))
		s := new(Seat)
		b.Enter(time.Second, address(2), s, nil)
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
	b := New(testConfig(1000, true))
	last := b.stay(Once)
	if last != b.cfg.Idle {
		t.Fatalf("empty: %v", last)
	}
	for n := range 1000 {
		once(b, 0, address(n))
		is := b.stay(Once)
		if is > last || last-is > 60*time.Millisecond {
			t.Fatalf("%d held: from %v to %v", n, last, is)
		}
		last = is
	}
	if last != b.cfg.IdleLeast {
		t.Fatalf("full: %v", last)
	}
}

// BenchmarkBook: what an operation costs is the same with few connections held as with many.
func BenchmarkBook(bench *testing.B) {
	for _, held := range []int{1000, 10000, 100000} {
		fill := func(most int) (*Book, []*Seat) {
			b := New(testConfig(most, true))
			seats := make([]*Seat, held)
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
				b.Work(0, s)
				b.Rest(0, s)
			}
		})
		bench.Run(name("evict"), func(bench *testing.B) {
			b, _ := fill(held)
			for bench.Loop() {
				once(b, 0, address(1))
				for _, s := range b.Reap(0, 8) {
					b.Leave(s)
				}
			}
		})
		bench.Run(name("expire"), func(bench *testing.B) {
			b, _ := fill(4 * held)
			now := time.Hour
			for bench.Loop() { // all are over; one is ended and another comes, over as well by the next look
				for _, s := range b.Reap(now, 1) {
					b.Leave(s)
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
