package store

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Condition is the state of a disk with regard to writes.
type Condition int

// The conditions of a disk.
const (
	Healthy Condition = iota
	Stalled           // a write has not returned for at least stallSeconds, or did so a moment ago
	Full              // the last write failed for lack of room
	Failing           // the last write failed for another reason
)

func (c Condition) String() string {
	return [...]string{"healthy", "stalled", "full", "failing"}[c]
}

// ConditionChange is a change of a disk's condition.
type ConditionChange struct {
	At        float64 // seconds
	Condition Condition
	Reason    string // the error, or how long a write has taken
}

// All times are in seconds.
const (
	stallSeconds        = 0.5 // a write that has not returned for so long counts as stalled
	healthyAfterSeconds = 1.0 // time after a slow write until the disk counts as healthy again; prevents flapping
)

// health tracks the condition of a disk.
type health struct {
	condition Condition
	healthyAt float64           // time at which the last slow write stops counting
	changes   []ConditionChange // changes not yet reported by Tick
}

// setCondition sets the condition and records the change, if it is one.
func (h *health) setCondition(now float64, c Condition, why string) {
	if c == h.condition {
		return
	}
	h.condition = c
	h.changes = append(h.changes, ConditionChange{now, c, why})
}

// writePending records that a write has been in progress for some seconds; 0 means that none is.
func (h *health) writePending(now, seconds float64) {
	slow := seconds >= stallSeconds
	switch {
	case slow && h.condition == Healthy:
		h.setCondition(now, Stalled, fmt.Sprintf("a write has not returned for %.1f s", seconds))
	case !slow && h.condition == Stalled && now >= h.healthyAt:
		h.setCondition(now, Healthy, "")
	}
}

// writeFailed records the error of a write.
func (h *health) writeFailed(now float64, err error) {
	c := Failing
	for _, full := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, full) {
			c = Full
		}
	}
	h.setCondition(now, c, err.Error())
}

// writeSucceeded records a successful write and how long it took.
func (h *health) writeSucceeded(now, seconds float64) {
	if seconds < stallSeconds {
		if h.condition != Stalled {
			h.setCondition(now, Healthy, "")
		}
		return
	}
	h.healthyAt = now + healthyAfterSeconds
	h.setCondition(now, Stalled, fmt.Sprintf("a write took %.1f s", seconds))
}
