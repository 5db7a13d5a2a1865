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

// idle is the experiment on idle connections of callers.
type idle struct {
	binary   string
	held     []int
	beside   int
	nodes    int
	rate     float64
	span     time.Duration
	repeats  int
	memoryMB int
	wave     time.Duration
	settle   time.Duration
	expire   time.Duration
	out      io.Writer
}

// Operators' files. site lets each source address be a caller of its own, and lets connections stay.
const (
	site      = "[connections]\ncallers = \"address\"\nidle = \"1h\"\nidle_full = \"1m\"\n"
	shortSite = "[connections]\ncallers = \"address\"\nidle = \"%v\"\nidle_full = \"%[1]v\"\n"
)

const (
	sockets   = 40_000           // descriptors that the proxy is told; the process has those that the shell grants
	work      = time.Millisecond // of a node for each request
	gatherers = 32
)

func idleCommand() *cobra.Command {
	e := &idle{}
	c := &cobra.Command{Use: "idle", Short: "What idle connections cost: memory, CPU, latency beside them, and all waking at once",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			e.out = c.OutOrStdout()
			return e.run(c.Context())
		}}
	f := c.Flags()
	f.StringVar(&e.binary, "binary", "bin/beechwing", "the proxy to measure")
	f.IntSliceVar(&e.held, "held", []int{1000, 3000, 9000, 18000}, "idle connections held, for the table of bytes")
	f.IntVar(&e.beside, "beside", 9000, "idle connections beside steady traffic and in the wave")
	f.IntVar(&e.nodes, "nodes", 8, "stand-in nodes")
	f.Float64Var(&e.rate, "rate", 1000, "requests a second of the steady traffic")
	f.DurationVar(&e.span, "span", 8*time.Second, "of steady traffic, each time")
	f.IntVar(&e.repeats, "repeats", 3, "times that steady traffic runs with and without idle connections, in turn")
	f.IntVar(&e.memoryMB, "memory", 192, "the proxy's memory limit in MB")
	f.DurationVar(&e.settle, "settle", 10*time.Second, "before memory is read, and then for the CPU")
	f.DurationVar(&e.expire, "expire", 8*time.Second, "idle time that is over for all connections; at least 2s")
	f.DurationVar(&e.wave, "wave", time.Second, "within which all idle connections wake")
	return c
}

func (e *idle) run(ctx context.Context) error {
	if err := e.bytes(ctx); err != nil {
		return err
	}
	if err := e.steady(ctx); err != nil {
		return err
	}
	if err := e.expiring(ctx); err != nil {
		return err
	}
	return e.waking(ctx)
}

// with runs f on a fresh proxy before a few nodes.
func (e *idle) with(ctx context.Context, site string, f func(*process.Proxy, []*fleet.Node) error) error {
	var nodes []*fleet.Node
	var entries []fleet.Entry
	for i := range e.nodes {
		node, err := fleet.NewNode(fmt.Sprint("h", i), work)
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
		Sockets: sockets, Site: site})
	if err != nil {
		return err
	}
	defer p.Stop()
	return f(p, nodes)
}

// bytes measures resident memory and CPU of a proxy that holds idle connections and does nothing else.
func (e *idle) bytes(ctx context.Context) error {
	fmt.Fprintf(e.out, "idle connections of callers, each used once (resident memory; CPU over %v)\n", e.settle)
	fmt.Fprintf(e.out, "%10s %10s %12s %12s %12s\n", "held", "standing", "MB", "bytes each", "CPU ms/s")
	var base int64
	for _, n := range append([]int{0}, e.held...) {
		err := e.with(ctx, site, func(p *process.Proxy, _ []*fleet.Node) error {
			crowd, err := load.OpenIdle(p.Addr, n, gatherers)
			if err != nil {
				return err
			}
			defer crowd.Close()
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
			fmt.Fprintf(e.out, "%10d %10d %12.1f %12s %12.2f\n", n, crowd.CountOpen(), float64(after.RSS)/(1<<20), each,
				1000*(after.CPU-before.CPU).Seconds()/e.settle.Seconds())
			return nil
		})
		if err != nil {
			return fmt.Errorf("%d held: %w", n, err)
		}
	}
	return nil
}

