package proxy

import "beechwing/balancer"

// fakeBalancer replaces the balancer: it records its events and reacts as the test defines.
type fakeBalancer struct {
	act         balancer.Actions
	onRequest   func(s *fakeBalancer, r balancer.Request)
	onOutcome   func(s *fakeBalancer, o balancer.Outcome)
	outcomes    eventChan[balancer.Outcome]
	probes      eventChan[balancer.ProbeResult]
	clientsLeft eventChan[balancer.RequestID]
	lists       eventChan[listEvent]
}

type listEvent struct {
	kind  balancer.ListKind
	hosts []balancer.Host
}

func newFakeBalancer() *fakeBalancer {
	return &fakeBalancer{outcomes: make(eventChan[balancer.Outcome], 4096), probes: make(eventChan[balancer.ProbeResult], 16),
		clientsLeft: make(eventChan[balancer.RequestID], 16), lists: make(eventChan[listEvent], 4096)}
}

// install makes the proxy use the fake balancer.
func (s *fakeBalancer) install(p *Proxy) {
	p.newHandler = func(_ float64, _ balancer.Config, act balancer.Actions) balancer.Handler {
		s.act = act
		act.Watch()
		return s
	}
}

func (s *fakeBalancer) UpdateHosts(_ float64, kind balancer.ListKind, hosts []balancer.Host) {
	s.lists <- listEvent{kind, hosts}
}

func (s *fakeBalancer) Request(_ float64, r balancer.Request) {
	if s.onRequest != nil {
		s.onRequest(s, r)
	}
}

func (s *fakeBalancer) Outcome(_ float64, o balancer.Outcome) {
	s.outcomes <- o
	if s.onOutcome != nil {
		s.onOutcome(s, o)
	} else if !o.Final {
		s.act.Fail(o.ID)
	}
}

func (s *fakeBalancer) Probed(_ float64, p balancer.ProbeResult) { s.probes <- p }

func (s *fakeBalancer) ClientLeft(_ float64, id balancer.RequestID) { s.clientsLeft <- id }

func (s *fakeBalancer) Avoided(float64) int                              { return 0 }
func (s *fakeBalancer) Plan(float64, []balancer.ZoneShare)               {}
func (s *fakeBalancer) BodyReceived(float64, balancer.RequestID)         {}
func (s *fakeBalancer) ResponseStarted(float64, balancer.RequestID, int) {}
func (s *fakeBalancer) Timer(float64, uint64)                            {}
func (s *fakeBalancer) Configure(float64, balancer.Config, []int)        {}
func (s *fakeBalancer) PeerMessage(float64, int, []byte)                 {}

// sendsOnceTo returns a handler that sends every request once to the given host.
func sendsOnceTo(host string) func(*fakeBalancer, balancer.Request) {
	return func(s *fakeBalancer, r balancer.Request) { s.act.Send(r.ID, hostID(host), 0) }
}
