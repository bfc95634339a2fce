package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"time"

	"winghatch/internal/config"
	"winghatch/internal/gateway"
)

// gcPercent is the setting of `winghatch gateway`. The relay uses it too, so that both are comparable.
const gcPercent = 400

// runMeasuredProcess is the main function of a measured process. It prints its address, prints its usage for
// each line "usage" on its input, and ends at any other line. If prof is not empty, it records a CPU profile
// until the second line "usage", and adds the share of package decide to that usage.
func runMeasuredProcess(name, file, prof string) {
	settings, err := config.Load(file)
	if err != nil {
		fatal(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	addr, err := startMeasured(name, file, settings)
	if err != nil {
		fatal(err)
	}
	var profile bytes.Buffer
	if prof != "" {
		pprof.StartCPUProfile(&profile)
	}
	fmt.Println(addr)
	in := bufio.NewScanner(os.Stdin)
	for requests := 0; in.Scan() && in.Text() == "usage"; requests++ {
		usage := processUsage{CPU: cpuTime()}
		if prof == "" {
			// The second collection frees the memory that finalizers released after the first one.
			runtime.GC()
			runtime.GC()
		} else if requests > 0 {
			pprof.StopCPUProfile()
			keepProfile(name, profile.Bytes())
			usage.DecideShare = decideShare(&profile)
		}
		usage.readRuntime()
		raw, err := json.Marshal(usage)
		if err != nil {
			fatal(err)
		}
		fmt.Println(string(raw))
	}
}

// startMeasured starts the path with the given name and returns its address. A gateway is ready once it knows
// all servers.
func startMeasured(name, file string, settings *config.Fleet) (addr string, err error) {
	if name == "relay" {
		return startRelay(file)
	}
	o := gateway.Options{Seed: 1, Log: slog.New(slog.DiscardHandler)}
	if name == "plain" {
		o.Core = &passthroughCore{}
	}
	g, err := gateway.Start(settings, o)
	if err != nil {
		return "", err
	}
	for len(g.State().Core.Servers) < echoServers {
		time.Sleep(time.Millisecond)
	}
	return settings.Gateways[0].Listen, nil
}

// startRelay starts the relay to the servers listed in serverFile in the directory of the settings.
func startRelay(file string) (addr string, err error) {
	raw, err := os.ReadFile(filepath.Join(filepath.Dir(file), serverFile))
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &relay{servers: strings.Fields(string(raw))}
	go http.Serve(ln, http.HandlerFunc(r.serve)) // ends with the process
	return ln.Addr().String(), nil
}

// keepProfile writes a CPU profile to the path prefix in the environment variable KEEP_PROFILE, if it is set.
func keepProfile(name string, profile []byte) {
	prefix := os.Getenv("KEEP_PROFILE")
	if prefix == "" {
		return
	}
	if err := os.WriteFile(prefix+name, profile, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
	}
}

// readRuntime sets the fields that the Go runtime reports for this process.
func (u *processUsage) readRuntime() {
	u.SchedulingDelay = runtimeP99("/sched/latencies:seconds")
	u.GCPause = runtimeP99("/sched/pauses/total/gc:seconds")
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap = m.HeapInuse + m.StackInuse
}

// fatal prints err and ends the process with exit code 1.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
