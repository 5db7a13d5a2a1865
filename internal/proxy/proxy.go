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
	Starting  Phase = iota // takes the address it serves on and starts its parts
	Serving                // takes requests
	Draining               // told to end: still takes what comes, every answer closes its connection
	Parting                // told to end, with another process at the same socket: the same, but for new connections
	Finishing              // takes nothing new, finishes what is out
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "parting", "finishing", "stopped"}[p]
}

// Proxy is one client proxy.
type Proxy struct {
	cfg    *Config
	live   atomic.Pointer[balancer.Config] // the settings in force
	ending atomic.Int64                    // longest deadline in force since the start, in nanoseconds
	log    *zap.Logger
	times  timing
	listen func(network, addr string) (net.Listener, error)
	decide func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler
	phase  Phase
	steps  map[Phase]func(context.Context) (Phase, error)

	reloads  chan struct{} // asks for the configuration to be read again
	prepared chan struct{} // closed when it can serve

	told time.Time   // when it was told to end
	able atomic.Bool // it serves
	door *ops.Door   // nil: there is none

	steering *steering // nil: no plan says which zones count

	bufs  *wire.Pool
	hosts *hostPool
	owner *owner
	front *frontend
	parts sync.WaitGroup
	halt  context.CancelFunc // ends attempts, the watch and reloads
}

// New makes a client proxy; Run runs it.
func New(cfg *Config, log *zap.Logger) *Proxy {
	p := &Proxy{cfg: cfg, log: log, times: defaultTiming(), listen: net.Listen,
		reloads: make(chan struct{}, 1), prepared: make(chan struct{})}
	p.times.set(cfg.Site.Connections)
	p.inForce(&cfg.Balancer)
	p.decide = func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler {
		return balancer.New(now, cfg, act)
	}
	p.steps = map[Phase]func(context.Context) (Phase, error){
		Starting: p.start, Serving: p.serve, Draining: p.drain, Parting: p.part, Finishing: p.finish,
	}
	return p
}

