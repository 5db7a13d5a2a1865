package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"beechwing/balancer"
)

// startWithTwoHosts starts a proxy with a fake balancer and two hosts, h1 and h2.
func startWithTwoHosts(t *testing.T, s *fakeBalancer, h1, h2 *fakeHost) *testProxy {
	t.Helper()
	l := newFakeDiscovery(t, entry("h1", h1.addr()), entry("h2", h2.addr()))
	g := startProxy(t, l.addr(), "null", s.install)
	g.waitReady()
	return g
}

// noResponse is a host's handler that leaves requests unanswered.
func noResponse(net.Conn, receivedRequest) bool { return true }

// TestSecondCopy checks a hedged request: with two attempts outstanding, the client gets the first complete response, and
// the other attempt is cancelled.
func TestSecondCopy(t *testing.T) {
	slow, quick := newFakeHost(t, noResponse), newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	s.onRequest = func(s *fakeBalancer, r balancer.Request) {
		s.act.Send(r.ID, hostID("h1"), 0)
		s.act.Send(r.ID, hostID("h2"), 0)
	}
	g := startWithTwoHosts(t, s, slow, quick)
	if a := g.raw(requestText("read", "")); a.status != http.StatusOK {
		t.Fatalf("answered %d", a.status)
	}
	first, second := s.outcomes.next(t, "an outcome"), s.outcomes.next(t, "the other outcome")
	if first.Attempt != 1 || first.Result != balancer.OK || !first.Final {
		t.Errorf("first outcome %+v", first)
	}
	if second.Attempt != 0 || second.Result != balancer.Cancelled || !second.Final {
		t.Errorf("second outcome %+v", second)
	}
}

// TestCancel checks that a cancelled attempt closes its connection and has exactly one outcome, and that another attempt
// may follow.
func TestCancel(t *testing.T) {
	slow, quick := newFakeHost(t, noResponse), newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	s.onOutcome = func(s *fakeBalancer, o balancer.Outcome) {
		if o.Result == balancer.Cancelled {
			s.act.Send(o.ID, hostID("h2"), 0)
		}
	}
	g := startWithTwoHosts(t, s, slow, quick)
	c := g.dial()
	io.WriteString(c, requestText("read", ""))
	slow.requests.next(t, "the request")
	g.p.owner.post(ownerFunc(func(o *owner) {
		o.Cancel(1, 0)
		o.Cancel(1, 0) // a second time
		o.Cancel(1, 7) // no such attempt
		o.Cancel(9, 0) // no such request
	}))
	if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Cancelled || o.Final {
		t.Fatalf("outcome %+v", o)
	}
	if a := readResponse(t, bufio.NewReader(c)); a.status != http.StatusOK {
		t.Fatalf("answered %d", a.status)
	}
	if err := slow.ended.next(t, "the end of the connection"); err == nil {
		t.Fatal("the host ended it")
	}
	s.outcomes.next(t, "the second attempt's outcome")
	s.outcomes.none(t, "another outcome")
}

// ownerFunc is an event that runs a function in the owner's goroutine.
type ownerFunc func(o *owner)

func (f ownerFunc) apply(o *owner) { f(o) }

// TestNeverDispatched checks that attempts which must not be sent still have an outcome, delivered after the action has
// returned.
func TestNeverDispatched(t *testing.T) {
	h1, h2 := newFakeHost(t, respondWith(okResponse)), newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	s.onRequest = func(s *fakeBalancer, r balancer.Request) {
		switch r.Key {
		case hashName("unknown host"):
			s.act.Send(r.ID, hostID("nobody"), 0)
		case hashName("negative time"):
			s.act.Send(r.ID, hostID("h1"), -1)
		case hashName("answered"):
			s.act.Fail(r.ID)
			s.act.Send(r.ID, hostID("h1"), 0)
		case hashName("twice answered"):
			s.act.Refuse(r.ID, 0.25)
			s.act.Fail(r.ID)
			s.act.Send(r.ID, hostID("h1"), 0)
		}
	}
	g := startWithTwoHosts(t, s, h1, h2)
	for _, c := range []struct {
		key    string
		result balancer.Result
		status int
	}{
		{"unknown host", balancer.ConnectFailed, http.StatusBadGateway},
		{"negative time", balancer.Skipped, http.StatusBadGateway},
		{"answered", balancer.Skipped, http.StatusBadGateway},
		{"twice answered", balancer.Skipped, http.StatusServiceUnavailable},
	} {
		t.Run(c.key, func(t *testing.T) {
			a := g.raw(requestText("write", "x", "X-Entity: "+c.key))
			o := s.outcomes.next(t, "the outcome")
			if a.status != c.status || o.Result != c.result || !o.Result.NeverRan() {
				t.Fatalf("answered %d, outcome %+v", a.status, o)
			}
			if c.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "0.250" {
				t.Errorf("Retry-After %q", a.header.Get("Retry-After"))
			}
		})
	}
	h1.requests.none(t, "the host got a request")
}

