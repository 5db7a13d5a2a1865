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
	tickEvery  = 33 * time.Millisecond
	checkAfter = 700 * time.Millisecond // setting up the check of configurations takes longer than all else at the start
	answerWait = 950 * time.Millisecond // a caller goes elsewhere after a second

	leaveWithin    = 3 * time.Second // for another server to take this one's place, in a planned end
	shutdownWithin = 2 * time.Second // for calls under way
)

// program is the shell round the state machine: it owns sockets, disk and clock.
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

	validatorMu sync.Mutex
	validator   *validate.Validator
}

func run(ctx context.Context, d *bootstrap.Settings, says cli.Options, log *slog.Logger) error {
	p := &program{log: log, clock: cli.NewClock(), settings: d, inbox: newInbox(), work: workload.NewMeter()}
	if d.DataDir == "" {
		return errors.New("settings: dataDir: is missing, and the control plane keeps its promises on disk")
	}
	cli.SetMemoryLimit(d)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	disk, err := p.openStore(ctx)
	if err != nil { // told to end before the disk was read
		log.Info("ending")
		return nil
	}
	values, found := disk.values, disk.found
	p.writer = p.newWriter(disk)
	log.Info("disk read", "found", found, "values", len(values), "first", d.FirstStart)
	p.server, err = control.New(p.clock.Now(), control.Options{Self: d.MeshAddress(), Seeds: d.Seeds(), Bootstrap: d.FirstStart,
		Tolerance: d.Tolerance.Machines, RetentionSeconds: d.Parameter("passWindowS", 60),
		LeaseSeconds: sharding.LeaseSeconds(d.DurationParameter("holdMaxMs", 0).Seconds()), Life: rand.Uint32() | 1, RandomSeed: rand.Uint64(),
		Log: func(e string, args ...any) { log.Info(e, args...) }}, values)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.net, err = transport.ListenAt(cmp.Or(says.ListenAddress, d.MeshAddress()), d.MeshAddress(), p.event); err != nil {
		p.mu.Unlock()
		return err
	}
	p.mu.Unlock()
	go p.hear()
	go p.writer.Run(context.Background()) // calls that are open at the end still get their answers
	server, err := cli.Serve(ctx, d.Listen.Control, p.calls(), log)
	if err != nil {
		return err
	}
	if err := cli.ServeMetrics(ctx, d, says.MetricsPort, p.figures, log); err != nil {
		return err
	}
	time.AfterFunc(checkAfter, func() { // proxies that start as well need the rest first
		p.validatorMu.Lock()
		defer p.validatorMu.Unlock()
		p.validator = validate.New()
	})
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	go cli.WatchSettings(ctx, os.Getenv(bootstrap.EnvVariable), again, log, func(d *bootstrap.Settings) {
		p.with(func(float64) { p.server.SetSeeds(d.Seeds()) })
	})
	log.Info("listening", "name", d.NodeName, "control", d.Listen.Control, "inner", d.MeshAddress())
	tick := time.NewTicker(tickEvery)
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
			end, cancel := context.WithTimeout(context.Background(), shutdownWithin)
			defer cancel()
			server.Shutdown(end)
			p.net.Close()
			return nil
		}
	}
}

// leave goes on serving until this server's place has been given to one that waits for it, if there is any.
func (p *program) leave(ticks <-chan time.Time) {
	p.with(func(now float64) { p.server.Leave(now) })
	late := time.After(leaveWithin)
	for left := false; !left; {
		select {
		case <-ticks:
			p.with(func(now float64) {
				p.server.Tick(now)
				left = p.server.MayStop(now)
			})
			p.writer.Tick()
		case <-late:
			p.log.Warn("ending as a member", "waited", leaveWithin)
			return
		}
	}
}

// with gives the machine an input and sees to what it wants done.
func (p *program) with(input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(input)
}

// step is with, while mu is held.
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

// send sends messages; those for this process come back as input. mu is held.
func (p *program) send(all []transport.Send) {
	self := p.settings.MeshAddress()
	for _, s := range all {
		if s.To == self {
			p.server.HandleMessage(p.clock.Now(), self, s.Message)
			continue
		}
		p.net.Send(s.To, s.Message)
	}
}

func (p *program) event(e transport.Event) {
	if came, ok := e.(transport.Received); ok {
		p.inbox.put(came)
	}
}

// hear works on what comes, for as long as the process runs.
func (p *program) hear() {
	for {
		came := p.inbox.take()
		kind := workload.Kind(meshpb.Kind(came.Message))
		p.timed(kind, func(now float64) { p.server.HandleMessage(now, came.From, came.Message) })
	}
}
