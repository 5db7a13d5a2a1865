package proxy

import (
	"container/heap"
	"context"
	"net/http"

	"beechwing/balancer"
)

// The owner as balancer.Actions: what the module asks for.

// Send starts the next attempt of a request.
func (o *owner) Send(id balancer.RequestID, host balancer.HostID, timeout float64) {
	f := o.pending[id]
	if f == nil {
		return
	}
	now := o.clock.now()
	until := f.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{request: f.request, number: len(f.attempts), host: host, sent: now, tally: o.stats, post: o.post,
		within: seconds(timeout), zone: o.zoneObserver.zoneOf(host)}
	f.attempts = append(f.attempts, a)
	f.outstanding++
	up := o.hosts.find(host)
	switch {
	case f.answered, f.bound(), until <= now && f.request.up == nil, f.maxAttempts > 0 && a.number >= f.maxAttempts:
		o.localEvents = append(o.localEvents, outcome{attempt: a, result: balancer.Skipped})
	case up == nil:
		o.localEvents = append(o.localEvents, outcome{attempt: a, result: balancer.ConnectFailed})
	default:
		a.ctx, a.cancel = context.WithCancelCause(o.ctx)
		if f.request.up == nil {
			a.expire(o.clock.at(until))
		}
		go func() { o.post(a.run(up)) }()
	}
}

// Refuse answers that trying again is harmless.
func (o *owner) Refuse(id balancer.RequestID, coolDown float64) {
	o.give(id, answer{status: http.StatusServiceUnavailable, text: "refused\n", coolDown: coolDown})
}

// Fail answers that nothing is promised.
func (o *owner) Fail(id balancer.RequestID) {
	o.give(id, answer{status: http.StatusBadGateway, text: "failed\n"})
}

// give answers a request.
func (o *owner) give(id balancer.RequestID, a answer) {
	f := o.pending[id]
	if f == nil {
		return
	}
	o.complete(f, a)
	o.localEvents = append(o.localEvents, dropped{f})
}

// Cancel stops waiting for an attempt.
func (o *owner) Cancel(id balancer.RequestID, n int) {
	f := o.pending[id]
	if f == nil || n < 0 || n >= len(f.attempts) {
		return
	}
	f.attempts[n].callOff()
}

// Probe asks a host for its state.
func (o *owner) Probe(host balancer.HostID) {
	o.pendingProbes++
	p := probed{host: host, sent: o.clock.now(), result: balancer.ConnectFailed}
	up := o.hosts.find(host)
	if up == nil {
		o.localEvents = append(o.localEvents, p)
		return
	}
	go func() { o.post(p.run(o.ctx, up)) }()
}

// Timer asks for an event.
func (o *owner) Timer(after float64, token uint64) {
	heap.Push(&o.timers, timer{at: o.clock.now() + max(0, after), token: token})
}

// Watch asks for the list and its changes.
func (o *owner) Watch() { signal(o.discovery.watchRequests) }

// Fetch asks for the list once.
func (o *owner) Fetch() { signal(o.discovery.fetchRequests) }

// Broadcast would send a message to every peer. The protocol has none, and the module is told so in its Config.
func (o *owner) Broadcast([]byte) {}

// Log writes a line of the module's.
func (o *owner) Log(text string) { o.log.Info(text) }
