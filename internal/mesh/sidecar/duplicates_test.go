package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/transport"
)

const someIncarnation = 77

// numbered is a request of the process with some life at "there".
func forwardMessage(id, incarnation uint64) *meshpb.Message {
	forward := &meshpb.Forward{Station: "i-1", Token: id, LeftUs: 3e6, AimUs: 1e6}
	return &meshpb.Message{Id: id, Life: incarnation, Forward: forward}
}

func (d *hostFixture) receive(m *meshpb.Message) {
	d.sidecar.Receive(d.now, "there", m)
	d.collect()
}

// A request that comes again does not run again, and nothing is said of it: while the first one is at work,
// after it has ended, and after it was turned away, when its sender has sent it elsewhere.
func TestRepeatedForwardRunsOnce(t *testing.T) {
	d := newHostFixture(t)
	d.receive(forwardMessage(1, someIncarnation))
	d.receive(forwardMessage(1, someIncarnation))
	if len(d.runs) != 1 || d.results[1] != nil {
		t.Fatalf("at work: %d runs, told %v", len(d.runs), d.results[1])
	}
	d.hostAnswers(1)
	delete(d.results, 1)
	d.receive(forwardMessage(1, someIncarnation))
	if len(d.runs) != 1 || d.results[1] != nil {
		t.Errorf("ended: %d runs, told %v", len(d.runs), d.results[1])
	}
	other := forwardMessage(2, someIncarnation)
	other.Forward.Station = "i-9"
	d.receive(other)
	if d.results[2] == nil || outcome.Outcome(d.results[2].Verdict) != outcome.Turned {
		t.Fatalf("for another host: told %v", d.results[2])
	}
	delete(d.results, 2)
	d.receive(forwardMessage(2, someIncarnation))
	if len(d.runs) != 1 || d.results[2] != nil {
		t.Errorf("turned away: %d runs, told %v", len(d.runs), d.results[2])
	}
	if n := d.sidecar.counts.Dropped[dropDuplicate]; n != 3 {
		t.Errorf("%d counted as repeated, 3 were", n)
	}
}

// The same id of another life, or of another address, is another request.
func TestForwardsOfOtherProcessesRun(t *testing.T) {
	d := newHostFixture(t)
	d.receive(forwardMessage(1, someIncarnation))
	d.receive(forwardMessage(1, someIncarnation+1))
	d.sidecar.Receive(d.now, "elsewhere", forwardMessage(1, someIncarnation))
	d.collect()
	if len(d.runs) != 3 {
		t.Errorf("%d runs of three requests", len(d.runs))
	}
}

// What is no longer known one by one is told by its id: a request that comes again after minutes does not run
// again, nor does one that a process sent which has ended since.
func TestForwardRepeatedAfterMinutesDoesNotRun(t *testing.T) {
	d := newHostFixture(t)
	d.receive(forwardMessage(10, someIncarnation))
	d.hostAnswers(10)
	for beat := range uint64(2 * seenFor) {
		d.advance(1)
		d.sidecar.Heartbeat(d.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 2 + beat})
	}
	d.receive(forwardMessage(20, someIncarnation+1)) // its sender has started again
	d.hostAnswers(20)
	d.receive(forwardMessage(10, someIncarnation))
	if len(d.runs) != 2 || d.sidecar.counts.Dropped[dropTooOld] != 1 {
		t.Errorf("%d runs of two requests, dropped %v", len(d.runs), d.sidecar.counts.Dropped)
	}
	d.receive(forwardMessage(11, someIncarnation))
	if len(d.runs) != 3 {
		t.Error("a request that had not come is taken for one that had")
	}
}

