package workload

import (
	"strings"
	"testing"
)

// Totals accumulates from the start, Recent restarts at each call. Both list the most expensive kind of work first.
func TestMeter(t *testing.T) {
	m := NewMeter()
	m.Done("claim", 0.001)
	m.Done("page", 0.010)
	m.Done("claim", 0.003)
	if got := Text(m.Recent()); got != "page:1:10:10 claim:2:4:3" {
		t.Errorf("recent: %s", got)
	}
	m.Done("claim", 0.020)
	if got := Text(m.Recent()); got != "claim:1:20:20" {
		t.Errorf("recent after a call: %s", got)
	}
	if got := Text(m.Totals()); !strings.HasPrefix(got, "claim:3:24:20") {
		t.Errorf("totals: %s", got)
	}
	if got := Seconds(m.Totals()); got < 0.0339 || got > 0.0341 {
		t.Errorf("seconds: %f", got)
	}
}
