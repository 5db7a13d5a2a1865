package main

import (
	"fmt"

	"beechwing/internal/mesh/store"
	"beechwing/internal/mesh/workload"
)

// Work that no message of another process brings.
const (
	workTick    workload.Kind = "tick"
	workRelease workload.Kind = "release"    // sending what waited for the disk
	workDisk    workload.Kind = "disk_write" // beside all others: another goroutine does it
)

const (
	reportEvery = 1.0  // seconds between looks at the load
	busyShare   = 0.5  // of that time: a server that is busier says what with
	slowWork    = 0.25 // seconds that one piece of work takes: the same
)

// timed is with, and counts the time that an input took from when it had the machine to itself.
func (p *program) timed(kind workload.Kind, input func(now float64)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.clock.Now()
	p.step(input)
	p.work.Done(kind, p.clock.Now()-began)
}

// timedKeeper counts the time that writes take.
type timedKeeper struct {
	*store.Store
	program *program
}

// Write has the store keep a batch.
func (k timedKeeper) Write(batch []store.Put) error {
	began := k.program.clock.Now()
	err := k.Store.Write(batch)
	k.program.work.Done(workDisk, k.program.clock.Now()-began)
	return err
}

// loadReport is when the load was looked at last, and what had been counted by then.
type loadReport struct {
	at     float64
	unsure uint64
}

// reportLoad logs what a server spends its time on while it is busy, or finds no quorum for claims.
func (p *program) reportLoad() {
	now := p.clock.Now()
	passed := now - p.load.at
	if passed < reportEvery {
		return
	}
	recent := p.work.Recent()
	var unsure uint64
	var registers, changes int
	p.with(func(float64) {
		unsure = p.server.Counts().Unsure
		registers, changes = p.server.Size()
	})
	given := unsure - p.load.unsure
	first := p.load.at == 0
	p.load = loadReport{at: now, unsure: unsure}
	if first || given == 0 && !isBusy(recent, passed) {
		return
	}
	disk := p.writer.Stats()
	p.log.Info("load", "seconds", fmt.Sprintf("%.2f", passed), "busy", fmt.Sprintf("%.2f", workload.Seconds(recent)/passed), "unsure", given,
		"registers", registers, "changes", changes, "disk", disk.Condition, "diskValues", disk.Values, "diskMessages", disk.Messages,
		"diskDropped", disk.Dropped, "work", workload.Text(recent))
}

func isBusy(recent []workload.Total, passed float64) bool {
	for _, t := range recent {
		if t.Longest >= slowWork {
			return true
		}
	}
	return workload.Seconds(recent) > busyShare*passed
}