// Run goes through the phases. It returns when everything taken has been answered after ctx has ended.
func (p *Proxy) Run(ctx context.Context) error {
	for p.phase != Stopped {
		next, err := p.steps[p.phase](ctx)
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
	ln, err := p.takeAddress()
	if err != nil {
		return Stopped, err
	}
	desk, err := p.takeDoor()
	if err != nil {
		return Stopped, err
	}
	run, halt := context.WithCancel(context.Background()) // outlives the signal: what is out is finished
	p.halt = halt
	p.bufs = wire.NewPool()
	c := newClock(time.Now())
	room := newConnBudget(p.cfg.Limits)
	p.hosts = newHostPool(p.cfg, c, p.bufs, room, p.times)
	p.owner = newOwner(run, p.cfg, c, p.hosts, p.bufs, p.times, p.log)
	p.front, err = newFrontend(ln, p.frontLimits(), room, p.hosts.closeIdle, p.owner, p.bufs, p.owner.names, p.times,
		p.log)
	if err != nil {
		return Stopped, err
	}
	if p.owner.sight != nil { // ahead of the door and of reloads, which ask for it
		p.steering = newSteering(p)
	}
	if desk != nil {
		p.openDoor(run, desk)
	}
	p.parts.Go(p.front.maintain)
	p.parts.Go(p.front.poller.Run)
	p.parts.Go(func() { p.owner.run(p.decide, p.cfg.Known) })
	p.parts.Go(func() { p.owner.list.run(run) })
	p.parts.Go(func() { p.reload(run) })
	if p.steering != nil {
		p.parts.Go(func() { p.steering.run(run) })
	}
	p.parts.Go(func() { p.prepare(run) })
	p.log.Info("listening", zap.String("name", p.cfg.Name), zap.Stringer("addr", ln.Addr()))
	return Serving, nil
}

func (p *Proxy) frontLimits() frontendLimits {
	clients, requests := p.cfg.Limits.connections()
	return frontendLimits{machineMax: clients, maxConns: clientLimit(clients, p.cfg.Site.Connections),
		byAddress: p.cfg.Site.Connections.Callers == site.Address, maxWarm: max(1, requests/4),
		goroutinePerParked: p.cfg.Limits.watchers(clients),
		admission: places.DeskConfig{Most: requests, Refusing: shedReserve, Patience: patienceFor(p.cfg.Balancer.Classes),
			Pace: paceOf(p.cfg.Limits.Cores), Burst: min(requests, turnBurst)}}
}

// The turns that are given at once and in a second. A core finishes some 5,000 requests a second here; begun all together,
// thousands go to hosts whose limits are those of before, and all but a few are refused after the work.
const (
	turnBurst   = 64
	turnsByCore = 7000
	turnsLeast  = 2000 // where the machine grants part of a core, which is not always all that it gives
)

func paceOf(cores float64) float64 { return max(turnsLeast, turnsByCore*cmp.Or(cores, 1)) }

// patienceFor is how long a request may wait before it is read: a quarter of the shortest deadline, so that a refusal
// leaves its client time to go elsewhere.
func patienceFor(classes []balancer.Class) time.Duration {
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
func (p *Proxy) takeAddress() (net.Listener, error) {
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
func (p *Proxy) takeDoor() (net.Listener, error) {
	if p.cfg.Ops == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", p.cfg.Ops)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	return ln, nil
}

func (p *Proxy) openDoor(ctx context.Context, ln net.Listener) {
	s := newOperators(p)
	p.owner.ops = true
	p.owner.roll.out = s.load()
	p.door = ops.New(ln, s, p.log)
	p.parts.Go(p.door.Run)
	p.parts.Go(func() { s.follow(ctx) })
}

// prepare waits until this process can serve: it has a list, from discovery if that answers in time.
func (p *Proxy) prepare(ctx context.Context) {
	late := time.NewTimer(p.times.firstListTimeout)
	defer late.Stop()
	select {
	case <-ctx.Done():
		return
	case <-p.owner.fresh:
	case <-late.C:
		select {
		case <-ctx.Done():
			return
		case <-p.owner.known:
		}
	}
	p.able.Store(true)
	close(p.prepared)
}

func (p *Proxy) serve(ctx context.Context) (Phase, error) {
	if p.cfg.ListenFD != "" { // what connects meanwhile waits in the backlog, or is another process's
		select {
		case <-ctx.Done():
			return p.end(), nil
		case <-p.prepared:
		}
	}
	accepted := make(chan struct{})
	p.parts.Go(func() {
		p.front.accept()
		close(accepted)
	})
	select {
	case <-ctx.Done():
		return p.end(), nil
	case <-accepted:
		return Stopped, fmt.Errorf("the listener has closed")
	}
}

// end begins the end: operators are told that this process serves no longer.
func (p *Proxy) end() Phase {
	p.told = time.Now()
	p.able.Store(false)
	if p.cfg.ListenFD != "" {
		return Parting
	}
	return Draining
}

// part leaves new connections to the process that takes over. What clients still send on those that they have is
// answered, each time as the last on its connection: closing an idle one now could cross a request.
func (p *Proxy) part(context.Context) (Phase, error) {
	p.front.close()
	end := p.told.Add(seconds(p.longest()))
	p.owner.post(shutdownScheduled{p.owner.clock.now() +
		time.Until(end.Add(p.times.shutdownSpare-p.times.finalWritePeriod)).Seconds()})
	p.front.closeAfterResponses()
	left := make(chan struct{})
	go func() {
		p.front.wg.Wait()
		close(left)
	}()
	select {
	case <-left:
	case <-time.After(time.Until(end)):
	}
	return Finishing, nil
}

// longest is the longest deadline, in seconds; one that other settings have shortened holds for what was taken under it.
func (p *Proxy) longest() float64 { return time.Duration(p.ending.Load()).Seconds() }

// inForce notes the settings that hold from now on.
func (p *Proxy) inForce(c *balancer.Config) {
	p.live.Store(c)
	for _, k := range c.Classes {
		p.ending.Store(max(p.ending.Load(), int64(seconds(k.Deadline))))
	}
}

// drain goes on accepting: clients learn of the end only from the answers, and closing the listener resets what waits
// in its backlog.
func (p *Proxy) drain(context.Context) (Phase, error) {
	p.front.drain()
	time.Sleep(time.Until(p.told.Add(p.times.drainPeriod)))
	p.front.setAcceptDeadline(p.times.backlogPeriod)
	time.Sleep(p.times.backlogPeriod)
	return Finishing, nil
}

// finish waits for what is out, no longer than any client waits for it.
func (p *Proxy) finish(context.Context) (Phase, error) {
	if p.cfg.ListenFD == "" {
		p.front.close()
		time.Sleep(p.times.lastRequestPeriod)
	}
	p.front.drain()
	answered := make(chan struct{})
	go func() {
		p.front.wg.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(time.Until(p.told.Add(seconds(p.longest()) + p.times.shutdownSpare))):
		p.log.Warn("requests left unanswered at the end")
	}
	p.front.stop()
	p.halt()
	if p.door != nil {
		p.door.Close()
	}
	p.owner.post(stopRequested{})
	p.hosts.update(balancer.ListFull, catalog{}, p.owner.clock.now()) // no host is left: closes what is idle
	p.parts.Wait()
	return Stopped, nil
}
