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
	clock         clock
	bal           balancer.Handler
	cfg           balancer.Config
	queue         chan event
	localEvents   []event // events that actions gave rise to; the module may not be called from within an action
	timers        timerHeap
	pending       map[balancer.RequestID]*pendingRequest
	openIDs       map[string]bool // the names that clients gave them
	pendingProbes int
	lastID        balancer.RequestID
	hosts         *hosts
	discovery     *discovery
	bufs          *wire.Pool
	log           *zap.Logger
	ctx           context.Context // of attempts and probes
	ready         atomic.Bool     // hosts are known
	hostsKnown    chan struct{}   // closed when they are
	listReceived  chan struct{}   // closed once discovery has told of them
	registry      *hostRegistry   // the list, and who is out by hand
	zoneObserver  *zoneObserver   // what is seen of zones; nil: nobody asks
	stats         *requestStats
	names         *names  // by which requests are read now
	adminEnabled  bool    // somebody may ask for figures
	hostStatsAt   float64 // when the module was last asked whom it avoids
	endsAt        float64 // when the process ends, on its clock; 0: not soon
	stopping      bool
	done          chan struct{} // closed when the owner has ended
}

// flight is a request that the module has not done with.
type pendingRequest struct {
	request     *request
	deadline    float64
	maxAttempts int // attempts; 0: any number
	attempts    []*attempt
	outstanding int
	answered    bool
}

func newOwner(ctx context.Context, cfg *Config, c clock, h *hosts, bufs *wire.Pool, t timing, log *zap.Logger) *owner {
	o := &owner{
		clock: c, cfg: cfg.Balancer, queue: make(chan event, queueLength),
		pending: map[balancer.RequestID]*pendingRequest{}, openIDs: map[string]bool{}, hosts: h, bufs: bufs, log: log, ctx: ctx,
		done: make(chan struct{}), hostsKnown: make(chan struct{}), listReceived: make(chan struct{}),
		registry: newHostRegistry(), stats: newRequestStats(),
	}
	o.names = newNames(cfg.Settings, &cfg.Balancer, o.stats)
	if cfg.Site.Failover.Mode != site.Off {
		o.zoneObserver = newZoneObserver(cfg, c.now())
	}
	o.discovery = newDiscovery(cfg, bufs, t, log, o.post)
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
func (o *owner) run(newHandler func(float64, balancer.Config, balancer.Actions) balancer.Handler, cached catalog) {
	defer close(o.done)
	o.bal = newHandler(o.clock.now(), o.cfg, o)
	members{kind: balancer.ListCached, list: cached}.apply(o)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		o.applyLocal()
		wait := o.fire()
		if o.adminEnabled {
			wait = min(wait, o.refreshHostStatsIfDue())
		}
		if len(o.localEvents) > 0 {
			continue
		}
		if o.stopping && len(o.pending) == 0 && o.pendingProbes == 0 {
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
func (o *owner) applyLocal() {
	for len(o.localEvents) > 0 {
		e := o.localEvents[0]
		o.localEvents = o.localEvents[1:]
		e.apply(o)
	}
}

// conclude gives a request its one answer. Nothing may be sent for it from then on, so what is out is called off.
func (o *owner) complete(f *pendingRequest, a answer) {
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
func (o *owner) release(f *pendingRequest) {
	if f.answered && f.outstanding == 0 && o.pending[f.request.ID] == f {
		delete(o.pending, f.request.ID)
		delete(o.openIDs, f.request.name)
		freeRequest(o.bufs, f.request)
	}
}
