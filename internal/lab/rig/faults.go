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

// steps breaks and heals, each step at its moment.
func (r *rig) steps() {
	for _, s := range r.s.Steps {
		if _, err := r.pace.until(r.ctx, s.At); err != nil {
			return
		}
		r.step(&s)
	}
}

func (r *rig) step(s *plan.Step) {
	f := &r.s.Faults[s.Fault]
	kind := record.Fault
	if s.End {
		kind = record.Heal
	}
	r.book.Add(record.Event{At: r.book.Now(), Kind: kind, Proxy: -1, Host: -1, Text: fmt.Sprintf("%s %s %s", f.Kind, f.From, f.To)})
	switch f.Kind {
	case "kill", "term", "stop", "hup":
		for _, p := range s.Proxies {
			r.bg.Go(func() { r.disturb(f, p, s.End) })
		}
	case "crash", "slow", "errors", "drain", "remove":
		for _, h := range s.Hosts {
			r.hurt(f, h, s.End)
		}
	case "list_down", "list_late", "list_stale", "list_back", "list_torn":
		r.list.Change(func(l *list.Faults) { setList(l, f, !s.End) })
	case "load": // the arrivals have it
	case "zone_out", "zone_back":
		if !s.End {
			for _, p := range s.Proxies {
				r.bg.Go(func() { r.fail(r.order(p, f.Zone, f.Kind == "zone_out")) })
			}
		}
	case "peers_silent", "peers_loss", "peers_late":
		r.breakPeers(f, s)
	default:
		r.breakLinks(f, s)
	}
}

func setList(l *list.Faults, f *plan.Fault, on bool) {
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

func (r *rig) breakLinks(f *plan.Fault, s *plan.Step) {
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

// order asks a process's door to take a zone out for the whole fleet, or back. Anything but a yes fails the run.
func (r *rig) order(p int, zone string, out bool) error {
	ctx, cancel := context.WithTimeout(r.ctx, r.patience(orderWithin))
	defer cancel()
	body := fmt.Sprintf(`{"zone":%q,"out":%v}`, zone, out)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.members[p].Ops()+"/admin/zone", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("rig: order: %w", err)
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", a.Status, text)
	}
	if err != nil {
		return fmt.Errorf("rig: order to process %d: %w", p, err)
	}
	return nil
}

const orderWithin = 2 * time.Second

// breakPeers breaks or heals what lies between processes, in both directions.
func (r *rig) breakPeers(f *plan.Fault, s *plan.Step) {
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

// hurt breaks or heals one host.
func (r *rig) hurt(f *plan.Fault, h int, heal bool) {
	n := r.nodes[h]
	switch f.Kind {
	case "crash":
		if heal {
			r.revive(h)
		} else {
			n.Stop()
		}
	case "slow":
		n.Change(func(m *node.Model) { m.Slow = map[bool]float64{true: 1, false: f.Factor}[heal] })
	case "errors":
		n.Change(func(m *node.Model) { m.Errors = errorShares(r.s, f, heal) })
	case "drain", "remove":
		r.withdraw(f, h, heal)
	}
}

// withdraw lets the list say of a host that it drains or is gone, or that it is ready again.
func (r *rig) withdraw(f *plan.Fault, h int, heal bool) {
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

func errorShares(s *plan.Schedule, f *plan.Fault, heal bool) []float64 {
	shares := make([]float64, len(s.Classes))
	for i, k := range s.Classes {
		if !heal && (f.Class == "" || f.Class == k.Name) {
			shares[i] = f.Share
		}
	}
	return shares
}

// revive starts a host again, cold, and lists it so.
func (r *rig) revive(h int) {
	if err := r.nodes[h].Start(); err != nil {
		r.fail(err)
		return
	}
	r.listStart(h)
}

func (r *rig) listStart(h int) {
	e := r.list.Entry(h)
	e.State, e.Started = list.Ready, time.Now().UnixMilli()
	r.list.Set(h, e)
}

// fell takes word that a cold host has been pushed over; it comes back cold after a while.
func (r *rig) fell(h int) {
	warmth := 0.0
	now := r.book.Now()
	r.nodes[h].Change(func(m *node.Model) { warmth = m.Warmth(now) })
	r.book.Add(record.Event{At: now, Kind: record.Fell, Proxy: -1, Host: h, Text: fmt.Sprintf("%.2f warm", warmth)})
	r.bg.Go(func() {
		if _, err := r.book.Until(r.ctx, now+r.s.Host.Restart.D()); err == nil {
			r.revive(h)
		}
	})
}

// chill makes all hosts cold, as after a power cut.
func (r *rig) chill() {
	for h, n := range r.nodes {
		n.Change(func(m *node.Model) { m.Start(0) })
		r.listStart(h)
	}
}

// disturb does to a process what a fault says, or ends that.
func (r *rig) disturb(f *plan.Fault, p int, heal bool) {
	m := r.members[p]
	if heal {
		r.restore(f, p)
		return
	}
	switch f.Kind {
	case "kill":
		m.mu.Lock()
		m.wanted = false
		r.callers[p].ProxyKilled()
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Killed, Proxy: p, Host: -1})
		m.Signal(syscall.SIGKILL)
		m.mu.Unlock()
		<-m.Done()
	case "term":
		r.retire(p, m, r.patience(endWithin))
	case "stop":
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Stopped, Proxy: p, Host: -1})
		r.fail(m.Signal(syscall.SIGSTOP))
	case "hup":
		r.fail(m.Signal(syscall.SIGHUP))
	}
}

func (r *rig) restore(f *plan.Fault, p int) {
	m := r.members[p]
	switch f.Kind {
	case "kill", "term":
		select {
		case <-m.Done():
		case <-r.ctx.Done():
			return
		}
		if r.s.Proxy.Knows {
			m.SetKnown(r.list.Snapshot(p))
		}
		r.fail(r.launch(m))
	case "stop":
		r.fail(m.Signal(syscall.SIGCONT))
		r.book.Add(record.Event{At: r.book.Now(), Kind: record.Going, Proxy: p, Host: -1})
	}
}

// retire asks a process to end. One that does not in time, or says that it failed, has crashed.
func (r *rig) retire(p int, m *member, within time.Duration) {
	m.mu.Lock()
	if !m.wanted {
		m.mu.Unlock()
		return
	}
	m.wanted = false
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
		e.Kind, e.Text = record.Crash, fmt.Sprintf("still there %v after SIGTERM", within)
		m.Signal(syscall.SIGKILL)
		<-done
	}
	e.At = r.book.Now()
	r.book.Add(e)
}
