package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/transport"
)

const someIncarnation = 77

// forwardMessage is a request from the process at "there" with the given incarnation.
func forwardMessage(id, incarnation uint64) *meshpb.Message {
	forward := &meshpb.Forward{Station: "i-1", Token: id, LeftUs: 3e6, AimUs: 1e6}
	return &meshpb.Message{Id: id, Life: incarnation, Forward: forward}
}

func (f *hostFixture) receive(m *meshpb.Message) {
	f.sidecar.Receive(f.now, "there", m)
	f.collect()
}

// A duplicate of a request neither runs nor gets a response, whether the first copy is running, has ended, or was
// rejected and then sent elsewhere by its sender.
func TestRepeatedForwardRunsOnce(t *testing.T) {
	f := newHostFixture(t)
	f.receive(forwardMessage(1, someIncarnation))
	f.receive(forwardMessage(1, someIncarnation))
	if len(f.runs) != 1 || f.results[1] != nil {
		t.Fatalf("while it runs: %d runs, response %v", len(f.runs), f.results[1])
	}
	f.hostAnswers(1)
	delete(f.results, 1)
	f.receive(forwardMessage(1, someIncarnation))
	if len(f.runs) != 1 || f.results[1] != nil {
		t.Errorf("after its end: %d runs, response %v", len(f.runs), f.results[1])
	}
	other := forwardMessage(2, someIncarnation)
	other.Forward.Station = "i-9"
	f.receive(other)
	if f.results[2] == nil || outcome.Outcome(f.results[2].Verdict) != outcome.TurnedAway {
		t.Fatalf("for another host: response %v", f.results[2])
	}
	delete(f.results, 2)
	f.receive(forwardMessage(2, someIncarnation))
	if len(f.runs) != 1 || f.results[2] != nil {
		t.Errorf("after a rejection: %d runs, response %v", len(f.runs), f.results[2])
	}
	if n := f.sidecar.counts.Dropped[dropDuplicate]; n != 3 {
		t.Errorf("%d requests counted as repeated, want 3", n)
	}
}

// The same ID from another incarnation or another address is another request.
func TestForwardsOfOtherProcessesRun(t *testing.T) {
	f := newHostFixture(t)
	f.receive(forwardMessage(1, someIncarnation))
	f.receive(forwardMessage(1, someIncarnation+1))
	f.sidecar.Receive(f.now, "elsewhere", forwardMessage(1, someIncarnation))
	f.collect()
	if len(f.runs) != 3 {
		t.Errorf("%d runs of three requests", len(f.runs))
	}
}

// A duplicate that arrives after minutes, when only the watermark of its sender is kept, does not run. This holds also
// if the sender has been restarted since.
func TestForwardRepeatedAfterMinutesDoesNotRun(t *testing.T) {
	f := newHostFixture(t)
	f.receive(forwardMessage(10, someIncarnation))
	f.hostAnswers(10)
	for i := range uint64(2 * seenFor) {
		f.advance(1)
		f.sidecar.Heartbeat(f.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 2 + i})
	}
	f.receive(forwardMessage(20, someIncarnation+1)) // its sender has been restarted
	f.hostAnswers(20)
	f.receive(forwardMessage(10, someIncarnation))
	if len(f.runs) != 2 || f.sidecar.counts.Dropped[dropTooOld] != 1 {
		t.Errorf("%d runs of two requests, dropped %v", len(f.runs), f.sidecar.counts.Dropped)
	}
	f.receive(forwardMessage(11, someIncarnation))
	if len(f.runs) != 3 {
		t.Error("a new request was dropped as a duplicate")
	}
}

// The memory for duplicates is bounded however many requests arrive, and no request runs twice.
func TestArrivalsAreBounded(t *testing.T) {
	seen := newSeenRequests()
	sender := senderProcess{"there", someIncarnation}
	for id := range uint64(3 * maxSeen) {
		if why := seen.admit(1, messageID{sender, id + 1}); why != "" {
			t.Fatalf("new request %d was dropped: %s", id+1, why)
		}
	}
	if len(seen.seen) > maxSeen || len(seen.byAge) > maxSeen {
		t.Errorf("%d requests are remembered", len(seen.seen))
	}
	for id := range uint64(3 * maxSeen) {
		if seen.admit(1, messageID{sender, id + 1}) == "" {
			t.Fatalf("duplicate of %d was admitted", id+1)
		}
	}
	for incarnation := range uint64(2 * maxWatermarks) {
		seen.raiseWatermark(1, seenEntry{messageID{senderProcess{"there", incarnation + 1}, 1}, 1})
	}
	if len(seen.watermarks) > maxWatermarks {
		t.Errorf("%d watermarks are kept", len(seen.watermarks))
	}
}

