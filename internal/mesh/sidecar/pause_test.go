package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
)

// freeze lets time pass in which the process does not run.
func (f *hostFixture) freeze(seconds float64) { f.now += seconds }

// heartbeat sends a heartbeat of the host.
func (f *hostFixture) heartbeat(sequence uint64, draining bool) {
	f.sidecar.Heartbeat(f.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: sequence, Draining: draining})
	f.collect()
}

func (f *hostFixture) wantCondition(want uint32, when string) {
	f.t.Helper()
	if got := f.sidecar.discovery.own.Condition; got != want {
		f.t.Errorf("%s: the host's condition is %d, want %d", when, got, want)
	}
}

// Time in which the sidecar was frozen does not count as silence of its host. The time in which it ran before and after
// does.
func TestHostIsGoneByBeatsMissedWhileThisRan(t *testing.T) {
	f := newHostFixture(t)
	f.advance(2)
	f.freeze(8)
	f.advance(2.5)
	f.wantCondition(Serving, "8 s frozen, 4.5 s running")
	f.advance(0.8)
	f.wantCondition(Gone, "8 s frozen, 5.3 s running; the limit of 3.5 heartbeats is 5.25 s")
}

// A host that counts as gone for missed heartbeats returns with a heartbeat later than its last one. An outdated
// heartbeat changes nothing.
func TestHostIsBackAfterMissedBeats(t *testing.T) {
	f := newHostFixture(t)
	f.advance(6)
	f.wantCondition(Gone, "6 s without a heartbeat")
	f.heartbeat(1, false)
	f.wantCondition(Gone, "its last heartbeat again")
	f.heartbeat(2, false)
	f.wantCondition(Serving, "its next heartbeat")
	if n := f.forward(1, 2); len(f.runs) != 1 || f.runs[0] != n {
		t.Errorf("ran %v, want %d", f.runs, n)
	}
}

// A host that returns as draining counts as draining, and outdated heartbeats do not make it serve again.
func TestHostThatLeavesIsNotBackAfterMissedBeats(t *testing.T) {
	f := newHostFixture(t)
	f.advance(6)
	f.heartbeat(3, true)
	f.wantCondition(Draining, "returned as draining")
	f.heartbeat(2, false)
	f.heartbeat(3, false)
	f.wantCondition(Draining, "outdated heartbeats")
	f.freeze(8)
	f.advance(6)
	f.heartbeat(3, false)
	f.wantCondition(Draining, "an outdated heartbeat after a freeze")
}

// No heartbeat brings back a host that has signed off, even if it counted as gone for missed heartbeats before.
func TestHostThatSignedOffStaysGone(t *testing.T) {
	for name, missed := range map[string]bool{"serving": false, "counted as gone": true} {
		f := newHostFixture(t)
		if missed {
			f.advance(6)
		}
		f.sidecar.HostSignedOff(f.now, "i-1")
		f.heartbeat(9, false)
		f.wantCondition(Gone, name)
	}
}

// A request that arrives right after a long pause may have been sent when the pause began. It runs only if its deadline,
// counted from then, is still ahead. Otherwise it is rejected, so that its sender can send it elsewhere. One
// second after the pause, requests count as fresh again.
func TestRequestsFoundAfterAFreezeAreOld(t *testing.T) {
	f := newHostFixture(t)
	f.advance(0.1)
	f.freeze(6)
	old, long := f.forward(1, 1.5), f.forward(1, 10)
	if forwarded := f.results[old]; forwarded == nil || outcome.Outcome(forwarded.Verdict) != outcome.TurnedAway ||
		forwarded.BackMs == 0 {
		t.Errorf("1.5 s left, 6 s frozen: response %v", forwarded)
	}
	if len(f.runs) != 1 || f.runs[0] != long {
		t.Fatalf("ran %v, want %d", f.runs, long)
	}
	if left := f.exchanges[long].Forward.LeftUs; left > 4e6 || left < 3.9e6 {
		t.Errorf("%d us left of 10 s after 6 s frozen", left)
	}
	f.advance(0.5)
	f.freeze(1)
	late := f.forward(1, 7)
	if len(f.runs) != 1 || f.results[late] == nil {
		t.Errorf("two freezes of 7.5 s together, 7 s left: ran %v", f.runs)
	}
	f.advance(1.1)
	if fresh := f.forward(1, 1.5); len(f.runs) != 2 || f.runs[1] != fresh {
		t.Errorf("a second later: ran %v, want %d", f.runs, fresh)
	}
}

// After a short pause, which is frequent on a crowded machine, no request counts as old, as fresh requests would suffer
// more from being treated as old.
func TestRequestsAfterAShortPauseAreFresh(t *testing.T) {
	f := newHostFixture(t)
	f.advance(0.1)
	f.freeze(4)
	if id := f.forward(1, 1.5); len(f.runs) != 1 || f.runs[0] != id {
		t.Errorf("after 4 s: ran %v, want %d", f.runs, id)
	}
}

// Requests that this process sends to itself after a pause were in no buffer and are fresh.
func TestOwnRequestsAfterAFreezeAreFresh(t *testing.T) {
	f := newHostFixture(t)
	f.freeze(6)
	f.sidecar.Receive(f.now, "here", &meshpb.Message{Id: 1, Forward: &meshpb.Forward{Station: "i-1", Token: 1, Attempt: 1,
		AimUs: 1e6, LeftUs: 1.5e6, Repeatable: true}})
	f.collect()
	if len(f.runs) != 1 {
		t.Errorf("ran %v, want 1", f.runs)
	}
}

// A late heartbeat of a former host instance changes nothing, whatever it says. The present instance stays in the list
// and gets requests.
func TestLateBeatOfAFormerLifeChangesNothing(t *testing.T) {
	f := newHostFixture(t)
	heartbeat := func(id string, sequence uint64, draining bool) {
		f.sidecar.Heartbeat(f.now, Heartbeat{ID: id, Service: "shop", Slots: 4, Sequence: sequence, Draining: draining})
		f.collect()
	}
	heartbeat("i-2", 1, false)
	f.sidecar.ProbeDone(f.now, "i-2", true)
	for _, draining := range []bool{false, true} {
		heartbeat("i-1", 7, draining)
		if got := f.sidecar.discovery.own.Station; got != "i-2" {
			t.Fatalf("the list has instance %q", got)
		}
		f.wantCondition(Serving, "a late heartbeat of a former instance")
	}
	heartbeat("i-3", 1, false)
	f.sidecar.ProbeDone(f.now, "i-3", true)
	heartbeat("i-2", 2, false)
	heartbeat("i-1", 8, false)
	if got := f.sidecar.discovery.own.Station; got != "i-3" {
		t.Fatalf("the list has instance %q", got)
	}
}
