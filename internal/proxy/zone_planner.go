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
	joinRetryInterval = time.Second // the process before may still have the address
)

// steering asks internal/failover which zones count, with the words of other members where there are any, and tells the module.
type zonePlanner struct {
	p     *Proxy
	agent *failover.Agent

	lastZones   []failover.Zone // as last seen
	orderCalls  chan *zoneOrderCall
	file        *handover.File[[]failover.Order] // what operators have ordered, over restarts
	savedDigest uint64                           // digest of what it holds

	mu           sync.Mutex
	members      *member.Membership // nil: none, or not yet
	standing     failover.Status
	orders       []failover.Order
	confirmed    int // other members that have the same orders, of
	otherMembers int
}

func newZonePlanner(p *Proxy) *zonePlanner {
	s := p.owner.zoneObserver
	now := p.owner.clock.now()
	st := &zonePlanner{p: p, agent: failover.NewAgent(now, s.name, s.zone, uint64(now*1e6)), orderCalls: make(chan *zoneOrderCall)}
	st.loadOrders()
	return st
}

// run steers until ctx ends.
func (s *zonePlanner) run(ctx context.Context) {
	if s.p.cfg.Site.Failover.Mode == site.Common {
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

// join becomes a member, and leaves when ctx ends.
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

func (s *zonePlanner) currentMembers() *member.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

func (s *zonePlanner) rekey(keys [][]byte) {
	if m := s.currentMembers(); m != nil {
		if err := m.Rekey(keys); err != nil {
			s.p.log.Error("the old keys stay", zap.Error(err))
		}
	}
}

func (s *zonePlanner) receive(data []byte) {
	var m failover.Message
	if err := member.Decode(data, &m); err != nil {
		s.p.log.Debug("a word that is none", zap.Error(err))
		return
	}
	s.agent.Receive(s.p.owner.clock.now(), &m)
}

// tick asks the owner what it sees, and tells it what comes of that. false: the proxy has ended.
func (s *zonePlanner) tick(ctx context.Context, m *member.Membership) bool {
	q := &zoneSurvey{done: make(chan struct{})}
	if s.p.owner.postAndWait(ctx, q, q.done) != nil {
		return false
	}
	var alive []string
	if m != nil {
		alive = m.Alive()
	}
	s.lastZones = q.zones
	changed := s.agent.Tick(q.now, q.report, q.zones, alive)
	standing := s.agent.Status()
	if m != nil {
		standing.Dropped += m.Dropped()
	}
	s.mu.Lock()
	s.standing = standing
	s.mu.Unlock()
	if changed {
		s.p.log.Info("plan", zap.Uint64("epoch", standing.Epoch), zap.String("author", standing.Leader),
			zap.Int("members", standing.Members), zap.String("row", formatRow(standing.ZonePlan)), zap.String("reason", standing.Reason))
		s.p.owner.post(planEvent{standing.ZonePlan})
	}
	return true
}

func (s *zonePlanner) send(m *member.Membership) {
	for _, o := range s.agent.TakeOutgoing() {
		data, err := member.Encode(&o.Message)
		if err == nil && m != nil {
			err = m.Send(o.To, data)
		}
		if err != nil {
			s.p.log.Debug("a word was not sent", zap.String("to", o.To), zap.Error(err))
		}
	}
}

// words is a row for people.
func formatRow(r failover.ZonePlan) string {
	var parts []string
	for _, share := range r.Shares {
		parts = append(parts, fmt.Sprintf("%s=%.3f", share.Zone, share.Fraction))
	}
	return strings.Join(append(parts, fmt.Sprintf("refused=%.3f", r.Refused)), " ")
}

// text is what operators are told of the plan.
func (s *zonePlanner) planText() []byte {
	s.mu.Lock()
	st, orders := s.standing, s.orders
	s.mu.Unlock()
	by := "this proxy alone"
	if st.FollowsFleet {
		by = fmt.Sprintf("epoch %d by %s", st.Epoch, st.Leader)
	}
	text := fmt.Appendf(nil, "plan=%s\nreason=%s\nmembers=%d\ndropped=%d\nzone=%s\nshares=%s\n", by, st.Reason, max(1, st.Members),
		st.Dropped, s.p.owner.zoneObserver.zone, formatRow(st.ZonePlan))
	for _, o := range orders {
		if o.Out {
			text = fmt.Appendf(text, "out=%s by %s at %s\n", o.Zone, o.By, time.Unix(int64(o.At), 0).UTC().Format(time.RFC3339))
		}
	}
	return text
}

// surveyed asks the owner what it sees.
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

// planned is word of which zones count for this proxy.
type planEvent struct{ row failover.ZonePlan }

func (e planEvent) apply(o *owner) {
	var routes []balancer.ZoneShare
	for _, s := range e.row.Shares {
		routes = append(routes, balancer.ZoneShare{Zone: o.zoneObserver.zones.index(s.Zone), Share: s.Fraction})
	}
	o.bal.Plan(o.clock.now(), routes)
}
