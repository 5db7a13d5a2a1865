package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/api"
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
)

// program is the shell round the state machine: it owns sockets, disk and clock.
type program struct {
	log   *slog.Logger
	clock cli.Clock
	deed  *bootstrap.Settings
	net   *transport.Net

	mu   sync.Mutex
	hall *control.Server

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
	log.Info("disk read", "found", found, "values", len(values), "first", d.FirstStart)
	first := d.FirstStart && len(values) == 0 // one that ended before it had promised anything begins anew
	p.hall, err = control.New(p.clock.Now(), control.Options{Self: d.Inner(), Seeds: d.Seeds(), First: first,
		Window: d.Bound("passWindowS", 60), Life: rand.Uint32() | 1, Log: func(e string, args ...any) { log.Info(e, args...) }}, values, found)
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
		p.with(func(float64) { p.hall.Seeds(d.Seeds()) })
	})
	log.Info("listening", "name", d.NodeName, "control", d.Docking.Control, "inner", d.Inner())
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.with(func(now float64) { p.hall.Tick(now) })
		case <-ctx.Done():
			log.Info("ending")
			end, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			server.Shutdown(end)
			p.net.Close()
			return nil
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
		out := p.hall.Take()
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
			p.hall.Heard(p.clock.Now(), self, s.Message)
			continue
		}
		p.net.Send(s.To, s.Message)
	}
}

func (p *program) event(e transport.Event) {
	if came, ok := e.(transport.Came); ok {
		p.with(func(now float64) { p.hall.Heard(now, came.From, came.Message) })
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

// ask gives the machine a question and waits for its answer.
func ask[T any](p *program, question func(now float64, answer func(T))) (T, bool) {
	got := make(chan T, 1)
	p.with(func(now float64) { question(now, func(t T) { got <- t }) })
	late := time.NewTimer(answerWait)
	defer late.Stop()
	select {
	case t := <-got:
		return t, true
	case <-late.C:
		var none T
		return none, false
	}
}

var errNow = api.Refusal{Status: http.StatusServiceUnavailable, Why: "no majority of the control processes can be reached from here now"}

func (p *program) calls() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/timetable", api.LargeBody, func(c api.Call, _ *api.Raw) (*api.Taken, error) {
		return p.take(c.Body)
	})
	api.Handle(mux, "GET /-/timetable", api.SmallBody, func(api.Call, *api.None) (*api.Raw, error) {
		type read struct {
			text []byte
			ok   bool
		}
		r, ok := ask(p, func(now float64, answer func(read)) {
			p.hall.Get(now, func(text []byte, ok bool) { answer(read{text, ok}) })
		})
		switch {
		case !ok || !r.ok:
			return nil, errNow
		case len(r.text) == 0:
			return nil, api.Refusal{Status: http.StatusNotFound, Why: "no configuration has been taken yet"}
		}
		raw := api.Raw(r.text)
		return &raw, nil
	})
	// Only the proxy beside a host can close the way to it, so nothing that a host says may be acknowledged here.
	elsewhere := api.Refusal{Status: http.StatusServiceUnavailable, Why: "beats go to the proxy beside the host"}
	for _, call := range []string{"PUT", "DELETE"} {
		api.Handle(mux, call+" /-/stations/{id}", api.SmallBody, func(api.Call, *api.None) (*api.None, error) {
			return nil, elsewhere
		})
	}
	api.Handle(mux, "PUT /-/orders/{id}", api.SmallBody, func(c api.Call, o *api.Order) (*api.None, error) {
		if o.By == "" {
			return nil, api.Refusal{Status: http.StatusBadRequest, Why: "by: who says so?"}
		}
		err, told := ask(p, func(now float64, answer func(error)) { p.hall.Order(now, c.ID, o.Out, o.Force, o.By, o.Why, answer) })
		switch {
		case !told || errors.Is(err, control.ErrNoMajority):
			return nil, errNow
		case errors.Is(err, control.ErrNoHost):
			return nil, api.Refusal{Status: http.StatusNotFound, Why: err.Error()}
		case err != nil:
			return nil, api.Refusal{Status: http.StatusConflict, Why: err.Error()}
		}
		p.log.Info("order", "station", c.ID, "out", o.Out, "by", o.By, "why", o.Why, "force", o.Force)
		return nil, nil
	})
	api.Handle(mux, "GET /-/state", api.SmallBody, func(api.Call, *api.None) (s *control.State, err error) {
		p.with(func(now float64) { known := p.hall.State(now); s = &known })
		return s, nil
	})
	return mux
}

// take checks a configuration and has it kept.
func (p *program) take(text []byte) (*api.Taken, error) {
	p.assayMu.Lock()
	if p.assayer == nil {
		p.assayMu.Unlock()
		return nil, errNow
	}
	edition, err := p.assayer.Check(text)
	p.assayMu.Unlock()
	if err != nil {
		p.log.Warn("configuration refused", "error", err)
		return nil, api.Refusal{Status: http.StatusBadRequest, Why: err.Error()}
	}
	ok, told := ask(p, func(now float64, answer func(bool)) { p.hall.Put(now, edition, text, answer) })
	if !told || !ok {
		return nil, errNow
	}
	return &api.Taken{Edition: edition}, nil
}

// figures are what is counted, for a reading.
func (p *program) figures(page cli.Page) {
	var s control.State
	p.with(func(now float64) { s = p.hall.State(now) })
	page.Count("beechwing_control_claims_total", s.Counts.Claims)
	page.Count("beechwing_control_claims_granted_total", s.Counts.Granted)
	page.Count("beechwing_control_settles_total", s.Counts.Settles)
	page.Count("beechwing_control_unsure_total", s.Counts.Unsure)
	page.Count("beechwing_control_pulls_total", s.Counts.Pulls)
	page.Count("beechwing_control_configurations_total", s.Counts.Writes)
	for state, n := range s.Keys {
		page.Gauge("beechwing_control_registers", float64(n), "state", state)
	}
	page.Gauge("beechwing_control_oldest_claim_seconds", s.Oldest)
	page.Gauge("beechwing_control_edition_held", float64(s.Edition))
	page.Gauge("beechwing_control_edition_in_force", float64(s.InForce))
	page.Flag("beechwing_control_voting", s.Voting)
	page.Flag("beechwing_control_alone", s.Alone)
	page.Gauge("beechwing_control_roll", float64(len(s.Roll)))
	page.Gauge("beechwing_control_silent", float64(len(s.Silent)))
}
