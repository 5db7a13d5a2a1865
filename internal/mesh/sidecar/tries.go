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

// A try ends by the word of the proxy that it went to, by a connection that breaks, or by silence.

// forwarded takes the end of a try from the proxy that had it.
func (p *Sidecar) forwarded(from string, m *meshpb.Message) {
	t, asked := p.tries[m.Id], ""
	if t != nil {
		asked = t.peer
	}
	if !p.accepts(from, m, asked) {
		return
	}
	if t.gateLife != 0 && m.Responder != t.gateLife {
		p.drop(from, m, dropResponder)
		p.doubt(t, "another process is at its proxy's address")
		return
	}
	p.carried(t, m.Forwarded)
}

// carried takes the end of a try.
func (p *Sidecar) carried(t *try, c *meshpb.Forwarded) {
	o := t.order
	v := outcome.Outcome(c.Verdict)
	p.count.Attempts[v.String()]++
	if v == outcome.Answered && c.Status < 500 {
		p.services[o.service].timed(t.host, o.class, float64(c.TookUs)/1e6)
	}
	if at := p.services[o.service].hosts[t.host]; at != nil && t.peer != p.o.Self { // of the host here its admission speaks
		p.sawEnd(at.station, c)
	}
	if v.Arrived() {
		o.arrivals++
	} else if t.spent {
		p.budget.Back(o.service)
	}
	o.claims = o.claims || v.NeverRan() && c.Claimed
	if o.left && v.NeverRan() || v == outcome.Cancelled {
		p.endLeft(t, v)
		return
	}
	why := c.Why
	if why == "" {
		why = v.String()
	}
	switch v {
	case outcome.Answered:
		if c.Status >= 500 {
			p.ended(t, balancer.Errored, c, why)
		} else {
			p.ended(t, balancer.OK, c, why)
		}
	case outcome.Turned:
		if c.BackMs > 0 { // it is full
			p.ended(t, balancer.TurnedAway, nil, why)
		} else {
			p.ended(t, balancer.ConnectFailed, nil, why)
		}
	case outcome.HostTurned:
		p.ended(t, balancer.TurnedAway, nil, why)
	case outcome.Unclaimed:
		if p.now > p.discovery.heardAt+coreGone || t.number > 0 || c.BackMs > 0 { // another proxy reaches no more of the control plane
			p.ended(t, balancer.Moot, nil, why)
		} else {
			p.ended(t, balancer.TurnedAway, nil, why)
		}
	case outcome.Expired:
		p.ended(t, balancer.Moot, nil, why)
	case outcome.Late:
		p.ended(t, balancer.TimedOut, nil, why)
	case outcome.Busy:
		p.final(t, Reply{Status: 409, FromProxy: true, RetryAfter: comeBack, Reason: "its key is at work"})
	case outcome.Kept:
		p.final(t, Reply{Status: int(c.Status), Fields: c.Fields, Body: c.Body, Reason: "its key's answer"})
	case outcome.Lost:
		p.final(t, Reply{Status: 502, FromProxy: true, Reason: "its key's run has no known end"})
	default:
		p.ended(t, balancer.Reset, nil, why)
	}
}

// leave takes a try off the books.
func (p *Sidecar) leave(t *try) bool {
	if !t.out {
		return false
	}
	t.out = false
	delete(p.tries, t.id)
	if w := p.peers[t.peer]; w != nil {
		if w.out--; w.out <= 0 {
			w.out = 0
		}
		if t.held {
			t.held = false
			w.held--
		}
		w.oldest = p.now
	}
	return true
}

// final ends a try, and with it the order, by something that says nothing of the host.
func (p *Sidecar) final(t *try, r Reply) {
	if !p.leave(t) {
		return
	}
	o := t.order
	p.tell(o, r)
	p.outcome(t, balancer.Cancelled, true)
	p.forget(o)
}

