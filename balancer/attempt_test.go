package balancer

import "testing"

// TestSecondTry checks rule 2: what may follow each result of an attempt.
func TestSecondTry(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		wait   float64 // seconds between the attempt and its end
		want   string
	}{
		{"safe is sent again after an error", 0, Errored, 0, "send"},
		{"unsafe fails after an error", 1, Errored, 0, "fail"},
		{"unsafe fails after a reset", 1, Reset, 0, "fail"},
		{"unsafe fails after a time-out", 1, TimedOut, 0, "fail"},
		{"unsafe fails after a cancel", 1, Cancelled, 0, "fail"},
		{"unsafe is sent again when the connection failed", 1, ConnectFailed, 0, "send"},
		{"unsafe is sent again when turned away", 1, Rejected, 0, "send"},
		{"keyed is sent again inside its window", 2, Errored, 1, "send"},
		{"keyed fails after its window", 2, Errored, 3.5, "fail"},
		{"keyed with group all is refused after its window", 3, Errored, 3.5, "refuse"},
		{"safe is refused after a time-out", 0, TimedOut, 0, "refuse"},
		{"a skipped attempt is not retried", 1, Skipped, 0, "refuse"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := startBalancer(testConfig(), fleet(6))
			h := r.request(b, 1, c.class, 9)
			r.advance(b, r.now+c.wait)
			r.end(b, 1, 0, h, c.result)
			if got := r.last(); got.kind != c.want || got.id != 1 {
				t.Fatalf("got %+v, want %s", got, c.want)
			}
			if c.want == "send" && c.class == 2 && r.last().host%2 != h%2 {
				t.Fatalf("a keyed retry left its zone: %d after %d", r.last().host, h)
			}
		})
	}
}

// TestNoTimeLeft guards against queueing a request that comes with a zero budget: it must be answered at
// once.
func TestNoTimeLeft(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(4))
	b.Request(r.now, Request{ID: 1, Budget: 0})
	if got := r.last(); got.kind != "refuse" || r.count("send") != 0 {
		t.Fatalf("got %+v after %d sends", got, r.count("send"))
	}
}

// TestRepeatsGiveWay guards against serving repeats that are already late. Where a late answer is worth
// nothing and attempts are late, a marked repeat is shed before first tries, since its aim counts from an
// earlier try.
func TestRepeatsGiveWay(t *testing.T) {
	for _, c := range []struct{ lateWorth, late, least, most float64 }{
		{0, 0, 0, 0}, {0, 0.1, 0.4, 0.8}, {0, 0.3, 1, 1}, {0.5, 0.3, 0, 0}} {
		cfg := testConfig()
		cfg.Classes[0].LateWorth = c.lateWorth
		b, _ := startBalancer(cfg, fleet(10))
		shed := 0.0
		b.lateShare = c.late
		for i := range RequestID(500) {
			o := b.newRequest(Request{ID: 1 + i, Budget: 8, Repeat: true})
			if b.shedEarly(o) {
				shed += 1.0 / 500
			}
			first := *o
			first.Repeat = false
			if b.shedEarly(&first) {
				t.Fatalf("%+v: a first try was shed", c)
			}
		}
		if shed < c.least-1e-9 || shed > c.most+1e-9 {
			t.Errorf("%+v: %.2f of the repeats were shed", c, shed)
		}
	}
}

// TestSentAgainAtTheMark: a safe request that is worth nothing late leaves a host that has not answered by
// the late mark, one attempt at a time. No other request does, and none does while half of all attempts are
// late.
func TestSentAgainAtTheMark(t *testing.T) {
	for _, c := range []struct {
		class           int
		lateWorth, late float64
		want            int
	}{{0, 0, 0, 1}, {1, 0, 0, 0}, {0, 0.5, 0, 0}, {0, 0, 0.9, 0}} {
		cfg := testConfig()
		cfg.Classes[c.class].LateWorth = c.lateWorth
		b, r := startBalancer(cfg, fleet(10))
		first := r.request(b, 1, c.class, 7)
		b.lateShare = c.late
		r.advance(b, r.now+0.6*cfg.Classes[c.class].Aim)
		if n := r.count("cancel"); n != c.want || r.sends[1] != 1 {
			t.Errorf("%+v: %d cancelled, %d attempts", c, n, r.sends[1])
		}
		if c.want > 0 {
			r.end(b, 1, 0, first, Cancelled)
			if r.sends[1] != 2 || r.last().host == first {
				t.Errorf("%+v: %d attempts, the last at %d after %d", c, r.sends[1], r.last().host, first)
			}
		}
	}
}

// TestOneMoreTry guards against retry storms on full hosts: only failed connections are retried more than
// once, up to MaxAttempts.
func TestOneMoreTry(t *testing.T) {
	for _, c := range []struct {
		result Result
		want   int
	}{{Rejected, 2}, {Errored, 2}, {ConnectFailed, 4}, {TimedOut, 1}} {
		b, r := startBalancer(testConfig(), fleet(9))
		h := r.request(b, 1, 0, 7)
		for try := 0; r.last().kind == "send" && try < 9; try++ {
			r.end(b, 1, try, h, c.result)
		}
		if r.sends[1] != c.want {
			t.Errorf("result %d: %d attempts, want %d", c.result, r.sends[1], c.want)
		}
	}
}
