package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// TestRegistersOfAnOperation checks that all spellings of a host name share a register, that others do not, and that the
// register of the spelling itself is claimed first.
func TestRegistersOfAnOperation(t *testing.T) {
	const canonical = "shop.example\x00k:1/X"
	for spelling, want := range map[string][]string{
		"shop.example":      {canonical},
		"shop.example:8080": {"shop.example:8080\x00k:1/X", canonical},
		"Shop.EXAMPLE":      {"Shop.EXAMPLE\x00k:1/X", canonical},
		"Shop.example:":     {"Shop.example:\x00k:1/X", canonical},
		"[::1]":             {"[::1]\x00k:1/X"},
		"[::A]:80":          {"[::A]:80\x00k:1/X", "[::a]\x00k:1/X"},
	} {
		if got := registersOf(operationKey(spelling, "k:1/X")); !slices.Equal(got, want) {
			t.Errorf("%s: %q, want %q", spelling, got, want)
		}
	}
}

// TestSpellingIsClaimedAndSettled checks what happens in the register of a host name's spelling, which is all that earlier
// versions know, by the answer to the claim of the canonical one.
func TestSpellingIsClaimedAndSettled(t *testing.T) {
	spelt, canonical := operationKey("Shop.example:80", "k"), operationKey("shop.example", "k")
	recorded := &meshpb.Receipt{State: register.Done, Status: 200, Body: []byte("recorded")}
	for _, test := range []struct {
		name    string
		answer  *meshpb.Claimed // to the claim of the canonical register
		verdict outcome.Outcome
		settles []string
	}{
		{"free", &meshpb.Claimed{State: register.Claimed}, outcome.Answered,
			[]string{spelt + " done run", canonical + " done run"}},
		{"under way", &meshpb.Claimed{State: register.Busy}, outcome.Busy, []string{spelt + " void "}},
		{"ended", &meshpb.Claimed{State: register.Done, Receipt: recorded}, outcome.Kept, []string{spelt + " done recorded"}},
		{"lost", &meshpb.Claimed{State: register.Lost}, outcome.Lost, []string{spelt + " lost "}},
		{"voided", &meshpb.Claimed{State: register.Void}, outcome.Unclaimed, []string{spelt + " void "}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newHostFixture(t)
			f.sidecar.discovery.servers = []string{"s1", "s2", "s3"}
			f.sidecar.Receive(f.now, "there", &meshpb.Message{Id: 1, Life: 9, Forward: &meshpb.Forward{Station: "i-1", Token: 7, Key: spelt,
				AimUs: 4e5, LeftUs: 1e6}})
			var claims, settles []string
			var verdict outcome.Outcome
			ran := false
			for out := f.sidecar.TakeOutput(); len(out.Sends)+len(out.Commands) > 0; out = f.sidecar.TakeOutput() {
				for _, s := range out.Sends {
					if s.Message.Forwarded != nil {
						verdict = outcome.Outcome(s.Message.Forwarded.Verdict)
					}
					answer := &meshpb.Claimed{State: register.Claimed}
					if c := s.Message.Claim; c != nil {
						if claims = append(claims, c.Key); c.Key == canonical {
							answer = test.answer
						}
					} else if settle := s.Message.Settle; settle != nil {
						settles = append(settles, fmt.Sprintf("%s %s %s", settle.Key, settleStates[settle.Receipt.State], settle.Receipt.Body))
						answer.State = settle.Receipt.State
					} else {
						continue
					}
					answer.Token = 7
					f.sidecar.Receive(f.now, s.To, &meshpb.Message{Id: s.Message.Id, Life: s.Message.Life, Claimed: answer})
				}
				for _, command := range out.Commands {
					if exchange, ok := command.(Exchange); ok {
						ran = true
						f.sidecar.ExchangeDone(f.now, exchange.Job,
							&meshpb.Forwarded{Verdict: uint32(outcome.Answered), Status: 200, Body: []byte("run")})
					}
				}
			}
			if wantRun := test.verdict == outcome.Answered; ran != wantRun || verdict != test.verdict {
				t.Errorf("ran %v, verdict %v; want %v, %v", ran, verdict, wantRun, test.verdict)
			}
			wantClaims := []string{spelt, canonical}
			if !slices.Equal(claims, wantClaims) || !slices.Equal(settles, test.settles) {
				t.Errorf("claims %q, settles %q; want %q, %q", claims, settles, wantClaims, test.settles)
			}
		})
	}
}

// settleStates names the states of settle messages.
var settleStates = map[uint32]string{register.Done: "done", register.Lost: "lost", register.Void: "void"}
