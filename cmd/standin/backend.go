package main

import (
	"fmt"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/backend"
)

// tailShare is the share of calls that --tail hits.
const tailShare = 0.02

type backendCmd struct {
	Listen     string             `required:"" help:"host:port on loopback."`
	Config     string             `required:"" help:"The fleet's settings; the server runs their classes."`
	Work       time.Duration      `default:"50ms" help:"Mean work of a call."`
	Cores      int                `default:"2"`
	Speed      float64            `default:"1" help:"Of a core."`
	Queue      int                `default:"64" help:"Calls that may wait; more are rejected."`
	Zone       string             `help:"Zone of the server."`
	Slowdown   float64            `name:"slow" default:"1" help:"Times slower than it should be."`
	ErrorShare float64            `name:"errors" help:"Share of calls that fail at once."`
	Unanswered []string           `name:"mute" help:"Classes that are run and never answered."`
	Tail       map[string]float64 `help:"CLASS=FACTOR: one of 50 calls of the class costs so many times the usual."`
}

// Run runs the server until the program is interrupted.
func (c *backendCmd) Run() error {
	fleet, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	o := backend.Options{
		Address: c.Listen,
		Zone:    c.Zone,
		Cores:   c.Cores,
		Speed:   c.Speed,
		Queue:   c.Queue,
		Classes: map[string]backend.Class{},
		Seed:    uint64(time.Now().UnixNano()),
	}
	for _, class := range fleet.Decide.Classes {
		o.Classes[class.Name] = backend.Class{
			MeanWork:     c.Work,
			Deduplicates: class.DedupWindow > 0,
			DedupWindow:  class.DedupWindow,
		}
	}
	server, err := backend.Start(o)
	if err != nil {
		return err
	}
	defer server.Stop()
	server.SetFault(c.setFault)
	fmt.Println("server listens on", server.Addr())
	waitForInterrupt()
	return nil
}

func (c *backendCmd) setFault(f *backend.Fault) {
	f.Slowdown = c.Slowdown
	f.ErrorShare = c.ErrorShare
	f.TailFactor = c.Tail
	f.TailShare = tailShare
	f.UnansweredClasses = map[string]bool{}
	for _, class := range c.Unanswered {
		f.UnansweredClasses[class] = true
	}
}
