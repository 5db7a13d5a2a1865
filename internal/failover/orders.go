package failover

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strings"
)

const (
	mostOrders = 256
	tickTime   = 0.25  // seconds between two ticks
	handStep   = 0.125 // part of a zone's room that an order takes or gives back with each tick: 2 s for all of it
)

// Order is an operator's word on a zone, for the whole fleet. It holds over evidence until there is another on the zone.
type Order struct {
	Zone  string  `codec:"z"`
	Out   bool    `codec:"o"`
	By    string  `codec:"b"` // the member that was asked
	At    float64 `codec:"a"` // Unix seconds, for people
	Stamp uint64  `codec:"s"` // a later order goes before an earlier
}

// orders are the orders known, by zone.
type orders map[string]Order

// merge takes over what is later, and says whether anything was.
func (o orders) merge(list []Order) (changed bool) {
	for _, x := range list {
		was, known := o[x.Zone]
		if later := x.Stamp > was.Stamp || x.Stamp == was.Stamp && x.By > was.By; known && !later || !known && len(o) >= mostOrders {
			continue
		}
		o[x.Zone], changed = x, true
	}
	return changed
}

func (o orders) list() []Order {
	return slices.SortedFunc(maps.Values(o), func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
}

// digest is the same for the same orders; 0: none.
func (o orders) digest() uint64 {
	if len(o) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, x := range o.list() {
		io.WriteString(h, x.Zone+"\x00"+x.By)
		h.Write(binary.LittleEndian.AppendUint64(nil, x.Stamp))
	}
	return max(1, h.Sum64())
}

// RestoreOrders takes over orders, from before a restart or from another process of this proxy.
func (a *Agent) RestoreOrders(list []Order) { a.orders.merge(list) }

// Orders are all that are known.
func (a *Agent) Orders() []Order { return a.orders.list() }

// OrdersDigest is the same wherever the same orders are known.
func (a *Agent) OrdersDigest() uint64 { return a.orders.digest() }

// IssueOrder gives one, and tells the others at once.
func (a *Agent) IssueOrder(now float64, zones []string, out bool) {
	stamp := uint64(max(0, now) * 1e3)
	for _, o := range a.orders {
		stamp = max(stamp, o.Stamp+1)
	}
	for _, z := range zones {
		a.orders.merge([]Order{{Zone: z, Out: out, By: a.name, At: now, Stamp: stamp}})
	}
	for _, name := range a.members {
		if name != a.name {
			a.send(name, Message{})
		}
	}
}

// Confirmed counts the other members that are known to have the same orders, and all others.
func (a *Agent) Confirmed() (have, others int) {
	mine := a.orders.digest()
	for _, name := range a.members {
		if name == a.name {
			continue
		}
		others++
		if a.digests[name] == mine {
			have++
		}
	}
	return have, others
}

// hold takes what orders hold back off the zones, by steps.
func (a *Agent) hold(now float64, zones []Zone) []Zone {
	held := slices.Clone(zones)
	for i := range held {
		z := &held[i]
		order, level := a.orders[z.Name], a.held[z.Name]
		done := min(1, max(0, now-order.At)*handStep/tickTime) // by now, for one who hears of an old order
		if order.Out {
			level = min(1, max(level+handStep, done))
		} else {
			level = max(0, min(level-handStep, 1-done))
		}
		if a.held[z.Name] = level; level == 0 {
			delete(a.held, z.Name)
		}
		z.Held = level
	}
	return held
}

// WhatIf says what it would do to take zones out, or to put them back: the shares that would come of it by the plan in force,
// and which part of the fleet's weight would be left.
func (a *Agent) WhatIf(zones []Zone, names []string, out bool) (text string, left float64) {
	zones = slices.SortedFunc(slices.Values(zones), func(x, y Zone) int { return cmp.Compare(x.Name, y.Name) })
	all := 0.0
	t := newTable(len(zones))
	for i, z := range zones {
		held := a.orders[z.Name].Out
		if slices.Contains(names, z.Name) {
			held = out
		}
		t.region[i] = z.Region
		all += z.WarmWeight
		part := 1.0
		if row := a.known(z.Name); row != nil {
			t.demand[i], part = row.Demand, row.Part
		}
		if !held {
			left += z.WarmWeight
			t.most[i] = z.WarmWeight * part
		}
	}
	for s := range zones {
		for d := range zones {
			t.limit[s][d] = t.demand[s]
		}
	}
	refused := t.place()
	var b strings.Builder
	for s, z := range zones {
		fmt.Fprintf(&b, "%s: %.0f/s", z.Name, t.demand[s])
		for d, to := range zones {
			if t.sent[s][d] > 0 {
				fmt.Fprintf(&b, ", %.0f %% to %s", 100*t.sent[s][d]/t.demand[s], to.Name)
			}
		}
		fmt.Fprintf(&b, ", %.0f %% refused\n", 100*refused[s])
	}
	return b.String(), left / max(1e-9, all)
}

// known is what the plan in force says of a zone, or what this proxy alone has seen.
func (a *Agent) known(zone string) *ZonePlan {
	if a.plan != nil {
		if r := a.plan.Zone(zone); r != nil {
			return r
		}
	}
	return a.mine.Zone(zone)
}
