package sidecar

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

const (
	spareSlots        = 0     // slots beyond the host's own number; a spare slot would keep the host busy between two requests
	defaultSlots      = 4     // for a host that has not reported its own number
	maxJobs           = 4096  // requests in progress or waiting here
	meanRunStep       = 0.05  // weight of one run in the mean run time
	initialRunSeconds = 0.03  // seconds; mean run time before any run was measured
	minWait           = 0.01  // seconds that any request may wait for a slot
	runTimeFactor     = 1.8   // multiple of the class's mean run time: the expected length of a run, with a margin
	replyTransit      = 0.015 // seconds reserved for sending the response back
	minRetryWindow    = 0.25  // seconds; a client with less time left can hardly retry
	lastTryWaitShare  = 0.5   // share of its time left that a request with less than minRetryWindow left may wait
	maxClasses        = 256
	largeBody         = 16 << 10 // bytes; larger responses wait for the machine's network link
	lateQueueShare    = 0.5      // share of the slots; at least so many late requests may wait, however few were served lately
	lateSlotShare     = 0.5      // share of the slots; while that many are in use, late requests get none
	firstAttemptWait  = 0.8      // share of the mean run time that a first attempt may wait
	hostDeadlineGrace = 0.15     // seconds after the deadline in which the host may still send its own response
	drainGrace        = 1.0      // seconds after the host began to drain in which requests that waited here may still go to it
)

// admission decides which requests reach the host, and when. All requests to the host pass here. So admission knows for
// certain which host instance has the address, that nothing goes to a draining host, how many requests the host has in
// progress, and what has been sent to it.
type admission struct {
	sidecar            *Sidecar
	jobs               map[uint64]*job
	seen               seenRequests
	keys               keyRPCs
	queue              []*job    // waiting for a slot and still in time for the soft deadline
	lateQueue          lateQueue // too late for their soft deadline; served when no request in time waits
	slotsInUse         int
	fillingSlots       bool
	meanRunSeconds     float64            // of all requests
	classRunSeconds    map[uint32]float64 // mean run time, by class
	classBodyBytes     map[uint32]float64 // mean size of the response's body, by class
	linkBacklog        float64            // seconds that a large response waits for this machine's link
	linkSecondsPerByte float64            // seconds that the link takes for a byte
	tickedAt           float64
}

// job is a request for the host here, from another sidecar or from this one.
type job struct {
	id           uint64
	from         string
	message      *meshpb.Message // the message with the request
	forward      *meshpb.Forward
	arrivedAt    float64
	deadline     float64
	softDeadline float64 // after this time the response is worth less
	claim        claim
	hasSlot      bool    // it occupies a slot of the host
	late         bool    // it cannot be answered by its soft deadline any more
	startedAt    float64 // when it went to the host, by pauses.runSeconds
	finished     bool
}

func (adm *admission) init(p *Sidecar) {
	adm.sidecar, adm.meanRunSeconds = p, initialRunSeconds
	adm.classRunSeconds, adm.classBodyBytes = map[uint32]float64{}, map[uint32]float64{}
	adm.seen = newSeenRequests()
	adm.jobs = map[uint64]*job{}
	adm.keys.init()
}

func (adm *admission) slots() int {
	if n := int(adm.sidecar.discovery.own.Berths); n > 0 {
		return n + spareSlots
	}
	return defaultSlots + spareSlots
}

// receiveForward takes a request for the host. A request that has arrived before, or may have, is dropped without a
// response: its sender would take a rejection as the promise that the request does not run, while the first copy may be
// running.
func (adm *admission) receiveForward(from string, m *meshpb.Message) {
	if why := adm.seen.admit(adm.sidecar.now, messageID{senderProcess{from, m.Life}, m.Id}); why != "" {
		adm.sidecar.drop(from, m, why)
		return
	}
	if incarnation := m.Forward.GateLife; incarnation != 0 && incarnation != adm.sidecar.incarnation {
		// The request was sent to the former process at this address, which may have run it.
		adm.sidecar.drop(from, m, dropFormerProcess)
		broken := &meshpb.Forwarded{Verdict: uint32(outcome.Broken), Why: "it was for the process before this one"}
		adm.sidecar.respond(from, m, &meshpb.Message{Forwarded: broken})
		return
	}
	adm.admit(from, m)
}

