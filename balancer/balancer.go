package balancer

// The interface (settings, events, actions) is in api.go. A request's path: Request -> givesWay -> dispatch
// (attempt.go) -> pick (pick.go) -> send, or hold, or refuse -> Outcome or the late mark (Timer) -> weigh and
// judge the host (health.go) -> permit -> dispatch again, or settle. What tells of load is in load.go.

import "slices"

// host is what this balancer knows of one server.
type host struct {
	Host
	heard              bool       // had an outcome since its start: counted
	fail               [2]float64 // recent shares of failures, and of broken or spoilt answers
	until              float64    // ejected until then
	inflight           int
	weight             float64 // size relative to the mean of the list
	zoneRank           float64 // rendezvous weight for this balancer's zone
	side               int     // 0: in this balancer's zone, 1: in another
	answered           float64 // clock of its last answer
	newest             float64 // when the newest of the attempts that it answered went out
	zone               *zone
	admit, part        float64   // share of requests that may come here: by load, and alone by answers
	admitAt, admitTold float64   // when it last moved, and what peers were told
	window             float64   // limit of requests in flight from here
	cutAt              float64   // clock of the last cut
	doubt, doubtFor    float64   // in doubt until then; how long the last doubt was, 0 since a good answer
	lost               []float64 // attempts lost here lately, by class, as told by peers too
	lostAt             float64   // when that last faded
}

// zone is what this balancer knows of a zone as a whole.
type zone struct {
	refused int     // failed connections in a row
	until   float64 // out until then
	shut    bool    // out by the plan
}

func (z *zone) out(now float64) bool { return z.shut || z.until > now }

// ranked is a host with its rendezvous score for the key at hand; the lowest comes first.
type ranked struct {
	h     *host
	score float64
}

type attempt struct {
	h                   *host
	at                  float64
	out, late, neverRan bool // late: passed its mark
	place               int  // in its host's limit: 0 once it is given up for lost
}

// op is one request being worked on.
type op struct {
	Request
	class           *Class
	deadline, aimAt float64
	attempts        []attempt
	out             int
	most            int  // attempts that it may have; 0: any number
	done, begun     bool // done: answered; attempts may still be out
	work            float64
	density         float64 // worth of a unit of its work
	luck            uint64  // drawn once, so that trying again does not help
}

// Balancer decides for one client process. Make one with New.
type Balancer struct {
	cfg     Config
	act     Actions
	rng     uint64
	now     float64
	hosts   []*host // by id: listed, or gone with something still out
	index   map[HostID]*host
	zones   map[int]*zone
	set     []ranked    // of the pick at hand
	routes  []ZoneShare // of the plan; none: there is no plan
	refused float64     // share of all requests that it refuses
	ops     map[RequestID]*op
	longest float64    // longest aim
	mean    float64    // in flight from here to a host of mean size
	thin    bool       // too little in flight for limits to tell of load
	alone   bool       // thin, and neither peers nor many answers tell of a host
	doubts  bool       // hosts in doubt yield
	load    [2]float64 // mean load that hosts of this zone and of others show
	admit   float64    // mean share admitted by hosts that can be reached
	tells   float64    // full messages that may be sent
	told    [4]byte    // the message at hand

	subbed  bool
	watchAt float64            // when to ask for the list next, while not subscribed
	quiet   map[string]float64 // no line of a kind, told by its format, before then

	strain       []float64 // recent share of each class that found no room in time
	late         float64   // recent share of attempts that passed their mark
	flow, span   float64   // decayed sum of work answered, and seconds over which such sums reach
	held         []*op     // waiting for room, worth most first
	cold, coldAt float64   // work that may go to cold hosts, and when it was last added to

	classWork []float64 // mean seconds that a class takes, from answers
	// warmFlow is the decayed sum of work answered for each unit of weight of the warm hosts at that time:
	// divided later, by the few left after a loss, it would make the budget of the returning too large.
	warmFlow   float64
	warmWeight float64
}

// Request takes a request. It is answered, refused or failed exactly once.
func (b *Balancer) Request(now float64, r Request) {
	b.now = now
	if b.ops[r.ID] != nil {
		return
	}
	o := b.newOp(r)
	if !r.Repeat {
		b.tells = min(tellSaved, b.tells+tellShare)
	}
	if b.givesWay(o) {
		b.settle(o)
		return
	}
	b.dispatch(o)
}

