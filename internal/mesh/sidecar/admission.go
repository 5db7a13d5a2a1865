package sidecar

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

const (
	spareSlots        = 0     // beyond a host's own, so that none of them waits for the next request
	defaultSlots      = 4     // of a host that has not said
	maxJobs           = 4096  // here at once
	meanRunStep       = 0.05  // weight of one request in the mean time that a host takes
	initialRunSeconds = 0.03  // seconds, until that is known
	minWait           = 0.01  // seconds that any request may wait here for the host
	runTimeFactor     = 1.8   // times the mean that its class takes: what a run is expected to take
	replyTransit      = 0.015 // seconds: its answer's way
	minRetryWindow    = 0.25  // seconds: with less left a client hardly comes again
	lastTryWaitShare  = 0.5   // of the time left that such a request may wait
	maxClasses        = 256
	largeBody         = 16 << 10 // bytes: such answers wait for the machine's link
	lateQueueShare    = 0.5      // of the berths: so many may wait that are late, until it is known how many get their turn
	lateSlotShare     = 0.5      // of the berths that are in use, beyond which those that are late get none
	firstAttemptWait  = 0.8      // of a mean run, that a first try may wait
	hostDeadlineGrace = 0.15     // seconds beyond its deadline in which a host still gives its own answer
	drainGrace        = 1.0      // seconds after word of a drain in which what waited here may still go to the host
)

// admission is the last before the host: all requests to it pass here, so here it is sure which life of a host has the address,
// that nothing goes to one that leaves, how many requests it has in hand, and what has been sent at all.
type admission struct {
	sidecar            *Sidecar
	jobs               map[uint64]*job
	seen               seenRequests
	keys               keyRPCs
	queue              []*job    // waiting for a berth, each still in time for its aim
	lateQueue          lateQueue // the others: they go when nobody else waits
	slotsInUse         int
	fillingSlots       bool
	meanRunSeconds     float64            // mean seconds that the host takes
	classRunSeconds    map[uint32]float64 // by class
	classBodyBytes     map[uint32]float64 // mean of an answer's body, by class
	linkBacklog        float64            // seconds that a large answer waits for this machine's link
	linkSecondsPerByte float64            // and that it takes, a byte
	tickedAt           float64
}

