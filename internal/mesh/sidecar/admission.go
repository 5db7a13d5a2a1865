package sidecar

import (
	"cmp"
	"slices"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/outcome"
	"beechwing/internal/mesh/register"
)

const (
	spareBerths   = 0     // beyond a host's own, so that none of them waits for the next request
	defaultBerths = 4     // of a host that has not said
	mostJobs      = 4096  // here at once
	workStep      = 0.05  // weight of one request in the mean time that a host takes
	firstWork     = 0.03  // seconds, until that is known
	leastWait     = 0.01  // seconds that any request may wait here for the host
	spread        = 1.8   // times the mean that its class takes: what a run is expected to take
	onTheWay      = 0.015 // seconds: its answer's way
	returns       = 0.25  // seconds: with less left a client hardly comes again
	waitShare     = 0.5   // of the time left that such a request may wait
	mostClasses   = 256
	largeAnswer   = 16 << 10 // bytes: such answers wait for the machine's link
	lateShare     = 0.5      // of the berths: so many may wait that are late, until it is known how many get their turn
	lateMost      = 0.5      // of the berths that are in use, beyond which those that are late get none
	firstWait     = 0.8      // of a mean run, that a first try may wait
	hostSlack     = 0.15     // seconds beyond its deadline in which a host still gives its own answer
	drainAfter    = 1.0      // seconds after word of a drain in which what waited here may still go to the host
)

// admission is the last before the host: all requests to it pass here, so here it is sure which life of a host has the address,
// that nothing goes to one that leaves, how many requests it has in hand, and what has been sent at all.
type admission struct {
	p        *Sidecar
	jobs     map[uint64]*job
	arrivals arrivals
	keys     keys
	queue    []*job    // waiting for a berth, each still in time for its aim
	late     lateQueue // the others: they go when nobody else waits
	running  int
	serving  bool
	work     float64            // mean seconds that the host takes
	took     map[uint32]float64 // by class
	bytes    map[uint32]float64 // mean of an answer's body, by class
	link     float64            // seconds that a large answer waits for this machine's link
	perByte  float64            // and that it takes, a byte
	tickedAt float64
}

// job is a request of another proxy's, or of this one's, for the host here.
type job struct {
	id      uint64
	from    string
	message *meshpb.Message // that brought it
	carry   *meshpb.Forward
	came    float64
	until   float64
	aim     float64 // by then its answer is worth most
	claim   claim
	running bool    // it has a berth
	late    bool    // it can no longer be answered within its aim
	sent    float64 // when it went to the host, by the seconds for which this process has run
	ended   bool
}

func (g *admission) begin(p *Sidecar) {
	g.p, g.work = p, firstWork
	g.took, g.bytes = map[uint32]float64{}, map[uint32]float64{}
	g.arrivals = newArrivals()
	g.jobs = map[uint64]*job{}
	g.keys.init()
}

func (g *admission) berths() int {
	if n := int(g.p.discovery.own.Berths); n > 0 {
		return n + spareBerths
	}
	return defaultBerths + spareBerths
}

// carry takes a request for the host. What has come before, or may have, is dropped before anything is said of it: its
// sender would take a word that it was turned away for a promise, while the first one runs.
func (g *admission) carry(from string, m *meshpb.Message) {
	if why := g.arrivals.admit(g.p.now, arrival{asker{from, m.Life}, m.Id}); why != "" {
		g.p.drop(from, m, why)
		return
	}
	if life := m.Forward.GateLife; life != 0 && life != g.p.life { // it may have run there
		g.p.drop(from, m, dropGateLife)
		broken := &meshpb.Forwarded{Verdict: uint32(outcome.Broken), Why: "it was for the process before this one"}
		g.p.answer(from, m, &meshpb.Message{Forwarded: broken})
		return
	}
	g.admit(from, m)
}

