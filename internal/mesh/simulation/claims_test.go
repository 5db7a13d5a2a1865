package simulation

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/sidecar"
)

// newForward returns the first attempt of a request, as a proxy sends it before it knows the incarnation of the receiving
// proxy.
func newForward(w *World, sender, receiver *Proxy) *meshpb.Message {
	const id = "twice"
	w.Checker.requestSent(sender, id, "/pay/x", "k")
	return &meshpb.Message{Id: 1, Life: 1, Forward: &meshpb.Forward{Station: receiver.instance.id, Method: "POST",
		Target: "/pay/x", Host: "shop.example", Key: "k", Token: 77, LeftUs: 2e6, AimUs: 1e6,
		Fields: []*meshpb.Field{{Name: sidecar.HeaderID, Value: id}, {Name: sidecar.HeaderIdempotencyKey, Value: "k"}}}}
}

// One attempt reaches two proxies that both have the host instance that it names, as when a host has moved. The control
// servers grant the claim to only one of them.
func TestForwardAtTwoGatesRunsOnce(t *testing.T) {
	twice := 0
	for seed := range uint64(20) {
		w := New(seed, 3, Host{"shop", "a"}, Host{"till", "a"}, Host{"till", "a"})
		w.Configure(int(seed), 1, nil)
		w.Proxies[2].instance.id = w.Proxies[1].instance.id
		w.Run(4)
		sender, one, other := w.Proxies[0], w.Proxies[1], w.Proxies[2]
		m := newForward(w, sender, one)
		one.receive(sender.addr, m)
		w.After(0.1*w.Rand.Float64(), func() { other.receive(sender.addr, m) })
		w.Run(2)
		runs := w.Checker.RunsAt(one) + w.Checker.RunsAt(other)
		if runs > 1 {
			twice++
		}
		if runs != 1 {
			t.Errorf("seed %d: %d runs", seed, runs)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
	t.Logf("%d of 20 ran twice", twice)
}

// One attempt that names no incarnation of the receiving proxy reaches that proxy, which is killed while the request runs,
// and then the next process at its address. The control servers do not grant the claim to the second process.
func TestForwardAtAGatesNextProcessRunsOnce(t *testing.T) {
	twice := 0
	for seed := range uint64(20) {
		w := New(seed, 3, Host{"shop", "a"}, Host{"till", "a"})
		w.Configure(int(seed), 1, nil)
		w.Run(4)
		sender, receiver := w.Proxies[0], w.Proxies[1]
		receiver.instance.extraSeconds = 0.5
		m := newForward(w, sender, receiver)
		receiver.receive(sender.addr, m)
		w.Run(0.1)
		receiver.Kill()
		w.Run(0.01)
		receiver.Start()
		w.Run(1.8) // until the next process knows the host
		receiver.receive(sender.addr, m)
		w.Run(2)
		runs := w.Checker.RunsAt(receiver)
		if runs > 1 {
			twice++
		}
		if runs != 1 {
			t.Errorf("seed %d: %d runs", seed, runs)
		}
		checkOutcome(t, w, fmt.Sprintf("seed %d", seed), 0)
	}
	t.Logf("%d of 20 ran twice", twice)
}
