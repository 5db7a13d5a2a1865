// Package proxy implements the client proxy: it accepts an application's HTTP requests, lets package balancer decide
// which host each one goes to, sends it there and returns the response. It follows the list of hosts that the discovery
// service provides.
//
// The main type is Proxy. LoadConfig reads the configuration, New creates a proxy, and Run serves until its context is
// cancelled. Package balancer does no I/O. A single goroutine, the owner, passes it events from the network and carries
// out the actions that it requests.
//
// The files follow the stages of a request: accept, client (reads requests and detects disconnects), parse, owner (event
// queue and balancer), attempt, upstream (connections to hosts), reply (from a host), answer (to the client). Other files
// handle the host list (discovery, catalog), probes, the admin server (admin) and the choice of zones (zone_planner).
// This file has the life cycle of the process.
package proxy

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/handover"
	"beechwing/internal/ops"
	"beechwing/internal/places"
	"beechwing/internal/site"
	"beechwing/internal/wire"
)

// Phase is a stage in the life cycle of a client proxy.
type Phase int

// The phases, in order. A proxy that is told to stop goes through either Draining or HandingOver.
const (
	Starting    Phase = iota // binds the listening address and starts the goroutines
	Serving                  // accepts connections and serves requests
	Draining                 // told to stop: still accepts connections; closes idle ones, others after a response
	HandingOver              // told to stop: keeps idle connections, leaves new ones to another process on the socket
	Finishing                // accepts nothing new and waits for open requests
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "parting", "finishing", "stopped"}[p]
}

// Proxy is a client proxy. New creates one, and Run runs it.
type Proxy struct {
	cfg              *Config
	activeConfig     atomic.Pointer[balancer.Config] // settings in force
	maxDeadlineNanos atomic.Int64                    // longest class deadline in force since the start, in nanoseconds
	log              *zap.Logger
	times            timing
	listen           func(network, addr string) (net.Listener, error)
	newHandler       func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler
	phase            Phase
	phaseFuncs       map[Phase]func(context.Context) (Phase, error)

	reloadRequests  chan struct{} // requests to read the configuration again; holds at most one
	ready           chan struct{} // closed when the proxy can serve
	stopRequestedAt time.Time     // when the proxy was told to stop
	serving         atomic.Bool   // reported by the admin health check
	adminServer     *ops.Server   // nil: no admin address is configured
	zonePlanner     *zonePlanner  // nil: failover between zones is off

	bufs       *wire.Pool
	hosts      *hostPool
	owner      *owner
	front      *frontend
	goroutines sync.WaitGroup
	cancel     context.CancelFunc // stops attempts, calls to discovery and reloads
}

// New creates a client proxy. It binds no address before Run.
func New(cfg *Config, log *zap.Logger) *Proxy {
	p := &Proxy{cfg: cfg, log: log, times: defaultTiming(), listen: net.Listen,
		reloadRequests: make(chan struct{}, 1), ready: make(chan struct{})}
	p.times.set(cfg.Site.Connections)
	p.setActiveConfig(&cfg.Balancer)
	p.newHandler = func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler {
		return balancer.New(now, cfg, act)
	}
	p.phaseFuncs = map[Phase]func(context.Context) (Phase, error){
		Starting: p.start, Serving: p.serve, Draining: p.drain, HandingOver: p.handOver, Finishing: p.finish,
	}
	return p
}

// Run serves until ctx is cancelled, then shuts down. It returns once all accepted requests have been answered, or the
// time limit of the shutdown has passed.
func (p *Proxy) Run(ctx context.Context) error {
	for p.phase != Stopped {
		next, err := p.phaseFuncs[p.phase](ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", p.phase, err)
		}
		p.log.Info("phase", zap.Stringer("from", p.phase), zap.Stringer("to", next))
		p.phase = next
	}
	return nil
}

