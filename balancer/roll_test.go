package balancer

import (
	"slices"
	"testing"
)

// TestDrain is rule 3: nothing new goes to a host listed as draining or gone, or absent from a full list.
func TestDrain(t *testing.T) {
	hosts := fleet(4)
	draining, absent := slices.Clone(hosts), slices.Clone(hosts[1:])
	draining[0].Status = Draining
	gone := []Host{{ID: 100, Status: Removed}}
	for _, c := range []struct {
		name  string
		kind  ListKind
		hosts []Host
	}{{"draining", ListChanges, draining[:1]}, {"gone", ListChanges, gone}, {"absent", ListFull, absent}} {
		t.Run(c.name, func(t *testing.T) {
			b, r := start(testConfig(), hosts)
			b.UpdateHosts(r.now, c.kind, c.hosts)
			for i := range 200 {
				id := RequestID(i + 1)
				if h := r.ask(b, id, 0, uint64(i+1)); h == 100 {
					t.Fatal("sent to a host that takes nothing new")
				} else if h != 0 {
					r.end(b, id, 0, h, OK)
				}
			}
		})
	}
}

// TestWatchAgain guards against living on a stale list: a failed call is repeated well inside AskWithin.
func TestWatchAgain(t *testing.T) {
	cfg := testConfig()
	r := &recorder{now: 1, tries: map[RequestID]int{}}
	b := New(1, cfg, r)
	b.UpdateHosts(1, ListCached, fleet(2))
	for range 20 {
		calls, asked := r.watch, r.now
		b.UpdateHosts(r.now, ListFailed, nil)
		for r.watch == calls && r.now-asked <= cfg.AskWithin {
			r.advance(b, r.now+0.1)
		}
		if r.now-asked > cfg.AskWithin/2 {
			t.Fatalf("not asked again within %.1f s", r.now-asked)
		}
	}
	b.UpdateHosts(r.now, ListFull, fleet(2))
	calls := r.watch
	r.advance(b, r.now+60)
	if r.watch != calls {
		t.Fatalf("%d calls while subscribed", r.watch-calls)
	}
}