// admit takes a request that comes for the first time.
func (g *admission) admit(from string, m *meshpb.Message) {
	p, c := g.p, m.Forward
	sent := p.now
	if from != p.o.Self {
		sent -= p.pauses.age(p.now)
	}
	j := &job{id: p.id(), from: from, message: m, carry: c, came: p.now, until: sent + float64(c.LeftUs)/1e6,
		aim: sent + float64(c.AimUs)/1e6}
	switch own := p.discovery.own; {
	case own.Station == "" || own.Station != c.Station:
		g.turn(j, "another host is here", 0)
		return
	case own.Condition != Serving:
		g.turn(j, "the host leaves", 0)
		return
	case !g.holdsKey(c):
		g.turn(j, whyNotHeld, notHeldBackMs)
		return
	case sent < p.now && j.until <= p.now: // its sender may have given it up; a fresh one may go elsewhere
		g.turn(j, "this process was stopped for longer than its time", 1)
		return
	case len(g.jobs) >= mostJobs || p.inUse+len(c.Body) > p.o.MaxBodyBytes:
		g.turn(j, "too much is under way here", 1)
		return
	}
	link, most := g.linkWait(c.Class), g.patience(j)
	if link > most { // what is late in the link keeps all behind it late: no queue for late ones is kept there
		g.turn(j, "the link is full", uint32(link*1000)+1)
		return
	}
	if g.running >= g.berths() {
		if c.Attempt == 0 { // there may be room elsewhere: one that was turned away once may wait
			most = min(most, firstWait*g.work)
		}
		if wait := link + g.wait(j); wait > most || g.pastAim(j) {
			if c.Attempt == 0 || !g.admitLate(j) {
				g.turn(j, "no berth in time", uint32(wait*1000)+1)
				return
			}
			j.late = true
		}
	}
	p.inUse += len(c.Body)
	g.jobs[j.id] = j
	if c.Key != "" { // asked for while it waits: no berth is held for that
		g.beginClaim(j)
		return
	}
	g.enter(j)
}

// enter queues a request that may go to the host.
func (g *admission) enter(j *job) {
	if j.late {
		g.late.add(j)
		g.serve()
		return
	}
	at, _ := slices.BinarySearchFunc(g.queue, j, order)
	g.queue = slices.Insert(g.queue, at, j)
	g.serve()
}

// patience is how long a request may wait here: so long that it can still be answered before its answer loses worth. What has
// little time, as a call that a run elsewhere waits for, cannot come again, and waits longer.
func (g *admission) patience(j *job) float64 {
	left := j.until - g.p.now
	most := max(leastWait, j.aim-g.p.now-spread*g.took[j.carry.Class]-onTheWay)
	if left < returns {
		most = max(most, waitShare*left)
	}
	return most
}

// order is that of the queue: by whose answer loses worth first. What a run elsewhere waits for, with its berth there, comes
// before what only a client waits for, as its aim is short.
func order(a, b *job) int {
	return cmp.Or(cmp.Compare(a.aim, b.aim), cmp.Compare(a.carry.Precedence, b.carry.Precedence), cmp.Compare(a.id, b.id))
}

// wait is how long a request would wait for a berth, from what is before it.
func (g *admission) wait(j *job) float64 {
	at, _ := slices.BinarySearchFunc(g.queue, j, order)
	return float64(at+1) * g.work / float64(g.berths())
}

// serve gives free berths to those that wait.
func (g *admission) serve() {
	if g.serving { // what is turned away in here leads back here
		return
	}
	g.serving = true
	defer func() { g.serving = false }()
	for g.running < g.berths() {
		j := g.next()
		if j == nil {
			return
		}
		own := g.p.discovery.own
		switch {
		case j.until <= g.p.now:
			g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
		case own.Station != j.carry.Station || own.Condition == Gone:
			g.turn(j, "the host has gone", 0)
		case own.Condition != Serving && g.p.now > g.p.discovery.leftAt+drainAfter:
			g.turn(j, "the host leaves", 0)
		case !g.holdsKey(j.carry):
			g.turn(j, whyNotHeld, notHeldBackMs)
		case j.late && !g.canFinish(j):
			g.turn(j, "no berth before its deadline", 1)
		default:
			j.running = true
			g.running++
			g.start(j)
		}
	}
}

// next takes the one out of the queues that is to have the next berth.
func (g *admission) next() *job {
	for len(g.queue) > 0 {
		j := g.queue[0]
		g.queue = g.queue[1:]
		if !g.demoted(j) {
			return j
		}
	}
	if float64(g.running) >= float64(g.berths())*lateMost { // what comes next may have hurry
		return nil
	}
	j := g.late.take()
	if j != nil {
		g.late.served(g.p.now)
	}
	return j
}

// demoted lets one that has waited past its aim go on waiting behind all that are in time, or turns it away. What has little time,
// as a call that a run elsewhere waits for, keeps its place.
//
// Where the host has nothing to do one goes in any case: if it was slow, nothing else shows that it no longer is.
func (g *admission) demoted(j *job) bool {
	if !g.pastAim(j) || g.running == 0 {
		return false
	}
	j.late = true
	if g.admitLate(j) {
		g.late.add(j)
	} else {
		g.turn(j, "no berth in time", 1)
	}
	return true
}

// pastAim says that a run which begins now would not end within its aim, and that there is time beyond that.
func (g *admission) pastAim(j *job) bool {
	return g.p.now+g.took[j.carry.Class] >= j.aim && j.until-g.p.now >= returns
}

// canFinish says whether a run that begins now is expected to end before its client's time does.
func (g *admission) canFinish(j *job) bool {
	return g.p.now+spread*g.took[j.carry.Class]+onTheWay < j.until
}

