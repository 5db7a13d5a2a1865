package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"beechwing/internal/mesh/capacity"
)

// collectAt is how many percent of the live heap may come new until it is collected: the machine has room.
const collectAt = 400

// sizing is the experiment on what a mesh costs as it grows.
type sizing struct {
	proxies   []int
	servers   int
	members   []int
	membersAt int
	seeds     int
	quiet     float64
	calls     float64
	changes   int
	restarts  int
	replaced  int
	faults    bool
	csv, plot string
	out       io.Writer
	notes     io.Writer
}

func capacityCommand() *cobra.Command {
	s := &sizing{}
	c := &cobra.Command{Use: "capacity",
		Short: "What a mesh costs as it grows: a hollow fleet of the real state machines",
		Long: "Runs the state machines of the control servers and of the sidecar proxies in one process, on simulated\n" +
			"time, and counts their messages, bytes, disk syncs, processor time and memory. The fleet is swept by\n" +
			"proxies, then by control servers.",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			s.out, s.notes = c.OutOrStdout(), c.ErrOrStderr()
			return s.run()
		}}
	f := c.Flags()
	f.IntSliceVar(&s.proxies, "proxies", []int{30, 100, 300}, "proxies of the fleets")
	f.IntVar(&s.servers, "servers", 9, "control servers of each of them")
	f.IntSliceVar(&s.members, "members", []int{3, 5, 9, 21}, "control servers of the second sweep")
	f.IntVar(&s.membersAt, "members-at", 40, "proxies of each of them")
	f.IntVar(&s.seeds, "seeds", 2, "fleets of each size")
	f.Float64Var(&s.quiet, "quiet", 3, "seconds of simulated time in which only heartbeats come")
	f.Float64Var(&s.calls, "calls", 0.3, "seconds of calls at the plan's rate for each host; 0: none")
	f.IntVar(&s.changes, "changes", 1, "of the configuration")
	f.IntVar(&s.restarts, "restarts", 1, "of proxies, in order")
	f.IntVar(&s.replaced, "replacements", 0, "of machines that go without a word")
	f.BoolVar(&s.faults, "faults", false, "a rack, a zone and the links of a region fail")
	f.StringVar(&s.csv, "csv", "", "file for all that was counted")
	f.StringVar(&s.plot, "plot", "", "file for a plot of the first sweep (.png, .svg)")
	return c
}

func (s *sizing) run() error {
	bound, err := capacity.MemoryBound()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(bound))
	debug.SetGCPercent(collectAt)
	byProxies := &capacity.Sweep{
		Title: fmt.Sprintf("by proxies, with %d control servers", s.servers), Size: "proxies",
		Of: func(o *capacity.Options) float64 { return float64(o.Proxies) }, Plan: capacity.PlanProxies,
	}
	for _, proxies := range s.proxies {
		if err := s.add(byProxies, proxies, s.servers); err != nil {
			return err
		}
	}
	byServers := &capacity.Sweep{
		Title: fmt.Sprintf("by control servers, with %d proxies", s.membersAt), Size: "control servers",
		Of: func(o *capacity.Options) float64 { return float64(o.Servers) }, Plan: capacity.PlanServers,
	}
	for _, servers := range s.members {
		if err := s.add(byServers, s.membersAt, servers); err != nil {
			return err
		}
	}
	return s.report(byProxies, byServers)
}

// add runs the fleets of one size.
func (s *sizing) add(sweep *capacity.Sweep, proxies, servers int) error {
	for seed := range s.seeds {
		o := capacity.Defaults(proxies, servers, uint64(seed)+1)
		o.Quiet, o.CallSeconds, o.Changes = s.quiet, s.calls, s.changes
		o.Restarts, o.Replacements, o.Faults = s.restarts, s.replaced, s.faults
		r, err := capacity.Run(o)
		if err != nil {
			return errors.Wrapf(err, "%d proxies, %d control servers, seed %d", proxies, servers, o.Seed)
		}
		fmt.Fprintf(s.notes, "%d proxies, %d control servers, seed %d: %v\n", proxies, servers, o.Seed,
			r.Took.Round(10*time.Millisecond))
		sweep.Results = append(sweep.Results, r)
	}
	return nil
}

func (s *sizing) report(sweeps ...*capacity.Sweep) error {
	var all []*capacity.Result
	for _, sweep := range sweeps {
		if len(sweep.Results) == 0 {
			continue
		}
		all = append(all, sweep.Results...)
		if err := errors.CombineErrors(sweep.Table(s.out), sweep.Events(s.out)); err != nil {
			return err
		}
		fmt.Fprintln(s.out)
	}
	if s.plot != "" && len(sweeps[0].Results) > 0 {
		if err := sweeps[0].Plot(s.plot); err != nil {
			return err
		}
	}
	if s.csv == "" {
		return nil
	}
	file, err := os.Create(s.csv)
	if err != nil {
		return errors.Wrap(err, "csv")
	}
	return errors.CombineErrors(capacity.CSV(file, all), file.Close())
}
