package simulation

import (
	"fmt"
	"testing"
)

// checkSurvivesLoss powers all members off and erases the disks of as many as the cluster tolerates. After the restart all
// confirmed configurations must be there, and operations must be served.
func checkSurvivesLoss(t *testing.T, w *World, name string) {
	t.Helper()
	members := w.Members()
	w.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for i, h := range members {
		h.PowerOff()
		if i < w.tolerance {
			h.Wipe()
		}
	}
	w.Run(0.5)
	for _, h := range members {
		h.Start()
	}
	w.Run(catchUpSeconds)
	var read uint64
	w.ReadConfig(0, func(version uint64) { read = version })
	w.Run(2)
	if read < w.Checker.NewestAcked {
		t.Errorf("%s: read version %d, but %d was confirmed", name, read, w.Checker.NewestAcked)
	}
	w.Checker.CheckConfigInForce(w.Proxies...)
	served := w.Checker.Served
	for i := range 40 {
		w.After(float64(i)*0.02, func() {
			w.Request(w.Proxies[i%len(w.Proxies)], "/pay/x", fmt.Sprintf("%s/after%d", name, i), 3)
		})
	}
	w.Run(3)
	if got := w.Checker.Served - served; got < 36 {
		t.Errorf("%s: %d of 40 operations served after the loss; statuses %v", name, got, w.Checker.Statuses)
	}
}

// A member is replaced under traffic, after a failure or as planned. Right after the replacement is complete, as many members
// as the cluster tolerates lose their disks, and the others their power. No confirmed configuration is lost, and no operation
// runs twice.
func TestSecondLossAfterReplacement(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		n := 3 + int(seed%3)
		planned := seed/3%2 == 0
		name := fmt.Sprintf("seed %d, planned %v", seed, planned)
		w := newCluster(t, seed, n)
		startTraffic(w, 14)
		w.Run(1)
		old := w.Servers[w.Rand.IntN(n)]
		if planned {
			w.AddServer()
			w.Run(1)
			old.Terminate()
			w.Run(catchUpSeconds - 1)
		} else {
			w.Replace(old)
			w.Run(catchUpSeconds)
		}
		w.Configure(int(seed)%n, 7, nil)
		w.Run(0.5)
		if members := w.Members(); len(members) != n || old.up {
			t.Errorf("%s: %d members, the replaced one is running: %v", name, len(members), old.up)
		}
		checkSurvivesLoss(t, w, name)
		checkOutcome(t, w, name, 0.3)
	}
}

// The replacement of a disk or of a machine takes a single view change, which is two epochs.
func TestReplacementIsOneChange(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		n := 3 + int(seed%3)
		w := newCluster(t, seed, n)
		h := w.Servers[seed%3]
		w.LoseDisk(h, 0.5)
		w.Run(catchUpSeconds)
		epochs := []uint64{w.Members()[0].server.State(w.Now).Epoch}
		w.Replace(w.Servers[(seed+1)%3])
		w.Run(catchUpSeconds)
		epochs = append(epochs, w.Members()[0].server.State(w.Now).Epoch)
		if epochs[0] != 3 || epochs[1] != 5 {
			t.Errorf("seed %d: epochs %v after one replacement and after two, want 3 and 5", seed, epochs)
		}
	}
}

// All members are replaced one after the other, under traffic and configuration changes, until none of the first members is
// left.
func TestWholeCoreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		n := 3 + int(seed%3)
		name := fmt.Sprintf("seed %d", seed)
		w := newCluster(t, seed, n)
		startTraffic(w, float64(n)*(catchUpSeconds+2))
		version := uint64(1)
		for i := range n {
			for k := range 8 {
				version++
				v := version
				w.After(0.6*float64(k), func() { w.Configure(w.Rand.IntN(len(w.Servers)), v, nil) })
			}
			old := w.Servers[i]
			if w.Rand.IntN(2) == 0 {
				w.AddServer()
				w.Run(1)
				old.Terminate()
				w.Run(0.5)
			} else {
				w.Replace(old)
				w.Run(0.5)
			}
			w.Run(catchUpSeconds)
		}
		for i := range n {
			if w.Servers[i].up {
				t.Errorf("%s: %s is still running", name, w.Servers[i].addr)
			}
		}
		if got := len(w.Members()); got != n {
			t.Errorf("%s: %d members of %d", name, got, n)
		}
		if w.Checker.NewestAcked != version {
			t.Errorf("%s: %d of %d confirmed", name, w.Checker.NewestAcked, version)
		}
		checkOutcome(t, w, name, 0.9)
		checkSurvivesLoss(t, w, name)
		checkOutcome(t, w, name, 0.5)
	}
}

// A replacement is disturbed: the new server is lost or loses its disk while it joins, two new servers join at once, all
// servers lose power or are killed, or the replaced member comes back. In the end there are as many members as before, and
// they tolerate a loss. The names of the faults are parts of the idempotency keys; in them, newcomer is the new server and core
// all control servers.
func TestReplacementGoesWrong(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		n := 3 + int(seed%3)
		fault := []string{"newcomer lost", "newcomer wiped", "two at once", "power", "old one back", "core killed"}[seed/3%6]
		name := fmt.Sprintf("seed %d, %s", seed, fault)
		w := newCluster(t, seed, n)
		startTraffic(w, 12)
		for i := range 20 {
			v := uint64(2 + i)
			w.After(0.4*float64(i), func() { w.Configure(w.Rand.IntN(len(w.Servers)), v, nil) })
		}
		w.Run(0.5)
		old := w.Servers[w.Rand.IntN(n)]
		memberReturns := fault == "old one back"
		if memberReturns {
			partition(w, old, "both")
		} else {
			w.Remove(old)
		}
		w.Run(1)
		added := w.AddServer()
		joinSeconds := 2 * w.Rand.Float64()
		w.Run(joinSeconds)
		switch fault {
		case "newcomer lost":
			w.Replace(added)
		case "newcomer wiped":
			w.LoseDisk(added, 0.3)
		case "two at once":
			w.AddServer()
		case "power", "core killed":
			for _, h := range w.Servers {
				if fault == "power" {
					h.PowerOff()
				} else {
					h.Kill()
				}
			}
			w.Run(0.5)
			for _, h := range w.Servers {
				w.After(0.4*w.Rand.Float64(), h.Start)
			}
		case "old one back":
			w.Run(max(0, 3-joinSeconds))
			w.HealNetwork()
		}
		w.Run(catchUpSeconds + 2)
		if got := len(w.Members()); got != n {
			t.Errorf("%s: %d members of %d", name, got, n)
		}
		checkSurvivesLoss(t, w, name)
		checkOutcome(t, w, name, 0.3)
	}
}
