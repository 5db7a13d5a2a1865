package main

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"beechwing/internal/lab/fleet"
	"beechwing/internal/lab/load"
	"beechwing/internal/lab/process"
)

// idleExperiment measures what idle connections of callers cost the proxy.
type idleExperiment struct {
	binary      string
	idleCounts  []int // idle connections for measureMemory
	idleCount   int   // idle connections for the other measurements
	nodes       int
	rate        float64
	span        time.Duration
	repeats     int
	memoryMB    int
	wakeWithin  time.Duration
	settle      time.Duration
	idleTimeout time.Duration
	out         io.Writer
}

// Operators' configuration files. In both, each source address counts as a caller of its own. With longIdleSite, idle
// connections stay open for the whole run. With shortIdleSite, the proxy closes them after the given time.
const (
	longIdleSite  = "[connections]\ncallers = \"address\"\nidle = \"1h\"\nidle_full = \"1m\"\n"
	shortIdleSite = "[connections]\ncallers = \"address\"\nidle = \"%v\"\nidle_full = \"%[1]v\"\n"
)

const (
	maxDescriptors = 40_000           // limit in the proxy's settings; the system's limit is the one of the shell
	nodeWork       = time.Millisecond // of a node for each request
	connectWorkers = 32               // connections that are opened at the same time
)

func idleCommand() *cobra.Command {
	e := &idleExperiment{}
	c := &cobra.Command{Use: "idle",
		Short: "Measures what idle connections cost: memory, CPU, the latency of other traffic, and the load when all wake at once",
		Args:  cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			e.out = c.OutOrStdout()
			return e.run(c.Context())
		}}
	f := c.Flags()
	f.StringVar(&e.binary, "binary", "bin/beechwing", "the proxy to measure")
	f.IntSliceVar(&e.idleCounts, "held", []int{1000, 3000, 9000, 18000}, "numbers of idle connections for which memory is measured")
	f.IntVar(&e.idleCount, "beside", 9000, "number of idle connections beside steady traffic, and of those that wake")
	f.IntVar(&e.nodes, "nodes", 8, "number of simulated nodes")
	f.Float64Var(&e.rate, "rate", 1000, "steady traffic, in requests a second")
	f.DurationVar(&e.span, "span", 8*time.Second, "duration of each run of steady traffic")
	f.IntVar(&e.repeats, "repeats", 3, "number of runs of steady traffic, each with and without idle connections")
	f.IntVar(&e.memoryMB, "memory", 192, "the proxy's memory limit in MB")
	f.DurationVar(&e.settle, "settle", 10*time.Second, "time to wait before memory is read, and time over which CPU is measured")
	f.DurationVar(&e.idleTimeout, "expire", 8*time.Second,
		"idle timeout of all connections when their expiry is measured; at least 2s")
	f.DurationVar(&e.wakeWithin, "wave", time.Second, "time within which all idle connections wake")
	return c
}

func (e *idleExperiment) run(ctx context.Context) error {
	if err := e.measureMemory(ctx); err != nil {
		return err
	}
	if err := e.measureSteady(ctx); err != nil {
		return err
	}
	if err := e.measureExpiry(ctx); err != nil {
		return err
	}
	return e.measureWakeup(ctx)
}

// withProxy runs f with a newly started proxy and simulated nodes.
func (e *idleExperiment) withProxy(ctx context.Context, site string, f func(*process.Proxy, []*fleet.Node) error) error {
	var nodes []*fleet.Node
	var entries []fleet.Entry
	for i := range e.nodes {
		node, err := fleet.NewNode(fmt.Sprint("h", i), nodeWork)
		if err != nil {
			return err
		}
		defer node.Close()
		nodes, entries = append(nodes, node), append(entries, node.Entry())
	}
	list, err := fleet.NewDiscovery(entries...)
	if err != nil {
		return err
	}
	defer list.Close()
	p, err := process.Start(ctx, process.Config{Binary: e.binary, Discovery: list.Addr(), Cores: 1, MemoryMB: e.memoryMB,
		Sockets: maxDescriptors, Site: site})
	if err != nil {
		return err
	}
	defer p.Stop()
	return f(p, nodes)
}

