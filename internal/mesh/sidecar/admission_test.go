package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
)

// door is a proxy with a host of four berths beside it, as another proxy meets it.
type door struct {
	t    *testing.T
	p    *Sidecar
	now  float64
	next uint64
	runs []uint64            // what went to the host, by the parcels' numbers
	jobs map[uint64]Exchange // by the same
	told map[uint64]*meshpb.Forwarded

	beats   uint64
	aborted []uint64 // jobs that were broken off at the host
}

func openDoor(t *testing.T) *door {
	d := &door{t: t, now: 1, jobs: map[uint64]Exchange{}, told: map[uint64]*meshpb.Forwarded{}}
	d.p = New(d.now, Options{Self: "here", Seeds: []string{"hall"}, HeartbeatInterval: 1.5, MaxBodyBytes: 1 << 20})
	d.p.Heartbeat(d.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 1})
	d.take()
	return d
}

func (d *door) take() {
	out := d.p.TakeOutput()
	for _, s := range out.Sends {
		if s.Message.Forwarded != nil {
			d.told[s.Message.Id] = s.Message.Forwarded
		}
	}
	for _, do := range out.Commands {
		switch do := do.(type) {
		case Exchange:
			n := uint64(do.Forward.Token)
			d.runs = append(d.runs, n)
			d.jobs[n] = do
		case Abort:
			d.aborted = append(d.aborted, do.Job)
		}
	}
}

// carry brings a request that has been turned away elsewhere, with so many seconds to its aim and its end.
func (d *door) carry(aim, left float64) uint64 {
	d.next++
	d.p.Receive(d.now, "there", &meshpb.Message{Id: d.next, Forward: &meshpb.Forward{Station: "i-1", Token: d.next, Attempt: 1,
		AimUs: uint32(aim * 1e6), LeftUs: uint32(left * 1e6), Repeatable: true}})
	d.take()
	return d.next
}

// beatNext has the host say again that it is well.
func (d *door) beatNext() {
	d.beats++
	d.beat(1+d.beats, false)
}

