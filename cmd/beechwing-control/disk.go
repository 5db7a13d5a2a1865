package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/transport"
)

const (
	readAgainAfter = time.Second            // a folder that can't be read is read again
	readSlowAfter  = 500 * time.Millisecond // a disk that has not been read yet is told
)

// kept is what the folder held as the process started.
type kept struct {
	store  *store.Store
	values map[string][]byte
	found  bool
	err    error
}

// openStore reads the folder. The process stays where that is slow or fails, says so, and tries again until
// ctx ends.
func (p *program) openStore(ctx context.Context) (kept, error) {
	told := ""
	for {
		read := make(chan kept, 1)
		go func() {
			var k kept
			k.store, k.values, k.found, k.err = store.Open(p.settings.DataDir)
			read <- k
		}()
		k, err := p.awaitRead(ctx, read)
		if err != nil || k.err == nil {
			return k, err
		}
		if why := k.err.Error(); why != told {
			p.log.Error("disk not read", "why", why)
			told = why
		}
		select {
		case <-ctx.Done():
			return kept{}, ctx.Err()
		case <-time.After(readAgainAfter):
		}
	}
}

// awaitRead waits for a reading of the folder, and says so if that takes long.
func (p *program) awaitRead(ctx context.Context, read <-chan kept) (kept, error) {
	slow := time.NewTimer(readSlowAfter)
	defer slow.Stop()
	for {
		select {
		case k := <-read:
			return k, nil
		case <-slow.C:
			p.log.Warn("disk is read slowly", "seconds", readSlowAfter.Seconds())
		case <-ctx.Done():
			return kept{}, ctx.Err()
		}
	}
}

// newWriter makes the part that writes to the disk, and sends what waited for it.
func (p *program) newWriter(k kept) *store.Writer[transport.Send] {
	return store.NewWriter(store.Options[transport.Send]{
		Store:            timedKeeper{k.store, p},
		Names:            slices.Collect(maps.Keys(k.values)),
		Now:              p.clock.Now,
		Release:          func(after []transport.Send) { p.timed(workRelease, func(float64) { p.send(after) }) },
		ConditionChanged: p.diskChanged,
	})
}

// diskChanged says that the disk fails, or takes writes again.
func (p *program) diskChanged(c store.ConditionChange) {
	failing := c.Condition != store.Healthy
	if failing {
		p.log.Error("disk", "condition", c.Condition, "why", c.Reason)
	} else {
		p.log.Info("disk", "condition", c.Condition)
	}
	p.with(func(now float64) { p.server.SetDiskState(now, failing, c.Reason) })
}
