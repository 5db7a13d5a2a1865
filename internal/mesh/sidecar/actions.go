package sidecar

import (
	"math"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/register"
)

// This file implements balancer.Actions: it sends, refuses and fails requests and sets timers as the balancer orders.

// Send starts the next attempt of a request at the sidecar of the picked host.
func (s *service) Send(id balancer.RequestID, host balancer.HostID, _ float64) {
	p := s.sidecar
	req := p.requests[uint64(id)]
	if req == nil {
		return
	}
	ep := s.hosts[host]
	a := &attempt{request: req, id: p.nextID(), number: len(req.attempts), host: host, sentAt: p.now, inFlight: true}
	req.attempts = append(req.attempts, a)
	p.attempts[a.id] = a
	switch {
	case req.answered, p.now >= req.deadline, p.shutdown.stopped:
		p.runLater(func() { p.endAttempt(a, balancer.Skipped, nil, "") })
		return
	case ep == nil:
		p.runLater(func() { p.endAttempt(a, balancer.ConnectFailed, nil, "the host is no longer in the list") })
		return
	case req.arrivals >= max(1, req.route.MaxAttempts):
		p.runLater(func() { p.endAttempt(a, balancer.Skipped, nil, "no attempts left") })
		return
	case req.arrivals > 0 && !p.retryBudget.Spend(req.service):
		p.runLater(func() { p.endAttempt(a, balancer.Skipped, nil, "retry budget exhausted") })
		return
	}
	a.budgetSpent = req.arrivals > 0
	a.peer, a.hostInstance = ep.proxy, ep.instance
	if peer := p.peers[a.peer]; peer == nil {
		p.peers[a.peer] = &peerState{inFlight: 1, heardAt: p.now, progressAt: p.now}
	} else {
		if peer.inFlight++; peer.inFlight == 1 {
			peer.progressAt, peer.heardAt = p.now, p.now
		}
	}
	if !req.route.Repeatable() && a.peer != p.opts.Self && p.peers[a.peer].incarnation == 0 {
		p.holdAttempt(a)
		return
	}
	p.sendAttempt(a)
}

// sendAttempt sends an attempt to the sidecar of its host.
func (p *Sidecar) sendAttempt(a *attempt) {
	a.peerIncarnation = p.peers[a.peer].incarnation
	if a.request.clientLeft {
		p.counts.SentAfterClientLeft++
	}
	m := p.newRPC(a.id, &meshpb.Message{Forward: p.newForward(a)})
	if a.peer == p.opts.Self {
		p.send(a.peer, m)
		return
	}
	p.output.Sends = append(p.output.Sends, transport.Send{To: a.peer, Message: m, Via: &a.link})
}

// newForward builds the message that carries an attempt to the sidecar of its host.
func (p *Sidecar) newForward(a *attempt) *meshpb.Forward {
	req := a.request
	target := min(req.deadline, req.receivedAt+req.class.target)
	return &meshpb.Forward{
		Station:    a.hostInstance,
		Method:     req.Method,
		Target:     req.Target,
		Host:       req.Host,
		Fields:     req.Fields,
		Body:       req.Body,
		Framed:     req.Framed,
		LeftUs:     uint32(min(math.MaxUint32, max(0, req.deadline-p.now)*1e6)),
		Sender:     p.opts.Service,
		Key:        req.IdempotencyKey,
		Token:      req.token,
		Precedence: uint32(min(math.MaxUint32, uint64(max(0, req.route.Precedence)))),
		Repeatable: req.route.Repeatable(),
		Attempt:    uint32(a.number),
		Class:      req.class.wireID(),
		AimUs:      uint32(max(0, target-p.now) * 1e6),
		GateLife:   a.peerIncarnation,
	}
}

// Refuse ends a request that the client may safely repeat. In a sharded service the request may instead be passed to the
// holder of its key again.
func (s *service) Refuse(id balancer.RequestID, coolDown float64) {
	p := s.sidecar
	req := p.requests[uint64(id)]
	if req == nil || req.answered {
		return
	}
	if p.retriesAtHolder(req) {
		return
	}
	reply := Reply{Status: 503, FromProxy: true, RetryAfter: min(maxRetryAfter, max(minRetryAfter, coolDown)), Reason: "refused"}
	if req.holder != 0 {
		reply.RetryAfter = max(reply.RetryAfter, noHolderRetryAfter)
	}
	if n := len(req.attempts); n == 0 {
		reply.Reason = "no room"
	}
	if req.lastResponse != nil { // a host has responded
		reply = p.hostReply(req, req.lastResponse)
	}
	if req.mayHoldClaim && reply.FromProxy { // the request is promised not to run, so its key is released
		p.admission.settle(req.IdempotencyKey, &meshpb.Receipt{Token: req.token, State: register.Void})
	}
	p.reply(req, reply)
	p.runLater(func() { p.forget(req) })
}

// Fail ends a request that may have run, so that a repeat might run it twice.
func (s *service) Fail(id balancer.RequestID) {
	p := s.sidecar
	req := p.requests[uint64(id)]
	if req == nil || req.answered {
		return
	}
	reply := Reply{Status: 502, FromProxy: true, Reason: "it may have run"}
	if req.lastResponse != nil {
		reply = p.hostReply(req, req.lastResponse)
	}
	p.reply(req, reply)
	p.runLater(func() { p.forget(req) })
}

// Probe does nothing: the balancer's probes are not enabled here.
func (s *service) Probe(balancer.HostID) {}

// Timer schedules a timer event of the balancer.
func (s *service) Timer(after float64, token uint64) {
	s.sidecar.schedule(s.sidecar.now+max(0, after), func() {
		if s.sidecar.services[s.name] == s {
			s.balancer.Timer(s.sidecar.now, token)
		}
	})
}

// Watch and Fetch do nothing: the balancer gets the list of hosts without asking for it.
func (s *service) Watch() {}
func (s *service) Fetch() {}

// Broadcast does nothing: balancers exchange no messages here.
func (s *service) Broadcast([]byte) {}

// Log writes a log message of the balancer.
func (s *service) Log(text string) {
	if s.sidecar.opts.Debug != nil {
		s.sidecar.opts.Debug("balancer", "service", s.name, "says", text)
	}
}

func (p *Sidecar) runLater(f func()) { p.pending = append(p.pending, f) }
