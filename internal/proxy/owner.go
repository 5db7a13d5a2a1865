package proxy

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/site"
	"beechwing/internal/wire"
)

// queueLength bounds what waits for the owner. Socket code that finds the queue full waits in turn.
const queueLength = 1024

// owner is the one goroutine that the module runs in. Socket code reaches it through its queue only. It does no I/O
// itself and never waits for anything but the queue and its timers, so a slow peer cannot hold up the decisions.
type owner struct {
	clock    clock
	bal      balancer.Handler
	cfg      balancer.Config
	queue    chan event
	local    []event // events that actions gave rise to; the module may not be called from within an action
	timers   timerHeap
	flights  map[balancer.RequestID]*flight
	open     map[string]bool // the names that clients gave them
	probes   int
	lastID   balancer.RequestID
	hosts    *hosts
	list     *discovery
	bufs     *wire.Pool
	log      *zap.Logger
	ctx      context.Context // of attempts and probes
	ready    atomic.Bool     // hosts are known
	known    chan struct{}   // closed when they are
	fresh    chan struct{}   // closed once discovery has told of them
	roll     *roll           // the list, and who is out by hand
	sight    *sight          // what is seen of zones; nil: nobody asks
	tally    *tally
	names    *names  // by which requests are read now
	ops      bool    // somebody may ask for figures
	lookedAt float64 // when the module was last asked whom it avoids
	endBy    float64 // when the process ends, on its clock; 0: not soon
	stopping bool
	done     chan struct{} // closed when the owner has ended
}

// flight is a request that the module has not done with.
type flight struct {
	request  *request
	deadline float64
	most     int // attempts; 0: any number
	attempts []*attempt
	out      int
	answered bool
}

// event is what the owner's queue holds.
type event interface{ apply(o *owner) }

// arrival is a request that has come whole.
type arrival struct{ request *request }

// departure is word that a request's client has left, or has broken the protocol and gets an answer for that.
type departure struct {
	request *request
	answer  answer
}

// outcome is the end of an attempt.
type outcome struct {
	attempt *attempt
	result  balancer.Result
	reply   reply
}

// probed is the end of a probe.
type probed struct {
	host   balancer.HostID
	sent   float64
	result balancer.Result
	report []float32
}

// members is word on the list.
type members struct {
	kind balancer.ListKind
	list catalog
}

// stop ends the owner once nothing is in flight.
type stop struct{}

func newOwner(ctx context.Context, cfg *Config, c clock, h *hosts, bufs *wire.Pool, t timing, log *zap.Logger) *owner {
	o := &owner{
		clock: c, cfg: cfg.Balancer, queue: make(chan event, queueLength),
		flights: map[balancer.RequestID]*flight{}, open: map[string]bool{}, hosts: h, bufs: bufs, log: log, ctx: ctx,
		done: make(chan struct{}), known: make(chan struct{}), fresh: make(chan struct{}),
		roll: newRoll(), tally: newTally(),
	}
	o.names = newNames(cfg.Settings, &cfg.Balancer, o.tally)
	if cfg.Site.Failover.Mode != site.Off {
		o.sight = newSight(cfg, c.now())
	}
	o.list = newDiscovery(cfg, bufs, t, log, o.post)
	return o
}

// post queues an event. After the owner's end nobody is left whom it could concern.
func (o *owner) post(e event) {
	select {
	case o.queue <- e:
	case <-o.done:
	}
}

// run is the owner's loop.
func (o *owner) run(decide func(float64, balancer.Config, balancer.Actions) balancer.Handler, known catalog) {
	defer close(o.done)
	o.bal = decide(o.clock.now(), o.cfg, o)
	members{kind: balancer.ListCached, list: known}.apply(o)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		o.settleLocal()
		wait := o.fire()
		if o.ops {
			wait = min(wait, o.lookAgain())
		}
		if len(o.local) > 0 {
			continue
		}
		if o.stopping && len(o.flights) == 0 && o.probes == 0 {
			return
		}
		timer.Reset(wait)
		select {
		case e := <-o.queue:
			e.apply(o)
		case <-timer.C:
		}
	}
}

// settleLocal plays the events that actions gave rise to, in order.
func (o *owner) settleLocal() {
	for len(o.local) > 0 {
		e := o.local[0]
		o.local = o.local[1:]
		e.apply(o)
	}
}

