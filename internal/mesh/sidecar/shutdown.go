package sidecar

import (
	"maps"
	"slices"

	"beechwing/balancer"
)

// This file ends a sidecar gracefully. A request that has begun when the process ends is lost: its host may have run it,
// and its client gets no response. So what could still be at work then is refused before it goes to a host.

const (
	// fullServicePeriod is the time in seconds after the start of the shutdown in which requests are served whatever time they
	// have, as their clients have not left yet. It covers the platform's readiness probes.
	fullServicePeriod = 3.0
	reasonStopping    = "this proxy is stopping"
)

// shutdown is the state of a graceful shutdown. Its zero value means that there is none.
type shutdown struct {
	begun       bool
	fullService float64 // until this time requests are served whatever time they have
	stopAt      float64 // when the process stops serving
	stopped     bool    // nothing new is begun
}

// BeginShutdown begins the graceful shutdown. Ready turns false at once, so that clients go elsewhere, and notice is
// the number of seconds after which they have done so. Other processes learn of the shutdown only shortly before that
// time, because until then they can still use the host. Requests that arrive nevertheless are served for
// fullServicePeriod, and after that if their time ends before the process stops serving, after left seconds.
func (p *Sidecar) BeginShutdown(now, notice, left float64) {
	p.beginInput(now)
	p.shutdown = shutdown{begun: true, fullService: now + min(fullServicePeriod, left/2), stopAt: now + left}
	p.discovery.announceLeavingAt = now + max(0, notice-leaveNotice)
	p.runPending()
}

// mayOutlast reports whether a request with the given deadline might still be at work when this process ends.
func (p *Sidecar) mayOutlast(deadline float64) bool {
	s := &p.shutdown
	return s.stopped || s.begun && p.now > s.fullService && deadline > s.stopAt
}

// StopServing refuses everything that has not begun, here and from now on. What has begun goes on.
func (p *Sidecar) StopServing(now float64) {
	p.beginInput(now)
	p.shutdown.begun, p.shutdown.stopped = true, true
	p.admission.rejectWaiting()
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		p.refuseWaiting(p.requests[id])
	}
	p.runPending()
}

// refuseWaiting refuses a client's request that was not sent to any host, or came back from there without having run.
func (p *Sidecar) refuseWaiting(req *Request) {
	for _, a := range req.attempts {
		if a.held {
			p.endUnsent(a, reasonStopping)
		}
	}
	s := p.services[req.service]
	sent := slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.inFlight })
	if s == nil || sent || req.answered || req.arrivals > 0 {
		return
	}
	id := balancer.RequestID(req.id)
	s.Refuse(id, maxRetryAfter)
	s.balancer.ClientLeft(p.now, id)
}

// rejectWaiting rejects the requests for the host here that it has not begun.
func (adm *admission) rejectWaiting() {
	for _, id := range slices.Sorted(maps.Keys(adm.jobs)) {
		if j := adm.jobs[id]; j != nil && !j.hasSlot {
			adm.rejectBeforeRun(j, reasonStopping, 0)
		}
	}
}

// Idle reports whether nothing is in progress. A run's outcome that no control server has acknowledged yet is in
// progress too: if it were lost with this process, the run's idempotency key would stay without its recorded answer.
func (p *Sidecar) Idle() bool {
	return len(p.requests) == 0 && len(p.admission.jobs) == 0 && len(p.admission.keys.settles) == 0 && len(p.unrecorded) == 0
}
