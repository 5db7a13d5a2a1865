package report

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"beechwing/internal/lab/judge"
)

// Run is the result of one run of an experiment with a build of the program.
type Run struct {
	Build   string
	Verdict *judge.Verdict
	Seconds []Second
}

// column is a column of the table: a figure of a run.
type column struct {
	name  string
	value func(*judge.Shares) float64
}

var columns = []column{
	{"served", func(s *judge.Shares) float64 { return s.Fraction(s.Served) }},
	{"in time", func(s *judge.Shares) float64 { return s.Fraction(s.Served - s.Late) }},
	{"bad s", func(s *judge.Shares) float64 { return float64(s.BadSeconds) }},
	{"refused", func(s *judge.Shares) float64 { return s.Fraction(s.Refused) }},
	{"failed", func(s *judge.Shares) float64 { return s.Fraction(s.Failed) }},
	{"not taken", func(s *judge.Shares) float64 { return s.Fraction(s.Unsent) }},
	{"tries/r", func(s *judge.Shares) float64 { return s.Fraction(s.Attempts) }},
	{"crossed", func(s *judge.Shares) float64 { return ratio(s.CrossZone, s.Attempts) }},
	{"abroad", func(s *judge.Shares) float64 { return ratio(s.CrossRegion, s.Attempts) }},
	{"p99 ms", func(s *judge.Shares) float64 { return milliseconds(s.P99) }},
	{"calls", func(s *judge.Shares) float64 { return float64(s.Calls) }},
	{"conns", func(s *judge.Shares) float64 { return float64(s.Connections) }},
	{"most open", func(s *judge.Shares) float64 { return float64(s.MaxOpen) }},
	{"new/s", func(s *judge.Shares) float64 { return float64(s.MaxNewPerSecond) }},
	{"fell", func(s *judge.Shares) float64 { return float64(s.HostsOverloaded) }},
}

// Table prints a Markdown table that compares builds. Rows are printed as experiments end.
type Table struct{ out io.Writer }

// NewTable prints the head of a table to out.
func NewTable(out io.Writer) *Table {
	names := []string{"experiment", "build"}
	for _, c := range columns {
		names = append(names, c.name)
	}
	names = append(names, "not passed")
	fmt.Fprintf(out, "| %s |\n|%s\n", strings.Join(names, " | "), strings.Repeat(" --- |", len(names)))
	return &Table{out: out}
}

// Add prints the rows of an experiment, one for the runs of each build.
func (t *Table) Add(experiment string, builds [][]Run) error {
	for _, runs := range builds {
		cells := []string{experiment, runs[0].Build}
		for _, c := range columns {
			cells = append(cells, formatRange(runs, c.value))
		}
		cells = append(cells, describeFailures(runs))
		if _, err := fmt.Fprintf(t.out, "| %s |\n", strings.Join(cells, " | ")); err != nil {
			return err
		}
	}
	return nil
}

// formatRange returns the median of a figure over runs, with the lowest and highest values if they differ.
func formatRange(runs []Run, value func(*judge.Shares) float64) string {
	var all []float64
	for _, r := range runs {
		all = append(all, value(&r.Verdict.Totals))
	}
	slices.Sort(all)
	low, mid, high := formatNumber(all[0]), formatNumber(all[len(all)/2]), formatNumber(all[len(all)-1])
	if low == high {
		return mid
	}
	return fmt.Sprintf("%s (%s..%s)", mid, low, high)
}

func formatNumber(x float64) string {
	if x >= 10 || x == float64(int(x)) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// describeFailures returns the number of violations of each rule over all runs, and the number of void runs.
func describeFailures(runs []Run) string {
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
