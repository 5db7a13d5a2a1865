package control

import (
	"fmt"
	"strings"
	"testing"
)

// The kinds of violations that the checker of orders distinguishes.
const (
	conflictingTexts        = "two texts of one version were confirmed or read"
	refusedAfterConfirmed   = "a text was refused after it was confirmed"
	orderLost               = "a confirmed order is lost"
	confirmedWithoutContact = "a server without contact confirmed an order"
	invariantViolated       = "an invariant is violated"
	answeredTwice           = "an order was answered twice"
	neverAnswered           = "an order was never answered"
)

// orderHistory checks the answers to operators. It keeps the first violation.
type orderHistory struct {
	texts      map[uint64]string // by version: the text that was confirmed or read
	confirmed  map[uint64]string // by version: the text that was confirmed
	newest     uint64            // newest version that was confirmed or read
	violation  error
	taken      int
	conflicts  int
	unanswered int
	reads      int
}

func newOrderHistory() *orderHistory {
	return &orderHistory{texts: map[uint64]string{}, confirmed: map[uint64]string{}}
}

func (h *orderHistory) fail(kind, format string, args ...any) {
	if h.violation == nil {
		h.violation = fmt.Errorf("%s: %s", kind, fmt.Sprintf(format, args...))
	}
}

// recordText records the text of a version.
func (h *orderHistory) recordText(version uint64, text string) {
	if known, told := h.texts[version]; told && known != text {
		h.fail(conflictingTexts, "version %d: %q and %q", version, known, text)
		return
	}
	h.texts[version] = text
}

// answered records the answer to an order.
func (h *orderHistory) answered(version uint64, text string, result OrderResult) {
	switch result {
	case OrderTaken:
		h.taken++
		h.recordText(version, text)
		h.confirmed[version] = text
		h.newest = max(h.newest, version)
	case OrderConflict:
		h.conflicts++
		if h.confirmed[version] == text {
			h.fail(refusedAfterConfirmed, "version %d: %q", version, text)
		}
	default:
		h.unanswered++
	}
}

// readBack checks a configuration that was read. least is the newest version known when the read started.
func (h *orderHistory) readBack(least uint64, text string) {
	h.reads++
	var version uint64
	if text != "" {
		if _, err := fmt.Sscanf(text, "order %d", &version); err != nil {
			h.fail(conflictingTexts, "%q is not the text of an order", text)
			return
		}
		h.recordText(version, text)
	}
	if version < least {
		h.fail(orderLost, "read version %d although %d was confirmed", version, least)
	}
	h.newest = max(h.newest, version)
}

// The checker finds each kind of violation.
func TestOrderCheckerFinds(t *testing.T) {
	for _, c := range []struct {
		kind   string
		record func(h *orderHistory)
	}{
		{"", func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.answered(1, "order 1, text 1", OrderConflict)
			h.readBack(1, "order 1, text 0")
		}},
		{conflictingTexts, func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.answered(1, "order 1, text 1", OrderTaken)
		}},
		{conflictingTexts, func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.readBack(1, "order 1, text 1")
		}},
		{refusedAfterConfirmed, func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.answered(1, "order 1, text 0", OrderConflict)
		}},
		{orderLost, func(h *orderHistory) {
			h.answered(2, "order 2, text 0", OrderTaken)
			h.readBack(2, "order 1, text 0")
		}},
		{orderLost, func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.readBack(1, "")
		}},
	} {
		h := newOrderHistory()
		c.record(h)
		if found := h.violation != nil; found != (c.kind != "") || found && !strings.HasPrefix(h.violation.Error(), c.kind) {
			t.Errorf("found %v, want %q", h.violation, c.kind)
		}
	}
}
