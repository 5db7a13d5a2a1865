package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
)

// door is a proxy with a host of four berths beside it, as another proxy meets it.
type hostFixture struct {
	t         *testing.T
	sidecar   *Sidecar
	now       float64
	lastID    uint64
	runs      []uint64            // what went to the host, by the parcels' numbers
	exchanges map[uint64]Exchange // by the same
	results   map[uint64]*meshpb.Forwarded

	heartbeats uint64
	aborted    []uint64 // jobs that were broken off at the host
}

func newHostFixture(t *testing.T) *hostFixture {
	d := &hostFixture{t: t, now: 1, exchanges: map[uint64]Exchange{}, results: map[uint64]*meshpb.Forwarded{}}
	d.sidecar = New(d.now, Options{Self: "here", Seeds: []string{"hall"}, HeartbeatInterval: 1.5, MaxBodyBytes: 1 << 20})
	d.sidecar.Heartbeat(d.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 1})
	d.collect()
	return d
}

func (d *hostFixture) collect() {
	out := d.sidecar.TakeOutput()
	for _, s := range out.Sends {
		if s.Message.Forwarded != nil {
			d.results[s.Message.Id] = s.Message.Forwarded
		}
	}
	for _, do := range out.Commands {
		switch do := do.(type) {
		case Exchange:
			n := uint64(do.Forward.Token)
			d.runs = append(d.runs, n)
			d.exchanges[n] = do
		case Abort:
			d.aborted = append(d.aborted, do.Job)
		}
	}
}

// carry brings a request that has been turned away elsewhere, with so many seconds to its aim and its end.
func (d *hostFixture) forward(target, left float64) uint64 {
	d.lastID++
	d.sidecar.Receive(d.now, "there", &meshpb.Message{Id: d.lastID, Forward: &meshpb.Forward{Station: "i-1",
		Token: d.lastID, Attempt: 1,
		AimUs: uint32(target * 1e6), LeftUs: uint32(left * 1e6), Repeatable: true}})
	d.collect()
	return d.lastID
}

// beatNext has the host say again that it is well.
func (d *hostFixture) nextHeartbeat() {
	d.heartbeats++
	d.heartbeat(1+d.heartbeats, false)
}

