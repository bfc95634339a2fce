package main

import (
	"fmt"
	"slices"
	"time"
)

// These constants define the load of the throughput table. The paths are measured in turn in several rounds,
// so that other load on the machine affects all of them alike.
const (
	throughputSessions  = 64
	throughputOpenCalls = 512 // outstanding calls over all sessions
	throughputRounds    = 3
)

// latencyQuantiles lists the quantiles in the table, in percent.
var latencyQuantiles = []float64{50, 99, 99.9}

// throughputResult holds the measurements of one path.
type throughputResult struct {
	rate             float64             // calls per second, mean of the rounds
	cpuPerCall       time.Duration       // CPU time per call, mean of the rounds
	decideShare      float64             // largest fraction of the process's CPU time in package decide
	quantiles        map[float64][]int64 // latencies of the rounds in nanoseconds, by quantile
	schedulingDelays []int64             // processUsage.SchedulingDelay of the rounds, in nanoseconds
	gcPauses         []int64             // processUsage.GCPause of the rounds, in nanoseconds
}

// measureThroughput prints the calls per second of each path, and the latency that each path adds at a
// fraction of the gateway's highest rate.
func measureThroughput(dir, file, server string, warmup, duration time.Duration) error {
	results := map[string]*throughputResult{}
	for _, name := range paths {
		results[name] = &throughputResult{quantiles: map[float64][]int64{}}
	}
	for range throughputRounds {
		for _, name := range paths {
			if err := measureRate(results[name], name, dir, file, server, warmup,
				duration/throughputRounds); err != nil {
				return err
			}
		}
	}
	rate := results["gateway"].rate * *load
	for range throughputRounds {
		for _, name := range paths {
			if err := measureLatency(results[name], name, dir, file, server, rate, warmup,
				duration); err != nil {
				return err
			}
		}
	}
	printThroughput(results, rate)
	return nil
}

// connectPath starts a path and opens throughputSessions sessions to it.
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

// measureRate measures the highest rate of a path in one round and adds it to the result. It returns an error
// if a call has failed.
func measureRate(r *throughputResult, name, dir, file, server string, warmup, duration time.Duration) error {
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
	rate := c.runClosedLoop(throughputOpenCalls, warmup, duration)
	took := time.Since(began)
	after, err := p.usage()
	if err != nil {
		return err
	}
	if n := c.failed.Load(); n > 0 {
		return fmt.Errorf("%s: %d calls failed, want 0", name, n)
	}
	r.rate += rate / throughputRounds
	r.cpuPerCall += time.Duration(float64(after.CPU-before.CPU) / (rate * took.Seconds()) / throughputRounds)
	r.decideShare = max(r.decideShare, after.DecideShare)
	return nil
}

// measureLatency measures the latency of a path at the given rate in one round and adds it to the result.
func measureLatency(r *throughputResult, name, dir, file, server string, rate float64,
	warmup, duration time.Duration) error {
	p, c, err := connectPath(name, dir, file, server)
	if err != nil {
		return err
	}
	defer p.stop()
	defer c.close()
	c.runOpenLoop(rate, warmup, duration)
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

// printThroughput prints the results of all paths. rate is the rate at which the latencies were measured.
func printThroughput(results map[string]*throughputResult, rate float64) {
	fmt.Printf("calls a second, %d sessions, %d calls open; "+
		"added time at %.0f calls a second, %.2f of the gateway's most\n\n",
		throughputSessions, throughputOpenCalls, rate, *load)
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
		fmt.Printf("  %-8s %v, %v\n", name,
			time.Duration(median(r.schedulingDelays)), time.Duration(median(r.gcPauses)))
	}
	fmt.Printf("\nshare of the gateway's CPU in decide: %.1f%%\n\n", 100*results["gateway"].decideShare)
}

// median sorts values and returns the middle one.
func median(values []int64) int64 {
	slices.Sort(values)
	return values[len(values)/2]
}
