package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
)

// cancel has the other proxy take a request back.
func (d *hostFixture) cancel(n uint64) {
	d.sidecar.Receive(d.now, "there", &meshpb.Message{Cancel: &meshpb.Cancel{Forward: n}})
	d.collect()
}

func (d *hostFixture) wantOutcome(n uint64, want outcome.Outcome) {
	d.t.Helper()
	forwarded := d.results[n]
	if forwarded == nil {
		d.t.Errorf("nothing is told of %d, want %v", n, want)
	} else if got := outcome.Outcome(forwarded.Verdict); got != want {
		d.t.Errorf("%d is told as %v, want %v", n, got, want)
	}
}

// What runs and may be repeated is broken off, and its slot goes to the next; what waits is not begun.
func TestCancelledRequestsMakeRoom(t *testing.T) {
	d := newHostFixture(t)
	var running []uint64
	for range 4 {
		running = append(running, d.forward(1, 2))
	}
	left, next := d.forward(1, 2), d.forward(1, 2)
	d.cancel(left)
	d.wantOutcome(left, outcome.Turned)
	d.cancel(running[1])
	d.wantOutcome(running[1], outcome.Cancelled)
	if n := d.runs[len(d.runs)-1]; n != next {
		t.Errorf("%d runs, want %d, which waited for the slot", n, next)
	}
	if len(d.aborted) != 1 || d.aborted[0] != d.exchanges[running[1]].Job {
		t.Errorf("broken off at the host: %v, want the job of %d", d.aborted, running[1])
	}
	d.hostAnswers(running[1]) // its end comes back all the same
	if got := d.sidecar.State(d.now).Counts.Cancelled; got[cancelWaiting] != 1 || got[cancelRunning] != 1 {
		t.Errorf("counted %v", got)
	}
}

// One that waits behind those in time, as it is late, is taken back too.
func TestCancelledLateRequestIsNotBegun(t *testing.T) {
	d := newHostFixture(t)
	first := []uint64{d.forward(1, 2), d.forward(1, 2), d.forward(1, 2), d.forward(1, 2)}
	late := d.forward(0, 2)
	d.cancel(late)
	d.wantOutcome(late, outcome.Turned)
	for _, n := range first {
		d.hostAnswers(n)
	}
	if len(d.runs) != 4 {
		t.Errorf("ran %v, the late one was taken back", d.runs)
	}
}

// What may not be repeated goes on to its end once the host has it.
func TestUnsafeRunsGoOn(t *testing.T) {
	d := newHostFixture(t)
	d.lastID++
	n := d.lastID
	d.sidecar.Receive(d.now, "there", &meshpb.Message{Id: n, Forward: &meshpb.Forward{Station: "i-1", Token: n,
		AimUs: 1e6, LeftUs: 1e6}})
	d.collect()
	d.cancel(n)
	if d.results[n] != nil || len(d.aborted) > 0 {
		t.Fatalf("told %v, broke off %v", d.results[n], d.aborted)
	}
	d.hostAnswers(n)
	d.wantOutcome(n, outcome.Answered)
}

// A large request may come after its cancellation, which is small: it is not begun then.
func TestCancellationAheadOfItsRequest(t *testing.T) {
	d := newHostFixture(t)
	const life, id = 9, 77
	d.sidecar.Receive(d.now, "there", &meshpb.Message{Life: life, Cancel: &meshpb.Cancel{Forward: id}})
	d.sidecar.Receive(d.now, "there", &meshpb.Message{Id: id, Life: life, Forward: &meshpb.Forward{Station: "i-1",
		Token: id, AimUs: 1e6, LeftUs: 1e6}})
	d.collect()
	if len(d.runs) > 0 {
		t.Error("it runs")
	}
}

// A cancellation names a request of its own sender's.
func TestCancellationOfAnothersRequest(t *testing.T) {
	d := newHostFixture(t)
	n := d.forward(1, 2)
	d.sidecar.Receive(d.now, "elsewhere", &meshpb.Message{Cancel: &meshpb.Cancel{Forward: n}})
	d.sidecar.Receive(d.now, "there", &meshpb.Message{Life: 5, Cancel: &meshpb.Cancel{Forward: n}})
	d.collect()
	if len(d.aborted) > 0 || d.results[n] != nil {
		t.Errorf("taken back by another: %v, %v", d.aborted, d.results[n])
	}
}