// answer has the host answer a request.
func (d *hostFixture) hostAnswers(n uint64) {
	d.sidecar.ExchangeDone(d.now, d.exchanges[n].Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
	d.collect()
}

func (d *hostFixture) advance(s float64) {
	for end := d.now + s; d.now < end; {
		d.now += 0.02
		d.sidecar.Tick(d.now)
		d.collect()
	}
}

// At a full host what cannot be in time waits behind all that can, takes no more than its part of the berths, and goes while
// its client still waits.
func TestLateOnesWaitBehindThoseInTime(t *testing.T) {
	d := newHostFixture(t)
	first := []uint64{d.forward(1, 2), d.forward(1, 2), d.forward(1, 2), d.forward(1, 2)}
	late := d.forward(0, 2)
	prompt := d.forward(1, 2)
	if len(d.runs) != 4 || d.results[late] != nil {
		t.Fatalf("ran %v, told %v", d.runs, d.results)
	}
	d.advance(0.1)
	d.hostAnswers(first[0])
	if n := d.runs[len(d.runs)-1]; n != prompt {
		t.Fatalf("%d got the free berth, %d was in time", n, prompt)
	}
	d.hostAnswers(first[1])
	d.hostAnswers(first[2])
	if n := d.runs[len(d.runs)-1]; n != prompt {
		t.Fatalf("%d runs with half of the berths in use: nothing is left for what has hurry", n)
	}
	d.hostAnswers(first[3])
	if n := d.runs[len(d.runs)-1]; n != late {
		t.Fatalf("%d is the last that ran, %d waits beside free berths", n, late)
	}
}

// No more wait late than may be served so: the others are told at once, and one that waits is told as soon as it is too late for it.
func TestLateOnesAreFewAndToldInTime(t *testing.T) {
	d := newHostFixture(t)
	for range 4 {
		d.forward(1, 3)
	}
	var waiting []uint64
	for range 5 {
		n := d.forward(0, 1)
		if d.results[n] == nil {
			waiting = append(waiting, n)
		} else if outcome.Outcome(d.results[n].Verdict) != outcome.Turned || d.results[n].BackMs == 0 {
			t.Errorf("told %v", d.results[n])
		}
	}
	if len(waiting) != 2 {
		t.Fatalf("%d of 5 wait where nobody knows whether any gets its turn, want 2", len(waiting))
	}
	d.advance(0.9)
	for _, n := range waiting {
		if d.results[n] != nil {
			t.Errorf("%d was given up with time left", n)
		}
	}
	d.advance(0.1)
	for _, n := range waiting {
		if forwarded := d.results[n]; forwarded == nil || outcome.Outcome(forwarded.Verdict) != outcome.Turned {
			t.Errorf("%d is held to its end: %v", n, forwarded)
		}
	}
}

// One that waits in time and then is not goes behind the others.
func TestWaitingPastTheAimLosesThePlace(t *testing.T) {
	d := newHostFixture(t)
	var first []uint64
	for range 4 {
		first = append(first, d.forward(3, 4))
	}
	slow := d.forward(0.2, 2)
	d.advance(0.3)
	prompt := d.forward(1, 2)
	d.hostAnswers(first[0])
	if n := d.runs[len(d.runs)-1]; n != prompt {
		t.Errorf("%d got the berth, %d is past its aim and %d is not", n, slow, prompt)
	}
	for _, n := range first[1:] {
		d.hostAnswers(n)
	}
	if n := d.runs[len(d.runs)-1]; n != slow {
		t.Errorf("%d ran last, want %d", n, slow)
	}
}

// A full link: a large answer is asked for only where it can be in time behind those that wait or are being made; small ones go as ever.
func TestLargeAnswersDoNotQueueInAFullLink(t *testing.T) {
	d := newHostFixture(t)
	d.sidecar.admission.classBodyBytes[9] = 100 << 10
	const perByte = 1.0 / (2 << 20) // 100 KB take 49 ms
	large := func(target float64) uint64 {
		d.lastID++
		d.sidecar.Receive(d.now, "there", &meshpb.Message{Id: d.lastID, Forward: &meshpb.Forward{Station: "i-1",
			Token: d.lastID, Attempt: 1, Class: 9,
			AimUs: uint32(target * 1e6), LeftUs: 3e6, Repeatable: true}})
		d.collect()
		return d.lastID
	}
	d.sidecar.SetLinkBacklog(0.15, perByte)
	if n := large(0.2); d.results[n] != nil {
		t.Errorf("turned away with 0.15 s to wait and 0.2 s to its aim: %v", d.results[n])
	}
	if n := large(0.2); d.results[n] == nil || d.results[n].BackMs == 0 {
		t.Error("taken behind one that is being made, 0.2 s to wait and 0.2 s to its aim")
	}
	if n := large(0.4); d.results[n] != nil {
		t.Errorf("turned away with 0.2 s to wait and 0.4 s to its aim: %v", d.results[n])
	}
	if n := d.forward(0.2, 1); d.results[n] != nil {
		t.Errorf("a small one is turned away: %v", d.results[n])
	}
}

// This process is stopped while its host runs something: that says nothing of how long the host takes, and all goes on afterwards.
func TestStopOfThisProcessIsNoSlowHost(t *testing.T) {
	d := newHostFixture(t)
	n := d.forward(1, 2)
	d.now += 40
	d.hostAnswers(n)
	d.advance(bufferedFor)
	d.nextHeartbeat()
	if work := d.sidecar.admission.meanRunSeconds; work > initialRunSeconds+meanRunStep {
		t.Errorf("the host is taken to work %.2f s on a request", work)
	}
	if n := d.forward(0.2, 2); d.results[n] != nil {
		t.Errorf("turned away from an idle host: %v", d.results[n])
	}
}

// A host that was slow is found to be fast again, though nothing seemed to be in time there.
func TestSlowHostIsTriedAgain(t *testing.T) {
	d := newHostFixture(t)
	const slow = 1.0
	for range 60 {
		n := d.forward(2, 4)
		d.advance(slow)
		d.hostAnswers(n)
		d.nextHeartbeat()
	}
	for range 200 {
		n := d.forward(0.2, 0.5)
		if d.results[n] != nil {
			t.Fatalf("turned away from an idle host: %v", d.results[n])
		}
		d.advance(0.02)
		d.hostAnswers(n)
		d.nextHeartbeat()
	}
	first, second := d.forward(0.2, 0.5), d.forward(0.2, 0.5)
	if d.results[first] != nil || d.results[second] != nil {
		t.Errorf("fast again, and turned away: %v, %v", d.results[first], d.results[second])
	}
}
