package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"beechwing/internal/lab/judge"
)

// Run is one play of an experiment.
type Run struct {
	Build   string
	Verdict *judge.Verdict
	Seconds []Second
}

// column is a figure of a run.
type column struct {
	name string
	of   func(*judge.Shares) float64
}

var columns = []column{
	{"served", func(s *judge.Shares) float64 { return s.Fraction(s.Served) }},
	{"in time", func(s *judge.Shares) float64 { return s.Fraction(s.Served - s.Late) }},
	{"bad s", func(s *judge.Shares) float64 { return float64(s.BadSeconds) }},
	{"refused", func(s *judge.Shares) float64 { return s.Fraction(s.Refused) }},
	{"failed", func(s *judge.Shares) float64 { return s.Fraction(s.Failed) }},
	{"not taken", func(s *judge.Shares) float64 { return s.Fraction(s.Unsent) }},
	{"tries/r", func(s *judge.Shares) float64 { return s.Fraction(s.Attempts) }},
	{"crossed", func(s *judge.Shares) float64 { return share(s.CrossZone, s.Attempts) }},
	{"abroad", func(s *judge.Shares) float64 { return share(s.CrossRegion, s.Attempts) }},
	{"p99 ms", func(s *judge.Shares) float64 { return ms(s.P99) }},
	{"calls", func(s *judge.Shares) float64 { return float64(s.Calls) }},
	{"conns", func(s *judge.Shares) float64 { return float64(s.Connections) }},
	{"most open", func(s *judge.Shares) float64 { return float64(s.MaxOpen) }},
	{"new/s", func(s *judge.Shares) float64 { return float64(s.MaxNewPerSecond) }},
	{"fell", func(s *judge.Shares) float64 { return float64(s.HostsOverloaded) }},
}

// Table prints rows as experiments end, in the form of Markdown.
type Table struct{ out io.Writer }

// NewTable prints the head.
func NewTable(out io.Writer) *Table {
	names := []string{"experiment", "build"}
	for _, c := range columns {
		names = append(names, c.name)
	}
	names = append(names, "not passed")
	fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(names, " | "), strings.Repeat(" --- |", len(names)))
	return &Table{out: out}
}

// Add prints a row for each build's runs of an experiment.
func (t *Table) Add(experiment string, builds [][]Run) error {
	for _, runs := range builds {
		cells := []string{experiment, runs[0].Build}
		for _, c := range columns {
			cells = append(cells, spread(runs, c.of))
		}
		cells = append(cells, troubles(runs))
		if _, err := fmt.Fprintf(t.out, "| %s |\n", strings.Join(cells, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// spread is the median of a figure over runs, with the lowest and highest where they differ.
func spread(runs []Run, of func(*judge.Shares) float64) string {
	var all []float64
	for _, r := range runs {
		all = append(all, of(&r.Verdict.Totals))
	}
	slices.Sort(all)
	low, mid, high := figure(all[0]), figure(all[len(all)/2]), figure(all[len(all)-1])
	if low == high {
		return mid
	}
	return fmt.Sprintf("%s (%s..%s)", mid, low, high)
}

func figure(x float64) string {
	if x >= 10 || x == float64(int(x)) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// troubles names the rules that runs broke, and how many were void.
func troubles(runs []Run) string {
	count := map[string]int{}
	void := 0
	for _, r := range runs {
		if r.Verdict.Void != "" {
			void++
		}
		for _, b := range r.Verdict.Violations {
			count[b.Rule]++
		}
	}
	var text []string
	for rule, n := range count {
		text = append(text, fmt.Sprintf("%s: %d", rule, n))
	}
	slices.Sort(text)
	if void > 0 {
		text = append(text, fmt.Sprintf("void: %d", void))
	}
	return strings.Join(text, "; ")
}
