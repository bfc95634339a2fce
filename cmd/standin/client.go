package main

import (
	"context"
	"fmt"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/client"
)

// retryDelay is the delay before a retry, unless the gateway asks for a longer one.
const retryDelay = 100 * time.Millisecond

// clientCmd is the sub-command client.
type clientCmd struct {
	Config   string            `required:"" help:"Settings file of the fleet."`
	Key      map[string]string `required:"" help:"MEMBER=KEY, for each member that sends requests."`
	Rate     float64           `default:"20" help:"Requests per second."`
	Retries  int               `default:"2"`
	MaxUnits int               `name:"units" default:"1" help:"Largest number of units of a request."`
	For      time.Duration     `help:"Stop after this; 0: when interrupted."`
}

// Run sends requests until SIGINT or SIGTERM, or until the time in --for is over.
func (c *clientCmd) Run() error {
	fleet, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	options, err := c.options(fleet)
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	load := client.New(options)
	defer load.Close()
	go eachSecond(ctx, func() { printStats(load.Stats()) }) // until the context ends
	load.Run(ctx)
	return nil
}

// options returns the options of the client. Each class gets the same share of the requests. It returns an
// error if a key belongs to a member that the settings do not contain.
func (c *clientCmd) options(fleet *config.Fleet) (client.Options, error) {
	o := client.Options{
		Rate:       c.Rate,
		Retries:    c.Retries,
		RetryDelay: retryDelay,
		Seed:       uint64(time.Now().UnixNano()),
	}
	for _, g := range fleet.Gateways {
		o.Gateways = append(o.Gateways, g.Listen)
	}
	for _, class := range fleet.Decide.Classes {
		o.Classes = append(o.Classes, client.Class{
			Name:             class.Name,
			Share:            1 / float64(len(fleet.Decide.Classes)),
			Idempotency:      class.Idempotency,
			DedupScope:       class.DedupScope,
			DedupWindow:      class.DedupWindow,
			LatencyObjective: class.LatencyObjective,
			Deadline:         class.Deadline,
			MaxUnits:         c.MaxUnits,
		})
	}
	for _, m := range fleet.Members {
		if key := c.Key[m.Name]; key != "" {
			o.Members = append(o.Members, client.Member{Name: m.Name, Key: key,
				FirstGateway: m.First, GatewayCount: m.Spread})
		}
	}
	if len(o.Members) != len(c.Key) {
		return o, fmt.Errorf("--key: %d members, of which %d are in the settings, want all",
			len(c.Key), len(o.Members))
	}
	return o, nil
}

// printStats prints one line with the totals so far.
func printStats(s client.Stats) {
	fmt.Printf(
		"requests %d  served %d  rejected %d %v  failed %d  lost %d  unreachable %d  p50 %dus  p99 %dus\n",
		s.Requests, s.Served, s.Rejected, s.Reasons, s.Failed, s.Lost, s.Unreachable,
		s.Latency.ValueAtQuantile(50), s.Latency.ValueAtQuantile(99))
}
