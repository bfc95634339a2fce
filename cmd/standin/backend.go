package main

import (
	"fmt"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/testbed/backend"
)

// tailShare is the fraction of the calls of a class to which --tail applies.
const tailShare = 0.02

// backendCmd is the sub-command backend.
type backendCmd struct {
	Listen     string             `required:"" help:"Listen address on loopback, host:port."`
	Config     string             `required:"" help:"Settings file; the server runs its classes."`
	Work       time.Duration      `default:"50ms" help:"Mean work of a call."`
	Cores      int                `default:"2"`
	Speed      float64            `default:"1" help:"Speed of a core."`
	Queue      int                `default:"64" help:"Largest number of waiting calls; more are rejected."`
	Zone       string             `help:"Zone of the server."`
	Slowdown   float64            `name:"slow" default:"1" help:"Factor on the duration of each call."`
	ErrorShare float64            `name:"errors" help:"Fraction of calls that fail at once."`
	Unanswered []string           `name:"mute" help:"Classes whose calls are run but not answered."`
	Tail       map[string]float64 `help:"CLASS=FACTOR on the work of one in 50 calls."`
}

// Run runs the server until SIGINT or SIGTERM.
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

// setFault sets the faults that the flags ask for.
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
