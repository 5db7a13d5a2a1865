package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
)

const (
	noticeSeconds = 2.2
	serveSeconds  = 5.0
)

// A request for the host of a stopping proxy is turned away, unrun, if it might still be at work when the process ends.
func TestStoppingProxyTurnsAwayWhatMayOutlastIt(t *testing.T) {
	f := newHostFixture(t)
	f.sidecar.BeginShutdown(f.now, noticeSeconds, serveSeconds)
	early := f.forward(0.2, 30)
	f.hostAnswers(early)
	f.advance(3.1)
	f.nextHeartbeat()
	tooLong, inTime := f.forward(0.2, 2), f.forward(0.2, 1.8)
	f.wantOutcome(early, outcome.Answered)
	f.wantOutcome(tooLong, outcome.TurnedAway)
	if n := f.runs[len(f.runs)-1]; n != inTime {
		t.Errorf("request %d runs, want %d, which ends in time", n, inTime)
	}
}

// When a proxy stops serving, what waits beside its host is rejected, and what runs goes on to its end.
func TestStopServingRejectsWhatWaits(t *testing.T) {
	f := newHostFixture(t)
	f.sidecar.BeginShutdown(f.now, noticeSeconds, serveSeconds)
	var running []uint64
	for range 4 {
		running = append(running, f.forward(1, 10))
	}
	waiting, late := f.forward(1, 10), f.forward(0, 10)
	f.sidecar.StopServing(f.now)
	f.collect()
	f.wantOutcome(waiting, outcome.TurnedAway)
	f.wantOutcome(late, outcome.TurnedAway)
	f.wantOutcome(f.forward(0.1, 0.2), outcome.TurnedAway)
	for _, n := range running {
		f.hostAnswers(n)
		f.wantOutcome(n, outcome.Answered)
	}
	if len(f.runs) != 4 || !f.sidecar.Idle() {
		t.Errorf("%d runs, want 4; idle %v", len(f.runs), f.sidecar.Idle())
	}
}

// When a proxy stops serving, no request of its clients goes to a host any more: neither a new one, nor one that was not sent
// yet, nor a further attempt of one that came back. Each is refused with 503, as it has not run.
func TestStopServingRefusesClients(t *testing.T) {
	c, peer, ping := newTrackedRequest(t, 1)
	c.sidecar.BeginShutdown(c.now, noticeSeconds, serveSeconds)
	c.sidecar.StopServing(c.now)
	c.collect()
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
	c.sidecar.Submit(c.now, &Request{Method: "POST", Target: "/x/2", Host: "h.example", ID: "q2", Timeout: 0.1})
	c.collect()
	if n := c.countForwards("p1") + c.countForwards("p2"); n > 0 {
		t.Errorf("%d attempts were sent", n)
	}
	c.wantRefused(t, 2)

	c, peer, ping = newTrackedRequest(t, 1)
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
	_, rpc := c.newestMessage(t, isForward)
	c.sidecar.BeginShutdown(c.now, noticeSeconds, serveSeconds)
	c.sidecar.StopServing(c.now)
	c.collect()
	turned := &meshpb.Forwarded{Verdict: uint32(outcome.TurnedAway), BackMs: 1}
	c.receive(peer, meshpb.Answer(rpc, &meshpb.Message{Responder: 40, Forwarded: turned}))
	if n := c.countForwards("p1") + c.countForwards("p2"); n != 1 {
		t.Errorf("%d attempts were sent, want 1", n)
	}
	c.wantRefused(t, 1)
}

func (c *clientFixture) wantRefused(t *testing.T, n int) {
	t.Helper()
	refused := 0
	for _, r := range c.replies {
		if r.Status == 503 && r.RetryAfter > 0 {
			refused++
		}
	}
	if refused != n || len(c.replies) != n || !c.sidecar.Idle() {
		t.Errorf("replies %v, want %d times 503; idle %v", c.replies, n, c.sidecar.Idle())
	}
}
