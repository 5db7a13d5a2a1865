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
	minRemainingShare   = 0.5                   // of the fleet's weight, without a second word
	maxConfirmations    = 2                     // other members that have an order before it gets its yes
	confirmPollInterval = 20 * time.Millisecond // at which they are counted
)

// zoneCall is an operator's call on its way to the steering.
type zoneOrderCall struct {
	ops.ZoneOrder
	message string
	err     error
	done    chan struct{}
}

// openOrders takes over what was ordered before this process started.
func (s *zonePlanner) loadOrders() {
	s.file = handover.NewFile(stateFile(s.p.cfg.StateDir, "zones", s.p.cfg.Name), func([]failover.Order) error { return nil })
	list, err := s.file.Read()
	if err != nil {
		s.p.log.Error("which zones are out by hand cannot be read, others may tell", zap.Error(err))
	}
	s.agent.RestoreOrders(list)
	s.savedDigest = s.agent.OrdersDigest()
}

// keepOrders writes down what has been ordered since, and lets it be seen.
func (s *zonePlanner) saveOrders() {
	confirmed, otherMembers := s.agent.Confirmed()
	list := s.agent.Orders()
	s.mu.Lock()
	s.confirmed, s.otherMembers, s.orders = confirmed, otherMembers, list
	s.mu.Unlock()
	if d := s.agent.OrdersDigest(); d != s.savedDigest {
		if err := s.file.Write(list); err != nil {
			s.p.log.Error("an order on a zone will not outlast this process", zap.Error(err))
		}
		s.savedDigest = d
	}
}

// order carries out an operator's call. Its yes means that the order is written down here, and known to others that would keep it
// if this process died now.
func (s *zonePlanner) submitOrder(ctx context.Context, o ops.ZoneOrder) (string, error) {
	c := &zoneOrderCall{ZoneOrder: o, done: make(chan struct{})}
	select {
	case s.orderCalls <- c:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	<-c.done
	if c.err != nil || o.Dry {
		return c.message, c.err
	}
	for {
		s.mu.Lock()
		confirmed, otherMembers := s.confirmed, s.otherMembers
		s.mu.Unlock()
		if confirmed >= min(otherMembers, maxConfirmations) {
			return fmt.Sprintf("%sknown to %d of %d other members", c.message, confirmed, otherMembers), nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("ordered here, and known to %d of %d other members so far", confirmed, otherMembers)
		case <-time.After(confirmPollInterval):
		}
	}
}

// carryOut gives an order, in the steering's goroutine.
func (s *zonePlanner) executeOrder(c *zoneOrderCall) {
	defer close(c.done)
	var names []string
	for _, z := range s.lastZones {
		if z.Name == c.Zone || c.Region != "" && z.Region == c.Region {
			names = append(names, z.Name)
		}
	}
	if len(names) == 0 {
		c.err = fmt.Errorf("%w: no zone or region %.64q", ops.ErrUnknown, c.Zone+c.Region)
		return
	}
	text, remaining := s.agent.WhatIf(s.lastZones, names, *c.Out)
	c.message = fmt.Sprintf("%s%.0f %% of the fleet left\n", text, 100*remaining)
	switch {
	case c.Dry:
	case *c.Out && remaining <= 0:
		c.err = errors.New("nothing would be left")
	case *c.Out && remaining < minRemainingShare && !c.Force:
		c.err = fmt.Errorf("%w:\n%s", ops.ErrForce, c.message)
	default:
		s.agent.IssueOrder(s.p.owner.clock.now(), names, *c.Out)
		s.saveOrders()
	}
}
