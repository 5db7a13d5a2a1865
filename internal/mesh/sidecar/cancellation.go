package sidecar

import (
	"slices"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// A client that closes its connection waits for no answer any more. Its request is sent nowhere from then on, and taken back from
// the proxy that has it: what waits there is not begun, and a run that may be repeated is broken off. An operation that a host has
// begun goes on, as its end has to be recorded.

// Where a request was when its client left. They are the labels of a metric.
const (
	leftWaiting = "waiting" // it was sent nowhere: it waits for a host, or between two tries
	leftSent    = "sent"    // a proxy beside a host has it
)

// What became of a request that was taken back, at the proxy beside the host. They are the labels of a metric.
const (
	cancelUnknown  = "unknown"  // it has ended, or is still on its way
	cancelWaiting  = "waiting"  // it waited for its claim or for a slot, and was not begun
	cancelRunning  = "running"  // the host ran it: broken off
	cancelFinishes = "finishes" // the host runs it, and it may not be repeated: it goes on
)

const reasonClientLeft = "its client has left"

// ClientLeft takes word that the client of a request closed its connection before the answer.
func (p *Sidecar) ClientLeft(now float64, req *Request) {
	p.beginInput(now)
	if req.answered || p.requests[req.id] != req {
		return
	}
	place := leftWaiting
	if slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.inFlight }) {
		place = leftSent
	}
	req.clientLeft = true
	p.counts.ClientsLeft[place]++
	if p.opts.Debug != nil {
		p.opts.Debug("client left", "id", req.ID, "place", place, "tries", len(req.attempts), "service", req.service, "after", now-req.receivedAt)
	}
	p.reply(req, Reply{FromProxy: true, Reason: reasonClientLeft})
	if s := p.services[req.service]; s != nil {
		s.balancer.Gone(now, balancer.RequestID(req.id)) // it has the tries that are out cancelled
	}
	p.forget(req)
	p.runPending()
}

// Cancel has an attempt taken back, where its client has left. What else the module calls off is left to its end: a host is at work
// on it, and its answer is worth recording.
func (s *service) Cancel(id balancer.RequestID, attempt int) {
	p := s.sidecar
	req := p.requests[uint64(id)]
	if req == nil || !req.clientLeft || attempt >= len(req.attempts) {
		return
	}
	a := req.attempts[attempt]
	switch {
	case !a.inFlight:
	case a.held:
		p.runLater(func() {
			if a.held {
				p.endUnsent(a, reasonClientLeft)
			}
		})
	default:
		p.send(a.peer, &meshpb.Message{Life: p.incarnation, Cancel: &meshpb.Cancel{Forward: a.id}})
	}
}

// endLeft takes the end of a try whose client has left: it says nothing of its host. A key that was claimed for it in vain is given
// back.
func (p *Sidecar) endAfterClientLeft(a *attempt, verdict outcome.Outcome) {
	req := a.request
	if req.mayHoldClaim && req.arrivals == 0 && verdict.NeverRan() {
		p.admission.settle(req.IdempotencyKey, &meshpb.Receipt{Token: req.token, State: register.Void})
	}
	p.endAttempt(a, balancer.Cancelled, nil, reasonClientLeft)
}

// cancel takes a request back whose client has left.
func (adm *admission) cancel(from string, m *meshpb.Message) {
	j := adm.findJob(from, m)
	place := cancelUnknown
	switch {
	case j == nil: // a large request may come after its cancellation: it is known then
		adm.seen.admit(adm.sidecar.now, messageID{senderProcess{from, m.Life}, m.Cancel.Forward})
	case !j.hasSlot:
		place = cancelWaiting
		adm.queue = slices.DeleteFunc(adm.queue, func(queued *job) bool { return queued == j })
		adm.lateQueue.removeIf(func(queued *job) bool { return queued == j })
		j.claim.mayBeHeld = j.claim.mayBeHeld || len(j.claim.outstanding) > 0
		adm.reject(j, reasonClientLeft, 1)
	case !j.forward.Repeatable || j.forward.Key != "":
		place = cancelFinishes
	default:
		place = cancelRunning
		adm.sidecar.output.Commands = append(adm.sidecar.output.Commands, Abort{Job: j.id})
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Cancelled), Why: reasonClientLeft})
	}
	adm.sidecar.counts.Cancelled[place]++
}

// find is the job of a request that its sender names.
func (adm *admission) findJob(from string, m *meshpb.Message) *job {
	for _, j := range adm.jobs {
		if j.from == from && j.message.Life == m.Life && j.message.Id == m.Cancel.Forward {
			return j
		}
	}
	return nil
}
