package balancer

import "slices"

// givesWay refuses cheaper work by chance while dearer finds no room, and would get what is free by chance.
func (b *Balancer) givesWay(o *op) bool {
	chance, dearest := b.refused, o.density
	if b.cfg.ServerSideLimits { // the gates say what there is room for
		return b.random() < chance
	}
	for c := range b.cfg.Classes {
		if d := b.density(c); d > o.density {
			chance, dearest = max(chance, giveWay*b.strain[c]), max(dearest, d)
		}
	}
	if b.thin && !b.alone && b.load[0] > loadedAbove { // else only some hosts are crowded
		chance = max(chance, max(1-b.admit, b.late)*(1-o.density/dearest))
	}
	if o.Repeat && o.class.LateWorth <= 0 { // its time began with an earlier try, and may be over
		chance = max(chance, repeatsGiveWay*b.late)
	}
	return b.random() < chance
}

// hold keeps a request until a host has room, if what is held before it should be gone by then, judged by
// the work lately answered. Otherwise it is refused at once (load shedding); worth least goes first.
func (b *Balancer) hold(o *op) {
	patience := min(holdShare*o.class.Aim, o.deadline-b.now)
	before, at := 0.0, 0
	for ; at < len(b.held) && b.held[at].density >= o.density; at++ {
		before += b.held[at].work
	}
	if b.span > 0 && before+o.work > b.flow/b.span*patience {
		b.shed(o)
		return
	}
	b.held = slices.Insert(b.held, at, o)
	b.act.Timer(patience, timerHold<<tokenKind|uint64(o.ID))
}

// release sends held requests that have room somewhere, the dearest first.
func (b *Balancer) release() {
	for _, o := range slices.Clone(b.held) {
		if h := b.pick(o, nil); h != nil {
			b.unhold(o)
			b.send(o, h)
		}
	}
}

// shed refuses a request that found no room.
func (b *Balancer) shed(o *op) {
	drift(&b.strain[o.Class], 1)
	b.say("shedding, %d held, without room by class %.2f", len(b.held), b.strain)
	b.settle(o)
}

// permit is the one place that says whether a request may be sent again, where, and whether it may be
// refused. anchor is a host of the group inside which a keyed request has to stay; nil: anywhere.
func (b *Balancer) permit(o *op) (send bool, anchor *host, refuse bool) {
	n := len(o.attempts)
	spent := n >= mostAttempts || o.most > 0 && n >= o.most
	send = !spent && !o.done && !o.begun && b.now < o.deadline && (o.out == 0 || b.cfg.SecondCopies)
	refuse = true
	for i := range o.attempts {
		a := &o.attempts[i]
		if a.neverRan || o.class.Effect == Safe {
			continue
		}
		if o.class.Effect == Unsafe {
			return false, nil, false
		}
		if anchor == nil { // the first that may have run opens the window
			anchor = a.h
			send = send && b.now < a.at+o.class.Window
			refuse = o.class.Group == GroupAll
		}
	}
	return send, anchor, refuse
}

// inGroup reports whether h drops repeats of what anchor may have run.
func inGroup(g Group, anchor, h *host) bool {
	return anchor == nil || g == GroupAll || g == GroupZone && anchor.Zone == h.Zone ||
		g == GroupCell && anchor.Cell == h.Cell
}

// dispatch sends a request to the picked host, or ends it at once if it may not go anywhere: a try may come
// with no time left, and still is owed an answer.
func (b *Balancer) dispatch(o *op) {
	send, anchor, _ := b.permit(o)
	if !send {
		b.settle(o)
		return
	}
	switch h := b.pick(o, anchor); {
	case h != nil:
		b.send(o, h)
	case len(o.attempts) > 0: // no untried host has room; held, it would stand in the way of others
		b.settle(o)
	default:
		b.hold(o)
	}
}

// settle gives the final answer of a request that was not served: refused where that is a true promise.
func (b *Balancer) settle(o *op) {
	if o.done {
		return
	}
	if _, _, refuse := b.permit(o); refuse {
		b.act.Refuse(o.ID, b.cfg.MaxCoolDown*b.strain[o.Class])
	} else {
		b.act.Fail(o.ID)
	}
	b.finish(o)
}

// finish drops a request that has its answer and calls off what is still out.
func (b *Balancer) finish(o *op) {
	o.done = true
	b.unhold(o)
	if !o.begun {
		b.callOff(o, -1)
	}
	b.drop(o)
}

// callOff cancels what is out of a request, except for one attempt.
func (b *Balancer) callOff(o *op, but int) {
	for i := range o.attempts {
		if i != but && o.attempts[i].out && b.cfg.Cancelling {
			b.act.Cancel(o.ID, i)
		}
	}
}

// send starts an attempt. An answer that would come too late to be worth anything is not waited for.
func (b *Balancer) send(o *op, h *host) {
	timeout := 0.0
	if o.class.LateWorth <= 0 && o.aimAt < o.deadline { // for what is coming, counted from its last byte
		timeout = max(o.aimAt-b.now, 0.001)
	}
	if len(o.attempts) == 0 {
		drift(&b.strain[o.Class], 0)
	}
	a := attempt{h: h, at: b.now, out: true, place: 1}
	if o.BodyPending {
		a.place = 0
	}
	o.attempts = append(o.attempts, a)
	o.out++
	h.inflight += a.place
	b.act.Send(o.ID, h.ID, timeout)
	if !o.BodyPending {
		b.timeMark(o, len(o.attempts)-1)
	}
}

// timeMark asks for word when an attempt counts as late.
func (b *Balancer) timeMark(o *op, n int) {
	b.act.Timer(markShare*o.class.Aim, timerMark<<tokenKind|uint64(n)<<tokenAttempt|uint64(o.ID))
}

// worthAnother says whether a further attempt could still earn anything. What never reached a host costs
// nothing to send again; other failures are followed by one attempt, so that they cannot multiply the load.
func (b *Balancer) worthAnother(o *op, r Result) bool {
	worthless := r == TimedOut || r == Skipped || b.now >= o.aimAt && o.class.LateWorth <= 0
	free := r == ConnectFailed || r == Rejected && b.cfg.ServerSideLimits // it was at no host
	return !worthless && (free || len(o.attempts) < mostTries)
}

// leaves says whether a request had better go elsewhere than wait on past its mark: it may, and its time for
// that would soon be over. Guards against hosts that leave requests unanswered.
func (b *Balancer) leaves(o *op) bool {
	return b.cfg.Cancelling && !o.done && o.class.Effect == Safe && o.class.LateWorth <= 0 &&
		len(o.attempts) < mostTries && b.lateWeight() > 0
}
