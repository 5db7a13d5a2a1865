// Package proxy is the client proxy on sockets: the platform's protocol between an application, its hosts and
// discovery, built round the decision module.
//
// The files follow the stages of a request: accept, client (read and watch), parse, owner (the module and its queue),
// attempt, upstream (connections), reply, answer. Beside them stand the list (discovery, catalog), probes, and the
// phases of the program in this file.
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

// Phase is a stage in the life of a client proxy.
type Phase int

// The phases, in their order.
const (
	Starting    Phase = iota // takes the address it serves on and starts its parts
	Serving                  // takes requests
	Draining                 // told to end: still takes what comes, every answer closes its connection
	HandingOver              // told to end, with another process at the same socket: the same, but for new connections
	Finishing                // takes nothing new, finishes what is out
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "parting", "finishing", "stopped"}[p]
}

// Proxy is one client proxy.
type Proxy struct {
	cfg              *Config
	activeConfig     atomic.Pointer[balancer.Config] // the settings in force
	maxDeadlineNanos atomic.Int64                    // longest deadline in force since the start, in nanoseconds
	log              *zap.Logger
	times            timing
	listen           func(network, addr string) (net.Listener, error)
	newHandler       func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler
	phase            Phase
	phaseFuncs       map[Phase]func(context.Context) (Phase, error)

	reloadRequests chan struct{} // asks for the configuration to be read again
	ready          chan struct{} // closed when it can serve

	stopRequestedAt time.Time   // when it was told to end
	serving         atomic.Bool // it serves
	adminServer     *ops.Door   // nil: there is none

	zonePlanner *zonePlanner // nil: no plan says which zones count

	bufs       *wire.Pool
	hosts      *hosts
	owner      *owner
	front      *front
	goroutines sync.WaitGroup
	cancel     context.CancelFunc // ends attempts, the watch and reloads
}

// New makes a client proxy; Run runs it.
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

// Run goes through the phases. It returns when everything taken has been answered after ctx has ended.
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
	runCtx, cancel := context.WithCancel(context.Background()) // outlives the signal: what is out is finished
	p.cancel = cancel
	p.bufs = wire.NewPool()
	c := newClock(time.Now())
	room := newRoom(p.cfg.Limits)
	p.hosts = newHosts(p.cfg, c, p.bufs, room, p.times)
	p.owner = newOwner(runCtx, p.cfg, c, p.hosts, p.bufs, p.times, p.log)
	p.front, err = newFront(ln, p.frontLimits(), room, p.hosts.giveBack, p.owner, p.bufs, p.owner.names, p.times,
		p.log)
	if err != nil {
		return Stopped, err
	}
	if p.owner.zoneObserver != nil { // ahead of the door and of reloads, which ask for it
		p.zonePlanner = newZonePlanner(p)
	}
	if adminListener != nil {
		p.startAdminServer(runCtx, adminListener)
	}
	p.goroutines.Go(p.front.keep)
	p.goroutines.Go(p.front.lot.Run)
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

func (p *Proxy) frontLimits() frontLimits {
	clients, requests := p.cfg.Limits.clientLimits()
	return frontLimits{most: clients, connections: clientLimit(clients, p.cfg.Site.Connections),
		byAddress: p.cfg.Site.Connections.Callers == site.Address, warm: max(1, requests/4),
		watchers: p.cfg.Limits.allowWatchers(clients),
		desk: places.DeskConfig{Most: requests, Refusing: overflowConns, Patience: maxQueueWait(p.cfg.Balancer.Classes),
			Pace: admissionRate(p.cfg.Limits.Cores), Burst: min(requests, admissionBurst)}}
}

// The turns that are given at once and in a second. A core finishes some 5,000 requests a second here; begun all together,
// thousands go to hosts whose limits are those of before, and all but a few are refused after the work.
const (
	admissionBurst    = 64
	admissionsPerCore = 7000
	minAdmissionRate  = 2000 // where the machine grants part of a core, which is not always all that it gives
)

func admissionRate(cores float64) float64 {
	return max(minAdmissionRate, admissionsPerCore*cmp.Or(cores, 1))
}

