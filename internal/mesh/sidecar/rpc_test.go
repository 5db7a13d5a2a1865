package sidecar

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// clientFixture is a sidecar that sends requests to others. It records the messages that the sidecar sends and its
// replies.
type clientFixture struct {
	sidecar *Sidecar
	now     float64
	sent    map[string][]*meshpb.Message // by receiver
	replies []Reply
	runs    int
}

// newClientFixture makes a sidecar that knows two hosts, behind the sidecars "p1" and "p2", and has a host of its own.
// The control servers are "hall" and "annex".
func newClientFixture(seed uint64) *clientFixture {
	c := &clientFixture{now: 1, sent: map[string][]*meshpb.Message{}}
	c.sidecar = New(c.now, Options{
		Self:              "here",
		Zone:              "a",
		Service:           "till",
		Seeds:             []string{"hall"},
		HeartbeatInterval: 1.5,
		MaxBodyBytes:      1 << 20,
		RetryRatio:        0.2,
		RetrySlack:        60,
		Seed:              seed,
	})
	answerPull(c.sidecar, c.now, &meshpb.Update{
		FromServer: true,
		Edition:    1,
		Text:       []byte(safeRoute),
		Servers:    []string{"hall", "annex"},
		Records: []*meshpb.Record{
			{Source: "p1", Version: 1, Station: "i-1", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving},
			{Source: "p2", Version: 1, Station: "i-2", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving},
		},
	})
	c.sidecar.Heartbeat(c.now, Heartbeat{ID: "i-0", Service: "till", Slots: 4, Sequence: 1})
	c.sidecar.ProbeDone(c.now, "i-0", true)
	c.collect()
	return c
}

func (c *clientFixture) collect() {
	out := c.sidecar.TakeOutput()
	for _, s := range out.Sends {
		c.sent[s.To] = append(c.sent[s.To], s.Message)
	}
	for _, command := range out.Commands {
		switch command := command.(type) {
		case Respond:
			c.replies = append(c.replies, command.Reply)
		case Exchange:
			c.runs++
		}
	}
}

// receive passes a message to the sidecar.
func (c *clientFixture) receive(from string, m *meshpb.Message) {
	c.sidecar.Receive(c.now, from, proto.Clone(m).(*meshpb.Message))
	c.collect()
}

func (c *clientFixture) advance(seconds float64) {
	for end := c.now + seconds; c.now < end; {
		c.now += 0.02
		c.sidecar.Tick(c.now)
		c.collect()
	}
}

// newestMessage returns the newest matching message that was sent, and its receiver.
func (c *clientFixture) newestMessage(t *testing.T, matches func(*meshpb.Message) bool) (peer string, rpc *meshpb.Message) {
	t.Helper()
	for to, all := range c.sent {
		for _, m := range all {
			if matches(m) && (rpc == nil || m.Id > rpc.Id) {
				peer, rpc = to, m
			}
		}
	}
	if rpc == nil {
		t.Fatal("no such message was sent")
	}
	return peer, rpc
}

// wrongResponses are the ways in which a response may not belong to an RPC: the response, its sender, and the reason
// why it is dropped.
func wrongResponses(peer string, right *meshpb.Message) []struct {
	name, from, why string
	answer          *meshpb.Message
} {
	change := func(f func(*meshpb.Message)) *meshpb.Message {
		m := proto.Clone(right).(*meshpb.Message)
		f(m)
		return m
	}
	return []struct {
		name, from, why string
		answer          *meshpb.Message
	}{
		{"to a former process", peer, dropOtherIncarnation, change(func(m *meshpb.Message) { m.Life += 2 })},
		{"without an incarnation", "p9", dropOtherIncarnation, change(func(m *meshpb.Message) { m.Life = 0 })},
		{"from a peer that was not asked", "p9", dropOtherPeer, right},
		{"to no outstanding RPC", peer, dropNotOutstanding, change(func(m *meshpb.Message) { m.Id += 1 << 20 })},
	}
}

// A response to an attempt is accepted only once, and only from the sidecar to which the attempt was sent, with the
// incarnation and the ID of the attempt.
func TestForwardedCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(1)
	c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	c.collect()
	peer, rpc := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Forward != nil })
	answered := &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200}
	right := meshpb.Answer(rpc, &meshpb.Message{Forwarded: answered})
	for _, wrong := range wrongResponses(peer, right) {
		before := c.sidecar.counts.Dropped[wrong.why]
		c.receive(wrong.from, wrong.answer)
		if len(c.replies) > 0 || c.sidecar.counts.Dropped[wrong.why] != before+1 {
			t.Fatalf("a response %s: %d replies, dropped %v", wrong.name, len(c.replies), c.sidecar.counts.Dropped)
		}
	}
	c.receive(peer, right)
	c.receive(peer, right)
	if len(c.replies) != 1 || c.replies[0].Status != 200 || c.sidecar.counts.Dropped[dropNotOutstanding] != 2 {
		t.Errorf("the response, received twice: replies %v, dropped %v", c.replies, c.sidecar.counts.Dropped)
	}
}

