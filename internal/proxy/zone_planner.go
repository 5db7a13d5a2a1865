package proxy

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/failover"
	"beechwing/internal/handover"
	"beechwing/internal/member"
	"beechwing/internal/site"
)

const (
	planInterval      = 250 * time.Millisecond
	joinRetryInterval = time.Second // joining fails while the previous process still has the address
)

// zonePlanner runs the failover agent, which decides what fraction of requests goes to each zone, and passes the plan to
// the balancer. In mode "common" the agent exchanges messages with the other members of the fleet.
type zonePlanner struct {
	p     *Proxy
	agent *failover.Agent

	lastZones   []failover.Zone // at the last tick
	orderCalls  chan *zoneOrderCall
	file        *handover.File[[]failover.Order] // operators' orders, kept over restarts
	savedDigest uint64                           // of the orders in file

	mu           sync.Mutex
	members      *member.Membership // nil: not a member, or not yet
	status       failover.Status
	orders       []failover.Order
	confirmed    int // other members with the same orders, out of otherMembers
	otherMembers int
}

// newZonePlanner creates the planner and loads the saved orders.
func newZonePlanner(p *Proxy) *zonePlanner {
	observer := p.owner.zoneObserver
	now := p.owner.clock.now()
	planner := &zonePlanner{p: p, agent: failover.NewAgent(now, observer.name, observer.zone, uint64(now*1e6)),
		orderCalls: make(chan *zoneOrderCall)}
	planner.loadOrders()
	return planner
}

// run keeps the zone plan up to date until ctx is cancelled. All calls to the agent are made in this goroutine, except
// for loadOrders before the start.
func (s *zonePlanner) run(ctx context.Context) {
	if s.p.cfg.Site.Failover.Mode == site.FailoverCommon {
		s.p.goroutines.Go(func() { s.join(ctx) })
	}
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		m := s.currentMembers()
		var messages <-chan []byte
		if m != nil {
			messages = m.Messages()
		}
		select {
		case <-ctx.Done():
			return
		case data := <-messages:
			s.receive(data)
		case c := <-s.orderCalls:
			s.executeOrder(c)
		case <-tick.C:
			if !s.tick(ctx, m) {
				return
			}
		}
		s.send(m)
		s.saveOrders()
	}
}

// join joins the fleet, retries until that succeeds, and leaves when ctx is cancelled.
func (s *zonePlanner) join(ctx context.Context) {
	c := s.p.cfg.Site.Members
	for {
		m, err := member.Join(member.Config{Name: s.p.cfg.Name, Fleet: c.Fleet, Listen: c.Listen, Advertise: c.Advertise,
			Seeds: c.Seeds, Keys: s.p.cfg.memberKeys}, s.p.log)
		if err == nil {
			s.mu.Lock()
			s.members = m
			s.mu.Unlock()
			<-ctx.Done()
			m.Leave()
			return
		}
		s.p.log.Warn("not a member yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinRetryInterval):
		}
	}
}

// currentMembers returns the membership, or nil before join has succeeded.
func (s *zonePlanner) currentMembers() *member.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// rekey replaces the keys that encrypt messages between members.
func (s *zonePlanner) rekey(keys [][]byte) {
	if m := s.currentMembers(); m != nil {
		if err := m.Rekey(keys); err != nil {
			s.p.log.Error("member keys not replaced, the old ones stay in use", zap.Error(err))
		}
	}
}

// receive passes a message from a member to the agent.
func (s *zonePlanner) receive(data []byte) {
	var m failover.Message
	if err := member.Decode(data, &m); err != nil {
		s.p.log.Debug("message from a member cannot be decoded", zap.Error(err))
		return
	}
	s.agent.Receive(s.p.owner.clock.now(), &m)
}

// tick gets the current observations from the owner, runs the agent, and posts the plan to the owner if it has changed. It
// returns false if the proxy has stopped.
func (s *zonePlanner) tick(ctx context.Context, m *member.Membership) bool {
	survey := &zoneSurvey{done: make(chan struct{})}
	if s.p.owner.postAndWait(ctx, survey, survey.done) != nil {
		return false
	}
	var alive []string
	if m != nil {
		alive = m.Alive()
	}
	s.lastZones = survey.zones
	changed := s.agent.Tick(survey.now, survey.report, survey.zones, alive)
	status := s.agent.Status()
	if m != nil {
		status.Dropped += m.Dropped()
	}
	s.mu.Lock()
	s.status = status
	s.mu.Unlock()
	if changed {
		s.p.log.Info("plan", zap.Uint64("epoch", status.Epoch), zap.String("author", status.Leader),
			zap.Int("members", status.Members), zap.String("row", formatZonePlan(status.ZonePlan)),
			zap.String("reason", status.Reason))
		s.p.owner.post(planEvent{status.ZonePlan})
	}
	return true
}

// send sends the agent's outgoing messages. Without a membership they are discarded.
func (s *zonePlanner) send(m *member.Membership) {
	for _, o := range s.agent.TakeOutgoing() {
		data, err := member.Encode(&o.Message)
		if err == nil && m != nil {
			err = m.Send(o.To, data)
		}
		if err != nil {
			s.p.log.Debug("message to a member not sent", zap.String("to", o.To), zap.Error(err))
		}
	}
}

// formatZonePlan formats a zone plan for logs and operators.
func formatZonePlan(r failover.ZonePlan) string {
	var parts []string
	for _, share := range r.Shares {
		parts = append(parts, fmt.Sprintf("%s=%.3f", share.Zone, share.Fraction))
	}
	return strings.Join(append(parts, fmt.Sprintf("refused=%.3f", r.Refused)), " ")
}

// planText describes the plan and the orders in force for operators.
func (s *zonePlanner) planText() []byte {
	s.mu.Lock()
	status, orders := s.status, s.orders
	s.mu.Unlock()
	by := "this proxy alone"
	if status.FollowsFleet {
		by = fmt.Sprintf("epoch %d by %s", status.Epoch, status.Leader)
	}
	text := fmt.Appendf(nil, "plan=%s\nreason=%s\nmembers=%d\ndropped=%d\nzone=%s\nshares=%s\n", by, status.Reason,
		max(1, status.Members), status.Dropped, s.p.owner.zoneObserver.zone, formatZonePlan(status.ZonePlan))
	for _, o := range orders {
		if o.Out {
			text = fmt.Appendf(text, "out=%s by %s at %s\n", o.Zone, o.By, time.Unix(int64(o.At), 0).UTC().Format(time.RFC3339))
		}
	}
	return text
}

// zoneSurvey asks the owner for its observations of the zones.
type zoneSurvey struct {
	now    float64
	report failover.Report
	zones  []failover.Zone
	done   chan struct{}
}

func (e *zoneSurvey) apply(o *owner) {
	e.now = o.clock.now()
	e.report = o.zoneObserver.window.Report(e.now, o.zoneObserver.name, o.zoneObserver.zone)
	e.zones = o.zoneObserver.zoneWeights(e.now, &o.cfg)
	close(e.done)
}

// planEvent passes the zone plan for this proxy to the balancer.
type planEvent struct{ zonePlan failover.ZonePlan }

func (e planEvent) apply(o *owner) {
	var routes []balancer.ZoneShare
	for _, s := range e.zonePlan.Shares {
		routes = append(routes, balancer.ZoneShare{Zone: o.zoneObserver.zones.index(s.Zone), Share: s.Fraction})
	}
	o.bal.Plan(o.clock.now(), routes)
}
