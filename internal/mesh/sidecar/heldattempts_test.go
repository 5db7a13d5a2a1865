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

// onceCaller is a proxy that has been asked something that may not be repeated, and has pinged the proxy that
// it picked.
func newTrackedRequest(t *testing.T, seed uint64) (c *clientFixture, peer string, ping *meshpb.Message) {
	t.Helper()
	c = newClientFixture(seed)
	hall, pull := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Pull != nil })
	update := &meshpb.Update{FromServer: true, Edition: 2, Text: []byte(trackedRoute)}
	c.receive(hall, meshpb.Answer(pull, &meshpb.Message{Update: update}))
	c.sidecar.Submit(c.now, &Request{Method: "POST", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	c.collect()
	if c.countForwards("p1")+c.countForwards("p2") > 0 {
		t.Fatal("it went to a process that is not known")
	}
	peer, ping = c.newestMessage(t, isPing)
	return c, peer, ping
}

// forwards counts the requests that went to a peer.
func (c *clientFixture) countForwards(to string) (n int) {
	for _, m := range c.sent[to] {
		if isForward(m) {
			n++
		}
	}
	return n
}

// What may not be repeated goes once it is known to which process, and names it. An answer by another process
// at that address is none.
func TestUnrepeatableGoesToAKnownProcess(t *testing.T) {
	const proxyLife = 40
	c, peer, ping := newTrackedRequest(t, 1)
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: proxyLife, Pong: &meshpb.Ping{}}))
	to, q := c.newestMessage(t, isForward)
	if to != peer || q.Forward.GateLife != proxyLife || c.countForwards(peer) != 1 {
		t.Fatalf("%d requests, to %s for %d", c.countForwards(peer), to, q.Forward.GateLife)
	}
	turned := &meshpb.Forwarded{Verdict: uint32(outcome.Turned)}
	c.receive(peer, meshpb.Answer(q, &meshpb.Message{Responder: proxyLife + 2, Forwarded: turned}))
	if n := c.sidecar.counts.Dropped[dropOtherResponder]; n != 1 {
		t.Errorf("%d answers of another process dropped", n)
	}
	if len(c.replies) != 1 || c.replies[0].Status != 502 || c.countForwards("p1")+c.countForwards("p2") != 1 {
		t.Errorf("replies %v: the process that had it may have run it", c.replies)
	}
}

// What was held for a process that cannot be reached, or says nothing, has not gone: it goes to another.
func TestUnrepeatableThatWasHeldGoesElsewhere(t *testing.T) {
	for name, lose := range map[string]func(c *clientFixture, peer string){
		"broken": func(c *clientFixture, peer string) {
			c.sidecar.ConnectionLost(c.now, transport.Broke{Peer: peer, Link: 1})
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
			t.Fatalf("%s: nobody else is asked", name)
		}
		c.receive(other, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
		if c.countForwards(peer) != 0 || c.countForwards(other) != 1 || len(c.replies) > 0 {
			t.Errorf("%s: %d requests to the lost one, %d to the other, replies %v", name, c.countForwards(peer),
				c.countForwards(other), c.replies)
		}
	}
}

// What was held until its client's time was over does not go.
func TestHeldPastItsTimeDoesNotGo(t *testing.T) {
	c, peer, _ := newTrackedRequest(t, 4)
	for range 300 {
		c.advance(0.02)
		for _, proxy := range []string{"p1", "p2"} { // they are there, and do not answer
			c.receive(proxy, &meshpb.Message{Id: 1, Ping: &meshpb.Ping{}})
		}
	}
	_, ping := c.newestMessage(t, isPing)
	c.receive(peer, meshpb.Answer(ping, &meshpb.Message{Responder: 40, Pong: &meshpb.Ping{}}))
	if c.countForwards("p1")+c.countForwards("p2") > 0 || len(c.replies) != 1 {
		t.Errorf("%d and %d requests went, replies %v", c.countForwards("p1"), c.countForwards("p2"), c.replies)
	}
}
