package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"

	"beechwing/internal/mesh/outcome"
)

// hostFixture is a sidecar with a host of four slots. The tests send it requests as the sidecar "there" would.
type hostFixture struct {
	t         *testing.T
	sidecar   *Sidecar
	now       float64
	lastID    uint64
	runs      []uint64            // tokens of the requests that went to the host, in order
	exchanges map[uint64]Exchange // by token
	results   map[uint64]*meshpb.Forwarded

	heartbeats uint64
	aborted    []uint64 // IDs of the jobs that were aborted at the host
}

func newHostFixture(t *testing.T) *hostFixture {
	f := &hostFixture{t: t, now: 1, exchanges: map[uint64]Exchange{}, results: map[uint64]*meshpb.Forwarded{}}
	f.sidecar = New(f.now, Options{Self: "here", Seeds: []string{"hall"}, HeartbeatInterval: 1.5, MaxBodyBytes: 1 << 20})
	f.sidecar.Heartbeat(f.now, Heartbeat{ID: "i-1", Service: "shop", Slots: 4, Sequence: 1})
	f.sidecar.ProbeDone(f.now, "i-1", true)
	f.collect()
	return f
}

func (f *hostFixture) collect() {
	out := f.sidecar.TakeOutput()
	for _, s := range out.Sends {
		if s.Message.Forwarded != nil {
			f.results[s.Message.Id] = s.Message.Forwarded
		}
	}
	for _, command := range out.Commands {
		switch command := command.(type) {
		case Exchange:
			n := uint64(command.Forward.Token)
			f.runs = append(f.runs, n)
			f.exchanges[n] = command
		case Abort:
			f.aborted = append(f.aborted, command.Job)
		}
	}
}

// forward sends a second attempt of a request, with the given seconds until its soft deadline and its deadline. It
// returns the message's ID, which is the token too.
func (f *hostFixture) forward(target, left float64) uint64 {
	f.lastID++
	f.sidecar.Receive(f.now, "there", &meshpb.Message{Id: f.lastID, Forward: &meshpb.Forward{Station: "i-1", Token: f.lastID,
		Attempt: 1, AimUs: uint32(target * 1e6), LeftUs: uint32(left * 1e6), Repeatable: true}})
	f.collect()
	return f.lastID
}

// nextHeartbeat sends a further heartbeat of the healthy host.
func (f *hostFixture) nextHeartbeat() {
	f.heartbeats++
	f.heartbeat(1+f.heartbeats, false)
}

// hostAnswers has the host answer a request.
func (f *hostFixture) hostAnswers(n uint64) {
	f.sidecar.ExchangeDone(f.now, f.exchanges[n].Job, &meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200})
	f.collect()
}

func (f *hostFixture) advance(seconds float64) {
	for end := f.now + seconds; f.now < end; {
		f.now += 0.02
		f.sidecar.Tick(f.now)
		f.collect()
	}
}

// At a full host a request that cannot meet its soft deadline waits behind all that can. It gets no slot while half of
// the slots are in use, and runs while its client still waits.
func TestLateOnesWaitBehindThoseInTime(t *testing.T) {
	f := newHostFixture(t)
	first := []uint64{f.forward(1, 2), f.forward(1, 2), f.forward(1, 2), f.forward(1, 2)}
	late := f.forward(0, 2)
	prompt := f.forward(1, 2)
	if len(f.runs) != 4 || f.results[late] != nil {
		t.Fatalf("ran %v, responses %v", f.runs, f.results)
	}
	f.advance(0.1)
	f.hostAnswers(first[0])
	if n := f.runs[len(f.runs)-1]; n != prompt {
		t.Fatalf("%d got the free slot, but %d is in time", n, prompt)
	}
	f.hostAnswers(first[1])
	f.hostAnswers(first[2])
	if n := f.runs[len(f.runs)-1]; n != prompt {
		t.Fatalf("%d runs with half of the slots in use, which leaves none for urgent requests", n)
	}
	f.hostAnswers(first[3])
	if n := f.runs[len(f.runs)-1]; n != late {
		t.Fatalf("%d ran last, but %d waits although slots are free", n, late)
	}
}

