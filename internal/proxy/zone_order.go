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
	minRemainingShare   = 0.5                   // of the fleet's weight: an order that leaves less needs Force
	maxConfirmations    = 2                     // other members that must have an order before its call succeeds
	confirmPollInterval = 20 * time.Millisecond // between two checks of the confirmations
)

// zoneOrderCall is an operator's order that is queued for the goroutine of zonePlanner.run.
type zoneOrderCall struct {
	ops.ZoneOrder
	message string
	err     error
	done    chan struct{}
}

// loadOrders loads the orders from before the start of this process.
func (s *zonePlanner) loadOrders() {
	s.file = handover.NewFile(stateFile(s.p.cfg.StateDir, "zones", s.p.cfg.Name),
		func([]failover.Order) error { return nil })
	list, err := s.file.Read()
	if err != nil {
		s.p.log.Error("saved zone orders cannot be read, other members may still send them", zap.Error(err))
	}
	s.agent.RestoreOrders(list)
	s.savedDigest = s.agent.OrdersDigest()
}

// saveOrders publishes the current orders to submitOrder and planText, and writes them to the file if they have changed.
func (s *zonePlanner) saveOrders() {
	confirmed, otherMembers := s.agent.Confirmed()
	list := s.agent.Orders()
	s.mu.Lock()
	s.confirmed, s.otherMembers, s.orders = confirmed, otherMembers, list
	s.mu.Unlock()
	if d := s.agent.OrdersDigest(); d != s.savedDigest {
		if err := s.file.Write(list); err != nil {
			s.p.log.Error("zone orders not saved, they will not survive a restart of this process", zap.Error(err))
		}
		s.savedDigest = d
	}
}

// submitOrder carries out an operator's order. Success means that the order is saved here, and known to enough other
// members to survive if this process dies.
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

// executeOrder checks an order and passes it to the agent, in the goroutine of run.
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
		c.err = fmt.Errorf("%w:\n%s", ops.ErrNeedsForce, c.message)
	default:
		s.agent.IssueOrder(s.p.owner.clock.now(), names, *c.Out)
		s.saveOrders()
	}
}
