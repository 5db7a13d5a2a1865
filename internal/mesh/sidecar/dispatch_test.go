package sidecar

import (
	"math"
	"strings"
	"testing"

	"beechwing/internal/mesh/meshpb"
)

const safeRoute = `{"edition":"r1","itineraries":[{"name":"a","depot":"h.example","lanePrefix":"/x/","routeKind":"safe","tries":2,
"timeoutMs":5000,"targetMs":3000,"carrier":"shop"}],"carriers":[{"name":"shop","healthPath":"/health"}]}`

// answerPull has the control server "hall" answer the first pull of a sidecar.
func answerPull(p *Sidecar, now float64, update *meshpb.Update) {
	p.Tick(now)
	for _, s := range p.TakeOutput().Sends {
		if s.To == "hall" && s.Message.Pull != nil {
			p.Receive(now, "hall", meshpb.Answer(s.Message, &meshpb.Message{Update: update}))
		}
	}
}

// A large response on a full link delays the pong behind it. Its arriving parts show that the peer is alive. Sending
// the request elsewhere would fill the links with the same response again.
func TestWhatComesIsNotSilent(t *testing.T) {
	now := 1.0
	p := New(now, Options{Self: "here", Zone: "a", Service: "till", Seeds: []string{"hall"}, HeartbeatInterval: 1.5,
		MaxBodyBytes: 1 << 20, RetryRatio: 0.2, RetrySlack: 60})
	forwards := map[string]int{}
	advance := func(s float64, incoming string) {
		for end := now + s; now < end; {
			now += 0.02
			if incoming != "" {
				p.NoteIncoming(now, incoming)
			}
			p.Tick(now)
			for _, s := range p.TakeOutput().Sends {
				if s.Message.Forward != nil {
					forwards[s.To]++
				}
			}
		}
	}
	answerPull(p, now, &meshpb.Update{FromServer: true, Edition: 1, Text: []byte(safeRoute), Records: []*meshpb.Record{
		{Source: "p1", Version: 1, Station: "i-1", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving},
		{Source: "p2", Version: 1, Station: "i-2", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving}}})
	advance(0.1, "")
	p.Submit(now, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
	advance(0.04, "")
	var first string
	for to := range forwards {
		first = to
	}
	if len(forwards) != 1 {
		t.Fatalf("attempts by peer: %v, want one", forwards)
	}
	advance(1.5, first)
	if len(forwards) != 1 || forwards[first] != 1 {
		t.Errorf("attempts by peer: %v while the response was arriving", forwards)
	}
	advance(1, "")
	if len(forwards) != 2 {
		t.Errorf("attempts by peer: %v after a second of silence", forwards)
	}
}

// TestHugePrecedenceIsNoSmallOne guards against a precedence that is accepted as the least urgent and wraps to the most urgent.
func TestHugePrecedenceIsNoSmallOne(t *testing.T) {
	for configured, want := range map[string]uint32{"-1": 0, "3": 3, "4294967295": math.MaxUint32, "4294967296": math.MaxUint32} {
		p := New(1, Options{Self: "here", Zone: "a", Service: "till", Seeds: []string{"hall"}, HeartbeatInterval: 1.5,
			MaxBodyBytes: 1 << 20, RetryRatio: 0.2, RetrySlack: 60})
		text := strings.Replace(safeRoute, `"routeKind"`, `"precedence":`+configured+`,"routeKind"`, 1)
		answerPull(p, 1, &meshpb.Update{FromServer: true, Edition: 1, Text: []byte(text), Records: []*meshpb.Record{
			{Source: "p1", Version: 1, Station: "i-1", Carrier: "shop", Zone: "a", Berths: 4, Condition: Serving}}})
		p.Submit(1, &Request{Method: "GET", Target: "/x/1", Host: "h.example", ID: "q1", Timeout: 5})
		forwards := 0
		for _, s := range p.TakeOutput().Sends {
			if forward := s.Message.Forward; forward != nil {
				if forwards++; forward.Precedence != want {
					t.Errorf("%s is sent as %d, want %d", configured, forward.Precedence, want)
				}
			}
		}
		if forwards != 1 {
			t.Errorf("%s: %d attempts, want one", configured, forwards)
		}
	}
}
