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

// queueLength is the capacity of the owner's event queue. Network goroutines block while the queue is full.
const queueLength = 1024

// owner runs the balancer in a single goroutine. Network goroutines communicate with it only by events on its queue. It
// does no I/O itself and waits for nothing but the queue and its timers, so that a slow peer cannot delay decisions.
type owner struct {
	clock         clock
	bal           balancer.Handler
	cfg           balancer.Config
	queue         chan event
	localEvents   []event // events caused by actions; an action must not call back into the balancer
	timers        timerHeap
	pending       map[balancer.RequestID]*pendingRequest
	openIDs       map[string]bool // the IDs that clients gave to the pending requests
	pendingProbes int
	lastID        balancer.RequestID
	hosts         *hostPool
	discovery     *discovery
	bufs          *wire.Pool
	log           *zap.Logger
	ctx           context.Context // parent of the contexts of attempts and probes
	ready         atomic.Bool     // a list with hosts is known
	hostsKnown    chan struct{}   // closed when ready is set
	listReceived  chan struct{}   // closed once discovery has sent a list and ready is set
	registry      *hostRegistry   // listed and cordoned hosts
	zoneObserver  *zoneObserver   // nil: failover between zones is off
	stats         *requestStats
	names         *nameIndex // classes and tenants of the current settings
	adminEnabled  bool       // host statistics are kept for the admin server
	hostStatsAt   float64    // when the host statistics were last updated, on the owner's clock
	endsAt        float64    // when the process ends, on the owner's clock; 0: no shutdown has been announced
	stopping      bool
	done          chan struct{} // closed when run returns
}

// pendingRequest is a request that is unanswered or still has attempts outstanding.
type pendingRequest struct {
	request     *request
	deadline    float64
	maxAttempts int // 0: no limit
	attempts    []*attempt
	outstanding int // attempts without an outcome
	answered    bool
}

func newOwner(ctx context.Context, cfg *Config, c clock, h *hostPool, bufs *wire.Pool, t timing, log *zap.Logger) *owner {
	o := &owner{
		clock: c, cfg: cfg.Balancer, queue: make(chan event, queueLength),
		pending: map[balancer.RequestID]*pendingRequest{}, openIDs: map[string]bool{}, hosts: h, bufs: bufs, log: log, ctx: ctx,
		done: make(chan struct{}), hostsKnown: make(chan struct{}), listReceived: make(chan struct{}),
		registry: newHostRegistry(), stats: newRequestStats(),
	}
	o.names = newNameIndex(cfg.Settings, &cfg.Balancer, o.stats)
	if cfg.Site.Failover.Mode != site.FailoverOff {
		o.zoneObserver = newZoneObserver(cfg, c.now())
	}
	o.discovery = newDiscovery(cfg, bufs, t, log, o.post)
	return o
}

// post queues an event. Events are dropped once the owner has stopped.
func (o *owner) post(e event) {
	select {
	case o.queue <- e:
	case <-o.done:
	}
}

// run processes events and timers until stopRequested, and then until no request or probe is pending. cached is the host
// list from the configuration.
func (o *owner) run(newHandler func(float64, balancer.Config, balancer.Actions) balancer.Handler, cached catalog) {
	defer close(o.done)
	o.bal = newHandler(o.clock.now(), o.cfg, o)
	hostListReceived{kind: balancer.ListCached, list: cached}.apply(o)
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

// applyLocal applies the events that actions caused, in order.
func (o *owner) applyLocal() {
	for len(o.localEvents) > 0 {
		e := o.localEvents[0]
		o.localEvents = o.localEvents[1:]
		e.apply(o)
	}
}

// complete answers a request, at most once. Nothing may be sent for the request from then on, so its outstanding attempts
// are cancelled, except one whose response is being passed on.
func (o *owner) complete(pending *pendingRequest, a clientResponse) {
	if pending.answered {
		return
	}
	pending.answered = true
	if line := o.log.Check(zap.DebugLevel, "answered"); line != nil {
		line.Write(zap.String("id", pending.request.txnID), zap.Int("class", pending.request.Class), zap.Int("status", a.status),
			zap.Int("attempts", len(pending.attempts)), zap.Float64("left", pending.deadline-o.clock.now()))
	}
	if pending.request.upload != nil {
		pending.request.upload.abandon()
	}
	for _, attempt := range pending.attempts {
		if attempt.responseStartedAt == 0 && attempt.abort() {
			a.abortedAttempts = append(a.abortedAttempts, attempt)
		}
	}
	pending.request.response <- a // never blocks: the channel has a buffer of one
}

// release removes a request that is answered and has no outstanding attempts.
func (o *owner) release(pending *pendingRequest) {
	if pending.answered && pending.outstanding == 0 && o.pending[pending.request.ID] == pending {
		delete(o.pending, pending.request.ID)
		delete(o.openIDs, pending.request.txnID)
		freeRequest(o.bufs, pending.request)
	}
}