// measureMemory measures the resident memory and CPU of a proxy that holds idle connections and does nothing else.
func (e *idleExperiment) measureMemory(ctx context.Context) error {
	fmt.Fprintf(e.out, "idle connections of callers, each used once (resident memory; CPU over %v)\n", e.settle)
	fmt.Fprintf(e.out, "%10s %10s %12s %12s %12s\n", "held", "standing", "MB", "bytes each", "CPU ms/s")
	var base int64
	for _, n := range append([]int{0}, e.idleCounts...) {
		err := e.withProxy(ctx, longIdleSite, func(p *process.Proxy, _ []*fleet.Node) error {
			connections, err := load.OpenIdle(p.Addr, n, connectWorkers)
			if err != nil {
				return err
			}
			defer connections.Close()
			time.Sleep(e.settle)
			before, err := p.Usage()
			if err != nil {
				return err
			}
			time.Sleep(e.settle)
			after, err := p.Usage()
			if err != nil {
				return err
			}
			if n == 0 {
				base = after.RSS
			}
			each := "-"
			if n > 0 {
				each = fmt.Sprint((after.RSS - base) / int64(n))
			}
			fmt.Fprintf(e.out, "%10d %10d %12.1f %12s %12.2f\n", n, connections.CountOpen(), float64(after.RSS)/(1<<20), each,
				1000*(after.CPU-before.CPU).Seconds()/e.settle.Seconds())
			return nil
		})
		if err != nil {
			return fmt.Errorf("memory with %d idle connections: %w", n, err)
		}
	}
	return nil
}

// measureSteady measures the latency and CPU of steady traffic with and without idle connections beside it.
func (e *idleExperiment) measureSteady(ctx context.Context) error {
	fmt.Fprintf(e.out, "\nsteady traffic of %.0f requests a second for %v on one core, beside idle connections\n", e.rate, e.span)
	fmt.Fprintf(e.out, "%10s %10s %9s %9s %9s %9s %12s\n", "beside", "served", "refused", "p50 us", "p99 us", "p99.9 us",
		"CPU us/req")
	if err := e.measureDirect(); err != nil {
		return err
	}
	for run := range e.repeats {
		for _, n := range []int{0, e.idleCount} {
			err := e.withProxy(ctx, longIdleSite, func(p *process.Proxy, _ []*fleet.Node) error {
				connections, err := load.OpenIdle(p.Addr, n, connectWorkers)
				if err != nil {
					return err
				}
				defer connections.Close()
				if _, err := load.SendSteady(p.Addr, e.rate, time.Second, 99); err != nil { // fills the pools, lets the heap settle
					return err
				}
				before, err := p.Usage()
				if err != nil {
					return err
				}
				r, err := load.SendSteady(p.Addr, e.rate, e.span, uint64(run))
				if err != nil {
					return err
				}
				after, err := p.Usage()
				if err != nil {
					return err
				}
				fmt.Fprintf(e.out, "%10d %10d %9d %9d %9d %9d %12.1f\n", connections.CountOpen(), r.Served, r.Refused,
					r.Quantile(50).Microseconds(), r.Quantile(99).Microseconds(), r.Quantile(99.9).Microseconds(),
					float64((after.CPU-before.CPU).Microseconds())/float64(max(1, r.Sent)))
				return nil
			})
			if err != nil {
				return fmt.Errorf("steady traffic beside %d idle connections: %w", n, err)
			}
		}
	}
	return nil
}

// measureDirect measures the same traffic without a proxy.
func (e *idleExperiment) measureDirect() error {
	node, err := fleet.NewNode("h0", nodeWork)
	if err != nil {
		return err
	}
	defer node.Close()
	r, err := load.SendSteady(node.Addr(), e.rate, e.span, 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%10s %10d %9d %9d %9d %9d %12s\n", "no-proxy", r.Served, r.Refused, r.Quantile(50).Microseconds(),
		r.Quantile(99).Microseconds(), r.Quantile(99.9).Microseconds(), "-")
	return nil
}

