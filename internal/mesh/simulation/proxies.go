package simulation

import (
	"cmp"

	"beechwing/internal/mesh/meshpb"
	"beechwing/internal/mesh/transport"

	"beechwing/internal/mesh/sidecar"
)

// Proxy is a machine with a proxy process (a sidecar) and the host that it serves.
type Proxy struct {
	w             *World
	addr          string
	host          Host
	seeds         []string
	sidecar       *sidecar.Sidecar
	starts        int // number of process starts; identifies the current process
	up            bool
	powerLost     bool
	version       uint64 // of the proxy's record, at the start
	instance      *hostInstance
	instanceCount int                     // number of host instances so far
	seed          uint64                  // of the sidecar's random numbers; 0: drawn for each process
	running       map[uint64]*hostRequest // requests at the host, by job
	freezer
}

func (s *Proxy) address() string  { return s.addr }
func (s *Proxy) alive() bool      { return s.up }
func (s *Proxy) poweredOff() bool { return s.powerLost }
func (s *Proxy) incarnation() int { return s.starts }

// Start starts the proxy process.
func (s *Proxy) Start() {
	s.starts++
	s.w.noteDisturbance(s.addr)
	s.up, s.powerLost, s.freezer = true, false, freezer{}
	s.running = map[uint64]*hostRequest{}
	s.version += uint64(1000 * s.w.Rand.Float64()) // the version derives from the wall clock, which may have been set back
	s.sidecar = sidecar.New(s.w.Now, sidecar.Options{Self: s.addr, Zone: s.host.Zone, Service: s.host.Service,
		Seeds: s.seeds, HeartbeatInterval: heartbeatSeconds, RetryRatio: 0.2, RetrySlack: 60,
		RecordVersion: s.version, Seed: cmp.Or(s.seed, s.w.Rand.Uint64()), MaxBodyBytes: 1 << 24,
		AgreedEjection: s.w.AgreedEjection, MaxKeyHold: maxHoldSeconds})
	incarnation := s.starts
	var tick func()
	tick = func() {
		if s.up && s.starts == incarnation {
			s.input(func() { s.sidecar.Tick(s.w.Now) })
			s.w.Checker.checkEdition(s)
			s.w.After(tickSeconds, tick)
		}
	}
	s.w.After(tickSeconds*s.w.Rand.Float64(), tick)
}

// Kill ends the proxy process. Its clients see their connections closed. The host stays.
func (s *Proxy) Kill() {
	s.w.noteDisturbance(s.addr)
	s.up = false
}

// PowerOff cuts the power of the machine, which ends proxy and host.
func (s *Proxy) PowerOff() {
	s.w.noteDisturbance(s.addr)
	s.up, s.powerLost = false, true
	s.instance = nil
}

// Terminate shuts the process down gracefully, as SIGTERM does: the process stops serving once no request is in progress, or
// after a time, and ends once what it had begun has ended, or after a further time. Then onExit is called.
func (s *Proxy) Terminate(onExit func()) {
	const noticeSeconds, serveSeconds, endSeconds = 2.2, 5.0, 5.4
	start, incarnation := s.w.Now, s.starts
	s.input(func() { s.sidecar.BeginShutdown(s.w.Now, noticeSeconds, serveSeconds) })
	stopped := false
	var poll func()
	poll = func() {
		idle := s.sidecar.Idle()
		switch {
		case !s.up || s.starts != incarnation:
			return
		case stopped && (idle || s.w.Now > start+endSeconds):
			s.up = false
			onExit()
			return
		case !stopped && (idle || s.w.Now > start+serveSeconds):
			stopped = true
			s.input(func() { s.sidecar.StopServing(s.w.Now) })
		}
		s.w.After(tickSeconds, poll)
	}
	s.w.After(noticeSeconds, poll)
}

// State returns the state of the proxy.
func (s *Proxy) State() sidecar.State { return s.sidecar.State(s.w.Now) }

func (s *Proxy) receive(from string, p *meshpb.Message) {
	s.input(func() { s.sidecar.Receive(s.w.Now, from, p) })
}

func (s *Proxy) connectionLost(b transport.Disconnected) {
	s.input(func() { s.sidecar.ConnectionLost(s.w.Now, b) })
}

// input passes an input to the process, unless it is frozen, and carries out the output.
func (s *Proxy) input(f func()) {
	if !s.up || s.deferWhileFrozen(f, s.input) {
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
