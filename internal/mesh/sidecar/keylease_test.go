package sidecar

import (
	"testing"

	"beechwing/internal/mesh/meshpb"
)

const shardedRoute = `{"edition":"r2","itineraries":[{"name":"a","depot":"h.example","lanePrefix":"/x/","routeKind":"safe","tries":2,
"timeoutMs":5000,"targetMs":3000,"carrier":"till"}],"carriers":[{"name":"till","sharded":true}]}`

// Every answer to a lease request takes longer than the time after which another control server is asked. The lease is confirmed
// all the same, and each answer counts from when its own request was sent.
func TestSlowAnswersConfirmALease(t *testing.T) {
	const answerSeconds = 0.7
	c := newClientFixture(6)
	peer, pull := c.newestMessage(t, func(m *meshpb.Message) bool { return m.Pull != nil })
	c.receive(peer, meshpb.Answer(pull, &meshpb.Message{Update: &meshpb.Update{FromServer: true, Edition: 2,
		Text: []byte(shardedRoute), Servers: []string{"hall", "annex"}}}))
	table := &meshpb.Assignment{Carrier: "till", Version: 1, Epoch: 1, Members: []string{"here"}}
	sentAt, answered, requests := map[uint64]float64{}, map[uint64]bool{}, 0
	for end := c.now + 2; c.now < end; c.advance(0.02) {
		for server, messages := range c.sent {
			for _, m := range messages {
				if m.LeaseRequest == nil || answered[m.Id] {
					continue
				}
				if sentAt[m.Id] == 0 {
					sentAt[m.Id] = c.now
					requests++
				}
				if c.now >= sentAt[m.Id]+answerSeconds {
					answered[m.Id] = true
					c.receive(server, meshpb.Answer(m, &meshpb.Message{Lease: &meshpb.Lease{Assignment: table}}))
				}
			}
		}
	}
	lease := &c.sidecar.lease
	if lease.table == nil || lease.tableAskedAt == 0 {
		t.Fatalf("the lease is not confirmed after %d requests", requests)
	}
	if lease.tableAskedAt > c.now-answerSeconds {
		t.Errorf("the answer counts from %.2f, before it came at %.2f at the earliest", lease.tableAskedAt, c.now)
	}
	if requests > 2 { // one to each control server, the second as the first has not answered in time
		t.Errorf("%d requests in 2 s, want at most 2", requests)
	}
}
