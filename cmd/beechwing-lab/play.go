package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"beechwing/internal/lab/judge"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
	"beechwing/internal/lab/report"
	"beechwing/internal/lab/rig"
)

var errNotPassed = errors.New("at least one experiment did not pass")

// play holds the flags of the play command.
type play struct {
	binary, site, out, log string
	seed                   uint64
}

func playCommand() *cobra.Command {
	p := &play{}
	c := &cobra.Command{Use: "play EXPERIMENT...", Args: cobra.MinimumNArgs(1),
		Short: "Runs fleet experiments with faults, and evaluates them by the records of hosts, list service and callers",
		RunE: func(cmd *cobra.Command, args []string) error {
			failed := false
			for _, path := range args {
				v, err := p.run(cmd.Context(), cmd.OutOrStdout(), path)
				if err != nil {
					return err
				}
				failed = failed || !v.OK()
			}
			if failed {
				return errNotPassed
			}
			return nil
		}}
	c.Flags().StringVar(&p.binary, "binary", siblingBinary("beechwing"), "the program under test")
	c.Flags().StringVar(&p.site, "site", "", "operators' configuration file, instead of the experiment's")
	c.Flags().StringVar(&p.out, "out", "", "folder for the figures by second and the processes' files and logs")
	c.Flags().StringVar(&p.log, "log", "", "log level of the processes")
	c.Flags().Uint64Var(&p.seed, "seed", 0, "seed, instead of the experiment's")
	return c
}

// siblingBinary returns the path of a program in the folder of this one, or its bare name if that folder is unknown.
func siblingBinary(name string) string {
	me, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(me), name)
}

func (p *play) run(ctx context.Context, out io.Writer, path string) (*judge.Verdict, error) {
	f, err := plan.Load(path)
	if err != nil {
		return nil, err
	}
	seed := p.seed
	if seed == 0 {
		seed = f.Seed
	}
	s := f.Draw(seed)
	o := rig.Options{Binary: p.binary, Seed: seed, Log: p.log}
	if p.site != "" {
		site, err := os.ReadFile(p.site)
		if err != nil {
			return nil, fmt.Errorf("site: %w", err)
		}
		o.Site = string(site)
	}
	if p.out != "" {
		o.Dir = filepath.Join(p.out, "processes")
	}
	book, err := rig.Play(ctx, s, o)
	if err != nil {
		return nil, err
	}
	v := judge.Judge(s, book)
	if p.out != "" {
		if err := writeFile(filepath.Join(p.out, "seconds.jsonl"),
			func(w io.Writer) error { return report.JSONLines(w, s, book) }); err != nil {
			return nil, err
		}
	}
	return v, printRun(out, s, book, v)
}

func printRun(w io.Writer, s *plan.Schedule, b *record.Book, v *judge.Verdict) error {
	err := report.Summary(w, s, b, v)
	fmt.Fprintln(w)
	return err
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
