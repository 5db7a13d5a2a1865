package load

import (
	"testing"
	"time"

	"beechwing/internal/lab/fleet"
)

func node(t *testing.T) *fleet.Node {
	t.Helper()
	n, err := fleet.NewNode("h1", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// TestOpenLoop: a stall is seen by everything that was meant to go out in it, and all that was sent is counted as run.
func TestOpenLoop(t *testing.T) {
	const stall = 400 * time.Millisecond
	n := node(t)
	go func() {
		time.Sleep(200 * time.Millisecond)
		n.Pause(stall)
	}()
	r, err := Steady(n.Addr(), 500, time.Second, 1)
	if err != nil || r.Served != r.Sent || r.Served < 300 {
		t.Fatalf("%+v, %v", r, err)
	}
	if ran := len(n.Ran()); ran != r.Sent {
		t.Errorf("%d sent, %d ran", r.Sent, ran)
	}
	// Two fifths of all were due while it lasted, and wait for half of it on average.
	if p75, p99 := r.Quantile(75), r.Quantile(99); p75 < stall/5 || p99 < stall*4/5 {
		t.Errorf("p75 %v, p99 %v", p75, p99)
	}
}

// TestCrowd: those that ask once stay, wake together, and are seen to go.
func TestCrowd(t *testing.T) {
	n := node(t)
	c, err := Gather(n.Addr(), 300, 8)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if held := c.Held(); held != 300 {
		t.Fatalf("%d held", held)
	}
	if r := c.Wake(0, time.Second); r.Served != 300 {
		t.Fatalf("%+v", r)
	}
	n.Close()
	if r := c.Wake(0, time.Second); r.Unanswered != 300 {
		t.Fatalf("after its end: %+v", r)
	}
	if held := c.Held(); held != 0 {
		t.Fatalf("%d held after its end", held)
	}
}
