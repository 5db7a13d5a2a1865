// Package cli holds what the two programs of the mesh, beechwing-sidecar and beechwing-control, share around their state
// machines: command line, clock, log, metrics, and reloading of the settings file. Main runs the command line of a Program.
package cli

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"beechwing/internal/mesh/bootstrap"
)

// Clock is a monotonic clock in seconds. It starts at 1 s, because the state machines use time 0 for "never".
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time in seconds.
func (c Clock) Now() float64 { return time.Since(c.start).Seconds() + 1 }

// At converts a time of this clock to a time.Time.
func (c Clock) At(t float64) time.Time {
	return c.start.Add(time.Duration((t - 1) * float64(time.Second)))
}

// NewLogger returns a logger that writes each event as one line of key=value pairs. An empty level means info.
func NewLogger(w io.Writer, level string) (*slog.Logger, error) {
	minLevel := slog.LevelInfo
	if level != "" {
		if err := minLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, errors.Newf("log level: %q is none of debug, info, warn, error", level)
		}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel})), nil
}

// softMemoryShare is the soft memory limit of the Go runtime, as a share of the process's memory limit.
const softMemoryShare = 0.7

// SetMemoryLimit sets the soft memory limit of the Go runtime according to the settings.
func SetMemoryLimit(s *bootstrap.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.Limits.MemoryMB<<20)))
	}
}

// Listen listens at a TCP address. TCP keep-alive is off because connections are short and enabling it costs system calls for
// each connection.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(ctx, "tcp", addr)
	return ln, errors.Wrap(err, "listen")
}

// Serve serves HTTP at an address in the background. An error of the listener is logged unless ctx has ended.
func Serve(ctx context.Context, addr string, h http.Handler, log *slog.Logger) (*http.Server, error) {
	ln, err := Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			log.Error("listener ended", "addr", addr, "error", err)
		}
	}()
	return s, nil
}

// settingsPollInterval is how often the settings file is read, because it may change without a signal.
const settingsPollInterval = time.Second

// WatchSettings watches the settings file until ctx ends and calls changed with each new valid content. Invalid content is logged
// and ignored. A signal on reload causes the file to be read at once.
func WatchSettings(ctx context.Context, path string, reload <-chan os.Signal, log *slog.Logger,
	changed func(*bootstrap.Settings)) {
	last, _ := os.ReadFile(path)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-tick.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || string(text) == string(last) {
			continue
		}
		last = text
		s, err := bootstrap.Read(path)
		if err != nil {
			log.Warn("settings not taken", "error", err)
			continue
		}
		log.Info("settings taken", "seeds", s.SeedAddresses)
		changed(s)
	}
}
