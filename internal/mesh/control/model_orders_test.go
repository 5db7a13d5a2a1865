package control

import (
	"fmt"
	"strings"
	"testing"
)

// The kinds of violations that the checker of orders tells apart.
const (
	twoTextsOneNumber   = "two texts under one number were confirmed or read"
	refusedAfterwards   = "a text was refused after it was confirmed"
	orderLost           = "a confirmed order is lost"
	confirmedOutOfReach = "a server out of contact confirmed"
	invariantViolated   = "an invariant is violated"
	answeredTwice       = "an order was answered twice"
	neverAnswered       = "an order was never answered"
)

// orderHistory is what operators were told, and the first violation.
type orderHistory struct {
	texts     map[uint64]string // by number: the text that was confirmed or read
	confirmed map[uint64]string // by number: the text that was confirmed
	newest    uint64            // the newest number that was confirmed or read
	broken    error
	taken     int
	conflicts int
	unknown   int
	read      int
}

func newOrderHistory() *orderHistory {
	return &orderHistory{texts: map[uint64]string{}, confirmed: map[uint64]string{}}
}

func (h *orderHistory) fail(kind, format string, args ...any) {
	if h.broken == nil {
		h.broken = fmt.Errorf("%s: %s", kind, fmt.Sprintf(format, args...))
	}
}

// hold notes the text that a number stands for.
func (h *orderHistory) hold(number uint64, text string) {
	if known, told := h.texts[number]; told && known != text {
		h.fail(twoTextsOneNumber, "number %d: %q and %q", number, known, text)
		return
	}
	h.texts[number] = text
}

// answered takes the answer to an order.
func (h *orderHistory) answered(number uint64, text string, result OrderResult) {
	switch result {
	case OrderTaken:
		h.taken++
		h.hold(number, text)
		h.confirmed[number] = text
		h.newest = max(h.newest, number)
	case OrderConflict:
		h.conflicts++
		if h.confirmed[number] == text {
			h.fail(refusedAfterwards, "number %d: %q", number, text)
		}
	default:
		h.unknown++
	}
}

// readBack takes a configuration that was read. least is the newest number that was known when it was asked for.
func (h *orderHistory) readBack(least uint64, text string) {
	h.read++
	var number uint64
	if text != "" {
		if _, err := fmt.Sscanf(text, "order %d", &number); err != nil {
			h.fail(twoTextsOneNumber, "%q is no order's text", text)
			return
		}
		h.hold(number, text)
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
		{twoTextsOneNumber, func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.answered(1, "order 1, text 1", OrderTaken)
		}},
		{twoTextsOneNumber, func(h *orderHistory) {
			h.answered(1, "order 1, text 0", OrderTaken)
			h.readBack(1, "order 1, text 1")
		}},
		{refusedAfterwards, func(h *orderHistory) {
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
		if found := h.broken != nil; found != (c.kind != "") || found && !strings.HasPrefix(h.broken.Error(), c.kind) {
			t.Errorf("found %v, want %q", h.broken, c.kind)
		}
	}
}
