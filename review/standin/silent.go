package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// playSilent: beside some usual clients of a gateway, others connect by hundreds and say nothing. One that is
// turned away comes again at once. The platform kills a gateway that goes over its memory limit. Without the
// disruption there are only the usual clients.
func playSilent(p *play) (broken int, err error) {
	// Each figure is within what the pages state.
	const (
		memoryMB = 32  // "32 to 192 MB"
		sockets  = 256 // "256 to 1,024 descriptors"
		silent   = 300 // clients that "connect by hundreds and say nothing"

		usual    = 16 // connections of usual clients, under a third of the descriptors
		interval = 500 * time.Millisecond
		before   = 3 * time.Second // usual clients alone
		length   = 100 * time.Second
	)
	d, err := p.deploy(shape{2, 9, memoryMB, sockets}, always(60*time.Millisecond))
	if err != nil {
		return 0, err
	}
	g := d.gateways[0]
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i := range usual {
		customer := fmt.Sprintf("%016x", 100+i)
		clients.Go(func() {
			sendSteadily(p, fmt.Sprint("usual-", i), g, interval, 2, func() string { return customer }, &stopped)
		})
	}
	if broken, err = d.watch(before); broken > 0 || err != nil {
		return broken, err
	}
	var opened, ended atomic.Int64
	if p.trouble {
		p.rec.say("%d silent clients connect", silent)
		for range silent {
			clients.Go(func() { connectSilently(g, &opened, &ended, &stopped) })
		}
	}
	broken, err = d.watch(length)
	p.rec.say("silent clients: %d connections opened, %d ended by the gateway", opened.Load(), ended.Load())
	stopped.Store(true)
	clients.Wait()
	return broken, err
}

// connectSilently connects, says nothing and reads until the gateway ends the connection, again and again.
func connectSilently(g *gateway, opened, ended *atomic.Int64, stopped *atomic.Bool) {
	for !stopped.Load() && !g.hasExited() {
		nc, err := net.Dial("tcp", g.addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		opened.Add(1)
		nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		io.Copy(io.Discard, nc)
		nc.Close()
		ended.Add(1)
	}
}
