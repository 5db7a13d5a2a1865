package balancer

import "testing"

// TestAdmittedShare guards against proxies that together overload a host to which each sends little: slow
// answers and peer messages lower its share, which recovers.
func TestAdmittedShare(t *testing.T) {
	cfg := testConfig()
	cfg.PeerMessages = true
	b, r := startBalancer(cfg, fleet(10))
	h := b.hosts[4]
	key := uint64(1)
	for b.pickForKey(key) != h {
		key++
	}
	countAt := func(from RequestID) (n int) {
		for i := range RequestID(200) {
			if b.pick(b.newRequest(Request{ID: from + i, Key: key, Budget: 8}), nil) == h {
				n++
			}
		}
		return n
	}
	if n := countAt(1000); n != 200 {
		t.Fatalf("%d of 200 requests at their first-choice host", n)
	}
	o := &openRequest{class: &b.cfg.Classes[0]}
	latencyAtLoad := func(x float64) float64 { return x * lateMarkShare * o.class.Aim }
	b.messageCredit = 10
	for range 40 {
		b.now += 0.2
		b.recordLatency(h, o, latencyAtLoad(1))
		b.recordLatency(b.hosts[5], o, latencyAtLoad(0.3))
	}
	if n := countAt(2000); n > 180 || n == 0 {
		t.Fatalf("%d of 200 requests at an overloaded host", n)
	}
	if r.lastMessage == nil {
		t.Fatal("no peer message was sent")
	}
	peer, _ := startBalancer(cfg, fleet(10))
	peer.PeerMessage(50, 3, r.lastMessage)
	peer.PeerMessage(50, 3, []byte{1, 2, 3})
	peer.PeerMessage(50, 3, []byte{1, 2, 3, 4})
	for _, other := range peer.hosts {
		if (other.ID == h.ID) != (other.admitShare < 0.9) {
			t.Fatalf("host %d has an admitted share of %.2f at a peer", other.ID, other.admitShare)
		}
	}
	for range 200 {
		b.now += 0.2
		b.recordLatency(h, o, latencyAtLoad(0.2))
	}
	if n := countAt(3000); n != 200 {
		t.Fatalf("%d of 200 requests at a host that is no longer overloaded", n)
	}
}

// TestStrainFades guards against shedding that outlasts its cause: with low traffic the shed share must decay
// over time.
func TestStrainFades(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(4))
	b.shedShare[1] = 1
	r.advance(b, r.now+4*memoryAims*b.longestAim)
	if shedFactor*b.shedShare[1] > 0.2 {
		t.Fatalf("a shed share of %.2f is left of 1", b.shedShare[1])
	}
}

// TestThinShedding guards against overload that no single proxy sees. With almost nothing in flight, load,
// admitted shares and lateness decide how much of the less valuable work is shed; the most valuable class
// never is.
func TestThinShedding(t *testing.T) {
	for _, c := range []struct {
		name              string
		load, admit, late float64
		class             int
		low, high         int // shed of 1000
	}{
		{"no load", 0.3, 0.2, 0.5, 0, 0, 0},
		{"overloaded hosts", 1, 0.4, 0, 0, 400, 600},
		{"all hosts equally slow", 1, 1, 0.6, 0, 400, 600},
		{"the most valuable class", 1, 0.4, 0.6, 1, 0, 0},
	} {
		b, _ := startBalancer(testConfig(), fleet(4))
		b.lowTraffic, b.meanAdmit, b.lateShare, b.meanLoad[0] = true, c.admit, c.late, c.load
		n := 0
		for range 1000 {
			if b.shedEarly(b.newRequest(Request{ID: 1, Class: c.class, Budget: 8})) {
				n++
			}
		}
		if n < c.low || n > c.high {
			t.Errorf("%s: %d of 1000 were shed, want %d to %d", c.name, n, c.low, c.high)
		}
	}
}

// TestLimit guards against queues that overload a host: late answers cut its concurrency limit, and answers
// well within the aim let it grow.
func TestLimit(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(1))
	h := b.hosts[0]
	r.request(b, 1, 0, 9)
	r.request(b, 2, 0, 9)
	b.Outcome(r.now, Outcome{ID: 1, Result: OK, Took: 0.3, Final: true})
	if h.limit <= initialLimit {
		t.Fatalf("limit %.2f did not grow", h.limit)
	}
	h.limit = 8
	r.advance(b, r.now+lateMarkShare*2+0.1)
	if h.limit >= 8 {
		t.Fatalf("limit %.2f was not cut by a late attempt", h.limit)
	}
}

