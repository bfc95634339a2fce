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

// gcPercent makes the garbage collector run less often than by default. The heap stays small anyway, because
// little of the memory that a request allocates is long-lived (see docs/measurements.md). The environment
// variable GOGC takes precedence.
const gcPercent = 400

// gatewayCmd is the sub-command gateway.
type gatewayCmd struct {
	Config    string `required:"" help:"Settings file of the fleet, in KDL."`
	Rank      int    `required:"" help:"Rank of this gateway, from 0."`
	Seed      int64  `help:"Seed of the core's random choices; 0: taken from the current time."`
	Recording string `name:"tape" help:"File in which to record the core's events and actions."`
	Log       string `help:"Log format, text or json; default: settings." enum:"text,json," default:""`
}

// newLogger returns a logger to standard error with the level and format of the settings. A non-empty format,
// text or json, overrides that of the settings.
func newLogger(f *config.Fleet, format string) *slog.Logger {
	var level slog.Level
	level.UnmarshalText([]byte(f.Log.Level)) // cannot fail: config.Load validated the level
	o := &slog.HandlerOptions{Level: level}
	if format == "json" || format == "" && f.Log.JSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, o))
}

// Run runs the gateway until SIGTERM or SIGINT and then drains it, which takes until its open requests have
// ended. A second signal ends the process at once with exit code 1.
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
