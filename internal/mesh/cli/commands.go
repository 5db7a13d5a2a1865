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

// Program describes a program to the command line.
type Program struct {
	Name, Short string
	Run         func(ctx context.Context, s *bootstrap.Settings, o Options, log *slog.Logger) error
	// Check validates a configuration for the subcommand check.
	Check func(configuration []byte) (result string, err error)
	// EjectionCommands adds the subcommands out and back, which eject and restore hosts.
	EjectionCommands bool
}

// Options are the flags of subcommand run that are passed to the program.
type Options struct {
	MetricsPort    int  // port at which metrics are served; 0: none
	AgreedEjection bool // eject hosts for requests that must not run twice only by a vote of the proxies

	ListenAddress string // address to listen at for the other processes of the mesh; empty: the address that they use
}

// Main runs a program's command line and returns the exit status: 0 for success, 1 for failure, 2 for wrong usage.
func Main(p Program) int {
	root := &ff.Command{Name: p.Name, Usage: p.Name + " SUBCOMMAND", ShortHelp: p.Short}
	flags := ff.NewFlagSet("run")
	level := flags.StringLong("log", "info", "minimum log level: debug, info, warn, error")
	agreedEjection := flags.BoolLong("agreed-ejection",
		"eject a host for requests that must not run twice only if most proxies that used the host report failures (beechwing-sidecar)")
	listenAddress := flags.StringLong("listen-inner", "",
		"address to listen at for other mesh processes, if they reach this process through a relay at its regular address")
	metrics := flags.IntLong("metrics", 0, "port within sparePorts at which Prometheus metrics are served; 0: none")
	profile := flags.StringLong("profile", "", "file to which a CPU profile of the whole run is written")
	stateFlags := ff.NewFlagSet("state")
	asJSON := stateFlags.BoolLong("json", "print JSON instead of a table")
	root.Subcommands = []*ff.Command{
		{Name: "run", Usage: p.Name + " run [--log LEVEL] [--agreed-ejection] [--metrics PORT] [--listen-inner ADDRESS] [--profile FILE]",
			Flags:     flags,
			ShortHelp: "run the program with the settings file that " + bootstrap.EnvVariable + " names",
			Exec: func(ctx context.Context, _ []string) error {
				return p.run(ctx, *level, *profile, Options{*metrics, *agreedEjection, *listenAddress})
			}},
		{Name: "check", Usage: p.Name + " check FILE ...",
			ShortHelp: "validate settings files (.toml) and configurations (.json)",
			Exec:      func(_ context.Context, args []string) error { return p.check(args) }},
		{Name: "state", Usage: p.Name + " state [--json] ADDRESS", Flags: stateFlags,
			ShortHelp: "print the state of a running process, given its control address",
			Exec:      func(ctx context.Context, args []string) error { return printState(ctx, args, *asJSON) }},
	}
	if p.EjectionCommands {
		root.Subcommands = append(root.Subcommands,
			p.orderCommand("out", "eject a host for requests that must not run twice, for all proxies and until subcommand back"),
			p.orderCommand("back", "restore a host that was ejected with subcommand out"))
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

func (p Program) run(ctx context.Context, level, profile string, o Options) error {
	s, err := bootstrap.Load(os.Getenv)
	if err != nil {
		return err
	}
	log, err := NewLogger(os.Stderr, level)
	if err != nil {
		return err
	}
	stopProfile, err := StartProfile(profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	return p.Run(ctx, s, o, log)
}

// check validates settings files and configurations.
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
			fmt.Printf("settings of %s at %s: valid\n", s.NodeName, s.MeshAddress())
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

// StartProfile writes a CPU profile to a file until stop is called. It does nothing if path is empty.
func StartProfile(path string) (stop func(), err error) {
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

// maxStateBytes limits the size of a state that is read.
const maxStateBytes = 64 << 20

// printState fetches and prints the state of a running process.
func printState(ctx context.Context, args []string, asJSON bool) error {
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
	text, err := io.ReadAll(io.LimitReader(res.Body, maxStateBytes))
	if err != nil {
		return errors.Wrap(err, "state")
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("state: %s responded with status %s", args[0], res.Status)
	}
	if asJSON {
		_, err = os.Stdout.Write(text)
		return errors.Wrap(err, "state")
	}
	return printTable(text, os.Stdout)
}

// orderCommand returns the subcommand that ejects a host (out) or restores it (back).
func (p Program) orderCommand(name, shortHelp string) *ff.Command {
	flags := ff.NewFlagSet(name)
	by := flags.StringLong("by", "", "name of the operator, for the record")
	why := flags.StringLong("why", "", "the reason, for the record")
	force := flags.BoolLong("force", "proceed even if less than half of the service's hosts would remain")
	return &ff.Command{Name: name, Usage: p.Name + " " + name + " --by NAME [--why TEXT] [--force] ADDRESS STATION",
		Flags: flags, ShortHelp: shortHelp,
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
			req, err := http.NewRequestWithContext(ctx, http.MethodPut,
				"http://"+args[0]+"/-/orders/"+url.PathEscape(args[1]), bytes.NewReader(body))
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
