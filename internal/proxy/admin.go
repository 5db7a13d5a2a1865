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
	cordonPollInterval       = 100 * time.Millisecond // between two checks whether another process has changed the file
	hostStatsIntervalSeconds = 0.25                   // between two updates of the host statistics
)

// adminCalls implements the calls of the admin server (ops.Backend).
type adminCalls struct {
	p *Proxy

	mu       sync.Mutex // held for a whole call that changes hosts; guards the fields below
	file     *handover.File[cordon.Set]
	cordoned cordon.Set // as last applied by the owner
}

// stateFile returns the path of a proxy's state file of one kind. It includes the proxy's name, because proxies without
// a TMPDIR share a directory.
func stateFile(dir, kind, name string) string {
	return filepath.Join(dir, "beechwing-"+kind+"-"+hex.EncodeToString([]byte(name))+".json")
}

// cordonFile returns the path of the file with the cordoned hosts.
func cordonFile(dir, name string) string { return stateFile(dir, "out", name) }

func newAdminCalls(p *Proxy) *adminCalls {
	check := func(s cordon.Set) error {
		if len(s) > cordon.MaxHosts {
			return cordon.ErrFull
		}
		return nil
	}
	return &adminCalls{p: p, file: handover.NewFile(cordonFile(p.cfg.StateDir, p.cfg.Name), check)}
}

// loadCordoned reads the cordoned hosts, before the owner starts.
func (s *adminCalls) loadCordoned() cordon.Set {
	set, err := s.file.Read()
	if err != nil {
		s.p.log.Error("cordoned hosts cannot be read, starting with none", zap.Error(err))
	}
	s.cordoned = set
	return set
}

// watchFile applies changes by another process of the same proxy, such as the other one in an upgrade, until ctx is
// cancelled.
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
			s.p.log.Error("cordoned hosts not updated from the state file", zap.Error(err))
		}
	}
}

// reloadFile applies the file if another process has changed it.
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

// Ready returns an error unless this process serves.
func (s *adminCalls) Ready() error {
	if s.p.serving.Load() {
		return nil
	}
	return errors.New("not serving")
}

// Stats returns the statistics as text.
func (s *adminCalls) Stats() []byte { return s.p.owner.stats.text() }

// Plan describes the zone plan and its reason. It returns nil without failover.
func (s *adminCalls) Plan() []byte {
	if s.p.zonePlanner == nil {
		return nil
	}
	return s.p.zonePlanner.planText()
}

// Zone drains a zone or region for the whole fleet, or restores it. The admin server calls it only if Plan returns a plan.
func (s *adminCalls) Zone(ctx context.Context, o ops.ZoneOrder) (string, error) {
	return s.p.zonePlanner.submitOrder(ctx, o)
}

// Cordon cordons a host until Uncordon. If it returns no error, the cordon is in force and has been saved for later
// processes.
func (s *adminCalls) Cordon(ctx context.Context, id string) (string, error) {
	return s.updateCordoned(ctx, id, func(set cordon.Set, now float64) (cordon.Set, string, error) {
		if set.Cordoned(id) {
			return set, "it was out already", nil
		}
		next, err := set.Cordon(id, now)
		return next, "out", err
	})
}

// Uncordon uncordons a host.
func (s *adminCalls) Uncordon(ctx context.Context, id string) (string, error) {
	return s.updateCordoned(ctx, id, func(set cordon.Set, now float64) (cordon.Set, string, error) {
		if !set.Cordoned(id) {
			return set, "it was not out", nil
		}
		return set.Uncordon(id, now), "back", nil
	})
}

// updateCordoned changes the set of cordoned hosts by a call on a known host. It writes the file before it informs the
// owner, so that no confirmed change is lost if the process dies.
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
	current, err := s.file.Read() // another process may have changed the file
	if err != nil && !errors.Is(err, handover.ErrCorrupt) {
		return "", err
	}
	now := s.p.owner.clock.now()
	next, message, err := update(current, now)
	if err != nil {
		return "", err
	}
	if next = next.Prune(now, s.p.activeConfig.Load().ColdFor); len(cordon.Changed(current, next)) > 0 {
		if err := s.file.Write(next); err != nil {
			return "", err
		}
	}
	return message, s.applyCordoned(ctx, next)
}

// applyCordoned passes the set to the owner and waits until it is in force. The caller holds mu.
func (s *adminCalls) applyCordoned(ctx context.Context, set cordon.Set) error {
	done := make(chan struct{})
	if err := s.p.owner.postAndWait(ctx, cordonEvent{set, done}, done); err != nil {
		return fmt.Errorf("not in force yet: %w", err)
	}
	s.cordoned = set
	return nil
}

// checkKnown returns ops.ErrUnknown for a host that is neither listed nor cordoned.
func (s *adminCalls) checkKnown(ctx context.Context, id string) error {
	q := knownQuery{id, make(chan struct{}), new(bool)}
	if err := s.p.owner.postAndWait(ctx, q, q.done); err != nil {
		return err
	}
	if !*q.known && !s.cordoned.Cordoned(id) {
		return fmt.Errorf("%w: %.64q is not in the list", ops.ErrUnknown, id)
	}
	return nil
}

// postAndWait queues an event and waits until applied is closed. It fails if ctx is cancelled or the owner stops first.
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

// cordonEvent replaces the set of cordoned hosts.
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

// knownQuery asks whether a host is listed or cordoned.
type knownQuery struct {
	id    string
	done  chan struct{}
	known *bool
}

func (e knownQuery) apply(o *owner) {
	*e.known = o.registry.isKnown(e.id)
	close(e.done)
}

// refreshHostStats copies the host counts of the balancer to the statistics, which the admin server reads.
func (o *owner) refreshHostStats(now float64) {
	o.hostStatsAt = now
	if !o.adminEnabled {
		return
	}
	o.stats.listed.Store(int64(len(o.registry.entries)))
	o.stats.avoided.Store(int64(o.bal.Avoided(now) + o.registry.cordonedCount()))
}

// refreshHostStatsIfDue refreshes the host counts if they are due, and returns the time until they are due again.
func (o *owner) refreshHostStatsIfDue() time.Duration {
	now := o.clock.now()
	if now >= o.hostStatsAt+hostStatsIntervalSeconds {
		o.refreshHostStats(now)
	}
	return seconds(o.hostStatsAt + hostStatsIntervalSeconds - now)
}
