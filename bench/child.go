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

// gcPercent is that of `winghatch gateway`, for the relay too.
const gcPercent = 400

// runMeasuredProcess is the main function of a measured process: it prints its address, then answers each line "usage"
// on its input, and ends at any other line.
func runMeasuredProcess(name, file, prof string) {
	f, err := config.Load(file)
	if err != nil {
		fatal(err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	addr, err := startMeasured(name, file, f)
	if err != nil {
		fatal(err)
	}
	var p bytes.Buffer
	if prof != "" {
		pprof.StartCPUProfile(&p)
	}
	fmt.Println(addr)
	in := bufio.NewScanner(os.Stdin)
	for asked := 0; in.Scan() && in.Text() == "usage"; asked++ {
		u := processUsage{CPU: cpuTime()}
		if prof == "" {
			// The second collection frees what finalizers of the first released.
			runtime.GC()
			runtime.GC()
		} else if asked > 0 {
			pprof.StopCPUProfile()
			keepProfile(name, p.Bytes())
			u.DecideShare = decideShare(&p)
		}
		u.readRuntime()
		raw, err := json.Marshal(u)
		if err != nil {
			fatal(err)
		}
		fmt.Println(string(raw))
	}
}

// startMeasured starts the path of that name and returns its address.
func startMeasured(name, file string, f *config.Fleet) (addr string, err error) {
	if name == "relay" {
		return startRelay(file)
	}
	o := gateway.Options{Seed: 1, Log: slog.New(slog.DiscardHandler)}
	if name == "plain" {
		o.Core = &passthroughCore{}
	}
	g, err := gateway.Start(f, o)
	if err != nil {
		return "", err
	}
	for len(g.State().Core.Servers) < echoServers {
		time.Sleep(time.Millisecond)
	}
	return f.Gateways[0].Listen, nil
}

// startRelay starts the relay to the servers that are listed beside the settings.
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

// keepProfile writes a CPU profile where the environment asks for it.
func keepProfile(name string, profile []byte) {
	prefix := os.Getenv("KEEP_PROFILE")
	if prefix == "" {
		return
	}
	if err := os.WriteFile(prefix+name, profile, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
	}
}

// readRuntime reads what the runtime reports of this process.
func (u *processUsage) readRuntime() {
	u.SchedulingDelay = runtimeP99("/sched/latencies:seconds")
	u.GCPause = runtimeP99("/sched/pauses/total/gc:seconds")
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap = m.HeapInuse + m.StackInuse
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
