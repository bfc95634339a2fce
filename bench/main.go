// Command bench compares the gateway with a gateway that makes no decisions and with a relay built on
// coder/websocket. It measures all of them in one run, each in a separate process, and prints ratios. It is a
// separate module, so that the program does not depend on the libraries that it is compared with.
//
//	cd bench && go run .            default tables, takes some minutes
//	cd bench && go run . -quick     the same with shorter runs
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

var (
	quick = flag.Bool("quick", false, "use shorter runs")
	load  = flag.Float64("load", 0.5, "fraction of the gateway's highest rate at which latency is measured")
	only  = flag.String("only", "",
		"print only throughput, idle, growth, export, measures, recovery or outage; default: the first five")
	outageDuration = flag.Duration("for", 20*time.Second, "duration of the outage in the outage table")
	outageRate     = flag.Float64("rate", 5000, "calls per second in the outage table")
	maxAttempts    = flag.Int("tries", 1_000_000, "largest number of attempts in the recovery table")
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "child" {
		runMeasuredProcess(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	flag.Parse()
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// measure starts the servers and writes the settings that all tables share, and prints the requested tables.
func measure() error {
	warmup, duration := 2*time.Second, 8*time.Second
	if *quick {
		warmup, duration = time.Second, 2*time.Second
	}
	dir, err := os.MkdirTemp("", "winghatch-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var servers []string
	for range echoServers {
		addr, err := startEchoServer()
		if err != nil {
			return err
		}
		servers = append(servers, addr)
	}
	file, stop, err := writeSettings(dir, servers)
	if err != nil {
		return err
	}
	defer stop()
	if err := os.WriteFile(filepath.Join(dir, serverFile),
		[]byte(strings.Join(servers, "\n")), 0o600); err != nil {
		return err
	}
	fmt.Printf("%d cores, %s; clients and servers share them with what is measured\n\n",
		runtime.NumCPU(), runtime.Version())
	tables := []table{
		{"throughput", true, func() error {
			return measureThroughput(dir, file, servers[0], warmup, duration)
		}},
		{"idle", true, func() error { return measureIdleSessions(file) }},
		{"growth", true, func() error { return measureGrowth(file, warmup, duration) }},
		{"export", true, func() error { return measureUsageExport(dir, file, warmup, duration) }},
		{"measures", true, func() error { return measureMetrics(dir, file, warmup, duration) }},
		{"recovery", false, func() error { return measureRecovery(dir, *maxAttempts) }},
		{"outage", false, func() error { return measureOutage(dir, file, *outageRate, *outageDuration) }},
	}
	for _, t := range tables {
		if *only != t.name && (*only != "" || !t.byDefault) {
			continue
		}
		if err := t.measure(); err != nil {
			return fmt.Errorf("%s: %w", t.name, err)
		}
	}
	return nil
}

// table is one measurement, which prints a table.
type table struct {
	name      string
	byDefault bool // whether the table is printed without -only
	measure   func() error
}
