package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/bootstrap"
	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/routeconfig/validate"
	"beechwing/internal/mesh/store"
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
	log   *slog.Logger
	clock cli.Clock
	deed  *bootstrap.Settings
	net   *transport.Net

	mu     sync.Mutex
	server *control.Server

	disk    chan struct{}
	pending struct {
		sync.Mutex
		puts  []store.Put
		after []transport.Send
	}
	vault *store.Store

	assayMu sync.Mutex
	assayer *validate.Validator
}

func run(ctx context.Context, d *bootstrap.Settings, says cli.Options, log *slog.Logger) error {
	p := &program{log: log, clock: cli.NewClock(), deed: d, disk: make(chan struct{}, 1)}
	if d.DataDir == "" {
		return errors.New("settings: dataDir: is missing, and the control plane keeps its promises on disk")
	}
	cli.Memory(d)
	var values map[string][]byte
	var found bool
	var err error
	if p.vault, values, found, err = store.Open(d.DataDir); err != nil {
		return err
	}
	if err = p.vault.Write(nil); err != nil { // what was read is on the disk for good from here on
		return err
	}
	log.Info("disk read", "found", found, "values", len(values), "first", d.FirstStart)
	p.server, err = control.New(p.clock.Now(), control.Options{Self: d.Inner(), Seeds: d.Seeds(), First: d.FirstStart,
		Tolerance: d.Tolerance.Machines, Window: d.Bound("passWindowS", 60), Life: rand.Uint32() | 1, Random: rand.Uint64(),
		Log: func(e string, args ...any) { log.Info(e, args...) }}, values)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	p.mu.Lock()
	if p.net, err = transport.Listen(d.Inner(), p.event); err != nil {
		p.mu.Unlock()
		return err
	}
	p.mu.Unlock()
	go p.write()
	server, err := cli.Serve(ctx, d.Docking.Control, p.calls(), log)
	if err != nil {
		return err
	}
	if err := cli.Metrics(ctx, d, says.Metrics, p.figures, log); err != nil {
		return err
	}
	time.AfterFunc(checkAfter, func() { // proxies that start as well need the rest first
		p.assayMu.Lock()
		defer p.assayMu.Unlock()
		p.assayer = validate.New()
	})
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	go cli.Settings(ctx, os.Getenv(bootstrap.Variable), again, log, func(d *bootstrap.Settings) {
		p.with(func(float64) { p.server.Seeds(d.Seeds()) })
	})
	log.Info("listening", "name", d.NodeName, "control", d.Docking.Control, "inner", d.Inner())
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.with(func(now float64) { p.server.Tick(now) })
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
				left = p.server.Left(now)
			})
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
		out := p.server.Take()
		if len(out.Puts) > 0 || len(out.After) > 0 {
			p.pending.Lock()
			p.pending.puts = append(p.pending.puts, out.Puts...)
			p.pending.after = append(p.pending.after, out.After...)
			p.pending.Unlock()
			select {
			case p.disk <- struct{}{}:
			default:
			}
		}
		if len(out.Sends) == 0 {
			return
		}
		p.send(out.Sends)
	}
}

// send sends parcels; those for this process come back as input. mu is held.
func (p *program) send(all []transport.Send) {
	self := p.deed.Inner()
	for _, s := range all {
		if s.To == self {
			p.server.Heard(p.clock.Now(), self, s.Message)
			continue
		}
		p.net.Send(s.To, s.Message)
	}
}

func (p *program) event(e transport.Event) {
	if came, ok := e.(transport.Came); ok {
		p.with(func(now float64) { p.server.Heard(now, came.From, came.Message) })
	}
}

// write keeps what has to be kept, all that waits in one batch, and lets go what waited for that.
func (p *program) write() {
	for range p.disk {
		p.pending.Lock()
		puts, after := p.pending.puts, p.pending.after
		p.pending.puts, p.pending.after = nil, nil
		p.pending.Unlock()
		if len(puts) > 0 {
			if err := p.vault.Write(puts); err != nil { // what cannot be kept may not be promised, and nothing after it
				p.log.Error("disk", "error", err)
				os.Exit(1)
			}
		}
		p.with(func(float64) { p.send(after) })
	}
}
