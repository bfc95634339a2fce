package main

import (
	"fmt"
	"time"
)

// measureIdleSessions prints the memory that an idle session takes. It is computed from the usage of a
// process before and after many sessions are opened.
func measureIdleSessions(file string) error {
	const sessions = 10000
	fmt.Printf("heap and stacks for each of %d idle sessions\n\n| path | bytes |\n| --- | --- |\n", sessions)
	for _, name := range []string{"gateway", "relay"} {
		p, err := startProcess(name, file, "")
		if err != nil {
			return err
		}
		first, err := dialAll(p.addr, 10)
		if err != nil {
			return err
		}
		before, err := p.usage()
		if err != nil {
			return err
		}
		c, err := dialAll(p.addr, sessions)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		after, err := p.usage()
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %d |\n", name, (after.Heap-before.Heap)/sessions)
		c.close()
		first.close()
		p.stop()
	}
	fmt.Println()
	return nil
}

// growthOpenCalls is the number of outstanding calls over all sessions, for any number of sessions.
const growthOpenCalls = 512

// measureGrowth prints the calls per second for growing numbers of sessions. It measures the relay as well as
// the gateway: a loss that both have is caused by the sockets and not by the decisions.
func measureGrowth(file string, warmup, duration time.Duration) error {
	fmt.Printf("calls a second as sessions grow, %d calls open\n\n"+
		"| sessions | gateway | to the first | relay | to the first |\n| --- | --- | --- | --- | --- |\n",
		growthOpenCalls)
	first := map[string]float64{}
	for _, n := range []int{10, 100, 1000, 10000} {
		row := fmt.Sprintf("| %d |", n)
		for _, name := range []string{"gateway", "relay"} {
			p, err := startProcess(name, file, "")
			if err != nil {
				return err
			}
			c, err := dialAll(p.addr, n)
			if err != nil {
				return err
			}
			rate := c.runClosedLoop(growthOpenCalls, warmup, duration/2)
			c.close()
			p.stop()
			if first[name] == 0 {
				first[name] = rate
			}
			row += fmt.Sprintf(" %.0f | %.2f |", rate, rate/first[name])
		}
		fmt.Println(row)
	}
	return nil
}
