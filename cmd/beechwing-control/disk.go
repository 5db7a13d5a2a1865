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
	retryInterval = time.Second            // between attempts to read a directory that cannot be read
	slowReadAfter = 500 * time.Millisecond // time after which a slow read is logged
)

// storeContents is the content of the data directory at the start of the process.
type storeContents struct {
	store  *store.Store
	values map[string][]byte
	found  bool
	err    error
}

// openStore reads the data directory. If this is slow or fails, openStore logs the problem and tries again until ctx ends; the
// process does not exit.
func (p *program) openStore(ctx context.Context) (storeContents, error) {
	logged := ""
	for {
		read := make(chan storeContents, 1)
		go func() {
			var c storeContents
			c.store, c.values, c.found, c.err = store.Open(p.settings.DataDir)
			read <- c
		}()
		c, err := p.awaitRead(ctx, read)
		if err != nil || c.err == nil {
			return c, err
		}
		if why := c.err.Error(); why != logged {
			p.log.Error("disk not read", "why", why)
			logged = why
		}
		select {
		case <-ctx.Done():
			return storeContents{}, ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}

// awaitRead waits until the directory has been read, and logs if this takes long.
func (p *program) awaitRead(ctx context.Context, read <-chan storeContents) (storeContents, error) {
	slow := time.NewTimer(slowReadAfter)
	defer slow.Stop()
	for {
		select {
		case c := <-read:
			return c, nil
		case <-slow.C:
			p.log.Warn("disk is read slowly", "seconds", slowReadAfter.Seconds())
		case <-ctx.Done():
			return storeContents{}, ctx.Err()
		}
	}
}

// newWriter returns the writer that stores values on the disk and then sends the messages that had to wait for them.
func (p *program) newWriter(c storeContents) *store.Writer[transport.Send] {
	return store.NewWriter(store.Options[transport.Send]{
		Store:            timedStore{c.store, p},
		Names:            slices.Collect(maps.Keys(c.values)),
		Now:              p.clock.Now,
		Release:          func(messages []transport.Send) { p.timed(workRelease, func(float64) { p.send(messages) }) },
		ConditionChanged: p.diskChanged,
	})
}

// diskChanged logs a change of the disk's condition and reports to the state machine whether the disk is failing.
func (p *program) diskChanged(change store.ConditionChange) {
	failing := change.Condition != store.Healthy
	if failing {
		p.log.Error("disk", "condition", change.Condition, "why", change.Reason)
	} else {
		p.log.Info("disk", "condition", change.Condition)
	}
	p.with(func(now float64) { p.server.SetDiskState(now, failing, change.Reason) })
}
