package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
)

// cancel has the sender of a request cancel it.
func (f *hostFixture) cancel(n uint64) {
	f.sidecar.Receive(f.now, "there", &meshpb.Message{Cancel: &meshpb.Cancel{Forward: n}})
	f.collect()
}

func (f *hostFixture) wantOutcome(n uint64, want outcome.Outcome) {
	f.t.Helper()
	forwarded := f.results[n]
	if forwarded == nil {
		f.t.Errorf("no response to %d, want %v", n, want)
	} else if got := outcome.Outcome(forwarded.Verdict); got != want {
		f.t.Errorf("the outcome of %d is %v, want %v", n, got, want)
	}
}

// The run of a repeatable request is aborted and its slot goes to the next request; a waiting request is not begun.
func TestCancelledRequestsMakeRoom(t *testing.T) {
	f := newHostFixture(t)
	var running []uint64
	for range 4 {
		running = append(running, f.forward(1, 2))
	}
	left, next := f.forward(1, 2), f.forward(1, 2)
	f.cancel(left)
	f.wantOutcome(left, outcome.TurnedAway)
	f.cancel(running[1])
	f.wantOutcome(running[1], outcome.Cancelled)
	if n := f.runs[len(f.runs)-1]; n != next {
		t.Errorf("%d runs, want %d, which waited for the slot", n, next)
	}
	if len(f.aborted) != 1 || f.aborted[0] != f.exchanges[running[1]].Job {
		t.Errorf("aborted jobs: %v, want the one of request %d", f.aborted, running[1])
	}
	f.hostAnswers(running[1]) // the end of the aborted run is still reported
	if got := f.sidecar.State(f.now).Counts.Cancelled; got[cancelWaiting] != 1 || got[cancelRunning] != 1 {
		t.Errorf("cancellations counted: %v", got)
	}
}

// A request in the late queue is cancelled too.
func TestCancelledLateRequestIsNotBegun(t *testing.T) {
	f := newHostFixture(t)
	first := []uint64{f.forward(1, 2), f.forward(1, 2), f.forward(1, 2), f.forward(1, 2)}
	late := f.forward(0, 2)
	f.cancel(late)
	f.wantOutcome(late, outcome.TurnedAway)
	for _, n := range first {
		f.hostAnswers(n)
	}
	if len(f.runs) != 4 {
		t.Errorf("ran %v, but the late request was cancelled", f.runs)
	}
}

// A request that may not be repeated runs to its end once the host has it.
func TestUnsafeRunsGoOn(t *testing.T) {
	f := newHostFixture(t)
	f.lastID++
	n := f.lastID
	f.sidecar.Receive(f.now, "there", &meshpb.Message{Id: n, Forward: &meshpb.Forward{Station: "i-1", Token: n,
		AimUs: 1e6, LeftUs: 1e6}})
	f.collect()
	f.cancel(n)
	if f.results[n] != nil || len(f.aborted) > 0 {
		t.Fatalf("response %v, aborted jobs %v, want neither", f.results[n], f.aborted)
	}
	f.hostAnswers(n)
	f.wantOutcome(n, outcome.Answered)
}

// A large request may arrive after its small cancellation, and is not begun then.
func TestCancellationAheadOfItsRequest(t *testing.T) {
	f := newHostFixture(t)
	const incarnation, id = 9, 77
	f.sidecar.Receive(f.now, "there", &meshpb.Message{Life: incarnation, Cancel: &meshpb.Cancel{Forward: id}})
	f.sidecar.Receive(f.now, "there", &meshpb.Message{Id: id, Life: incarnation, Forward: &meshpb.Forward{Station: "i-1",
		Token: id, AimUs: 1e6, LeftUs: 1e6}})
	f.collect()
	if len(f.runs) > 0 {
		t.Error("the cancelled request runs")
	}
}

// A cancellation affects only requests of its own sender and incarnation.
func TestCancellationOfAnothersRequest(t *testing.T) {
	f := newHostFixture(t)
	n := f.forward(1, 2)
	f.sidecar.Receive(f.now, "elsewhere", &meshpb.Message{Cancel: &meshpb.Cancel{Forward: n}})
	f.sidecar.Receive(f.now, "there", &meshpb.Message{Life: 5, Cancel: &meshpb.Cancel{Forward: n}})
	f.collect()
	if len(f.aborted) > 0 || f.results[n] != nil {
		t.Errorf("cancelled by another process: aborted jobs %v, response %v", f.aborted, f.results[n])
	}
}
