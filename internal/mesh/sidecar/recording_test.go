package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

func isSettle(m *meshpb.Message) bool { return m.Settle != nil }

// answeredOperation makes a sidecar that has passed on a host's response to an operation. It returns the peer that sent
// the response, and the attempt.
func answeredOperation(t *testing.T) (c *clientFixture, peer string, attempt *meshpb.Message) {
	t.Helper()
	c = newClientFixture(6)
	server, pull := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Pull != nil })
	update := &meshpb.Update{FromServer: true, Edition: 2, Text: []byte(trackedRoute)}
	c.receive(server, meshpb.Answer(pull, &meshpb.Message{Update: update}))
	c.sidecar.Submit(c.now, &Request{Method: "POST", Target: "/x/1", Host: "h.example", ID: "q1", IdempotencyKey: "k", Timeout: 5})
	c.collect()
	peer, ping := c.newestMessage(t, isPing)
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
	_, attempt = c.newestMessage(t, isForward)
	answered := &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200, Body: []byte("done")}
	c.receive(peer, meshpb.Answer(attempt, &meshpb.Message{Responder: 40, Forwarded: answered}))
	if len(c.replies) != 1 || c.replies[0].Status != 200 {
		t.Fatalf("replies %v, want one 200", c.replies)
	}
	return c, peer, attempt
}

func (c *clientFixture) settles() (all []*meshpb.Settle) {
	for _, sent := range c.sent {
		for _, m := range sent {
			if isSettle(m) {
				all = append(all, m.Settle)
			}
		}
	}
	return all
}

// The sidecar that has passed on a response records it, within a second, if the sidecar beside the host does not confirm
// that it has: that one may be cut off, or have ended.
func TestUnconfirmedOutcomeIsRecorded(t *testing.T) {
	c, peer, attempt := answeredOperation(t)
	right := meshpb.Answer(attempt, &meshpb.Message{Responder: 40, Recorded: &meshpb.Recorded{}})
	for _, wrong := range wrongResponses(peer, right) {
		c.receive(wrong.from, wrong.answer)
	}
	if c.sidecar.Idle() {
		t.Error("the sidecar counts as idle while the record is not confirmed")
	}
	c.advance(0.6)
	all := c.settles()
	if len(all) == 0 {
		t.Fatal("the response is not recorded after 0.6 s")
	}
	receipt := all[0].Receipt
	if all[0].Key != operationKey("h.example", "k") || receipt.State != register.Done || receipt.Status != 200 ||
		string(receipt.Body) != "done" || receipt.Token != attempt.Forward.Token {
		t.Errorf("recorded %v", all[0])
	}
}

// A confirmed outcome is not recorded a second time.
func TestConfirmedOutcomeIsNotRecordedAgain(t *testing.T) {
	c, peer, attempt := answeredOperation(t)
	c.receive(peer, meshpb.Answer(attempt, &meshpb.Message{Responder: 40, Recorded: &meshpb.Recorded{}}))
	c.advance(2)
	if n := len(c.settles()); n > 0 || !c.sidecar.Idle() {
		t.Errorf("%d settle messages, idle %v", n, c.sidecar.Idle())
	}
}

// The sidecar beside the host confirms an outcome once all registers of the operation have it, and not before.
func TestOutcomeIsConfirmedOnceRecorded(t *testing.T) {
	c := newClaimFixture(t)
	forward := &meshpb.Forward{Station: "i-1", Token: 1, Key: operationKey("Shop.example", "k"), AimUs: 4e5, LeftUs: 1e6}
	c.sidecar.Receive(c.now, "there", &meshpb.Message{Id: 5, Life: 9, Forward: forward})
	settled, confirmed := 0, 0
	for range 6 {
		out := c.sidecar.TakeOutput()
		for _, s := range out.Sends {
			answer := &meshpb.Claimed{State: register.Claimed, Token: 1}
			switch m := s.Message; {
			case m.Recorded != nil:
				if confirmed++; s.To != "there" || m.Id != 5 || m.Life != 9 || settled < 2 {
					t.Errorf("confirmed to %s for request %d of %d after %d records", s.To, m.Id, m.Life, settled)
				}
				continue
			case m.Settle != nil:
				settled, answer.State = settled+1, register.Done
			case m.Claim == nil:
				continue
			}
			c.sidecar.Receive(c.now, s.To, meshpb.Answer(s.Message, &meshpb.Message{Claimed: answer}))
		}
		for _, command := range out.Commands {
			if exchange, ok := command.(Exchange); ok {
				c.sidecar.ExchangeDone(c.now, exchange.Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
			}
		}
	}
	if settled != 2 || confirmed != 1 {
		t.Errorf("%d records and %d confirmations, want 2 and 1", settled, confirmed)
	}
}
