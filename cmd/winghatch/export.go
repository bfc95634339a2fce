package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/gateway"
)

type exportCmd struct {
	Drain exportDrainCmd `cmd:"" help:"Tell the receiver all that the log of a gateway owes; tries that its last life left open go at their guesses."`
}

type exportDrainCmd struct {
	Config string        `required:"" help:"The fleet's settings."`
	Rank   int           `required:"" help:"The gateway that does not run."`
	Dir    string        `arg:"" optional:"" help:"What it kept, if that lies elsewhere than the settings say: the directory that holds 'use'."`
	To     string        `help:"URL of the receiver, if it is another than the settings'."`
	Within time.Duration `default:"10m" help:"Give up after this; what is told by then stays told."`
}

func (c *exportDrainCmd) Run() error {
	f, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Dir != "" {
		if _, err := os.Stat(filepath.Join(c.Dir, "use")); err != nil {
			return fmt.Errorf("%s: no export's log here: %w", c.Dir, err)
		}
		f.StateDirPattern = c.Dir
	}
	if c.To != "" {
		f.UsageExport.URL = c.To
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	res, err := gateway.DrainOutbox(ctx, f, c.Rank, newLogger(f, ""))
	fmt.Printf("events told %d in %d batches, %d times again; set aside %d; at a guess, left by an ended life %d; records lost %d, torn bytes %d\n",
		res.Delivery.Sent, res.Delivery.Batches, res.Delivery.Retries, res.Delivery.DeadLetters, res.Outbox.Orphans, res.LostRecords, res.TornBytes)
	return err
}
