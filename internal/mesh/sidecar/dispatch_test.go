package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
)

const safeRoute = `{"edition":"r1","itineraries":[{"name":"a","depot":"h.example","lanePrefix":"/x/","routeKind":"safe","tries":2,
"timeoutMs":5000,"targetMs":3000,"carrier":"shop"}],"carriers":[{"name":"shop","healthPath":"/health"}]}`

// answerPull has the control process "hall" answer what a proxy asks it as it starts.
func answerPull(p *Sidecar, now float64, update *meshpb.Update) {
	p.Tick(now)
	for _, s := range p.TakeOutput().Sends {
		if s.To == "hall" && s.Message.Pull != nil {
			p.Receive(now, "hall", meshpb.Answer(s.Message, &meshpb.Message{Update: update}))
		}
	}
}

// A large answer in a full link takes a while, and the word that its proxy is there waits behind it. What comes of it shows that the
// proxy lives: asking elsewhere would fill the links with the same answers again.
func TestWhatComesIsNotSilent(t *testing.T) {
	now := 1.0
	p := New(now, Options{Self: "here", Zone: "a", Service: "till", Seeds: []string{"hall"}, HeartbeatInterval: 1.5,
		MaxBodyBytes: 1 << 20, RetryRatio: 0.2, RetrySlack: 60})
	carried := map[string]int{}
	pass := func(s float64, sign string) {
		for end := now + s; now < end; {
			now += 0.02
			if sign != "" {
				p.NoteIncoming(now, sign)
			}
			p.Tick(now)
			for _, s := range p.TakeOutput().Sends {
				if s.Message.Forward != nil {
					carried[s.To]++
				}
			}
		}
	}
	answerPull(p, now, &meshpb.Update{FromServer: true, Edition: 1, Text: []byte(safeRoute), Records: []*meshpb.Record{
		{Source: "p1", Version: 1, Station: "i-1", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving},
		{Source: "p2", Version: 1, Station: "i-2", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving}}})
	pass(0.1, "")
	p.Submit(now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	pass(0.04, "")
	var first string
	for to := range carried {
		first = to
	}
	if len(carried) != 1 {
		t.Fatalf("carried to %v", carried)
	}
	pass(1.5, first)
	if len(carried) != 1 || carried[first] != 1 {
		t.Errorf("carried to %v while the answer came", carried)
	}
	pass(1, "")
	if len(carried) != 2 {
		t.Errorf("carried to %v after a second of silence", carried)
	}
}
