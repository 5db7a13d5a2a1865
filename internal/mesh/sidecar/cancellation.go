package sidecar

import (
	"slices"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// This file cancels the requests of clients that closed their connections. Such a request is not sent anywhere any
// more, and is cancelled at the sidecar that has it: a waiting request is not begun, and the run of a repeatable one is
// aborted. An operation that may not be repeated goes on once the host has begun it, as its outcome has to be recorded.

// Where a request was when its client left. They are the values of a metric label.
const (
	leftWaiting = "waiting" // not in flight: waits for a host, or is between two attempts
	leftSent    = "sent"    // at the sidecar of a host
)

// The state of a cancelled request at the sidecar of its host. They are the values of a metric label.
const (
	cancelUnknown  = "unknown"  // already ended, or not arrived yet
	cancelWaiting  = "waiting"  // waited for its claim or for a slot, and was not begun
	cancelRunning  = "running"  // its run at the host was aborted
	cancelFinishes = "finishes" // its run goes on, as it may not be repeated
)

const reasonClientLeft = "its client has left"

// ClientLeft handles a client that closed its connection before the reply.
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
		p.opts.Debug("client left", "id", req.ID, "place", place, "tries", len(req.attempts), "service", req.service,
			"after", now-req.receivedAt)
	}
	p.reply(req, Reply{FromProxy: true, Reason: reasonClientLeft})
	if s := p.services[req.service]; s != nil {
		s.balancer.ClientLeft(now, balancer.RequestID(req.id)) // cancels the attempts in flight
	}
	p.forget(req)
	p.runPending()
}

// Cancel cancels an attempt at its sidecar if the client has left. Other attempts that the balancer cancels run to
// their end: a host is at work on them, and their responses are worth recording.
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

// endAfterClientLeft ends an attempt of a request whose client has left. The end is no evidence about the host. If the
// request has run nowhere, a claim of its key is released.
func (p *Sidecar) endAfterClientLeft(a *attempt, verdict outcome.Outcome) {
	req := a.request
	if req.mayHoldClaim && req.arrivals == 0 && verdict.NeverRan() {
		p.admission.settle(req.IdempotencyKey, &meshpb.Receipt{Token: req.token, State: register.Void})
	}
	p.endAttempt(a, balancer.Cancelled, nil, reasonClientLeft)
}

// cancel handles the cancellation of a request by its sender.
func (adm *admission) cancel(from string, m *meshpb.Message) {
	j := adm.findJob(from, m)
	place := cancelUnknown
	switch {
	case j == nil: // a large request may arrive after its cancellation; this marks it as a duplicate in advance
		adm.seen.admit(adm.sidecar.now, messageID{senderProcess{from, m.Life}, m.Cancel.Forward})
	case !j.hasSlot:
		place = cancelWaiting
		adm.rejectBeforeRun(j, reasonClientLeft, 1)
	case !j.forward.Repeatable || j.forward.Key != "":
		place = cancelFinishes
	default:
		place = cancelRunning
		adm.sidecar.output.Commands = append(adm.sidecar.output.Commands, Abort{Job: j.id})
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Cancelled), Why: reasonClientLeft})
	}
	adm.sidecar.counts.Cancelled[place]++
}

// findJob returns the job of the request that a cancellation names, nil if there is none.
func (adm *admission) findJob(from string, m *meshpb.Message) *job {
	for _, j := range adm.jobs {
		if j.from == from && j.message.Life == m.Life && j.message.Id == m.Cancel.Forward {
			return j
		}
	}
	return nil
}
