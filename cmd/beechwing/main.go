// Command beechwing is the client-side proxy. It accepts requests from the application on the same machine and balances them
// over the hosts that the discovery service lists. The environment variable PROXY_CONFIG names the configuration file, and
// BEECHWING_LOG sets the log level. SIGHUP reloads the configuration; SIGTERM and SIGINT stop the proxy after a drain.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap/zapcore"

	"beechwing/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "beechwing:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1) // registered first, because an unhandled SIGHUP terminates the process
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // otherwise a write to a log whose reader has gone would terminate the process
	level := zapcore.InfoLevel
	if text := os.Getenv("BEECHWING_LOG"); text != "" {
		var err error
		if level, err = zapcore.ParseLevel(text); err != nil {
			return fmt.Errorf("BEECHWING_LOG: %w", err)
		}
	}
	cfg, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	log, flush := proxy.NewLogger(os.Stderr, level)
	defer flush()
	p := proxy.New(cfg, log)
	go func() {
		for range hangups {
			p.Reload()
		}
	}()
	return p.Run(ctx)
}
