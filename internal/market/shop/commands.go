package shop

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"beechwing/internal/market/deed"
)

// Check checks the files that are named: settings, or what configuration says of the others.
func Check(args []string, configuration func(text []byte) error) error {
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
		if err := configuration(text); err != nil {
			return errors.Wrap(err, path)
		}
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

// StateCommand asks a running process what it knows.
func StateCommand(program string) *ff.Command {
	return &ff.Command{Name: "state", Usage: program + " state ADDRESS",
		ShortHelp: "what a running process knows, as JSON, from its control address",
		Exec: func(ctx context.Context, args []string) error {
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
			_, err = io.Copy(os.Stdout, res.Body)
			return err
		}}
}