// job is a request of another proxy's, or of this one's, for the host here.
type job struct {
	id           uint64
	from         string
	message      *meshpb.Message // that brought it
	forward      *meshpb.Forward
	arrivedAt    float64
	deadline     float64
	softDeadline float64 // by then its answer is worth most
	claim        claim
	hasSlot      bool    // it has a berth
	late         bool    // it can no longer be answered within its aim
	startedAt    float64 // when it went to the host, by the seconds for which this process has run
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

// carry takes a request for the host. What has come before, or may have, is dropped before anything is said of it: its
// sender would take a word that it was turned away for a promise, while the first one runs.
func (adm *admission) receiveForward(from string, m *meshpb.Message) {
	if why := adm.seen.admit(adm.sidecar.now, messageID{senderProcess{from, m.Life}, m.Id}); why != "" {
		adm.sidecar.drop(from, m, why)
		return
	}
	if incarnation := m.Forward.GateLife; incarnation != 0 && incarnation != adm.sidecar.incarnation { // it may have run there
		adm.sidecar.drop(from, m, dropFormerProcess)
		broken := &meshpb.Forwarded{Verdict: uint32(outcome.Broken), Why: "it was for the process before this one"}
		adm.sidecar.respond(from, m, &meshpb.Message{Forwarded: broken})
		return
	}
	adm.admit(from, m)
}

// admit takes a request that comes for the first time.
func (adm *admission) admit(from string, m *meshpb.Message) {
	p, forward := adm.sidecar, m.Forward
	sentAt := p.now
	if from != p.opts.Self {
		sentAt -= p.pauses.maxAge(p.now)
	}
	j := &job{id: p.nextID(), from: from, message: m, forward: forward, arrivedAt: p.now, deadline: sentAt + float64(forward.LeftUs)/1e6,
		softDeadline: sentAt + float64(forward.AimUs)/1e6}
	switch own := p.discovery.own; {
	case own.Station == "" || own.Station != forward.Station:
		adm.reject(j, "another host is here", 0)
		return
	case own.Condition != Serving:
		adm.reject(j, "the host leaves", 0)
		return
	case !adm.holdsKey(forward):
		adm.reject(j, reasonKeyNotHeld, keyNotHeldRetryAfterMs)
		return
	case sentAt < p.now && j.deadline <= p.now: // its sender may have given it up; a fresh one may go elsewhere
		adm.reject(j, "this process was stopped for longer than its time", 1)
		return
	case len(adm.jobs) >= maxJobs || p.bodyBytes+len(forward.Body) > p.opts.MaxBodyBytes:
		adm.reject(j, "too much is under way here", 1)
		return
	}
	linkWait, maxWait := adm.linkDelay(forward.Class), adm.maxWait(j)
	if linkWait > maxWait { // what is late in the link keeps all behind it late: no queue for late ones is kept there
		adm.reject(j, "the link is full", uint32(linkWait*1000)+1)
		return
	}
	if adm.slotsInUse >= adm.slots() {
		if forward.Attempt == 0 { // there may be room elsewhere: one that was turned away once may wait
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
	if forward.Key != "" { // asked for while it waits: no berth is held for that
		adm.beginClaim(j)
		return
	}
	adm.enqueue(j)
}

// enter queues a request that may go to the host.
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

// patience is how long a request may wait here: so long that it can still be answered before its answer loses worth. What has
// little time, as a call that a run elsewhere waits for, cannot come again, and waits longer.
func (adm *admission) maxWait(j *job) float64 {
	left := j.deadline - adm.sidecar.now
	maxWait := max(minWait, j.softDeadline-adm.sidecar.now-runTimeFactor*adm.classRunSeconds[j.forward.Class]-replyTransit)
	if left < minRetryWindow {
		maxWait = max(maxWait, lastTryWaitShare*left)
	}
	return maxWait
}

// order is that of the queue: by whose answer loses worth first. What a run elsewhere waits for, with its berth there, comes
// before what only a client waits for, as its aim is short.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.forward.Precedence, b.forward.Precedence), cmp.Compare(a.id, b.id))
}

// wait is how long a request would wait for a berth, from what is before it.
func (adm *admission) slotWait(j *job) float64 {
	at, _ := slices.BinarySearchFunc(adm.queue, j, compareJobs)
	return float64(at+1) * adm.meanRunSeconds / float64(adm.slots())
}

// serve gives free berths to those that wait.
func (adm *admission) fillSlots() {
	if adm.fillingSlots { // what is turned away in here leads back here
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

// next takes the one out of the queues that is to have the next berth.
func (adm *admission) nextJob() *job {
	for len(adm.queue) > 0 {
		j := adm.queue[0]
		adm.queue = adm.queue[1:]
		if !adm.demoteIfLate(j) {
			return j
		}
	}
	if float64(adm.slotsInUse) >= float64(adm.slots())*lateSlotShare { // what comes next may have hurry
		return nil
	}
	j := adm.lateQueue.take()
	if j != nil {
		adm.lateQueue.noteServed(adm.sidecar.now)
	}
	return j
}

// demoted lets one that has waited past its aim go on waiting behind all that are in time, or turns it away. What has little time,
// as a call that a run elsewhere waits for, keeps its place.
//
// Where the host has nothing to do one goes in any case: if it was slow, nothing else shows that it no longer is.
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

// pastAim says that a run which begins now would not end within its aim, and that there is time beyond that.
func (adm *admission) pastSoftDeadline(j *job) bool {
	return adm.sidecar.now+adm.classRunSeconds[j.forward.Class] >= j.softDeadline && j.deadline-adm.sidecar.now >= minRetryWindow
}

// canFinish says whether a run that begins now is expected to end before its client's time does.
func (adm *admission) canFinish(j *job) bool {
	return adm.sidecar.now+runTimeFactor*adm.classRunSeconds[j.forward.Class]+replyTransit < j.deadline
}

// linkWait is how long an answer of a class is expected to wait until this machine's link has carried what was there before.
func (adm *admission) linkDelay(class uint32) float64 {
	if adm.classBodyBytes[class] < largeBody {
		return 0
	}
	wait := adm.linkBacklog
	for _, j := range adm.jobs { // their answers come before it
		if bytes := adm.classBodyBytes[j.forward.Class]; bytes >= largeBody {
			wait += bytes * adm.linkSecondsPerByte
		}
	}
	return wait
}

// admitLate says whether one that is too late for its aim may wait on here: as many may as have lately been served so in the time
// that this one has, and a few where that is not known.
func (adm *admission) lateQueueHasRoom(j *job) bool {
	room := j.deadline - adm.sidecar.now - runTimeFactor*adm.classRunSeconds[j.forward.Class] - replyTransit - adm.linkDelay(j.forward.Class)
	return room > 0 && float64(len(adm.lateQueue.jobs)) < max(float64(adm.slots())*lateQueueShare, adm.lateQueue.rate(adm.sidecar.now)*room)
}

func (adm *admission) start(j *job) {
	j.startedAt = adm.sidecar.pauses.runSeconds
	adm.sidecar.counts.Runs++
	if j.late {
		adm.sidecar.counts.LateRuns++
	}
	forward := j.forward
	forward.LeftUs = uint32(max(0, j.deadline-adm.sidecar.now) * 1e6)
	adm.sidecar.output.Commands = append(adm.sidecar.output.Commands, Exchange{Job: j.id, Forward: forward, Deadline: j.deadline + hostDeadlineGrace})
}

// turn gives a request back before a byte of it went to the host. backMs is set where the host is full, and not gone.
func (adm *admission) reject(j *job, why string, backMs uint32) {
	adm.sidecar.counts.Rejected[why]++
	adm.finish(j, &meshpb.Forwarded{Verdict: uint32(outcome.Turned), Why: why, BackMs: backMs})
}

// end gives the word on a request to the proxy that it came from.
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

// Exchanged takes the end of an Exchange.
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
	took := adm.sidecar.pauses.runSeconds - j.startedAt // a stop of this process says nothing of the host
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
			receipt := &meshpb.Receipt{Token: j.forward.Token, State: register.Done, Attempt: j.forward.Attempt, Status: forwarded.Status,
				Fields: forwarded.Fields, Body: forwarded.Body}
			if len(forwarded.Body) > maxRecordedBody {
				receipt = &meshpb.Receipt{Token: j.forward.Token, State: register.Lost, Attempt: j.forward.Attempt}
			}
			adm.settle(j.forward.Key, receipt)
		case outcome.Broken, outcome.Late:
			adm.settle(j.forward.Key, &meshpb.Receipt{Token: j.forward.Token, State: register.Lost, Attempt: j.forward.Attempt})
		}
	}
	adm.finish(j, forwarded)
}

// mostKept bounds the body of an answer that a register keeps.
const maxRecordedBody = 128 << 10

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
	for _, j := range adm.lateQueue.removeIf(func(j *job) bool { return !adm.canFinish(j) }) { // nothing is held for what cannot come
		adm.reject(j, "no berth before its deadline", 1)
	}
	adm.fillSlots()
}
