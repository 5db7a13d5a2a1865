package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/listener"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/api"
	"beechwing/internal/mesh/bootstrap"
	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/mesh/upstream"
	"beechwing/internal/wire"
)

const (
	tickEvery   = 33 * time.Millisecond
	slowLink    = 400.0                   // Mbit/s: on faster ones an answer of 100 KB keeps nobody waiting
	linkShare   = 0.85                    // of a slow one, for large answers: all else has to pass as well
	memoryShare = 4                       // a quarter of what the machine gives may be bodies under way
	noticeAfter = 2200 * time.Millisecond // the platform asks once a second and believes the second failure
	lastSpare   = 900 * time.Millisecond  // before the platform ends a process that does not
)

// program is the shell round the state machine: it owns sockets and the clock.
type program struct {
	log    *slog.Logger
	clock  cli.Clock
	deed   *bootstrap.Settings
	net    *transport.Net
	porter *upstream.Host
	life   string // the host's, that the porter's connections are to

	mu    sync.Mutex
	pitch *sidecar.Sidecar
}

func run(ctx context.Context, d *bootstrap.Settings, says cli.Options, log *slog.Logger) error {
	if d.Docking.Outbound == "" || d.Docking.Ready == "" || d.AppAddress == "" {
		return errors.New("settings: docking.outboundDock, docking.readyDock and appAddress: all have to be there")
	}
	bufs := wire.NewPool()
	p := &program{log: log, clock: cli.NewClock(), deed: d, porter: upstream.New(d.AppAddress, bufs)}
	o := sidecar.Options{Self: d.Inner(), Zone: d.Zone, Sender: d.Carrier, Seeds: d.Seeds(), Beat: float64(d.BeatMs) / 1000,
		Ratio: d.Bound("retryRatio", 0.2), Slack: d.Bound("retrySlack", 0), Version: uint64(time.Now().UnixMilli()),
		Seed: rand.Uint64(), Agreed: says.Agreed, Memory: max(16, d.Limits.MemoryMB/memoryShare) << 20,
		Log: func(e string, args ...any) { log.Info(e, args...) }}
	if log.Enabled(ctx, slog.LevelDebug) {
		o.Debug = func(e string, args ...any) { log.Debug(e, args...) }
	}
	cli.Memory(d)
	p.pitch = sidecar.New(p.clock.Now(), o)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	var err error
	p.mu.Lock()
	if p.net, err = transport.Listen(d.Inner(), p.event); err != nil {
		p.mu.Unlock()
		return err
	}
	p.net.Bound(int64(o.Memory) / 2)
	if mbps := d.Limits.LinkMbps; mbps > 0 && mbps < slowLink {
		p.net.Pace(mbps * 1e6 / 8 * linkShare)
	}
	p.mu.Unlock()
	ctx, halt := context.WithCancel(ctx)
	defer halt()
	for addr, h := range map[string]http.Handler{d.Docking.Ready: http.HandlerFunc(p.ready), d.Docking.Control: p.calls()} {
		if addr == "" {
			continue
		}
		if _, err := cli.Serve(ctx, addr, h, log); err != nil {
			return err
		}
	}
	if err := cli.Metrics(ctx, d, says.Metrics, p.figures, log); err != nil {
		return err
	}
	ln, err := cli.Listen(ctx, d.Docking.Outbound)
	if err != nil {
		return err
	}
	clients := listener.Open(ln, bufs, p.limits, p.serve)
	go cli.Settings(ctx, os.Getenv(bootstrap.Variable), again, log, func(d *bootstrap.Settings) {
		p.with(func(now float64) { p.pitch.Seeds(now, d.Seeds()) })
	})
	log.Info("listening", "name", d.NodeName, "outbound", d.Docking.Outbound, "inner", d.Inner())
	go func() {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for range tick.C {
			p.with(func(now float64) {
				p.pitch.Link(p.net.Backlog())
				p.pitch.Tick(now)
			})
		}
	}()
	<-term
	p.end(clients)
	return nil
}

