package main

import (
	"fmt"
	"slices"
	"time"
)

// The load of the throughput table. Each path is measured in several rounds, in turn, so that what else the machine
// does meanwhile affects all of them alike.
const (
	throughputSessions = 64
	throughputOpen     = 512 // calls open at once over all sessions
	throughputRounds   = 3
)

// latencyQuantiles are the columns of the latency tables, in percent.
var latencyQuantiles = []float64{50, 99, 99.9}

// throughputResult is what one path is measured by.
type throughputResult struct {
	rate             float64       // calls a second, mean of the rounds
	cpuPerCall       time.Duration // mean of the rounds
	decideShare      float64       // largest share of the process's CPU in package decide
	quantiles        map[float64][]int64
	schedulingDelays []int64
	gcPauses         []int64
}

// measureThroughput prints the calls a second of each path, and the latency that each adds at a fraction of the
// gateway's highest rate.
func measureThroughput(dir, file, server string, warm, span time.Duration) error {
	results := map[string]*throughputResult{}
	for _, name := range paths {
		results[name] = &throughputResult{quantiles: map[float64][]int64{}}
	}
	for range throughputRounds {
		for _, name := range paths {
			if err := measureRate(results[name], name, dir, file, server, warm, span/throughputRounds); err != nil {
				return err
			}
		}
	}
	rate := results["gateway"].rate * *load
	for range throughputRounds {
		for _, name := range paths {
			if err := measureLatency(results[name], name, dir, file, server, rate, warm, span); err != nil {
				return err
			}
		}
	}
	printThroughput(results, rate)
	return nil
}

// connectPath starts a path and opens the sessions to it.
func connectPath(name, dir, file, server string) (*process, *clientPool, error) {
	p, err := startPath(name, dir, file, server)
	if err != nil {
		return nil, nil, err
	}
	c, err := dialAll(p.addr, throughputSessions)
	if err != nil {
		p.stop()
		return nil, nil, err
	}
	return p, c, nil
}

// measureRate adds one round of a closed loop to a path's result.
func measureRate(r *throughputResult, name, dir, file, server string, warm, span time.Duration) error {
	p, c, err := connectPath(name, dir, file, server)
	if err != nil {
		return err
	}
	defer p.stop()
	defer c.close()
	before, err := p.usage()
	if err != nil {
		return err
	}
	began := time.Now()
	rate := c.runClosedLoop(throughputOpen, warm, span)
	took := time.Since(began)
	after, err := p.usage()
	if err != nil {
		return err
	}
	if n := c.failed.Load(); n > 0 {
		return fmt.Errorf("%s: %d calls were not served", name, n)
	}
	r.rate += rate / throughputRounds
	r.cpuPerCall += time.Duration(float64(after.CPU-before.CPU) / (rate * took.Seconds()) / throughputRounds)
	r.decideShare = max(r.decideShare, after.DecideShare)
	return nil
}

// measureLatency adds one round of an open loop to a path's result.
func measureLatency(r *throughputResult, name, dir, file, server string, rate float64, warm, span time.Duration) error {
	p, c, err := connectPath(name, dir, file, server)
	if err != nil {
		return err
	}
	defer p.stop()
	defer c.close()
	c.runOpenLoop(rate, warm, span)
	u, err := p.usage()
	if err != nil {
		return err
	}
	r.schedulingDelays = append(r.schedulingDelays, int64(u.SchedulingDelay))
	r.gcPauses = append(r.gcPauses, int64(u.GCPause))
	for _, q := range latencyQuantiles {
		r.quantiles[q] = append(r.quantiles[q], c.latency.ValueAtQuantile(q))
	}
	return nil
}

func printThroughput(results map[string]*throughputResult, rate float64) {
	fmt.Printf("calls a second, %d sessions, %d calls open; "+
		"added time at %.0f calls a second, %.2f of the gateway's most\n\n",
		throughputSessions, throughputOpen, rate, *load)
	fmt.Println("| path | calls/s | to relay | CPU a call | p50 | p99 | p99.9 | added p50 | p99 | p99.9 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, name := range paths {
		r := results[name]
		fmt.Printf("| %s | %.0f | %.2f | %v |",
			name, r.rate, r.rate/results["relay"].rate, r.cpuPerCall.Round(100*time.Nanosecond))
		added := ""
		for _, q := range latencyQuantiles {
			latency, direct := median(r.quantiles[q]), median(results["direct"].quantiles[q])
			fmt.Printf(" %v |", time.Duration(latency).Round(time.Microsecond))
			added += fmt.Sprintf(" %v |", time.Duration(latency-direct).Round(time.Microsecond))
		}
		fmt.Println(added)
	}
	fmt.Println("\nwithin each process, p99 of a ready goroutine's wait for a processor, and of the collector's pauses:")
	for _, name := range paths[1:] {
		r := results[name]
		fmt.Printf("  %-8s %v, %v\n", name, time.Duration(median(r.schedulingDelays)), time.Duration(median(r.gcPauses)))
	}
	fmt.Printf("\nshare of the gateway's CPU in decide: %.1f%%\n\n", 100*results["gateway"].decideShare)
}

func median(v []int64) int64 {
	slices.Sort(v)
	return v[len(v)/2]
}