// No more late requests may wait than are likely to be served. The others are rejected at once, and a waiting one as
// soon as it cannot meet its deadline any more.
func TestLateOnesAreFewAndToldInTime(t *testing.T) {
	f := newHostFixture(t)
	for range 4 {
		f.forward(1, 3)
	}
	var waiting []uint64
	for range 5 {
		n := f.forward(0, 1)
		if f.results[n] == nil {
			waiting = append(waiting, n)
		} else if outcome.Outcome(f.results[n].Verdict) != outcome.TurnedAway || f.results[n].BackMs == 0 {
			t.Errorf("response %v", f.results[n])
		}
	}
	if len(waiting) != 2 {
		t.Fatalf("%d of 5 late requests wait while their rate of service is unknown, want 2", len(waiting))
	}
	f.advance(0.9)
	for _, n := range waiting {
		if f.results[n] != nil {
			t.Errorf("%d was rejected with time left", n)
		}
	}
	f.advance(0.1)
	for _, n := range waiting {
		if forwarded := f.results[n]; forwarded == nil || outcome.Outcome(forwarded.Verdict) != outcome.TurnedAway {
			t.Errorf("%d was not rejected before its deadline: %v", n, forwarded)
		}
	}
}

// A request that passes its soft deadline while it waits goes behind those that are in time.
func TestWaitingPastTheAimLosesThePlace(t *testing.T) {
	f := newHostFixture(t)
	var first []uint64
	for range 4 {
		first = append(first, f.forward(3, 4))
	}
	slow := f.forward(0.2, 2)
	f.advance(0.3)
	prompt := f.forward(1, 2)
	f.hostAnswers(first[0])
	if n := f.runs[len(f.runs)-1]; n != prompt {
		t.Errorf("%d got the slot; %d is past its soft deadline and %d is not", n, slow, prompt)
	}
	for _, n := range first[1:] {
		f.hostAnswers(n)
	}
	if n := f.runs[len(f.runs)-1]; n != slow {
		t.Errorf("%d ran last, want %d", n, slow)
	}
}

// With a full network link, a request with a large response is admitted only if the response can be in time behind
// those that wait or are being made. Requests with small responses are admitted as usual.
func TestLargeAnswersDoNotQueueInAFullLink(t *testing.T) {
	f := newHostFixture(t)
	f.sidecar.admission.classBodyBytes[9] = 100 << 10
	const secondsPerByte = 1.0 / (2 << 20) // 100 KB take 49 ms
	large := func(target float64) uint64 {
		f.lastID++
		f.sidecar.Receive(f.now, "there", &meshpb.Message{Id: f.lastID, Forward: &meshpb.Forward{Station: "i-1",
			Token: f.lastID, Attempt: 1, Class: 9, AimUs: uint32(target * 1e6), LeftUs: 3e6, Repeatable: true}})
		f.collect()
		return f.lastID
	}
	f.sidecar.SetLinkBacklog(0.15, secondsPerByte)
	if n := large(0.2); f.results[n] != nil {
		t.Errorf("rejected with 0.15 s to wait and 0.2 s to the soft deadline: %v", f.results[n])
	}
	if n := large(0.2); f.results[n] == nil || f.results[n].BackMs == 0 {
		t.Error("admitted behind a response that is being made, with 0.2 s to wait and 0.2 s to the soft deadline")
	}
	if n := large(0.4); f.results[n] != nil {
		t.Errorf("rejected with 0.2 s to wait and 0.4 s to the soft deadline: %v", f.results[n])
	}
	if n := f.forward(0.2, 1); f.results[n] != nil {
		t.Errorf("a request with a small response was rejected: %v", f.results[n])
	}
}

// A pause of this process during a run must not count as run time of the host, or the sidecar would reject requests for
// an idle host afterwards.
func TestStopOfThisProcessIsNoSlowHost(t *testing.T) {
	f := newHostFixture(t)
	n := f.forward(1, 2)
	f.now += 40
	f.hostAnswers(n)
	f.advance(bufferedFor)
	f.nextHeartbeat()
	if mean := f.sidecar.admission.meanRunSeconds; mean > initialRunSeconds+meanRunStep {
		t.Errorf("the mean run time is %.2f s", mean)
	}
	if n := f.forward(0.2, 2); f.results[n] != nil {
		t.Errorf("rejected although the host is idle: %v", f.results[n])
	}
}

// A host that was slow must be found to be fast again, although by its old run times no request could be in time there.
func TestSlowHostIsTriedAgain(t *testing.T) {
	f := newHostFixture(t)
	const slowRunSeconds = 1.0
	for range 60 {
		n := f.forward(2, 4)
		f.advance(slowRunSeconds)
		f.hostAnswers(n)
		f.nextHeartbeat()
	}
	for range 200 {
		n := f.forward(0.2, 0.5)
		if f.results[n] != nil {
			t.Fatalf("rejected although the host is idle: %v", f.results[n])
		}
		f.advance(0.02)
		f.hostAnswers(n)
		f.nextHeartbeat()
	}
	first, second := f.forward(0.2, 0.5), f.forward(0.2, 0.5)
	if f.results[first] != nil || f.results[second] != nil {
		t.Errorf("rejected although the host is fast again: %v, %v", f.results[first], f.results[second])
	}
}
