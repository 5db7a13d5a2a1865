package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"beechwing/internal/lab/link"
	"beechwing/internal/lab/list"
	"beechwing/internal/lab/node"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
)

// runSteps starts and ends the scheduled faults, each step at its time.
func (r *rig) runSteps() {
	for _, s := range r.schedule.Steps {
		if _, err := r.pacer.waitUntil(r.ctx, s.At); err != nil {
			return
		}
		r.applyStep(&s)
	}
}

// applyStep records a step and starts or ends its fault.
func (r *rig) applyStep(s *plan.Step) {
	f := &r.schedule.Faults[s.Fault]
	kind := record.Fault
	if s.End {
		kind = record.Heal
	}
	r.book.Add(record.Event{At: r.book.Now(), Kind: kind, Proxy: -1, Host: -1, Text: fmt.Sprintf("%s %s %s", f.Kind, f.From, f.To)})
	switch f.Kind {
	case "kill", "term", "stop", "hup":
		for _, p := range s.Proxies {
			r.background.Go(func() { r.applyProcessFault(f, p, s.End) })
		}
	case "crash", "slow", "errors", "drain", "remove":
		for _, h := range s.Hosts {
			r.applyHostFault(f, h, s.End)
		}
	case "list_down", "list_late", "list_stale", "list_back", "list_torn":
		r.list.Change(func(l *list.Faults) { setListFault(l, f, !s.End) })
	case "load": // already part of the scheduled arrivals
	case "zone_out", "zone_back":
		if !s.End {
			for _, p := range s.Proxies {
				r.background.Go(func() { r.recordFailure(r.sendZoneOrder(p, f.Zone, f.Kind == "zone_out")) })
			}
		}
	case "peers_silent", "peers_loss", "peers_late":
		r.applyPeerFault(f, s)
	default:
		r.applyLinkFault(f, s)
	}
}

// setListFault turns a fault of the list service on or off.
func setListFault(l *list.Faults, f *plan.Fault, on bool) {
	switch f.Kind {
	case "list_down":
		l.Down = on
	case "list_stale":
		l.Stale = on
	case "list_back":
		l.Back = on
	case "list_torn":
		l.Torn = on
	case "list_late":
		l.Late = 0
		if on {
			l.Late = f.Delay.D()
		}
	}
}

// applyLinkFault starts or ends a fault of the links from proxies to hosts or to the list service.
func (r *rig) applyLinkFault(f *plan.Fault, s *plan.Step) {
	var targets []int
	for _, h := range s.Hosts {
		targets = append(targets, r.nodes[h].Number())
	}
	if s.List {
		targets = append(targets, r.list.Number())
	}
	if f.Kind == "reset" {
		r.net.Reset(s.Proxies, targets)
		return
	}
	on := !s.End
	r.net.Set(s.Proxies, targets, func(l *link.State) {
		switch f.Kind {
		case "silent":
			l.SilentTo, l.SilentBack = on, on
		case "silent_to":
			l.SilentTo = on
		case "silent_back":
			l.SilentBack = on
		case "refused":
			l.Refused = on
		case "latency":
			l.Latency += map[bool]time.Duration{true: f.Delay.D(), false: -f.Delay.D()}[on]
		case "cut":
			l.CutAfter = map[bool]int64{true: f.Bytes}[on]
		case "bandwidth":
			l.Bandwidth = map[bool]float64{true: float64(f.Bytes)}[on]
		}
	})
}

// sendZoneOrder posts an order to the operations endpoint of a process: to take a zone out of service for the whole fleet, or
// to put it back. Any status other than 200 is an error, and the error fails the run.
func (r *rig) sendZoneOrder(p int, zone string, out bool) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.scaleTimeout(zoneOrderTimeout))
	defer cancel()
	body := fmt.Sprintf(`{"zone":%q,"out":%v}`, zone, out)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.processes[p].Ops()+"/admin/zone", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("rig: zone order: %w", err)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", a.Status, text)
	}
	if err != nil {
		return fmt.Errorf("rig: zone order to process %d: %w", p, err)
	}
	return nil
}

const zoneOrderTimeout = 2 * time.Second

// applyPeerFault starts or ends a fault of the links between processes, in both directions.
func (r *rig) applyPeerFault(f *plan.Fault, s *plan.Step) {
	change := func(l *link.PeerState) {
		switch f.Kind {
		case "peers_silent":
			l.Silent = !s.End
		case "peers_loss":
			l.Loss = map[bool]float64{false: f.Share}[s.End]
		case "peers_late":
			l.Delay = map[bool]time.Duration{false: f.Delay.D()}[s.End]
		}
	}
	r.peers.Set(s.Proxies, s.Peers, change)
	r.peers.Set(s.Peers, s.Proxies, change)
}

// applyHostFault starts or ends a fault of one host.
func (r *rig) applyHostFault(f *plan.Fault, h int, heal bool) {
	n := r.nodes[h]
	switch f.Kind {
	case "crash":
		if heal {
			r.restartHost(h)
		} else {
			n.Stop()
		}
	case "slow":
		n.Change(func(m *node.Model) { m.Slow = map[bool]float64{true: 1, false: f.Factor}[heal] })
	case "errors":
		n.Change(func(m *node.Model) { m.Errors = errorShares(r.schedule, f, heal) })
	case "drain", "remove":
		r.updateListing(f, h, heal)
	}
}

