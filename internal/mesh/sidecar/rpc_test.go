package sidecar

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// caller is a proxy that asks others, and what it has asked and told.
type clientFixture struct {
	sidecar *Sidecar
	now     float64
	sent    map[string][]*meshpb.Message // by peer
	replies []Reply
	runs    int
}

// newCaller makes a proxy that knows two hosts at "p1" and "p2", and has one of its own.
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
	c.collect()
	return c
}

func (c *clientFixture) collect() {
	out := c.sidecar.TakeOutput()
	for _, s := range out.Sends {
		c.sent[s.To] = append(c.sent[s.To], s.Message)
	}
	for _, do := range out.Commands {
		switch do := do.(type) {
		case Respond:
			c.replies = append(c.replies, do.Reply)
		case Exchange:
			c.runs++
		}
	}
}

// hears gives the proxy a message.
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

// question is the newest that a peer was asked and that fits.
func (c *clientFixture) newestMessage(t *testing.T, fits func(*meshpb.Message) bool) (peer string, q *meshpb.Message) {
	t.Helper()
	for to, all := range c.sent {
		for _, m := range all {
			if fits(m) && (q == nil || m.Id > q.Id) {
				peer, q = to, m
			}
		}
	}
	if q == nil {
		t.Fatal("nothing of the kind was asked")
	}
	return peer, q
}

// misdirected are the ways in which an answer is not the one to a question: what comes, from whom, and why it
// is dropped.
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
		{"of a former process", peer, dropOtherIncarnation, change(func(m *meshpb.Message) { m.Life += 2 })},
		{"without a life", "p9", dropOtherIncarnation, change(func(m *meshpb.Message) { m.Life = 0 })},
		{"from a peer that was not asked", "p9", dropOtherPeer, right},
		{"to no open question", peer, dropNotOutstanding, change(func(m *meshpb.Message) { m.Id += 1 << 20 })},
	}
}

// An answer to a request counts only from the proxy that was asked, with the life and the id of the question,
// and once.
func TestForwardedCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(1)
	c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	c.collect()
	peer, q := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Forward != nil })
	answered := &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200}
	right := meshpb.Answer(q, &meshpb.Message{Forwarded: answered})
	for _, wrong := range wrongResponses(peer, right) {
		before := c.sidecar.counts.Dropped[wrong.why]
		c.receive(wrong.from, wrong.answer)
		if len(c.replies) > 0 || c.sidecar.counts.Dropped[wrong.why] != before+1 {
			t.Fatalf("an answer %s: %d replies, dropped %v", wrong.name, len(c.replies), c.sidecar.counts.Dropped)
		}
	}
	c.receive(peer, right)
	c.receive(peer, right)
	if len(c.replies) != 1 || c.replies[0].Status != 200 || c.sidecar.counts.Dropped[dropNotOutstanding] != 2 {
		t.Errorf("the answer, twice: replies %v, dropped %v", c.replies, c.sidecar.counts.Dropped)
	}
}

// A claim is granted only by the control process that was asked for it, to the life that asked, and runs
// once.
func TestClaimedCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(2)
	keyed := &meshpb.Forward{Station: "i-0", Key: "k", Token: 5, LeftUs: 3e6, AimUs: 1e6}
	c.receive("p1", &meshpb.Message{Id: 7, Life: 99, Forward: keyed})
	peer, q := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Claim != nil })
	right := meshpb.Answer(q, &meshpb.Message{Claimed: &meshpb.Claimed{State: register.Claimed, Token: 5}})
	for _, wrong := range wrongResponses(peer, right) {
		c.receive(wrong.from, wrong.answer)
	}
	other := proto.Clone(right).(*meshpb.Message)
	other.Claimed.Token = 6
	c.receive(peer, other)
	if c.runs > 0 || c.sidecar.counts.Dropped[dropOtherToken] != 1 {
		t.Fatalf("%d runs on grants that are none, dropped %v", c.runs, c.sidecar.counts.Dropped)
	}
	right.Life = 0 // older control processes do not return it
	c.receive(peer, right)
	c.receive(peer, right)
	if c.runs != 1 {
		t.Errorf("%d runs on one grant, told twice", c.runs)
	}
}

// News counts only as the answer to a question of this life: an update for a former process of this address,
// or from one that was not asked, would take back who is silent and who the control processes are.
func TestUpdateCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(3)
	peer, q := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Pull != nil })
	right := meshpb.Answer(q, &meshpb.Message{Update: &meshpb.Update{FromServer: true, Servers: []string{"elsewhere"},
		Silent: []string{"p1"}}})
	for _, wrong := range wrongResponses(peer, right) {
		c.receive(wrong.from, wrong.answer)
		if s := c.sidecar.State(c.now); len(s.Silent) > 0 || len(s.Servers) != 2 {
			t.Fatalf("an update %s: silent %v, servers %v", wrong.name, s.Silent, s.Servers)
		}
	}
	c.receive(peer, right)
	if s := c.sidecar.State(c.now); len(s.Silent) != 1 || len(s.Servers) != 1 {
		t.Errorf("the update that was asked for: silent %v, servers %v", s.Silent, s.Servers)
	}
}

// A pong counts only as the answer to the open ping: others say nothing of how long answers take.
func TestPongCountsFromWhomWasAsked(t *testing.T) {
	c := newClientFixture(4)
	c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	c.advance(0.1)
	peer, q := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Ping != nil })
	right := meshpb.Answer(q, &meshpb.Message{Pong: &meshpb.Ping{}})
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

// Two lives of one address have no id in common, whatever they ask.
func TestLivesHaveIdsOfTheirOwn(t *testing.T) {
	const asked = 1 << 32 // far more than any life asks
	lives := map[uint64]bool{}
	var first []uint64
	for seed := range uint64(200) {
		p := New(1, Options{Self: "here", Seeds: []string{"hall"}, Seed: seed})
		lives[p.incarnation] = true
		for _, other := range first {
			if max(p.lastID, other)-min(p.lastID, other) < asked {
				t.Errorf("seed %d: ids from %x on, another life's from %x", seed, p.lastID, other)
			}
		}
		first = append(first, p.lastID)
	}
	if len(lives) != 200 {
		t.Errorf("200 processes have %d lives", len(lives))
	}
}

// A try whose answer never counts is let go of after its client's time: nothing stays under way for ever.
func TestLostAnswerLeavesNothingUnderWay(t *testing.T) {
	c := newClientFixture(5)
	c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 1})
	c.collect()
	for range 250 { // its proxy lives, and says nothing of it
		c.advance(0.02)
		c.receive("p1", &meshpb.Message{Id: 1, Life: 9, Ping: &meshpb.Ping{}})
		c.receive("p2", &meshpb.Message{Id: 1, Life: 9, Ping: &meshpb.Ping{}})
	}
	if len(c.replies) != 1 || !c.sidecar.Idle() {
		t.Errorf("replies %v, idle %v after five times the client's time", c.replies, c.sidecar.Idle())
	}
}