// A request for the former process at this address does not run here, as it may have run there. The response says so,
// so that the sender does not send it again.
func TestForwardToAFormerProcessMayHaveRun(t *testing.T) {
	f := newHostFixture(t)
	m := forwardMessage(1, someIncarnation)
	m.Forward.GateLife = f.sidecar.incarnation + 2
	f.receive(m)
	if len(f.runs) != 0 || f.results[1] == nil || outcome.Outcome(f.results[1].Verdict) != outcome.Broken {
		t.Errorf("%d runs, response %v", len(f.runs), f.results[1])
	}
	m = forwardMessage(2, someIncarnation)
	m.Forward.GateLife = f.sidecar.incarnation
	f.receive(m)
	if len(f.runs) != 1 {
		t.Error("a request for this process did not run")
	}
}

// An attempt names the incarnation of its peer once the peer was heard from, until the connection breaks.
func TestForwardNamesTheProcessItIsFor(t *testing.T) {
	c := newClientFixture(6)
	submit := func(id string) (string, *meshpb.Message) {
		c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: id, Timeout: 5})
		c.collect()
		return c.newestMessage(t, func(m *meshpb.Message) bool { return m.Forward != nil })
	}
	for i := range 4 {
		peer, rpc := submit("first")
		if i > 1 && rpc.Forward.GateLife != 40 {
			t.Errorf("the attempt sent to %s is for incarnation %d", peer, rpc.Forward.GateLife)
		}
		answer := meshpb.Answer(rpc, &meshpb.Message{Responder: 40, Forwarded: &meshpb.Forwarded{Status: 200}})
		c.receive(peer, answer)
		other := map[string]string{"p1": "p2", "p2": "p1"}[peer]
		c.receive(other, &meshpb.Message{Id: 1, Life: 40, Ping: &meshpb.Ping{}})
	}
	for _, peer := range []string{"p1", "p2"} {
		c.sidecar.ConnectionLost(c.now, transport.Disconnected{Peer: peer, Link: 1})
	}
	if peer, rpc := submit("last"); rpc.Forward.GateLife != 0 {
		t.Errorf("the connection to %s was lost, but the attempt is for incarnation %d", peer, rpc.Forward.GateLife)
	}
}

// A sidecar that shuts down is not idle until a control server has acknowledged how its runs ended.
func TestEndWaitsForTheWordOnRuns(t *testing.T) {
	f := newHostFixture(t)
	f.sidecar.discovery.servers = []string{"hall"}
	m := forwardMessage(1, someIncarnation)
	m.Forward.Key = "k"
	var rpc *meshpb.Message
	f.sidecar.Receive(f.now, "there", m)
	for _, s := range f.sidecar.TakeOutput().Sends {
		rpc = s.Message
	}
	granted := &meshpb.Claimed{State: register.Claimed, Token: 1}
	f.sidecar.Receive(f.now, "hall", meshpb.Answer(rpc, &meshpb.Message{Claimed: granted}))
	f.collect()
	f.sidecar.ExchangeDone(f.now, f.exchanges[1].Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
	for _, s := range f.sidecar.TakeOutput().Sends {
		if s.Message.Settle != nil {
			rpc = s.Message
		}
	}
	if f.sidecar.Idle() {
		t.Error("idle although no control server has acknowledged the outcome of a run")
	}
	acknowledged := &meshpb.Claimed{State: register.Done, Token: 1}
	f.sidecar.Receive(f.now, "hall", meshpb.Answer(rpc, &meshpb.Message{Claimed: acknowledged}))
	if !f.sidecar.Idle() {
		t.Error("not idle although all outcomes are acknowledged")
	}
}
