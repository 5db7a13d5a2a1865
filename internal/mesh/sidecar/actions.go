package sidecar

import (
	"math"

	"beechwing/balancer"
	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/register"
)

// What the balancer wants done: its requests sent, refused or failed, and its timers.

// Send sends a request to the proxy beside the picked host.
func (s *service) Send(id balancer.RequestID, host balancer.HostID, _ float64) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil {
		return
	}
	at := s.hosts[host]
	t := &try{order: o, id: p.id(), number: len(o.tries), host: host, sent: p.now, out: true}
	o.tries = append(o.tries, t)
	p.tries[t.id] = t
	switch {
	case o.told, p.now >= o.deadline:
		p.later(func() { p.ended(t, balancer.Moot, nil, "") })
		return
	case at == nil:
		p.later(func() { p.ended(t, balancer.ConnectFailed, nil, "gone from the roll") })
		return
	case o.arrivals >= max(1, o.route.Tries):
		p.later(func() { p.ended(t, balancer.Moot, nil, "no tries left") })
		return
	case o.arrivals > 0 && !p.budget.Spend(o.service):
		p.later(func() { p.ended(t, balancer.Moot, nil, "no budget for a further try") })
		return
	}
	t.spent = o.arrivals > 0
	t.peer, t.station = at.source, at.station
	if w := p.peers[t.peer]; w == nil {
		p.peers[t.peer] = &peer{out: 1, heard: p.now, oldest: p.now}
	} else {
		if w.out++; w.out == 1 {
			w.oldest, w.heard = p.now, p.now
		}
	}
	if !o.route.Repeatable() && t.peer != p.o.Self && p.peers[t.peer].life == 0 {
		p.hold(t)
		return
	}
	p.sendTry(t)
}

// sendTry has a try go to the proxy beside its host.
func (p *Sidecar) sendTry(t *try) {
	t.gateLife = p.peers[t.peer].life
	if t.order.left {
		p.count.SentAfterClientLeft++
	}
	parcel := p.question(t.id, &meshpb.Message{Forward: p.forward(t)})
	if t.peer == p.o.Self {
		p.send(t.peer, parcel)
		return
	}
	p.out.Sends = append(p.out.Sends, transport.Send{To: t.peer, Message: parcel, Via: &t.link})
}

// forward is what a try asks of the proxy beside its host.
func (p *Sidecar) forward(t *try) *meshpb.Forward {
	o := t.order
	aim := min(o.deadline, o.taken+o.class.aim)
	return &meshpb.Forward{
		Station:    t.station,
		Method:     o.Method,
		Target:     o.Target,
		Host:       o.Host,
		Fields:     o.Fields,
		Body:       o.Body,
		Framed:     o.Framed,
		LeftUs:     uint32(min(math.MaxUint32, max(0, o.deadline-p.now)*1e6)),
		Sender:     p.o.Service,
		Key:        o.IdempotencyKey,
		Token:      o.token,
		Precedence: uint32(max(0, o.route.Precedence)),
		Repeatable: o.route.Repeatable(),
		Attempt:    uint32(t.number),
		Class:      o.class.number(),
		AimUs:      uint32(max(0, aim-p.now) * 1e6),
		GateLife:   t.gateLife,
	}
}

// Refuse answers that trying again is harmless.
func (s *service) Refuse(id balancer.RequestID, coolDown float64) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil || o.told {
		return
	}
	if p.waitsForHolder(o) {
		return
	}
	r := Reply{Status: 503, FromProxy: true, RetryAfter: min(comeBackMost, max(comeBack, coolDown)), Reason: "refused"}
	if o.holder != 0 {
		r.RetryAfter = max(r.RetryAfter, keyBack)
	}
	if n := len(o.tries); n == 0 {
		r.Reason = "no room"
	}
	if o.last != nil { // a host has spoken
		r = p.hosts(o, o.last)
	}
	if o.claims && r.FromProxy { // what is promised not to run gives its key back
		p.admission.settle(o.IdempotencyKey, &meshpb.Receipt{Token: o.token, State: register.Void})
	}
	p.tell(o, r)
	p.later(func() { p.forget(o) })
}

// Fail answers that nothing is promised.
func (s *service) Fail(id balancer.RequestID) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil || o.told {
		return
	}
	r := Reply{Status: 502, FromProxy: true, Reason: "it may have run"}
	if o.last != nil {
		r = p.hosts(o, o.last)
	}
	p.tell(o, r)
	p.later(func() { p.forget(o) })
}

// Probe is not asked for.
func (s *service) Probe(balancer.HostID) {}

// Timer asks for an event.
func (s *service) Timer(after float64, token uint64) {
	s.p.at(s.p.now+max(0, after), func() {
		if s.p.services[s.name] == s {
			s.bal.Timer(s.p.now, token)
		}
	})
}

// Watch and Fetch ask for the list, which comes unasked here.
func (s *service) Watch() {}
func (s *service) Fetch() {}

// Tell would send a message to every peer.
func (s *service) Tell([]byte) {}

// Log writes a line of the module's.
func (s *service) Log(text string) {
	if s.p.o.Debug != nil {
		s.p.o.Debug("balancer", "service", s.name, "says", text)
	}
}

func (p *Sidecar) later(f func()) { p.local = append(p.local, f) }
