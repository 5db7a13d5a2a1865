package balancer

import "testing"

// TestEjection checks which sequences of results eject a host.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		want    bool
	}{
		{"two errors in a row", []Result{Errored, Errored}, true},
		{"two failed connections", []Result{ConnectFailed, ConnectFailed}, true},
		{"one error", []Result{OK, Errored, OK}, false},
		{"rejections show load", []Result{Rejected, Rejected, Rejected, Rejected}, false},
		{"own cancels", []Result{Cancelled, Cancelled, Cancelled}, false},
		{"half fail", []Result{Errored, OK, Errored, OK, Errored, Errored, OK, Errored}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := startBalancer(testConfig(), fleet(1))
			for i, res := range c.results {
				id := RequestID(i + 1)
				if h := r.request(b, id, 0, 9); h != 0 {
					r.end(b, id, 0, h, res)
				}
			}
			if got := b.hosts[0].ejectedUntil > r.now; got != c.want {
				t.Fatalf("ejected %v, want %v", got, c.want)
			}
		})
	}
}

// TestHang guards against waiting for whole deadlines until a host that answers nothing is ejected, and
// against mistaking load for a hang: a host that still answers is not ejected for one late attempt.
func TestHang(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b, r := startBalancer(testConfig(), fleet(1))
		r.request(b, 1, 0, 9)
		r.request(b, 2, 0, 9)
		r.advance(b, r.now+0.5)
		b.hosts[0].limit = 9
		if answers {
			h := r.request(b, 3, 0, 9)
			r.end(b, 3, 0, h, OK)
		}
		r.advance(b, r.now+lateMarkShare*2)
		if got := b.hosts[0].ejectedUntil > r.now; got == answers {
			t.Fatalf("host answering %v: ejected %v", answers, got)
		}
	}
}

// TestEjectedAgain: the failure share outlasts an ejection, so one more failure ejects the host again, unless
// good answers came in between.
func TestEjectedAgain(t *testing.T) {
	for _, answers := range []int{0, 10} {
		b, _ := startBalancer(testConfig(), fleet(1))
		h := b.hosts[0]
		b.recordHealth(h, failedRequest, 1)
		b.recordHealth(h, failedRequest, 1)
		b.now = h.ejectedUntil
		for range answers {
			b.recordHealth(h, failedRequest, 0)
		}
		b.recordHealth(h, failedRequest, 1)
		if again := h.ejectedUntil > b.now; again != (answers == 0) {
			t.Errorf("after %d answers and a failure: ejected %v", answers, again)
		}
	}
}

// TestSpoilt guards against ejecting healthy hosts for occasional malformed answers or resets: two in a row
// do not eject a host, but a host that gives nothing else is ejected.
func TestSpoilt(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		out     bool
	}{
		{"two in a row", []Result{OK, Malformed, Malformed}, false},
		{"every other one", []Result{Malformed, OK, Malformed, OK,
			Malformed, OK, Malformed, OK, Malformed, OK}, false},
		{"nothing else", []Result{Malformed, Malformed, Malformed, Malformed, Malformed}, true},
		{"two resets", []Result{OK, Reset, Reset}, false},
		{"resets, then nothing else", []Result{OK, Reset, Reset, Reset, Reset, Reset}, true},
		{"two errors", []Result{OK, Errored, Errored}, true},
	} {
		b, r := startBalancer(testConfig(), fleet(1))
		for i, result := range c.results {
			id := RequestID(i + 1)
			h := r.request(b, id, 1, 7) // unsafe: no retries
			b.Outcome(r.now, Outcome{ID: id, Host: h, Result: result, Took: 0.01, Final: result == OK})
		}
		if ejected := b.hosts[0].ejectedUntil > r.now; ejected != c.out {
			t.Errorf("%s: ejected %v", c.name, ejected)
		}
	}
}

// TestOvertaken guards against a lost attempt blocking its host. If the host answers another attempt, sent
// well after the lost one, the lost one neither cuts the host's limit nor takes a slot of it. Without such an
// answer it does both.
func TestOvertaken(t *testing.T) {
	for _, overtaken := range []bool{false, true} {
		b, r := startBalancer(testConfig(), fleet(1))
		h := b.hosts[0]
		h.limit = 8
		r.request(b, 1, 1, 7)
		mark := r.now + lateMarkShare*2
		if overtaken {
			r.advance(b, mark-0.2)
			r.end(b, 2, 0, r.request(b, 2, 1, 8), OK)
		}
		r.advance(b, mark+0.01)
		cut, out := h.limit < 8, h.inflight
		if cut == overtaken || out == 1 == overtaken {
			t.Errorf("overtaken %v: limit %v, %d in flight", overtaken, h.limit, out)
		}
		r.end(b, 1, 0, h.ID, TimedOut)
		if h.inflight != 0 {
			t.Errorf("overtaken %v: %d in flight after its end", overtaken, h.inflight)
		}
	}
}

// TestHealthByClass: a host that leaves one class unanswered is ejected for that class, also at peers that
// sent it nothing, and still serves the others. A host that loses all classes alike is not ejected for any of
// them.
func TestHealthByClass(t *testing.T) {
	cfg := testConfig()
	cfg.PeerMessages = true
	b, r := startBalancer(cfg, fleet(10))
	peer, _ := startBalancer(cfg, fleet(10))
	dropsOne, dropsAll, key := b.hosts[4], b.hosts[6], uint64(1)
	for b.pickForKey(key) != dropsOne {
		key++
	}
	for range 2 * int(minLosses) {
		b.messageCredit = maxPeerCredit
		b.recordLoss(dropsOne, 1)
		peer.PeerMessage(b.now, 3, r.lastMessage)
		for class := range cfg.Classes {
			b.recordLoss(dropsAll, class)
			peer.PeerMessage(b.now, 3, r.lastMessage)
		}
	}
	for _, b := range []*Balancer{b, peer} {
		for class := range cfg.Classes {
			o := b.newRequest(Request{ID: RequestID(50 + class), Class: class, Key: key, Budget: 8})
			if got := b.pick(o, nil); (got.ID == dropsOne.ID) == (class == 1) {
				t.Errorf("class %d at host %d", class, got.ID)
			}
			if b.dropsClass(b.hostByID[dropsAll.ID], class) {
				t.Errorf("class %d: a host that loses all classes is ejected for it", class)
			}
		}
		b.now += 3 * lossMemoryAims * b.longestAim
		if got := b.pick(b.newRequest(Request{ID: 99, Class: 1, Key: key, Budget: 8}),
			nil); got.ID != dropsOne.ID {
			t.Errorf("losses do not decay: class 1 at host %d", got.ID)
		}
	}
}
