package proxy

import "beechwing/balancer"

// script is a stand-in for the module: it notes what it is told and acts as the test says.
type script struct {
	act      balancer.Actions
	request  func(s *script, r balancer.Request)
	outcome  func(s *script, o balancer.Outcome)
	outcomes watched[balancer.Outcome]
	probes   watched[balancer.ProbeResult]
	gone     watched[balancer.RequestID]
	lists    watched[listEvent]
}

type listEvent struct {
	kind  balancer.ListKind
	hosts []balancer.Host
}

func newScript() *script {
	return &script{outcomes: make(watched[balancer.Outcome], 4096), probes: make(watched[balancer.ProbeResult], 16),
		gone: make(watched[balancer.RequestID], 16), lists: make(watched[listEvent], 4096)}
}

// decides puts the script in the module's place.
func (s *script) decides(p *Proxy) {
	p.newHandler = func(_ float64, _ balancer.Config, act balancer.Actions) balancer.Handler {
		s.act = act
		act.Watch()
		return s
	}
}

func (s *script) UpdateHosts(_ float64, kind balancer.ListKind, hosts []balancer.Host) {
	s.lists <- listEvent{kind, hosts}
}

func (s *script) Request(_ float64, r balancer.Request) {
	if s.request != nil {
		s.request(s, r)
	}
}

func (s *script) Outcome(_ float64, o balancer.Outcome) {
	s.outcomes <- o
	if s.outcome != nil {
		s.outcome(s, o)
	} else if !o.Final {
		s.act.Fail(o.ID)
	}
}

func (s *script) Probed(_ float64, p balancer.ProbeResult) { s.probes <- p }

func (s *script) ClientLeft(_ float64, id balancer.RequestID) { s.gone <- id }

func (s *script) Avoided(float64) int                              { return 0 }
func (s *script) Plan(float64, []balancer.ZoneShare)               {}
func (s *script) BodyReceived(float64, balancer.RequestID)         {}
func (s *script) ResponseStarted(float64, balancer.RequestID, int) {}
func (s *script) Timer(float64, uint64)                            {}
func (s *script) Configure(float64, balancer.Config, []int)        {}
func (s *script) PeerMessage(float64, int, []byte)                 {}

// sends makes the script send every request once to a host.
func sends(host string) func(*script, balancer.Request) {
	return func(s *script, r balancer.Request) { s.act.Send(r.ID, hostID(host), 0) }
}
