package main

import (
	"fmt"

	"winghatch/internal/config"
	"winghatch/internal/usage/outbox"
)

type checkCmd struct {
	File string `arg:"" help:"The settings."`
}

func (c *checkCmd) Run() error {
	f, err := config.Load(c.File)
	if err != nil {
		fmt.Println(err)
		return exitCode(1)
	}
	fmt.Printf("%s: fleet %q: %d gateways, %d classes, %d plans, %d members\n", c.File, f.Name, len(f.Gateways),
		len(f.Decide.Classes), len(f.Decide.Plans), len(f.Members))
	if f.StateDirPattern == "" {
		fmt.Println("kept: not set: plan changes and reservations end with the gateways' processes")
	} else {
		fmt.Printf("kept: %s and so on for each gateway\n", f.StateDir(0))
	}
	if m := f.Metrics; !m.Enabled {
		fmt.Println("measures: not set: nothing is counted for Prometheus")
	} else {
		fmt.Printf("measures: every %v to %q, at most %d samples and about %d bytes wait\n", m.Interval, m.URL, m.MaxSamples, m.MaxBytes)
	}
	if e := f.UsageExport; e.URL == "" {
		fmt.Println("export: not set: use is told to nobody")
	} else {
		fmt.Printf("export: to %s, durability %v, %d bytes of disk, unwritable: %s\n", e.URL, e.Durability, e.MaxLogBytes,
			map[outbox.Policy]string{outbox.PolicyReject: "refuse", outbox.PolicyServe: "serve, uncovered"}[e.OnUnwritable])
	}
	return nil
}
