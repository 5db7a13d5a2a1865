// Command beechwing-lab tests and measures the proxy against simulated hosts, callers and a list service, all on loopback. The
// command play runs fleet experiments with faults, and compare runs them with several builds. The command idle measures the
// cost of idle connections, tally summarizes debug logs, and selftest checks the evaluation of experiments itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cobra.Command{Use: "beechwing-lab",
		Short:        "Tests and measures the proxy against simulated hosts and callers, on loopback",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(compareCommand(), idleCommand(), playCommand(), selftestCommand(), standinCommand(), tallyCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "beechwing-lab:", err)
		os.Exit(1)
	}
}
