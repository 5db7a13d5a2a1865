package store

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Condition is how the disk takes writes.
type Condition int

// The conditions of a disk.
const (
	Healthy Condition = iota
	Stalled           // a write has not returned for long, or did so a moment ago
	Full              // the last write failed for lack of room
	Failing           // the last write failed for another reason
)

func (c Condition) String() string {
	return [...]string{"healthy", "stalled", "full", "failing"}[c]
}

// Change is a change of a disk's condition.
type Change struct {
	At        float64 // seconds
	Condition Condition
	Why       string // the error, or what has been waited for
}

// Seconds.
const (
	stallAfter = 0.5 // a write that has not returned for so long
	calmFor    = 1.0 // after a slow write, until the disk counts as healthy: it doesn't change to and fro
)

// health follows the condition of a disk.
type health struct {
	condition Condition
	calmAt    float64  // when the last slow write is forgotten
	changes   []Change // since they were last taken
}

func (h *health) become(now float64, c Condition, why string) {
	if c == h.condition {
		return
	}
	h.condition = c
	h.changes = append(h.changes, Change{now, c, why})
}

// waits notes that a write has been on its way for some seconds, or that none is (0).
func (h *health) waits(now, seconds float64) {
	slow := seconds >= stallAfter
	switch {
	case slow && h.condition == Healthy:
		h.become(now, Stalled, fmt.Sprintf("a write has not returned for %.1f s", seconds))
	case !slow && h.condition == Stalled && now >= h.calmAt:
		h.become(now, Healthy, "")
	}
}

// failed notes an error of a write.
func (h *health) failed(now float64, err error) {
	c := Failing
	for _, full := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, full) {
			c = Full
		}
	}
	h.become(now, c, err.Error())
}

// wrote notes a write that went well, and how long it took.
func (h *health) wrote(now, seconds float64) {
	if seconds < stallAfter {
		if h.condition != Stalled {
			h.become(now, Healthy, "")
		}
		return
	}
	h.calmAt = now + calmFor
	h.become(now, Stalled, fmt.Sprintf("a write took %.1f s", seconds))
}