// start binds the addresses, creates the components and starts their goroutines.
func (p *Proxy) start(context.Context) (Phase, error) {
	p.cfg.Limits.apply()
	ln, err := p.listenForClients()
	if err != nil {
		return Stopped, err
	}
	adminListener, err := p.listenForAdmin()
	if err != nil {
		return Stopped, err
	}
	// Not derived from the caller's context, so that open requests can finish.
	runCtx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.bufs = wire.NewPool()
	c := newClock(time.Now())
	room := newConnBudget(p.cfg.Limits)
	p.hosts = newHostPool(p.cfg, c, p.bufs, room, p.times)
	p.owner = newOwner(runCtx, p.cfg, c, p.hosts, p.bufs, p.times, p.log)
	p.front, err = newFrontend(ln, p.frontLimits(), room, p.hosts.closeIdle, p.owner, p.bufs, p.owner.names, p.times,
		p.log)
	if err != nil {
		return Stopped, err
	}
	if p.owner.zoneObserver != nil { // before the admin server and reloads, which use the planner
		p.zonePlanner = newZonePlanner(p)
	}
	if adminListener != nil {
		p.startAdminServer(runCtx, adminListener)
	}
	p.goroutines.Go(p.front.maintain)
	p.goroutines.Go(p.front.poller.Run)
	p.goroutines.Go(func() { p.owner.run(p.newHandler, p.cfg.Known) })
	p.goroutines.Go(func() { p.owner.discovery.run(runCtx) })
	p.goroutines.Go(func() { p.serveReloads(runCtx) })
	if p.zonePlanner != nil {
		p.goroutines.Go(func() { p.zonePlanner.run(runCtx) })
	}
	p.goroutines.Go(func() { p.awaitList(runCtx) })
	p.log.Info("listening", zap.String("name", p.cfg.Name), zap.Stringer("addr", ln.Addr()))
	return Serving, nil
}

// frontLimits derives the limits on client connections and requests from the resource limits and the operator's file.
func (p *Proxy) frontLimits() frontendLimits {
	clients, requests := p.cfg.Limits.clientLimits()
	return frontendLimits{machineMax: clients, maxConns: clientLimit(clients, p.cfg.Site.Connections),
		byAddress: p.cfg.Site.Connections.Callers == site.CallersAddress, maxWarm: max(1, requests/4),
		goroutinePerParked: p.cfg.Limits.allowWatchers(clients),
		admission: places.RequestQueueConfig{MaxServing: requests, MaxRefusing: overflowConns,
			MaxWait: maxQueueWait(p.cfg.Balancer.Classes),
			Rate:    admissionRate(p.cfg.Limits.Cores), Burst: min(requests, admissionBurst)}}
}

// Requests are admitted by a token bucket: admissionBurst at once and then a number per second that depends on the cores.
// A core completes about 5,000 requests per second. If thousands were admitted at once, they would reach the hosts before
// the concurrency limits could adapt, and all but a few would be rejected after the work was done.
const (
	admissionBurst    = 64
	admissionsPerCore = 7000
	minAdmissionRate  = 2000 // lower bound for a fractional core limit, since the machine may give more than its limit
)

// admissionRate returns the number of requests to admit per second.
func admissionRate(cores float64) float64 {
	return max(minAdmissionRate, admissionsPerCore*cmp.Or(cores, 1))
}

// maxQueueWait returns how long a request may wait before the proxy reads it: a quarter of the shortest deadline, and at
// most a quarter of a second, so that after a rejection the client still has time to go elsewhere.
func maxQueueWait(classes []balancer.Class) time.Duration {
	shortest := 1.0
	for _, c := range classes {
		if c.Deadline > 0 {
			shortest = min(shortest, c.Deadline)
		}
	}
	return seconds(shortest / 4)
}

// clientLimit returns the limit of client connections: maxConns, which the machine allows, or the operator's limit if that
// is set and lower.
func clientLimit(maxConns int, c site.Connections) int {
	if c.Limit > 0 {
		return min(maxConns, c.Limit)
	}
	return maxConns
}

// listenForClients binds the address that clients connect to, or takes over the inherited listening socket (PROXY_FD).
func (p *Proxy) listenForClients() (net.Listener, error) {
	if p.cfg.ListenFD != "" {
		ln, err := handover.Listener(p.cfg.ListenFD, p.cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("PROXY_FD: %w", err)
		}
		return ln, nil
	}
	return p.listen("tcp", p.cfg.Listen)
}

// listenForAdmin binds the admin address. It returns nil if none is configured.
func (p *Proxy) listenForAdmin() (net.Listener, error) {
	if p.cfg.Ops == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", p.cfg.Ops)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	return ln, nil
}

// startAdminServer loads the cordoned hosts and serves the admin API on ln.
func (p *Proxy) startAdminServer(ctx context.Context, ln net.Listener) {
	s := newAdminCalls(p)
	p.owner.adminEnabled = true
	p.owner.registry.cordoned = s.loadCordoned()
	p.adminServer = ops.New(ln, s, p.log)
	p.goroutines.Go(p.adminServer.Run)
	p.goroutines.Go(func() { s.watchFile(ctx) })
}

