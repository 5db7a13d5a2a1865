package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"beechwing/internal/failover"
	"beechwing/internal/handover"
	"beechwing/internal/ops"
)

const (
	leastLeft   = 0.5                   // of the fleet's weight, without a second word
	confirmMost = 2                     // other members that have an order before it gets its yes
	confirmLook = 20 * time.Millisecond // at which they are counted
)

// zoneCall is an operator's call on its way to the steering.
type zoneCall struct {
	ops.ZoneOrder
	said string
	err  error
	done chan struct{}
}

// openOrders takes over what was ordered before this process started.
func (s *steering) openOrders() {
	s.file = handover.NewFile(stateFile(s.p.cfg.StateDir, "zones", s.p.cfg.Name), func([]failover.Order) error { return nil })
	list, err := s.file.Read()
	if err != nil {
		s.p.log.Error("which zones are out by hand cannot be read, others may tell", zap.Error(err))
	}
	s.agent.RestoreOrders(list)
	s.saved = s.agent.OrdersDigest()
}

// keepOrders writes down what has been ordered since, and lets it be seen.
func (s *steering) keepOrders() {
	have, others := s.agent.Confirmed()
	list := s.agent.Orders()
	s.mu.Lock()
	s.have, s.others, s.orders = have, others, list
	s.mu.Unlock()
	if d := s.agent.OrdersDigest(); d != s.saved {
		if err := s.file.Write(list); err != nil {
			s.p.log.Error("an order on a zone will not outlast this process", zap.Error(err))
		}
		s.saved = d
	}
}

// order carries out an operator's call. Its yes means that the order is written down here, and known to others that would keep it
// if this process died now.
func (s *steering) order(ctx context.Context, o ops.ZoneOrder) (string, error) {
	c := &zoneCall{ZoneOrder: o, done: make(chan struct{})}
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	<-c.done
	if c.err != nil || o.Dry {
		return c.said, c.err
	}
	for {
		s.mu.Lock()
		have, others := s.have, s.others
		s.mu.Unlock()
		if have >= min(others, confirmMost) {
			return fmt.Sprintf("%sknown to %d of %d other members", c.said, have, others), nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("ordered here, and known to %d of %d other members so far", have, others)
		case <-time.After(confirmLook):
		}
	}
}

// carryOut gives an order, in the steering's goroutine.
func (s *steering) carryOut(c *zoneCall) {
	defer close(c.done)
	var names []string
	for _, z := range s.zones {
		if z.Name == c.Zone || c.Region != "" && z.Region == c.Region {
			names = append(names, z.Name)
		}
	}
	if len(names) == 0 {
		c.err = fmt.Errorf("%w: no zone or region %.64q", ops.ErrUnknown, c.Zone+c.Region)
		return
	}
	text, left := s.agent.WhatIf(s.zones, names, *c.Out)
	c.said = fmt.Sprintf("%s%.0f %% of the fleet left\n", text, 100*left)
	switch {
	case c.Dry:
	case *c.Out && left <= 0:
		c.err = errors.New("nothing would be left")
	case *c.Out && left < leastLeft && !c.Force:
		c.err = fmt.Errorf("%w:\n%s", ops.ErrForce, c.said)
	default:
		s.agent.IssueOrder(s.p.owner.clock.now(), names, *c.Out)
		s.keepOrders()
	}
}
