package sidecar

import (
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
)

// restartedFixture is a sidecar that has just started and has a configuration with the health path of its host's service.
func restartedFixture(t *testing.T) *hostFixture {
	f := &hostFixture{t: t, now: 1, exchanges: map[uint64]Exchange{}, results: map[uint64]*meshpb.Forwarded{}}
	f.sidecar = New(f.now, Options{Self: "here", Service: "shop", Seeds: []string{"hall"}, HeartbeatInterval: 1.5,
		MaxBodyBytes: 1 << 20})
	answerPull(f.sidecar, f.now, &meshpb.Update{FromServer: true, Edition: 1, Text: []byte(healthRoute), Servers: []string{"hall"}})
	f.collect()
	return f
}

const healthRoute = `{"edition":"r1","itineraries":[{"name":"read","depot":"shop.example","lanePrefix":"/read/",` +
	`"routeKind":"safe","timeoutMs":1000,"targetMs":200,"carrier":"shop","tries":2}],` +
	`"carriers":[{"name":"shop","healthPath":"/health"}]}`

// probes returns the number of probes that the sidecar orders within some seconds.
func (f *hostFixture) probes(seconds float64) (n int) {
	for end := f.now + seconds; f.now < end; {
		f.now += 0.02
		f.sidecar.Tick(f.now)
		n += len(slices.DeleteFunc(f.sidecar.TakeOutput().Commands, func(c Command) bool { _, is := c.(Probe); return !is }))
	}
	return n
}

func (f *hostFixture) wantHost(want, when string) {
	f.t.Helper()
	if own := f.sidecar.discovery.own; own.Station != want {
		f.t.Errorf("%s: the list has %q (condition %d), want %q", when, own.Station, own.Condition, want)
	}
}

// A heartbeat that was sent before the host signed off, and arrives at the next process after the one that acknowledged
// the sign-off was killed, must not list the host again (review case 5, DRAIN).
func TestLateHeartbeatDoesNotListHostAfterRestart(t *testing.T) {
	f := restartedFixture(t)
	f.heartbeat(7, false)
	f.wantHost("", "a heartbeat, late or not")
	if f.probes(1) == 0 {
		t.Error("the host was not asked")
	}
	f.sidecar.ProbeDone(f.now, "i-1", false)
	f.heartbeat(8, false)
	f.wantHost("", "the host does not confirm that it serves")
	f.heartbeat(6, false)
	f.advance(unconfirmedSpan)
	f.heartbeat(8, false)
	f.wantHost("", "the same heartbeats again after 10 s")
}

// A host that stays is listed with what its heartbeat says as soon as it confirms, and by its heartbeats alone if its
// answers to probes never do.
func TestHostIsListedOnceConfirmed(t *testing.T) {
	f := restartedFixture(t)
	f.heartbeat(7, false)
	f.sidecar.ProbeDone(f.now, "i-1", true)
	f.wantHost("i-1", "confirmed")
	if n := f.sidecar.discovery.own.Berths; n != 4 {
		t.Errorf("it has %d slots, want 4", n)
	}
	f = restartedFixture(t)
	for sequence := uint64(1); sequence <= 8; sequence++ {
		f.wantHost("", "its heartbeats have come for less than 10 s")
		f.heartbeat(sequence, false)
		f.advance(1.5)
	}
	f.wantHost("i-1", "its heartbeats come for 10 s")
}

// A sign-off binds a process that has not heard of the host before: no late heartbeat and no answer to a probe that was
// sent before the sign-off lists the host.
func TestSignOffBindsAfterRestart(t *testing.T) {
	f := restartedFixture(t)
	f.probes(0.1)
	f.sidecar.HostSignedOff(f.now, "i-1")
	f.heartbeat(7, false)
	f.sidecar.ProbeDone(f.now, "i-1", true)
	f.wantHost("", "after the sign-off")
}

// A late heartbeat of an instance that only a former process knew must not replace the present instance, and must not
// make its further heartbeats count as those of a former one.
func TestLateHeartbeatOfUnknownInstanceChangesNothing(t *testing.T) {
	f := restartedFixture(t)
	f.sidecar.ProbeDone(f.now, "i-2", true)
	for _, draining := range []bool{false, true} {
		f.heartbeat(7, draining)
		f.wantHost("i-2", "a late heartbeat of i-1")
	}
	f.sidecar.ProbeDone(f.now, "i-2", true)
	if n := f.probes(2); n > 0 {
		t.Errorf("%d probes after the host has confirmed that it is i-2", n)
	}
	f.sidecar.Heartbeat(f.now, Heartbeat{ID: "i-2", Service: "shop", Slots: 4, Sequence: 9, Draining: true})
	f.wantCondition(Draining, "a heartbeat of i-2")
}
