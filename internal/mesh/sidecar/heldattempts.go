package sidecar

import (
	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
)

// This file sees to it that a request which may not be repeated names the process that it is for. Should it
// come again, to the next process at that address, that one knows nothing of the first and would run it. The
// first request to a proxy waits until that has said which process it is: one way there and back, once a
// connection.

// ping asks a peer for a sign of life.
func (p *Sidecar) ping(to string) {
	peer := p.peers[to]
	peer.pingedAt, peer.pingID = p.now, p.nextID()
	p.send(to, p.newRPC(peer.pingID, &meshpb.Message{Ping: &meshpb.Ping{}}))
}

// ponged takes a peer's word that it is there.
func (p *Sidecar) receivePong(from string, m *meshpb.Message) {
	peer, asked := p.peers[from], ""
	if peer != nil && peer.pingID == m.Id {
		asked = from
	}
	if !p.acceptsResponse(from, m, asked) {
		return
	}
	peer.pingID = 0
	p.meanPongSeconds += meanPongStep * (min(maxPongTimeout, p.now-peer.pingedAt) - p.meanPongSeconds)
}

// hold keeps a try until it is known which process is at its proxy's address.
func (p *Sidecar) holdAttempt(a *attempt) {
	peer := p.peers[a.peer]
	a.held = true
	peer.held++
	if peer.held == 1 {
		p.ping(a.peer)
	}
}

// sendHeld has what was held for a peer go once its process is known.
func (p *Sidecar) sendHeld(to string) {
	peer := p.peers[to]
	if peer.held == 0 || peer.incarnation == 0 {
		return
	}
	for _, a := range p.attemptsAt(to) {
		if !a.held {
			continue
		}
		if a.request.answered || p.now >= a.request.deadline {
			p.endAttempt(a, balancer.Moot, nil, "its time was over before it went")
			continue
		}
		a.held = false
		peer.held--
		p.sendAttempt(a)
	}
}

// endHeld ends what was held for a peer that cannot be reached: nothing of it has gone.
func (p *Sidecar) failHeld(to, why string) {
	peer := p.peers[to]
	if peer == nil || peer.held == 0 {
		return
	}
	for _, a := range p.attemptsAt(to) {
		if a.held {
			p.endUnsent(a, why)
		}
	}
}
