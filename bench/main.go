// Command bench measures the gateway against the same path without decisions and against a relay built on
// coder/websocket, in one run, each in a process of its own, and prints ratios. It is a module of its own, so
// that the program does not depend on what it is measured against.
//
//	cd bench && go run .            all tables, some minutes
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
	quick = flag.Bool("quick", false, "shorter runs")
	load  = flag.Float64("load", 0.5, "fraction of the gateway's highest rate at which added time is measured")
	only  = flag.String("only", "",
		"throughput, idle, growth, export, measures, recovery or outage; else the first five")
	outageDuration = flag.Duration("for", 20*time.Second, "how long the receiver is down in the outage")
	outageRate     = flag.Float64("rate", 5000, "calls a second in the outage")
	maxAttempts    = flag.Int("tries", 1_000_000, "most tries in the recovery table")
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

// measure prepares servers and settings that all tables share and prints the tables asked for.
func measure() error {
	warm, span := 2*time.Second, 8*time.Second
	if *quick {
		warm, span = time.Second, 2*time.Second
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
	if err := os.WriteFile(filepath.Join(dir, serverFile), []byte(strings.Join(servers, "\n")), 0o600); err != nil {
		return err
	}
	fmt.Printf("%d cores, %s; clients and servers share them with what is measured\n\n",
		runtime.NumCPU(), runtime.Version())
	tables := []table{
		{"throughput", true, func() error { return measureThroughput(dir, file, servers[0], warm, span) }},
		{"idle", true, func() error { return measureIdleSessions(file) }},
		{"growth", true, func() error { return measureGrowth(file, warm, span) }},
		{"export", true, func() error { return measureUsageExport(dir, file, warm, span) }},
		{"measures", true, func() error { return measureMetrics(dir, file, warm, span) }},
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

// table is one measurement and what it prints.
type table struct {
	name      string
	byDefault bool // without -only
	measure   func() error
}
