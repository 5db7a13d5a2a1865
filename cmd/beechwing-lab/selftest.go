package main

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"beechwing/internal/lab/judge"
	"beechwing/internal/lab/plan"
	"beechwing/internal/lab/record"
	"beechwing/internal/lab/rig"
	"beechwing/internal/lab/standin"
)

// expectedRules maps each defect of the stand-in proxy to the rule whose violation the judge must report.
var expectedRules = map[string]string{
	standin.Twice: judge.RanTwice, standin.TwoAnswers: judge.TwoAnswers, standin.Late: judge.LateAnswer,
	standin.Nobody: judge.UnknownOrigin, standin.AfterDrain: judge.SentAfterDrain, standin.PushCold: judge.ColdHostOverloaded,
	standin.Lose: judge.LostRequest, standin.Leak: judge.ResourceGrowth, standin.RefuseRan: judge.RefusedAndRan,
	standin.SendAfter: judge.SentAfterAnswer, standin.Crash: judge.Crashed, standin.Hoard: judge.ResourceGrowth,
}

// selftestText is the experiment that is run once for each defect. One host fails half of its requests, one drains, and one
// crashes and restarts cold.
const selftestText = `
name = "selftest"
seed = 5
span = "9s"
[proxy]
grace = "500ms"
memory_mb = 4000
[host]
cores = 2
work = "10ms"
cold = "4s"
fall_multiple = 0.6
fall_after = "1s"
[traffic]
rps = 90
[[zone]]
name = "a"
proxies = 1
hosts = 4
[[class]]
name = "look"
effect = "repeatable"
aim = "500ms"
deadline = "1s"
worth = 1
share = 1
[[class]]
name = "change"
effect = "once"
aim = "500ms"
deadline = "1s"
worth = 5
share = 1
[[fault]]
kind = "errors"
at = "1s"
for = "2s"
to = "hosts#0"
share = 0.5
[[fault]]
kind = "drain"
at = "2s"
to = "hosts#1"
[[fault]]
kind = "crash"
at = "3s"
for = "1s"
to = "hosts#2"
`

func selftestCommand() *cobra.Command {
	var histories string
	c := &cobra.Command{Use: "selftest", Args: cobra.NoArgs,
		Short: "Checks that the judge reports each defect of a stand-in proxy, and reports nothing for a correct one",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return selftest(cmd.Context(), cmd.OutOrStdout(), histories)
		}}
	c.Flags().StringVar(&histories, "record", "", "folder in which to store the history of each run with the expected verdict")
	return c
}

// standinCommand runs the stand-in proxy. The command selftest starts it in separate processes.
func standinCommand() *cobra.Command {
	return &cobra.Command{Use: "standin DEFECT", Args: cobra.ExactArgs(1), Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error { return standin.Run(args[0]) }}
}

// maxPlays is how often a defect is run at most while the machine is too busy for a verdict.
const maxPlays = 3

// finding is the verdict of the judge on a run with a defect.
type finding struct {
	defect string
	rules  []string
	void   string
	err    error
}

// selftest runs every defect in real time and checks the verdicts, so the machine must be idle enough.
func selftest(ctx context.Context, out io.Writer, histories string) error {
	me, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := plan.Parse("selftest", []byte(selftestText))
	if err != nil {
		return err
	}
	defects := append([]string{standin.None}, standin.Defects...)
	findings := make([]finding, len(defects))
	var wg sync.WaitGroup
	for i, defect := range defects {
		wg.Go(func() {
			for n := 0; n == 0 || findings[i].void != "" && n < maxPlays; n++ {
				var book *record.Book
				findings[i], book = playDefect(ctx, f, rig.Options{Binary: me, Seed: f.Seed}, defect)
				if histories != "" && findings[i].asExpected() {
					findings[i].err = writeHistory(historyPath(histories, defect), book)
				}
			}
		})
	}
	wg.Wait()
	wrong := 0
	for _, n := range findings {
		word := "right"
		if !n.asExpected() {
			word = "WRONG"
			wrong++
		}
		fmt.Fprintf(out, "%-12s %s: %s\n", n.defect, word, n)
	}
	if wrong > 0 {
		return fmt.Errorf("%d of %d verdicts are wrong", wrong, len(findings))
	}
	return nil
}

// playDefect runs the experiment on the stand-in proxy with a defect.
func playDefect(ctx context.Context, f *plan.File, o rig.Options, defect string) (finding, *record.Book) {
	s := f.Draw(f.Seed)
	o.Args = []string{"standin", defect}
	book, err := rig.Play(ctx, s, o)
	if err != nil {
		return finding{defect: defect, err: err}, nil
	}
	return newFinding(defect, judge.Judge(s, book)), book
}

// newFinding returns the finding for a verdict on a defect, with each violated rule once.
func newFinding(defect string, v *judge.Verdict) finding {
	n := finding{defect: defect, void: v.Void}
	for _, b := range v.Violations {
		if !slices.Contains(n.rules, b.Rule) {
			n.rules = append(n.rules, b.Rule)
		}
	}
	return n
}

// historyPath returns the path of the file with the history of a defect.
func historyPath(dir, defect string) string { return filepath.Join(dir, defect+".json.gz") }

// writeHistory writes the records of a run as compressed JSON.
func writeHistory(path string, book *record.Book) error {
	return writeFile(path, func(w io.Writer) error {
		z := gzip.NewWriter(w)
		return errors.Join(json.NewEncoder(z).Encode(book), z.Close())
	})
}

// asExpected reports whether the judge named the rule that the defect violates and no other. A crash may also lose requests.
func (n *finding) asExpected() bool {
	if n.err != nil || n.void != "" {
		return false
	}
	want := expectedRules[n.defect]
	if want == "" {
		return len(n.rules) == 0
	}
	return slices.Contains(n.rules, want) && !slices.ContainsFunc(n.rules, func(rule string) bool {
		return rule != want && !(want == judge.Crashed && rule == judge.LostRequest)
	})
}

func (n finding) String() string {
	switch {
	case n.err != nil:
		return n.err.Error()
	case n.void != "":
		return "void: " + n.void
	case len(n.rules) == 0:
		return "no violations"
	}
	return strings.Join(n.rules, ", ")
}
