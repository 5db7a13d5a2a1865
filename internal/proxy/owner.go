package proxy

import (
	"context"
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
	hosts    *hostPool
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
	names    *nameIndex // by which requests are read now
	ops      bool       // somebody may ask for figures
	lookedAt float64    // when the module was last asked whom it avoids
	endBy    float64    // when the process ends, on its clock; 0: not soon
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

func newOwner(ctx context.Context, cfg *Config, c clock, h *hostPool, bufs *wire.Pool, t timing, log *zap.Logger) *owner {
	o := &owner{
		clock: c, cfg: cfg.Balancer, queue: make(chan event, queueLength),
		flights: map[balancer.RequestID]*flight{}, open: map[string]bool{}, hosts: h, bufs: bufs, log: log, ctx: ctx,
		done: make(chan struct{}), known: make(chan struct{}), fresh: make(chan struct{}),
		roll: newRoll(), tally: newTally(),
	}
	o.names = newNameIndex(cfg.Settings, &cfg.Balancer, o.tally)
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
	hostListReceived{kind: balancer.ListCached, list: known}.apply(o)
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

// conclude gives a request its one answer. Nothing may be sent for it from then on, so what is out is called off.
func (o *owner) conclude(f *flight, a clientResponse) {
	if f.answered {
		return
	}
	f.answered = true
	if line := o.log.Check(zap.DebugLevel, "answered"); line != nil {
		line.Write(zap.String("id", f.request.txnID), zap.Int("class", f.request.Class), zap.Int("status", a.status),
			zap.Int("attempts", len(f.attempts)), zap.Float64("left", f.deadline-o.clock.now()))
	}
	if f.request.upload != nil {
		f.request.upload.abandon()
	}
	for _, at := range f.attempts {
		if at.responseStartedAt == 0 && at.abort() {
			a.abortedAttempts = append(a.abortedAttempts, at)
		}
	}
	f.request.response <- a // has room for the one
}

// drop forgets a flight that is answered and has nothing out.
func (o *owner) drop(f *flight) {
	if f.answered && f.out == 0 && o.flights[f.request.ID] == f {
		delete(o.flights, f.request.ID)
		delete(o.open, f.request.txnID)
		freeRequest(o.bufs, f.request)
	}
}