// end ends the process: new work is told to go elsewhere at once, what is under way goes on until it is done, or nearly until
// the platform would end the process.
func (p *program) end(clients *listener.Listener) {
	p.log.Info("ending")
	told := time.Now()
	last := told.Add(p.deed.Span("graceS", 6*time.Second) - lastSpare)
	p.with(func(now float64) { p.pitch.Term(now, noticeAfter.Seconds()) })
	clients.DisableKeepAlives()
	for time.Now().Before(last) {
		time.Sleep(tickEvery)
		idle := false
		p.with(func(float64) { idle = p.pitch.Idle() && p.net.Drained() })
		if idle && time.Since(told) > noticeAfter {
			break
		}
	}
	clients.Close(time.Until(last.Add(lastSpare / 2)))
	p.net.Close()
	p.log.Info("ended", "after", time.Since(told))
}

// with gives the machine an input and sees to what it wants done.
func (p *program) with(input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	input(p.clock.Now())
	for {
		out := p.pitch.Take()
		for _, s := range out.Sends {
			link := p.net.Send(s.To, s.Message)
			if s.Via != nil {
				*s.Via = link
			}
		}
		for _, do := range out.Dos {
			switch do := do.(type) {
			case sidecar.Tell:
				do.Order.Slot.(chan sidecar.Reply) <- do.Reply
			case sidecar.Exchange:
				go p.exchange(do)
			case sidecar.Probe:
				go func() {
					station, well := p.porter.Probe(do.Path)
					p.with(func(now float64) { p.pitch.Probed(now, station, well) })
				}()
			}
		}
		if len(out.Sends) == 0 && len(out.Dos) == 0 {
			return
		}
	}
}

func (p *program) event(e transport.Event) {
	p.with(func(now float64) {
		switch e := e.(type) {
		case transport.Came:
			p.pitch.Message(now, e.From, e.Message)
		case transport.Sign:
			p.pitch.Sign(now, e.From)
		case transport.Broke:
			p.pitch.Broke(now, e)
		}
	})
}

// exchange has the host run a request.
func (p *program) exchange(do sidecar.Exchange) {
	c := p.porter.Run(do.Forward, p.clock.At(do.Until))
	p.with(func(now float64) { p.pitch.Exchanged(now, do.Job, c) })
}