// TestMostAttempts checks that attempts beyond MaxAttempts are not sent.
func TestMostAttempts(t *testing.T) {
	fails := newFakeHost(t, respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	s.onOutcome = func(s *fakeBalancer, o balancer.Outcome) {
		if o.Result == balancer.Skipped {
			s.act.Fail(o.ID)
		} else {
			s.act.Send(o.ID, hostID("h1"), 0)
		}
	}
	g := startOneHost(t, fails, s.install)
	g.raw(requestText("read", ""))
	for n := range 4 {
		want := balancer.Errored
		if n == 3 {
			want = balancer.Skipped
		}
		if o := s.outcomes.next(t, "an outcome"); o.Result != want || o.Attempt != n {
			t.Fatalf("outcome %+v, want %v", o, want)
		}
	}
}

// TestNothingAfterAnswer checks that a request which is answered while its attempt is still connecting is not sent.
func TestNothingAfterAnswer(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	var wg sync.WaitGroup
	s.onRequest = func(s *fakeBalancer, r balancer.Request) {
		s.act.Send(r.ID, hostID("h1"), 0)
		s.act.Refuse(r.ID, 0) // allowed, since no attempt has been written yet
	}
	g := startOneHost(t, h, s.install)
	const n = 200
	for range n {
		wg.Go(func() {
			if a := g.raw(requestText("write", "x")); a.status != http.StatusServiceUnavailable {
				t.Errorf("answered %d", a.status)
			}
		})
	}
	wg.Wait()
	for range n {
		if o := s.outcomes.next(t, "an outcome"); o.Result == balancer.OK {
			t.Fatal("an attempt went on after the answer")
		}
	}
	s.outcomes.none(t, "one more outcome")
}

// TestGone checks that the balancer is told once of a client that disconnects, and that its outstanding attempts are
// cancelled.
func TestGone(t *testing.T) {
	h := newFakeHost(t, noResponse)
	s := newFakeBalancer()
	s.onRequest = sendsOnceTo("h1")
	g := startOneHost(t, h, s.install)
	c := g.dial()
	io.WriteString(c, requestText("write", "x"))
	h.requests.next(t, "the request")
	c.Close()
	if id := s.clientsLeft.next(t, "the client's disconnect"); id != 1 {
		t.Fatalf("request %d", id)
	}
	if o := s.outcomes.next(t, "the outcome"); o.Result != balancer.Cancelled || !o.Final {
		t.Fatalf("outcome %+v", o)
	}
	s.clientsLeft.none(t, "a second disconnect")
}

// TestBrokenCrowd checks that many broken clients and hosts leave no goroutine, buffer or file descriptor behind. Buffers
// are checked at the end of every test.
func TestBrokenCrowd(t *testing.T) {
	var mu sync.Mutex
	n := 0
	h := newFakeHost(t, func(c net.Conn, r receivedRequest) bool {
		mu.Lock()
		n++
		mode := n % 5
		mu.Unlock()
		switch mode {
		case 0:
			resetConn(c)
			return false
		case 1:
			io.WriteString(c, okResponse[:len(okResponse)-2])
			return false
		case 2:
			return true // no response
		case 3:
			io.WriteString(c, "nonsense\r\n\r\n")
			return false
		}
		return respondWith(okResponse)(c, r)
	})
	before := openDescriptors(t)
	l := newFakeDiscovery(t, entry("h1", h.addr()))
	g := startProxy(t, l.addr(), "null")
	g.waitReady()
	request := requestText("write", strings.Repeat("x", 30000), "X-Remaining: 100m")
	var wg sync.WaitGroup
	for k := range 60 {
		wg.Go(func() {
			c, err := net.Dial("tcp", g.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			switch k % 4 {
			case 0:
				io.WriteString(c, request[:len(request)/2])
			case 1:
				io.WriteString(c, request)
				resetConn(c)
			case 2:
				io.WriteString(c, "nonsense\r\n\r\n")
				readResponse(t, bufio.NewReader(c))
			default:
				io.WriteString(c, request)
				if a := readResponse(t, bufio.NewReader(c)); a.status == 0 {
					t.Error("a complete request got no response")
				}
			}
		})
	}
	wg.Wait()
	g.stop()
	h.close()
	l.close()
	goleak.VerifyNone(t)
	if after := openDescriptors(t); after > before {
		t.Fatalf("%d descriptors before, %d after", before, after)
	}
}

// TestTimers checks that timers fire in order, and none before its time.
func TestTimers(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	g := startOneHost(t, h, s.install)
	type fired struct {
		token uint64
		late  float64
	}
	got := make(eventChan[fired], 8)
	g.p.owner.post(ownerFunc(func(o *owner) {
		began := o.clock.now()
		o.bal = timerScript{s, func(token uint64) { got <- fired{token, o.clock.now() - began - float64(token)/1000} }}
		for _, ms := range []uint64{30, 10, 20, 0} {
			o.Timer(float64(ms)/1000, ms)
		}
	}))
	for _, want := range []uint64{0, 10, 20, 30} {
		if f := got.next(t, "a timer"); f.token != want || f.late < 0 {
			t.Fatalf("timer %+v, want %d", f, want)
		}
	}
}

// timerScript is a fake balancer that passes timer events to a function.
type timerScript struct {
	*fakeBalancer
	fired func(uint64)
}

func (s timerScript) Timer(_ float64, token uint64) { s.fired(token) }

// TestQueueTimeCounts checks that the time a request waits in the owner's queue is deducted from its budget.
func TestQueueTimeCounts(t *testing.T) {
	h := newFakeHost(t, respondWith(okResponse))
	s := newFakeBalancer()
	budgets := make(eventChan[float64], 1)
	s.onRequest = func(s *fakeBalancer, r balancer.Request) {
		budgets <- r.Budget
		s.act.Refuse(r.ID, 0)
	}
	g := startOneHost(t, h, s.install)
	for _, c := range []struct{ waited, least, most float64 }{{1, 0, 0.4}, {5, 0, 0}} {
		q := &request{Request: balancer.Request{Budget: 1.4}, head: g.p.bufs.Buffer(), response: make(chan clientResponse, 1),
			receivedAt: time.Now().Add(-seconds(c.waited))}
		q.names = g.p.owner.names
		g.p.owner.post(requestReceived{q})
		if got := budgets.next(t, "the request"); got < c.least || got > c.most {
			t.Errorf("after %v s in the queue the budget is %v s", c.waited, got)
		}
	}
}
