// Command guildhall is the control plane of the mesh: it knows which hosts and proxies there are, keeps the configuration on a
// majority of disks and brings it to all, and binds each operation's key to one run.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"beechwing/internal/market/charter/assay"
	"beechwing/internal/market/deed"
	"beechwing/internal/market/shop"
)

func main() { os.Exit(Main()) }

// Main runs the command line and gives the exit status: 0 well, 1 failed, 2 not understood.
func Main() int {
	root := &ff.Command{Name: "guildhall", Usage: "guildhall SUBCOMMAND", ShortHelp: "control plane of the mesh"}
	flags := ff.NewFlagSet("run")
	level := flags.StringLong("log", "info", "least level of the log: debug, info, warn, error")
	profile := flags.StringLong("profile", "", "file for a CPU profile of the whole run")
	root.Subcommands = []*ff.Command{
		{Name: "run", Usage: "guildhall run [--log LEVEL]", ShortHelp: "serve, by the settings file that " + deed.Variable + " names",
			Flags: flags, Exec: func(ctx context.Context, _ []string) error {
				end, err := shop.Profile(*profile)
				if err != nil {
					return err
				}
				defer end()
				return serve(ctx, *level)
			}},
		{Name: "check", Usage: "guildhall check FILE", ShortHelp: "check a settings file (.toml) or a configuration (.json)", Exec: check},
		shop.StateCommand("guildhall"),
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprint(os.Stderr, ffhelp.Command(root.GetSelected()))
		return 0
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprint(os.Stderr, ffhelp.Command(root))
		return 2
	}
	fmt.Fprintln(os.Stderr, "guildhall:", err)
	return 1
}

func serve(ctx context.Context, level string) error {
	d, err := deed.Load(os.Getenv)
	if err != nil {
		return err
	}
	log, err := shop.Logger(os.Stderr, level)
	if err != nil {
		return err
	}
	return run(ctx, d, log)
}

func check(_ context.Context, args []string) error {
	return shop.Check(args, func(text []byte) error {
		edition, err := assay.New().Check(text)
		if err == nil {
			fmt.Printf("configuration r%d: valid\n", edition)
		}
		return err
	})
}
