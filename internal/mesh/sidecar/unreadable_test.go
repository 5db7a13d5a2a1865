package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"
)

// TestUnreadableConfigurationIsNotAskedForAtOnce guards against a sidecar that asks for a configuration that it cannot read as
// fast as control servers answer, and logs it each time. News of hosts keeps coming, and a newer configuration is used.
func TestUnreadableConfigurationIsNotAskedForAtOnce(t *testing.T) {
	const seconds, maxPulls = 2.0, 12 // the delay between two pulls and the first ones
	now, logged := 1.0, 0
	p := New(now, Options{Self: "here", Zone: "a", Service: "till", Seeds: []string{"hall"}, HeartbeatInterval: 1.5,
		Log: func(event string, _ ...any) {
			if event == "configuration not understood" {
				logged++
			}
		}})
	pulls, record := 0, uint64(0)
	answerAll := func(version uint64, text string) {
		p.Tick(now)
		var sends []transport.Send
		for sends = p.TakeOutput().Sends; len(sends) > 0 && pulls < 10*maxPulls; sends = p.TakeOutput().Sends {
			for _, s := range sends {
				if s.To != "hall" || s.Message.Pull == nil || s.Message.Pull.Edition >= version {
					continue
				}
				pulls++
				record++
				p.Receive(now, "hall", meshpb.Answer(s.Message, &meshpb.Message{Update: &meshpb.Update{FromServer: true, Edition: version,
					Text: []byte(text), Records: []*meshpb.Record{{Source: "p1", Version: record, Station: "i-1", Carrier: "shop", Zone: "a",
						Condition: Serving}}}}))
			}
		}
	}
	for end := now + seconds; now < end; now += 0.02 {
		answerAll(2, safeRoute+"}")
	}
	if pulls < 4 || pulls > maxPulls || logged != 1 {
		t.Errorf("%d pulls in %v s, want 4 to %d; logged %d times, want once", pulls, seconds, maxPulls, logged)
	}
	if got := p.discovery.records["p1"].GetVersion(); got != record {
		t.Errorf("record %d of a host is known, %d was sent", got, record)
	}
	for end := now + 1; now < end && p.table == nil; now += 0.02 {
		answerAll(3, safeRoute)
	}
	if p.table == nil {
		t.Error("a newer configuration that can be read is not used")
	}
}
