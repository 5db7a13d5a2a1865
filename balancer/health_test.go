package balancer

import "testing"

// TestEjection: what ejects a host, and what does not.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		want    bool
	}{
		{"two errors in a row", []Result{Errored, Errored}, true},
		{"two failed connections", []Result{ConnectFailed, ConnectFailed}, true},
		{"one error", []Result{OK, Errored, OK}, false},
		{"turned away proves load", []Result{Rejected, Rejected, Rejected, Rejected}, false},
		{"own cancels", []Result{Cancelled, Cancelled, Cancelled}, false},
		{"half fail", []Result{Errored, OK, Errored, OK, Errored, Errored, OK, Errored}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := start(testConfig(), fleet(1))
			for i, res := range c.results {
				id := RequestID(i + 1)
				if h := r.ask(b, id, 0, 9); h != 0 {
					r.end(b, id, 0, h, res)
				}
			}
			if got := b.hosts[0].until > r.now; got != c.want {
				t.Fatalf("ejected %v, want %v", got, c.want)
			}
		})
	}
}

// TestHang guards against waiting whole deadlines for a host that takes work and answers none, and against
// taking load for that: a host that goes on answering is not ejected for one late attempt.
func TestHang(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b, r := start(testConfig(), fleet(1))
		r.ask(b, 1, 0, 9)
		r.ask(b, 2, 0, 9)
		r.advance(b, r.now+0.5)
		b.hosts[0].window = 9
		if answers {
			h := r.ask(b, 3, 0, 9)
			r.end(b, 3, 0, h, OK)
		}
		r.advance(b, r.now+markShare*2)
		if got := b.hosts[0].until > r.now; got == answers {
			t.Fatalf("host answering %v: ejected %v", answers, got)
		}
	}
}

// TestEjectedAgain: the failure share outlasts an ejection, so one more failure ejects again, while answers make
// up for it.
func TestEjectedAgain(t *testing.T) {
	for _, answers := range []int{0, 10} {
		b, _ := start(testConfig(), fleet(1))
		h := b.hosts[0]
		b.judge(h, failed, 1)
		b.judge(h, failed, 1)
		b.now = h.until
		for range answers {
			b.judge(h, failed, 0)
		}
		b.judge(h, failed, 1)
		if again := h.until > b.now; again != (answers == 0) {
			t.Errorf("after %d answers and a failure: ejected %v", answers, again)
		}
	}
}

// TestSpoilt guards against ejecting healthy hosts where any host spoils an answer now and then: two together do
// not, but a host that gives nothing else is out.
func TestSpoilt(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		out     bool
	}{
		{"two together", []Result{OK, Malformed, Malformed}, false},
		{"every other one", []Result{Malformed, OK, Malformed, OK, Malformed, OK, Malformed, OK, Malformed, OK}, false},
		{"nothing else", []Result{Malformed, Malformed, Malformed, Malformed, Malformed}, true},
		{"two resets", []Result{OK, Reset, Reset}, false},
		{"resets, then nothing else", []Result{OK, Reset, Reset, Reset, Reset, Reset}, true},
		{"two errors", []Result{OK, Errored, Errored}, true},
	} {
		b, r := start(testConfig(), fleet(1))
		for i, result := range c.results {
			id := RequestID(i + 1)
			h := r.ask(b, id, 1, 7) // unsafe: nothing is sent again
			b.Outcome(r.now, Outcome{ID: id, Host: h, Result: result, Took: 0.01, Final: result == OK})
		}
		if out := b.hosts[0].until > r.now; out != c.out {
			t.Errorf("%s: ejected %v", c.name, out)
		}
	}
}

// TestOvertaken guards against a swallowed attempt shutting its host out: once what went out well after it has been
// answered, it neither cuts the host's limit nor holds a place in it. Without such an answer it does both.
func TestOvertaken(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		b, r := start(testConfig(), fleet(1))
		h := b.hosts[0]
		h.window = 8
		r.ask(b, 1, 1, 7)
		mark := r.now + markShare*2
		if overtaken {
			r.advance(b, mark-0.2)
			r.end(b, 2, 0, r.ask(b, 2, 1, 8), OK)
		}
		r.advance(b, mark+0.01)
		cut, out := h.window < 8, h.inflight
		if cut == overtaken || out == 1 == overtaken {
			t.Errorf("overtaken %v: window %v, %d in flight", overtaken, h.window, out)
		}
		r.end(b, 1, 0, h.ID, TimedOut)
		if h.inflight != 0 {
			t.Errorf("overtaken %v: %d in flight after its end", overtaken, h.inflight)
		}
	}
}

// TestHealthByClass: a host that leaves one class unanswered is out for that class, also at peers that never sent it
// anything; it goes on serving the others, and one that loses all classes alike is not out for any.
func TestHealthByClass(t *testing.T) {
	cfg := testConfig()
	cfg.PeerMessages = true
	b, r := start(cfg, fleet(10))
	peer, _ := start(cfg, fleet(10))
	h, all, key := b.hosts[4], b.hosts[6], uint64(1)
	for b.ask0(key) != h {
		key++
	}
	for range 2 * int(lostSure) {
		b.tells = tellSaved
		b.lose(h, 1)
		peer.PeerMessage(b.now, 3, r.word)
		for class := range cfg.Classes {
			b.lose(all, class)
			peer.PeerMessage(b.now, 3, r.word)
		}
	}
	for _, b := range []*Balancer{b, peer} {
		for class := range cfg.Classes {
			o := b.newOp(Request{ID: RequestID(50 + class), Class: class, Key: key, Budget: 8})
			if got := b.pick(o, nil); (got.ID == h.ID) == (class == 1) {
				t.Errorf("class %d at host %d", class, got.ID)
			}
			if b.mute(b.index[all.ID], class) {
				t.Errorf("class %d: a host that loses all classes is out for it", class)
			}
		}
		b.now += 3 * lostAims * b.longest
		if got := b.pick(b.newOp(Request{ID: 99, Class: 1, Key: key, Budget: 8}), nil); got.ID != h.ID {
			t.Errorf("a loss is never forgotten: class 1 at host %d", got.ID)
		}
	}
}
