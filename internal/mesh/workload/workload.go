// Package workload measures how a process spends its time, by kind of work. With these figures an operator can tell an overload
// caused by requests from one caused by recovery, and a slow disk from a slow processor.
//
// The main type is Meter. The process calls Done after each piece of work and reads the sums by Totals and Recent.
package workload

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Kind names a kind of work. It is used as the value of a metric label.
type Kind string

// Total is the number of pieces of work of one kind and the time that they took.
type Total struct {
	Kind    Kind
	Count   uint64
	Seconds float64 // sum over all pieces
	Longest float64 // seconds that the longest piece took
}

// Meter sums the time of work by kind. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	totals map[Kind]*Total
	recent map[Kind]*Total // since the last call of Recent
}

// NewMeter returns an empty Meter.
func NewMeter() *Meter { return &Meter{totals: map[Kind]*Total{}, recent: map[Kind]*Total{}} }

// Done records one finished piece of work and its duration in seconds.
func (m *Meter) Done(kind Kind, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	add(m.totals, kind, seconds)
	add(m.recent, kind, seconds)
}

func add(totals map[Kind]*Total, kind Kind, seconds float64) {
	t := totals[kind]
	if t == nil {
		t = &Total{Kind: kind}
		totals[kind] = t
	}
	t.Count++
	t.Seconds += seconds
	t.Longest = max(t.Longest, seconds)
}

// Totals returns the sums since the start, the kind with the most seconds first.
func (m *Meter) Totals() []Total {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ordered(m.totals)
}

// Recent returns the sums since the last call of Recent, the kind with the most seconds first.
func (m *Meter) Recent() []Total {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := ordered(m.recent)
	clear(m.recent)
	return recent
}

func ordered(totals map[Kind]*Total) []Total {
	all := make([]Total, 0, len(totals))
	for _, t := range totals {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(a, b Total) int { return cmp.Or(cmp.Compare(b.Seconds, a.Seconds), cmp.Compare(a.Kind, b.Kind)) })
	return all
}

// Seconds returns the summed seconds of all totals.
func Seconds(totals []Total) (sum float64) {
	for _, t := range totals {
		sum += t.Seconds
	}
	return sum
}

// Text formats totals for a log line. Each total is written as kind:count:sum:longest, with both times in milliseconds.
func Text(totals []Total) string {
	var text []string
	for _, t := range totals {
		text = append(text, fmt.Sprintf("%s:%d:%.0f:%.0f", t.Kind, t.Count, 1e3*t.Seconds, 1e3*t.Longest))
	}
	return strings.Join(text, " ")
}
