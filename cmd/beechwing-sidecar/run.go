package main

import (
	"cmp"
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

	"beechwing/internal/mesh/api"
	"beechwing/internal/mesh/bootstrap"
	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/listener"
	"beechwing/internal/mesh/sidecar"
	"beechwing/internal/mesh/transport"
	"beechwing/internal/mesh/upstream"
	"beechwing/internal/wire"
)

const (
	tickEvery     = 33 * time.Millisecond
	slowLink      = 400.0                   // Mbit/s: on faster links a response of 100 KB delays nothing noticeably
	linkShare     = 0.85                    // of a slow link, for large responses; the rest is for everything else
	memoryShare   = 4                       // a quarter of the memory limit may be bodies in progress
	releaseWithin = 5 * time.Second         // for a host to end what runs on the keys that it releases
	noticeAfter   = 2200 * time.Millisecond // the platform probes readiness once a second and acts on the second failure
	grantWithin   = 250 * time.Millisecond  // for a host to take its keys, on the same machine
	lastSpare     = 900 * time.Millisecond  // before the platform kills a process that does not end
)

// program owns the sockets and the clock around the state machine, which does no I/O.
type program struct {
	log      *slog.Logger
	clock    cli.Clock
	settings *bootstrap.Settings
	net      *transport.Net
	host     *upstream.Host
	hostID   string // the host that the connections of host are to

	mu      sync.Mutex
	sidecar *sidecar.Sidecar
	running map[uint64]context.CancelFunc // requests at the host, by their jobs
}

