package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// sendSteadily sends the requests of one connection of usual clients, one at a time and one in each interval, until
// stopped is set or the gateway has ended. customer returns the customer of the next request.
func sendSteadily(p *play, name string, g *gateway, interval time.Duration, spread int, customer func() string,
	stopped *atomic.Bool) {
	time.Sleep(rand.N(interval))
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var c *client
	for ; !stopped.Load() && !g.hasExited(); <-tick.C {
		if c == nil {
			var err error
			if c, err = dialClient(p, name, g.addr); err != nil {
				c = nil
				continue
			}
		}
		if c.exchange(newRequest(customer(), spread)) != nil {
			c = nil
		}
	}
	if c != nil {
		c.nc.Close()
	}
}
