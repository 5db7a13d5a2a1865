// Package workload counts what a process spends its time on, by kind of work, so that an operator can tell an overload by requests
// from one by recovery, and a slow disk from a slow processor.
package workload

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Kind names a kind of work. Kinds are labels of a metric.
type Kind string

// Total is what a kind of work has taken.
type Total struct {
	Kind    Kind
	Count   uint64
	Seconds float64 // summed
	Longest float64 // seconds that a single one took
}

// Meter adds up work. It may be used by several goroutines.
type Meter struct {
	mu     sync.Mutex
	totals map[Kind]*Total
	recent map[Kind]*Total // since the last Recent
}

// NewMeter makes a Meter that has counted nothing.
func NewMeter() *Meter { return &Meter{totals: map[Kind]*Total{}, recent: map[Kind]*Total{}} }

// Done counts one piece of work that took so many seconds.
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

// Totals gives what was counted since the start, the most seconds first.
func (m *Meter) Totals() []Total {
	m.mu.Lock()
	defer m.mu.Unlock()
	return ordered(m.totals)
}

// Recent gives what was counted since the last call, the most seconds first.
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

// Seconds sums totals.
func Seconds(totals []Total) (sum float64) {
	for _, t := range totals {
		sum += t.Seconds
	}
	return sum
}

// Text writes totals for a line of a log: kind, count, milliseconds in all and of the longest.
func Text(totals []Total) string {
	var text []string
	for _, t := range totals {
		text = append(text, fmt.Sprintf("%s:%d:%.0f:%.0f", t.Kind, t.Count, 1e3*t.Seconds, 1e3*t.Longest))
	}
	return strings.Join(text, " ")
}
