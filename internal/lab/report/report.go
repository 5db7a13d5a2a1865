// Package report writes the results of fleet experiments. Summary prints the result of one run for people, and JSONLines writes
// its figures by second as JSON lines for tools. Table and Plot compare builds of the program over several runs. The package
// formats the records of internal/lab/record and the verdicts of internal/lab/judge and evaluates nothing itself.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"beechwing/internal/lab/judge"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
)

const maxViolationsShown = 5 // for each rule

// Summary prints the verdict and the figures of a run, by the callers' zone and in total.
func Summary(w io.Writer, s *plan.Schedule, b *record.Book, v *judge.Verdict) error {
	fmt.Fprintf(w, "%s: %d proxies, %d hosts, %d zones, %v\n", s.Name, len(s.Proxies), len(s.Hosts), len(s.Zones), s.Span.D())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "callers of\tasked\tserved\tlate\trefused\tfailed\tlost\tnot taken\ttries/r\tcrossed\tabroad\tp50 ms\tp99 ms\t")
	row := func(name string, c judge.Shares) {
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t%d\t%.3f\t%.4f\t%.4f\t%.1f\t%.1f\t\n", name, c.Asked, c.Fraction(c.Served),
			c.Fraction(c.Late), c.Fraction(c.Refused), c.Fraction(c.Failed), c.Lost, c.Unsent, c.Fraction(c.Attempts),
			ratio(c.CrossZone, c.Attempts), ratio(c.CrossRegion, c.Attempts), milliseconds(c.P50), milliseconds(c.P99))
	}
	for z, zone := range s.Zones {
		row(zone.Name, judge.Count(s, b, &judge.Filter{Zone: z, To: 1<<63 - 1}))
	}
	all := v.Totals
	row("all", all)
	if err := t.Flush(); err != nil {
		return err
	}
	rss, cpu, descriptors := processUsage(b)
	fmt.Fprintf(w,
		"list: %d calls, %d failed; hosts: %d connections, %d at most on one, %d new a second at most, %d went down from overload\n",
		all.Calls, all.CallsFailed, all.Connections, all.MaxOpen, all.MaxNewPerSecond, all.HostsOverloaded)
	fmt.Fprintf(w, "a process: %.1f MB resident, %d descriptors at most, %.1f%% of a core in the mean; machine %.0f%% busy, the rig %.0f%%; "+
		"timers late by %v (p99), %v (most)\n", float64(rss)/(1<<20), descriptors, 100*cpu, 100*b.Machine.Busy, 100*b.Machine.RigBusy,
		b.Machine.LateP99, b.Machine.LateMost)
	if most, sum := peerBytes(b); most > 0 {
		seconds := float64(s.Span.D().Seconds())
		fmt.Fprintf(w, "traffic between processes: %.2f KB/s each, %.2f KB/s at most\n",
			sum/seconds/1e3/float64(len(b.Words)), most/seconds/1e3)
	}
	return Verdict(w, v)
}

// peerBytes returns how many bytes processes sent to their peers: the maximum of one process, and the sum.
func peerBytes(b *record.Book) (most, sum float64) {
	for _, n := range b.Words {
		most, sum = max(most, float64(n)), sum+float64(n)
	}
	return most, sum
}

// Verdict prints the first violations of each rule, the unmet expectations and the result of the run.
func Verdict(w io.Writer, v *judge.Verdict) error {
	shown := map[string]int{}
	for _, k := range v.Violations {
		if shown[k.Rule]++; shown[k.Rule] <= maxViolationsShown {
			fmt.Fprintf(w, "BROKEN at %.3f s: %s: %s\n", k.At.Seconds(), k.Rule, k.Text)
		}
	}
	for rule, n := range shown {
		if n > maxViolationsShown {
			fmt.Fprintf(w, "BROKEN: %s: %d times in all\n", rule, n)
		}
	}
	for _, u := range v.Unmet {
		fmt.Fprintf(w, "UNMET: %s\n", u)
	}
	result := "passed"
	switch {
	case v.Void != "":
		result = "void: " + v.Void
	case !v.OK():
		result = "failed"
	}
	_, err := fmt.Fprintf(w, "verdict: %s\n", result)
	return err
}

