package balancer

import (
	"slices"
	"testing"
)

// TestDrain checks rule 3: a host that is draining, removed or absent from a full list gets no new requests.
func TestDrain(t *testing.T) {
	hosts := fleet(4)
	draining, absent := slices.Clone(hosts), slices.Clone(hosts[1:])
	draining[0].Status = Draining
	removed := []Host{{ID: 100, Status: Removed}}
	for _, c := range []struct {
		name  string
		kind  ListKind
		hosts []Host
	}{{"draining", ListChanges, draining[:1]},
		{"removed", ListChanges, removed}, {"absent", ListFull, absent}} {
		t.Run(c.name, func(t *testing.T) {
			b, r := startBalancer(testConfig(), hosts)
			b.UpdateHosts(r.now, c.kind, c.hosts)
			for i := range 200 {
				id := RequestID(i + 1)
				if h := r.request(b, id, 0, uint64(i+1)); h == 100 {
					t.Fatal("sent to a host that takes no new requests")
				} else if h != 0 {
					r.end(b, id, 0, h, OK)
				}
			}
		})
	}
}

// TestWatchAgain guards against running on a stale list: a failed call is repeated well within AskWithin.
func TestWatchAgain(t *testing.T) {
	cfg := testConfig()
	r := &recorder{now: 1, sends: map[RequestID]int{}}
	b := New(1, cfg, r)
	b.UpdateHosts(1, ListCached, fleet(2))
	for range 20 {
		calls, requestedAt := r.watchCalls, r.now
		b.UpdateHosts(r.now, ListFailed, nil)
		for r.watchCalls == calls && r.now-requestedAt <= cfg.AskWithin {
			r.advance(b, r.now+0.1)
		}
		if r.now-requestedAt > cfg.AskWithin/2 {
			t.Fatalf("list not requested again within %.1f s", r.now-requestedAt)
		}
	}
	b.UpdateHosts(r.now, ListFull, fleet(2))
	calls := r.watchCalls
	r.advance(b, r.now+60)
	if r.watchCalls != calls {
		t.Fatalf("%d calls while subscribed", r.watchCalls-calls)
	}
}
