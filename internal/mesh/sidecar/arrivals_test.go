package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
	"beechwing/internal/mesh/transport"
)

const someLife = 77

// numbered is a request of the process with some life at "there".
func numbered(id, life uint64) *meshpb.Message {
	forward := &meshpb.Forward{Station: "i-1", Token: id, LeftUs: 3e6, AimUs: 1e6}
	return &meshpb.Message{Id: id, Life: life, Forward: forward}
}

func (d *door) hears(m *meshpb.Message) {
	d.p.Receive(d.now, "there", m)
	d.take()
}

// A request that comes again does not run again, and nothing is said of it: while the first one is at work,
// after it has ended, and after it was turned away, when its sender has sent it elsewhere.
func TestRepeatedForwardRunsOnce(t *testing.T) {
	d := openDoor(t)
	d.hears(numbered(1, someLife))
	d.hears(numbered(1, someLife))
	if len(d.runs) != 1 || d.told[1] != nil {
		t.Fatalf("at work: %d runs, told %v", len(d.runs), d.told[1])
	}
	d.answer(1)
	delete(d.told, 1)
	d.hears(numbered(1, someLife))
	if len(d.runs) != 1 || d.told[1] != nil {
		t.Errorf("ended: %d runs, told %v", len(d.runs), d.told[1])
	}
	other := numbered(2, someLife)
	other.Forward.Station = "i-9"
	d.hears(other)
	if d.told[2] == nil || outcome.Outcome(d.told[2].Verdict) != outcome.Turned {
		t.Fatalf("for another host: told %v", d.told[2])
	}
	delete(d.told, 2)
	d.hears(numbered(2, someLife))
	if len(d.runs) != 1 || d.told[2] != nil {
		t.Errorf("turned away: %d runs, told %v", len(d.runs), d.told[2])
	}
	if n := d.p.count.Dropped[dropRepeated]; n != 3 {
		t.Errorf("%d counted as repeated, 3 were", n)
	}
}

// The same id of another life, or of another address, is another request.
func TestForwardsOfOtherProcessesRun(t *testing.T) {
	d := openDoor(t)
	d.hears(numbered(1, someLife))
	d.hears(numbered(1, someLife+1))
	d.p.Receive(d.now, "elsewhere", numbered(1, someLife))
	d.take()
	if len(d.runs) != 3 {
		t.Errorf("%d runs of three requests", len(d.runs))
	}
}

// What is no longer known one by one is told by its id: a request that comes again after minutes does not run
// again, nor does one that a process sent which has ended since.
func TestForwardRepeatedAfterMinutesDoesNotRun(t *testing.T) {
	d := openDoor(t)
	d.hears(numbered(10, someLife))
	d.answer(10)
	for beat := range uint64(2 * rememberFor) {
		d.pass(1)
		d.p.Heartbeat(d.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 2 + beat})
	}
	d.hears(numbered(20, someLife+1)) // its sender has started again
	d.answer(20)
	d.hears(numbered(10, someLife))
	if len(d.runs) != 2 || d.p.count.Dropped[dropForgotten] != 1 {
		t.Errorf("%d runs of two requests, dropped %v", len(d.runs), d.p.count.Dropped)
	}
	d.hears(numbered(11, someLife))
	if len(d.runs) != 3 {
		t.Error("a request that had not come is taken for one that had")
	}
}

// However many requests come, what is kept of them is bounded, and none runs twice.
func TestArrivalsAreBounded(t *testing.T) {
	a := newArrivals()
	who := asker{"there", someLife}
	for id := range uint64(3 * mostArrivals) {
		if why := a.admit(1, arrival{who, id + 1}); why != "" {
			t.Fatalf("%d is dropped: %s", id+1, why)
		}
	}
	if len(a.known) > mostArrivals || len(a.order) > mostArrivals {
		t.Errorf("%d requests are kept", len(a.known))
	}
	for id := range uint64(3 * mostArrivals) {
		if a.admit(1, arrival{who, id + 1}) == "" {
			t.Fatalf("%d is taken again", id+1)
		}
	}
	for life := range uint64(2 * mostFloors) {
		a.raise(1, arrivedAt{arrival{asker{"there", life + 1}, 1}, 1})
	}
	if len(a.floors) > mostFloors {
		t.Errorf("%d floors are kept", len(a.floors))
	}
}

// A request for the process that had this address before does not run here, as it may have run there; its
// sender is told that much, and nothing that would have it sent again.
func TestForwardToAFormerProcessMayHaveRun(t *testing.T) {
	d := openDoor(t)
	m := numbered(1, someLife)
	m.Forward.GateLife = d.p.life + 2
	d.hears(m)
	if len(d.runs) != 0 || d.told[1] == nil || outcome.Outcome(d.told[1].Verdict) != outcome.Broken {
		t.Errorf("%d runs, told %v", len(d.runs), d.told[1])
	}
	m = numbered(2, someLife)
	m.Forward.GateLife = d.p.life
	d.hears(m)
	if len(d.runs) != 1 {
		t.Error("a request for this process does not run")
	}
}

// A proxy names the process that it sends a request to, as soon as it has heard from it, until their
// connection breaks.
func TestForwardNamesTheProcessItIsFor(t *testing.T) {
	c := newCaller(6)
	ask := func(id string) (string, *meshpb.Message) {
		c.p.Submit(c.now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: id, Timeout: 5})
		c.take()
		return c.question(t, func(m *meshpb.Message) bool { return m.Forward != nil })
	}
	for i := range 4 {
		peer, q := ask("first")
		if i > 1 && q.Forward.GateLife != 40 {
			t.Errorf("the request to %s is for %d", peer, q.Forward.GateLife)
		}
		answer := meshpb.Answer(q, &meshpb.Message{Responder: 40, Forwarded: &meshpb.Forwarded{Status: 200}})
		c.hears(peer, answer)
		other := map[string]string{"p1": "p2", "p2": "p1"}[peer]
		c.hears(other, &meshpb.Message{Id: 1, Life: 40, Ping: &meshpb.Ping{}})
	}
	for _, peer := range []string{"p1", "p2"} {
		c.p.ConnectionLost(c.now, transport.Broke{Peer: peer, Link: 1})
	}
	if peer, q := ask("last"); q.Forward.GateLife != 0 {
		t.Errorf("the connection to %s broke, and the request is for its process %d", peer, q.Forward.GateLife)
	}
}

// A proxy that is to end waits until the control plane has taken how its runs ended.
func TestEndWaitsForTheWordOnRuns(t *testing.T) {
	d := openDoor(t)
	d.p.discovery.servers = []string{"hall"}
	m := numbered(1, someLife)
	m.Forward.Key = "k"
	var asked *meshpb.Message
	d.p.Receive(d.now, "there", m)
	for _, s := range d.p.TakeOutput().Sends {
		asked = s.Message
	}
	granted := &meshpb.Claimed{State: register.Claimed, Token: 1}
	d.p.Receive(d.now, "hall", meshpb.Answer(asked, &meshpb.Message{Claimed: granted}))
	d.take()
	d.p.ExchangeDone(d.now, d.jobs[1].Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
	for _, s := range d.p.TakeOutput().Sends {
		if s.Message.Settle != nil {
			asked = s.Message
		}
	}
	if d.p.Idle() {
		t.Error("idle with the end of a run not taken")
	}
	taken := &meshpb.Claimed{State: register.Done, Token: 1}
	d.p.Receive(d.now, "hall", meshpb.Answer(asked, &meshpb.Message{Claimed: taken}))
	if !d.p.Idle() {
		t.Error("not idle though all is told")
	}
}