// processUsage returns the largest resident memory and number of descriptors of any process, and the mean CPU usage of the
// processes in cores.
func processUsage(b *record.Book) (rss int64, cpu float64, descriptors int) {
	last := map[int]record.Sample{}
	for _, s := range b.Samples {
		rss, descriptors = max(rss, s.RSS), max(descriptors, s.Descriptors)
		last[s.Proxy] = s
	}
	for _, s := range last {
		cpu += s.CPU.Seconds() / s.At.Seconds() / float64(len(last))
	}
	return rss, cpu, descriptors
}

func ratio(n, of int) float64 { return float64(n) / float64(max(1, of)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Second is a JSON line with the figures of one second for the callers of one zone.
type Second struct {
	Second      int     `json:"second"`
	Zone        string  `json:"zone"`
	Asked       int     `json:"asked"`
	Served      int     `json:"served"`
	Late        int     `json:"late"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Lost        int     `json:"lost"`
	Attempts    int     `json:"tries"`
	CrossZone   int     `json:"crossed"`
	Calls       int     `json:"calls"`
	Connections int     `json:"connections"`
	P99Ms       float64 `json:"p99_ms"`
}

// Seconds counts the records of a run by second and by the callers' zone.
func Seconds(s *plan.Schedule, b *record.Book) (all []Second) {
	for at := time.Duration(0); at < s.Span.D(); at += time.Second {
		for z, zone := range s.Zones {
			c := judge.Count(s, b, &judge.Filter{Zone: z, From: at, To: at + time.Second})
			all = append(all, Second{Second: int(at / time.Second), Zone: zone.Name, Asked: c.Asked, Served: c.Served, Late: c.Late,
				Refused: c.Refused, Failed: c.Failed, Lost: c.Lost, Attempts: c.Attempts, CrossZone: c.CrossZone, Calls: c.Calls,
				Connections: c.Connections, P99Ms: milliseconds(c.P99)})
		}
	}
	return all
}

// HostSecond is a JSON line with the attempts that proxies sent to one host in one second.
type HostSecond struct {
	Second        int     `json:"second"`
	Host          string  `json:"host"`
	Zone          string  `json:"zone"`
	Ran           int     `json:"ran"`
	TurnedAway    int     `json:"turned_away"`
	Abandoned     int     `json:"moot"`
	LongestWaitMs float64 `json:"longest_wait_ms"` // longest time until a core was free
}

// HostSeconds counts the executions of a run by second and host.
func HostSeconds(s *plan.Schedule, b *record.Book) []*HostSecond {
	byHost := make([]*HostSecond, 0, len(s.Hosts)*int(s.Span.D()/time.Second))
	at := map[[2]int]*HostSecond{}
	for i := range b.Executions {
		e := &b.Executions[i]
		k := [2]int{int(e.Sent / time.Second), e.Host}
		h := at[k]
		if h == nil {
			h = &HostSecond{Second: k[0], Host: judge.HostName(e.Host), Zone: s.Zones[s.Hosts[e.Host].Zone].Name}
			at[k] = h
			byHost = append(byHost, h)
		}
		switch {
		case e.HasRun():
			h.Ran++
			h.LongestWaitMs = max(h.LongestWaitMs, milliseconds(e.Began-e.Arrived))
		case e.How == record.TurnedAway:
			h.TurnedAway++
		default:
			h.Abandoned++
		}
	}
	slices.SortFunc(byHost, func(a, b *HostSecond) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Host, b.Host))
	})
	return byHost
}

// JSONLines writes JSON lines: one for each second of the callers of each zone, of each host and of each process, and then one
// for each event.
func JSONLines(w io.Writer, s *plan.Schedule, b *record.Book) error {
	var all []any
	for _, line := range Seconds(s, b) {
		all = append(all, line)
	}
	for _, line := range HostSeconds(s, b) {
		all = append(all, line)
	}
	for _, p := range b.Samples {
		all = append(all, map[string]any{"second": int(p.At / time.Second), "proxy": p.Proxy, "resident": p.RSS,
			"cpu_s": p.CPU.Seconds(), "descriptors": p.Descriptors})
	}
	for _, e := range b.Events {
		all = append(all, map[string]any{"at": e.At.Seconds(), "event": e.Kind, "proxy": e.Proxy, "host": e.Host, "text": e.Text})
	}
	enc := json.NewEncoder(w)
	for _, line := range all {
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}