// awaitList waits until the proxy can serve. It prefers a host list from discovery. If none arrives in time, any
// list with hosts will do, such as the one from the configuration.
func (p *Proxy) awaitList(ctx context.Context) {
	timeout := time.NewTimer(p.times.firstListTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
		return
	case <-p.owner.listReceived:
	case <-timeout.C:
		select {
		case <-ctx.Done():
			return
		case <-p.owner.hostsKnown:
		}
	}
	p.serving.Store(true)
	close(p.ready)
}

// serve accepts connections until ctx is cancelled. With an inherited socket it first waits until the proxy is ready.
func (p *Proxy) serve(ctx context.Context) (Phase, error) {
	if p.cfg.ListenFD != "" { // new connections wait in the backlog, or go to the other process
		select {
		case <-ctx.Done():
			return p.beginShutdown(), nil
		case <-p.ready:
		}
	}
	accepted := make(chan struct{})
	p.goroutines.Go(func() {
		p.front.accept()
		close(accepted)
	})
	select {
	case <-ctx.Done():
		return p.beginShutdown(), nil
	case <-accepted:
		return Stopped, fmt.Errorf("listener closed unexpectedly")
	}
}

// beginShutdown starts the shutdown and returns its first phase. From here on the admin health check fails.
func (p *Proxy) beginShutdown() Phase {
	p.stopRequestedAt = time.Now()
	p.serving.Store(false)
	if p.cfg.ListenFD != "" {
		return HandingOver
	}
	return Draining
}

// handOver leaves new connections to the process that takes over. Requests on existing connections are still answered, and
// each response closes its connection. Idle connections stay open, because closing one now could lose a request that the
// client is just sending.
func (p *Proxy) handOver(context.Context) (Phase, error) {
	p.front.close()
	end := p.stopRequestedAt.Add(seconds(p.longestDeadline()))
	p.owner.post(shutdownScheduled{p.owner.clock.now() + time.Until(end.Add(p.times.shutdownSpare-p.times.finalWritePeriod)).Seconds()})
	p.front.closeAfterResponses()
	drained := make(chan struct{})
	go func() {
		p.front.wg.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(time.Until(end)):
	}
	return Finishing, nil
}

// longestDeadline returns the longest class deadline since the start, in seconds. Requests accepted under earlier settings
// keep their deadlines, so a reload that shortens the deadlines does not lower this value.
func (p *Proxy) longestDeadline() float64 { return time.Duration(p.maxDeadlineNanos.Load()).Seconds() }

// setActiveConfig stores the settings in force from now on.
func (p *Proxy) setActiveConfig(c *balancer.Config) {
	p.activeConfig.Store(c)
	for _, k := range c.Classes {
		p.maxDeadlineNanos.Store(max(p.maxDeadlineNanos.Load(), int64(seconds(k.Deadline))))
	}
}

// drain keeps accepting connections for a while. Clients learn of the shutdown only from the responses, and closing the
// listener would reset the connections in its backlog.
func (p *Proxy) drain(context.Context) (Phase, error) {
	p.front.drain()
	time.Sleep(time.Until(p.stopRequestedAt.Add(p.times.drainPeriod)))
	p.front.setAcceptDeadline(p.times.backlogPeriod)
	time.Sleep(p.times.backlogPeriod)
	return Finishing, nil
}

// finish waits for open requests, at most until the longest deadline and a margin have passed since the proxy was told to
// stop, and then stops all goroutines.
func (p *Proxy) finish(context.Context) (Phase, error) {
	if p.cfg.ListenFD == "" {
		p.front.close()
		time.Sleep(p.times.lastRequestPeriod)
	}
	p.front.drain()
	drained := make(chan struct{})
	go func() {
		p.front.wg.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(time.Until(p.stopRequestedAt.Add(seconds(p.longestDeadline()) + p.times.shutdownSpare))):
		p.log.Warn("requests left unanswered at the end")
	}
	p.front.stop()
	p.cancel()
	if p.adminServer != nil {
		p.adminServer.Close()
	}
	p.owner.post(stopRequested{})
	p.hosts.update(balancer.ListFull, catalog{}, p.owner.clock.now()) // with no hosts left, this closes all idle connections
	p.goroutines.Wait()
	return Stopped, nil
}
