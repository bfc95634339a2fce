package main

import (
	"encoding/json"
	"fmt"
	"time"

	"winghatch/internal/testbed/metricsreceiver"
	"winghatch/internal/testbed/usagereceiver"
	"winghatch/internal/usage/outbox"
)

// shownMetrics are the metrics that are printed by default.
var shownMetrics = []string{"winghatch_calls_total", "winghatch_refusals_total", "winghatch_attempts_total"}

type metricsCmd struct {
	Listen string   `required:"" help:"host:port on loopback."`
	Show   []string `default:"${shown_metrics}" help:"Metrics of which all series are summed."`
	Status int      `help:"Answer with this status and keep nothing; 0: keep all."`
}

// Run receives metrics until the program is interrupted.
func (c *metricsCmd) Run() error {
	receiver, err := metricsreceiver.Start(c.Listen)
	if err != nil {
		return err
	}
	defer receiver.Stop()
	receiver.SetFault(func(f *metricsreceiver.Fault) { f.Status = c.Status })
	fmt.Printf("receives writes at %s; all series at http://%s/series\n", receiver.URL(), receiver.Addr())
	ctx, stop := interruptible()
	defer stop()
	eachSecond(ctx, func() {
		line := fmt.Sprintf("series %d", len(receiver.Names()))
		for _, metric := range c.Show {
			line += fmt.Sprintf(", %s %v", metric, receiver.Sum(metric))
		}
		fmt.Println(line)
	})
	return nil
}

type usageCmd struct {
	Listen     string        `required:"" help:"host:port on loopback."`
	File       string        `required:"" help:"Keeps the events."`
	Status     int           `help:"Answer with this status and keep nothing; 0: keep all."`
	RetryAfter string        `help:"Header field beside the status."`
	Delay      time.Duration `name:"slow" help:"Delay before each answer."`
}

// Run receives usage until the program is interrupted.
func (c *usageCmd) Run() error {
	receiver, err := usagereceiver.Start(c.Listen, c.File)
	if err != nil {
		return err
	}
	defer receiver.Stop()
	receiver.SetFault(func(f *usagereceiver.Fault) {
		f.Status = c.Status
		f.RetryAfter = c.RetryAfter
		f.Delay = c.Delay
	})
	fmt.Println("receives batches at", receiver.URL())
	ctx, stop := interruptible()
	defer stop()
	eachSecond(ctx, func() { printUsage(receiver.Events()) })
	return nil
}

// printUsage prints the units of each member.
func printUsage(events []usagereceiver.Event) {
	units := map[string]float64{}
	estimated := 0
	for _, e := range events {
		var data outbox.UsageData
		if e.Type != outbox.TypeUsage || json.Unmarshal(e.Data, &data) != nil {
			continue
		}
		units[data.Member] += data.Units
		if data.Estimated {
			estimated++
		}
	}
	fmt.Printf("events %d, estimated %d, units %v\n", len(events), estimated, units)
}