// admit takes a request that arrives for the first time.
func (adm *admission) admit(from string, m *meshpb.Message) {
	p, forward := adm.sidecar, m.Forward
	sentAt := p.now
	if from != p.opts.Self {
		sentAt -= p.pauses.maxAge(p.now)
	}
	j := &job{id: p.nextID(), from: from, message: m, forward: forward, arrivedAt: p.now,
		deadline: sentAt + float64(forward.LeftUs)/1e6, softDeadline: sentAt + float64(forward.AimUs)/1e6}
	switch own := p.discovery.own; {
	case own.Station == "" || own.Station != forward.Station:
		adm.reject(j, "another host is here", 0)
		return
	case own.Condition != Serving:
		adm.reject(j, "the host leaves", 0)
		return
	case p.mayOutlast(j.deadline):
		adm.reject(j, reasonStopping, 0)
		return
	case !adm.holdsKey(forward):
		adm.reject(j, reasonKeyNotHeld, keyNotHeldRetryAfterMs)
		return
	case sentAt < p.now && j.deadline <= p.now: // the sender may have given it up; a request that is sent anew can go elsewhere
		adm.reject(j, "this process was stopped for longer than its time", 1)
		return
	case len(adm.jobs) >= maxJobs || p.bodyBytes+len(forward.Body) > p.opts.MaxBodyBytes:
		adm.reject(j, "too much is under way here", 1)
		return
	}
	linkWait, maxWait := adm.linkDelay(forward.Class), adm.maxWait(j)
	if linkWait > maxWait {
		// A response that is late in the link delays all those behind it, so no late requests are queued for a full link.
		adm.reject(j, "the link is full", uint32(linkWait*1000)+1)
		return
	}
	if adm.slotsInUse >= adm.slots() {
		if forward.Attempt == 0 { // another host may have room; a request that was rejected once may wait longer
			maxWait = min(maxWait, firstAttemptWait*adm.meanRunSeconds)
		}
		if wait := linkWait + adm.slotWait(j); wait > maxWait || adm.pastSoftDeadline(j) {
			if forward.Attempt == 0 || !adm.lateQueueHasRoom(j) {
				adm.reject(j, "no berth in time", uint32(wait*1000)+1)
				return
			}
			j.late = true
		}
	}
	p.bodyBytes += len(forward.Body)
	adm.jobs[j.id] = j
	if forward.Key != "" { // the claim is made while the request waits and occupies no slot
		adm.beginClaim(j)
		return
	}
	adm.enqueue(j)
}

// enqueue queues a request that may go to the host.
func (adm *admission) enqueue(j *job) {
	if j.late {
		adm.lateQueue.add(j)
		adm.fillSlots()
		return
	}
	at, _ := slices.BinarySearchFunc(adm.queue, j, compareJobs)
	adm.queue = slices.Insert(adm.queue, at, j)
	adm.fillSlots()
}

// maxWait returns how long a request may wait here: until its response could just be in time for the soft deadline. A
// request with little time left, such as a call made by a run at another host, has no time for a retry and may wait
// longer.
func (adm *admission) maxWait(j *job) float64 {
	left := j.deadline - adm.sidecar.now
	maxWait := max(minWait, j.softDeadline-adm.sidecar.now-runTimeFactor*adm.classRunSeconds[j.forward.Class]-replyTransit)
	if left < minRetryWindow {
		maxWait = max(maxWait, lastTryWaitShare*left)
	}
	return maxWait
}

// compareJobs orders the queue by soft deadline. Calls made by a run at another host, which occupies a slot there, have
// short soft deadlines and so come before requests for which only a client waits.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.forward.Precedence, b.forward.Precedence),
		cmp.Compare(a.id, b.id))
}

// slotWait returns how long a request would wait for a slot behind those ahead of it.
func (adm *admission) slotWait(j *job) float64 {
	at, _ := slices.BinarySearchFunc(adm.queue, j, compareJobs)
	return float64(at+1) * adm.meanRunSeconds / float64(adm.slots())
}

