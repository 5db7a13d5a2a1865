package simulation

import (
	"cmp"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/sidecar"
)

// Proxies with the hosts beside them.

// Proxy is a proxy with the host beside it.
type Proxy struct {
	w        *World
	addr     string
	host     Host
	seeds    []string
	sidecar  *sidecar.Sidecar
	lives    int
	up       bool
	unlit    bool
	version  uint64
	station  *station
	stations int
	seed     uint64              // of its state machine; 0: drawn for each life
	running  map[uint64]*hostRun // requests at the host, by their jobs
	freezer
}

func (s *Proxy) address() string { return s.addr }
func (s *Proxy) alive() bool     { return s.up }
func (s *Proxy) dark() bool      { return s.unlit }
func (s *Proxy) life() int       { return s.lives }

// Start starts the process.
func (s *Proxy) Start() {
	s.lives++
	s.w.disturbed(s.addr)
	s.up, s.unlit, s.freezer = true, false, freezer{}
	s.running = map[uint64]*hostRun{}
	s.version += uint64(1000 * s.w.Rand.Float64()) // the time of day may have gone back
	s.sidecar = sidecar.New(s.w.Now, sidecar.Options{Self: s.addr, Zone: s.host.Zone, Service: s.host.Carrier, Seeds: s.seeds, HeartbeatInterval: beat,
		RetryRatio: 0.2, RetrySlack: 60, RecordVersion: s.version, Seed: cmp.Or(s.seed, s.w.Rand.Uint64()), MaxBodyBytes: 1 << 24, AgreedEjection: s.w.Agreed, MaxKeyHold: holdMost})
	life := s.lives
	var tick func()
	tick = func() {
		if s.up && s.lives == life {
			s.input(func() { s.sidecar.Tick(s.w.Now) })
			s.w.Checker.edition(s)
			s.w.After(tickEvery, tick)
		}
	}
	s.w.After(tickEvery*s.w.Rand.Float64(), tick)
}

// Kill ends the process. Its clients see their connections closed.
func (s *Proxy) Kill() {
	s.w.disturbed(s.addr)
	s.up = false
}

// PowerOff takes the power of proxy and host away.
func (s *Proxy) PowerOff() {
	s.w.disturbed(s.addr)
	s.up, s.unlit = false, true
	s.station = nil
}

// Term tells the process to end, and ends it once nothing is under way, as its program does. ended is called then.
func (s *Proxy) Term(ended func()) {
	const notice, grace = 2.2, 5.0
	began, life := s.w.Now, s.lives
	s.input(func() { s.sidecar.BeginShutdown(s.w.Now, notice) })
	var look func()
	look = func() {
		switch {
		case !s.up || s.lives != life:
		case s.w.Now > began+notice && s.sidecar.Idle(), s.w.Now > began+grace:
			s.up = false
			ended()
		default:
			s.w.After(tickEvery, look)
		}
	}
	s.w.After(notice, look)
}

// State is what the proxy knows.
func (s *Proxy) State() sidecar.State { return s.sidecar.State(s.w.Now) }

func (s *Proxy) heard(from string, p *meshpb.Message) {
	s.input(func() { s.sidecar.Receive(s.w.Now, from, p) })
}

func (s *Proxy) broke(b transport.Disconnected) {
	s.input(func() { s.sidecar.ConnectionLost(s.w.Now, b) })
}

func (s *Proxy) input(f func()) {
	if !s.up || s.holds(f, s.input) {
		return
	}
	f()
	for {
		out := s.sidecar.TakeOutput()
		for _, send := range out.Sends {
			number := s.w.send(s.addr, send.To, send.Message)
			if send.Via != nil {
				*send.Via = number
			}
		}
		for _, do := range out.Commands {
			switch do := do.(type) {
			case sidecar.Respond:
				do.Request.ReplyTo.(func(sidecar.Reply))(do.Reply)
			case sidecar.Exchange:
				s.exchange(do)
			case sidecar.Abort:
				s.abort(do)
			case sidecar.KeyCalls:
				s.callKeys(do)
			case sidecar.Probe:
				s.probe()
			}
		}
		if len(out.Sends) == 0 && len(out.Commands) == 0 {
			return
		}
	}
}
