package proxy

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"beechwing/balancer"
	"beechwing/internal/cordon"
	"beechwing/internal/handover"
	"beechwing/internal/ops"
)

const (
	cordonPollInterval       = 100 * time.Millisecond // at which the other process's word on hosts is looked for
	hostStatsIntervalSeconds = 0.25                   // seconds at which the module is asked whom it avoids
)

// operators is what the operators' door asks of the proxy.
type adminCalls struct {
	p *Proxy

	mu       sync.Mutex // one call on hosts at a time; guards what follows
	file     *handover.File[cordon.Set]
	cordoned cordon.Set // as the owner has it
}

// stateFile names a proxy's file of a kind. Proxies that share a folder for want of a TMPDIR have each its own.
func stateFile(dir, kind, name string) string {
	return filepath.Join(dir, "beechwing-"+kind+"-"+hex.EncodeToString([]byte(name))+".json")
}

// outFile names the file with the hosts that are out.
func cordonFile(dir, name string) string { return stateFile(dir, "out", name) }

func newAdminCalls(p *Proxy) *adminCalls {
	check := func(s cordon.Set) error {
		if len(s) > cordon.Most {
			return cordon.ErrFull
		}
		return nil
	}
	return &adminCalls{p: p, file: handover.NewFile(cordonFile(p.cfg.StateDir, p.cfg.Name), check)}
}

// load reads which hosts are out, ahead of the owner's start.
func (s *adminCalls) loadCordoned() cordon.Set {
	set, err := s.file.Read()
	if err != nil {
		s.p.log.Error("who is out by hand cannot be read, nobody is", zap.Error(err))
	}
	s.cordoned = set
	return set
}

// follow takes over what the other process of an upgrade writes, until ctx ends.
func (s *adminCalls) watchFile(ctx context.Context) {
	tick := time.NewTicker(cordonPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := s.reloadFile(ctx); err != nil && ctx.Err() == nil {
			s.p.log.Error("word on hosts that are out was not taken over", zap.Error(err))
		}
	}
}

func (s *adminCalls) reloadFile(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.file.Changed() {
		return nil
	}
	set, err := s.file.Read()
	if err != nil {
		return err
	}
	return s.applyCordoned(ctx, set)
}

// Ready says whether this process serves.
func (s *adminCalls) Ready() error {
	if s.p.serving.Load() {
		return nil
	}
	return errors.New("not serving")
}

// Figures words the figures.
func (s *adminCalls) Figures() []byte { return s.p.owner.stats.text() }

// Plan words which zones count, and why.
func (s *adminCalls) Plan() []byte {
	if s.p.zonePlanner == nil {
		return nil
	}
	return s.p.zonePlanner.planText()
}

// Zone takes a zone or region out for the whole fleet, or back. The door asks for it only where there is a plan.
func (s *adminCalls) Zone(ctx context.Context, o ops.ZoneOrder) (string, error) {
	return s.p.zonePlanner.submitOrder(ctx, o)
}

// TakeOut leaves a host out until it is put back. Once it returns without an error that is in force, and outlasts the
// process.
func (s *adminCalls) TakeOut(ctx context.Context, id string) (string, error) {
	return s.updateCordoned(ctx, id, func(set cordon.Set, now float64) (cordon.Set, string, error) {
		if set.Out(id) {
			return set, "it was out already", nil
		}
		next, err := set.Take(id, now)
		return next, "out", err
	})
}

// PutBack lets a host serve again.
func (s *adminCalls) PutBack(ctx context.Context, id string) (string, error) {
	return s.updateCordoned(ctx, id, func(set cordon.Set, now float64) (cordon.Set, string, error) {
		if !set.Out(id) {
			return set, "it was not out", nil
		}
		return set.PutBack(id, now), "back", nil
	})
}

// change carries out a call on a host that is known: first the file, so that no yes is forgotten, then the owner.
func (s *adminCalls) updateCordoned(ctx context.Context, id string,
	update func(cordon.Set, float64) (cordon.Set, string, error)) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkKnown(ctx, id); err != nil {
		return "", err
	}
	unlock, err := s.file.Lock(ctx)
	if err != nil {
		return "", err
	}
	defer unlock()
	current, err := s.file.Read() // the other process may have written it since
	if err != nil && !errors.Is(err, handover.ErrTorn) {
		return "", err
	}
	now := s.p.owner.clock.now()
	next, message, err := update(current, now)
	if err != nil {
		return "", err
	}
	if next = next.Tidy(now, s.p.activeConfig.Load().ColdFor); len(cordon.Changed(current, next)) > 0 {
		if err := s.file.Write(next); err != nil {
			return "", err
		}
	}
	return message, s.applyCordoned(ctx, next)
}

// inForce waits until the owner has taken over who is out. mu is held.
func (s *adminCalls) applyCordoned(ctx context.Context, set cordon.Set) error {
	done := make(chan struct{})
	if err := s.p.owner.postAndWait(ctx, cordonEvent{set, done}, done); err != nil {
		return fmt.Errorf("not in force yet: %w", err)
	}
	s.cordoned = set
	return nil
}

func (s *adminCalls) checkKnown(ctx context.Context, id string) error {
	q := knownQuery{id, make(chan struct{}), new(bool)}
	if err := s.p.owner.postAndWait(ctx, q, q.done); err != nil {
		return err
	}
	if !*q.known && !s.cordoned.Out(id) {
		return fmt.Errorf("%w: %.64q is not in the list", ops.ErrUnknown, id)
	}
	return nil
}

// offer queues an event and waits until it has been played, no longer than ctx.
func (o *owner) postAndWait(ctx context.Context, e event, applied chan struct{}) error {
	select {
	case o.queue <- e:
	case <-o.done:
		return errors.New("the proxy has ended")
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-applied:
		return nil
	case <-o.done:
		return errors.New("the proxy has ended")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cordoned is word on who is out by hand.
type cordonEvent struct {
	set  cordon.Set
	done chan struct{}
}

func (e cordonEvent) apply(o *owner) {
	if changes := o.registry.setCordoned(e.set); len(changes.hosts) > 0 {
		now := o.clock.now()
		o.hosts.update(balancer.ListChanges, changes, now)
		o.zoneObserver.updateHosts(balancer.ListChanges, changes)
		o.bal.UpdateHosts(now, balancer.ListChanges, changes.hosts)
		o.refreshHostStats(now)
	}
	close(e.done)
}

// asked is the question whether a host is known.
type knownQuery struct {
	id    string
	done  chan struct{}
	known *bool
}

func (e knownQuery) apply(o *owner) {
	*e.known = o.registry.isKnown(e.id)
	close(e.done)
}

// look copies what operators may read of the module.
func (o *owner) refreshHostStats(now float64) {
	o.hostStatsAt = now
	if !o.adminEnabled {
		return
	}
	o.stats.listed.Store(int64(len(o.registry.entries)))
	o.stats.avoided.Store(int64(o.bal.Avoided(now) + o.registry.cordonedCount()))
}

// lookAgain does so if it is time to, and says when it will be.
func (o *owner) refreshHostStatsIfDue() time.Duration {
	now := o.clock.now()
	if now >= o.hostStatsAt+hostStatsIntervalSeconds {
		o.refreshHostStats(now)
	}
	return seconds(o.hostStatsAt + hostStatsIntervalSeconds - now)
}
