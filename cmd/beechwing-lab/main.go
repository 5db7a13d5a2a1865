// Command beechwing-lab measures a proxy on stand-ins, all on loopback. Each of its commands is one experiment.
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
	root := &cobra.Command{Use: "beechwing-lab", Short: "Measures a proxy on stand-ins, on loopback",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(compareCommand(), idleCommand(), playCommand(), selftestCommand(), standinCommand(), tallyCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "beechwing-lab:", err)
		os.Exit(1)
	}
}
