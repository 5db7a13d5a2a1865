package balancer

import (
	"fmt"
	"testing"
)

// TestNoHost: with an empty list a request is queued for part of its aim at most, and then refused.
func TestNoHost(t *testing.T) {
	b, r := startBalancer(testConfig(), nil)
	r.request(b, 1, 0, 9)
	r.advance(b, r.now+2)
	if r.count("refuse") != 1 || len(b.requests) != 0 {
		t.Fatalf("refusals %d, requests kept %d", r.count("refuse"), len(b.requests))
	}
}

// TestMinimalRemap: a key keeps its host, and removing a host moves only the keys of that host.
func TestMinimalRemap(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(6))
	hostsByKey := func(base int) map[uint64]HostID {
		got := map[uint64]HostID{}
		for k := uint64(1); k <= 300; k++ {
			id := RequestID(base + int(k))
			got[k] = r.request(b, id, 0, k)
			r.end(b, id, 0, got[k], OK)
		}
		return got
	}
	before := hostsByKey(0)
	b.UpdateHosts(r.now, ListChanges, []Host{{ID: 102, Status: Removed}})
	moved := 0
	for k, h := range hostsByKey(1000) {
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

// TestPanic: ejected hosts are picked only if the healthy share is below the panic threshold.
func TestPanic(t *testing.T) {
	for _, c := range []struct{ ejected, of int }{{1, 10}, {6, 10}, {8, 10}, {10, 10}} {
		t.Run(fmt.Sprintf("%d of %d ejected", c.ejected, c.of), func(t *testing.T) {
			b, r := startBalancer(testConfig(), fleet(c.of))
			for i, h := range b.hosts {
				h.observed = true
				if i < c.ejected {
					h.ejectedUntil = r.now + 100
				}
			}
			picked := map[HostID]bool{}
			for i := range 400 {
				id := RequestID(i + 1)
				h := r.request(b, id, 0, uint64(i+1))
				picked[h] = true
				r.end(b, id, 0, h, Rejected)
				b.ClientLeft(r.now, id)
				for n := range r.sends[id] {
					r.end(b, id, n, 0, Cancelled)
				}
			}
			panicking := float64(c.of-c.ejected) < panicThreshold*float64(c.of)
			for i, h := range b.hosts {
				if want := i >= c.ejected || panicking; picked[h.ID] != want {
					t.Errorf("host %d (index %d) picked %v, want %v", h.ID, i, picked[h.ID], want)
				}
			}
		})
	}
}

// TestZoneOut guards against sending to a lost or partitioned zone in panic, and against detecting its loss
// host by host. After several failed connections in a row the whole zone is left out, and its hosts do not
// count for the panic threshold. One request from time to time detects the zone's return.
func TestZoneOut(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(10))
	for _, h := range b.hosts {
		h.observed = true
	}
	id := RequestID(0)
	sendMany := func(n int, lost bool) (toZone int) {
		for range n {
			id++
			h := r.request(b, id, 0, uint64(id))
			for try := 0; lost && h%2 == 1; try++ {
				toZone++
				r.end(b, id, try, h, ConnectFailed)
				h = r.last().host
			}
			r.end(b, id, r.sends[id]-1, h, OK)
		}
		return toZone
	}
	sendMany(50, true)
	for _, h := range b.hosts {
		h.ejectedUntil = r.now + 100 // panic: all hosts are ejected
	}
	if toZone := sendMany(100, true); toZone > 0 {
		t.Fatalf("%d attempts to a zone that is out", toZone)
	}
	for _, h := range b.hosts {
		h.ejectedUntil = r.now
	}
	r.advance(b, r.now+zoneOutAims*b.longestAim+0.1)
	if toZone := sendMany(100, true); toZone != 1 {
		t.Fatalf("%d attempts detected that the zone is still out, want 1", toZone)
	}
	r.advance(b, r.now+zoneOutAims*b.longestAim+0.1)
	sendMany(20, false)
	if z := b.zones[1]; z.connectFailures != 0 {
		t.Fatalf("the zone answers but still counts as out: %+v", z)
	}
}

// pickForKey returns the host to which a request with the key would go, without sending it.
func (b *Balancer) pickForKey(key uint64) *host {
	h := b.pick(b.newRequest(Request{ID: 1 << 40, Key: key, Budget: 8}), nil)
	delete(b.requests, 1<<40)
	return h
}

// TestLastZone guards against taking out every zone: hosts may refuse connections because their tables are
// full.
func TestLastZone(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(10))
	for i := range RequestID(60) {
		h := r.request(b, i+1, 0, uint64(i))
		for try := 0; h != 0 && r.last().kind == "send" && try < 9; try++ {
			r.end(b, i+1, try, h, ConnectFailed)
		}
	}
	out := 0
	for _, z := range b.zones {
		if z.outUntil > r.now {
			out++
		}
	}
	if out != 1 {
		t.Fatalf("%d of 2 zones are out", out)
	}
}

// TestPassOver: a host well above the mean in flight yields, but never with fewer than two in flight.
func TestPassOver(t *testing.T) {
	b, r := startBalancer(testConfig(), fleet(5))
	for _, h := range b.hosts {
		h.limit = 50
	}
	var got []HostID
	for i := range 5 {
		got = append(got, r.request(b, RequestID(i+1), 0, 77))
	}
	if got[0] != got[1] {
		t.Fatalf("yielded with one in flight: %v", got)
	}
	if got[3] == got[0] {
		t.Fatalf("did not yield: %v", got)
	}
}

// TestFirstHost guards against scattered keys in overload. Where warm keys cost less work, a key's
// first-choice host takes it up to its whole limit, and any other host only up to a share of its limit.
func TestFirstHost(t *testing.T) {
	cfg := testConfig()
	cfg.WarmKeys = true
	hosts := fleet(2)
	hosts[1].Zone = 0
	b, r := startBalancer(cfg, hosts)
	first := r.request(b, 1, 0, 77)
	for _, h := range b.hosts {
		h.limit, h.inflight = 10, 10
		if h.ID != first {
			h.inflight = 6
		}
	}
	if h := r.request(b, 2, 0, 77); h != 0 {
		t.Fatalf("host %d took a key of host %d above its share", h, first)
	}
	for _, h := range b.hosts {
		if h.ID != first {
			h.inflight = 3
		}
	}
	if h := r.request(b, 3, 0, 77); h == 0 || h == first {
		t.Fatalf("got %d, want the host that is nearly idle", h)
	}
}
