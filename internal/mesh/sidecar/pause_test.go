package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
)

// freeze lets time pass in which the process does not run.
func (d *hostFixture) freeze(seconds float64) { d.now += seconds }

// beat brings a beat of the host here.
func (d *hostFixture) heartbeat(sequence uint64, draining bool) {
	d.sidecar.Heartbeat(d.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: sequence, Draining: draining})
	d.collect()
}

func (d *hostFixture) wantCondition(want uint32, when string) {
	d.t.Helper()
	if got := d.sidecar.discovery.own.Condition; got != want {
		d.t.Errorf("%s: the host's condition is %d, want %d", when, got, want)
	}
}

// Time in which the proxy was frozen is no silence of its host; time in which it runs is, before and after.
func TestHostIsGoneByBeatsMissedWhileThisRan(t *testing.T) {
	d := newHostFixture(t)
	d.advance(2)
	d.freeze(8)
	d.advance(2.5)
	d.wantCondition(Serving, "8 s frozen, 4.5 s awake")
	d.advance(0.8)
	d.wantCondition(Gone, "8 s frozen, 5.3 s awake, 5.25 s are 3.5 beats")
}

// A host that was taken for gone by missed beats is back with a beat that comes after its last one, and a late
// beat changes nothing.
func TestHostIsBackAfterMissedBeats(t *testing.T) {
	d := newHostFixture(t)
	d.advance(6)
	d.wantCondition(Gone, "6 s without a beat")
	d.heartbeat(1, false)
	d.wantCondition(Gone, "its last beat again")
	d.heartbeat(2, false)
	d.wantCondition(Serving, "its next beat")
	if n := d.forward(1, 2); len(d.runs) != 1 || d.runs[0] != n {
		t.Errorf("ran %v, want %d", d.runs, n)
	}
}

// A host that comes back leaving leaves, and one that leaves is not back by beats that were late.
func TestHostThatLeavesIsNotBackAfterMissedBeats(t *testing.T) {
	d := newHostFixture(t)
	d.advance(6)
	d.heartbeat(3, true)
	d.wantCondition(Draining, "back and leaving")
	d.heartbeat(2, false)
	d.heartbeat(3, false)
	d.wantCondition(Draining, "late beats")
	d.freeze(8)
	d.advance(6)
	d.heartbeat(3, false)
	d.wantCondition(Draining, "a late beat after a freeze")
}

// A host that has signed off is not back by any beat, also where its beats were missing before that.
func TestHostThatSignedOffStaysGone(t *testing.T) {
	for name, missed := range map[string]bool{"at dock": false, "taken for gone": true} {
		d := newHostFixture(t)
		if missed {
			d.advance(6)
		}
		d.sidecar.HostSignedOff(d.now, "i-1")
		d.heartbeat(9, false)
		d.wantCondition(Gone, name)
	}
}

// What a proxy finds after a freeze is taken for as old as the freeze: it runs if its time is not over by then.
// What is over is turned away, so that a fresh one may go elsewhere. A second later all is fresh again.
func TestRequestsFoundAfterAFreezeAreOld(t *testing.T) {
	d := newHostFixture(t)
	d.advance(0.1)
	d.freeze(6)
	old, long := d.forward(1, 1.5), d.forward(1, 10)
	if forwarded := d.results[old]; forwarded == nil || outcome.Outcome(forwarded.Verdict) != outcome.Turned ||
		forwarded.BackMs == 0 {
		t.Errorf("1.5 s left, 6 s frozen: told %v", forwarded)
	}
	if len(d.runs) != 1 || d.runs[0] != long {
		t.Fatalf("ran %v, want %d", d.runs, long)
	}
	if left := d.exchanges[long].Forward.LeftUs; left > 4e6 || left < 3.9e6 {
		t.Errorf("%d us left of 10 s after 6 s frozen", left)
	}
	d.advance(0.5)
	d.freeze(1)
	late := d.forward(1, 7)
	if len(d.runs) != 1 || d.results[late] == nil {
		t.Errorf("two freezes of 7.5 s together, 7 s left: ran %v", d.runs)
	}
	d.advance(1.1)
	if fresh := d.forward(1, 1.5); len(d.runs) != 2 || d.runs[1] != fresh {
		t.Errorf("a second later: ran %v, want %d", d.runs, fresh)
	}
}

// A pause as a crowded machine has them makes nothing old: a fresh request would lose more by it.
func TestRequestsAfterAShortPauseAreFresh(t *testing.T) {
	d := newHostFixture(t)
	d.advance(0.1)
	d.freeze(4)
	if id := d.forward(1, 1.5); len(d.runs) != 1 || d.runs[0] != id {
		t.Errorf("after 4 s: ran %v, want %d", d.runs, id)
	}
}

// What this process asks itself after a freeze has not been in any buffer.
func TestOwnRequestsAfterAFreezeAreFresh(t *testing.T) {
	d := newHostFixture(t)
	d.freeze(6)
	d.sidecar.Receive(d.now, "here", &meshpb.Message{Id: 1, Forward: &meshpb.Forward{Station: "i-1", Token: 1, Attempt: 1,
		AimUs: 1e6, LeftUs: 1.5e6, Repeatable: true}})
	d.collect()
	if len(d.runs) != 1 {
		t.Errorf("ran %v, want 1", d.runs)
	}
}

// A late beat of the host's former life changes nothing, whatever it says: the present life stays in the list and is sent to.
func TestLateBeatOfAFormerLifeChangesNothing(t *testing.T) {
	d := newHostFixture(t)
	heartbeat := func(id string, sequence uint64, draining bool) {
		d.sidecar.Heartbeat(d.now, Heartbeat{ID: id, Service: "shop", Slots: 4, Sequence: sequence, Draining: draining})
		d.collect()
	}
	heartbeat("i-2", 1, false)
	for _, draining := range []bool{false, true} {
		heartbeat("i-1", 7, draining)
		if got := d.sidecar.discovery.own.Station; got != "i-2" {
			t.Fatalf("the list has %q", got)
		}
		d.wantCondition(Serving, "a late beat of a former life")
	}
	heartbeat("i-3", 1, false)
	heartbeat("i-2", 2, false)
	heartbeat("i-1", 8, false)
	if got := d.sidecar.discovery.own.Station; got != "i-3" {
		t.Fatalf("the list has %q", got)
	}
}
