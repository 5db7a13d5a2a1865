package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/api"
	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/packed"
	"beechwing/internal/mesh/routeconfig"
	"beechwing/internal/mesh/store"
)

// await calls the state machine and waits for its answer. It returns false if there is none within answerTimeout.
func await[T any](p *program, call func(now float64, answer func(T))) (T, bool) {
	answers := make(chan T, 1)
	p.with(func(now float64) { call(now, func(t T) { answers <- t }) })
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	select {
	case t := <-answers:
		return t, true
	case <-timeout.C:
		var zero T
		return zero, false
	}
}

// errUnavailable is the error if this server has no contact to a majority or got no answer in time.
var errUnavailable = api.Error{Status: http.StatusServiceUnavailable,
	Message: "no majority of the control processes can be reached from here now"}

// controlHandler returns the handler of the control address, which operators use.
func (p *program) controlHandler() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/timetable", api.LargeBodyBytes, func(c api.Request, _ *api.RawJSON) (*api.AcceptedConfig, error) {
		return p.submitConfiguration(c.Body)
	})
	api.Handle(mux, "GET /-/timetable", api.SmallBodyBytes, func(api.Request, *api.Empty) (*api.RawJSON, error) {
		return p.readConfiguration()
	})
	// Only the proxy beside a host can stop requests to the host. A heartbeat or sign-off that was acknowledged here would not
	// reach that proxy.
	wrongProcess := api.Error{Status: http.StatusServiceUnavailable,
		Message: "beats go to the proxy beside the host"}
	for _, method := range []string{"PUT", "DELETE"} {
		api.Handle(mux, method+" /-/stations/{id}", api.SmallBodyBytes, func(api.Request, *api.Empty) (*api.Empty, error) {
			return nil, wrongProcess
		})
	}
	api.Handle(mux, "PUT /-/orders/{id}", api.SmallBodyBytes, func(c api.Request, order *api.Order) (*api.Empty, error) {
		if order.By == "" {
			return nil, api.Error{Status: http.StatusBadRequest, Message: "by: who says so?"}
		}
		err, answered := await(p, func(now float64, answer func(error)) {
			p.server.OrderEjection(now, c.ID, order.Eject, order.Force, order.By, order.Reason, answer)
		})
		switch {
		case !answered || errors.Is(err, control.ErrNoMajority):
			return nil, errUnavailable
		case errors.Is(err, control.ErrNoHost):
			return nil, api.Error{Status: http.StatusNotFound, Message: err.Error()}
		case err != nil:
			return nil, api.Error{Status: http.StatusConflict, Message: err.Error()}
		}
		p.log.Info("order", "station", c.ID, "out", order.Eject, "by", order.By, "why", order.Reason, "force", order.Force)
		return nil, nil
	})
	api.Handle(mux, "GET /-/state", api.SmallBodyBytes, func(api.Request, *api.Empty) (s *control.State, err error) {
		p.with(func(now float64) { state := p.server.State(now); s = &state })
		return s, nil
	})
	return mux
}

// submitConfiguration validates a configuration and has the control servers accept and store it.
func (p *program) submitConfiguration(text []byte) (*api.AcceptedConfig, error) {
	startedAt := p.clock.Now()
	version, err := p.checkConfiguration(text)
	checkSeconds := p.clock.Now() - startedAt
	if err != nil {
		p.log.Warn("configuration refused", "error", err)
		return nil, err
	}
	result, answered := await(p, func(now float64, answer func(control.OrderResult)) {
		p.server.Order(now, version, text, answer)
	})
	if !answered {
		result = control.OrderNoContact
	}
	p.log.Info("configuration", "edition", version, "order", result, "checkSeconds", fmt.Sprintf("%.3f", checkSeconds))
	if result != control.OrderTaken {
		return nil, p.orderError(result)
	}
	return &api.AcceptedConfig{Version: version}, nil
}

// checkConfiguration returns the version of a valid configuration. A configuration that was taken before is not checked again:
// callers repeat an order that is not answered within a second at other servers.
func (p *program) checkConfiguration(text []byte) (uint64, error) {
	if _, version, err := routeconfig.Parse(text); err == nil && p.wasTaken(version, text) {
		return version, nil
	}
	p.validatorMu.Lock()
	defer p.validatorMu.Unlock()
	if p.validator == nil {
		return 0, errUnavailable
	}
	p.trustConfigInForce()
	version, err := p.validator.Check(text)
	if err != nil {
		return 0, api.Error{Status: http.StatusBadRequest, Message: err.Error()}
	}
	return version, nil
}

func (p *program) wasTaken(version uint64, text []byte) (taken bool) {
	p.with(func(float64) { taken = p.server.WasTaken(version, text) })
	return taken
}

// trustConfigInForce makes the validator check only the parts that differ from the configuration in force. validatorMu must be
// held.
func (p *program) trustConfigInForce() {
	var version uint64
	var packedText []byte
	p.with(func(float64) { version, packedText = p.server.ConfigInForce() })
	if version == p.trustedVersion {
		return
	}
	p.trustedVersion = version
	if text, err := packed.Unpack(packedText); err == nil {
		p.validator.Trust(text)
	}
}

