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
	tickInterval      = 33 * time.Millisecond
	slowLinkMbps      = 400.0                   // on faster links a response of 100 KB causes no noticeable delay
	largeMessageShare = 0.85                    // share of a slow link for large messages; the rest is for all others
	bodyMemoryDivisor = 4                       // bodies in progress may use 1/4 of the memory limit
	releaseTimeout    = 5 * time.Second         // the host first finishes the requests on the released keys
	unreadyNotice     = 2200 * time.Millisecond // until the platform, which probes once a second, acts on the second failed probe
	grantTimeout      = 250 * time.Millisecond  // the host is on the same machine
	killMargin        = 900 * time.Millisecond  // shutdown ends this long before the platform would kill the process
)

// program is a running sidecar. It owns the sockets and the clock; the state machine in package sidecar does no I/O.
type program struct {
	log      *slog.Logger
	clock    cli.Clock
	settings *bootstrap.Settings
	net      *transport.Net
	host     *upstream.Host
	hostID   string // ID of the host to which the connections of upstream.Host are open

	mu      sync.Mutex
	sidecar *sidecar.Sidecar
	running map[uint64]context.CancelFunc // requests that run at the host, by job
}

func run(ctx context.Context, s *bootstrap.Settings, opts cli.Options, log *slog.Logger) error {
	if s.Listen.Outbound == "" || s.Listen.Ready == "" || s.AppAddress == "" {
		return errors.New("settings: docking.outboundDock, docking.readyDock and appAddress are required")
	}
	bufs := wire.NewPool()
	p := &program{log: log, clock: cli.NewClock(), settings: s, host: upstream.New(s.AppAddress, bufs),
		running: map[uint64]context.CancelFunc{}}
	o := sidecar.Options{Self: s.MeshAddress(), Zone: s.Zone, Service: s.Service, Seeds: s.Seeds(),
		HeartbeatInterval: float64(s.HeartbeatMs) / 1000, RetryRatio: s.Parameter("retryRatio", 0.2),
		RetrySlack: s.Parameter("retrySlack", 0), MaxKeyHold: s.DurationParameter("holdMaxMs", 0).Seconds(),
		RecordVersion: uint64(time.Now().UnixMilli()), Seed: rand.Uint64(), AgreedEjection: opts.AgreedEjection,
		MaxBodyBytes: max(16, s.Limits.MemoryMB/bodyMemoryDivisor) << 20,
		Log:          func(event string, args ...any) { log.Info(event, args...) }}
	if log.Enabled(ctx, slog.LevelDebug) {
		o.Debug = func(event string, args ...any) { log.Debug(event, args...) }
	}
	cli.SetMemoryLimit(s)
	p.sidecar = sidecar.New(p.clock.Now(), o)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var err error
	p.mu.Lock()
	if p.net, err = transport.ListenAt(cmp.Or(opts.ListenAddress, s.MeshAddress()), s.MeshAddress(), p.handleEvent); err != nil {
		p.mu.Unlock()
		return err
	}
	p.net.SetQueueLimit(int64(o.MaxBodyBytes) / 2)
	if mbps := s.Limits.LinkMbps; mbps > 0 && mbps < slowLinkMbps {
		p.net.SetRate(mbps * 1e6 / 8 * largeMessageShare)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for addr, h := range map[string]http.Handler{s.Listen.Ready: http.HandlerFunc(p.serveReady),
		s.Listen.Control: p.controlHandler()} {
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
		tick := time.NewTicker(tickInterval)
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

// shutdown shuts the process down gracefully. New requests are sent to other hosts at once. Requests in progress continue until
// they are done, or until shortly before the platform would kill the process; what could take longer is refused.
func (p *program) shutdown(clients *listener.Listener) {
	p.log.Info("ending")
	startedAt := time.Now()
	stopAt := startedAt.Add(p.settings.DurationParameter("graceS", 6*time.Second) - killMargin)
	p.with(func(now float64) { p.sidecar.BeginShutdown(now, unreadyNotice.Seconds(), time.Until(stopAt).Seconds()) })
	clients.DisableKeepAlives()
	time.Sleep(min(unreadyNotice, time.Until(stopAt)))
	p.awaitIdle(stopAt)
	p.with(p.sidecar.StopServing)
	endAt := stopAt.Add(killMargin / 2)
	clients.Close(time.Until(endAt))
	p.awaitIdle(endAt)
	p.net.Close()
	p.log.Info("ended", "after", time.Since(startedAt))
}

// awaitIdle waits until nothing is in progress, or until a time.
func (p *program) awaitIdle(until time.Time) {
	for time.Now().Before(until) {
		idle := false
		p.with(func(float64) { idle = p.sidecar.Idle() && p.net.Drained() })
		if idle {
			return
		}
		time.Sleep(tickInterval)
	}
}

// with calls the state machine and then executes its output, until there is no more output.
func (p *program) with(input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	input(p.clock.Now())
	for {
		out := p.sidecar.TakeOutput()
		for _, send := range out.Sends {
			connection := p.net.Send(send.To, send.Message)
			if send.Via != nil {
				*send.Via = connection
			}
		}
		for _, command := range out.Commands {
			switch command := command.(type) {
			case sidecar.Respond:
				command.Request.ReplyTo.(chan sidecar.Reply) <- command.Reply
			case sidecar.Exchange:
				ctx, cancel := context.WithCancel(context.Background())
				p.running[command.Job] = cancel
				go p.exchange(ctx, command)
			case sidecar.Abort:
				if cancel := p.running[command.Job]; cancel != nil {
					cancel()
				}
			case sidecar.KeyCalls:
				go p.callKeys(command)
			case sidecar.Probe:
				go func() {
					hostID, healthy := p.host.Probe(command.Path)
					p.with(func(now float64) { p.sidecar.ProbeDone(now, hostID, healthy) })
				}()
			}
		}
		if len(out.Sends) == 0 && len(out.Commands) == 0 {
			return
		}
	}
}

// handleEvent passes an event of the transport to the state machine.
func (p *program) handleEvent(e transport.Event) {
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

// exchange sends a request to the host and reports the result to the state machine.
func (p *program) exchange(ctx context.Context, command sidecar.Exchange) {
	completion := p.host.Run(ctx, command.Forward, p.clock.At(command.Deadline))
	p.with(func(now float64) {
		p.running[command.Job]()
		delete(p.running, command.Job)
		p.sidecar.ExchangeDone(now, command.Job, completion)
	})
}

// callKeys makes the calls that grant keys to the host or release them, one after the other. Grants are not sent after their
// GrantBefore time.
func (p *program) callKeys(command sidecar.KeyCalls) {
	for _, call := range command.Calls {
		timeout := grantTimeout
		if call.Release { // the host responds when the requests on the keys have ended
			timeout = releaseTimeout
		}
		var result sidecar.KeyResult
		if call.Release || p.clock.Now() < command.GrantBefore {
			result = p.host.CallKeys(call, time.Now().Add(timeout))
		}
		p.with(func(now float64) { p.sidecar.KeyCallDone(now, call.ID, result) })
	}
}

// serveReady responds to the platform's readiness probe.
func (p *program) serveReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	p.with(func(float64) { ready = p.sidecar.Ready() })
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limits returns the limits of the current configuration.
func (p *program) limits() listener.Limits {
	p.mu.Lock()
	defer p.mu.Unlock()
	return listenerLimits(p.sidecar.Limits())
}

// serve passes a client's request to the state machine and waits for its reply.
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

// response returns the HTTP response for a reply of the state machine.
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

// controlHandler returns the handler of the control address, which hosts send their heartbeats to.
func (p *program) controlHandler() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/stations/{id}", api.SmallBodyBytes, func(c api.Request, b *api.Beat) (*api.Empty, error) {
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
		p.with(func(now float64) { state := p.sidecar.State(now); s = &state })
		return s, nil
	})
	return mux
}

// metrics fills in the metrics for one scrape.
func (p *program) metrics(scrape cli.Scrape) {
	var s sidecar.State
	p.with(func(now float64) { s = p.sidecar.State(now) })
	for status, n := range s.Counts.Replies {
		scrape.SetCounter("beechwing_sidecar_answers_total", n, "status", strconv.Itoa(status))
	}
	countBy(scrape, "beechwing_sidecar_tries_total", "outcome", s.Counts.Attempts)
	countBy(scrape, "beechwing_sidecar_turned_away_total", "why", s.Counts.Rejected)
	scrape.SetCounter("beechwing_sidecar_runs_total", s.Counts.Runs)
	scrape.SetCounter("beechwing_sidecar_late_runs_total", s.Counts.LateRuns)
	scrape.SetCounter("beechwing_sidecar_doubts_total", s.Counts.PeerFailures)
	countBy(scrape, "beechwing_sidecar_dropped_messages_total", "why", s.Counts.Dropped)
	countBy(scrape, "beechwing_sidecar_clients_left_total", "place", s.Counts.ClientsLeft)
	countBy(scrape, "beechwing_sidecar_cancelled_total", "place", s.Counts.Cancelled)
	scrape.SetCounter("beechwing_sidecar_outcomes_recorded_for_peers_total", s.Counts.RecordedForPeers)
	scrape.SetCounter("beechwing_sidecar_grants_total", s.Counts.Grants)
	scrape.SetCounter("beechwing_sidecar_grants_refused_total", s.Counts.GrantsRefused)
	scrape.SetCounter("beechwing_sidecar_tries_for_clients_left_total", s.Counts.SentAfterClientLeft)
	scrape.SetCounter("beechwing_sidecar_host_connections_total", uint64(p.host.Opened()))
	if k := s.Keys; k != nil {
		scrape.SetGauge("beechwing_sidecar_key_ranges", float64(k.Ranges), "state", "own")
		scrape.SetGauge("beechwing_sidecar_key_ranges", float64(k.Held), "state", "held")
		scrape.SetGauge("beechwing_sidecar_key_ranges", float64(k.Releasing), "state", "releasing")
		scrape.SetGauge("beechwing_sidecar_key_lease_left_seconds", k.LeaseLeftSeconds)
	}
	scrape.SetGauge("beechwing_sidecar_edition", float64(s.Edition))
	scrape.SetBool("beechwing_sidecar_ready", s.Ready)
	scrape.SetGauge("beechwing_sidecar_requests_open", float64(s.Requests))
	scrape.SetGauge("beechwing_sidecar_host_requests", float64(s.Jobs))
	scrape.SetGauge("beechwing_sidecar_waiting", float64(s.Queued), "queue", "in time")
	scrape.SetGauge("beechwing_sidecar_waiting", float64(s.QueuedLate), "queue", "late")
	scrape.SetGauge("beechwing_sidecar_roll", float64(len(s.Records)))
	scrape.SetGauge("beechwing_sidecar_silent", float64(len(s.Silent)))
	for service, n := range s.AvoidedHosts {
		scrape.SetGauge("beechwing_sidecar_avoided_hosts", float64(n), "carrier", service)
	}
}

// countBy sets a counter for each value of a label.
func countBy(scrape cli.Scrape, name, label string, counts map[string]uint64) {
	for value, n := range counts {
		scrape.SetCounter(name, n, label, value)
	}
}
