package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"beechwing/internal/lab/judge"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/report"
	"beechwing/internal/lab/rig"
)

// compare runs experiments with several builds in alternation, on the same seeds.
type compare struct {
	builds  []string // name=path
	sites   []string // name=path of the operators' configuration file for a build
	repeats int
	seed    uint64
	out     io.Writer // the table
	notes   io.Writer // violations of each run that did not pass
	plots   string
}

func compareCommand() *cobra.Command {
	c := &compare{}
	cmd := &cobra.Command{Use: "compare EXPERIMENT...", Args: cobra.MinimumNArgs(1),
		Short: "Runs experiments with several builds in turn, on the same seeds",
		Long: "Each experiment is run with each build in turn, seed after seed. A row gives the median over the seeds and, where they\n" +
			"differ, the lowest and highest; the last column counts the violations of each rule and the void runs.",
		RunE: func(cmd *cobra.Command, args []string) error {
			c.out, c.notes = cmd.OutOrStdout(), cmd.ErrOrStderr()
			return c.run(cmd.Context(), args)
		}}
	cmd.Flags().StringArrayVar(&c.builds, "build", []string{"now=" + siblingBinary("beechwing")},
		"a build, as NAME=PATH; may be repeated")
	cmd.Flags().StringArrayVar(&c.sites, "site", nil,
		"operators' configuration file for the build of that name, as NAME=PATH; may be repeated")
	cmd.Flags().IntVar(&c.repeats, "repeats", 3, "number of seeds")
	cmd.Flags().Uint64Var(&c.seed, "seed", 1, "first seed")
	cmd.Flags().StringVar(&c.plots, "plots", "", "folder for a plot of each experiment, by second")
	return cmd
}

func (c *compare) run(ctx context.Context, paths []string) error {
	builds, err := c.parse()
	if err != nil {
		return err
	}
	table := report.NewTable(c.out)
	for _, path := range paths {
		f, err := plan.Load(path)
		if err != nil {
			return err
		}
		runs := make([][]report.Run, len(builds))
		for n := range c.repeats {
			s := f.Draw(c.seed + uint64(n))
			for i, b := range builds {
				name := b.name
				book, err := rig.Play(ctx, s, rig.Options{Binary: b.binary, Site: b.site, Seed: c.seed + uint64(n)})
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

// variant is a build of the program with the operators' configuration file for it.
type variant struct{ name, binary, site string }

func (c *compare) parse() ([]variant, error) {
	var builds []variant
	for _, text := range c.builds {
		name, binary, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fmt.Errorf("build %q is not NAME=PATH", text)
		}
		builds = append(builds, variant{name: name, binary: binary})
	}
	for _, text := range c.sites {
		name, path, _ := strings.Cut(text, "=")
		i := slices.IndexFunc(builds, func(b variant) bool { return b.name == name })
		if i < 0 {
			return nil, fmt.Errorf("site %q is not NAME=PATH with the NAME of a build", text)
		}
		site, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("site: %w", err)
		}
		builds[i].site = string(site)
	}
	return builds, nil
}
