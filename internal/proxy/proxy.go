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
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/places"
	"beechwing/internal/site"
)

// Phase is a stage in the life of a client proxy.
type Phase int

// The phases, in their order.
const (
	Starting  Phase = iota // takes the address it serves on and starts its parts
	Serving                // takes requests
	Draining               // told to end: still takes what comes, every answer closes its connection
	Finishing              // takes nothing new, finishes what is out
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "draining", "finishing", "stopped"}[p]
}

// Proxy is one client proxy.
type Proxy struct {
	cfg    *Config
	log    *zap.Logger
	times  timing
	listen func(network, addr string) (net.Listener, error)
	decide func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler
	phase  Phase
	steps  map[Phase]func(context.Context) (Phase, error)

	reloads chan struct{} // asks for the configuration to be read again

	told  time.Time // when it was told to end
	bufs  *pool
	hosts *hosts
	owner *owner
	front *front
	parts sync.WaitGroup
	halt  context.CancelFunc // ends attempts, the watch and reloads
}

// New makes a client proxy; Run runs it.
func New(cfg *Config, log *zap.Logger) *Proxy {
	p := &Proxy{cfg: cfg, log: log, times: defaultTiming(), listen: net.Listen,
		reloads: make(chan struct{}, 1)}
	p.times.set(cfg.Site.Connections)
	p.decide = func(now float64, cfg balancer.Config, act balancer.Actions) balancer.Handler {
		return balancer.New(now, cfg, act)
	}
	p.steps = map[Phase]func(context.Context) (Phase, error){
		Starting: p.start, Serving: p.serve, Draining: p.drain, Finishing: p.finish,
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
	ln, err := p.listen("tcp", p.cfg.Listen)
	if err != nil {
		return Stopped, err
	}
	run, halt := context.WithCancel(context.Background()) // outlives the signal: what is out is finished
	p.halt = halt
	p.bufs = newPool()
	c := newClock(time.Now())
	room := newRoom(p.cfg.Limits)
	p.hosts = newHosts(p.cfg, c, p.bufs, room, p.times)
	p.owner = newOwner(run, p.cfg, c, p.hosts, p.bufs, p.times, p.log)
	p.front, err = newFront(ln, p.frontLimits(), room, p.hosts.giveBack, p.owner, p.bufs, newNames(p.cfg.Settings, p.cfg.Balancer), p.times,
		p.log)
	if err != nil {
		return Stopped, err
	}
	p.parts.Go(p.front.keep)
	p.parts.Go(p.front.lot.Run)
	p.parts.Go(func() { p.owner.run(p.decide, p.cfg.Known) })
	p.parts.Go(func() { p.owner.list.run(run) })
	p.parts.Go(func() { p.reload(run) })
	p.log.Info("listening", zap.String("name", p.cfg.Name), zap.Stringer("addr", ln.Addr()))
	return Serving, nil
}

func (p *Proxy) frontLimits() frontLimits {
	clients, requests := p.cfg.Limits.connections()
	return frontLimits{most: clients, connections: clientLimit(clients, p.cfg.Site.Connections),
		byAddress: p.cfg.Site.Connections.Callers == site.Address, warm: max(1, requests/4),
		coolDown: p.cfg.Balancer.MaxCoolDown / 4, watchers: p.cfg.Limits.watchers(clients),
		desk: places.DeskConfig{Most: requests, Refusing: shedReserve, Patience: patienceFor(p.cfg.Balancer.Classes),
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

func (p *Proxy) serve(ctx context.Context) (Phase, error) {
	accepted := make(chan struct{})
	p.parts.Go(func() {
		p.front.accept()
		close(accepted)
	})
	select {
	case <-ctx.Done():
		p.told = time.Now()
		return Draining, nil
	case <-accepted:
		return Stopped, fmt.Errorf("the listener has closed")
	}
}

// drain goes on accepting: clients learn of the end only from the answers, and closing the listener resets what waits
// in its backlog.
func (p *Proxy) drain(context.Context) (Phase, error) {
	p.front.drain()
	time.Sleep(time.Until(p.told.Add(p.times.drain)))
	p.front.backlog(p.times.backlog)
	time.Sleep(p.times.backlog)
	return Finishing, nil
}

// finish waits for what is out, no longer than any client waits for it.
func (p *Proxy) finish(context.Context) (Phase, error) {
	p.front.close()
	time.Sleep(p.times.last)
	p.front.drain()
	longest := 0.0
	for _, c := range p.cfg.Balancer.Classes {
		longest = max(longest, c.Deadline)
	}
	answered := make(chan struct{})
	go func() {
		p.front.wg.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(time.Until(p.told.Add(seconds(longest) + p.times.spare))):
		p.log.Warn("requests left unanswered at the end")
	}
	p.front.stop()
	p.halt()
	p.owner.post(stop{})
	p.hosts.update(balancer.ListFull, catalog{}, p.owner.clock.now()) // no host is left: closes what is idle
	p.parts.Wait()
	return Stopped, nil
}
