// Package cli is what both programs of the mesh share around their state machines: command line, clock, log, metrics, and the
// settings file, which is watched for changes.
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

// Clock is a monotonic clock of seconds since the process started.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time in seconds.
func (c Clock) Now() float64 { return time.Since(c.start).Seconds() + 1 } // 0 means never

// At converts a time of this clock to a time.Time.
func (c Clock) At(t float64) time.Time {
	return c.start.Add(time.Duration((t - 1) * float64(time.Second)))
}

// Logger writes one line of key=value pairs for each event.
func Logger(w io.Writer, level string) (*slog.Logger, error) {
	least := slog.LevelInfo
	if level != "" {
		if err := least.UnmarshalText([]byte(level)); err != nil {
			return nil, errors.Newf("log level: %q is none of debug, info, warn, error", level)
		}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: least})), nil
}

// memoryShare is the part of a process's memory limit that is the soft limit of Go's garbage collector.
const memoryShare = 0.7

// Memory sets the soft memory limit by the settings.
func Memory(s *bootstrap.Settings) {
	if s.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	}
}

// Listen listens at an address. TCP keep-alive is off: connections are short, and setting it up costs system calls for each.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	ln, err := lc.Listen(ctx, "tcp", addr)
	return ln, errors.Wrap(err, "listen")
}

// Serve answers HTTP calls at an address until ctx ends.
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

// lookEvery is how often the settings file is read: it may change without a signal.
const lookEvery = time.Second

// Settings watches the settings file and calls changed with each new content that is valid. One that is not valid is logged and
// ignored. A signal on again has the file read at once.
func Settings(ctx context.Context, path string, again <-chan os.Signal, log *slog.Logger, changed func(*bootstrap.Settings)) {
	last, _ := os.ReadFile(path)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
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
		log.Info("settings taken", "seeds", s.SeedDepots)
		changed(s)
	}
}