// TestShedding: without capacity the least valuable work is refused first, and queued requests are sent when
// a slot is free.
func TestShedding(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(1))
	b.workDone, b.workSpan = 10, 1
	r.request(b, 1, 0, 9)
	r.request(b, 2, 0, 9)
	r.request(b, 3, 0, 9)
	r.request(b, 4, 1, 9)
	if len(b.queue) != 2 {
		t.Fatalf("%d queued, want 2", len(b.queue))
	}
	r.end(b, 1, 0, 100, Reset) // its only host has been tried
	if got := r.last(); got.kind != "send" || got.id != 4 {
		t.Fatalf("got %+v, want the more valuable request sent", got)
	}
	r.advance(b, r.now+maxQueueShare*2+0.01)
	if r.count("refuse") != 2 {
		t.Fatalf("%d refused, want the one that was reset and the one that waited", r.count("refuse"))
	}
}

// TestCold checks rule 4 for one busy proxy: a cold host gets a limited part of what warm hosts get.
func TestCold(t *testing.T) {
	cfg := testConfig()
	b, r := startBalancer(cfg, fleet(2))
	workAt := func(from, n int, cold HostID) (sum float64) {
		for i := range n {
			r.advance(b, r.now+0.01)
			id := RequestID(from + i)
			h := r.request(b, id, 0, uint64(from+i))
			if h == cold {
				sum += 0.1
			}
			if h != 0 {
				r.end(b, id, 0, h, OK)
			}
		}
		return sum
	}
	workAt(1, 1000, 0)
	rate := 0.1 * 100 / 2 // work a second to each warm host
	b.UpdateHosts(r.now, ListChanges, []Host{{ID: 200, Status: Ready, Started: r.now}})
	if got, most := workAt(2000, 100, 200), cfg.FallMultiple*cfg.ColdFrom*rate; got > most || got == 0 {
		t.Fatalf("cold host got %.2f s of work in its first second, limit %.2f", got, most)
	}
}

// TestColdThin checks rule 4 for many proxies with low traffic. When a zone restarts cold, all proxies
// together stay within the budget of each host, however many clients retry, and one popular key does not go
// to a single host.
func TestColdThin(t *testing.T) {
	cfg := testConfig()
	cfg.Prices.CrossZone = 1 // the own zone is preferred
	const proxies, size, each = 300, 20, 0.1
	var balancers []*Balancer
	var recorders []*recorder
	id := RequestID(0)
	send := func(i int, key uint64) HostID {
		id++
		h := recorders[i].request(balancers[i], id, 0, key)
		if h != 0 {
			recorders[i].end(balancers[i], id, 0, h, OK)
		}
		return h
	}
	for i := range proxies {
		cfg.Seed = uint64(i)
		b, r := startBalancer(cfg, fleet(size))
		balancers, recorders = append(balancers, b), append(recorders, r)
		for range 40 { // two requests a second each
			r.advance(b, r.now+0.5)
			send(i, uint64(i)*100+uint64(id))
		}
		restarted := fleet(size)
		for n := range restarted {
			if restarted[n].Zone == cfg.Zone {
				restarted[n].Started = r.now
			}
		}
		b.UpdateHosts(r.now, ListChanges, restarted)
	}
	sent := map[HostID]float64{}
	for i := range proxies {
		for range 4 { // clients retry: twice the usual rate, all for one key
			recorders[i].advance(balancers[i], recorders[i].now+0.25)
			sent[send(i, 7)] += each
		}
	}
	rate := proxies * 2 * each / size
	total := 0.0
	for n := 0; n < size; n += 2 {
		id := HostID(100 + n)
		total += sent[id]
		if limit := cfg.FallMultiple * cfg.ColdFrom * rate; sent[id] > limit {
			t.Errorf("cold host %d was sent %.1f s of work in a second, limit %.1f", id, sent[id], limit)
		}
	}
	if total == 0 {
		t.Error("nothing was sent to cold hosts")
	}
}
