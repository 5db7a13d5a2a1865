package simulation

import (
	"fmt"
	"testing"

	"beechwing/internal/mesh/sidecar"
)

// sendOnce makes a client send one request, and passes the reply to onReply.
func (w *World) sendOnce(s *Proxy, path, key string, onReply func(sidecar.Reply)) {
	request := w.newRequest(s, path, key)
	request.ReplyTo = func(r sidecar.Reply) {
		w.Checker.responseReceived(request.ID, r)
		onReply(r)
	}
	s.input(func() { s.sidecar.Submit(w.Now, request) })
}

// An operation that was answered with success is not called in progress later: its repeats get its response, although the
// proxy beside its host lost its way to the control servers while it ran, and was killed after the answer in half of the
// seeds (review case 8, DENIED).
func TestAnsweredOperationIsRecordedWhenHostsProxyIsCutOff(t *testing.T) {
	const operations, cutSeconds = 16, 5.5
	for seed := range uint64(10) {
		w := newCluster(t, seed, 3)
		sender, other, cutOff := w.Proxies[0], w.Proxies[1], w.Proxies[3]
		for _, s := range w.Proxies[3:] {
			s.instance.extraSeconds = 0.5
		}
		kill := seed%2 == 1
		repeats, answered := map[int]int{}, 0
		for i := range operations {
			key := fmt.Sprint("k", i)
			w.sendOnce(sender, "/pay/x", key, func(first sidecar.Reply) {
				if first.Status != 200 {
					return
				}
				if answered++; kill && answered == operations/2 {
					w.After(0.02, cutOff.Kill)
					w.After(0.4, cutOff.Start)
				}
				for _, later := range []float64{1.05, 2.4, 3.6} {
					w.After(later, func() { w.sendOnce(other, "/pay/x", key, func(r sidecar.Reply) { repeats[r.Status]++ }) })
				}
			})
		}
		w.After(0.25, func() {
			for _, server := range w.Servers {
				w.Isolate(cutOff.addr, server.addr)
			}
			w.After(cutSeconds, w.HealNetwork)
		})
		w.Run(12)
		if answered < operations/2 || repeats[409] > 0 || repeats[502] > 0 || repeats[200] == 0 {
			t.Errorf("seed %d: %d of %d operations answered, their repeats by status: %v", seed, answered, operations, repeats)
		}
		checkOutcome(t, w, fmt.Sprint("seed ", seed), 0)
	}
}
