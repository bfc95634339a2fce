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
	Drain exportDrainCmd `cmd:"" help:"Send all that a gateway's log still owes."`
}

// exportDrainCmd sends the outbox of a gateway that does not run. Attempts that were open when it ended are exported at
// their estimated size. What was sent before it gives up stays sent.
type exportDrainCmd struct {
	Config string        `required:"" help:"The fleet's settings."`
	Rank   int           `required:"" help:"The gateway that does not run."`
	Dir    string        `arg:"" optional:"" help:"Its state directory, with 'use' in it, if not the settings'."`
	To     string        `help:"URL of the receiver, if it is another than the settings'."`
	Within time.Duration `default:"10m" help:"Give up after this."`
}

// Run sends all events and prints counts, also after an error.
func (c *exportDrainCmd) Run() error {
	f, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Dir != "" {
		if _, err := os.Stat(filepath.Join(c.Dir, "use")); err != nil {
			return fmt.Errorf("%s: no usage log here: %w", c.Dir, err)
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
	fmt.Printf("events sent %d in %d batches, %d retries; dead letters %d; estimated for an ended incarnation %d; "+
		"records lost %d, torn bytes %d\n", res.Delivery.Sent, res.Delivery.Batches, res.Delivery.Retries,
		res.Delivery.DeadLetters, res.Outbox.Orphans, res.LostRecords, res.TornBytes)
	return err
}
