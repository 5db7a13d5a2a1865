package simulation

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sidecar"
)

// attempt is a request as a proxy would send it, of the first attempt, that names no life of its gate.
func attempt(w *World, asker, gate *Proxy) *meshpb.Message {
	const id = "twice"
	w.Checker.asked(asker, id, "/pay/x", "k")
	return &meshpb.Message{Id: 1, Life: 1, Forward: &meshpb.Forward{Station: gate.station.id, Method: "POST", Target: "/pay/x",
		Host: "shop.example", Key: "k", Token: 77, LeftUs: 2e6, AimUs: 1e6,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}, {Name: sidecar.HeaderIdempotencyKey, Value: "k"}}}}
}

// One attempt reaches two gates that both take the host it names for theirs, as where a host has moved. The
// register grants it to one of them.
func TestForwardAtTwoGatesRunsOnce(t *testing.T) {
	twice := 0
	for seed := range uint64(20) {
		w := New(seed, 3, Host{"shop", "a"}, Host{"till", "a"}, Host{"till", "a"})
		w.Configure(int(seed), 1, nil)
		w.Proxies[2].station.id = w.Proxies[1].station.id
		w.Run(4)
		asker, one, other := w.Proxies[0], w.Proxies[1], w.Proxies[2]
		m := attempt(w, asker, one)
		one.heard(asker.addr, m)
		w.After(0.1*w.Rand.Float64(), func() { other.heard(asker.addr, m) })
		w.Run(2)
		runs := w.Checker.RunsAt(one) + w.Checker.RunsAt(other)
		if runs > 1 {
			twice++
		}
		if runs != 1 {
			t.Errorf("seed %d: %d runs", seed, runs)
		}
		verdictOn(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
	t.Logf("%d of 20 ran twice", twice)
}

// One attempt that names no life of its gate reaches that gate, which dies with it at its host, and the next
// process there. The register does not grant it to the second.
func TestForwardAtAGatesNextProcessRunsOnce(t *testing.T) {
	twice := 0
	for seed := range uint64(20) {
		w := New(seed, 3, Host{"shop", "a"}, Host{"till", "a"})
		w.Configure(int(seed), 1, nil)
		w.Run(4)
		asker, gate := w.Proxies[0], w.Proxies[1]
		gate.station.takes = 0.5
		m := attempt(w, asker, gate)
		gate.heard(asker.addr, m)
		w.Run(0.1)
		gate.Kill()
		w.Run(0.01)
		gate.Start()
		w.Run(1.8) // until the host is known to the next process
		gate.heard(asker.addr, m)
		w.Run(2)
		runs := w.Checker.RunsAt(gate)
		if runs > 1 {
			twice++
		}
		if runs != 1 {
			t.Errorf("seed %d: %d runs", seed, runs)
		}
		verdictOn(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
	t.Logf("%d of 20 ran twice", twice)
}
