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
	maxOrders   = 256
	tickSeconds = 0.25  // between two ticks
	drainStep   = 0.125 // fraction of a zone's capacity that is drained or returned per tick: 2 s for all of it
)

// Order is an operator's command to take a zone out of service or to return it, for the whole fleet. It takes
// precedence over all observations until another order on the zone replaces it. Orders are stored as JSON under the
// names of these fields.
type Order struct {
	Zone  string  `codec:"z"`
	Out   bool    `codec:"o"`
	By    string  `codec:"b"` // the member that received the command
	At    float64 `codec:"a"` // Unix time in seconds, for operators
	Stamp uint64  `codec:"s"` // version: the order with the highest stamp is in force
}

// orders holds the known orders by zone.
type orders map[string]Order

// merge takes over orders that are newer than the known ones. It reports whether there were any.
func (o orders) merge(list []Order) (changed bool) {
	for _, x := range list {
		previous, known := o[x.Zone]
		if newer := x.Stamp > previous.Stamp || x.Stamp == previous.Stamp && x.By > previous.By; known && !newer ||
			!known && len(o) >= maxOrders {
			continue
		}
		o[x.Zone], changed = x, true
	}
	return changed
}

func (o orders) list() []Order {
	return slices.SortedFunc(maps.Values(o), func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
}

// digest returns a hash that is equal for equal orders; 0: no orders.
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

// RestoreOrders takes over orders from before a restart or from another process of this proxy.
func (a *Agent) RestoreOrders(list []Order) { a.orders.merge(list) }

// Orders returns all known orders.
func (a *Agent) Orders() []Order { return a.orders.list() }

// OrdersDigest returns a hash that is equal wherever the same orders are known.
func (a *Agent) OrdersDigest() uint64 { return a.orders.digest() }

// IssueOrder orders zones to be taken out of service or returned, and tells all other members at once.
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

// Confirmed returns the number of other members that are known to have the same orders, and of all other members.
func (a *Agent) Confirmed() (have, others int) {
	mine := a.orders.digest()
	for _, name := range a.members {
		if name == a.name {
			continue
		}
		others++
		if a.orderDigests[name] == mine {
			have++
		}
	}
	return have, others
}

// applyOrders returns the zones with their drained fractions, which move by steps to what the orders say.
func (a *Agent) applyOrders(now float64, zones []Zone) []Zone {
	drained := slices.Clone(zones)
	for i := range drained {
		z := &drained[i]
		order, fraction := a.orders[z.Name], a.drainedFractions[z.Name]
		due := min(1, max(0, now-order.At)*drainStep/tickSeconds) // progress due by now, where an old order is learned late
		if order.Out {
			fraction = min(1, max(fraction+drainStep, due))
		} else {
			fraction = max(0, min(fraction-drainStep, 1-due))
		}
		if a.drainedFractions[z.Name] = fraction; fraction == 0 {
			delete(a.drainedFractions, z.Name)
		}
		z.DrainedFraction = fraction
	}
	return drained
}

// WhatIf tells what taking zones out of service, or returning them, would do: the resulting shares, estimated from the
// zones' weights and the demand in the last plan, and the fraction of the fleet's weight that would remain.
func (a *Agent) WhatIf(zones []Zone, names []string, out bool) (text string, remaining float64) {
	zones = slices.SortedFunc(slices.Values(zones), func(x, y Zone) int { return cmp.Compare(x.Name, y.Name) })
	total := 0.0
	placed := newPlacement(len(zones))
	for i, z := range zones {
		drained := a.orders[z.Name].Out
		if slices.Contains(names, z.Name) {
			drained = out
		}
		placed.region[i] = z.Region
		total += z.WarmWeight
		weightFraction := 1.0
		if zonePlan := a.knownZonePlan(z.Name); zonePlan != nil {
			placed.demand[i], weightFraction = zonePlan.Demand, zonePlan.WeightFraction
		}
		if !drained {
			remaining += z.WarmWeight
			placed.hard[i] = z.WarmWeight * weightFraction
		}
	}
	for s := range zones {
		for d := range zones {
			placed.limit[s][d] = placed.demand[s]
		}
	}
	refused := placed.place()
	var b strings.Builder
	for s, z := range zones {
		fmt.Fprintf(&b, "%s: %.0f/s", z.Name, placed.demand[s])
		for d, target := range zones {
			if placed.assigned[s][d] > 0 {
				fmt.Fprintf(&b, ", %.0f %% to %s", 100*placed.assigned[s][d]/placed.demand[s], target.Name)
			}
		}
		fmt.Fprintf(&b, ", %.0f %% refused\n", 100*refused[s])
	}
	return b.String(), remaining / max(1e-9, total)
}

// knownZonePlan returns the entry for a zone in the fleet's plan, or else in this proxy's local plan.
func (a *Agent) knownZonePlan(zone string) *ZonePlan {
	if a.fleetPlan != nil {
		if zonePlan := a.fleetPlan.Zone(zone); zonePlan != nil {
			return zonePlan
		}
	}
	return a.localPlan.Zone(zone)
}
