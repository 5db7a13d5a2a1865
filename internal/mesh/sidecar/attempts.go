package sidecar

import (
	"cmp"
	"maps"
	"slices"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

// An attempt ends by the response of the sidecar to which it went, by the loss of the connection, or because that
// sidecar is silent.

// receiveForwarded handles the response to an attempt.
func (p *Sidecar) receiveForwarded(from string, m *meshpb.Message) {
	a, asked := p.attempts[m.Id], ""
	if a != nil {
		asked = a.peer
	}
	if !p.acceptsResponse(from, m, asked) {
		return
	}
	if a.peerIncarnation != 0 && m.Responder != a.peerIncarnation {
		p.drop(from, m, dropOtherResponder)
		p.peerFailed(a, "another process has the address of the proxy beside the host")
		return
	}
	p.handleOutcome(a, m.Forwarded)
}

// handleOutcome ends an attempt by its outcome.
func (p *Sidecar) handleOutcome(a *attempt, forwarded *meshpb.Forwarded) {
	req := a.request
	verdict := outcome.Outcome(forwarded.Verdict)
	p.counts.Attempts[verdict.String()]++
	if verdict == outcome.Answered && forwarded.Status < 500 {
		p.services[req.service].recordLatency(a.host, req.class, float64(forwarded.TookUs)/1e6)
	}
	// For the host beside this sidecar, admission has recorded the outcome already.
	if ep := p.services[req.service].hosts[a.host]; ep != nil && a.peer != p.opts.Self {
		p.recordOutcome(ep.instance, forwarded)
	}
	if verdict.Arrived() {
		req.arrivals++
	} else if a.budgetSpent {
		p.retryBudget.Refund(req.service)
	}
	req.mayHoldClaim = req.mayHoldClaim || verdict.NeverRan() && forwarded.Claimed
	if req.clientLeft && verdict.NeverRan() || verdict == outcome.Cancelled {
		p.endAfterClientLeft(a, verdict)
		return
	}
	why := forwarded.Why
	if why == "" {
		why = verdict.String()
	}
	switch verdict {
	case outcome.Answered:
		p.awaitRecorded(a, forwarded)
		if forwarded.Status >= 500 {
			p.endAttempt(a, balancer.Errored, forwarded, why)
		} else {
			p.endAttempt(a, balancer.OK, forwarded, why)
		}
	case outcome.TurnedAway:
		if forwarded.BackMs > 0 { // the host stays but cannot take the request now
			p.endAttempt(a, balancer.Rejected, nil, why)
		} else {
			p.endAttempt(a, balancer.ConnectFailed, nil, why)
		}
	case outcome.HostTurnedAway:
		p.endAttempt(a, balancer.Rejected, nil, why)
	case outcome.Unclaimed:
		if p.now > p.discovery.serverHeardAt+controlSilentAfter || a.number > 0 || forwarded.BackMs > 0 {
			// Another sidecar would hardly reach more of the control plane: no control server answers this sidecar, this
			// attempt is already a retry, or the control plane has no capacity.
			p.endAttempt(a, balancer.Skipped, nil, why)
		} else {
			p.endAttempt(a, balancer.Rejected, nil, why)
		}
	case outcome.Expired:
		p.endAttempt(a, balancer.Skipped, nil, why)
	case outcome.Late:
		p.endAttempt(a, balancer.TimedOut, nil, why)
	case outcome.Busy:
		p.endWithReply(a, Reply{Status: 409, FromProxy: true, RetryAfter: minRetryAfter, Reason: "its key is at work"})
	case outcome.Kept:
		p.endWithReply(a, Reply{Status: int(forwarded.Status), Fields: forwarded.Fields, Body: forwarded.Body,
			Reason: "its key's answer"})
	case outcome.Lost:
		p.endWithReply(a, Reply{Status: 502, FromProxy: true, Reason: "its key's run has no known end"})
	default:
		p.endAttempt(a, balancer.Reset, nil, why)
	}
}

// removeAttempt removes an attempt from those in flight, and reports whether it was one of them.
func (p *Sidecar) removeAttempt(a *attempt) bool {
	if !a.inFlight {
		return false
	}
	a.inFlight = false
	delete(p.attempts, a.id)
	if peer := p.peers[a.peer]; peer != nil {
		if peer.inFlight--; peer.inFlight <= 0 {
			peer.inFlight = 0
		}
		if a.held {
			a.held = false
			peer.held--
		}
		peer.progressAt = p.now
	}
	return true
}

// endWithReply ends an attempt, and the request with it, by a reply that is no evidence about the host.
func (p *Sidecar) endWithReply(a *attempt, reply Reply) {
	if !p.removeAttempt(a) {
		return
	}
	req := a.request
	p.reply(req, reply)
	p.reportOutcome(a, balancer.Cancelled, true)
	p.forget(req)
}

// endAttempt reports the result of an attempt to the balancer, which decides what follows.
func (p *Sidecar) endAttempt(a *attempt, result balancer.Result, forwarded *meshpb.Forwarded, why string) {
	if !p.removeAttempt(a) {
		return
	}
	req := a.request
	if p.opts.Debug != nil {
		p.opts.Debug("try ended", "id", req.ID, "try", a.number, "peer", a.peer, "result", result, "why", why, "took", p.now-a.sentAt)
	}
	final := req.answered
	switch {
	case forwarded == nil:
	case result == balancer.OK || !req.route.Repeatable():
		p.reply(req, p.hostReply(req, forwarded))
		final = true
	default:
		req.lastResponse = forwarded
	}
	p.reportOutcome(a, result, final)
	p.forget(req)
}

func (p *Sidecar) reportOutcome(a *attempt, result balancer.Result, final bool) {
	if s := p.services[a.request.service]; s != nil {
		s.balancer.Outcome(p.now, balancer.Outcome{ID: balancer.RequestID(a.request.id), Attempt: a.number, Host: a.host,
			Result: result, Took: p.now - a.sentAt, Final: final})
	}
}

// failAttempts ends the attempts that were sent over a lost connection. An attempt of which nothing was sent has not
// run.
func (p *Sidecar) failAttempts(lost transport.Disconnected) {
	for _, id := range lost.Unsent {
		if a := p.attempts[id]; a != nil && a.peer == lost.Peer {
			p.endUnsent(a, "no connection to the proxy beside the host")
		}
	}
	p.failHeld(lost.Peer, "no connection to the proxy beside the host")
	if lost.Link == 0 {
		return
	}
	if peer := p.peers[lost.Peer]; peer != nil {
		peer.incarnation = 0 // another process may now have the address
	}
	for _, a := range p.attemptsAt(lost.Peer) {
		if a.link != lost.Link {
			continue
		}
		p.peerFailed(a, "the connection to the proxy beside the host broke")
	}
}

// endUnsent ends an attempt of which nothing was sent.
func (p *Sidecar) endUnsent(a *attempt, why string) {
	if a.budgetSpent {
		p.retryBudget.Refund(a.request.service)
	}
	p.endAttempt(a, balancer.ConnectFailed, nil, why)
}

// peerFailed ends an attempt to which no response is expected any more. A repeatable request is retried. For a request
// with an idempotency key, the register is asked to void the token. If no claim of the token was granted, the request
// has not run and never will, and is retried with a new token. If a claim was granted, it is unknown whether the request
// ran. The same holds for a request that is neither repeatable nor has a key.
func (p *Sidecar) peerFailed(a *attempt, why string) {
	req := a.request
	if !a.voidRequested {
		p.counts.PeerFailures++
		if s := p.services[req.service]; s != nil && s.hosts[a.host] != nil {
			p.recordResult(s.hosts[a.host].instance, true)
		}
	}
	switch {
	case req.route.Repeatable():
		req.arrivals++ // it may have arrived
		p.endAttempt(a, balancer.ConnectFailed, nil, why)
	case req.IdempotencyKey == "":
		req.arrivals++
		p.endAttempt(a, balancer.Reset, nil, why)
	case !a.voidRequested:
		a.voidRequested = true
		p.admission.voidIfFree(req.IdempotencyKey, req.token, func(state uint32) {
			if state != register.Void {
				req.arrivals++
				p.endAttempt(a, balancer.Reset, nil, why+"; its key was claimed")
				return
			}
			if a.inFlight {
				req.token = p.random()
			}
			p.endAttempt(a, balancer.ConnectFailed, nil, why+"; its key was free")
		})
	}
}

// attemptsAt returns the attempts in flight at a peer, the oldest first.
func (p *Sidecar) attemptsAt(proxy string) (all []*attempt) {
	for _, a := range p.attempts {
		if a.peer == proxy {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return all
}

// watchPeers pings peers that are silent while attempts of this sidecar are in flight at them, since a machine that is
// cut off does not close its connections. If a peer does not answer in time, the attempts sent before the ping are given
// up.
func (p *Sidecar) watchPeers() {
	for _, proxy := range slices.Sorted(maps.Keys(p.peers)) { // in a fixed order, so that a run can be replayed from its seed
		peer := p.peers[proxy]
		if peer.inFlight == 0 || proxy == p.opts.Self {
			continue
		}
		silentFor := p.now - max(peer.heardAt, peer.progressAt)
		switch {
		case silentFor < pingAfter:
		case peer.pingedAt < peer.heardAt || peer.pingedAt < peer.progressAt:
			p.ping(proxy)
		case p.now-peer.pingedAt > min(maxPongTimeout, minPongTimeout+pongTimeoutFactor*p.meanPongSeconds):
			p.failHeld(proxy, "the proxy beside the host is silent")
			for _, a := range p.attemptsAt(proxy) {
				if a.sentAt < peer.pingedAt {
					p.peerFailed(a, "the proxy beside the host is silent")
				}
			}
		}
	}
}
