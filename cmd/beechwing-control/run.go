package main

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/bootstrap"
	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/routeconfig/validate"
	"beechwing/internal/mesh/sharding"
	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/workload"
)

const (
	tickInterval   = 33 * time.Millisecond
	validatorDelay = 700 * time.Millisecond // creating the validator takes longer than the rest of the start
	answerTimeout  = 950 * time.Millisecond // callers turn to another server after 1 s

	leaveTimeout    = 3 * time.Second // for another server to take over the membership in a planned shutdown
	shutdownTimeout = 2 * time.Second // for HTTP calls in progress
)

// program is a running control server. It owns sockets, disk and clock; the state machine in package control does no I/O.
type program struct {
	log      *slog.Logger
	clock    cli.Clock
	settings *bootstrap.Settings
	net      *transport.Net
	inbox    *inbox

	mu     sync.Mutex
	server *control.Server

	writer *store.Writer[transport.Send]
	work   *workload.Meter
	load   loadReport

	validatorMu    sync.Mutex
	validator      *validate.Validator
	trustedVersion uint64 // newest configuration in force whose parts the validator trusts
}

func run(ctx context.Context, s *bootstrap.Settings, opts cli.Options, log *slog.Logger) error {
	p := &program{log: log, clock: cli.NewClock(), settings: s, inbox: newInbox(), work: workload.NewMeter()}
	if s.DataDir == "" {
		return errors.New("settings: dataDir: missing; a control server has to store its state on disk")
	}
	cli.SetMemoryLimit(s)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	contents, err := p.openStore(ctx)
	if err != nil { // shutdown was requested before the disk was read
		log.Info("ending")
		return nil
	}
	values, found := contents.values, contents.found
	p.writer = p.newWriter(contents)
	log.Info("disk read", "found", found, "values", len(values), "first", s.FirstStart)
	p.server, err = control.New(p.clock.Now(), control.Options{Self: s.MeshAddress(), Seeds: s.Seeds(), Bootstrap: s.FirstStart,
		Tolerance: s.Tolerance.Machines, RetentionSeconds: s.Parameter("passWindowS", 60),
		LeaseSeconds: sharding.LeaseSeconds(s.DurationParameter("holdMaxMs", 0).Seconds()),
		Life:         rand.Uint32() | 1, RandomSeed: rand.Uint64(),
		Log: func(event string, args ...any) { log.Info(event, args...) }}, values)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.net, err = transport.ListenAt(cmp.Or(opts.ListenAddress, s.MeshAddress()), s.MeshAddress(), p.handleEvent); err != nil {
		p.mu.Unlock()
		return err
	}
	p.mu.Unlock()
	go p.processMessages()
	go p.writer.Run(context.Background()) // not ctx, so that calls in progress at shutdown still get their responses
	server, err := cli.Serve(ctx, s.Listen.Control, p.controlHandler(), log)
	if err != nil {
		return err
	}
	if err := cli.ServeMetrics(ctx, s, opts.MetricsPort, p.metrics, log); err != nil {
		return err
	}
	time.AfterFunc(validatorDelay, func() { // delayed, because proxies that start at the same time need the other parts first
		p.validatorMu.Lock()
		defer p.validatorMu.Unlock()
		p.validator = validate.New()
	})
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go cli.WatchSettings(ctx, os.Getenv(bootstrap.EnvVariable), reload, log, func(s *bootstrap.Settings) {
		p.with(func(float64) { p.server.SetSeeds(s.Seeds()) })
	})
	log.Info("listening", "name", s.NodeName, "control", s.Listen.Control, "inner", s.MeshAddress())
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.timed(workTick, func(now float64) { p.server.Tick(now) })
			p.writer.Tick()
			p.reportLoad()
		case <-ctx.Done():
			log.Info("ending")
			p.leave(tick.C)
			shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			server.Shutdown(shutdownCtx)
			p.net.Close()
			return nil
		}
	}
}

// leave gives up this server's membership. It continues to serve until a standby server, if there is any, has taken over, or
// until leaveTimeout.
func (p *program) leave(ticks <-chan time.Time) {
	p.with(func(now float64) { p.server.Leave(now) })
	timeout := time.After(leaveTimeout)
	for left := false; !left; {
		select {
		case <-ticks:
			p.with(func(now float64) {
				p.server.Tick(now)
				left = p.server.MayStop(now)
			})
			p.writer.Tick()
		case <-timeout:
			p.log.Warn("ending as a member", "waited", leaveTimeout)
			return
		}
	}
}

// with calls the state machine and executes its output.
func (p *program) with(input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(input)
}

// step is like with, but mu must be held.
func (p *program) step(input func(now float64)) {
	input(p.clock.Now())
	for {
		out := p.server.TakeEffects()
		if len(out.Puts) > 0 || len(out.After) > 0 {
			p.writer.Add(out.Puts, out.After)
		}
		if len(out.Sends) == 0 {
			return
		}
		p.send(out.Sends)
	}
}

// send sends messages. Those to this process itself go back to the state machine. mu must be held.
func (p *program) send(messages []transport.Send) {
	self := p.settings.MeshAddress()
	for _, s := range messages {
		if s.To == self {
			p.server.HandleMessage(p.clock.Now(), self, s.Message)
			continue
		}
		p.net.Send(s.To, s.Message)
	}
}

// handleEvent puts received messages into the inbox. It ignores the other events of the transport.
func (p *program) handleEvent(e transport.Event) {
	if received, ok := e.(transport.Received); ok {
		p.inbox.put(received)
	}
}

// processMessages passes the messages of the inbox to the state machine, as long as the process runs.
func (p *program) processMessages() {
	for {
		received := p.inbox.take()
		kind := workload.Kind(meshpb.Kind(received.Message))
		p.timed(kind, func(now float64) { p.server.HandleMessage(now, received.From, received.Message) })
	}
}