// updateListing makes the list service report a host as draining or gone, or as ready again.
func (r *rig) updateListing(f *plan.Fault, h int, heal bool) {
	e := r.list.Entry(h)
	kind := record.Withdrawn
	switch {
	case heal:
		kind, e.State = record.Listed, list.Ready
	case f.Kind == "drain":
		e.State = list.Draining
	default:
		e.State = list.Gone
	}
	r.nodes[h].Change(func(m *node.Model) { m.Draining = !heal })
	r.book.Add(record.Event{At: r.book.Now(), Kind: kind, Proxy: -1, Host: h, Text: e.State})
	r.list.Set(h, e)
}

// errorShares returns the share of requests that a host fails, by class; all are 0 if heal is set.
func errorShares(s *plan.Schedule, f *plan.Fault, heal bool) []float64 {
	shares := make([]float64, len(s.Classes))
	for i, k := range s.Classes {
		if !heal && (f.Class == "" || f.Class == k.Name) {
			shares[i] = f.Share
		}
	}
	return shares
}

// restartHost starts a host with cold caches and lists it with its new start time.
func (r *rig) restartHost(h int) {
	if err := r.nodes[h].Start(); err != nil {
		r.recordFailure(err)
		return
	}
	r.listAsRestarted(h)
}

// listAsRestarted lists a host as ready, with the present time as its start.
func (r *rig) listAsRestarted(h int) {
	e := r.list.Entry(h)
	e.State, e.Started = list.Ready, time.Now().UnixMilli()
	r.list.Set(h, e)
}

// hostOverloaded records that a cold host went down from overload. The host restarts cold after the configured delay.
func (r *rig) hostOverloaded(h int) {
	warmth := 0.0
	now := r.book.Now()
	r.nodes[h].Change(func(m *node.Model) { warmth = m.Warmth(now) })
	r.book.Add(record.Event{At: now, Kind: record.HostOverloaded, Proxy: -1, Host: h, Text: fmt.Sprintf("%.2f warm", warmth)})
	r.background.Go(func() {
		if _, err := r.book.Until(r.ctx, now+r.schedule.Host.Restart.D()); err == nil {
			r.restartHost(h)
		}
	})
}

// startHostsCold makes all hosts cold, as after a power cut.
func (r *rig) startHostsCold() {
	for h, n := range r.nodes {
		n.Change(func(m *node.Model) { m.Start(0) })
		r.listAsRestarted(h)
	}
}

// applyProcessFault starts or ends a fault of one process.
func (r *rig) applyProcessFault(f *plan.Fault, p int, heal bool) {
	m := r.processes[p]
	if heal {
		r.endProcessFault(f, p)
		return
	}
	switch f.Kind {
	case "kill":
		m.mu.Lock()
		m.shouldRun = false
		r.callers[p].ProxyKilled()
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Killed, Proxy: p, Host: -1})
		m.Signal(syscall.SIGKILL)
		m.mu.Unlock()
		<-m.Done()
	case "term":
		r.terminate(p, m, r.scaleTimeout(exitTimeout))
	case "stop":
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Stopped, Proxy: p, Host: -1})
		r.recordFailure(m.Signal(syscall.SIGSTOP))
	case "hup":
		r.recordFailure(m.Signal(syscall.SIGHUP))
	}
}

// endProcessFault launches a killed or terminated process again, or resumes a stopped one.
func (r *rig) endProcessFault(f *plan.Fault, p int) {
	m := r.processes[p]
	switch f.Kind {
	case "kill", "term":
		select {
		case <-m.Done():
		case <-r.ctx.Done():
			return
		}
		if r.schedule.Proxy.Knows {
			m.SetKnown(r.list.Snapshot(p))
		}
		r.recordFailure(r.launch(m))
	case "stop":
		r.recordFailure(m.Signal(syscall.SIGCONT))
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Resumed, Proxy: p, Host: -1})
	}
}

// terminate stops a process with SIGTERM. A process that outlasts the timeout or exits with a failure is recorded as crashed.
// SIGCONT follows because a stopped process would not handle the signal.
func (r *rig) terminate(p int, m *proxyProcess, within time.Duration) {
	m.mu.Lock()
	if !m.shouldRun {
		m.mu.Unlock()
		return
	}
	m.shouldRun = false
	m.Signal(syscall.SIGTERM)
	m.Signal(syscall.SIGCONT)
	done := m.Done()
	m.mu.Unlock()
	e := record.Event{Kind: record.Exit, Proxy: p, Host: -1}
	select {
	case <-done:
		if !m.Exit().Success() {
			e.Kind, e.Text = record.Crash, m.Exit().String()
		}
	case <-time.After(within):
		e.Kind, e.Text = record.Crash, fmt.Sprintf("still running %v after SIGTERM", within)
		m.Signal(syscall.SIGKILL)
		<-done
	}
	e.At = r.book.Now()
	r.book.Add(e)
}
