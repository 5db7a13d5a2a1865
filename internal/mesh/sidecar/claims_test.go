package sidecar

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// claimFixture is a sidecar that receives requests with idempotency keys, with control servers whose answers the test
// sets.
type claimFixture struct {
	*hostFixture
	answerClaim func(claim *meshpb.Claim) *meshpb.Claimed // nil: no answer
	claims      int                                       // number of claims sent
	finished    []*meshpb.Forwarded
	heartbeats  uint64
}

func newClaimFixture(t *testing.T) *claimFixture {
	c := &claimFixture{hostFixture: newHostFixture(t)}
	c.sidecar.discovery.servers = []string{"s1", "s2", "s3", "s4"}
	return c
}

// run sends the given number of requests a second for some seconds.
func (c *claimFixture) run(rate, seconds float64) {
	const tick = 0.01
	dueRequests, nextHeartbeatAt := 0.0, c.now
	for until := c.now + seconds; c.now < until; c.now += tick {
		if c.now >= nextHeartbeatAt {
			nextHeartbeatAt += 1.5
			c.heartbeats++
			c.sidecar.Heartbeat(c.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 1 + c.heartbeats})
		}
		for dueRequests += rate * tick; dueRequests >= 1; dueRequests-- {
			c.lastID++
			c.sidecar.Receive(c.now, "there", &meshpb.Message{Id: c.lastID, Life: 9, Forward: &meshpb.Forward{Station: "i-1",
				Token: c.lastID, Key: fmt.Sprint("k", c.lastID), AimUs: 4e5, LeftUs: 1e6}})
		}
		c.sidecar.Tick(c.now)
		c.settleAll()
	}
}

// settleAll delivers claims and settle messages with their answers, and has the host answer at once, until the sidecar
// sends nothing any more.
func (c *claimFixture) settleAll() {
	for {
		out := c.sidecar.TakeOutput()
		if len(out.Sends) == 0 && len(out.Commands) == 0 {
			return
		}
		for _, s := range out.Sends {
			if forwarded := s.Message.Forwarded; forwarded != nil {
				c.finished = append(c.finished, forwarded)
			}
			if s.Message.Claim != nil {
				c.claims++
			}
			token := s.Message.Claim.GetToken() | s.Message.Settle.GetReceipt().GetToken()
			if answer := c.answerClaim(s.Message.Claim); token > 0 && answer != nil {
				answer.Token = token
				c.sidecar.Receive(c.now, s.To, &meshpb.Message{Id: s.Message.Id, Life: s.Message.Life, Claimed: answer})
			}
		}
		for _, command := range out.Commands {
			if exchange, ok := command.(Exchange); ok {
				c.sidecar.ExchangeDone(c.now, exchange.Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
			}
		}
	}
}

func granted(claim *meshpb.Claim) *meshpb.Claimed { return &meshpb.Claimed{State: register.Claimed} }
func silent(*meshpb.Claim) *meshpb.Claimed        { return nil }
func overloaded(*meshpb.Claim) *meshpb.Claimed {
	return &meshpb.Claimed{State: register.Unsure, Untouched: true, Overloaded: true}
}
func notVoting(*meshpb.Claim) *meshpb.Claimed {
	return &meshpb.Claimed{State: register.Unsure, Untouched: true}
}

// While the control plane is silent or overloaded, a sidecar sends it less than one claim for each request, and returns
// to the full rate within seconds of its recovery.
func TestClaimsFollowAnswers(t *testing.T) {
	const rate = 40.0
	for name, answer := range map[string]func(*meshpb.Claim) *meshpb.Claimed{"silent": silent, "overloaded": overloaded} {
		c := newClaimFixture(t)
		c.answerClaim = granted
		c.run(rate, 5)
		if got := float64(c.claims); got > 5*rate*1.02 {
			t.Errorf("%s: %.0f claims for %.0f requests while the control plane answers", name, got, 5*rate)
		}
		c.answerClaim, c.claims = answer, 0
		c.run(rate, 10)
		if share := float64(c.claims) / (10 * rate); share > 0.5 {
			t.Errorf("%s: %.2f claims for each request", name, share)
		}
		c.answerClaim = granted
		c.run(rate, 4)
		c.finished = nil
		c.run(rate, 4)
		served := 0
		for _, end := range c.finished {
			if end.Verdict == uint32(outcome.Answered) {
				served++
			}
		}
		if float64(served) < 0.9*4*rate {
			t.Errorf("%s: %d of %.0f requests run, beginning 4 s after the recovery", name, served, 4*rate)
		}
	}
}

// The response to an unclaimed request tells whether a claim may have been granted: yes if a control server gave no
// answer, and no if every server left the claim untouched.
func TestUntouchedClaimLeavesNothingBehind(t *testing.T) {
	for _, test := range []struct {
		name      string
		answer    func(*meshpb.Claim) *meshpb.Claimed
		mayBeHeld bool
	}{{"silent", silent, true}, {"overloaded", overloaded, false}, {"not voting", notVoting, false}} {
		c := newClaimFixture(t)
		c.answerClaim = test.answer
		c.run(20, 0.06)
		c.run(0, 1)
		if len(c.finished) == 0 {
			t.Fatalf("%s: no request has ended", test.name)
		}
		for _, end := range c.finished {
			if end.Verdict != uint32(outcome.Unclaimed) || end.Claimed != test.mayBeHeld {
				t.Errorf("%s: outcome %v, a claim may have been granted: %v", test.name, outcome.Outcome(end.Verdict), end.Claimed)
			}
		}
	}
}

// A grant counts even if it arrives after the claim was hedged at another control server.
func TestLateGrantCounts(t *testing.T) {
	c := newClaimFixture(t)
	var first *meshpb.Message
	c.lastID++
	c.sidecar.Receive(c.now, "there", &meshpb.Message{Id: c.lastID, Life: 9, Forward: &meshpb.Forward{Station: "i-1",
		Token: 1, Key: "k", AimUs: 4e5, LeftUs: 1e6}})
	claims := 0
	firstServer := ""
	for until := c.now + 0.2; c.now < until; c.now += 0.01 {
		c.sidecar.Tick(c.now)
		for _, s := range c.sidecar.TakeOutput().Sends {
			if s.Message.Claim == nil {
				continue
			}
			if claims++; first == nil {
				first, firstServer = s.Message, s.To
			}
		}
	}
	if claims != 2 {
		t.Fatalf("%d control servers were asked within 0.2 s, want 2", claims)
	}
	c.sidecar.Receive(c.now, firstServer, &meshpb.Message{Id: first.Id, Life: first.Life,
		Claimed: &meshpb.Claimed{State: register.Claimed, Token: 1}})
	if len(c.sidecar.TakeOutput().Commands) != 1 {
		t.Error("the request did not go to the host")
	}
}

// A burst of requests after a quiet time is claimed in full, as unanswered claims on their way must not throttle it.
func TestBurstIsClaimed(t *testing.T) {
	c := newClaimFixture(t)
	c.answerClaim = silent // while the answers are on their way
	c.run(0, 6)
	const burst = 100
	c.run(burst/0.02, 0.02)
	if c.claims < burst*9/10 {
		t.Errorf("%d claims for a burst of %d", c.claims, burst)
	}
}