// measureExpiry measures steady traffic while idle connections end: none for comparison, all by their idle timeout within a few
// seconds, and all at once by SIGTERM. No request may go unanswered, and the latencies show whether the proxy stalled.
func (e *idleExperiment) measureExpiry(ctx context.Context) error {
	fmt.Fprintf(e.out, "\nidle connections end under steady traffic of %.0f requests a second\n", e.rate)
	fmt.Fprintf(e.out, "%10s %10s %10s %9s %9s %9s %9s %9s %11s\n", "held", "by", "left", "served", "refused", "silent", "p99 us",
		"p99.9 us", "slowest us")
	for _, c := range []struct {
		by     string
		held   int
		site   string
		signal bool
	}{{"nothing", 0, longIdleSite, false}, {"idle-time", e.idleCount, fmt.Sprintf(shortIdleSite, e.idleTimeout), false},
		{"SIGTERM", e.idleCount, longIdleSite, true}} {
		err := e.withProxy(ctx, c.site, func(p *process.Proxy, _ []*fleet.Node) error {
			connections, err := load.OpenIdle(p.Addr, c.held, connectWorkers)
			if err != nil {
				return err
			}
			defer connections.Close()
			held, span := connections.CountOpen(), e.idleTimeout+2*time.Second
			if c.signal { // the proxy accepts new connections for half a second after SIGTERM
				span = min(span, 3*time.Second)
				timer := time.AfterFunc(span-200*time.Millisecond, func() { p.Signal(syscall.SIGTERM) })
				defer timer.Stop()
			}
			r, err := load.SendSteady(p.Addr, e.rate, span, 7)
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "%10d %10s %10d %9d %9d %9d %9d %9d %11d\n", held, c.by, connections.CountOpen(), r.Served, r.Refused,
				r.Unanswered, r.Quantile(99).Microseconds(), r.Quantile(99.9).Microseconds(), r.Slowest.Microseconds())
			return nil
		})
		if err != nil {
			return fmt.Errorf("idle connections ended by %s: %w", c.by, err)
		}
	}
	return nil
}

// measureWakeup measures the load when every idle connection sends a request, within the configured time and then all at once.
func (e *idleExperiment) measureWakeup(ctx context.Context) error {
	fmt.Fprintf(e.out, "\nall idle connections wake, with %d MB\n", e.memoryMB)
	fmt.Fprintf(e.out, "%10s %10s %9s %9s %9s %9s %9s %9s %11s %8s %8s\n", "woken", "within", "served", "refused", "failed",
		"silent", "p50 ms", "p99 ms", "slowest ms", "peak MB", "doubled")
	for _, within := range []time.Duration{e.wakeWithin, 0} {
		err := e.withProxy(ctx, longIdleSite, func(p *process.Proxy, nodes []*fleet.Node) error {
			connections, err := load.OpenIdle(p.Addr, e.idleCount, connectWorkers)
			if err != nil {
				return err
			}
			defer connections.Close()
			for _, n := range nodes {
				n.TakeRuns()
			}
			r := connections.SendAll(within, time.Second)
			u, err := p.Usage()
			if err != nil {
				return err
			}
			ran, doubled := map[string]int{}, 0
			for _, n := range nodes {
				for id, times := range n.TakeRuns() {
					ran[id] += times
				}
			}
			for _, times := range ran {
				if times > 1 {
					doubled++
				}
			}
			fmt.Fprintf(e.out, "%10d %10v %9d %9d %9d %9d %9.1f %9.1f %11.1f %8.1f %8d\n", r.Sent, within, r.Served, r.Refused,
				r.Failed, r.Unanswered, r.Quantile(50).Seconds()*1000, r.Quantile(99).Seconds()*1000,
				r.Slowest.Seconds()*1000, float64(u.Peak)/(1<<20), doubled)
			return nil
		})
		if err != nil {
			return fmt.Errorf("waking idle connections: %w", err)
		}
	}
	return nil
}
