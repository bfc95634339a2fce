package main

import (
	"fmt"

	"winghatch/internal/config"
	"winghatch/internal/usage/outbox"
)

// checkCmd is the sub-command check.
type checkCmd struct {
	File string `arg:"" help:"Settings file to check."`
}

// Run prints a summary of the settings, or all errors in them and then exits with code 1.
func (c *checkCmd) Run() error {
	f, err := config.Load(c.File)
	if err != nil {
		fmt.Println(err)
		return exitCode(1)
	}
	fmt.Printf("%s: fleet %q: %d gateways, %d classes, %d plans, %d members\n", c.File, f.Name,
		len(f.Gateways), len(f.Decide.Classes), len(f.Decide.Plans), len(f.Members))
	printStateDir(f)
	printMetrics(f)
	printUsageSettings(f)
	return nil
}

func printStateDir(f *config.Fleet) {
	if f.StateDirPattern == "" {
		fmt.Println("kept: not set: plan changes and reservations end with the gateways' processes")
	} else {
		fmt.Printf("kept: %s and so on for each gateway\n", f.StateDir(0))
	}
}

func printMetrics(f *config.Fleet) {
	m := f.Metrics
	if !m.Enabled {
		fmt.Println("measures: not set: no metrics are sent to Prometheus")
		return
	}
	fmt.Printf("measures: every %v to %q, at most %d samples and about %d bytes wait\n",
		m.Interval, m.URL, m.MaxSamples, m.MaxBytes)
}

func printUsageSettings(f *config.Fleet) {
	e := f.UsageExport
	if e.URL == "" {
		fmt.Println("export: not set: usage is not exported")
		return
	}
	policies := map[outbox.Policy]string{
		outbox.PolicyReject: "refuse",
		outbox.PolicyServe:  "serve, uncovered",
	}
	fmt.Printf("export: to %s, durability %v, %d bytes of disk, unwritable: %s\n",
		e.URL, e.Durability, e.MaxLogBytes, policies[e.OnUnwritable])
}
