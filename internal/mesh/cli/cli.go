// Package cli holds what both programs of the mesh are started with: clock, logs, command line, settings that change.
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

// Clock counts seconds since the process started. It never jumps, whatever the time of day does.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time in seconds.
func (c Clock) Now() float64 { return time.Since(c.start).Seconds() + 1 } // 0 stands for never

// At turns a time of this clock into one that deadlines take.
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

// memoryShare of what a process may have, beyond which it collects garbage all the time rather than grow.
const memoryShare = 0.7

// Memory keeps the process inside what its settings allow.
func Memory(d *bootstrap.Settings) {
	if d.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(d.Limits.MemoryMB<<20)))
	}
}

// Listen listens at an address. Connections get no keep-alive probes: callers come and go in moments, and each setting is a call.
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

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = time.Second

// Settings follows the settings file: changed is called with every other one that makes sense. One that makes none changes
// nothing.
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
		d, err := bootstrap.Read(path)
		if err != nil {
			log.Warn("settings not taken", "error", err)
			continue
		}
		log.Info("settings taken", "seeds", d.SeedDepots)
		changed(d)
	}
}
