package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/transport"
)

const trackedRoute = `{"edition":"r2","itineraries":[{"name":"a","depot":"h.example","lanePrefix":"/x/",
"routeKind":"tracked","tries":2,"timeoutMs":5000,"targetMs":3000,
"carrier":"shop"}],"carriers":[{"name":"shop","healthPath":"/health"}]}`

func isForward(m *meshpb.Message) bool { return m.Forward != nil }
func isPing(m *meshpb.Message) bool    { return m.Ping != nil }

// newTrackedRequest makes a sidecar that got a request that may not be repeated. It returns the peer that was picked
// and the ping sent to it.
func newTrackedRequest(t *testing.T, seed uint64) (c *clientFixture, peer string, ping *meshpb.Message) {
	t.Helper()
	c = newClientFixture(seed)
	server, pull := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Pull != nil })
	update := &meshpb.Update{FromServer: true, Edition: 2, Text: []byte(trackedRoute)}
	c.receive(server, meshpb.Answer(pull, &meshpb.Message{Update: update}))
	c.sidecar.Submit(c.now, &Request{Method: "POST", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	c.collect()
	if c.countForwards("p1")+c.countForwards("p2") > 0 {
		t.Fatal("the attempt was sent before the incarnation of its peer was known")
	}
	peer, ping = c.newestMessage(t, isPing)
	return c, peer, ping
}

// countForwards counts the attempts that were sent to a peer.
func (c *clientFixture) countForwards(to string) (n int) {
	for _, m := range c.sent[to] {
		if isForward(m) {
			n++
		}
	}
	return n
}

// An attempt that may not be repeated is sent once the incarnation of its peer is known, and names it. A response of
// another process at that address is dropped.
func TestUnrepeatableGoesToAKnownProcess(t *testing.T) {
	const peerIncarnation = 40
	c, peer, ping := newTrackedRequest(t, 1)
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: peerIncarnation, Pong: &meshpb.Ping{}}))
	to, rpc := c.newestMessage(t, isForward)
	if to != peer || rpc.Forward.GateLife != peerIncarnation || c.countForwards(peer) != 1 {
		t.Fatalf("%d attempts, the last one to %s for incarnation %d", c.countForwards(peer), to, rpc.Forward.GateLife)
	}
	turned := &meshpb.Forwarded{Verdict: uint32(outcome.TurnedAway)}
	c.receive(peer, meshpb.Answer(rpc, &meshpb.Message{Responder: peerIncarnation + 2, Forwarded: turned}))
	if n := c.sidecar.counts.Dropped[dropOtherResponder]; n != 1 {
		t.Errorf("%d responses of another process dropped, want 1", n)
	}
	if len(c.replies) != 1 || c.replies[0].Status != 502 || c.countForwards("p1")+c.countForwards("p2") != 1 {
		t.Errorf("replies %v, want one 502, as the request may have run", c.replies)
	}
}

// An attempt held for a peer that is unreachable or silent was not sent, so the request goes to another host.
func TestUnrepeatableThatWasHeldGoesElsewhere(t *testing.T) {
	for name, lose := range map[string]func(c *clientFixture, peer string){
		"broken": func(c *clientFixture, peer string) {
			c.sidecar.ConnectionLost(c.now, transport.Disconnected{Peer: peer, Link: 1})
			c.collect()
		},
		"silent": func(c *clientFixture, peer string) {
			for at, _ := c.newestMessage(t, isPing); at == peer && c.now < 2; at, _ = c.newestMessage(t, isPing) {
				c.advance(0.02)
			}
		},
	} {
		c, peer, _ := newTrackedRequest(t, 2)
		lose(c, peer)
		other, ping := c.newestMessage(t, isPing)
		if other == peer {
			t.Fatalf("%s: no other peer was pinged", name)
		}
		c.receive(other, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
		if c.countForwards(peer) != 0 || c.countForwards(other) != 1 || len(c.replies) > 0 {
			t.Errorf("%s: %d attempts at the lost peer, %d at the other, replies %v", name, c.countForwards(peer),
				c.countForwards(other), c.replies)
		}
	}
}

// An attempt that was held until its deadline is not sent.
func TestHeldPastItsTimeDoesNotGo(t *testing.T) {
	c, peer, _ := newTrackedRequest(t, 4)
	for range 300 {
		c.advance(0.02)
		for _, proxy := range []string{"p1", "p2"} { // they are alive, but do not answer
			c.receive(proxy, &meshpb.Message{Id: 1, Ping: &meshpb.Ping{}})
		}
	}
	_, ping := c.newestMessage(t, isPing)
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
	if c.countForwards("p1")+c.countForwards("p2") > 0 || len(c.replies) != 1 {
		t.Errorf("%d and %d attempts were sent, replies %v", c.countForwards("p1"), c.countForwards("p2"), c.replies)
	}
}