// readConfiguration returns the newest configuration.
func (p *program) readConfiguration() (*api.RawJSON, error) {
	type configuration struct {
		text   []byte
		result control.OrderResult
	}
	newest, answered := await(p, func(now float64, answer func(configuration)) {
		p.server.Configuration(now, func(text []byte, result control.OrderResult) { answer(configuration{text, result}) })
	})
	switch {
	case !answered:
		return nil, errUnavailable
	case newest.result != control.OrderTaken:
		return nil, p.orderError(newest.result)
	case len(newest.text) == 0:
		return nil, api.Error{Status: http.StatusNotFound, Message: "no configuration has been taken yet"}
	}
	raw := api.RawJSON(newest.text)
	return &raw, nil
}

// orderError returns the HTTP error for a configuration order that was not accepted. A server that is not a member redirects to a
// member.
func (p *program) orderError(result control.OrderResult) error {
	switch result {
	case control.OrderConflict:
		return api.Error{Status: http.StatusConflict, Message: "another configuration was taken under this number"}
	case control.OrderNotMember:
		var member string
		p.with(func(now float64) { member = p.server.Redirect(now) })
		host, _, err := net.SplitHostPort(member)
		_, port, portErr := net.SplitHostPort(p.settings.Listen.Control)
		if err != nil || portErr != nil {
			return errUnavailable
		}
		return api.Error{Status: http.StatusTemporaryRedirect, Message: "this server is no member: ask " + member,
			Location: "http://" + net.JoinHostPort(host, port) + "/-/timetable"}
	}
	return errUnavailable
}

// metrics fills in the metrics for one scrape.
func (p *program) metrics(scrape cli.Scrape) {
	var s control.State
	p.with(func(now float64) { s = p.server.State(now) })
	scrape.SetCounter("beechwing_control_claims_total", s.Counts.Claims)
	scrape.SetCounter("beechwing_control_claims_granted_total", s.Counts.Granted)
	scrape.SetCounter("beechwing_control_settles_total", s.Counts.Settles)
	scrape.SetCounter("beechwing_control_unsure_total", s.Counts.Unsure)
	scrape.SetCounter("beechwing_control_untouched_total", s.Counts.Untouched)
	scrape.SetCounter("beechwing_control_pulls_total", s.Counts.Pulls)
	scrape.SetCounter("beechwing_control_view_changes_total", s.Counts.ViewChanges)
	for name, n := range s.Counts.Violations {
		scrape.SetCounter("beechwing_control_invariant_violations_total", n, "invariant", string(name))
	}
	for end, n := range s.Counts.Orders {
		scrape.SetCounter("beechwing_control_orders_total", n, "end", end)
	}
	for state, n := range s.Keys {
		scrape.SetGauge("beechwing_control_registers", float64(n), "state", state)
	}
	scrape.SetGauge("beechwing_control_oldest_claim_seconds", s.OldestClaimSeconds)
	scrape.SetGauge("beechwing_control_edition_held", float64(s.HeldVersion))
	scrape.SetGauge("beechwing_control_edition_in_force", float64(s.InForceVersion))
	scrape.SetBool("beechwing_control_voting", s.Voting)
	scrape.SetBool("beechwing_control_in_contact", s.InContact)
	scrape.SetBool("beechwing_control_member", s.Member)
	scrape.SetBool("beechwing_control_behind", s.Behind)
	scrape.SetBool("beechwing_control_caught_up", s.CaughtUp)
	scrape.SetGauge("beechwing_control_epoch", float64(s.Epoch))
	scrape.SetGauge("beechwing_control_members", float64(len(s.Members)))
	scrape.SetGauge("beechwing_control_standbys", float64(len(s.Standbys)))
	scrape.SetGauge("beechwing_control_silent_members", float64(len(s.SilentMembers)))
	scrape.SetGauge("beechwing_control_last_contact_seconds", s.SinceContactSeconds)
	disk := p.writer.Stats()
	scrape.SetBool("beechwing_control_disk_failing", disk.Condition != store.Healthy)
	scrape.SetGauge("beechwing_control_disk_waiting", float64(disk.Values), "what", "values")
	scrape.SetGauge("beechwing_control_disk_waiting", float64(disk.Messages), "what", "messages")
	scrape.SetCounter("beechwing_control_disk_dropped_messages_total", disk.Dropped)
	for _, t := range p.work.Totals() {
		scrape.SetCounter("beechwing_control_work_total", t.Count, "kind", string(t.Kind))
		scrape.SetGauge("beechwing_control_work_seconds_total", t.Seconds, "kind", string(t.Kind))
	}
	for _, a := range s.Assignments {
		scrape.SetGauge("beechwing_control_assignment_epoch", float64(a.Epoch), "carrier", a.Service)
		scrape.SetGauge("beechwing_control_assignment_members", float64(a.Members), "carrier", a.Service)
		scrape.SetGauge("beechwing_control_assignment_waiting", float64(len(a.AwaitedMembers)), "carrier", a.Service)
	}
	scrape.SetGauge("beechwing_control_roll", float64(len(s.Records)))
	scrape.SetGauge("beechwing_control_silent", float64(len(s.SilentProxies)))
}