// linkWait is how long an answer of a class is expected to wait until this machine's link has carried what was there before.
func (g *admission) linkWait(class uint32) float64 {
	if g.bytes[class] < largeAnswer {
		return 0
	}
	wait := g.link
	for _, j := range g.jobs { // their answers come before it
		if bytes := g.bytes[j.carry.Class]; bytes >= largeAnswer {
			wait += bytes * g.perByte
		}
	}
	return wait
}

// admitLate says whether one that is too late for its aim may wait on here: as many may as have lately been served so in the time
// that this one has, and a few where that is not known.
func (g *admission) admitLate(j *job) bool {
	room := j.until - g.p.now - spread*g.took[j.carry.Class] - onTheWay - g.linkWait(j.carry.Class)
	return room > 0 && float64(len(g.late.jobs)) < max(float64(g.berths())*lateShare, g.late.rate(g.p.now)*room)
}

func (g *admission) start(j *job) {
	j.sent = g.p.pauses.ran
	g.p.count.Runs++
	if j.late {
		g.p.count.LateRuns++
	}
	c := j.carry
	c.LeftUs = uint32(max(0, j.until-g.p.now) * 1e6)
	g.p.out.Commands = append(g.p.out.Commands, Exchange{Job: j.id, Forward: c, Deadline: j.until + hostSlack})
}

// turn gives a request back before a byte of it went to the host. backMs is set where the host is full, and not gone.
func (g *admission) turn(j *job, why string, backMs uint32) {
	g.p.count.Rejected[why]++
	g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Turned), Why: why, BackMs: backMs})
}

// end gives the word on a request to the proxy that it came from.
func (g *admission) end(j *job, c *meshpb.Forwarded) {
	if j.ended {
		return
	}
	j.ended = true
	if _, here := g.jobs[j.id]; here {
		delete(g.jobs, j.id)
		g.p.inUse -= len(j.carry.Body)
	}
	g.keys.close(j)
	if j.running {
		j.running = false
		g.running--
	}
	c.Claimed = j.claim.mayStand
	g.p.answer(j.from, j.message, &meshpb.Message{Forwarded: c})
	g.serve()
}

// Exchanged takes the end of an Exchange.
func (p *Sidecar) ExchangeDone(now float64, id uint64, c *meshpb.Forwarded) {
	p.input(now)
	p.admission.exchanged(id, c)
	p.settle()
}

func (g *admission) exchanged(id uint64, c *meshpb.Forwarded) {
	j := g.jobs[id]
	if j == nil {
		return
	}
	v := outcome.Outcome(c.Verdict)
	took := g.p.pauses.ran - j.sent // a stop of this process says nothing of the host
	g.p.sawEnd(j.carry.Station, c)
	if c.Refused {
		g.p.lease.hostRefused()
	}
	c.TookUs = uint32(min(took, 1000) * 1e6)
	if v == outcome.Answered {
		g.work += workStep * (took - g.work)
		if was, known := g.took[j.carry.Class]; known {
			g.took[j.carry.Class] += workStep * (took - was)
			g.bytes[j.carry.Class] += workStep * (float64(len(c.Body)) - g.bytes[j.carry.Class])
		} else if len(g.took) < mostClasses {
			g.took[j.carry.Class], g.bytes[j.carry.Class] = took, float64(len(c.Body))
		}
	}
	if j.carry.Key != "" {
		switch v {
		case outcome.Answered:
			r := &meshpb.Receipt{Token: j.carry.Token, State: register.Done, Attempt: j.carry.Attempt, Status: c.Status,
				Fields: c.Fields, Body: c.Body}
			if len(c.Body) > mostKept {
				r = &meshpb.Receipt{Token: j.carry.Token, State: register.Lost, Attempt: j.carry.Attempt}
			}
			g.settle(j.carry.Key, r)
		case outcome.Broken, outcome.Late:
			g.settle(j.carry.Key, &meshpb.Receipt{Token: j.carry.Token, State: register.Lost, Attempt: j.carry.Attempt})
		}
	}
	g.end(j, c)
}

// mostKept bounds the body of an answer that a register keeps.
const mostKept = 128 << 10

func (g *admission) tick() {
	if g.p.now < g.tickedAt+0.02 {
		return
	}
	g.tickedAt = g.p.now
	g.tickKeys()
	for len(g.queue) > 0 {
		late := slices.IndexFunc(g.queue, func(j *job) bool { return j.until <= g.p.now })
		if late < 0 {
			break
		}
		j := g.queue[late]
		g.queue = slices.Delete(g.queue, late, late+1)
		g.end(j, &meshpb.Forwarded{Verdict: uint32(outcome.Expired)})
	}
	for _, j := range g.late.drop(func(j *job) bool { return !g.canFinish(j) }) { // nothing is held for what cannot come
		g.turn(j, "no berth before its deadline", 1)
	}
	g.serve()
}
