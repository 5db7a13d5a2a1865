package upstream

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/sidecar"
)

// refusal is a host's word that it has not run a request, which does not say whose.
const refusal = "HTTP/1.1 503 Full\r\n" + sidecar.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// A host's refusal that does not say whose it is comes a second time, ahead of the answer to the next
// request: that one has run, and is not told as refused.
func TestRefusalWithoutIdIsNotTheNextRequests(t *testing.T) {
	p, _ := host(t, func(id string, n int) string {
		switch {
		case id == "q1":
			return refusal
		case n > 1:
			return refusal + good(id, "ran")
		}
		return good(id, "ran")
	})
	if got := ask(p, "q1"); outcome.Outcome(got.Verdict) != outcome.HostTurnedAway {
		t.Fatalf("refused: %v", outcome.Outcome(got.Verdict))
	}
	if got := ask(p, "q2"); string(got.Body) != "ran" {
		t.Errorf("the next request, which has run: %v, %s", outcome.Outcome(got.Verdict), got.Why)
	}
}

// A client that asks again by the same id does not get the answer to its first request, sent twice, for the
// second.
func TestSameIdAgainGetsItsOwnAnswer(t *testing.T) {
	var runs atomic.Int64
	p, _ := host(t, func(id string, n int) string {
		run := runs.Add(1)
		answer := good(id, fmt.Sprintf("run %d", run))
		if n > 1 {
			return good(id, "run 1") + answer
		}
		return answer
	})
	for run := 1; run <= 2; run++ {
		if got := ask(p, "q1"); string(got.Body) != fmt.Sprintf("run %d", run) {
			t.Errorf("the request that ran as %d is answered by %q", run, got.Body)
		}
	}
}

// An answer that names a request is not the answer to one that has no id.
func TestAnswerOfANamedRequestIsNotAnUnnamedOnes(t *testing.T) {
	p, _ := host(t, func(id string, n int) string {
		return good("q7", "of q7") + "HTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\nmine"
	})
	if got := ask(p, ""); string(got.Body) != "mine" {
		t.Errorf("answered by %q", got.Body)
	}
}

// A request on a connection that was used before, and is reset once the host has it, is written once: it may
// have run.
func TestResetOfAUsedConnectionWritesNothingTwice(t *testing.T) {
	var arrived atomic.Int64
	p, _ := host(t, func(id string, n int) string {
		if id == "q2" {
			arrived.Add(1)
			return ""
		}
		return good(id, "fine")
	})
	if got := ask(p, "q1"); string(got.Body) != "fine" || p.Opened() != 1 {
		t.Fatalf("first: %q over %d connections", got.Body, p.Opened())
	}
	if got := ask(p, "q2"); outcome.Outcome(got.Verdict) != outcome.Broken || arrived.Load() != 1 {
		t.Errorf("reset: %v, and the host has it %d times", outcome.Outcome(got.Verdict), arrived.Load())
	}
}

// What a frozen process would write after its client's time is not written, whether the connection is new or
// was used.
func TestNothingIsWrittenPastItsDeadline(t *testing.T) {
	var arrived atomic.Int64
	p, _ := host(t, func(id string, n int) string {
		if id == "late" {
			arrived.Add(1)
		}
		return good(id, "fine")
	})
	late := &meshpb.Forward{Station: "i-1", Method: "POST", Target: "/x", Host: "h", LeftUs: 1e6,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: "late"}}}
	for range 2 {
		if got := p.Run(context.Background(), late, time.Now().Add(-time.Second)); outcome.Outcome(got.Verdict).NeverRan() {
			t.Errorf("told as %v: the writer does not know that", outcome.Outcome(got.Verdict))
		}
		if got := ask(p, "q1"); string(got.Body) != "fine" {
			t.Fatalf("in time: %q", got.Body)
		}
	}
	if arrived.Load() > 0 {
		t.Errorf("the host has it %d times", arrived.Load())
	}
}

// A run that is broken off ends at once, closes its connection, and says nothing else of the host.
func TestBrokenOffRun(t *testing.T) {
	begun, ended := make(chan bool, 1), make(chan bool)
	p, _ := host(t, func(id string, n int) string {
		if id != "q1" {
			return good(id, "fine")
		}
		begun <- true
		<-ended
		return ""
	})
	defer close(ended)
	ctx, cancel := context.WithCancel(context.Background())
	told := make(chan *meshpb.Forwarded, 1)
	go func() {
		told <- p.Run(ctx, &meshpb.Forward{Station: "i-1", Method: "GET", Target: "/x", Host: "h", LeftUs: 60e6,
			Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: "q1"}}}, time.Now().Add(time.Minute))
	}()
	<-begun
	cancel()
	if got := <-told; outcome.Outcome(got.Verdict) != outcome.Cancelled {
		t.Errorf("told as %v (%s)", outcome.Outcome(got.Verdict), got.Why)
	}
	if got := ask(p, "q2"); string(got.Body) != "fine" {
		t.Errorf("the next request: %q", got.Body)
	}
	if p.Opened() != 2 {
		t.Errorf("%d connections opened, want 2: what was broken off is not used again", p.Opened())
	}
}
