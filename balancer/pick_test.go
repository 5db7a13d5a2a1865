package balancer

import (
	"fmt"
	"testing"
)

// TestNoHost: with an empty list a request is held for part of its aim at the most, and then refused.
func TestNoHost(t *testing.T) {
	b, r := start(testConfig(), nil)
	r.ask(b, 1, 0, 9)
	r.advance(b, r.now+2)
	if r.count("refuse") != 1 || len(b.ops) != 0 {
		t.Fatalf("refusals %d, requests kept %d", r.count("refuse"), len(b.ops))
	}
}

// TestMinimalRemap: a key keeps its host, and losing a host moves only that host's keys.
func TestMinimalRemap(t *testing.T) {
	b, r := start(testConfig(), fleet(6))
	where := func(base int) map[uint64]HostID {
		got := map[uint64]HostID{}
		for k := uint64(1); k <= 300; k++ {
			id := RequestID(base + int(k))
			got[k] = r.ask(b, id, 0, k)
			r.end(b, id, 0, got[k], OK)
		}
		return got
	}
	before := where(0)
	b.UpdateHosts(r.now, ListChanges, []Host{{ID: 102, Status: Removed}})
	moved := 0
	for k, h := range where(1000) {
		if before[k] == 102 {
			moved++
		} else if h != before[k] {
			t.Fatalf("key %d moved from %d to %d", k, before[k], h)
		}
	}
	if moved < 20 || moved > 90 {
		t.Fatalf("%d of 300 keys were on one of six hosts", moved)
	}
}

// TestPanic: below the threshold health is ignored and ejected hosts are picked; above it they are not.
func TestPanic(t *testing.T) {
	for _, c := range []struct{ ejected, of int }{{1, 10}, {6, 10}, {8, 10}, {10, 10}} {
		t.Run(fmt.Sprintf("%d of %d ejected", c.ejected, c.of), func(t *testing.T) {
			b, r := start(testConfig(), fleet(c.of))
			for i, h := range b.hosts {
				h.heard = true
				if i < c.ejected {
					h.until = r.now + 100
				}
			}
			picked := map[HostID]bool{}
			for i := range 400 {
				id := RequestID(i + 1)
				h := r.ask(b, id, 0, uint64(i+1))
				picked[h] = true
				r.end(b, id, 0, h, Rejected)
				b.ClientLeft(r.now, id)
				for n := range r.tries[id] {
					r.end(b, id, n, 0, Cancelled)
				}
			}
			panicking := float64(c.of-c.ejected) < panicThreshold*float64(c.of)
			for i, h := range b.hosts {
				if want := i >= c.ejected || panicking; picked[h.ID] != want {
					t.Errorf("host %d (%d th) picked %v, want %v", h.ID, i, picked[h.ID], want)
				}
			}
		})
	}
}

// TestZoneOut guards against panic feeding a lost or cut-off zone, and against every request finding it out
// anew: after failed connections in a row the whole zone is left out of both figures and of panic, and one
// request now and then tells when it is back.
func TestZoneOut(t *testing.T) {
	b, r := start(testConfig(), fleet(10))
	for _, h := range b.hosts {
		h.heard = true
	}
	id := RequestID(0)
	ask := func(n int, lost bool) (far int) {
		for range n {
			id++
			h := r.ask(b, id, 0, uint64(id))
			for try := 0; lost && h%2 == 1; try++ {
				far++
				r.end(b, id, try, h, ConnectFailed)
				h = r.last().host
			}
			r.end(b, id, r.tries[id]-1, h, OK)
		}
		return far
	}
	ask(50, true)
	for _, h := range b.hosts {
		h.until = r.now + 100 // panic, with everything ejected
	}
	if far := ask(100, true); far > 0 {
		t.Fatalf("%d attempts to a zone that is out", far)
	}
	for _, h := range b.hosts {
		h.until = r.now
	}
	r.advance(b, r.now+zoneOutAims*b.longest+0.1)
	if far := ask(100, true); far != 1 {
		t.Fatalf("%d attempts found out that the zone is still out, want 1", far)
	}
	r.advance(b, r.now+zoneOutAims*b.longest+0.1)
	ask(20, false)
	if z := b.zones[1]; z.refused != 0 {
		t.Fatalf("the zone answers and still counts as out: %+v", z)
	}
}

// ask0 is where a request with the key would go, without any effect.
func (b *Balancer) ask0(key uint64) *host {
	h := b.pick(b.newOp(Request{ID: 1 << 40, Key: key, Budget: 8}), nil)
	delete(b.ops, 1<<40)
	return h
}

// TestLastZone guards against leaving out every zone: hosts may refuse connections because their tables are full.
func TestLastZone(t *testing.T) {
	b, r := start(testConfig(), fleet(10))
	for i := range RequestID(60) {
		h := r.ask(b, i+1, 0, uint64(i))
		for try := 0; h != 0 && r.last().kind == "send" && try < 9; try++ {
			r.end(b, i+1, try, h, ConnectFailed)
		}
	}
	out := 0
	for _, z := range b.zones {
		if z.until > r.now {
			out++
		}
	}
	if out != 1 {
		t.Fatalf("%d of 2 zones are left out", out)
	}
}

// TestPassOver: a host with more in flight than the margin yields, never below two.
func TestPassOver(t *testing.T) {
	b, r := start(testConfig(), fleet(5))
	for _, h := range b.hosts {
		h.window = 50
	}
	var got []HostID
	for i := range 5 {
		got = append(got, r.ask(b, RequestID(i+1), 0, 77))
	}
	if got[0] != got[1] {
		t.Fatalf("yielded with one in flight: %v", got)
	}
	if got[3] == got[0] {
		t.Fatalf("did not yield: %v", got)
	}
}

// TestFirstHost guards against overload that scatters keys: where warm keys cost less, a host that is not a key's
// first takes it only up to a share of its limit, and its first host up to all of it.
func TestFirstHost(t *testing.T) {
	cfg := testConfig()
	cfg.WarmKeys = true
	hosts := fleet(2)
	hosts[1].Zone = 0
	b, r := start(cfg, hosts)
	first := r.ask(b, 1, 0, 77)
	for _, h := range b.hosts {
		h.window, h.inflight = 10, 10
		if h.ID != first {
			h.inflight = 6
		}
	}
	if h := r.ask(b, 2, 0, 77); h != 0 {
		t.Fatalf("host %d took a key of host %d beyond its share", h, first)
	}
	for _, h := range b.hosts {
		if h.ID != first {
			h.inflight = 3
		}
	}
	if h := r.ask(b, 3, 0, 77); h == 0 || h == first {
		t.Fatalf("got %d, want the host that is nearly idle", h)
	}
}
