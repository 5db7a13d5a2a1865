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

var errNow = api.Refusal{Status: http.StatusServiceUnavailable, Why: "no majority of the control processes can be reached from here now"}

func (p *program) calls() http.Handler {
	mux := http.NewServeMux()
	api.Handle(mux, "PUT /-/timetable", api.LargeBody, func(c api.Call, _ *api.Raw) (*api.Taken, error) {
		return p.take(c.Body)
	})
	api.Handle(mux, "GET /-/timetable", api.SmallBody, func(api.Call, *api.None) (*api.Raw, error) {
		return p.read()
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
		err, told := ask(p, func(now float64, answer func(error)) {
			p.server.OrderEjection(now, c.ID, o.Out, o.Force, o.By, o.Why, answer)
		})
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
		p.with(func(now float64) { known := p.server.State(now); s = &known })
		return s, nil
	})
	return mux
}

// take checks a configuration and has it kept.
func (p *program) take(text []byte) (*api.Taken, error) {
	p.validatorMu.Lock()
	if p.validator == nil {
		p.validatorMu.Unlock()
		return nil, errNow
	}
	edition, err := p.validator.Check(text)
	p.validatorMu.Unlock()
	if err != nil {
		p.log.Warn("configuration refused", "error", err)
		return nil, api.Refusal{Status: http.StatusBadRequest, Why: err.Error()}
	}
	result, told := ask(p, func(now float64, answer func(control.OrderResult)) { p.server.Order(now, edition, text, answer) })
	if !told {
		result = control.OrderNoContact
	}
	p.log.Info("configuration", "edition", edition, "order", result)
	if result != control.OrderTaken {
		return nil, p.refusal(result)
	}
	return &api.Taken{Edition: edition}, nil
}

// read gives the newest configuration.
func (p *program) read() (*api.Raw, error) {
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
		return nil, api.Refusal{Status: http.StatusNotFound, Why: "no configuration has been taken yet"}
	}
	raw := api.Raw(a.text)
	return &raw, nil
}

// refusal words the end of an order that was not taken. A server that is no member names one.
func (p *program) refusal(result control.OrderResult) error {
	switch result {
	case control.OrderConflict:
		return api.Refusal{Status: http.StatusConflict, Why: "another configuration was taken under this number"}
	case control.OrderNotMember:
		var member string
		p.with(func(now float64) { member = p.server.Redirect(now) })
		host, _, err := net.SplitHostPort(member)
		_, port, portErr := net.SplitHostPort(p.settings.Docking.Control)
		if err != nil || portErr != nil {
			return errNow
		}
		return api.Refusal{Status: http.StatusTemporaryRedirect, Why: "this server is no member: ask " + member,
			Location: "http://" + net.JoinHostPort(host, port) + "/-/timetable"}
	}
	return errNow
}

// figures are what is counted, for a reading.
func (p *program) figures(page cli.Page) {
	var s control.State
	p.with(func(now float64) { s = p.server.State(now) })
	page.Count("beechwing_control_claims_total", s.Counts.Claims)
	page.Count("beechwing_control_claims_granted_total", s.Counts.Granted)
	page.Count("beechwing_control_settles_total", s.Counts.Settles)
	page.Count("beechwing_control_unsure_total", s.Counts.Unsure)
	page.Count("beechwing_control_untouched_total", s.Counts.Untouched)
	page.Count("beechwing_control_pulls_total", s.Counts.Pulls)
	page.Count("beechwing_control_view_changes_total", s.Counts.ViewChanges)
	for name, n := range s.Counts.Violations {
		page.Count("beechwing_control_invariant_violations_total", n, "invariant", string(name))
	}
	for end, n := range s.Counts.Orders {
		page.Count("beechwing_control_orders_total", n, "end", end)
	}
	for state, n := range s.Keys {
		page.Gauge("beechwing_control_registers", float64(n), "state", state)
	}
	page.Gauge("beechwing_control_oldest_claim_seconds", s.OldestClaimSeconds)
	page.Gauge("beechwing_control_edition_held", float64(s.HeldVersion))
	page.Gauge("beechwing_control_edition_in_force", float64(s.InForceVersion))
	page.Flag("beechwing_control_voting", s.Voting)
	page.Flag("beechwing_control_in_contact", s.InContact)
	page.Flag("beechwing_control_member", s.Member)
	page.Flag("beechwing_control_behind", s.Behind)
	page.Flag("beechwing_control_caught_up", s.CaughtUp)
	page.Gauge("beechwing_control_epoch", float64(s.Epoch))
	page.Gauge("beechwing_control_members", float64(len(s.Members)))
	page.Gauge("beechwing_control_standbys", float64(len(s.Standbys)))
	page.Gauge("beechwing_control_silent_members", float64(len(s.SilentMembers)))
	page.Gauge("beechwing_control_last_contact_seconds", s.SinceContactSeconds)
	disk := p.writer.Stats()
	page.Flag("beechwing_control_disk_failing", disk.Condition != store.Healthy)
	page.Gauge("beechwing_control_disk_waiting", float64(disk.Values), "what", "values")
	page.Gauge("beechwing_control_disk_waiting", float64(disk.Messages), "what", "messages")
	page.Count("beechwing_control_disk_dropped_messages_total", disk.Dropped)
	for _, t := range p.work.Totals() {
		page.Count("beechwing_control_work_total", t.Count, "kind", string(t.Kind))
		page.Gauge("beechwing_control_work_seconds_total", t.Seconds, "kind", string(t.Kind))
	}
	for _, a := range s.Assignments {
		page.Gauge("beechwing_control_assignment_epoch", float64(a.Epoch), "carrier", a.Service)
		page.Gauge("beechwing_control_assignment_members", float64(a.Members), "carrier", a.Service)
		page.Gauge("beechwing_control_assignment_waiting", float64(len(a.AwaitedMembers)), "carrier", a.Service)
	}
	page.Gauge("beechwing_control_roll", float64(len(s.Records)))
	page.Gauge("beechwing_control_silent", float64(len(s.SilentProxies)))
}
