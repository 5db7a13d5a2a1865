package main

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/api"
	"beechwing/internal/mesh/cli"
	"beechwing/internal/mesh/control"
	"beechwing/internal/mesh/store"
)

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

var errNow = api.Error{Status: http.StatusServiceUnavailable, Message: "no majority of the control processes can be reached from here now"}

func (p *program) calls() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/timetable", api.LargeBodyBytes, func(c api.Request, _ *api.RawJSON) (*api.AcceptedConfig, error) {
		return p.take(c.Body)
	})
	api.Handle(mux, "GET /-/timetable", api.SmallBodyBytes, func(api.Request, *api.Empty) (*api.RawJSON, error) {
		return p.read()
	})
	// Only the proxy beside a host can close the way to it, so nothing that a host says may be acknowledged here.
	elsewhere := api.Error{Status: http.StatusServiceUnavailable, Message: "beats go to the proxy beside the host"}
	for _, call := range []string{"PUT", "DELETE"} {
		api.Handle(mux, call+" /-/stations/{id}", api.SmallBodyBytes, func(api.Request, *api.Empty) (*api.Empty, error) {
			return nil, elsewhere
		})
	}
	api.Handle(mux, "PUT /-/orders/{id}", api.SmallBodyBytes, func(c api.Request, o *api.EjectionOrder) (*api.Empty, error) {
		if o.By == "" {
			return nil, api.Error{Status: http.StatusBadRequest, Message: "by: who says so?"}
		}
		err, told := ask(p, func(now float64, answer func(error)) {
			p.server.OrderEjection(now, c.ID, o.Eject, o.Force, o.By, o.Reason, answer)
		})
		switch {
		case !told || errors.Is(err, control.ErrNoMajority):
			return nil, errNow
		case errors.Is(err, control.ErrNoHost):
			return nil, api.Error{Status: http.StatusNotFound, Message: err.Error()}
		case err != nil:
			return nil, api.Error{Status: http.StatusConflict, Message: err.Error()}
		}
		p.log.Info("order", "station", c.ID, "out", o.Eject, "by", o.By, "why", o.Reason, "force", o.Force)
		return nil, nil
	})
	api.Handle(mux, "GET /-/state", api.SmallBodyBytes, func(api.Request, *api.Empty) (s *control.State, err error) {
		p.with(func(now float64) { known := p.server.State(now); s = &known })
		return s, nil
	})
	return mux
}

// take checks a configuration and has it kept.
func (p *program) take(text []byte) (*api.AcceptedConfig, error) {
	p.validatorMu.Lock()
	if p.validator == nil {
		p.validatorMu.Unlock()
		return nil, errNow
	}
	edition, err := p.validator.Check(text)
	p.validatorMu.Unlock()
	if err != nil {
		p.log.Warn("configuration refused", "error", err)
		return nil, api.Error{Status: http.StatusBadRequest, Message: err.Error()}
	}
	result, told := ask(p, func(now float64, answer func(control.OrderResult)) { p.server.Order(now, edition, text, answer) })
	if !told {
		result = control.OrderNoContact
	}
	p.log.Info("configuration", "edition", edition, "order", result)
	if result != control.OrderTaken {
		return nil, p.refusal(result)
	}
	return &api.AcceptedConfig{Version: edition}, nil
}

// read gives the newest configuration.
func (p *program) read() (*api.RawJSON, error) {
	type answered struct {
		text   []byte
		result control.OrderResult
	}
	a, told := ask(p, func(now float64, answer func(answered)) {
		p.server.Configuration(now, func(text []byte, result control.OrderResult) { answer(answered{text, result}) })
	})
	switch {
	case !told:
		return nil, errNow
	case a.result != control.OrderTaken:
		return nil, p.refusal(a.result)
	case len(a.text) == 0:
		return nil, api.Error{Status: http.StatusNotFound, Message: "no configuration has been taken yet"}
	}
	raw := api.RawJSON(a.text)
	return &raw, nil
}

