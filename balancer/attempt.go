package balancer

import "slices"

// shedEarly sheds the plan's refused share and, with some probability, work that is less valuable than other
// work that finds no capacity: otherwise chance would decide which of the two gets freed capacity.
func (b *Balancer) shedEarly(o *openRequest) bool {
	chance, highest := b.planRefused, o.valueDensity
	if b.cfg.ServerSideLimits { // the hosts enforce their own limits
		return b.random() < chance
	}
	for c := range b.cfg.Classes {
		if density := b.valueDensity(c); density > o.valueDensity {
			chance, highest = max(chance, shedFactor*b.shedShare[c]), max(highest, density)
		}
	}
	if b.lowTraffic && !b.byLatency && b.meanLoad[0] > highLoad { // else only some hosts are overloaded
		chance = max(chance, max(1-b.meanAdmit, b.lateShare)*(1-o.valueDensity/highest))
	}
	if o.Repeat && o.class.LateWorth <= 0 { // its aim counts from an earlier try and may be over
		chance = max(chance, repeatShedFactor*b.lateShare)
	}
	return b.random() < chance
}

// enqueue queues a request until a host has capacity, if at the recent rate of answered work the queue ahead
// of it should drain within its wait. If not, it is shed at once, so work of low value density is shed first.
func (b *Balancer) enqueue(o *openRequest) {
	maxWait := min(maxQueueShare*o.class.Aim, o.deadline-b.now)
	workAhead, at := 0.0, 0
	for ; at < len(b.queue) && b.queue[at].valueDensity >= o.valueDensity; at++ {
		workAhead += b.queue[at].work
	}
	if b.workSpan > 0 && workAhead+o.work > b.workDone/b.workSpan*maxWait {
		b.shed(o)
		return
	}
	b.queue = slices.Insert(b.queue, at, o)
	b.actions.Timer(maxWait, timerQueue<<kindShift|uint64(o.ID))
}

// sendQueued sends the queued requests for which a host has capacity, in queue order.
func (b *Balancer) sendQueued() {
	for _, o := range slices.Clone(b.queue) {
		if h := b.pick(o, nil); h != nil {
			b.dequeue(o)
			b.send(o, h)
		}
	}
}

func (b *Balancer) shed(o *openRequest) {
	updateMean(&b.shedShare[o.Class], 1)
	b.logLimited("shedding, %d held, shed shares by class %.2f", len(b.queue), b.shedShare)
	b.refuseOrFail(o)
}

// retryPolicy alone decides whether a request may be sent, also again, and whether it may be refused. A keyed
// request must stay in the group of first, the host of the first attempt that may have run; nil: any host.
func (b *Balancer) retryPolicy(o *openRequest) (send bool, first *host, refuse bool) {
	n := len(o.attempts)
	spent := n >= maxTokenAttempts || o.maxAttempts > 0 && n >= o.maxAttempts
	send = !spent && !o.done && !o.streaming && b.now < o.deadline && (o.pending == 0 || b.cfg.SecondCopies)
	refuse = true
	for i := range o.attempts {
		a := &o.attempts[i]
		if a.neverRan || o.class.Effect == Safe {
			continue
		}
		if o.class.Effect == Unsafe {
			return false, nil, false
		}
		if first == nil { // the first attempt that may have run starts the window
			first = a.host
			send = send && b.now < a.sentAt+o.class.Window
			refuse = o.class.Group == GroupAll
		}
	}
	return send, first, refuse
}

// inGroup reports whether h deduplicates requests that host first may have run.
func inGroup(g Group, first, h *host) bool {
	return first == nil || g == GroupAll || g == GroupZone && first.Zone == h.Zone ||
		g == GroupCell && first.Cell == h.Cell
}

// dispatch sends a request to the picked host, queues it, or ends it at once if it may not be sent. A request
// that arrives with no time left still gets an answer.
func (b *Balancer) dispatch(o *openRequest) {
	send, first, _ := b.retryPolicy(o)
	if !send {
		b.refuseOrFail(o)
		return
	}
	switch h := b.pick(o, first); {
	case h != nil:
		b.send(o, h)
	case len(o.attempts) > 0: // no untried host has capacity; in the queue it would block others
		b.refuseOrFail(o)
	default:
		b.enqueue(o)
	}
}

// refuseOrFail ends a request without an answer from a host: refused if a repeat is known to be harmless.
func (b *Balancer) refuseOrFail(o *openRequest) {
	if o.done {
		return
	}
	if _, _, refuse := b.retryPolicy(o); refuse {
		b.actions.Refuse(o.ID, b.cfg.MaxCoolDown*b.shedShare[o.Class])
	} else {
		b.actions.Fail(o.ID)
	}
	b.finish(o)
}

// finish closes a request that has its final answer and cancels its pending attempts.
func (b *Balancer) finish(o *openRequest) {
	o.done = true
	b.dequeue(o)
	if !o.streaming {
		b.cancelPending(o, -1)
	}
	b.forget(o)
}

func (b *Balancer) cancelPending(o *openRequest, except int) {
	for i := range o.attempts {
		if i != except && o.attempts[i].pending && b.cfg.Cancelling {
			b.actions.Cancel(o.ID, i)
		}
	}
}

// send starts an attempt. Where a late answer is worth nothing, the attempt times out when the aim ends.
func (b *Balancer) send(o *openRequest, h *host) {
	timeout := 0.0
	if o.class.LateWorth <= 0 && o.aimAt < o.deadline { // if the body still arrives: from its last byte
		timeout = max(o.aimAt-b.now, 0.001)
	}
	if len(o.attempts) == 0 {
		updateMean(&b.shedShare[o.Class], 0)
	}
	a := attempt{host: h, sentAt: b.now, pending: true, slot: 1}
	if o.BodyPending {
		a.slot = 0
	}
	o.attempts = append(o.attempts, a)
	o.pending++
	h.inflight += a.slot
	b.actions.Send(o.ID, h.ID, timeout)
	if !o.BodyPending {
		b.startLateTimer(o, len(o.attempts)-1)
	}
}

// startLateTimer sets the timer after which a pending attempt counts as late.
func (b *Balancer) startLateTimer(o *openRequest, n int) {
	b.actions.Timer(lateMarkShare*o.class.Aim, timerLate<<kindShift|uint64(n)<<attemptShift|uint64(o.ID))
}

// worthRetry reports whether a retry could still be worth anything. While it could, attempts that reached no
// host are always retried. Other failures get one retry, so that they cannot multiply the load.
func (b *Balancer) worthRetry(o *openRequest, r Result) bool {
	worthless := r == TimedOut || r == Skipped || b.now >= o.aimAt && o.class.LateWorth <= 0
	atNoHost := r == ConnectFailed || r == Rejected && b.cfg.ServerSideLimits // it reached no host
	return !worthless && (atNoHost || len(o.attempts) < maxTries)
}

// worthMoving reports whether to cancel a late attempt and try another host while there is time for that. It
// guards against hosts that leave requests unanswered.
func (b *Balancer) worthMoving(o *openRequest) bool {
	return b.cfg.Cancelling && !o.done && o.class.Effect == Safe && o.class.LateWorth <= 0 &&
		len(o.attempts) < maxTries && b.lateWeight() > 0
}