// ended takes the result of a try to the module, which says what follows.
func (p *Sidecar) ended(t *try, result balancer.Result, c *meshpb.Forwarded, why string) {
	if !p.leave(t) {
		return
	}
	o := t.order
	if p.o.Debug != nil {
		p.o.Debug("try ended", "id", o.ID, "try", t.number, "peer", t.peer, "result", result, "why", why, "took", p.now-t.sent)
	}
	final := o.told
	switch {
	case c == nil:
	case result == balancer.OK || !o.route.Repeatable():
		p.tell(o, p.hosts(o, c))
		final = true
	default:
		o.last = c
	}
	p.outcome(t, result, final)
	p.forget(o)
}

func (p *Sidecar) outcome(t *try, result balancer.Result, final bool) {
	if s := p.services[t.order.service]; s != nil {
		s.bal.Outcome(p.now, balancer.Outcome{ID: balancer.RequestID(t.order.id), Attempt: t.number, Host: t.host, Result: result,
			Took: p.now - t.sent, Final: final})
	}
}

// brokeTries ends the tries that went by a connection that is no more. What had not gone out has not run.
func (p *Sidecar) brokeTries(b transport.Broke) {
	for _, id := range b.Unsent {
		if t := p.tries[id]; t != nil && t.peer == b.Peer {
			p.endUnsent(t, "no connection to the proxy beside the host")
		}
	}
	p.endHeld(b.Peer, "no connection to the proxy beside the host")
	if b.Link == 0 {
		return
	}
	if w := p.peers[b.Peer]; w != nil {
		w.life = 0 // another process may have the address
	}
	for _, t := range p.triesAt(b.Peer) {
		if t.link != b.Link {
			continue
		}
		p.doubt(t, "the connection to the proxy beside the host broke")
	}
}

// endUnsent ends a try of which nothing has gone.
func (p *Sidecar) endUnsent(t *try, why string) {
	if t.spent {
		p.budget.Back(t.order.service)
	}
	p.ended(t, balancer.ConnectFailed, nil, why)
}

// doubt ends a try of which nothing will be heard. What may be sent again is. What has a key has not run, and never will, if no
// claim of its token was granted and none will be: the register says so. Of the rest it is not known.
func (p *Sidecar) doubt(t *try, why string) {
	o := t.order
	if !t.asked {
		p.count.PeerFailures++
		if s := p.services[o.service]; s != nil && s.hosts[t.host] != nil {
			p.saw(s.hosts[t.host].station, true)
		}
	}
	switch {
	case o.route.Repeatable():
		o.arrivals++ // it may have arrived
		p.ended(t, balancer.ConnectFailed, nil, why)
	case o.IdempotencyKey == "":
		o.arrivals++
		p.ended(t, balancer.Reset, nil, why)
	case !t.asked:
		t.asked = true
		p.admission.voidIfFree(o.IdempotencyKey, o.token, func(state uint32) {
			if state != register.Void {
				o.arrivals++
				p.ended(t, balancer.Reset, nil, why+"; its key was claimed")
				return
			}
			if t.out {
				o.token = p.random()
			}
			p.ended(t, balancer.ConnectFailed, nil, why+"; its key was free")
		})
	}
}

// triesAt are the tries that another proxy has in hand, the oldest first.
func (p *Sidecar) triesAt(source string) (all []*try) {
	for _, t := range p.tries {
		if t.peer == source {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
	return all
}

// watchPeers finds proxies that have gone silent with something of ours in hand: a machine behind a cut says nothing. What may
// be sent again is; what may not waits for its end.
func (p *Sidecar) watchPeers() {
	for _, source := range slices.Sorted(maps.Keys(p.peers)) { // in order: a seed replays
		w := p.peers[source]
		if w.out == 0 || source == p.o.Self {
			continue
		}
		quiet := p.now - max(w.heard, w.oldest)
		switch {
		case quiet < silentAsk:
		case w.asked < w.heard || w.asked < w.oldest:
			p.ping(source)
		case p.now-w.asked > min(silentMost, silentOver+silentSlow*p.pongs):
			p.endHeld(source, "the proxy beside the host is silent")
			for _, t := range p.triesAt(source) {
				if t.sent < w.asked {
					p.doubt(t, "the proxy beside the host is silent")
				}
			}
		}
	}
}
