package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"beechwing/internal/lab/tally"
)

func tallyCommand() *cobra.Command {
	var hosts bool
	c := &cobra.Command{Use: "tally FOLDER", Args: cobra.ExactArgs(1),
		Short: "Counts by second the events in the debug logs of a whole fleet",
		Long: "Reads all files of a folder that end in .log, one of each proxy, written with BEECHWING_LOG=debug, and prints one row\n" +
			"a second, counted over all proxies.",
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := tally.Folder(args[0])
			if err != nil {
				return err
			}
			if t.Skipped > 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "skipped %d lines that are not log lines\n", t.Skipped)
			}
			if hosts {
				return t.WriteHosts(cmd.OutOrStdout())
			}
			return t.Write(cmd.OutOrStdout())
		}}
	c.Flags().BoolVar(&hosts, "hosts", false, "print attempts, timeouts and median time by host and second instead")
	return c
}
