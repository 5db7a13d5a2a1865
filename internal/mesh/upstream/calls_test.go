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

// refusal is a host's response that it has not run a request. It does not carry the request's id.
const refusal = "HTTP/1.1 503 Full\r\n" + sidecar.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// A host repeats a refusal that carries no id ahead of the response to the next request. The next request was
// run and must not be reported as refused.
func TestRefusalWithoutIdIsNotTheNextRequests(t *testing.T) {
	h, _ := startHost(t, func(id string, n int) string {
		switch {
		case id == "q1":
			return refusal
		case n > 1:
			return refusal + okResponse(id, "ran")
		}
		return okResponse(id, "ran")
	})
	if got := send(h, "q1"); outcome.Outcome(got.Verdict) != outcome.HostTurnedAway {
		t.Fatalf("refused request: %v", outcome.Outcome(got.Verdict))
	}
	if got := send(h, "q2"); string(got.Body) != "ran" {
		t.Errorf("the next request, which was run: %v, %s", outcome.Outcome(got.Verdict), got.Why)
	}
}

// A client reuses a request id. It must not get the repeated response to its first request for the second one.
func TestSameIdAgainGetsItsOwnAnswer(t *testing.T) {
	var runs atomic.Int64
	h, _ := startHost(t, func(id string, n int) string {
		run := runs.Add(1)
		response := okResponse(id, fmt.Sprintf("run %d", run))
		if n > 1 {
			return okResponse(id, "run 1") + response
		}
		return response
	})
	for run := 1; run <= 2; run++ {
		if got := send(h, "q1"); string(got.Body) != fmt.Sprintf("run %d", run) {
			t.Errorf("run %d got the response %q", run, got.Body)
		}
	}
}

// A response that carries the id of another request must not be taken for the response to a request without an
// id.
func TestAnswerOfANamedRequestIsNotAnUnnamedOnes(t *testing.T) {
	h, _ := startHost(t, func(id string, n int) string {
		return okResponse("q7", "of q7") + "HTTP/1.1 404 No\r\nContent-Length: 4\r\n\r\nmine"
	})
	if got := send(h, ""); string(got.Body) != "mine" {
		t.Errorf("got the response %q", got.Body)
	}
}

// The host resets a reused connection after it has received a request. The request may have run and must not be
// written again.
func TestResetOfAUsedConnectionWritesNothingTwice(t *testing.T) {
	var arrived atomic.Int64
	h, _ := startHost(t, func(id string, n int) string {
		if id == "q2" {
			arrived.Add(1)
			return ""
		}
		return okResponse(id, "fine")
	})
	if got := send(h, "q1"); string(got.Body) != "fine" || h.Opened() != 1 {
		t.Fatalf("first request: %q over %d connections", got.Body, h.Opened())
	}
	if got := send(h, "q2"); outcome.Outcome(got.Verdict) != outcome.Broken || arrived.Load() != 1 {
		t.Errorf("after the reset: %v, and the host received the request %d times", outcome.Outcome(got.Verdict), arrived.Load())
	}
}

// A process that was frozen until after a request's deadline must not write the request, neither on a new
// connection nor on a reused one.
func TestNothingIsWrittenPastItsDeadline(t *testing.T) {
	var arrived atomic.Int64
	h, _ := startHost(t, func(id string, n int) string {
		if id == "late" {
			arrived.Add(1)
		}
		return okResponse(id, "fine")
	})
	late := &meshpb.Forward{Station: "i-1", Method: "POST", Target: "/x", Host: "h", LeftUs: 1e6,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: "late"}}}
	for range 2 {
		if got := h.Run(context.Background(), late, time.Now().Add(-time.Second)); outcome.Outcome(got.Verdict).NeverRan() {
			t.Errorf("reported as %v, but the request may have run", outcome.Outcome(got.Verdict))
		}
		if got := send(h, "q1"); string(got.Body) != "fine" {
			t.Fatalf("request in time: %q", got.Body)
		}
	}
	if arrived.Load() > 0 {
		t.Errorf("the host received the late request %d times", arrived.Load())
	}
}

// A cancelled run must return at once, close its connection, and be reported as cancelled rather than as a
// failure of the host.
func TestBrokenOffRun(t *testing.T) {
	received, ended := make(chan bool, 1), make(chan bool)
	h, _ := startHost(t, func(id string, n int) string {
		if id != "q1" {
			return okResponse(id, "fine")
		}
		received <- true
		<-ended
		return ""
	})
	defer close(ended)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan *meshpb.Forwarded, 1)
	go func() {
		result <- h.Run(ctx, &meshpb.Forward{Station: "i-1", Method: "GET", Target: "/x", Host: "h", LeftUs: 60e6,
			Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: "q1"}}}, time.Now().Add(time.Minute))
	}()
	<-received
	cancel()
	if got := <-result; outcome.Outcome(got.Verdict) != outcome.Cancelled {
		t.Errorf("reported as %v (%s)", outcome.Outcome(got.Verdict), got.Why)
	}
	if got := send(h, "q2"); string(got.Body) != "fine" {
		t.Errorf("the next request: %q", got.Body)
	}
	if h.Opened() != 2 {
		t.Errorf("%d connections opened, want 2: the connection of a cancelled run must not be reused", h.Opened())
	}
}
