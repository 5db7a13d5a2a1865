package balancer

import "testing"

// TestAdmittedShare guards against all proxies crowding a host that each of them hardly meets: its reports, and
// peers' words, lower the share that it gets, and it gets it back.
func TestAdmittedShare(t *testing.T) {
	cfg := testConfig()
	cfg.PeerMessages = true
	b, r := start(cfg, fleet(10))
	h := b.hosts[4]
	key := uint64(1)
	for b.ask0(key) != h {
		key++
	}
	got := func(from RequestID) (n int) {
		for i := range RequestID(200) {
			if b.pick(b.newOp(Request{ID: from + i, Key: key, Budget: 8}), nil) == h {
				n++
			}
		}
		return n
	}
	if n := got(1000); n != 200 {
		t.Fatalf("%d of 200 requests at their first host", n)
	}
	o := &op{class: &b.cfg.Classes[0]}
	near := func(x float64) float64 { return x * markShare * o.class.Aim }
	b.tells = 10
	for range 40 {
		b.now += 0.2
		b.sense(h, o, near(1))
		b.sense(b.hosts[5], o, near(0.3))
	}
	if n := got(2000); n > 180 || n == 0 {
		t.Fatalf("%d of 200 requests at a crowded host", n)
	}
	if r.word == nil {
		t.Fatal("peers were not told")
	}
	peer, _ := start(cfg, fleet(10))
	peer.PeerMessage(50, 3, r.word)
	peer.PeerMessage(50, 3, []byte{1, 2, 3})
	peer.PeerMessage(50, 3, []byte{1, 2, 3, 4})
	for _, other := range peer.hosts {
		if (other.ID == h.ID) != (other.admit < 0.9) {
			t.Fatalf("a peer's host %d admits %.2f", other.ID, other.admit)
		}
	}
	for range 200 {
		b.now += 0.2
		b.sense(h, o, near(0.2))
	}
	if n := got(3000); n != 200 {
		t.Fatalf("%d of 200 requests at a host that is no longer crowded", n)
	}
}

// TestStrainFades guards against shedding that outlasts its cause: a quiet proxy sends too little to unlearn it.
func TestStrainFades(t *testing.T) {
	b, r := start(testConfig(), fleet(4))
	b.strain[1] = 1
	r.advance(b, r.now+4*memoryAims*b.longest)
	if giveWay*b.strain[1] > 0.2 {
		t.Fatalf("strain %.2f is left of 1", b.strain[1])
	}
}

// TestThinShedding guards against overload that no proxy sees: with next to nothing in flight, load, admitted shares
// and lateness tell how much of the cheaper work gives way; the dearest never does.
func TestThinShedding(t *testing.T) {
	for _, c := range []struct {
		name              string
		load, admit, late float64
		class             int
		low, high         int // of 1000 that give way
	}{
		{"no load", 0.3, 0.2, 0.5, 0, 0, 0},
		{"crowded hosts", 1, 0.4, 0, 0, 400, 600},
		{"all hosts slow alike", 1, 1, 0.6, 0, 400, 600},
		{"the dearest class", 1, 0.4, 0.6, 1, 0, 0},
	} {
		b, _ := start(testConfig(), fleet(4))
		b.thin, b.admit, b.late, b.load[0] = true, c.admit, c.late, c.load
		n := 0
		for range 1000 {
			if b.givesWay(b.newOp(Request{ID: 1, Class: c.class, Budget: 8})) {
				n++
			}
		}
		if n < c.low || n > c.high {
			t.Errorf("%s: %d of 1000 gave way, want %d to %d", c.name, n, c.low, c.high)
		}
	}
}

// TestLimit guards against queues that crowd a host: late answers cut the limit of requests in flight, answers
// well inside the aim let it grow.
func TestLimit(t *testing.T) {
	b, r := start(testConfig(), fleet(1))
	h := b.hosts[0]
	r.ask(b, 1, 0, 9)
	r.ask(b, 2, 0, 9)
	b.Outcome(r.now, Outcome{ID: 1, Result: OK, Took: 0.3, Final: true})
	if h.window <= windowStart {
		t.Fatalf("limit %.2f did not grow", h.window)
	}
	h.window = 8
	r.advance(b, r.now+markShare*2+0.1)
	if h.window >= 8 {
		t.Fatalf("limit %.2f was not cut by a late attempt", h.window)
	}
}

