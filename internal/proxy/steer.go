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
	steerEvery = 250 * time.Millisecond
	joinAgain  = time.Second // the process before may still have the address
)

// steering asks internal/failover which zones count, with the words of other members where there are any, and tells the module.
type steering struct {
	p     *Proxy
	agent *failover.Agent

	zones []failover.Zone // as last seen
	calls chan *zoneCall
	file  *handover.File[[]failover.Order] // what operators have ordered, over restarts
	saved uint64                           // digest of what it holds

	mu       sync.Mutex
	members  *member.Membership // nil: none, or not yet
	standing failover.Status
	orders   []failover.Order
	have     int // other members that have the same orders, of
	others   int
}

func newSteering(p *Proxy) *steering {
	s := p.owner.sight
	now := p.owner.clock.now()
	st := &steering{p: p, agent: failover.NewAgent(now, s.name, s.zone, uint64(now*1e6)), calls: make(chan *zoneCall)}
	st.openOrders()
	return st
}

// run steers until ctx ends.
func (s *steering) run(ctx context.Context) {
	if s.p.cfg.Site.Failover.Mode == site.Common {
		s.p.parts.Go(func() { s.join(ctx) })
	}
	tick := time.NewTicker(steerEvery)
	defer tick.Stop()
	for {
		m := s.joined()
		var words <-chan []byte
		if m != nil {
			words = m.Messages()
		}
		select {
		case <-ctx.Done():
			return
		case word := <-words:
			s.take(word)
		case c := <-s.calls:
			s.carryOut(c)
		case <-tick.C:
			if !s.tick(ctx, m) {
				return
			}
		}
		s.send(m)
		s.keepOrders()
	}
}

// join becomes a member, and leaves when ctx ends.
func (s *steering) join(ctx context.Context) {
	c := s.p.cfg.Site.Members
	for {
		m, err := member.Join(member.Config{Name: s.p.cfg.Name, Fleet: c.Fleet, Listen: c.Listen, Advertise: c.Advertise,
			Seeds: c.Seeds, Keys: s.p.cfg.keys}, s.p.log)
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
		case <-time.After(joinAgain):
		}
	}
}

func (s *steering) joined() *member.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

func (s *steering) rekey(keys [][]byte) {
	if m := s.joined(); m != nil {
		if err := m.Rekey(keys); err != nil {
			s.p.log.Error("the old keys stay", zap.Error(err))
		}
	}
}

func (s *steering) take(word []byte) {
	var m failover.Message
	if err := member.Decode(word, &m); err != nil {
		s.p.log.Debug("a word that is none", zap.Error(err))
		return
	}
	s.agent.Receive(s.p.owner.clock.now(), &m)
}

// tick asks the owner what it sees, and tells it what comes of that. false: the proxy has ended.
func (s *steering) tick(ctx context.Context, m *member.Membership) bool {
	q := &surveyed{done: make(chan struct{})}
	if s.p.owner.offer(ctx, q, q.done) != nil {
		return false
	}
	var alive []string
	if m != nil {
		alive = m.Alive()
	}
	s.zones = q.zones
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
			zap.Int("members", standing.Members), zap.String("row", words(standing.ZonePlan)), zap.String("reason", standing.Reason))
		s.p.owner.post(planned{standing.ZonePlan})
	}
	return true
}

func (s *steering) send(m *member.Membership) {
	for _, o := range s.agent.TakeOutgoing() {
		word, err := member.Encode(&o.Message)
		if err == nil && m != nil {
			err = m.Send(o.To, word)
		}
		if err != nil {
			s.p.log.Debug("a word was not sent", zap.String("to", o.To), zap.Error(err))
		}
	}
}

// words is a row for people.
func words(r failover.ZonePlan) string {
	var parts []string
	for _, share := range r.Shares {
		parts = append(parts, fmt.Sprintf("%s=%.3f", share.Zone, share.Fraction))
	}
	return strings.Join(append(parts, fmt.Sprintf("refused=%.3f", r.Refused)), " ")
}

// text is what operators are told of the plan.
func (s *steering) text() []byte {
	s.mu.Lock()
	st, orders := s.standing, s.orders
	s.mu.Unlock()
	by := "this proxy alone"
	if st.FollowsFleet {
		by = fmt.Sprintf("epoch %d by %s", st.Epoch, st.Leader)
	}
	text := fmt.Appendf(nil, "plan=%s\nreason=%s\nmembers=%d\ndropped=%d\nzone=%s\nshares=%s\n", by, st.Reason, max(1, st.Members),
		st.Dropped, s.p.owner.sight.zone, words(st.ZonePlan))
	for _, o := range orders {
		if o.Out {
			text = fmt.Appendf(text, "out=%s by %s at %s\n", o.Zone, o.By, time.Unix(int64(o.At), 0).UTC().Format(time.RFC3339))
		}
	}
	return text
}

// surveyed asks the owner what it sees.
type surveyed struct {
	now    float64
	report failover.Report
	zones  []failover.Zone
	done   chan struct{}
}

func (e *surveyed) apply(o *owner) {
	e.now = o.clock.now()
	e.report = o.sight.window.Report(e.now, o.sight.name, o.sight.zone)
	e.zones = o.sight.places(e.now, &o.cfg)
	close(e.done)
}

// planned is word of which zones count for this proxy.
type planned struct{ row failover.ZonePlan }

func (e planned) apply(o *owner) {
	var routes []balancer.ZoneShare
	for _, s := range e.row.Shares {
		routes = append(routes, balancer.ZoneShare{Zone: o.sight.zones.number(s.Zone), Share: s.Fraction})
	}
	o.bal.Plan(o.clock.now(), routes)
}