// An id that is open already is some other request's: with both out, a host could not tell them apart.
func (e arrival) apply(o *owner) {
	q := e.request
	if o.open[q.name] {
		q.answer <- badRequest{http.StatusConflict, "a request with this id is open"}.answer()
		freeRequest(o.bufs, q)
		return
	}
	if q.names != o.names { // other settings came between
		if bad := o.names.adopt(q); bad != nil {
			q.answer <- bad.answer()
			freeRequest(o.bufs, q)
			return
		}
	}
	o.open[q.name] = true
	o.lastID++
	q.ID = o.lastID
	now := o.clock.now()
	q.Budget = max(0, q.Budget-time.Since(q.taken).Seconds()) // it may have waited in the queue
	if o.endBy > 0 {
		q.Budget = max(0, min(q.Budget, o.endBy-now))
	}
	o.flights[q.ID] = &flight{request: q, deadline: now + q.Budget, most: o.cfg.MaxAttempts}
	o.sight.took(now)
	o.bal.Request(now, q.Request)
}

func (e departure) apply(o *owner) {
	f := o.flights[e.request.ID]
	if f == nil {
		return
	}
	if f.answered {
		f.leave()
		return
	}
	o.conclude(f, e.answer)
	o.bal.Gone(o.clock.now(), e.request.ID)
	o.drop(f)
}

func (e outcome) apply(o *owner) {
	a := e.attempt
	f := o.flights[a.request.ID]
	if line := o.log.Check(zap.DebugLevel, "attempt"); line != nil {
		line.Write(zap.String("id", a.request.name), zap.Int("class", a.request.Class), zap.Int("attempt", a.number),
			zap.String("host", fmt.Sprintf("%x", a.host)), zap.Stringer("result", e.result), zap.Int("status", e.reply.status),
			zap.Float64("took", o.clock.now()-a.sent), zap.NamedError("cause", e.reply.err))
	}
	a.over = true
	f.out--
	switch {
	case f.answered:
	case e.result == balancer.OK:
		o.conclude(f, answer{status: http.StatusOK, kind: e.reply.kind, body: e.reply.body})
		e.reply.body = wire.Body{}
	case e.result == balancer.Errored && atFault(e.reply.status):
		o.conclude(f, answer{status: e.reply.status, text: "a host cannot use the request\n"})
		e.result = balancer.Cancelled // says nothing about the host, and no other would take it
	}
	o.bufs.FreeBody(&e.reply.body)
	now := o.clock.now()
	took := cmp.Or(a.begunAt, now) - a.sent
	o.sight.ended(now, took, a, e.result, o.cfg.Classes)
	o.bal.Outcome(now, balancer.Outcome{ID: a.request.ID, Attempt: a.number, Host: a.host, Result: e.result,
		Took: took, Final: f.answered, Report: e.reply.report})
	o.drop(f)
}

func (e probed) apply(o *owner) {
	o.probes--
	now := o.clock.now()
	o.bal.Probed(now, balancer.ProbeResult{Host: e.host, Result: e.result, Took: now - e.sent, Report: e.report})
}

func (e members) apply(o *owner) {
	now := o.clock.now()
	list := e.list
	if e.kind != balancer.ListFailed {
		list = o.roll.take(e.kind, e.list)
		o.hosts.update(e.kind, list, now)
		o.sight.listed(e.kind, list)
	}
	o.bal.Members(now, e.kind, list.hosts)
	o.look(now)
	if len(list.hosts) > 0 && !o.ready.Swap(true) {
		close(o.known)
	}
	if e.kind == balancer.ListFull || e.kind == balancer.ListChanges {
		o.told()
	}
}

// told notes that discovery has told of the list.
func (o *owner) told() {
	select {
	case <-o.fresh:
	default:
		if o.ready.Load() {
			close(o.fresh)
		}
	}
}

func (stop) apply(o *owner) { o.stopping = true }

// configured is word of other settings. Requests that are open keep the deadline, effect and attempts that they came with.
type configured struct {
	cfg     balancer.Config
	names   *names
	applied chan struct{}
}

func (e configured) apply(o *owner) {
	o.bal.Configure(o.clock.now(), e.cfg, e.names.kept(o.names))
	o.cfg, o.names = e.cfg, e.names
	close(e.applied)
}

// ending is word that the process ends at a time: what it still takes has to be answered by then.
type ending struct{ by float64 }

func (e ending) apply(o *owner) { o.endBy = e.by }