func (b *Balancer) newOp(r Request) *op {
	if r.Class < 0 || r.Class >= len(b.cfg.Classes) {
		r.Class = 0
	}
	if r.Key == 0 { // no key: a random value spreads it
		b.random()
		r.Key = mix(b.rng)
	}
	o := &op{Request: r, class: &b.cfg.Classes[r.Class], most: b.cfg.MaxAttempts}
	o.work = r.Work
	if o.work <= 0 {
		o.work = b.classWork[r.Class]
	}
	b.setTimes(o)
	o.density = b.density(r.Class)
	b.random() // moves on what luck is drawn from
	o.luck = mix(b.rng)
	b.ops[r.ID] = o
	return o
}

// setTimes counts a request's time from now.
func (b *Balancer) setTimes(o *op) {
	o.deadline = b.now + o.Budget
	o.aimAt = min(o.deadline, b.now+o.class.Aim+o.class.AimStretch*o.work)
}

// BodyReceived takes word that a body has come. Until then its host only reads: no place is held, nothing is late.
func (b *Balancer) BodyReceived(now float64, id RequestID) {
	b.now = now
	o := b.ops[id]
	if o == nil || !o.BodyPending {
		return
	}
	o.BodyPending = false
	b.setTimes(o)
	for n := range o.attempts {
		if a := &o.attempts[n]; a.out {
			a.at, a.place = now, 1
			a.h.inflight++
			b.timeMark(o, n)
		}
	}
}

// ResponseStarted takes the start of a streamed answer: the attempt is the client's from now on.
func (b *Balancer) ResponseStarted(now float64, id RequestID, n int) {
	b.now = now
	o := b.ops[id]
	if o == nil || n < 0 || n >= len(o.attempts) {
		return
	}
	o.begun = true
	a := &o.attempts[n]
	a.h.heard = true
	if a.out { // its work is done: the peers' pace bounds the rest
		a.h.inflight, a.place = a.h.inflight-a.place, 0
		a.h.answered, a.h.newest = now, max(a.h.newest, a.at)
	}
	b.callOff(o, n)
	b.release()
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now float64, r Outcome) {
	b.now = now
	o := b.ops[r.ID]
	if o == nil || r.Attempt < 0 || r.Attempt >= len(o.attempts) || !o.attempts[r.Attempt].out {
		return
	}
	a := &o.attempts[r.Attempt]
	a.out, a.neverRan = false, r.Result.NeverRan()
	o.out--
	a.h.inflight, a.place = a.h.inflight-a.place, 0
	b.weigh(o, a, r)
	switch {
	case o.done:
		b.drop(o)
	case r.Final:
		b.finish(o)
	case o.out > 0: // another copy may still answer
	case b.worthAnother(o, r.Result):
		b.dispatch(o)
	default:
		b.settle(o)
	}
	b.release()
}

// Timer takes a timer that fell due.
func (b *Balancer) Timer(now float64, token uint64) {
	b.now = now
	o := b.ops[RequestID(token&(1<<tokenAttempt-1))]
	switch token >> tokenKind {
	case timerMark:
		n := int(token >> tokenAttempt & (mostAttempts - 1))
		if o != nil && n < len(o.attempts) && o.attempts[n].out && !o.begun {
			b.markLate(&o.attempts[n])
			if b.leaves(o) {
				b.act.Cancel(o.ID, n)
			}
		}
	case timerHold:
		if o != nil && slices.Contains(b.held, o) {
			b.shed(o)
		}
	case timerTick:
		const keep = 1 - tickAims/memoryAims
		for c := range b.strain { // in time too: with thin traffic a past overload would last
			b.strain[c] *= keep
		}
		b.warmFlow, b.flow, b.span = b.warmFlow*keep, b.flow*keep, b.span*keep+b.tick()
		for _, h := range b.hosts { // what nobody finds out anew is forgotten
			h.admit += tickAims / admitAims * (1 - h.admit)
			h.part += tickAims / admitAims * (1 - h.part)
		}
		b.release()
		b.act.Timer(b.tick(), token)
	case timerWatch:
		if !b.subbed && b.now >= b.watchAt {
			b.watch()
		}
	}
}

// ClientLeft takes word that a client left: nothing is owed, and what is out is called off.
func (b *Balancer) ClientLeft(now float64, id RequestID) {
	b.now = now
	if o := b.ops[id]; o != nil && !o.done {
		b.finish(o)
	}
}