// TestShedding: with no room the work worth least is refused first, and what is held is sent when room comes.
func TestShedding(t *testing.T) {
	b, r := start(testConfig(), fleet(1))
	b.flow, b.span = 10, 1
	r.ask(b, 1, 0, 9)
	r.ask(b, 2, 0, 9)
	r.ask(b, 3, 0, 9)
	r.ask(b, 4, 1, 9)
	if len(b.held) != 2 {
		t.Fatalf("%d held, want 2", len(b.held))
	}
	r.end(b, 1, 0, 100, Reset) // its only host has been tried
	if got := r.last(); got.kind != "send" || got.id != 4 {
		t.Fatalf("got %+v, want the dearer request sent", got)
	}
	r.advance(b, r.now+holdShare*2+0.01)
	if r.count("refuse") != 2 {
		t.Fatalf("%d refused, want the one that was reset and the one that waited", r.count("refuse"))
	}
}

// TestCold guards rule 4 for one busy proxy: a cold host gets its part of what warm ones get.
func TestCold(t *testing.T) {
	cfg := testConfig()
	b, r := start(cfg, fleet(2))
	work := func(from, n int, cold HostID) (sum float64) {
		for i := range n {
			r.advance(b, r.now+0.01)
			id := RequestID(from + i)
			h := r.ask(b, id, 0, uint64(from+i))
			if h == cold {
				sum += 0.1
			}
			if h != 0 {
				r.end(b, id, 0, h, OK)
			}
		}
		return sum
	}
	work(1, 1000, 0)
	rate := 0.1 * 100 / 2 // work a second to each warm host
	b.UpdateHosts(r.now, ListChanges, []Host{{ID: 200, Status: Ready, Started: r.now}})
	if got, most := work(2000, 100, 200), cfg.FallMultiple*cfg.ColdFrom*rate; got > most || got == 0 {
		t.Fatalf("cold host got %.2f in its first second, of at most %.2f", got, most)
	}
}

// TestColdThin guards rule 4 for many proxies with little traffic each: when a zone comes back cold, what all of them
// together send there stays under the budget, however many try again, and one popular key does not end on one host.
func TestColdThin(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 1 // the own zone is tried first
	const proxies, size, each = 300, 20, 0.1
	var bs []*Balancer
	var rs []*recorder
	id := RequestID(0)
	ask := func(i int, key uint64) HostID {
		id++
		h := rs[i].ask(bs[i], id, 0, key)
		if h != 0 {
			rs[i].end(bs[i], id, 0, h, OK)
		}
		return h
	}
	for i := range proxies {
		cfg.Seed = uint64(i)
		b, r := start(cfg, fleet(size))
		bs, rs = append(bs, b), append(rs, r)
		for range 40 { // two requests a second each
			r.advance(b, r.now+0.5)
			ask(i, uint64(i)*100+uint64(id))
		}
		back := fleet(size)
		for n := range back {
			if back[n].Zone == cfg.Zone {
				back[n].Started = r.now
			}
		}
		b.UpdateHosts(r.now, ListChanges, back)
	}
	sent := map[HostID]float64{}
	for i := range proxies {
		for range 4 { // clients repeat: twice the usual, all for one key
			rs[i].advance(bs[i], rs[i].now+0.25)
			sent[ask(i, 7)] += each
		}
	}
	rate := proxies * 2 * each / size
	total := 0.0
	for n := 0; n < size; n += 2 {
		id := HostID(100 + n)
		total += sent[id]
		if most := cfg.FallMultiple * cfg.ColdFrom * rate; sent[id] > most {
			t.Errorf("cold host %d was sent %.1f in a second, of at most %.1f", id, sent[id], most)
		}
	}
	if total == 0 {
		t.Error("nothing was sent to cold hosts")
	}
}
