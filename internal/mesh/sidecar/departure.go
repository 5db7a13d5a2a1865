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

const whyLeft = "its client has left"

// ClientLeft takes word that the client of a request closed its connection before the answer.
func (p *Sidecar) ClientLeft(now float64, o *Request) {
	p.input(now)
	if o.told || p.orders[o.id] != o {
		return
	}
	place := leftWaiting
	if slices.ContainsFunc(o.tries, func(t *try) bool { return t.out }) {
		place = leftSent
	}
	o.left = true
	p.count.ClientsLeft[place]++
	if p.o.Debug != nil {
		p.o.Debug("client left", "id", o.ID, "place", place, "tries", len(o.tries), "service", o.service, "after", now-o.taken)
	}
	p.tell(o, Reply{FromProxy: true, Reason: whyLeft})
	if s := p.services[o.service]; s != nil {
		s.bal.Gone(now, balancer.RequestID(o.id)) // it has the tries that are out cancelled
	}
	p.forget(o)
	p.settle()
}

// Cancel has an attempt taken back, where its client has left. What else the module calls off is left to its end: a host is at work
// on it, and its answer is worth recording.
func (s *service) Cancel(id balancer.RequestID, attempt int) {
	p := s.p
	o := p.orders[uint64(id)]
	if o == nil || !o.left || attempt >= len(o.tries) {
		return
	}
	t := o.tries[attempt]
	switch {
	case !t.out:
	case t.held:
		p.later(func() {
			if t.held {
				p.endUnsent(t, whyLeft)
			}
		})
	default:
		p.send(t.peer, &meshpb.Message{Life: p.life, Cancel: &meshpb.Cancel{Forward: t.id}})
	}
}

// endLeft takes the end of a try whose client has left: it says nothing of its host. A key that was claimed for it in vain is given
// back.
func (p *Sidecar) endLeft(t *try, v outcome.Outcome) {
	o := t.order
	if o.claims && o.arrivals == 0 && v.NeverRan() {
		p.admission.settle(o.IdempotencyKey, &meshpb.Receipt{Token: o.token, State: register.Void})
	}
	p.ended(t, balancer.Cancelled, nil, whyLeft)
}

// cancel takes a request back whose client has left.
func (g *admission) cancel(from string, m *meshpb.Message) {
	j := g.find(from, m)
	place := cancelUnknown
	switch {
	case j == nil: // a large request may come after its cancellation: it is known then
		g.arrivals.admit(g.p.now, arrival{asker{from, m.Life}, m.Cancel.Forward})
	case !j.running:
		place = cancelWaiting
		g.queue = slices.DeleteFunc(g.queue, func(queued *job) bool { return queued == j })
		g.late.drop(func(queued *job) bool { return queued == j })
		j.claim.mayStand = j.claim.mayStand || len(j.claim.open) > 0
		g.turn(j, whyLeft, 1)
	case !j.carry.Repeatable || j.carry.Key != "":
		place = cancelFinishes
	default:
		place = cancelRunning
		g.p.out.Commands = append(g.p.out.Commands, Abort{Job: j.id})
		g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Cancelled), Why: whyLeft})
	}
	g.p.count.Cancelled[place]++
}

// find is the job of a request that its sender names.
func (g *admission) find(from string, m *meshpb.Message) *job {
	for _, j := range g.jobs {
		if j.from == from && j.message.Life == m.Life && j.message.Id == m.Cancel.Forward {
			return j
		}
	}
	return nil
}