// ready answers the platform.
func (p *program) ready(w http.ResponseWriter, r *http.Request) {
	ready := false
	p.with(func(float64) { ready = p.pitch.Ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limits are those of the configuration in force.
func (p *program) limits() listener.Limits {
	l := listener.DefaultLimits
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.pitch.Limits()
	if c == nil {
		return l
	}
	ms := func(told float64, otherwise time.Duration) time.Duration {
		if told <= 0 {
			return otherwise
		}
		return time.Duration(told * float64(time.Millisecond))
	}
	l.HeadWithin, l.IdleFor = ms(c.HeaderWaitMs, l.HeadWithin), ms(c.IdleWaitMs, l.IdleFor)
	if c.HeaderBytes > 0 {
		l.HeadBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		l.BodyBytes = min(l.BodyBytes, c.BodyBytes)
	}
	return l
}

// serve has a client's request answered.
func (p *program) serve(q *listener.Request) listener.Response {
	o := &sidecar.Order{Method: q.Method, Target: q.Target, Host: q.Host, Fields: upstream.Fields(q.Header), Body: q.Body,
		Framed: q.Framed, ID: q.Header.Get(sidecar.HeaderID), Key: q.Header.Get(sidecar.HeaderKey)}
	if ms, err := strconv.ParseFloat(q.Header.Get(sidecar.HeaderDeadline), 64); err == nil && ms > 0 {
		o.Left = ms / 1000
	}
	answer := make(chan sidecar.Reply, 1)
	o.Slot = answer
	p.with(func(now float64) { p.pitch.Ask(now, o) })
	return words(o, <-answer)
}

// words puts an answer into the protocol's.
func words(o *sidecar.Order, r sidecar.Reply) listener.Response {
	a := listener.Response{Status: r.Status, Body: r.Body, Fields: make([]listener.Field, 0, len(r.Fields)+2)}
	for _, f := range r.Fields {
		if f.Name != sidecar.HeaderID {
			a.Fields = append(a.Fields, listener.Field{Name: f.Name, Value: f.Value})
		}
	}
	if o.ID != "" {
		a.Fields = append(a.Fields, listener.Field{Name: sidecar.HeaderID, Value: o.ID})
	}
	if r.Back > 0 {
		a.Fields = append(a.Fields, listener.Field{Name: "Retry-After", Value: strconv.FormatFloat(r.Back, 'f', 3, 64)})
	}
	if r.Ours {
		a.Fields = append(a.Fields, listener.Field{Name: "Content-Type", Value: "text/plain"})
		a.Body = append([]byte(r.Why), '\n')
	}
	return a
}

func (p *program) calls() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/stations/{id}", api.SmallBody, func(c api.Call, b *api.Beat) (*api.None, error) {
		s, err := b.Station(c.ID)
		if err != nil {
			return nil, err
		}
		p.with(func(now float64) { p.pitch.Beat(now, s) })
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.life != s.ID {
			p.life = s.ID
			p.porter.Forget()
		}
		return nil, nil
	})
	api.Handle(mux, "DELETE /-/stations/{id}", api.SmallBody, func(c api.Call, _ *api.None) (*api.None, error) {
		p.with(func(now float64) { p.pitch.Leave(now, c.ID) })
		return nil, nil
	})
	api.Handle(mux, "GET /-/state", api.SmallBody, func(api.Call, *api.None) (s *sidecar.State, err error) {
		p.with(func(now float64) { known := p.pitch.State(now); s = &known })
		return s, nil
	})
	return mux
}

// figures are what is counted, for a reading.
func (p *program) figures(page cli.Page) {
	var s sidecar.State
	p.with(func(now float64) { s = p.pitch.State(now) })
	for status, n := range s.Counts.Answers {
		page.Count("beechwing_sidecar_answers_total", n, "status", strconv.Itoa(status))
	}
	for verdict, n := range s.Counts.Tries {
		page.Count("beechwing_sidecar_tries_total", n, "verdict", verdict)
	}
	for why, n := range s.Counts.Turned {
		page.Count("beechwing_sidecar_turned_away_total", n, "why", why)
	}
	page.Count("beechwing_sidecar_runs_total", s.Counts.Runs)
	page.Count("beechwing_sidecar_late_runs_total", s.Counts.Late)
	page.Count("beechwing_sidecar_doubts_total", s.Counts.Doubts)
	for why, n := range s.Counts.Dropped {
		page.Count("beechwing_sidecar_dropped_messages_total", n, "why", why)
	}
	page.Count("beechwing_sidecar_host_connections_total", uint64(p.porter.Opened()))
	page.Gauge("beechwing_sidecar_edition", float64(s.Edition))
	page.Flag("beechwing_sidecar_ready", s.Ready)
	page.Gauge("beechwing_sidecar_requests_open", float64(s.Orders))
	page.Gauge("beechwing_sidecar_host_requests", float64(s.Jobs))
	page.Gauge("beechwing_sidecar_waiting", float64(s.Queued), "lane", "in time")
	page.Gauge("beechwing_sidecar_waiting", float64(s.Waiting), "lane", "late")
	page.Gauge("beechwing_sidecar_roll", float64(len(s.Roll)))
	page.Gauge("beechwing_sidecar_silent", float64(len(s.Silent)))
	for service, n := range s.Avoided {
		page.Gauge("beechwing_sidecar_avoided_hosts", float64(n), "carrier", service)
	}
}
