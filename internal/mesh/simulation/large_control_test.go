package simulation

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
)

// largeControlProcessor has the times of a control server with 0.176 of a core among 18.
var largeControlProcessor = Processor{Message: 50e-6, Sync: 400e-6, Value: 50e-6, Home: 2.7e-6}

const (
	largeControlServers   = 18
	largeControlRegisters = 16_000
	largeControlLoad      = 150.0 // operations per second
)

// newLargeControlPlane returns a cluster with a configuration in force, whose control servers hold the results of many
// operations and have slow processors.
func newLargeControlPlane(t *testing.T, seed uint64) *World {
	t.Helper()
	var hosts []Host
	for i := range 12 {
		hosts = append(hosts, Host{"till", []string{"a", "b", "c", "d"}[i%4]})
	}
	w := New(seed, largeControlServers, hosts...)
	w.tolerance = 2
	applyFirstConfig(t, seed, w)
	for _, h := range w.Servers {
		h.PowerOff()
	}
	for i := range largeControlRegisters {
		addResult(t, w, fmt.Sprintf("earlier operation %d", i))
	}
	for _, h := range w.Servers {
		h.Start()
	}
	w.Run(2)
	w.Processor = largeControlProcessor
	startRetriedOperations(w, largeControlLoad, 60)
	w.Run(2)
	return w
}

// addResult stores the result of an operation on the disks of all control servers.
func addResult(t *testing.T, w *World, key string) {
	t.Helper()
	ballot := register.Ballot{Epoch: 1, Round: 1, Node: 1, Life: 1}
	entry := &meshpb.Entry{Key: key, Promised: ballot.Wire(), Accepted: ballot.Wire(),
		Value: &meshpb.Receipt{State: register.Done, Token: 1}}
	value, err := proto.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range w.Servers {
		h.disk.values["k."+key] = value
	}
}

// A control server loses its disk and is replaced by itself. All members learn the keys whose home they have become.
func TestHomedKeysAreReadAfterAChangeOfALargeView(t *testing.T) {
	t.Parallel()
	const catchUpSeconds, receiptSeconds, judgedSeconds = 6.0, 4.0, 4.0
	for seed := range seedsFromEnv(1) {
		w := newLargeControlPlane(t, seed)
		lost := w.Servers[seed%largeControlServers]
		w.LoseDisk(lost, 1)
		w.Run(catchUpSeconds + receiptSeconds)
		if n := w.LogEvents["one round trip"]; !lost.Voting() || n < largeControlServers {
			t.Errorf("seed %d: %d of %d members know the keys whose home they are, the lost one votes: %v", seed, n,
				largeControlServers, lost.Voting())
		}
		served := w.Checker.Served
		w.Configure(int(seed), 2, nil)
		w.Run(judgedSeconds)
		if w.Checker.NewestAcked != 2 {
			t.Errorf("seed %d: a configuration is not acknowledged within %v s", seed, receiptSeconds)
		}
		if got := float64(w.Checker.Served-served) / (judgedSeconds * largeControlLoad); got < 0.9 {
			t.Errorf("seed %d: %.2f of the operations are served; statuses %v", seed, got, w.Checker.Statuses)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
}