// fillSlots gives free slots to waiting requests.
func (adm *admission) fillSlots() {
	if adm.fillingSlots { // a rejection below calls fillSlots again
		return
	}
	adm.fillingSlots = true
	defer func() { adm.fillingSlots = false }()
	for adm.slotsInUse < adm.slots() {
		j := adm.nextJob()
		if j == nil {
			return
		}
		own := adm.sidecar.discovery.own
		switch {
		case j.deadline <= adm.sidecar.now:
			adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
		case own.Station != j.forward.Station || own.Condition == Gone:
			adm.reject(j, "the host has gone", 0)
		case own.Condition != Serving && adm.sidecar.now > adm.sidecar.discovery.conditionChangedAt+drainGrace:
			adm.reject(j, "the host leaves", 0)
		case !adm.holdsKey(j.forward):
			adm.reject(j, reasonKeyNotHeld, keyNotHeldRetryAfterMs)
		case j.late && !adm.canFinish(j):
			adm.reject(j, "no berth before its deadline", 1)
		default:
			j.hasSlot = true
			adm.slotsInUse++
			adm.start(j)
		}
	}
}

// nextJob takes the request that gets the next slot out of its queue.
func (adm *admission) nextJob() *job {
	for len(adm.queue) > 0 {
		j := adm.queue[0]
		adm.queue = adm.queue[1:]
		if !adm.demoteIfLate(j) {
			return j
		}
	}
	if float64(adm.slotsInUse) >= float64(adm.slots())*lateSlotShare { // urgent requests may arrive next
		return nil
	}
	j := adm.lateQueue.take()
	if j != nil {
		adm.lateQueue.noteServed(adm.sidecar.now)
	}
	return j
}

// demoteIfLate moves a request that has waited past its soft deadline behind all that are in time, or rejects it. It
// reports whether it did. A request with little time left, such as a call made by a run at another host, keeps its
// place.
//
// While the host is idle, the request keeps its place in any case: only a run can show that a slow host has recovered.
func (adm *admission) demoteIfLate(j *job) bool {
	if !adm.pastSoftDeadline(j) || adm.slotsInUse == 0 {
		return false
	}
	j.late = true
	if adm.lateQueueHasRoom(j) {
		adm.lateQueue.add(j)
	} else {
		adm.reject(j, "no berth in time", 1)
	}
	return true
}

// pastSoftDeadline reports whether a run that begins now would end after the soft deadline, and the client has enough
// time left to retry.
func (adm *admission) pastSoftDeadline(j *job) bool {
	return adm.sidecar.now+adm.classRunSeconds[j.forward.Class] >= j.softDeadline && j.deadline-adm.sidecar.now >= minRetryWindow
}

// canFinish reports whether a run that begins now is expected to end before the deadline.
func (adm *admission) canFinish(j *job) bool {
	return adm.sidecar.now+runTimeFactor*adm.classRunSeconds[j.forward.Class]+replyTransit < j.deadline
}

// linkDelay returns how long a response of a class is expected to wait for this machine's link.
func (adm *admission) linkDelay(class uint32) float64 {
	if adm.classBodyBytes[class] < largeBody {
		return 0
	}
	wait := adm.linkBacklog
	for _, j := range adm.jobs { // their responses go before this one
		if bytes := adm.classBodyBytes[j.forward.Class]; bytes >= largeBody {
			wait += bytes * adm.linkSecondsPerByte
		}
	}
	return wait
}

// lateQueueHasRoom reports whether a request that is too late for its soft deadline may wait here. As many may wait as
// would be served, at the recent rate for late requests, in the time that this one has left. However low that rate is,
// lateQueueShare of the slots may wait.
func (adm *admission) lateQueueHasRoom(j *job) bool {
	spareSeconds := j.deadline - adm.sidecar.now - runTimeFactor*adm.classRunSeconds[j.forward.Class] - replyTransit -
		adm.linkDelay(j.forward.Class)
	return spareSeconds > 0 &&
		float64(len(adm.lateQueue.jobs)) < max(float64(adm.slots())*lateQueueShare, adm.lateQueue.rate(adm.sidecar.now)*spareSeconds)
}

func (adm *admission) start(j *job) {
	j.startedAt = adm.sidecar.pauses.runSeconds
	adm.sidecar.counts.Runs++
	if j.late {
		adm.sidecar.counts.LateRuns++
	}
	forward := j.forward
	forward.LeftUs = uint32(max(0, j.deadline-adm.sidecar.now) * 1e6)
	adm.sidecar.output.Commands = append(adm.sidecar.output.Commands,
		Exchange{Job: j.id, Forward: forward, Deadline: j.deadline + hostDeadlineGrace})
}

