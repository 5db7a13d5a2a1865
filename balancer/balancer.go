package balancer

// The interface (settings, events, actions) is in api.go. A request passes through Request, shedEarly,
// dispatch (attempt.go), pick (pick.go), and send, enqueue or shed. Its Outcome or late timer (Timer) updates
// health (health.go) and load (load.go); then retryPolicy allows another dispatch, or refuseOrFail ends it.

import "slices"

// host is the local state of one server.
type host struct {
	Host
	observed                  bool       // had an outcome since its start, so the panic threshold counts it
	failureShare              [2]float64 // recent failure shares, by kind: failedRequest and brokenAnswer
	ejectedUntil              float64
	inflight                  int
	weight                    float64 // size relative to the mean of the list
	zoneWeight                float64 // rendezvous weight as seen from this balancer's zone
	locality                  int     // 0: in this balancer's zone, 1: in another
	lastAnswerAt              float64
	answeredSentAt            float64 // send time of the newest attempt that it answered
	zone                      *zone
	admitShare, latencyShare  float64   // share of requests it may get: by load; by its answer times alone
	admitChangedAt, admitSent float64   // time of the last change to admitShare; value last sent to peers
	limit                     float64   // concurrency limit for requests from this balancer
	limitCutAt                float64   // time of the last cut
	suspectUntil, suspectFor  float64   // end and length of the last suspicion; length 0 after a good answer
	losses                    []float64 // decayed count of unanswered attempts by class, peers' included
	lossesDecayedAt           float64
}

type zone struct {
	connectFailures int // in a row
	outUntil        float64
	excluded        bool // left out by the plan
}

func (z *zone) out(now float64) bool { return z.excluded || z.outUntil > now }

// candidate is a host with its rendezvous score for the current key; the lowest score wins.
type candidate struct {
	host  *host
	score float64
}

type attempt struct {
	host                    *host
	sentAt                  float64
	pending, late, neverRan bool // late: still pending at its late mark
	slot                    int  // counts against host.limit: 1, or 0 while the body arrives or once lost
}

// openRequest is a request that is not answered yet or still has attempts pending.
type openRequest struct {
	Request
	class           *Class
	deadline, aimAt float64 // aimAt: when its latency target (Class.Aim) ends
	attempts        []attempt
	pending         int     // attempts
	maxAttempts     int     // 0: no limit
	done, streaming bool    // done: it has its final answer; streaming: the answer has started
	work            float64 // expected seconds
	valueDensity    float64 // worth per unit of work
	randomKey       uint64  // drawn once, so that a retry does not get another chance
}

// Balancer makes the decisions of one client process. New creates it.
type Balancer struct {
	cfg           Config
	actions       Actions
	rngState      uint64
	now           float64
	hosts         []*host // sorted by ID: listed, or removed with inflight > 0
	hostByID      map[HostID]*host
	zones         map[int]*zone
	candidates    []candidate // of the current pick
	planShares    []ZoneShare // empty: there is no plan
	planRefused   float64     // share of all requests that the plan refuses
	requests      map[RequestID]*openRequest
	longestAim    float64
	meanInflight  float64    // requests in flight from here to a host of mean size
	lowTraffic    bool       // too few in flight for concurrency limits to show load
	byLatency     bool       // latencyShare applies: too few in flight, and no peers, for admitShare
	avoidSuspects bool       // suspected hosts yield
	meanLoad      [2]float64 // mean load of hosts, by locality
	meanAdmit     float64    // mean admitted share of available hosts
	messageCredit float64    // peer messages that may be sent, in full messages
	message       [4]byte    // buffer for the current peer message

	subscribed    bool
	watchDue      float64            // when to ask for the list again, while not subscribed
	logQuietUntil map[string]float64 // by format: no such line is logged before

	shedShare                []float64      // recent share of requests shed, by class
	lateShare                float64        // recent share of attempts that were late
	workDone, workSpan       float64        // decayed sum of answered work, and the seconds such sums cover
	queue                    []*openRequest // waiting for capacity, highest value density first
	coldCredit, coldCreditAt float64        // work that cold hosts may get; when it last grew

	classWork []float64 // mean seconds of work per class, from answers
	// warmWork is the decayed sum of answered work, each divided by the weight of the hosts warm at the time.
	// Divided later, by the few left after a loss, it would make the budget of cold hosts too large.
	warmWork   float64
	warmWeight float64
}

// Request handles a new request, which is answered, refused or failed exactly once.
func (b *Balancer) Request(now float64, r Request) {
	b.now = now
	if b.requests[r.ID] != nil {
		return
	}
	o := b.newRequest(r)
	if !r.Repeat {
		b.messageCredit = min(maxPeerCredit, b.messageCredit+peerCreditShare)
	}
	if b.shedEarly(o) {
		b.refuseOrFail(o)
		return
	}
	b.dispatch(o)
}

