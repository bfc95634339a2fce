package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"winghatch/internal/config"
	"winghatch/internal/gateway"
)

// gcPercent lets the garbage collector run less often than by default: little of what each request allocates lives
// long, so that the heap stays small all the same (docs/measurements.md). GOGC in the environment goes before it.
const gcPercent = 400

type gatewayCmd struct {
	Config    string `required:"" help:"The fleet's settings, KDL."`
	Rank      int    `required:"" help:"This gateway's number, from 0."`
	Seed      int64  `help:"Of the core's random choices; 0: taken from the time."`
	Recording string `name:"tape" help:"Record the core's events and actions in this file."`
	Log       string `help:"text or json; else as the settings say." enum:"text,json," default:""`
}

// newLogger returns the logger that the settings ask for; format, if not empty, is text or json instead.
func newLogger(f *config.Fleet, format string) *slog.Logger {
	var level slog.Level
	level.UnmarshalText([]byte(f.Log.Level)) // the settings were checked
	o := &slog.HandlerOptions{Level: level}
	if format == "json" || format == "" && f.Log.JSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// Run runs the gateway until SIGTERM or SIGINT, and then until its open requests have ended. A second signal ends it at
// once with exit code 1.
func (c *gatewayCmd) Run() error {
	fleet, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	o := gateway.Options{Rank: c.Rank, Seed: c.Seed, Log: newLogger(fleet, c.Log)}
	if c.Recording != "" {
		out, err := os.Create(c.Recording)
		if err != nil {
			return err
		}
		defer out.Close()
		o.Recording = out
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	g, err := gateway.Start(fleet, o)
	if err != nil {
		return err
	}
	s := <-signals
	o.Log.Info("Graceful shutdown started", "signal", s.String())
	go func() {
		<-signals
		os.Exit(1)
	}()
	g.Drain()
	o.Log.Info("Gateway stopped")
	return nil
}
