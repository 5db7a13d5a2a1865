package sidecar

import (
	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
)

// An attempt that may not be repeated names the sidecar process it is for. Without that, a copy of the attempt could
// reach the next process at the same address, which knows nothing of the first copy and would run the request again. So
// the first such attempt to a peer is held until a message of the peer, normally the answer to a ping, tells the peer's
// incarnation. This costs one round trip for each connection.

// ping asks a peer for a sign of life.
func (p *Sidecar) ping(to string) {
	peer := p.peers[to]
	peer.pingedAt, peer.pingID = p.now, p.nextID()
	p.send(to, p.newRPC(peer.pingID, &meshpb.Message{Ping: &meshpb.Ping{}}))
}

// receivePong handles a peer's answer to a ping.
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

// holdAttempt keeps an attempt back until the incarnation of its peer is known.
func (p *Sidecar) holdAttempt(a *attempt) {
	peer := p.peers[a.peer]
	a.held = true
	peer.held++
	if peer.held == 1 {
		p.ping(a.peer)
	}
}

// sendHeld sends the attempts held for a peer once the peer's incarnation is known.
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
			p.endAttempt(a, balancer.Skipped, nil, "deadline passed before the attempt was sent")
			continue
		}
		a.held = false
		peer.held--
		p.sendAttempt(a)
	}
}

// failHeld ends the attempts held for a peer that cannot be reached. Nothing of them was sent.
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