// reject ends a request of which no byte went to the host. The reason why is the value of a metric label. backMs is 0 if
// the host is gone or leaves. It is greater if the host stays but cannot take the request now, for instance because it is
// full.
func (adm *admission) reject(j *job, why string, backMs uint32) {
	adm.sidecar.counts.Rejected[why]++
	adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.TurnedAway), Why: why, BackMs: backMs})
}

// rejectBeforeRun rejects a request that waits for its claim or for a slot.
func (adm *admission) rejectBeforeRun(j *job, why string, backMs uint32) {
	adm.queue = slices.DeleteFunc(adm.queue, func(queued *job) bool { return queued == j })
	adm.lateQueue.removeIf(func(queued *job) bool { return queued == j })
	j.claim.mayBeHeld = j.claim.mayBeHeld || len(j.claim.outstanding) > 0
	adm.reject(j, why, backMs)
}

// finish ends a job and sends its outcome to the sidecar that sent the request.
func (adm *admission) finish(j *job, forwarded *meshpb.Forwarded) {
	if j.finished {
		return
	}
	j.finished = true
	if _, here := adm.jobs[j.id]; here {
		delete(adm.jobs, j.id)
		adm.sidecar.bodyBytes -= len(j.forward.Body)
	}
	adm.keys.closeClaim(j)
	if j.hasSlot {
		j.hasSlot = false
		adm.slotsInUse--
	}
	forwarded.Claimed = j.claim.mayBeHeld
	adm.sidecar.respond(j.from, j.message, &meshpb.Message{Forwarded: forwarded})
	adm.fillSlots()
}

// ExchangeDone handles the end of an Exchange.
func (p *Sidecar) ExchangeDone(now float64, id uint64, forwarded *meshpb.Forwarded) {
	p.beginInput(now)
	p.admission.exchangeDone(id, forwarded)
	p.runPending()
}

func (adm *admission) exchangeDone(id uint64, forwarded *meshpb.Forwarded) {
	j := adm.jobs[id]
	if j == nil {
		return
	}
	verdict := outcome.Outcome(forwarded.Verdict)
	took := adm.sidecar.pauses.runSeconds - j.startedAt // a pause of this process must not make the host look slow
	adm.sidecar.recordOutcome(j.forward.Station, forwarded)
	if forwarded.Refused {
		adm.sidecar.lease.recheckHost()
	}
	forwarded.TookUs = uint32(min(took, 1000) * 1e6)
	if verdict == outcome.Answered {
		adm.meanRunSeconds += meanRunStep * (took - adm.meanRunSeconds)
		if was, known := adm.classRunSeconds[j.forward.Class]; known {
			adm.classRunSeconds[j.forward.Class] += meanRunStep * (took - was)
			adm.classBodyBytes[j.forward.Class] += meanRunStep * (float64(len(forwarded.Body)) - adm.classBodyBytes[j.forward.Class])
		} else if len(adm.classRunSeconds) < maxClasses {
			adm.classRunSeconds[j.forward.Class], adm.classBodyBytes[j.forward.Class] = took, float64(len(forwarded.Body))
		}
	}
	if j.forward.Key != "" {
		switch verdict {
		case outcome.Answered:
			adm.recordAnswer(j, forwarded)
		case outcome.Broken, outcome.Late:
			adm.settle(j.forward.Key, &meshpb.Receipt{Token: j.forward.Token, State: register.Lost, Attempt: j.forward.Attempt})
		}
	}
	adm.finish(j, forwarded)
}

func (adm *admission) tick() {
	if adm.sidecar.now < adm.tickedAt+0.02 {
		return
	}
	adm.tickedAt = adm.sidecar.now
	adm.tickKeys()
	for len(adm.queue) > 0 {
		late := slices.IndexFunc(adm.queue, func(j *job) bool { return j.deadline <= adm.sidecar.now })
		if late < 0 {
			break
		}
		j := adm.queue[late]
		adm.queue = slices.Delete(adm.queue, late, late+1)
		adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
	}
	// A late request does not wait any longer once its run could not end before the deadline.
	for _, j := range adm.lateQueue.removeIf(func(j *job) bool { return !adm.canFinish(j) }) {
		adm.reject(j, "no berth before its deadline", 1)
	}
	adm.fillSlots()
}