// refusal words the end of an order that was not taken. A server that is no member names one.
func (p *program) refusal(result control.OrderResult) error {
	switch result {
	case control.OrderConflict:
		return api.Error{Status: http.StatusConflict, Message: "another configuration was taken under this number"}
	case control.OrderNotMember:
		var member string
		p.with(func(now float64) { member = p.server.Redirect(now) })
		host, _, err := net.SplitHostPort(member)
		_, port, portErr := net.SplitHostPort(p.settings.Listen.Control)
		if err != nil || portErr != nil {
			return errNow
		}
		return api.Error{Status: http.StatusTemporaryRedirect, Message: "this server is no member: ask " + member,
			Location: "http://" + net.JoinHostPort(host, port) + "/-/timetable"}
	}
	return errNow
}

// figures are what is counted, for a reading.
func (p *program) figures(page cli.Scrape) {
	var s control.State
	p.with(func(now float64) { s = p.server.State(now) })
	page.SetCounter("beechwing_control_claims_total", s.Counts.Claims)
	page.SetCounter("beechwing_control_claims_granted_total", s.Counts.Granted)
	page.SetCounter("beechwing_control_settles_total", s.Counts.Settles)
	page.SetCounter("beechwing_control_unsure_total", s.Counts.Unsure)
	page.SetCounter("beechwing_control_untouched_total", s.Counts.Untouched)
	page.SetCounter("beechwing_control_pulls_total", s.Counts.Pulls)
	page.SetCounter("beechwing_control_view_changes_total", s.Counts.ViewChanges)
	for name, n := range s.Counts.Violations {
		page.SetCounter("beechwing_control_invariant_violations_total", n, "invariant", string(name))
	}
	for end, n := range s.Counts.Orders {
		page.SetCounter("beechwing_control_orders_total", n, "end", end)
	}
	for state, n := range s.Keys {
		page.SetGauge("beechwing_control_registers", float64(n), "state", state)
	}
	page.SetGauge("beechwing_control_oldest_claim_seconds", s.OldestClaimSeconds)
	page.SetGauge("beechwing_control_edition_held", float64(s.HeldVersion))
	page.SetGauge("beechwing_control_edition_in_force", float64(s.InForceVersion))
	page.SetBool("beechwing_control_voting", s.Voting)
	page.SetBool("beechwing_control_in_contact", s.InContact)
	page.SetBool("beechwing_control_member", s.Member)
	page.SetBool("beechwing_control_behind", s.Behind)
	page.SetBool("beechwing_control_caught_up", s.CaughtUp)
	page.SetGauge("beechwing_control_epoch", float64(s.Epoch))
	page.SetGauge("beechwing_control_members", float64(len(s.Members)))
	page.SetGauge("beechwing_control_standbys", float64(len(s.Standbys)))
	page.SetGauge("beechwing_control_silent_members", float64(len(s.SilentMembers)))
	page.SetGauge("beechwing_control_last_contact_seconds", s.SinceContactSeconds)
	disk := p.writer.Stats()
	page.SetBool("beechwing_control_disk_failing", disk.Condition != store.Healthy)
	page.SetGauge("beechwing_control_disk_waiting", float64(disk.Values), "what", "values")
	page.SetGauge("beechwing_control_disk_waiting", float64(disk.Messages), "what", "messages")
	page.SetCounter("beechwing_control_disk_dropped_messages_total", disk.Dropped)
	for _, t := range p.work.Totals() {
		page.SetCounter("beechwing_control_work_total", t.Count, "kind", string(t.Kind))
		page.SetGauge("beechwing_control_work_seconds_total", t.Seconds, "kind", string(t.Kind))
	}
	for _, a := range s.Assignments {
		page.SetGauge("beechwing_control_assignment_epoch", float64(a.Epoch), "carrier", a.Service)
		page.SetGauge("beechwing_control_assignment_members", float64(a.Members), "carrier", a.Service)
		page.SetGauge("beechwing_control_assignment_waiting", float64(len(a.AwaitedMembers)), "carrier", a.Service)
	}
	page.SetGauge("beechwing_control_roll", float64(len(s.Records)))
	page.SetGauge("beechwing_control_silent", float64(len(s.SilentProxies)))
}
