package load

import (
	"testing"
	"time"

	"beechwing/internal/lab/fleet"
)

func startNode(t *testing.T) *fleet.Node {
	t.Helper()
	n, err := fleet.NewNode("h1", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// TestOpenLoop checks that a stall of the host shows in the latency of every request that was due during the stall, and that
// the host has run every request that was sent.
func TestOpenLoop(t *testing.T) {
	const stall = 400 * time.Millisecond
	n := startNode(t)
	go func() {
		time.Sleep(200 * time.Millisecond)
		n.Pause(stall)
	}()
	r, err := SendSteady(n.Addr(), 500, time.Second, 1)
	if err != nil || r.Served != r.Sent || r.Served < 300 {
		t.Fatalf("%+v, %v", r, err)
	}
	if ran := len(n.TakeRuns()); ran != r.Sent {
		t.Errorf("%d sent, %d run by the host", r.Sent, ran)
	}
	// Two fifths of the requests were due during the stall, and waited for half of it on average.
	if p75, p99 := r.Quantile(75), r.Quantile(99); p75 < stall/5 || p99 < stall*4/5 {
		t.Errorf("p75 %v, p99 %v", p75, p99)
	}
}

// TestCrowd checks that idle connections stay open, that all of them can send again at once, and that closed ones are
// detected.
func TestCrowd(t *testing.T) {
	n := startNode(t)
	c, err := OpenIdle(n.Addr(), 300, 8)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if open := c.CountOpen(); open != 300 {
		t.Fatalf("%d of 300 connections open", open)
	}
	if r := c.SendAll(0, time.Second); r.Served != 300 {
		t.Fatalf("%+v", r)
	}
	n.Close()
	if r := c.SendAll(0, time.Second); r.Unanswered != 300 {
		t.Fatalf("requests after the host closed: %+v", r)
	}
	if open := c.CountOpen(); open != 0 {
		t.Fatalf("%d connections open after the host closed", open)
	}
}
