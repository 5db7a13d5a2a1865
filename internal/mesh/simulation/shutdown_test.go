package simulation

import (
	"testing"

	"beechwing/internal/mesh/sidecar"
)

// A planned stop under load cuts no request that was sent later than 3 s after its begin: such a request is answered, or refused
// before it goes to a host (review case 4, LOST). The clients go on, as those of a zone's only proxy do. Hosts of the stopping
// proxy's own service are loaded by others meanwhile.
func TestPlannedStopUnderLoadCutsNothing(t *testing.T) {
	const requests, intervalSeconds, excusedSeconds, workSeconds = 66, 0.12, 3.0, 0.6
	for seed := range uint64(8) {
		w := newCluster(t, seed, 3)
		stopping := w.Proxies[3*(seed%2)] // of the service that is called, or of another one
		for _, s := range w.Proxies[3:] {
			s.instance.extraSeconds = workSeconds
		}
		begunAt, ended := w.Now+1, false
		type sent struct {
			id       string
			at       float64
			answered bool
		}
		var all []*sent
		w.After(1, func() { stopping.Terminate(func() { ended = true }) })
		for i := range requests {
			w.After(float64(i)*intervalSeconds, func() {
				if !stopping.up {
					return
				}
				request := w.newRequest(stopping, "/pay/x", "")
				s := &sent{id: request.ID, at: w.Now}
				all = append(all, s)
				request.ReplyTo = func(r sidecar.Reply) {
					s.answered = true
					w.Checker.responseReceived(s.id, r)
				}
				stopping.input(func() { stopping.sidecar.Submit(w.Now, request) })
			})
		}
		w.Run(9)
		cut, answered := 0, 0
		for _, s := range all {
			switch ran := len(w.Checker.runsByRequest[s.id]) > 0; {
			case s.answered:
				answered++
			case ran && s.at > begunAt+excusedSeconds:
				cut++
			}
		}
		if !ended || cut > 0 || answered < len(all)*9/10 {
			t.Errorf("seed %d: ended %v, %d of %d requests answered, %d cut", seed, ended, answered, len(all), cut)
		}
		checkOutcome(t, w, "planned stop", 0.25)
	}
}
