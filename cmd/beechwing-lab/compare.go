package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"beechwing/internal/lab/judge"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/report"
	"beechwing/internal/lab/rig"
)

// compare plays experiments with several builds, alternating on the same seeds.
type compare struct {
	builds  []string // name=path
	repeats int
	seed    uint64
	out     io.Writer // the table
	notes   io.Writer // what was broken, run by run
	plots   string
}

func compareCommand() *cobra.Command {
	c := &compare{}
	cmd := &cobra.Command{Use: "compare EXPERIMENT...", Args: cobra.MinimumNArgs(1),
		Short: "Plays experiments with several builds side by side, on the same seeds",
		Long: "Each experiment is played with each build in turn, seed after seed. A row gives the median over the seeds and, where they\n" +
			"differ, the lowest and highest; the last column counts runs that broke a rule or were void.",
		RunE: func(cmd *cobra.Command, args []string) error {
			c.out, c.notes = cmd.OutOrStdout(), cmd.ErrOrStderr()
			return c.run(cmd.Context(), args)
		}}
	cmd.Flags().StringArrayVar(&c.builds, "build", []string{"now=" + besideMe("beechwing")}, "a build, as NAME=PATH; may be given again")
	cmd.Flags().IntVar(&c.repeats, "repeats", 3, "seeds played")
	cmd.Flags().Uint64Var(&c.seed, "seed", 1, "the first of them")
	cmd.Flags().StringVar(&c.plots, "plots", "", "folder for a plot of each experiment, by second")
	return cmd
}

func (c *compare) run(ctx context.Context, paths []string) error {
	table := report.NewTable(c.out)
	for _, path := range paths {
		f, err := plan.Load(path)
		if err != nil {
			return err
		}
		runs := make([][]report.Run, len(c.builds))
		for n := range c.repeats {
			s := f.Draw(c.seed + uint64(n))
			for i, build := range c.builds {
				name, binary, ok := strings.Cut(build, "=")
				if !ok {
					return fmt.Errorf("build %q is not NAME=PATH", build)
				}
				book, err := rig.Play(ctx, s, rig.Options{Binary: binary, Seed: c.seed + uint64(n)})
				if err != nil {
					return fmt.Errorf("%s with %s: %w", path, name, err)
				}
				v := judge.Judge(s, book)
				if !v.OK() {
					fmt.Fprintf(c.notes, "%s, %s, seed %d:\n", f.Name, name, c.seed+uint64(n))
					report.Verdict(c.notes, v)
				}
				runs[i] = append(runs[i], report.Run{Build: name, Verdict: v, Seconds: report.Seconds(s, book)})
			}
		}
		if err := table.Add(f.Name, runs); err != nil {
			return err
		}
		if c.plots != "" {
			name := strings.TrimSuffix(filepath.Base(path), ".toml") + ".png"
			if err := report.Plot(filepath.Join(c.plots, name), f.Name, runs); err != nil {
				return err
			}
		}
	}
	return nil
}
