package balancer

// The interface (settings, events, actions) is in api.go; every decision is in this file.
//
// A request's path: Request -> givesWay (load shedding) -> dispatch -> pick -> send, or hold, or refuse ->
// Outcome or the late mark (Timer) -> weigh, judge the host -> permit -> dispatch again, or settle.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

const (
	// panicThreshold is the healthy share below which health is ignored. Within the quarter to half that
	// the design page allows: with about ten hosts a zone's loss should not yet feed the dead ones.
	panicThreshold = 0.3
	// A host with more in flight from here than passOverMean x mean + 1, and passOverFloor, yields.
	passOverMean, passOverFloor = 1.5, 2.0
	// farShare: where warm keys cost less work, a host that is not a key's first in its zone or beyond takes
	// it only up to this share of its limit. Else overload scatters the keys and makes more work.
	farShare = 0.6
	// localityPrice is the crossing price at which hosts of other zones are only picked when all of this
	// zone's are passed over; below it their rendezvous weight shrinks in proportion.
	localityPrice     = 0.06
	farRank, lastRank = 1e-6, 1e12 // of other zones at that price; behind every rendezvous score

	thinBelow = 0.2 // in flight to a mean host, limits hardly ever bind: answers and peers tell of load
	// loadedAbove is the load, by how near answers are to being late, above which a zone is short of room.
	loadedAbove, loadStep = 0.7, 0.2 // loadStep: the weight of one answer

	// A host's admitted share falls by admitGain a second for each unit that the load it shows is above what
	// is wanted: admitOver over the mean, and between loadedAbove and mostLoad. Peers are told of a change
	// of tellStep in its logarithm, as far as tellShare of a full message for each request goes.
	admitGain                       = 0.7
	admitAims                       = 128.0 // until a share has faded back to one, in longest aims
	admitLeast, admitOver, mostLoad = 0.05, 0.15, 0.95
	// Alone, a proxy hears of a host one answer in seconds, and each moves its share by aloneStep. Wanted is
	// then the mean time that answers of the class take: shares move long before hosts are late. With more
	// than aloneMost proxies to a host, or aloneBelow in flight to a mean one, shares by time do better.
	aloneMost, aloneBelow  = 4, 0.03
	aloneStep              = 4.2
	tellStep               = 0.2
	tellShare              = 0.3
	tellSaved, fullMessage = 100.0, 256.0 // messages saved up at the most, bytes in one

	wholeShare = 223                        // the word for a whole admitted share; above it stand classes
	classWords = math.MaxUint8 - wholeShare // classes of which peers are told

	// A host is out for a class of which it lost lostSure attempts lately, and over lostMost halves of all
	// that it lost. Losses fade over lostAims longest aims, from lostSure on lostSlower as slowly.
	lostAims, lostSure, lostMost, lostKept, lostSlower = 32.0, 8.0, 1.5, 16.0, 4.0

	ejectAt = 0.4 // share of failures

	lateDoubt = 2.0 // with 1/lateDoubt of all attempts late, lateness says nothing about a single host

	// zoneOutAfter failed connections to a zone in a row: it is cut off or lost. With thin traffic the same
	// host is hardly met twice.
	zoneOutAfter, zoneOutAims = 4, 1.0 // out for so many longest aims
	ejectAims                 = 4.0    // an ejection, in longest aims; the failure share outlasts it

	// A thin proxy meets a host too seldom to wait for a share: one failure puts the host in doubt for as
	// long as an ejection, each further one in a row doubles that, up to doubtMost times. sureBad is the
	// weight of a failure that counts. With more than doubtShare of the counted in doubt it is not they, as
	// in panic.
	doubtMost, sureBad, doubtShare = 16.0, 0.5, 0.25

	markShare = 0.45 // of the aim: an attempt still out by then counts as late

	// windowStart is the first limit of requests in flight to a host of mean size. Answers under growBelow
	// of their aim let a limit in use grow by about one in that time; an attempt past its mark cuts it by
	// windowCut, once for what was out together. Short queues keep hosts from where crowding slows them.
	windowStart, growBelow, windowCut = 2.0, 0.22, 0.5

	giveWay        = 5.0 // times the share of dearer work without room: the chance to give way
	repeatsGiveWay = 6.0 // times the share of late attempts: the chance of a repeat to give way
	holdShare      = 0.2 // of the aim a request may wait here for room, if that seems long enough

	mostTries = 2 // of a request, failed connections aside

	// coldSafety of a cold host's budget is used: the rest covers chance, and warm keys, which it lacks. As
	// it warms up that grows to coldMost, or to what makes its share a warm host's: at a fifth until the
	// end, hosts nearly warm idle while a few others carry a fleet of which most is new.
	coldSafety, coldMost = 0.2, 1.0 / 3

	memoryAims = 8.0   // memory of rates, in longest aims
	leastAim   = 0.01  // seconds; guards against settings without an aim
	tickAims   = 0.25  // the balancer's own timer, in longest aims
	firstWork  = 0.125 // share of its aim that a class's work is taken for at first
	meanStep   = 0.05  // weight of one answer in a mean

	watchTries                = 2.5      // calls for the list that fit into AskWithin while none is answered
	watchSoonest, watchSpread = 0.1, 0.4 // when to ask again after a failure, as parts of that
)

