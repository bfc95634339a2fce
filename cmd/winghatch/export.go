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

// exportCmd is the sub-command export.
type exportCmd struct {
	Drain exportDrainCmd `cmd:"" help:"Send the usage that a stopped gateway has not delivered."`
}

// exportDrainCmd is the sub-command export drain. It sends the usage in the outbox of a stopped gateway.
// Attempts that were open when the gateway stopped are exported with their estimated units. Events that were
// delivered before a time-out or an error stay delivered.
type exportDrainCmd struct {
	Config string        `required:"" help:"Settings file of the fleet."`
	Rank   int           `required:"" help:"Rank of the stopped gateway."`
	Dir    string        `arg:"" optional:"" help:"Its state directory, with 'use'; default: from settings."`
	To     string        `help:"URL of the receiver; default: from the settings."`
	Within time.Duration `default:"10m" help:"Stop with an error after this time."`
}

// Run sends all undelivered events and prints counts, even if it returns an error.
func (c *exportDrainCmd) Run() error {
	f, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Dir != "" {
		if _, err := os.Stat(filepath.Join(c.Dir, "use")); err != nil {
			return fmt.Errorf("dir: no usage log in %s: %w", c.Dir, err)
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
	fmt.Printf("events sent %d in %d batches, %d retries; dead letters %d; "+
		"estimated for an ended incarnation %d; records lost %d, torn bytes %d\n",
		res.Delivery.Sent, res.Delivery.Batches, res.Delivery.Retries, res.Delivery.DeadLetters,
		res.Outbox.Orphans, res.LostRecords, res.TornBytes)
	return err
}
