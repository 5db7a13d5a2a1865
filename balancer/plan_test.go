package balancer

import (
	"math"
	"testing"
)

// TestPlan: requests go to zones by the plan's shares, keys stay in their zones, and the refused share is
// refused at once. Zones not in the plan get nothing, and a zone with a share of 0 gets what finds no
// capacity elsewhere.
func TestPlan(t *testing.T) {
	cfg := clusterConfig()
	cfg.Zone = 0
	var hosts []Host
	for i := range 12 {
		hosts = append(hosts, Host{ID: HostID(i + 1), Weight: 1, Zone: i % 4, Status: Ready})
	}
	zoneOf := func(h HostID) int { return int(h-1) % 4 }
	c := newCluster(t, 1, cfg, nil)
	p := c.proxies[0]
	r := &planRecorder{proxy: p}
	b := New(c.clock(), cfg, r)
	b.UpdateHosts(c.clock(), ListFull, hosts)
	play := func() (shares [4]float64, refused float64, keys map[uint64]int) {
		keys = map[uint64]int{}
		const n = 20000
		for i := range uint64(n) {
			r.host, r.refused = 0, false
			r.lastID++
			b.Request(c.clock(), Request{ID: r.lastID, Class: 0, Key: i + 1, Budget: 1})
			if r.refused {
				refused += 1.0 / n
				continue
			}
			shares[zoneOf(r.host)] += 1.0 / n
			keys[i+1] = zoneOf(r.host)
			b.Outcome(c.clock(), Outcome{ID: r.lastID, Host: r.host, Result: OK, Took: 0.01, Final: true})
		}
		return shares, refused, keys
	}
	checkNear := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 0.02 {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	b.Plan(c.clock(), []ZoneShare{{Zone: 0, Share: 0.6}, {Zone: 1, Share: 0.3}, {Zone: 2}})
	shares, refused, _ := play()
	checkNear("own zone", shares[0], 0.6)
	checkNear("next zone", shares[1], 0.3)
	checkNear("refused", refused, 0.1)
	if shares[2]+shares[3] > 0 {
		t.Errorf("zones without a share got some: %v", shares)
	}
	b.Plan(c.clock(), []ZoneShare{{Zone: 0, Share: 0.6}, {Zone: 1, Share: 0.4}, {Zone: 2}})
	_, _, before := play()
	b.Plan(c.clock(), []ZoneShare{{Zone: 0, Share: 0.6}, {Zone: 1, Share: 0.2}, {Zone: 2, Share: 0.2}})
	shares, refused, after := play()
	checkNear("of zone 2", shares[2], 0.2)
	checkNear("refused now", refused, 0)
	moved := 0
	for key, zone := range before {
		if after[key] != zone {
			moved++
		}
	}
	checkNear("keys moved", float64(moved)/float64(len(before)), 0.2)
	for _, h := range b.hosts { // capacity only in a zone without a share and in one that is out
		if h.Zone < 2 {
			h.limit, h.inflight = 1, 1
		}
	}
	b.Plan(c.clock(), []ZoneShare{{Zone: 0, Share: 1}, {Zone: 1}, {Zone: 2}})
	shares, _, _ = play()
	checkNear("what finds no capacity elsewhere", shares[2], 1)
	b.Plan(c.clock(), nil)
	if shares, _, _ = play(); shares[3] == 0 {
		t.Error("a zone is still out without a plan")
	}
}

// planRecorder keeps a balancer's last action.
type planRecorder struct {
	*proxy
	lastID  RequestID
	host    HostID
	refused bool
}

func (r *planRecorder) Send(_ RequestID, h HostID, _ float64) { r.host = h }
func (r *planRecorder) Refuse(RequestID, float64)             { r.refused = true }
func (r *planRecorder) Fail(RequestID)                        {}
func (r *planRecorder) Timer(float64, uint64)                 {}
