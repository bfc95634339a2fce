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

// metricsCmd is the sub-command metrics.
type metricsCmd struct {
	Listen string   `required:"" help:"Listen address on loopback, host:port."`
	Show   []string `default:"${shown_metrics}" help:"Metrics whose series are summed and printed."`
	Status int      `help:"Respond with this status and store nothing; 0: store all."`
}

// Run receives metrics until SIGINT or SIGTERM.
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

// usageCmd is the sub-command usage.
type usageCmd struct {
	Listen     string        `required:"" help:"Listen address on loopback, host:port."`
	File       string        `required:"" help:"File in which to store the events."`
	Status     int           `help:"Respond with this status and store nothing; 0: store all."`
	RetryAfter string        `help:"Value of the Retry-After header sent with the status."`
	Delay      time.Duration `name:"slow" help:"Delay before each response."`
}

// Run receives usage until SIGINT or SIGTERM.
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

// printUsage prints the number of events and estimates, and the units of each member.
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