func (b *Balancer) newRequest(r Request) *openRequest {
	if r.Class < 0 || r.Class >= len(b.cfg.Classes) {
		r.Class = 0
	}
	if r.Key == 0 { // no key: a random one spreads the load
		b.random()
		r.Key = mix(b.rngState)
	}
	o := &openRequest{Request: r, class: &b.cfg.Classes[r.Class], maxAttempts: b.cfg.MaxAttempts}
	o.work = r.Work
	if o.work <= 0 {
		o.work = b.classWork[r.Class]
	}
	b.setDeadlines(o)
	o.valueDensity = b.valueDensity(r.Class)
	b.random() // advances rngState
	o.randomKey = mix(b.rngState)
	b.requests[r.ID] = o
	return o
}

func (b *Balancer) setDeadlines(o *openRequest) {
	o.deadline = b.now + o.Budget
	o.aimAt = min(o.deadline, b.now+o.class.Aim+o.class.AimStretch*o.work)
}

// BodyReceived handles a request body's end. Until then a host only reads: no slot is used, nothing is late.
func (b *Balancer) BodyReceived(now float64, id RequestID) {
	b.now = now
	o := b.requests[id]
	if o == nil || !o.BodyPending {
		return
	}
	o.BodyPending = false
	b.setDeadlines(o)
	for n := range o.attempts {
		if a := &o.attempts[n]; a.pending {
			a.sentAt, a.slot = now, 1
			a.host.inflight++
			b.startLateTimer(o, n)
		}
	}
}

// ResponseStarted handles the start of a streamed answer. The client is now bound to this attempt.
func (b *Balancer) ResponseStarted(now float64, id RequestID, n int) {
	b.now = now
	o := b.requests[id]
	if o == nil || n < 0 || n >= len(o.attempts) {
		return
	}
	o.streaming = true
	a := &o.attempts[n]
	a.host.observed = true
	if a.pending { // the work is done; client and network set the pace of the rest
		a.host.inflight, a.slot = a.host.inflight-a.slot, 0
		a.host.lastAnswerAt, a.host.answeredSentAt = now, max(a.host.answeredSentAt, a.sentAt)
	}
	b.cancelPending(o, n)
	b.sendQueued()
}

// Outcome handles the end of an attempt.
func (b *Balancer) Outcome(now float64, r Outcome) {
	b.now = now
	o := b.requests[r.ID]
	if o == nil || r.Attempt < 0 || r.Attempt >= len(o.attempts) || !o.attempts[r.Attempt].pending {
		return
	}
	a := &o.attempts[r.Attempt]
	a.pending, a.neverRan = false, r.Result.NeverRan()
	o.pending--
	a.host.inflight, a.slot = a.host.inflight-a.slot, 0
	b.recordOutcome(o, a, r)
	switch {
	case o.done:
		b.forget(o)
	case r.Final:
		b.finish(o)
	case o.pending > 0: // another copy may still answer
	case b.worthRetry(o, r.Result):
		b.dispatch(o)
	default:
		b.refuseOrFail(o)
	}
	b.sendQueued()
}

// Timer handles an expired timer.
func (b *Balancer) Timer(now float64, token uint64) {
	b.now = now
	o := b.requests[RequestID(token&(1<<attemptShift-1))]
	switch token >> kindShift {
	case timerLate:
		n := int(token >> attemptShift & (maxTokenAttempts - 1))
		if o != nil && n < len(o.attempts) && o.attempts[n].pending && !o.streaming {
			b.markLate(&o.attempts[n])
			if b.worthMoving(o) {
				b.actions.Cancel(o.ID, n)
			}
		}
	case timerQueue:
		if o != nil && slices.Contains(b.queue, o) {
			b.shed(o)
		}
	case timerTick:
		const keep = 1 - tickAims/memoryAims
		for c := range b.shedShare { // decay by time too: with low traffic a past overload would last
			b.shedShare[c] *= keep
		}
		b.warmWork, b.workDone, b.workSpan = b.warmWork*keep, b.workDone*keep, b.workSpan*keep+b.tick()
		for _, h := range b.hosts { // shares recover unless new answers lower them
			h.admitShare += tickAims / admitRecoveryAims * (1 - h.admitShare)
			h.latencyShare += tickAims / admitRecoveryAims * (1 - h.latencyShare)
		}
		b.sendQueued()
		b.actions.Timer(b.tick(), token)
	case timerWatch:
		if !b.subscribed && b.now >= b.watchDue {
			b.watch()
		}
	}
}

// ClientLeft handles a client that left: it gets no answer. Attempts are cancelled unless one is streaming.
func (b *Balancer) ClientLeft(now float64, id RequestID) {
	b.now = now
	if o := b.requests[id]; o != nil && !o.done {
		b.finish(o)
	}
}
