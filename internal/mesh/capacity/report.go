package capacity

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Sweep is fleets that differ in one size.
type Sweep struct {
	Title   string
	Size    string // what is swept
	Of      func(o *Options) float64
	Plan    float64 // that size in the plan
	Results []*Result
}

// Table writes a row for each figure: the mean over seeds at each size, and how it grows. What is carried on
// to the size of the plan, and not measured there, is marked with an x.
func (s *Sweep) Table(w io.Writer) error {
	columns := s.sizes()
	fmt.Fprintln(w, s.Title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "figure\tunit\t")
	for _, size := range columns {
		fmt.Fprintf(t, "%.0f\t", size)
	}
	fmt.Fprintf(t, "power\tits spread\tline\tat %.0f\t\n", s.Plan)
	for _, figure := range Figures() {
		s.row(t, figure, columns)
	}
	return errors.Wrap(t.Flush(), "capacity: table")
}

func (s *Sweep) row(w io.Writer, figure Figure, columns []float64) {
	fmt.Fprintf(w, "%s\t%s\t", figure.Name, figure.Unit)
	for _, size := range columns {
		value, measured := s.mean(figure, size)
		fmt.Fprintf(w, "%s\t", number(value, measured))
	}
	g, fitted := Grow(s.Results, figure, s.Of)
	if !fitted {
		fmt.Fprintln(w, "-\t-\t-\t-\t")
		return
	}
	fmt.Fprintf(w, "%.2f\t%.2f..%.2f\t", g.Power, g.LeastPower, g.MostPower)
	fmt.Fprintf(w, "%s%+.3gn\t", number(g.Constant, true), g.PerUnit)
	value, measured := s.mean(figure, s.Plan)
	switch {
	case measured:
		fmt.Fprintf(w, "%s\t\n", number(value, true))
	default:
		fmt.Fprintf(w, "x %s\t\n", number(g.At(s.Plan), true))
	}
}

// number writes three digits.
func number(value float64, measured bool) string {
	switch {
	case !measured:
		return "-"
	case math.Abs(value) >= 100:
		return strconv.FormatFloat(value, 'f', 0, 64)
	case value == 0:
		return "0"
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

func (s *Sweep) sizes() (all []float64) {
	for _, r := range s.Results {
		all = append(all, s.Of(&r.Options))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// mean is a figure's mean over the seeds at a size.
func (s *Sweep) mean(figure Figure, size float64) (float64, bool) {
	sum, n := 0.0, 0
	for _, r := range s.Results {
		if value, measured := figure.Value(r); measured && s.Of(&r.Options) == size {
			sum += value
			n++
		}
	}
	return sum / float64(max(1, n)), n > 0
}

// Events writes a line for each phase of each fleet.
func (s *Sweep) Events(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "proxies\tservers\tseed\tphase\tevents\tsettled s\tall\tseconds\tMB sent\t")
	for _, r := range s.Results {
		for _, p := range r.Phases {
			sent := float64(p.Cost.Sent(Proxy).Bytes+p.Cost.Sent(Server).Bytes) / 1e6
			fmt.Fprintf(t, "%d\t%d\t%d\t%s\t", r.Options.Proxies, r.Options.Servers, r.Options.Seed, p.Name)
			fmt.Fprintf(t, "%d\t%.2f\t%v\t%.1f\t", p.Events, p.Settled, p.Complete, p.Cost.Seconds)
			fmt.Fprintf(t, "%.2f\t%s\n", sent, p.Detail)
		}
	}
	return errors.Wrap(t.Flush(), "capacity: events")
}

// CSV writes all that was counted: a line for each figure, each flow of messages and each kind of input of
// each phase.
func CSV(w io.Writer, results []*Result) error {
	out := csv.NewWriter(w)
	out.Write([]string{"proxies", "servers", "seed", "phase", "what", "name", "count", "value", "unit"})
	for _, r := range results {
		o := &r.Options
		head := []string{strconv.Itoa(o.Proxies), strconv.Itoa(o.Servers), strconv.FormatUint(o.Seed, 10)}
		for _, figure := range Figures() {
			if value, measured := figure.Value(r); measured {
				cells := []string{"", "figure", figure.Name, "", fmt.Sprint(value), figure.Unit}
				out.Write(append(slices.Clone(head), cells...))
			}
		}
		for _, p := range r.Phases {
			writePhase(out, append(slices.Clone(head), p.Name), &p)
		}
	}
	out.Flush()
	return errors.Wrap(out.Error(), "capacity: csv")
}

func writePhase(out *csv.Writer, head []string, p *Phase) {
	line := func(what, name string, count uint64, value float64, unit string) {
		cells := []string{what, name, strconv.FormatUint(count, 10), fmt.Sprint(value), unit}
		out.Write(append(slices.Clone(head), cells...))
	}
	line("span", "", uint64(p.Events), p.Cost.Seconds, "s")
	line("syncs", "", p.Cost.Syncs, float64(p.Cost.SyncedBytes), "bytes")
	for _, flow := range slices.SortedFunc(maps.Keys(p.Cost.Traffic), func(a, b Flow) int {
		return strings.Compare(flowName(a), flowName(b))
	}) {
		t := p.Cost.Traffic[flow]
		line("messages", flowName(flow), t.Messages, float64(t.Bytes), "bytes")
	}
	for _, input := range slices.SortedFunc(maps.Keys(p.Cost.Work), func(a, b Input) int {
		return strings.Compare(inputName(a), inputName(b))
	}) {
		w := p.Cost.Work[input]
		line("inputs", inputName(input), w.Inputs, w.Took.Seconds(), "s")
	}
}

func flowName(f Flow) string   { return fmt.Sprintf("%s %s to %s", f.Kind, f.From, f.To) }
func inputName(i Input) string { return fmt.Sprintf("%s of %s", i.Name, i.Role) }
