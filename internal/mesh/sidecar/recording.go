package sidecar

import (
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/register"
)

// This file records the responses of operations with idempotency keys, so that a repeat gets the first one's response.
//
// Two sidecars know a response: the one beside the host, which records it, and the one that has passed it on to the
// client. Either may lose its way to the control servers, or end, between the response and its record. So the first one
// confirms that the response is recorded, and the second one records it if that is not confirmed in time. Recording a
// response twice changes nothing.

const (
	// recordTimeout is the time in seconds after a response by which its record has to be confirmed. A repeat may arrive a
	// second after the response, and must find it.
	recordTimeout   = 0.4
	maxUnrecorded   = 4096
	maxRecordedBody = 128 << 10 // bytes of the body of a response that is recorded with its idempotency key
)

// unrecordedOutcome is the outcome of an operation that this sidecar has passed on to its client, and whose record is not
// confirmed yet.
type unrecordedOutcome struct {
	peer    string // the sidecar beside the host
	key     string
	receipt *meshpb.Receipt
}

// receiptOf returns the record of a response. A response that is too large to be recorded leaves the result unknown.
func receiptOf(token uint64, attempt uint32, forwarded *meshpb.Forwarded) *meshpb.Receipt {
	receipt := &meshpb.Receipt{Token: token, Attempt: attempt, State: register.Lost}
	if len(forwarded.Body) <= maxRecordedBody {
		receipt.State, receipt.Status = register.Done, forwarded.Status
		receipt.Fields, receipt.Body = forwarded.Fields, forwarded.Body
	}
	return receipt
}

// recordAnswer records the host's response to an operation, and confirms it to the sidecar that sent the request.
func (adm *admission) recordAnswer(j *job, forwarded *meshpb.Forwarded) {
	names := registersOf(j.forward.Key)
	receipt := receiptOf(j.forward.Token, j.forward.Attempt, forwarded)
	from, request := j.from, &meshpb.Message{Id: j.message.Id, Life: j.message.Life}
	missing := len(names)
	recorded := func(uint32) {
		if missing--; missing == 0 && from != adm.sidecar.opts.Self {
			adm.sidecar.respond(from, request, &meshpb.Message{Recorded: &meshpb.Recorded{}})
		}
	}
	for _, name := range names {
		adm.settleRegister(name, receipt, recorded)
	}
}

// awaitRecorded records the outcome of an operation at another sidecar's host unless that sidecar confirms in time that it
// has.
func (p *Sidecar) awaitRecorded(a *attempt, forwarded *meshpb.Forwarded) {
	req := a.request
	if req.IdempotencyKey == "" || a.peer == p.opts.Self || len(p.unrecorded) >= maxUnrecorded {
		return
	}
	p.unrecorded[a.id] = unrecordedOutcome{a.peer, req.IdempotencyKey, receiptOf(req.token, uint32(a.number), forwarded)}
	p.schedule(p.now+recordTimeout, func() { p.recordForPeer(a.id) })
}

// receiveRecorded handles the confirmation that an outcome is recorded.
func (p *Sidecar) receiveRecorded(from string, m *meshpb.Message) {
	if p.acceptsResponse(from, m, p.unrecorded[m.Id].peer) {
		delete(p.unrecorded, m.Id)
	}
}

// recordForPeer records the outcome of an attempt unless its record was confirmed.
func (p *Sidecar) recordForPeer(id uint64) {
	outcome, missing := p.unrecorded[id]
	if !missing {
		return
	}
	delete(p.unrecorded, id)
	p.counts.RecordedForPeers++
	if p.opts.Debug != nil {
		p.opts.Debug("outcome recorded for peer", "peer", outcome.peer, "token", outcome.receipt.Token)
	}
	p.admission.settle(outcome.key, outcome.receipt)
}
