package main

import (
	"fmt"

	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/workload"
)

// The kinds of work that are not caused by a message of another process.
const (
	workTick    workload.Kind = "tick"
	workRelease workload.Kind = "release"    // sending messages that had to wait for a disk write
	workDisk    workload.Kind = "disk_write" // concurrent with all other work, in a goroutine of its own
)

const (
	reportSeconds   = 1.0  // time between reports of the load
	busyShare       = 0.5  // share of that time above which the load is logged
	slowWorkSeconds = 0.25 // duration of a single piece of work above which the load is logged
)

// timed is like with, and also records how long the call of the state machine took, without the wait for the lock.
func (p *program) timed(kind workload.Kind, input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	startedAt := p.clock.Now()
	p.step(input)
	p.work.Done(kind, p.clock.Now()-startedAt)
}

// timedStore is a store that records how long its writes take.
type timedStore struct {
	*store.Store
	program *program
}

// Write writes a batch to the store and records the time that this took.
func (k timedStore) Write(batch []store.Put) error {
	startedAt := k.program.clock.Now()
	err := k.Store.Write(batch)
	k.program.work.Done(workDisk, k.program.clock.Now()-startedAt)
	return err
}

// loadReport holds the time of the last load report, and the counter at that time.
type loadReport struct {
	at     float64
	unsure uint64 // claims for which no quorum was found
}

// reportLoad logs what the server spends its time on if it is busy or has found no quorum for claims since the last report.
func (p *program) reportLoad() {
	now := p.clock.Now()
	elapsed := now - p.load.at
	if elapsed < reportSeconds {
		return
	}
	recent := p.work.Recent()
	var unsure uint64
	var registers, changes int
	p.with(func(float64) {
		unsure = p.server.Counts().Unsure
		registers, changes = p.server.Size()
	})
	newUnsure := unsure - p.load.unsure
	firstReport := p.load.at == 0
	p.load = loadReport{at: now, unsure: unsure}
	if firstReport || newUnsure == 0 && !isBusy(recent, elapsed) {
		return
	}
	disk := p.writer.Stats()
	p.log.Info("load", "seconds", fmt.Sprintf("%.2f", elapsed),
		"busy", fmt.Sprintf("%.2f", workload.Seconds(recent)/elapsed), "unsure", newUnsure,
		"registers", registers, "changes", changes,
		"disk", disk.Condition, "diskValues", disk.Values, "diskMessages", disk.Messages,
		"diskDropped", disk.Dropped, "work", workload.Text(recent))
}

// isBusy reports whether the work of the last elapsed seconds is worth a log line.
func isBusy(recent []workload.Total, elapsed float64) bool {
	for _, t := range recent {
		if t.Longest >= slowWorkSeconds {
			return true
		}
	}
	return workload.Seconds(recent) > busyShare*elapsed
}
