package control

import (
	"fmt"
	"strings"
	"testing"
)

// The kinds of violations that the checker of orders tells apart.
const (
	conflictingTexts        = "two texts under one number were confirmed or read"
	refusedAfterConfirmed   = "a text was refused after it was confirmed"
	orderLost               = "a confirmed order is lost"
	confirmedWithoutContact = "a server out of contact confirmed"
	invariantViolated       = "an invariant is violated"
	answeredTwice           = "an order was answered twice"
	neverAnswered           = "an order was never answered"
)

// orderHistory is what operators were told, and the first violation.
type orderHistory struct {
	texts      map[uint64]string // by number: the text that was confirmed or read
	confirmed  map[uint64]string // by number: the text that was confirmed
	newest     uint64            // the newest number that was confirmed or read
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

// hold notes the text that a number stands for.
func (h *orderHistory) recordText(number uint64, text string) {
	if known, told := h.texts[number]; told && known != text {
		h.fail(conflictingTexts, "number %d: %q and %q", number, known, text)
		return
	}
	h.texts[number] = text
}

// answered takes the answer to an order.
func (h *orderHistory) answered(number uint64, text string, result OrderResult) {
	switch result {
	case OrderTaken:
		h.taken++
		h.recordText(number, text)
		h.confirmed[number] = text
		h.newest = max(h.newest, number)
	case OrderConflict:
		h.conflicts++
		if h.confirmed[number] == text {
			h.fail(refusedAfterConfirmed, "number %d: %q", number, text)
		}
	default:
		h.unanswered++
	}
}

// readBack takes a configuration that was read. least is the newest number that was known when it was asked for.
func (h *orderHistory) readBack(least uint64, text string) {
	h.reads++
	var number uint64
	if text != "" {
		if _, err := fmt.Sscanf(text, "order %d", &number); err != nil {
			h.fail(conflictingTexts, "%q is no order's text", text)
			return
		}
		h.recordText(number, text)
	}
	if number < least {
		h.fail(orderLost, "read number %d, and %d was confirmed", number, least)
	}
	h.newest = max(h.newest, number)
}

// The checker finds what must not be.
func TestOrderCheckerFinds(t *testing.T) {
	for _, c := range []struct {
		kind string
		tell func(h *orderHistory)
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
		c.tell(h)
		if found := h.violation != nil; found != (c.kind != "") || found && !strings.HasPrefix(h.violation.Error(), c.kind) {
			t.Errorf("found %v, want %q", h.violation, c.kind)
		}
	}
}