// answer has the host answer a request.
func (d *door) answer(n uint64) {
	d.p.ExchangeDone(d.now, d.jobs[n].Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
	d.take()
}

func (d *door) pass(s float64) {
	for end := d.now + s; d.now < end; {
		d.now += 0.02
		d.p.Tick(d.now)
		d.take()
	}
}

// At a full host what cannot be in time waits behind all that can, takes no more than its part of the berths, and goes while
// its client still waits.
func TestLateOnesWaitBehindThoseInTime(t *testing.T) {
	d := openDoor(t)
	first := []uint64{d.carry(1, 2), d.carry(1, 2), d.carry(1, 2), d.carry(1, 2)}
	late := d.carry(0, 2)
	prompt := d.carry(1, 2)
	if len(d.runs) != 4 || d.told[late] != nil {
		t.Fatalf("ran %v, told %v", d.runs, d.told)
	}
	d.pass(0.1)
	d.answer(first[0])
	if n := d.runs[len(d.runs)-1]; n != prompt {
		t.Fatalf("%d got the free berth, %d was in time", n, prompt)
	}
	d.answer(first[1])
	d.answer(first[2])
	if n := d.runs[len(d.runs)-1]; n != prompt {
		t.Fatalf("%d runs with half of the berths in use: nothing is left for what has hurry", n)
	}
	d.answer(first[3])
	if n := d.runs[len(d.runs)-1]; n != late {
		t.Fatalf("%d is the last that ran, %d waits beside free berths", n, late)
	}
}

// No more wait late than may be served so: the others are told at once, and one that waits is told as soon as it is too late for it.
func TestLateOnesAreFewAndToldInTime(t *testing.T) {
	d := openDoor(t)
	for range 4 {
		d.carry(1, 3)
	}
	var waiting []uint64
	for range 5 {
		n := d.carry(0, 1)
		if d.told[n] == nil {
			waiting = append(waiting, n)
		} else if outcome.Outcome(d.told[n].Verdict) != outcome.Turned || d.told[n].BackMs == 0 {
			t.Errorf("told %v", d.told[n])
		}
	}
	if len(waiting) != 2 {
		t.Fatalf("%d of 5 wait where nobody knows whether any gets its turn, want 2", len(waiting))
	}
	d.pass(0.9)
	for _, n := range waiting {
		if d.told[n] != nil {
			t.Errorf("%d was given up with time left", n)
		}
	}
	d.pass(0.1)
	for _, n := range waiting {
		if c := d.told[n]; c == nil || outcome.Outcome(c.Verdict) != outcome.Turned {
			t.Errorf("%d is held to its end: %v", n, c)
		}
	}
}

// One that waits in time and then is not goes behind the others.
func TestWaitingPastTheAimLosesThePlace(t *testing.T) {
	d := openDoor(t)
	var first []uint64
	for range 4 {
		first = append(first, d.carry(3, 4))
	}
	slow := d.carry(0.2, 2)
	d.pass(0.3)
	prompt := d.carry(1, 2)
	d.answer(first[0])
	if n := d.runs[len(d.runs)-1]; n != prompt {
		t.Errorf("%d got the berth, %d is past its aim and %d is not", n, slow, prompt)
	}
	for _, n := range first[1:] {
		d.answer(n)
	}
	if n := d.runs[len(d.runs)-1]; n != slow {
		t.Errorf("%d ran last, want %d", n, slow)
	}
}

// A full link: a large answer is asked for only where it can be in time behind those that wait or are being made; small ones go as ever.
func TestLargeAnswersDoNotQueueInAFullLink(t *testing.T) {
	d := openDoor(t)
	d.p.admission.bytes[9] = 100 << 10
	const perByte = 1.0 / (2 << 20) // 100 KB take 49 ms
	large := func(aim float64) uint64 {
		d.next++
		d.p.Receive(d.now, "there", &meshpb.Message{Id: d.next, Forward: &meshpb.Forward{Station: "i-1", Token: d.next, Attempt: 1, Class: 9,
			AimUs: uint32(aim * 1e6), LeftUs: 3e6, Repeatable: true}})
		d.take()
		return d.next
	}
	d.p.SetLinkBacklog(0.15, perByte)
	if n := large(0.2); d.told[n] != nil {
		t.Errorf("turned away with 0.15 s to wait and 0.2 s to its aim: %v", d.told[n])
	}
	if n := large(0.2); d.told[n] == nil || d.told[n].BackMs == 0 {
		t.Error("taken behind one that is being made, 0.2 s to wait and 0.2 s to its aim")
	}
	if n := large(0.4); d.told[n] != nil {
		t.Errorf("turned away with 0.2 s to wait and 0.4 s to its aim: %v", d.told[n])
	}
	if n := d.carry(0.2, 1); d.told[n] != nil {
		t.Errorf("a small one is turned away: %v", d.told[n])
	}
}

// This process is stopped while its host runs something: that says nothing of how long the host takes, and all goes on afterwards.
func TestStopOfThisProcessIsNoSlowHost(t *testing.T) {
	d := openDoor(t)
	n := d.carry(1, 2)
	d.now += 40
	d.answer(n)
	d.pass(bufferedFor)
	d.beatNext()
	if work := d.p.admission.work; work > firstWork+workStep {
		t.Errorf("the host is taken to work %.2f s on a request", work)
	}
	if n := d.carry(0.2, 2); d.told[n] != nil {
		t.Errorf("turned away from an idle host: %v", d.told[n])
	}
}

// A host that was slow is found to be fast again, though nothing seemed to be in time there.
func TestSlowHostIsTriedAgain(t *testing.T) {
	d := openDoor(t)
	const slow = 1.0
	for range 60 {
		n := d.carry(2, 4)
		d.pass(slow)
		d.answer(n)
		d.beatNext()
	}
	for range 200 {
		n := d.carry(0.2, 0.5)
		if d.told[n] != nil {
			t.Fatalf("turned away from an idle host: %v", d.told[n])
		}
		d.pass(0.02)
		d.answer(n)
		d.beatNext()
	}
	first, second := d.carry(0.2, 0.5), d.carry(0.2, 0.5)
	if d.told[first] != nil || d.told[second] != nil {
		t.Errorf("fast again, and turned away: %v, %v", d.told[first], d.told[second])
	}
}