// steady measures what idle connections add to steady traffic beside them.
func (e *idle) steady(ctx context.Context) error {
	fmt.Fprintf(e.out, "\nsteady traffic of %.0f requests a second for %v on one core, beside idle connections\n", e.rate, e.span)
	fmt.Fprintf(e.out, "%10s %10s %9s %9s %9s %9s %12s\n", "beside", "served", "refused", "p50 us", "p99 us", "p99.9 us",
		"CPU us/req")
	if err := e.direct(); err != nil {
		return err
	}
	for run := range e.repeats {
		for _, n := range []int{0, e.beside} {
			err := e.with(ctx, site, func(p *process.Proxy, _ []*fleet.Node) error {
				crowd, err := load.OpenIdle(p.Addr, n, gatherers)
				if err != nil {
					return err
				}
				defer crowd.Close()
				if _, err := load.SendSteady(p.Addr, e.rate, time.Second, 99); err != nil { // pools fill, the heap settles
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
				fmt.Fprintf(e.out, "%10d %10d %9d %9d %9d %9d %12.1f\n", crowd.CountOpen(), r.Served, r.Refused,
					r.Quantile(50).Microseconds(), r.Quantile(99).Microseconds(), r.Quantile(99.9).Microseconds(),
					float64((after.CPU-before.CPU).Microseconds())/float64(max(1, r.Sent)))
				return nil
			})
			if err != nil {
				return fmt.Errorf("steady beside %d: %w", n, err)
			}
		}
	}
	return nil
}

// direct measures the same traffic without a proxy.
func (e *idle) direct() error {
	node, err := fleet.NewNode("h0", work)
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

// expiring lets all idle times be over within a few seconds, and then SIGTERM end all idle connections at once, under steady
// traffic: nothing may go unanswered, and the latencies show whether anything stood still.
func (e *idle) expiring(ctx context.Context) error {
	fmt.Fprintf(e.out, "\nidle connections end under steady traffic of %.0f requests a second\n", e.rate)
	fmt.Fprintf(e.out, "%10s %10s %10s %9s %9s %9s %9s %9s %11s\n", "held", "by", "left", "served", "refused", "silent", "p99 us",
		"p99.9 us", "slowest us")
	for _, c := range []struct {
		by     string
		held   int
		site   string
		signal bool
	}{{"nothing", 0, site, false}, {"idle-time", e.beside, fmt.Sprintf(shortSite, e.expire), false}, {"SIGTERM", e.beside, site, true}} {
		err := e.with(ctx, c.site, func(p *process.Proxy, _ []*fleet.Node) error {
			crowd, err := load.OpenIdle(p.Addr, c.held, gatherers)
			if err != nil {
				return err
			}
			defer crowd.Close()
			held, span := crowd.CountOpen(), e.expire+2*time.Second
			if c.signal { // new connections go on being taken for half a second
				span = min(span, 3*time.Second)
				timer := time.AfterFunc(span-200*time.Millisecond, func() { p.Signal(syscall.SIGTERM) })
				defer timer.Stop()
			}
			r, err := load.SendSteady(p.Addr, e.rate, span, 7)
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "%10d %10s %10d %9d %9d %9d %9d %9d %11d\n", held, c.by, crowd.CountOpen(), r.Served, r.Refused,
				r.Unanswered, r.Quantile(99).Microseconds(), r.Quantile(99.9).Microseconds(), r.Slowest.Microseconds())
			return nil
		})
		if err != nil {
			return fmt.Errorf("ended by %s: %w", c.by, err)
		}
	}
	return nil
}

// waking lets every idle connection bring a request within the same second, or all at once.
func (e *idle) waking(ctx context.Context) error {
	fmt.Fprintf(e.out, "\nall idle connections wake, with %d MB\n", e.memoryMB)
	fmt.Fprintf(e.out, "%10s %10s %9s %9s %9s %9s %9s %9s %11s %8s %8s\n", "woken", "within", "served", "refused", "failed",
		"silent", "p50 ms", "p99 ms", "slowest ms", "peak MB", "doubled")
	for _, within := range []time.Duration{e.wave, 0} {
		err := e.with(ctx, site, func(p *process.Proxy, nodes []*fleet.Node) error {
			crowd, err := load.OpenIdle(p.Addr, e.beside, gatherers)
			if err != nil {
				return err
			}
			defer crowd.Close()
			for _, n := range nodes {
				n.TakeRuns()
			}
			r := crowd.SendAll(within, time.Second)
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
			return fmt.Errorf("wave: %w", err)
		}
	}
	return nil
}
