package main

import (
	"fmt"
	"log/slog"
	"os"

	"winghatch/internal/platform"
)

type serveCmd struct {
	Config string `env:"LB_CONFIG" required:"" help:"What the platform tells this gateway, JSON."`
	Debug  bool   `help:"Log each request and attempt."`
}

func (c *serveCmd) Run() error {
	// First, so that no signal finds the process without an answer to it.
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