// However many requests come, what is kept of them is bounded, and none runs twice.
func TestArrivalsAreBounded(t *testing.T) {
	a := newSeenRequests()
	sender := senderProcess{"there", someIncarnation}
	for id := range uint64(3 * maxSeen) {
		if why := a.admit(1, messageID{sender, id + 1}); why != "" {
			t.Fatalf("%d is dropped: %s", id+1, why)
		}
	}
	if len(a.seen) > maxSeen || len(a.byAge) > maxSeen {
		t.Errorf("%d requests are kept", len(a.seen))
	}
	for id := range uint64(3 * maxSeen) {
		if a.admit(1, messageID{sender, id + 1}) == "" {
			t.Fatalf("%d is taken again", id+1)
		}
	}
	for incarnation := range uint64(2 * maxWatermarks) {
		a.raiseWatermark(1, seenEntry{messageID{senderProcess{"there", incarnation + 1}, 1}, 1})
	}
	if len(a.watermarks) > maxWatermarks {
		t.Errorf("%d floors are kept", len(a.watermarks))
	}
}

// A request for the process that had this address before does not run here, as it may have run there; its
// sender is told that much, and nothing that would have it sent again.
func TestForwardToAFormerProcessMayHaveRun(t *testing.T) {
	d := newHostFixture(t)
	m := forwardMessage(1, someIncarnation)
	m.Forward.GateLife = d.sidecar.incarnation + 2
	d.receive(m)
	if len(d.runs) != 0 || d.results[1] == nil || outcome.Outcome(d.results[1].Verdict) != outcome.Broken {
		t.Errorf("%d runs, told %v", len(d.runs), d.results[1])
	}
	m = forwardMessage(2, someIncarnation)
	m.Forward.GateLife = d.sidecar.incarnation
	d.receive(m)
	if len(d.runs) != 1 {
		t.Error("a request for this process does not run")
	}
}

// A proxy names the process that it sends a request to, as soon as it has heard from it, until their
// connection breaks.
func TestForwardNamesTheProcessItIsFor(t *testing.T) {
	c := newClientFixture(6)
	ask := func(id string) (string, *meshpb.Message) {
		c.sidecar.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: id, Timeout: 5})
		c.collect()
		return c.newestMessage(t, func(m *meshpb.Message) bool { return m.Forward != nil })
	}
	for i := range 4 {
		peer, q := ask("first")
		if i > 1 && q.Forward.GateLife != 40 {
			t.Errorf("the request to %s is for %d", peer, q.Forward.GateLife)
		}
		answer := meshpb.Answer(q, &meshpb.Message{Responder: 40, Forwarded: &meshpb.Forwarded{Status: 200}})
		c.receive(peer, answer)
		other := map[string]string{"p1": "p2", "p2": "p1"}[peer]
		c.receive(other, &meshpb.Message{Id: 1, Life: 40, Ping: &meshpb.Ping{}})
	}
	for _, peer := range []string{"p1", "p2"} {
		c.sidecar.ConnectionLost(c.now, transport.Broke{Peer: peer, Link: 1})
	}
	if peer, q := ask("last"); q.Forward.GateLife != 0 {
		t.Errorf("the connection to %s broke, and the request is for its process %d", peer, q.Forward.GateLife)
	}
}

// A proxy that is to end waits until the control plane has taken how its runs ended.
func TestEndWaitsForTheWordOnRuns(t *testing.T) {
	d := newHostFixture(t)
	d.sidecar.discovery.servers = []string{"hall"}
	m := forwardMessage(1, someIncarnation)
	m.Forward.Key = "k"
	var asked *meshpb.Message
	d.sidecar.Receive(d.now, "there", m)
	for _, s := range d.sidecar.TakeOutput().Sends {
		asked = s.Message
	}
	granted := &meshpb.Claimed{State: register.Claimed, Token: 1}
	d.sidecar.Receive(d.now, "hall", meshpb.Answer(asked, &meshpb.Message{Claimed: granted}))
	d.collect()
	d.sidecar.ExchangeDone(d.now, d.exchanges[1].Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
	for _, s := range d.sidecar.TakeOutput().Sends {
		if s.Message.Settle != nil {
			asked = s.Message
		}
	}
	if d.sidecar.Idle() {
		t.Error("idle with the end of a run not taken")
	}
	taken := &meshpb.Claimed{State: register.Done, Token: 1}
	d.sidecar.Receive(d.now, "hall", meshpb.Answer(asked, &meshpb.Message{Claimed: taken}))
	if !d.sidecar.Idle() {
		t.Error("not idle though all is told")
	}
}
