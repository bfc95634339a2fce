package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// process is one of the compared paths from clients to servers. The path "direct" has no process of its own,
// because its clients connect to a server; its cmd, stdin and stdout are nil.
type process struct {
	name   string         // one of paths
	addr   string         // address to which clients connect, host:port
	cmd    *exec.Cmd      // this program, started with the argument child
	stdin  *bufio.Writer  // commands to the process, one per line
	stdout *bufio.Scanner // its address and then its answers, one per line
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startProcess starts this program as a measured process with the settings in file. A CPU profile is recorded
// if profile is not empty.
func startProcess(name, file, profile string) (*process, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(exe, "child", name, file, profile)}
	p.cmd.Stderr = os.Stderr
	w, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	r, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.stdin, p.stdout = bufio.NewWriter(w), bufio.NewScanner(r)
	p.stdout.Buffer(nil, 1<<20)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if !p.stdout.Scan() {
		return nil, fmt.Errorf("%s: process ended before it printed its address", name)
	}
	p.addr = p.stdout.Text()
	return p, nil
}

// processUsage is the resource usage that a measured process reports, as JSON.
type processUsage struct {
	CPU             time.Duration // user and system time since the start
	Heap            uint64        // bytes of heap and stacks, after a garbage collection unless profiled
	DecideShare     float64       // fraction of the CPU time spent in package decide
	SchedulingDelay time.Duration // 99th percentile of a ready goroutine's wait for a processor
	GCPause         time.Duration // 99th percentile of the pauses of the garbage collector
}

// usage asks the process for its usage. The usage of a path without a process is zero.
func (p *process) usage() (u processUsage, err error) {
	if p.cmd == nil {
		return u, nil
	}
	fmt.Fprintln(p.stdin, "usage")
	p.stdin.Flush()
	if !p.stdout.Scan() {
		return u, fmt.Errorf("%s: process ended before it reported its usage", p.name)
	}
	return u, json.Unmarshal(p.stdout.Bytes(), &u)
}

// stop ends the process and waits for it.
func (p *process) stop() {
	if p.cmd != nil {
		fmt.Fprintln(p.stdin, "quit")
		p.stdin.Flush()
		p.cmd.Wait()
	}
}

// paths lists the compared paths from clients to servers: a direct connection, the gateway, the gateway with
// a core that makes no decisions, and the relay.
var paths = []string{"direct", "gateway", "plain", "relay"}

// startPath starts the path with the given name and records a CPU profile.
func startPath(name, dir, file, server string) (*process, error) {
	if name == "direct" {
		return &process{name: name, addr: server}, nil
	}
	return startProcess(name, file, filepath.Join(dir, name+".prof"))
}