// patienceFor is how long a request may wait before it is read: a quarter of the shortest deadline, so that a refusal
// leaves its client time to go elsewhere.
func maxQueueWait(classes []balancer.Class) time.Duration {
	shortest := 1.0
	for _, c := range classes {
		if c.Deadline > 0 {
			shortest = min(shortest, c.Deadline)
		}
	}
	return seconds(shortest / 4)
}

// clientLimit is the operator's limit of connections, where it is under what the machine allows.
func clientLimit(most int, c site.Connections) int {
	if c.Limit > 0 {
		return min(most, c.Limit)
	}
	return most
}

// takeAddress takes the address that clients connect to, or the socket there that the platform holds.
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

// takeDoor takes the operators' address, if there is one.
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

func (p *Proxy) startAdminServer(ctx context.Context, ln net.Listener) {
	s := newAdminCalls(p)
	p.owner.adminEnabled = true
	p.owner.registry.cordoned = s.loadCordoned()
	p.adminServer = ops.New(ln, s, p.log)
	p.goroutines.Go(p.adminServer.Run)
	p.goroutines.Go(func() { s.watchFile(ctx) })
}

// prepare waits until this process can serve: it has a list, from discovery if that answers in time.
func (p *Proxy) awaitList(ctx context.Context) {
	timeout := time.NewTimer(p.times.firstList)
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

func (p *Proxy) serve(ctx context.Context) (Phase, error) {
	if p.cfg.ListenFD != "" { // what connects meanwhile waits in the backlog, or is another process's
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
		return Stopped, fmt.Errorf("the listener has closed")
	}
}

// end begins the end: operators are told that this process serves no longer.
func (p *Proxy) beginShutdown() Phase {
	p.stopRequestedAt = time.Now()
	p.serving.Store(false)
	if p.cfg.ListenFD != "" {
		return HandingOver
	}
	return Draining
}

// part leaves new connections to the process that takes over. What clients still send on those that they have is
// answered, each time as the last on its connection: closing an idle one now could cross a request.
func (p *Proxy) handOver(context.Context) (Phase, error) {
	p.front.close()
	end := p.stopRequestedAt.Add(seconds(p.longestDeadline()))
	p.owner.post(ending{p.owner.clock.now() + time.Until(end.Add(p.times.spare-p.times.wind)).Seconds()})
	p.front.part()
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

// longest is the longest deadline, in seconds; one that other settings have shortened holds for what was taken under it.
func (p *Proxy) longestDeadline() float64 { return time.Duration(p.maxDeadlineNanos.Load()).Seconds() }

// inForce notes the settings that hold from now on.
func (p *Proxy) setActiveConfig(c *balancer.Config) {
	p.activeConfig.Store(c)
	for _, k := range c.Classes {
		p.maxDeadlineNanos.Store(max(p.maxDeadlineNanos.Load(), int64(seconds(k.Deadline))))
	}
}

// drain goes on accepting: clients learn of the end only from the answers, and closing the listener resets what waits
// in its backlog.
func (p *Proxy) drain(context.Context) (Phase, error) {
	p.front.drain()
	time.Sleep(time.Until(p.stopRequestedAt.Add(p.times.drain)))
	p.front.backlog(p.times.backlog)
	time.Sleep(p.times.backlog)
	return Finishing, nil
}

// finish waits for what is out, no longer than any client waits for it.
func (p *Proxy) finish(context.Context) (Phase, error) {
	if p.cfg.ListenFD == "" {
		p.front.close()
		time.Sleep(p.times.last)
	}
	p.front.drain()
	drained := make(chan struct{})
	go func() {
		p.front.wg.Wait()
		close(drained)
	}()
	select {
	case <-drained:
	case <-time.After(time.Until(p.stopRequestedAt.Add(seconds(p.longestDeadline()) + p.times.spare))):
		p.log.Warn("requests left unanswered at the end")
	}
	p.front.stop()
	p.cancel()
	if p.adminServer != nil {
		p.adminServer.Close()
	}
	p.owner.post(stop{})
	p.hosts.update(balancer.ListFull, catalog{}, p.owner.clock.now()) // no host is left: closes what is idle
	p.goroutines.Wait()
	return Stopped, nil
}