// conclude gives a request its one answer. Nothing may be sent for it from then on, so what is out is called off.
func (o *owner) conclude(f *flight, a answer) {
	if f.answered {
		return
	}
	f.answered = true
	if line := o.log.Check(zap.DebugLevel, "answered"); line != nil {
		line.Write(zap.String("id", f.request.name), zap.Int("class", f.request.Class), zap.Int("status", a.status),
			zap.Int("attempts", len(f.attempts)), zap.Float64("left", f.deadline-o.clock.now()))
	}
	if f.request.up != nil {
		f.request.up.leave()
	}
	for _, at := range f.attempts {
		if at.begunAt == 0 && at.callOff() {
			a.stopped = append(a.stopped, at)
		}
	}
	f.request.answer <- a // has room for the one
}

// drop forgets a flight that is answered and has nothing out.
func (o *owner) drop(f *flight) {
	if f.answered && f.out == 0 && o.flights[f.request.ID] == f {
		delete(o.flights, f.request.ID)
		delete(o.open, f.request.name)
		freeRequest(o.bufs, f.request)
	}
}

// ---- balancer.Actions

// Send starts the next attempt of a request.
func (o *owner) Send(id balancer.RequestID, host balancer.HostID, timeout float64) {
	f := o.flights[id]
	if f == nil {
		return
	}
	now := o.clock.now()
	until := f.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{request: f.request, number: len(f.attempts), host: host, sent: now, tally: o.tally, post: o.post,
		within: seconds(timeout), zone: o.sight.zoneOf(host)}
	f.attempts = append(f.attempts, a)
	f.out++
	up := o.hosts.find(host)
	switch {
	case f.answered, f.bound(), until <= now && f.request.up == nil, f.most > 0 && a.number >= f.most:
		o.local = append(o.local, outcome{attempt: a, result: balancer.Moot})
	case up == nil:
		o.local = append(o.local, outcome{attempt: a, result: balancer.ConnectFailed})
	default:
		a.ctx, a.cancel = context.WithCancelCause(o.ctx)
		if f.request.up == nil {
			a.expire(o.clock.at(until))
		}
		go func() { o.post(a.run(up)) }()
	}
}

// Refuse answers that trying again is harmless.
func (o *owner) Refuse(id balancer.RequestID, coolDown float64) {
	o.give(id, answer{status: http.StatusServiceUnavailable, text: "refused\n", coolDown: coolDown})
}

// Fail answers that nothing is promised.
func (o *owner) Fail(id balancer.RequestID) {
	o.give(id, answer{status: http.StatusBadGateway, text: "failed\n"})
}

// give answers a request.
func (o *owner) give(id balancer.RequestID, a answer) {
	f := o.flights[id]
	if f == nil {
		return
	}
	o.conclude(f, a)
	o.local = append(o.local, dropped{f})
}

// dropped looks, once the module has returned, whether a flight has ended.
type dropped struct{ flight *flight }

func (e dropped) apply(o *owner) { o.drop(e.flight) }

// Cancel stops waiting for an attempt.
func (o *owner) Cancel(id balancer.RequestID, n int) {
	f := o.flights[id]
	if f == nil || n < 0 || n >= len(f.attempts) {
		return
	}
	f.attempts[n].callOff()
}

// Probe asks a host for its state.
func (o *owner) Probe(host balancer.HostID) {
	o.probes++
	p := probed{host: host, sent: o.clock.now(), result: balancer.ConnectFailed}
	up := o.hosts.find(host)
	if up == nil {
		o.local = append(o.local, p)
		return
	}
	go func() { o.post(p.run(o.ctx, up)) }()
}

// Timer asks for an event.
func (o *owner) Timer(after float64, token uint64) {
	heap.Push(&o.timers, timer{at: o.clock.now() + max(0, after), token: token})
}

// Watch asks for the list and its changes.
func (o *owner) Watch() { ask(o.list.watch) }

// Fetch asks for the list once.
func (o *owner) Fetch() { ask(o.list.fetch) }

// Tell would send a message to every peer. The protocol has none, and the module is told so in its Config.
func (o *owner) Tell([]byte) {}

// Log writes a line of the module's.
func (o *owner) Log(text string) { o.log.Info(text) }

// ---- timers

// timer is an event that the module asked for.
type timer struct {
	at    float64
	token uint64
}

// timerHeap holds the timers, the next one due first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// fire plays one timer that is due and says how long to wait for the next event. One at a time: what the module asked
// for in it comes first.
func (o *owner) fire() time.Duration {
	const idle = time.Second
	if len(o.timers) == 0 {
		return idle
	}
	now := o.clock.now()
	if next := o.timers[0].at; next > now {
		return seconds(next - now)
	}
	t := heap.Pop(&o.timers).(timer)
	o.bal.Timer(now, t.token)
	return 0
}
