package main

import (
	"fmt"
	"log/slog"
	"os"

	"winghatch/internal/platform"
)

// serveCmd is the sub-command serve.
type serveCmd struct {
	Config string `env:"LB_CONFIG" required:"" help:"The platform's configuration of this gateway, in JSON."`
	Debug  bool   `help:"Log each request and attempt."`
}

// Run runs the gateway until it has drained after a signal.
func (c *serveCmd) Run() error {
	// Signals are handled before anything else, because a signal that arrives during the start would
	// otherwise end the process without a drain.
	signals := platform.Notify()
	level := slog.LevelInfo
	if c.Debug {
		level = slog.LevelDebug
	}
	out := platform.NewLogWriter(os.Stderr)
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	cfg, err := platform.Load(c.Config)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	platform.ApplyLimits(cfg)
	g, err := platform.Start(cfg, log)
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	g.Wait(c.Config, signals)
	out.Close()
	return nil
}
