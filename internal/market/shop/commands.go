package shop

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"beechwing/internal/market/deed"
)

// Program is one of the two, as its command line knows it.
type Program struct {
	Name, Short string
	Run         func(ctx context.Context, d *deed.Deed, metrics int, log *slog.Logger) error
	Check       func(configuration []byte) (verdict string, err error)
}

// Main runs a program's command line and gives the exit status: 0 well, 1 failed, 2 not understood.
func Main(p Program) int {
	root := &ff.Command{Name: p.Name, Usage: p.Name + " SUBCOMMAND", ShortHelp: p.Short}
	flags := ff.NewFlagSet("run")
	level := flags.StringLong("log", "info", "least level of the log: debug, info, warn, error")
	metrics := flags.IntLong("metrics", 0, "port of sparePorts at which figures are served as text; 0: none")
	profile := flags.StringLong("profile", "", "file for a CPU profile of the whole run")
	looks := ff.NewFlagSet("state")
	plain := looks.BoolLong("json", "as JSON in place of a table")
	root.Subcommands = []*ff.Command{
		{Name: "run", Usage: p.Name + " run [--log LEVEL] [--metrics PORT] [--profile FILE]", Flags: flags,
			ShortHelp: "serve, by the settings file that " + deed.Variable + " names",
			Exec:      func(ctx context.Context, _ []string) error { return p.serve(ctx, *level, *profile, *metrics) }},
		{Name: "check", Usage: p.Name + " check FILE ...", ShortHelp: "check settings (.toml) and configurations (.json)",
			Exec: func(_ context.Context, args []string) error { return p.check(args) }},
		{Name: "state", Usage: p.Name + " state [--json] ADDRESS", Flags: looks,
			ShortHelp: "what a running process knows, from its control address",
			Exec:      func(ctx context.Context, args []string) error { return state(ctx, args, *plain) }},
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
	fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
	return 1
}

func (p Program) serve(ctx context.Context, level, profile string, metrics int) error {
	d, err := deed.Load(os.Getenv)
	if err != nil {
		return err
	}
	log, err := Logger(os.Stderr, level)
	if err != nil {
		return err
	}
	end, err := Profile(profile)
	if err != nil {
		return err
	}
	defer end()
	return p.Run(ctx, d, metrics, log)
}

// check checks the files that are named.
func (p Program) check(args []string) error {
	if len(args) == 0 {
		return errors.New("check: which file?")
	}
	for _, path := range args {
		if strings.HasSuffix(path, ".toml") {
			d, err := deed.Read(path)
			if err != nil {
				return err
			}
			fmt.Printf("settings of %s at %s: valid\n", d.NodeName, d.Inner())
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "check")
		}
		verdict, err := p.Check(text)
		if err != nil {
			return errors.Wrap(err, path)
		}
		fmt.Println("configuration", verdict)
	}
	return nil
}

// Profile writes a CPU profile to a file until end is called. Without a file it does nothing.
func Profile(path string) (end func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Wrap(err, "profile")
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

// mostState bounds what is read of an answer to state.
const mostState = 64 << 20

// state asks a running process what it knows, and shows it.
func state(ctx context.Context, args []string, plain bool) error {
	if len(args) != 1 {
		return errors.New("state: which address?")
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+args[0]+"/-/state", nil)
	if err != nil {
		return errors.Wrap(err, "state")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "state")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, mostState))
	if err != nil {
		return errors.Wrap(err, "state")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("state: %s answers %s", args[0], res.Status)
	}
	if plain {
		_, err = os.Stdout.Write(text)
		return errors.Wrap(err, "state")
	}
	return table(text, os.Stdout)
}
