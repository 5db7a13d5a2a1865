package control

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
)

// configText returns a configuration with the given number of routes, with realistic names.
func configText(routes int, version uint64) []byte {
	random := rand.New(rand.NewPCG(7, 7))
	var b strings.Builder
	fmt.Fprintf(&b, `{"edition":"r%d","itineraries":[`, version)
	for range routes {
		fmt.Fprintf(&b, `{"name":"r-%07x","depot":"%05x.example","lanePrefix":"/%06x/","routeKind":"safe","timeoutMs":%d,"targetMs":200,"carrier":"%06x","tries":2},`,
			random.IntN(1<<28), random.IntN(1<<20), random.IntN(1<<24), version%7*100+500, random.IntN(40))
	}
	return []byte(strings.TrimSuffix(b.String(), ",") + "]}")
}

// orderCost is the cost of orders, summed over all members.
type orderCost struct{ wire, disk, writes int }

// costOfOrders submits orders one after the other, each to another server, and returns their cost and the size of the stored
// value.
func costOfOrders(t *testing.T, members, orders, routes int) (orderCost, int) {
	t.Helper()
	c := newModelClusterOf(1, members, (members-1)/2, 0)
	c.run(2)
	give := func(version int) []byte {
		text, taken := configText(routes, uint64(version)), false
		m := c.machines[version%members]
		m.server.Order(c.now, uint64(version), text, func(result OrderResult) { taken = result == OrderTaken })
		m.work()
		c.run(1)
		if !taken {
			t.Fatalf("order %d is not taken", version)
		}
		return text
	}
	give(1)
	cost := orderCost{}
	c.dropMessage = func(_, _ string, m *meshpb.Message) bool {
		if m.Prepare != nil || m.Promise != nil || m.Accept != nil || m.Accepted != nil {
			cost.wire += proto.Size(m)
		}
		return false
	}
	c.onWrite = func(name string, value []byte) {
		if strings.HasSuffix(name, "\x00configuration") {
			cost.disk += len(value)
			cost.writes++
		}
	}
	for version := 2; version < 2+orders; version++ {
		give(version)
	}
	held, _ := c.machines[0].server.registers.LocalValue("\x00configuration")
	return cost, proto.Size(held)
}

// An order at a server that has taken none before writes the configuration once to each disk and sends it once to each other
// member: promises carry ballots and no configuration.
func TestCostOfAnOrder(t *testing.T) {
	const orders, routes = 5, 1400
	for _, members := range []int{5, 18} {
		cost, value := costOfOrders(t, members, orders, routes)
		t.Logf("%d members, %d routes (%d bytes as stored): an order sends %d bytes in total, writes %d bytes in %d writes",
			members, routes, value, cost.wire/orders, cost.disk/orders, cost.writes/orders)
		once := value + value/10
		if sent := cost.wire / orders; sent > once*(members-1) {
			t.Errorf("%d members: an order sends %d bytes, want at most %d", members, sent, once*(members-1))
		}
		if written := cost.disk / orders; written > once*members {
			t.Errorf("%d members: an order writes %d bytes, want at most %d", members, written, once*members)
		}
	}
}
