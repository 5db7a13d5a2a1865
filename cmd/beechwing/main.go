// Command beechwing is one client proxy: it takes the requests of the application beside it and balances them over the
// hosts that discovery lists. PROXY_CONFIG names its configuration; BEECHWING_LOG sets the level of its log.
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
	hangups := make(chan os.Signal, 1) // from the first on: unheard, the signal would end the program
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // so would a log that nobody reads any more
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
