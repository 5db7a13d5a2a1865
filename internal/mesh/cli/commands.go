package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"beechwing/internal/mesh/bootstrap"
)

// Program is what the command line needs of a program.
type Program struct {
	Name, Short string
	Run         func(ctx context.Context, s *bootstrap.Settings, o Options, log *slog.Logger) error
	Check       func(configuration []byte) (result string, err error)
	Orders      bool // it has the subcommands for operators' orders on hosts
}

// Options are the flags of run that the program itself uses.
type Options struct {
	Metrics int  // port of the metrics; 0: none
	Agreed  bool // eject hosts for requests that must not run twice only by vote

	ListenInner string // address to listen at for the other processes; empty: the one that they know
}

// Main runs a program's command line and returns the exit status: 0 success, 1 failure, 2 usage.
func Main(p Program) int {
	root := &ff.Command{Name: p.Name, Usage: p.Name + " SUBCOMMAND", ShortHelp: p.Short}
	flags := ff.NewFlagSet("run")
	level := flags.StringLong("log", "info", "least level of the log: debug, info, warn, error")
	agreed := flags.BoolLong("agreed-ejection", "leave a host out for operations only where most proxies that met it agree that it fails (beechwing-sidecar)")
	inner := flags.StringLong("listen-inner", "", "address to listen at for the other processes, where they reach this one through a relay at the one they know")
	metrics := flags.IntLong("metrics", 0, "port of sparePorts at which figures are served as text; 0: none")
	profile := flags.StringLong("profile", "", "file for a CPU profile of the whole run")
	stateFlags := ff.NewFlagSet("state")
	plain := stateFlags.BoolLong("json", "as JSON in place of a table")
	root.Subcommands = []*ff.Command{
		{Name: "run", Usage: p.Name + " run [--log LEVEL] [--agreed-ejection] [--metrics PORT] [--listen-inner ADDRESS] [--profile FILE]", Flags: flags,
			ShortHelp: "serve, by the settings file that " + bootstrap.Variable + " names",
			Exec: func(ctx context.Context, _ []string) error {
				return p.serve(ctx, *level, *profile, Options{*metrics, *agreed, *inner})
			}},
		{Name: "check", Usage: p.Name + " check FILE ...", ShortHelp: "check settings (.toml) and configurations (.json)",
			Exec: func(_ context.Context, args []string) error { return p.check(args) }},
		{Name: "state", Usage: p.Name + " state [--json] ADDRESS", Flags: stateFlags,
			ShortHelp: "what a running process knows, from its control address",
			Exec:      func(ctx context.Context, args []string) error { return state(ctx, args, *plain) }},
	}
	if p.Orders {
		root.Subcommands = append(root.Subcommands, p.order("out", "take a host out for operations, for all proxies and until called back"),
			p.order("back", "call a host back that was taken out"))
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

func (p Program) serve(ctx context.Context, level, profile string, o Options) error {
	s, err := bootstrap.Load(os.Getenv)
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
	return p.Run(ctx, s, o, log)
}

// check validates the files that are named.
func (p Program) check(args []string) error {
	if len(args) == 0 {
		return errors.New("check: which file?")
	}
	for _, path := range args {
		if strings.HasSuffix(path, ".toml") {
			s, err := bootstrap.Read(path)
			if err != nil {
				return err
			}
			fmt.Printf("settings of %s at %s: valid\n", s.NodeName, s.Inner())
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "check")
		}
		result, err := p.Check(text)
		if err != nil {
			return errors.Wrap(err, path)
		}
		fmt.Println("configuration", result)
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

// mostState bounds the size of a state.
const mostState = 64 << 20

// state fetches and shows the state of a running process.
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

// order makes the subcommand that takes a host out or calls it back.
func (p Program) order(name, short string) *ff.Command {
	flags := ff.NewFlagSet(name)
	by := flags.StringLong("by", "", "who gives the order")
	why := flags.StringLong("why", "", "the reason, for the record")
	force := flags.BoolLong("force", "also where less than half of the service's hosts would be left")
	return &ff.Command{Name: name, Usage: p.Name + " " + name + " --by NAME [--why TEXT] [--force] ADDRESS STATION", Flags: flags, ShortHelp: short,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return errors.Newf("%s: which address, and which host?", name)
			}
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			body, err := json.Marshal(map[string]any{"out": name == "out", "by": *by, "why": *why, "force": *force})
			if err != nil {
				return errors.Wrap(err, name)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+args[0]+"/-/orders/"+url.PathEscape(args[1]), bytes.NewReader(body))
			if err != nil {
				return errors.Wrap(err, name)
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return errors.Wrap(err, name)
			}
			defer res.Body.Close()
			if res.StatusCode/100 == 2 {
				return nil
			}
			text, _ := io.ReadAll(io.LimitReader(res.Body, 4<<10))
			return errors.Newf("%s: %s: %s", name, res.Status, strings.TrimSpace(string(text)))
		}}
}
