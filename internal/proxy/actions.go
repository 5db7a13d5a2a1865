package proxy

import (
	"container/heap"
	"context"
	"net/http"

	"beechwing/balancer"
)

// The methods below implement balancer.Actions for the owner: they carry out what the balancer decides.

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
	a := &attempt{request: f.request, number: len(f.attempts), host: host, sentAt: now, tally: o.stats, post: o.post,
		timeout: seconds(timeout), zone: o.zoneObserver.zoneOf(host)}
	f.attempts = append(f.attempts, a)
	f.outstanding++
	up := o.hosts.find(host)
	switch {
	case f.answered, f.bodyBound(), until <= now && f.request.upload == nil, f.maxAttempts > 0 && a.number >= f.maxAttempts:
		o.localEvents = append(o.localEvents, attemptEnded{attempt: a, result: balancer.Skipped})
	case up == nil:
		o.localEvents = append(o.localEvents, attemptEnded{attempt: a, result: balancer.ConnectFailed})
	default:
		a.ctx, a.cancel = context.WithCancelCause(o.ctx)
		if f.request.upload == nil {
			a.setDeadline(o.clock.at(until))
		}
		go func() { o.post(a.run(up)) }()
	}
}

// Refuse answers a request with 503: it is safe to repeat the request.
func (o *owner) Refuse(id balancer.RequestID, coolDown float64) {
	o.respondTo(id, clientResponse{status: http.StatusServiceUnavailable, text: "refused\n", retryAfterSeconds: coolDown})
}

// Fail answers a request with 502, which promises nothing: the request may have run.
func (o *owner) Fail(id balancer.RequestID) {
	o.respondTo(id, clientResponse{status: http.StatusBadGateway, text: "failed\n"})
}

// respondTo gives a request its final response.
func (o *owner) respondTo(id balancer.RequestID, a clientResponse) {
	f := o.pending[id]
	if f == nil {
		return
	}
	o.complete(f, a)
	o.localEvents = append(o.localEvents, dropCheck{f})
}

// Cancel aborts an attempt.
func (o *owner) Cancel(id balancer.RequestID, n int) {
	f := o.pending[id]
	if f == nil || n < 0 || n >= len(f.attempts) {
		return
	}
	f.attempts[n].abort()
}

// Probe asks a host for its state.
func (o *owner) Probe(host balancer.HostID) {
	o.pendingProbes++
	p := probeEnded{host: host, sentAt: o.clock.now(), result: balancer.ConnectFailed}
	up := o.hosts.find(host)
	if up == nil {
		o.localEvents = append(o.localEvents, p)
		return
	}
	go func() { o.post(p.run(o.ctx, up)) }()
}

// Timer schedules a timer event for the balancer.
func (o *owner) Timer(after float64, token uint64) {
	heap.Push(&o.timers, timer{at: o.clock.now() + max(0, after), token: token})
}

// Watch subscribes to the host list and its changes.
func (o *owner) Watch() { signal(o.discovery.watchRequests) }

// Fetch requests the host list once.
func (o *owner) Fetch() { signal(o.discovery.fetchRequests) }

// Broadcast does nothing: the protocol has no messages between balancers, and Config.PeerMessages tells the balancer
// so.
func (o *owner) Broadcast([]byte) {}

// Log writes a log line of the balancer.
func (o *owner) Log(text string) { o.log.Info(text) }