func run(ctx context.Context, s *bootstrap.Settings, opts cli.Options, log *slog.Logger) error {
	if s.Listen.Outbound == "" || s.Listen.Ready == "" || s.AppAddress == "" {
		return errors.New("settings: docking.outboundDock, docking.readyDock and appAddress: all have to be there")
	}
	bufs := wire.NewPool()
	p := &program{log: log, clock: cli.NewClock(), settings: s, host: upstream.New(s.AppAddress, bufs),
		running: map[uint64]context.CancelFunc{}}
	o := sidecar.Options{Self: s.MeshAddress(), Zone: s.Zone, Service: s.Service, Seeds: s.Seeds(), HeartbeatInterval: float64(s.HeartbeatMs) / 1000,
		RetryRatio: s.Parameter("retryRatio", 0.2), RetrySlack: s.Parameter("retrySlack", 0), MaxKeyHold: s.DurationParameter("holdMaxMs", 0).Seconds(), RecordVersion: uint64(time.Now().UnixMilli()),
		Seed: rand.Uint64(), AgreedEjection: opts.AgreedEjection, MaxBodyBytes: max(16, s.Limits.MemoryMB/memoryShare) << 20,
		Log: func(e string, args ...any) { log.Info(e, args...) }}
	if log.Enabled(ctx, slog.LevelDebug) {
		o.Debug = func(e string, args ...any) { log.Debug(e, args...) }
	}
	cli.SetMemoryLimit(s)
	p.sidecar = sidecar.New(p.clock.Now(), o)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var err error
	p.mu.Lock()
	if p.net, err = transport.ListenAt(cmp.Or(opts.ListenAddress, s.MeshAddress()), s.MeshAddress(), p.event); err != nil {
		p.mu.Unlock()
		return err
	}
	p.net.SetQueueLimit(int64(o.MaxBodyBytes) / 2)
	if mbps := s.Limits.LinkMbps; mbps > 0 && mbps < slowLink {
		p.net.SetRate(mbps * 1e6 / 8 * linkShare)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for addr, h := range map[string]http.Handler{s.Listen.Ready: http.HandlerFunc(p.ready), s.Listen.Control: p.calls()} {
		if addr == "" {
			continue
		}
		if _, err := cli.Serve(ctx, addr, h, log); err != nil {
			return err
		}
	}
	if err := cli.ServeMetrics(ctx, s, opts.MetricsPort, p.metrics, log); err != nil {
		return err
	}
	ln, err := cli.Listen(ctx, s.Listen.Outbound)
	if err != nil {
		return err
	}
	clients := listener.Open(ln, bufs, p.limits, p.serve)
	go cli.WatchSettings(ctx, os.Getenv(bootstrap.EnvVariable), reload, log, func(s *bootstrap.Settings) {
		p.with(func(now float64) { p.sidecar.SetSeeds(now, s.Seeds()) })
	})
	log.Info("listening", "name", s.NodeName, "outbound", s.Listen.Outbound, "inner", s.MeshAddress())
	go func() {
		tick := time.NewTicker(tickEvery)
		defer tick.Stop()
		for range tick.C {
			p.with(func(now float64) {
				p.sidecar.SetLinkBacklog(p.net.Backlog())
				p.sidecar.Tick(now)
			})
			clients.CheckClosed()
		}
	}()
	<-term
	p.shutdown(clients)
	return nil
}

// shutdown ends the process gracefully: new requests are sent elsewhere at once, those in progress go on until they are done, or until
// shortly before the platform would kill the process.
func (p *program) shutdown(clients *listener.Listener) {
	p.log.Info("ending")
	told := time.Now()
	last := told.Add(p.settings.DurationParameter("graceS", 6*time.Second) - lastSpare)
	p.with(func(now float64) { p.sidecar.BeginShutdown(now, noticeAfter.Seconds()) })
	clients.DisableKeepAlives()
	for time.Now().Before(last) {
		time.Sleep(tickEvery)
		idle := false
		p.with(func(float64) { idle = p.sidecar.Idle() && p.net.Drained() })
		if idle && time.Since(told) > noticeAfter {
			break
		}
	}
	clients.Close(time.Until(last.Add(lastSpare / 2)))
	p.net.Close()
	p.log.Info("ended", "after", time.Since(told))
}

// with gives the state machine an input and carries out what it returns.
func (p *program) with(input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	input(p.clock.Now())
	for {
		out := p.sidecar.TakeOutput()
		for _, s := range out.Sends {
			link := p.net.Send(s.To, s.Message)
			if s.Via != nil {
				*s.Via = link
			}
		}
		for _, do := range out.Commands {
			switch do := do.(type) {
			case sidecar.Respond:
				do.Request.ReplyTo.(chan sidecar.Reply) <- do.Reply
			case sidecar.Exchange:
				ctx, cancel := context.WithCancel(context.Background())
				p.running[do.Job] = cancel
				go p.exchange(ctx, do)
			case sidecar.Abort:
				if cancel := p.running[do.Job]; cancel != nil {
					cancel()
				}
			case sidecar.KeyCalls:
				go p.callKeys(do)
			case sidecar.Probe:
				go func() {
					station, well := p.host.Probe(do.Path)
					p.with(func(now float64) { p.sidecar.ProbeDone(now, station, well) })
				}()
			}
		}
		if len(out.Sends) == 0 && len(out.Commands) == 0 {
			return
		}
	}
}

func (p *program) event(e transport.Event) {
	p.with(func(now float64) {
		switch e := e.(type) {
		case transport.Received:
			p.sidecar.Receive(now, e.From, e.Message)
		case transport.PartReceived:
			p.sidecar.NoteIncoming(now, e.From)
		case transport.Disconnected:
			p.sidecar.ConnectionLost(now, e)
		}
	})
}

// exchange sends a request to the host.
func (p *program) exchange(ctx context.Context, do sidecar.Exchange) {
	c := p.host.Run(ctx, do.Forward, p.clock.At(do.Deadline))
	p.with(func(now float64) {
		p.running[do.Job]()
		delete(p.running, do.Job)
		p.sidecar.ExchangeDone(now, do.Job, c)
	})
}

// callKeys makes calls about keys at the host, one after the other. A grant that has become old meanwhile is not sent.
func (p *program) callKeys(do sidecar.KeyCalls) {
	for _, call := range do.Calls {
		within := grantWithin
		if call.Release { // it is answered when what runs on the keys has ended
			within = releaseWithin
		}
		var result sidecar.KeyResult
		if call.Release || p.clock.Now() < do.GrantBefore {
			result = p.host.CallKeys(call, time.Now().Add(within))
		}
		p.with(func(now float64) { p.sidecar.KeyCallDone(now, call.ID, result) })
	}
}

// ready answers the platform's readiness probe.
func (p *program) ready(w http.ResponseWriter, r *http.Request) {
	ready := false
	p.with(func(float64) { ready = p.sidecar.Ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limits are those of the configuration in force, and the default ones where it has none.
func (p *program) limits() listener.Limits {
	l := listener.DefaultLimits
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.sidecar.Limits()
	if c == nil {
		return l
	}
	ms := func(configured float64, otherwise time.Duration) time.Duration {
		if configured <= 0 {
			return otherwise
		}
		return time.Duration(configured * float64(time.Millisecond))
	}
	l.HeadTimeout, l.IdleTimeout = ms(c.HeaderWaitMs, l.HeadTimeout), ms(c.IdleWaitMs, l.IdleTimeout)
	if c.HeaderBytes > 0 {
		l.HeadBytes = c.HeaderBytes
	}
	if c.BodyBytes > 0 {
		l.BodyBytes = min(l.BodyBytes, c.BodyBytes)
	}
	return l
}

// serve passes a client's request to the state machine and waits for the reply.
func (p *program) serve(q *listener.Request) listener.Response {
	o := &sidecar.Request{Method: q.Method, Target: q.Target, Host: q.Host, Fields: upstream.Fields(q.Header), Body: q.Body,
		Framed: q.Framed, ID: q.Header.Get(sidecar.HeaderID), IdempotencyKey: q.Header.Get(sidecar.HeaderIdempotencyKey)}
	if ms, err := strconv.ParseFloat(q.Header.Get(sidecar.HeaderDeadline), 64); err == nil && ms > 0 {
		o.Timeout = ms / 1000
	}
	reply := make(chan sidecar.Reply, 1)
	o.ReplyTo = reply
	q.NotifyClosed(func() { p.with(func(now float64) { p.sidecar.ClientLeft(now, o) }) })
	p.with(func(now float64) { p.sidecar.Submit(now, o) })
	return response(o, <-reply)
}

// response is the HTTP response for a reply.
func response(o *sidecar.Request, r sidecar.Reply) listener.Response {
	if r.Status == 0 {
		return listener.Response{}
	}
	a := listener.Response{Status: r.Status, Body: r.Body, Fields: make([]listener.Field, 0, len(r.Fields)+2)}
	for _, f := range r.Fields {
		if f.Name != sidecar.HeaderID {
			a.Fields = append(a.Fields, listener.Field{Name: f.Name, Value: f.Value})
		}
	}
	if o.ID != "" {
		a.Fields = append(a.Fields, listener.Field{Name: sidecar.HeaderID, Value: o.ID})
	}
	if r.RetryAfter > 0 {
		a.Fields = append(a.Fields, listener.Field{Name: "Retry-After", Value: strconv.FormatFloat(r.RetryAfter, 'f', 3, 64)})
	}
	if r.FromProxy {
		a.Fields = append(a.Fields, listener.Field{Name: "Content-Type", Value: "text/plain"})
		a.Body = append([]byte(r.Reason), '\n')
	}
	return a
}

// calls serves the control address.
func (p *program) calls() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/stations/{id}", api.SmallBodyBytes, func(c api.Request, b *api.Heartbeat) (*api.Empty, error) {
		s, err := b.ToSidecar(c.ID)
		if err != nil {
			return nil, err
		}
		p.with(func(now float64) { p.sidecar.Heartbeat(now, s) })
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.hostID != s.ID {
			p.hostID = s.ID
			p.host.Forget()
		}
		return nil, nil
	})
	api.Handle(mux, "DELETE /-/stations/{id}", api.SmallBodyBytes, func(c api.Request, _ *api.Empty) (*api.Empty, error) {
		p.with(func(now float64) { p.sidecar.HostSignedOff(now, c.ID) })
		return nil, nil
	})
	api.Handle(mux, "GET /-/state", api.SmallBodyBytes, func(api.Request, *api.Empty) (s *sidecar.State, err error) {
		p.with(func(now float64) { known := p.sidecar.State(now); s = &known })
		return s, nil
	})
	return mux
}

// metrics fills one scrape.
func (p *program) metrics(page cli.Scrape) {
	var s sidecar.State
	p.with(func(now float64) { s = p.sidecar.State(now) })
	for status, n := range s.Counts.Replies {
		page.SetCounter("beechwing_sidecar_answers_total", n, "status", strconv.Itoa(status))
	}
	countBy(page, "beechwing_sidecar_tries_total", "outcome", s.Counts.Attempts)
	countBy(page, "beechwing_sidecar_turned_away_total", "why", s.Counts.Rejected)
	page.SetCounter("beechwing_sidecar_runs_total", s.Counts.Runs)
	page.SetCounter("beechwing_sidecar_late_runs_total", s.Counts.LateRuns)
	page.SetCounter("beechwing_sidecar_doubts_total", s.Counts.PeerFailures)
	countBy(page, "beechwing_sidecar_dropped_messages_total", "why", s.Counts.Dropped)
	countBy(page, "beechwing_sidecar_clients_left_total", "place", s.Counts.ClientsLeft)
	countBy(page, "beechwing_sidecar_cancelled_total", "place", s.Counts.Cancelled)
	page.SetCounter("beechwing_sidecar_grants_total", s.Counts.Grants)
	page.SetCounter("beechwing_sidecar_grants_refused_total", s.Counts.GrantsRefused)
	page.SetCounter("beechwing_sidecar_tries_for_clients_left_total", s.Counts.SentAfterClientLeft)
	page.SetCounter("beechwing_sidecar_host_connections_total", uint64(p.host.Opened()))
	if k := s.Keys; k != nil {
		page.SetGauge("beechwing_sidecar_key_ranges", float64(k.Ranges), "state", "own")
		page.SetGauge("beechwing_sidecar_key_ranges", float64(k.Held), "state", "held")
		page.SetGauge("beechwing_sidecar_key_ranges", float64(k.Releasing), "state", "releasing")
		page.SetGauge("beechwing_sidecar_key_lease_left_seconds", k.LeaseLeftSeconds)
	}
	page.SetGauge("beechwing_sidecar_edition", float64(s.Edition))
	page.SetBool("beechwing_sidecar_ready", s.Ready)
	page.SetGauge("beechwing_sidecar_requests_open", float64(s.Requests))
	page.SetGauge("beechwing_sidecar_host_requests", float64(s.Jobs))
	page.SetGauge("beechwing_sidecar_waiting", float64(s.Queued), "queue", "in time")
	page.SetGauge("beechwing_sidecar_waiting", float64(s.QueuedLate), "queue", "late")
	page.SetGauge("beechwing_sidecar_roll", float64(len(s.Records)))
	page.SetGauge("beechwing_sidecar_silent", float64(len(s.Silent)))
	for service, n := range s.AvoidedHosts {
		page.SetGauge("beechwing_sidecar_avoided_hosts", float64(n), "carrier", service)
	}
}

// countBy fills in a counter for each value of a label.
func countBy(page cli.Scrape, name, label string, counts map[string]uint64) {
	for value, n := range counts {
		page.SetCounter(name, n, label, value)
	}
}
