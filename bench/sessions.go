package main

import (
	"fmt"
	"time"
)

// measureIdleSessions prints the memory that an idle session takes, from a process's usage before and after many.
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

// growthOpen is how many calls are open at once over all sessions while sessions grow.
const growthOpen = 512

// measureGrowth measures the relay beside the gateway: what both lose as sessions grow is the sockets', not the
// decisions'.
func measureGrowth(file string, warm, span time.Duration) error {
	fmt.Printf("calls a second as sessions grow, %d calls open\n\n"+
		"| sessions | gateway | to the first | relay | to the first |\n| --- | --- | --- | --- | --- |\n", growthOpen)
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
			rate := c.runClosedLoop(growthOpen, warm, span/2)
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
