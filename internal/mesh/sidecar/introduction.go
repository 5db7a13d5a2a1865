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
	w := p.peers[to]
	w.asked, w.ping = p.now, p.id()
	p.send(to, p.question(w.ping, &meshpb.Message{Ping: &meshpb.Ping{}}))
}

// ponged takes a peer's word that it is there.
func (p *Sidecar) ponged(from string, m *meshpb.Message) {
	w, asked := p.peers[from], ""
	if w != nil && w.ping == m.Id {
		asked = from
	}
	if !p.accepts(from, m, asked) {
		return
	}
	w.ping = 0
	p.pongs += pongStep * (min(silentMost, p.now-w.asked) - p.pongs)
}

// hold keeps a try until it is known which process is at its proxy's address.
func (p *Sidecar) hold(t *try) {
	w := p.peers[t.peer]
	t.held = true
	w.held++
	if w.held == 1 {
		p.ping(t.peer)
	}
}

// sendHeld has what was held for a peer go once its process is known.
func (p *Sidecar) sendHeld(to string) {
	w := p.peers[to]
	if w.held == 0 || w.life == 0 {
		return
	}
	for _, t := range p.triesAt(to) {
		if !t.held {
			continue
		}
		if t.order.told || p.now >= t.order.deadline {
			p.ended(t, balancer.Skipped, nil, "its time was over before it went")
			continue
		}
		t.held = false
		w.held--
		p.sendTry(t)
	}
}

// endHeld ends what was held for a peer that cannot be reached: nothing of it has gone.
func (p *Sidecar) endHeld(to, why string) {
	w := p.peers[to]
	if w == nil || w.held == 0 {
		return
	}
	for _, t := range p.triesAt(to) {
		if t.held {
			p.endUnsent(t, why)
		}
	}
}
