package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// playCustomers: many customers come only once, for less than half of the time of a long day. The platform kills a
// gateway that goes over its memory limit. Without the disruption the same load comes from customers who return.
func playCustomers(p *play) (broken int, err error) {
	// Each figure is within what the pages state.
	const (
		gateways = 4   // "each of four gateways"
		rate     = 140 // "up to 140 requests a second"
		memoryMB = 32  // "32 to 192 MB"
		sockets  = 1024

		conns     = 28   // connections of clients to each gateway
		once      = 0.85 // share of the requests that come from a customer who sends one and no more
		returning = 400  // number of the other customers
		length    = 104 * time.Second
	)
	d, err := p.deploy(shape{gateways, 20, memoryMB, sockets}, always(60*time.Millisecond))
	if err != nil {
		return 0, err
	}
	customer := func() string {
		if p.trouble && rand.Float64() < once {
			return newCustomer()
		}
		return fmt.Sprintf("%016x", 1+rand.IntN(returning))
	}
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i, g := range d.gateways {
		for j := range conns {
			clients.Go(func() {
				sendSteadily(p, fmt.Sprintf("n%d-%d", i, j), g, time.Second*conns/rate, gateways, customer, &stopped)
			})
		}
	}
	broken, err = d.watch(length)
	stopped.Store(true)
	clients.Wait()
	asked := int64(gateways * rate * length.Seconds())
	p.rec.say("%d requests answered", p.answered.Load())
	if broken == 0 && err == nil && p.answered.Load() < asked*9/10 {
		err = fmt.Errorf("%d requests were answered in the whole time, the case wants %d", p.answered.Load(), asked)
	}
	return broken, err
}