// A claim is granted only by the control server to which it was sent and only to the incarnation that sent it, and the
// request runs once.
func TestClaimedCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(2)
	keyed := &meshpb.Forward{Station: "i-0", Key: "k", Token: 5, LeftUs: 3e6, AimUs: 1e6}
	c.receive("p1", &meshpb.Message{Id: 7, Life: 99, Forward: keyed})
	peer, rpc := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Claim != nil })
	right := meshpb.Answer(rpc, &meshpb.Message{Claimed: &meshpb.Claimed{State: register.Claimed, Token: 5}})
	for _, wrong := range wrongResponses(peer, right) {
		c.receive(wrong.from, wrong.answer)
	}
	other := proto.Clone(right).(*meshpb.Message)
	other.Claimed.Token = 6
	c.receive(peer, other)
	if c.runs > 0 || c.sidecar.counts.Dropped[dropOtherToken] != 1 {
		t.Fatalf("%d runs without a valid grant, dropped %v", c.runs, c.sidecar.counts.Dropped)
	}
	right.Life = 0 // older control servers do not return the incarnation
	c.receive(peer, right)
	c.receive(peer, right)
	if c.runs != 1 {
		t.Errorf("%d runs on one grant that was received twice", c.runs)
	}
}

// An update is accepted only as the response to a pull of this incarnation. An update for a former process at this
// address, or from a process that was not asked, could revert which proxies are silent and which control servers there
// are.
func TestUpdateCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(3)
	peer, rpc := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Pull != nil })
	right := meshpb.Answer(rpc, &meshpb.Message{Update: &meshpb.Update{FromServer: true, Servers: []string{"elsewhere"},
		Silent: []string{"p1"}}})
	for _, wrong := range wrongResponses(peer, right) {
		c.receive(wrong.from, wrong.answer)
		if s := c.sidecar.State(c.now); len(s.Silent) > 0 || len(s.Servers) != 2 {
			t.Fatalf("an update %s: silent %v, servers %v", wrong.name, s.Silent, s.Servers)
		}
	}
	c.receive(peer, right)
	if s := c.sidecar.State(c.now); len(s.Silent) != 1 || len(s.Servers) != 1 {
		t.Errorf("the awaited update: silent %v, servers %v", s.Silent, s.Servers)
	}
}

// A pong counts only as the response to the outstanding ping. Others must not change the mean pong time.
func TestPongCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(4)
	c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	c.advance(0.1)
	peer, rpc := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Ping != nil })
	right := meshpb.Answer(rpc, &meshpb.Message{Pong: &meshpb.Ping{}})
	for _, wrong := range wrongResponses(peer, right) {
		c.receive(wrong.from, wrong.answer)
		if c.sidecar.meanPongSeconds != 0 {
			t.Fatalf("a pong %s was measured", wrong.name)
		}
	}
	c.receive(peer, right)
	if c.sidecar.meanPongSeconds == 0 {
		t.Error("the pong was not measured")
	}
	once := c.sidecar.meanPongSeconds
	c.receive(peer, right)
	if c.sidecar.meanPongSeconds != once {
		t.Error("the same pong was measured twice")
	}
}

// Two incarnations at one address use no ID twice.
func TestLivesHaveIdsOfTheirOwn(t *testing.T) {
	const maxIDs = 1 << 32 // far more than any process uses
	incarnations := map[uint64]bool{}
	var first []uint64
	for seed := range uint64(200) {
		p := New(1, Options{Self: "here", Seeds: []string{"hall"}, Seed: seed})
		incarnations[p.incarnation] = true
		for _, other := range first {
			if max(p.lastID, other)-min(p.lastID, other) < maxIDs {
				t.Errorf("seed %d: IDs begin at %x, those of another incarnation at %x", seed, p.lastID, other)
			}
		}
		first = append(first, p.lastID)
	}
	if len(incarnations) != 200 {
		t.Errorf("200 processes have %d different incarnations", len(incarnations))
	}
}

// An attempt whose response never comes is removed after the client's deadline, so that nothing stays in progress
// forever.
func TestLostAnswerLeavesNothingUnderWay(t *testing.T) {
	c := newClientFixture(5)
	c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 1})
	c.collect()
	for range 250 { // its sidecar is alive, but sends no response
		c.advance(0.02)
		c.receive("p1", &meshpb.Message{Id: 1, Life: 9, Ping: &meshpb.Ping{}})
		c.receive("p2", &meshpb.Message{Id: 1, Life: 9, Ping: &meshpb.Ping{}})
	}
	if len(c.replies) != 1 || !c.sidecar.Idle() {
		t.Errorf("replies %v, idle %v after five times the client's timeout", c.replies, c.sidecar.Idle())
	}
}