// The kinds of failure of which a host has a share: no answer, and one that broke off or cannot be read.
const failed, broken = 0, 1

// judgeStep is the weight of one outcome in those shares: two failures in a row eject, or five broken
// answers. Where connections break under any host now and then, two together are no sign of sickness.
var judgeStep = [2]float64{0.25, 0.1}

// Timer tokens hold a purpose, an attempt and a request id, which is below 2^52.
const (
	timerMark uint64 = iota
	timerTick
	timerWatch
	timerHold
	tokenKind    = 60
	tokenAttempt = 52
	mostAttempts = 1 << (tokenKind - tokenAttempt)
)

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
	set     []ranked // of the pick at hand
	routes  []Route  // of the plan; none: there is no plan
	refused float64  // share of all requests that it refuses
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

func (b *Balancer) tick() float64 { return tickAims * b.longest }

// ---- the server list

// Members takes a list, changes to it, or word that a call for it failed.
func (b *Balancer) Members(now float64, kind ListKind, hosts []Host) {
	b.now = now
	if kind == ListFailed {
		b.say("list lost, %d hosts known", len(b.hosts))
		b.subbed = false
		if b.cfg.AskForList { // with jitter, so that a struggling discovery is not called by all at once
			b.watchIn(watchSoonest + watchSpread*b.random())
		}
		return
	}
	if kind != ListCached {
		b.say("list received, %d entries", len(hosts))
		b.subbed = true
	}
	if kind != ListChanges {
		for _, h := range b.hosts {
			h.Status = Gone // if absent from a complete list
		}
	}
	for _, e := range hosts {
		b.learn(e)
	}
	b.hosts = slices.DeleteFunc(b.hosts, func(h *host) bool {
		if h.Status == Gone && h.inflight == 0 {
			delete(b.index, h.ID)
			return true
		}
		return false
	})
	slices.SortFunc(b.hosts, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	b.resize()
}

// learn takes one list entry. A new start time means a new process: what was known of the old one is void.
func (b *Balancer) learn(e Host) {
	h := b.index[e.ID]
	if h == nil {
		h = &host{window: -1, until: b.now, cutAt: b.now, answered: math.Inf(-1), newest: math.Inf(-1),
			admit: 1, admitTold: 1, part: 1, admitAt: b.now,
			lost: make([]float64, len(b.strain)), lostAt: b.now}
		b.index[e.ID] = h
		b.hosts = append(b.hosts, h)
	} else if e.Status == Ready && e.Started != 0 && e.Started != h.Started {
		h.heard, h.fail, h.until, h.doubtFor = false, [2]float64{}, b.now, 0
		clear(h.lost)
	}
	h.Host = e
	if b.zones[h.Zone] == nil {
		b.zones[h.Zone] = &zone{until: b.now, shut: b.planShuts(h.Zone)}
	}
	h.zone = b.zones[h.Zone]
}

// resize makes sizes relative to the mean of the ready hosts.
func (b *Balancer) resize() {
	sum, n := 0.0, 0
	for _, h := range b.hosts {
		if h.Status == Ready && h.Weight > 0 {
			sum, n = sum+h.Weight, n+1
		}
	}
	for _, h := range b.hosts {
		h.weight = 1
		if b.cfg.Weighted && h.Weight > 0 && n > 0 {
			h.weight = h.Weight * float64(n) / sum
		}
		if h.window < 0 {
			h.window = windowStart * h.weight
		}
		h.zoneRank, h.side = h.weight, 0
		if h.Zone != b.cfg.Zone {
			h.side = 1
			h.zoneRank *= max(farRank, 1-b.cfg.Prices.CrossZone/localityPrice)
		}
	}
}

// watch asks for the list, and again if no reply comes. All of it stays well inside AskWithin, after which
// this balancer counts as told of a list it has not seen.
func (b *Balancer) watch() {
	b.act.Watch()
	b.watchIn(1)
}

func (b *Balancer) watchIn(part float64) {
	most := b.cfg.AskWithin / watchTries
	if most <= 0 {
		most = b.longest
	}
	b.watchAt = b.now + part*most
	b.act.Timer(part*most, timerWatch<<tokenKind)
}

// ---- a request

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

// Whole takes word that a body has come. Until then its host only reads: the attempt holds no place in the
// host's limit, and cannot be late.
func (b *Balancer) Whole(now float64, id RequestID) {
	b.now = now
	o := b.ops[id]
	if o == nil || !o.Coming {
		return
	}
	o.Coming = false
	b.setTimes(o)
	for n := range o.attempts {
		if a := &o.attempts[n]; a.out {
			a.at, a.place = now, 1
			a.h.inflight++
			b.timeMark(o, n)
		}
	}
}

// givesWay refuses cheaper work at once, by chance, while dearer work finds no room: without it the dearer
// would only get what is free at its moment.
func (b *Balancer) givesWay(o *op) bool {
	chance, dearest := b.refused, o.density
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

func (b *Balancer) unhold(o *op) {
	b.held = slices.DeleteFunc(b.held, func(other *op) bool { return other == o })
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

// drop forgets a request once it is answered and nothing of it is out.
func (b *Balancer) drop(o *op) {
	if o.done && o.out == 0 {
		delete(b.ops, o.ID)
	}
}

// ---- the pick

// pick is the mechanism: healthy / counted against the threshold chooses the set, rendezvous hashing ranks
// it by the key, and a loaded host yields to the next.
func (b *Balancer) pick(o *op, anchor *host) *host {
	panicking, near := b.split(o.Class), b.route(o)
	b.set = b.set[:0]
	home := [2]float64{math.Inf(1), math.Inf(1)} // the best score in this zone and in others
	for _, h := range b.hosts {
		out := !panicking && (h.until > b.now || b.mute(h, o.Class)) || h.zone.out(b.now)
		if h.Status != Ready || out || o.tried(h) || !inGroup(o.class.Group, anchor, h) {
			continue
		}
		key, cold := o.Key, b.warmth(h) < 1
		if cold { // a popular key alone would push it over
			key = o.luck
		}
		score := rendezvous(key, h.ID) / h.rank(near)
		b.set = append(b.set, ranked{h, score})
		if !cold {
			home[h.side] = min(home[h.side], score)
		}
	}
	best := b.best(o, home, false)
	if best != nil && b.warmth(best) < 1 && !b.spendCold(o) {
		best = b.best(o, home, true)
	}
	return best
}

// route is the zone that the plan names for a request, by its key: as shares move a little, few keys do. A
// further attempt goes by distance, as all do without a plan.
func (b *Balancer) route(o *op) *zone {
	x := unit(mix(o.Key)) * (1 - b.refused)
	for _, r := range b.routes {
		if x -= r.Share; x < 0 && len(o.attempts) == 0 {
			return b.zones[r.Zone]
		}
	}
	return nil
}

// rank is a host's rendezvous weight for a request that the plan sends to a zone; nil: to none.
func (h *host) rank(near *zone) float64 {
	switch near {
	case nil:
		return h.zoneRank
	case h.zone:
		return h.weight
	}
	return h.weight * farRank
}

// best is the first of the set that does not yield, or the least loaded if all do.
func (b *Balancer) best(o *op, home [2]float64, warmOnly bool) (best *host) {
	lowest := math.Inf(1)
	for _, r := range b.set {
		h := r.h
		far := b.cfg.WarmKeys && r.score > home[h.side] && float64(h.inflight+1) > farShare*h.window
		if far || float64(h.inflight) >= h.window || warmOnly && b.warmth(h) < 1 {
			continue
		}
		loaded := float64(h.inflight) >= max(passOverFloor, passOverMean*b.mean*h.weight+1) ||
			b.alone && h.inflight > 0 // its part of any host's room is far under one
		crowded := b.admit*unit(mix(o.luck^uint64(h.ID))) >= b.share(h)
		doubted := b.doubts && h.doubted(b.now, o.class.Effect)
		if loaded || crowded || doubted {
			r.score = lastRank * float64(h.inflight+1) / h.weight
		}
		if r.score < lowest {
			best, lowest = h, r.score
		}
	}
	return best
}

// doubted says whether requests yield from a host that has failed. Once the doubt is over, what may be sent
// again finds out; what may not waits for that as long again.
func (h *host) doubted(now float64, e Effect) bool {
	return h.doubtFor > 0 && (now < h.doubt || e == Unsafe && now < h.doubt+h.doubtFor)
}

// split decides between the healthy set and panic, and sums up what the pick needs of all hosts. A zone that
// is out shares no load, which is what panic counts on: it is left out of everything.
func (b *Balancer) split(class int) (panicking bool) {
	healthy, counted, doubted, inflight := 0, 0, 0, 0
	weight, admit, cold := 0.0, 0.0, 0.0
	b.warmWeight = 0
	for _, h := range b.hosts {
		if h.Status != Ready || h.zone.out(b.now) {
			continue
		}
		inflight, weight, admit = inflight+h.inflight, weight+h.weight, admit+b.share(h)*h.weight
		if warm := b.warmth(h); warm >= 1 {
			b.warmWeight += h.weight
		} else {
			cold += b.coldBudget(warm) * h.weight
		}
		if h.heard {
			counted++
			if h.until <= b.now && !b.mute(h, class) {
				healthy++
			}
			if h.doubted(b.now, Safe) {
				doubted++
			}
		}
	}
	b.earnCold(cold)
	b.admit, b.mean = admit/max(weight, 1), float64(inflight)/max(weight, 1)
	b.thin = b.mean < thinBelow
	b.alone = b.mean < aloneBelow && !b.cfg.PeerMessages && b.cfg.Balancers <= aloneMost*len(b.hosts) &&
		max(b.load[0], b.load[1]) <= loadedAbove // in overload it is not single hosts
	b.doubts = b.thin && float64(doubted) <= doubtShare*float64(counted)
	panicking = float64(healthy) < panicThreshold*float64(counted)
	if panicking {
		b.say("panic: %d healthy of %d counted", healthy, counted)
	}
	return panicking
}

// connected takes whether a connection was made, as evidence on the host's zone. Guards a lost or cut-off
// zone. When its time is over, one request finds out whether the outage goes on.
func (b *Balancer) connected(h *host, ok bool) {
	z := h.zone
	if z.refused++; ok {
		z.refused = 0
	}
	if z.refused >= zoneOutAfter && z.until <= b.now && b.othersReached(z) {
		z.until = b.now + zoneOutAims*b.longest
		for _, other := range b.hosts {
			if other.zone == z { // the zone failed, not they
				other.doubtFor = 0
			}
		}
		b.say("zone %d out until %.1f", h.Zone, z.until)
	}
}

// othersReached: with every zone out nothing would be left, as hosts may refuse connections for want of room.
func (b *Balancer) othersReached(z *zone) (reached bool) {
	for _, other := range b.zones {
		reached = reached || other != z && !other.out(b.now)
	}
	return reached
}

// lose counts an attempt of a class that got no answer, and tells peers.
func (b *Balancer) lose(h *host, class int) {
	b.fade(h)
	h.lost[class]++
	b.tell(h, byte(math.MaxUint8-min(class, classWords-1)))
}

// fade lets losses of a host be forgotten in time.
func (b *Balancer) fade(h *host) {
	ago := (b.now - h.lostAt) / (lostAims * b.longest)
	for c, lost := range h.lost {
		slower := 1.0
		if lost >= lostSure { // who is out for a class is seldom asked again
			slower = lostSlower
		}
		h.lost[c] = min(lost, lostKept) * math.Exp(-ago/slower)
	}
	h.lostAt = b.now
}

// mute says whether a host leaves one class unanswered that serves others: health is a matter of the class.
func (b *Balancer) mute(h *host, class int) bool {
	if h.lost[class] < lostSure { // the usual case; fading makes it less
		return false
	}
	b.fade(h)
	all := 0.0
	for _, lost := range h.lost {
		all += lost
	}
	return h.lost[class] >= lostSure && 2*h.lost[class] > lostMost*all
}

// tell sends peers a word on a host, as far as that may cost.
func (b *Balancer) tell(h *host, word byte) bool {
	cost := float64(b.cfg.Balancers*len(b.told)) / fullMessage
	if !b.cfg.PeerMessages || b.tells < cost {
		return false
	}
	b.tells -= cost
	binary.LittleEndian.PutUint32(b.told[:], tag(h.ID)|uint32(word))
	b.act.Tell(b.told[:])
	return true
}

// feel moves the share of requests that a host gets: by how much its load is above what is wanted, of which
// peers are told, and by how far an answer was apart from the mean. In overload the first holds: it makes
// cheap work give way, and keys stay where they are.
func (b *Balancer) feel(h *host, over, apart float64) {
	step := admitGain * min(b.now-h.admitAt, b.longest)
	if b.cfg.PeerMessages { // peers agree, so keys move together and what one finds out serves all
		step *= 2
	}
	h.part = min(1, max(admitLeast, h.part*math.Exp(-aloneStep*apart)))
	h.admit *= math.Exp(-step * over)
	h.admit, h.admitAt = min(1, max(admitLeast, h.admit)), b.now
	if math.Abs(math.Log(h.admit/h.admitTold)) > tellStep && b.tell(h, byte(h.admit*wholeShare)) {
		h.admitTold = h.admit
	}
}

// coldBudget is the part of what pushes a host over, relative to its size, that may be sent to it.
func (b *Balancer) coldBudget(warmth float64) float64 {
	grows := max(0, min(coldMost, 1/max(1, b.cfg.FallMultiple))-coldSafety)
	return (coldSafety + grows*warmth*warmth) * b.cfg.FallMultiple * warmth
}

// earnCold adds to the work that may go to freshly started hosts, which must not be pushed over: part of what
// this balancer's share of their present capacity allows, told from what warm hosts answer from here. Summed
// over proxies that stays under the limit however unequal they are. No more than FallAfter's worth is saved.
func (b *Balancer) earnCold(budget float64) {
	rate := budget * b.warmFlow / max(b.span, b.longest)
	b.cold = min(rate*b.cfg.FallAfter, b.cold+rate*(b.now-b.coldAt))
	b.coldAt = b.now
}

// spendCold says whether a request may go to a cold host. With thin traffic what is earned never pays for
// one: a chance in proportion does. Then the rest is owed, else it is spent: trying again does not help.
func (b *Balancer) spendCold(o *op) bool {
	paid := b.cold
	if b.warmWeight <= 0 { // no warm host to learn from
		paid = max(paid, coldSafety*b.cfg.ColdFrom*o.work)
	}
	if b.random()*o.work < paid {
		b.cold -= o.work
		return true
	}
	b.cold = min(b.cold, 0)
	return false
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
	if o.Coming {
		a.place = 0
	}
	o.attempts = append(o.attempts, a)
	o.out++
	h.inflight += a.place
	b.act.Send(o.ID, h.ID, timeout)
	if !o.Coming {
		b.timeMark(o, len(o.attempts)-1)
	}
}

// timeMark asks for word when an attempt counts as late.
func (b *Balancer) timeMark(o *op, n int) {
	b.act.Timer(markShare*o.class.Aim, timerMark<<tokenKind|uint64(n)<<tokenAttempt|uint64(o.ID))
}

// ---- what comes back

// Begun takes the start of a streamed answer: the attempt is the client's from now on.
func (b *Balancer) Begun(now float64, id RequestID, n int) {
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

// worthAnother says whether a further attempt could still earn anything. What never reached a host costs
// nothing to send again; other failures are followed by one attempt, so that they cannot multiply the load.
func (b *Balancer) worthAnother(o *op, r Result) bool {
	worthless := r == TimedOut || r == Moot || b.now >= o.aimAt && o.class.LateWorth <= 0
	return !worthless && (r == ConnectFailed || len(o.attempts) < mostTries)
}

// sense takes a host's load by how near its answer came to being late. Traffic and hosts may be spread
// unevenly over zones; no proxy sees enough of one host to tell, but all answers here do.
func (b *Balancer) sense(h *host, o *op, took float64) {
	util := min(1, took/(markShare*max(leastAim, o.class.Aim)))
	b.load[h.side] += loadStep * (util - b.load[h.side])
	over := util/min(mostLoad, max(loadedAbove, b.load[h.side]+admitOver)) - 1
	b.feel(h, over, min(1, took/b.classWork[o.Class]-1))
}

// weigh takes an outcome as evidence on the host and on the load.
func (b *Balancer) weigh(o *op, a *attempt, r Outcome) {
	h := a.h
	b.connected(h, r.Result != ConnectFailed)
	switch r.Result {
	case OK:
		drift(&b.classWork[o.Class], r.Took)
		b.flow += o.work
		b.warmFlow += o.work / max(b.warmWeight, h.weight)
		if !a.late {
			drift(&b.late, 0)
		}
		if float64(h.inflight+2) > h.window && r.Took < growBelow*o.class.Aim {
			h.window += r.Took / o.class.Aim / growBelow / h.window
		}
		h.answered, h.newest = b.now, max(h.newest, a.at)
		b.sense(h, o, r.Took)
		if !a.late || !b.doubts { // slowness is no sign of health
			b.judge(h, failed, 0)
		}
		b.judge(h, broken, 0)
		h.lost[o.Class] *= 1 - judgeStep[failed]
	case TurnedAway: // proves load, not sickness
		h.heard = true
		b.feel(h, 1, 1)
	case TimedOut:
		b.lose(h, o.Class)
		b.feel(h, b.lateWeight(), b.lateWeight())
		if !a.late {
			b.markLate(a)
		}
	case Errored, ConnectFailed:
		b.judge(h, failed, 1)
	case Reset, Spoilt: // it was there to take the request
		b.judge(h, broken, 1)
	}
}

// lateWeight is what lateness says about a single host: the less, the more attempts are late everywhere.
func (b *Balancer) lateWeight() float64 { return max(0, 1-lateDoubt*b.late) }

// markLate counts an attempt as late. Load makes a host late too; one that answered nothing at all since
// the attempt went out may have hung: it need not take whole deadlines to find that out.
func (b *Balancer) markLate(a *attempt) {
	a.late = true
	if 2*a.h.newest > a.at+b.now { // lost: what went out in the later half of its wait has been answered
		a.h.inflight, a.place = a.h.inflight-a.place, 0
		return
	}
	if a.at >= a.h.cutAt { // once for all attempts that were out together
		a.h.window, a.h.cutAt = max(1, a.h.window*windowCut), b.now
	}
	if a.h.answered < a.at {
		b.judge(a.h, failed, b.lateWeight())
	}
	drift(&b.late, 1)
	b.feel(a.h, b.lateWeight(), b.lateWeight())
}

// leaves says whether a request had better go elsewhere than wait on past its mark: it may, and its time for
// that would soon be over. Guards against hosts that leave requests unanswered.
func (b *Balancer) leaves(o *op) bool {
	return b.cfg.Cancelling && !o.done && o.class.Effect == Safe && o.class.LateWorth <= 0 &&
		len(o.attempts) < mostTries && b.lateWeight() > 0
}

// judge is outlier ejection: bad is 1 for a failure of a kind, 0 for a good answer.
func (b *Balancer) judge(h *host, kind int, bad float64) {
	h.heard = true
	eject := ejectAims * b.longest
	switch {
	case kind == failed && bad == 0:
		h.doubtFor = 0
	case kind == failed && bad >= sureBad:
		h.doubtFor = min(max(eject, 2*h.doubtFor), doubtMost*eject)
		h.doubt = b.now + h.doubtFor
	}
	if bad > h.fail[kind] || bad == 0 {
		h.fail[kind] += judgeStep[kind] * (bad - h.fail[kind])
	}
	if bad > 0 && h.fail[kind] >= ejectAt && h.until <= b.now {
		h.until = b.now + eject
		b.say("ejected %x until %.1f, failure shares %.2f", h.ID, h.until, h.fail)
	}
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

// Peer takes another balancer's word on the share that a host admits.
func (b *Balancer) Peer(now float64, from int, data []byte) {
	b.now = now
	if len(data) != len(b.told) {
		return
	}
	word := binary.LittleEndian.Uint32(data)
	for _, h := range b.hosts {
		said := word - tag(h.ID)
		switch class := math.MaxUint8 - int(said); {
		case said <= wholeShare:
			h.admit = max(admitLeast, float64(said)/wholeShare)
			h.admitTold, h.admitAt = h.admit, now
		case said <= math.MaxUint8 && class < len(h.lost):
			b.fade(h)
			h.lost[class]++
		}
	}
}

// Gone takes word that a client left: nothing is owed, and what is out is called off.
func (b *Balancer) Gone(now float64, id RequestID) {
	b.now = now
	if o := b.ops[id]; o != nil && !o.done {
		b.finish(o)
	}
}
