// Command bench measures the gateway against the same path without decisions and against a relay built on
// coder/websocket, in one run, each in a process of its own, and prints ratios. It is a module of its own, so
// that the program does not depend on what it is measured against.
//
//	cd bench && go run .            all tables, some minutes
//	cd bench && go run . -quick     the same with shorter runs
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"winghatch/internal/config"
	"winghatch/internal/credentials"
	discoveryws "winghatch/internal/discovery/websocket"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/testbed/discovery"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

const memberKey = "bench-key"

var (
	quick  = flag.Bool("quick", false, "shorter runs")
	load   = flag.Float64("load", 0.5, "part of the gateway's most at which added time is measured")
	only   = flag.String("only", "", "throughput, idle, growth, export, measures, recovery or outage; else the first five")
	spanOf = flag.Duration("for", 20*time.Second, "how long the receiver is down in the outage")
	rateOf = flag.Float64("rate", 5000, "calls a second in the outage")
	tries  = flag.Int("tries", 1_000_000, "most tries in the recovery table")
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "child" {
		child(os.Args[2], os.Args[3], os.Args[4])
		return
	}
	flag.Parse()
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// echo is a node that answers at once, so that what is measured is the way and not the work.
func echo() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go wsconn.Serve(ln, func(nc net.Conn) {
		l, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, nil, wsconn.Options{MaxQueue: 64 << 20, ReadBuffer: 16 << 10})
		if err != nil {
			return
		}
		for {
			data, err := l.Read()
			if err != nil {
				return
			}
			items, _, _ := jsonrpc.Parse(data, 1)
			for _, it := range items {
				if it.ID != "" {
					l.Send(jsonrpc.AppendResult(nil, it.ID, []byte(`{"units":1,"body":{"ok":true}}`)))
				}
			}
		}
	})
	return ln.Addr().String(), nil
}

// path is one way from clients to nodes: a process of its own, or none.
type path struct {
	name string
	addr string
	cmd  *exec.Cmd
	in   *bufio.Writer
	out  *bufio.Scanner
}

func free() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func start(name, file, profile string) (*path, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &path{name: name, cmd: exec.Command(exe, "child", name, file, profile)}
	p.cmd.Stderr = os.Stderr
	w, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	r, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.in, p.out = bufio.NewWriter(w), bufio.NewScanner(r)
	p.out.Buffer(nil, 1<<20)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if !p.out.Scan() {
		return nil, fmt.Errorf("%s does not start", name)
	}
	p.addr = p.out.Text()
	return p, nil
}

// usage is what a child tells of itself.
type usage struct {
	CPU   time.Duration
	Heap  uint64 // bytes in use after a collection, with stacks
	Share float64
	Sched time.Duration // 99th percentile of a ready goroutine's wait for a processor
	Pause time.Duration // and of the collector's pauses
}

func (p *path) ask() (u usage, err error) {
	if p.cmd == nil {
		return u, nil
	}
	fmt.Fprintln(p.in, "usage")
	p.in.Flush()
	if !p.out.Scan() {
		return u, fmt.Errorf("%s is gone", p.name)
	}
	return u, json.Unmarshal(p.out.Bytes(), &u)
}

func (p *path) stop() {
	if p.cmd != nil {
		fmt.Fprintln(p.in, "quit")
		p.in.Flush()
		p.cmd.Wait()
	}
}

// settings are the fleet of the measurement: no quota is reached and no cap.
func settings(dir string, nodes []string) (string, func(), error) {
	l, err := discovery.Start("127.0.0.1:0", 0, nil)
	if err != nil {
		return "", nil, err
	}
	var es []discoveryws.Endpoint
	for _, n := range nodes {
		es = append(es, discoveryws.Endpoint{Address: n, State: "serving"})
	}
	l.Replace(es)
	f, err := config.Parse("bench", []byte(`fleet bench {
		secret "`+strings.Repeat("0b", 32)+`"
		class look effect=safe { aim "10s"; deadline "20s" }
		plan big { rate "100000000/s"; burst 100000000 }
		limits { attempts 3; cancel #true; retry-after #true; connect-timeout "2s" }
		caps { open 1000000; session-open 100000; node-calls 100000; node-connections 2; queue "64MiB" }
		gateway listen="`+free()+`"
		member m plan=big { key "`+credentials.Digest{}.String()+`" }
	}`))
	if err != nil {
		return "", nil, err
	}
	f.Members[0].Keys[0] = f.Secret.MemberKeyHasher().Sum([]byte(memberKey))
	f.EndpointList = l.Addr()
	file := filepath.Join(dir, "fleet.kdl")
	return file, l.Stop, os.WriteFile(file, config.Format(f), 0o600)
}

// clients are sessions that keep calls open.
type clients struct {
	links []*wsconn.Conn

	hist *hdrhistogram.Histogram
	mu   sync.Mutex
	done atomic.Int64
	bad  atomic.Int64
	on   atomic.Bool
}

func dialAll(addr string, n int) (*clients, error) {
	c := &clients{hist: hdrhistogram.New(1, 60_000_000_000, 3)}
	c.links = make([]*wsconn.Conn, n)
	errs := make(chan error, n)
	gate := make(chan struct{}, 100)
	for i := range n {
		gate <- struct{}{}
		go func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var err error
			c.links[i], err = wsconn.Dial(ctx, addr, &websocket.Request{Host: addr, Path: "/", Protocol: "jsonrpc",
				Header: map[string]string{"Authorization": "Bearer " + memberKey}}, wsconn.Options{MaxQueue: 64 << 20})
			errs <- err
		}()
	}
	for range n {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *clients) close() {
	for _, l := range c.links {
		l.Abort()
	}
}

// call sends a call whose id is the moment from which its latency counts.
func (c *clients) call(l *wsconn.Conn, no int, at time.Time) {
	id := jsonrpc.ID(`"` + strconv.Itoa(no) + "." + strconv.FormatInt(at.UnixNano(), 10) + `"`)
	l.Send(jsonrpc.AppendCall(nil, id, "look", []byte(`{"units":1,"work":{"copies":3,"title":"A reader for the second year"}}`)))
}

// read takes answers; next sends the call that takes an answered one's place.
func (c *clients) read(i int, next func(l *wsconn.Conn, no int)) {
	l := c.links[i]
	for no := 1 << 20; ; no++ {
		data, err := l.Read()
		if err != nil {
			return
		}
		now := time.Now().UnixNano()
		items, _, _ := jsonrpc.Parse(data, 1)
		for _, it := range items {
			if it.Err != nil && c.on.Load() { // a rush at the start is shed until the core has seen answers
				c.bad.Add(1)
			}
			_, at, _ := strings.Cut(strings.Trim(string(it.ID), `"`), ".")
			v, _ := strconv.ParseInt(at, 10, 64)
			if c.on.Load() {
				c.done.Add(1)
				c.mu.Lock()
				c.hist.RecordValue(max(1, now-v))
				c.mu.Unlock()
			}
			if next != nil {
				next(l, no)
			}
		}
	}
}

// closed keeps outstanding calls open over all sessions and returns answers a second.
func (c *clients) closed(outstanding int, warm, span time.Duration) float64 {
	for i := range c.links {
		go c.read(i, func(l *wsconn.Conn, no int) { c.call(l, no, time.Now()) })
	}
	for k := range outstanding {
		c.call(c.links[k%len(c.links)], k, time.Now())
	}
	time.Sleep(warm)
	c.on.Store(true)
	began := time.Now()
	time.Sleep(span)
	c.on.Store(false)
	return float64(c.done.Load()) / time.Since(began).Seconds()
}

// open sends at a rate that waits for no answer; latency counts from when a call was due.
func (c *clients) open(rate float64, warm, span time.Duration) {
	for i := range c.links {
		go c.read(i, nil)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	due := time.Now()
	began := due
	for no := 0; time.Since(began) < warm+span; no++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if no&63 == 0 && time.Since(began) > warm {
			c.on.Store(true)
		}
		c.call(c.links[no%len(c.links)], no, due)
	}
	time.Sleep(200 * time.Millisecond)
	c.on.Store(false)
}

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
	var nodes []string
	for range 4 {
		n, err := echo()
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	file, stop, err := settings(dir, nodes)
	if err != nil {
		return err
	}
	defer stop()
	if err := os.WriteFile(filepath.Join(dir, "nodes"), []byte(strings.Join(nodes, "\n")), 0o600); err != nil {
		return err
	}
	fmt.Printf("%d cores, %s; clients and nodes share them with what is measured\n\n", runtime.NumCPU(), runtime.Version())
	for _, table := range []struct {
		name string
		f    func() error
	}{{"throughput", func() error { return throughput(dir, file, nodes[0], warm, span) }},
		{"idle", func() error { return idle(file) }}, {"growth", func() error { return growth(file, warm, span) }},
		{"export", func() error { return exports(dir, file, warm, span) }},
		{"measures", func() error { return measured(dir, file, warm, span) }},
		{"recovery", func() error { return recovery(dir, *tries) }},
		{"outage", func() error { return outage(dir, file, *rateOf, *spanOf) }}} {
		if *only == table.name || *only == "" && table.name != "recovery" && table.name != "outage" {
			if err := table.f(); err != nil {
				return err
			}
		}
	}
	return nil
}

var names = []string{"direct", "gateway", "plain", "relay"}

func open(name, dir, file, node string) (*path, error) {
	if name == "direct" {
		return &path{name: name, addr: node}, nil
	}
	return start(name, file, filepath.Join(dir, name+".prof"))
}

func throughput(dir, file, node string, warm, span time.Duration) error {
	const sessions, outstanding, rounds = 64, 512, 3
	rates, cpu, share := map[string]float64{}, map[string]time.Duration{}, 0.0
	for range rounds { // in turn, so that what the machine does meanwhile hits all alike
		for _, name := range names {
			p, err := open(name, dir, file, node)
			if err != nil {
				return err
			}
			c, err := dialAll(p.addr, sessions)
			if err != nil {
				return err
			}
			before, err := p.ask()
			if err != nil {
				return err
			}
			began := time.Now()
			rate := c.closed(outstanding, warm, span/rounds)
			took := time.Since(began)
			after, err := p.ask()
			if err != nil {
				return err
			}
			c.close()
			p.stop()
			if c.bad.Load() > 0 {
				return fmt.Errorf("%s: %d calls were not served", name, c.bad.Load())
			}
			rates[name] += rate / rounds
			cpu[name] += time.Duration(float64(after.CPU-before.CPU) / (rate * took.Seconds()) / rounds)
			if name == "gateway" {
				share = max(share, after.Share)
			}
		}
	}
	at := rates["gateway"] * *load
	fmt.Printf("calls a second, %d sessions, %d calls open; added time at %.0f calls a second, %.2f of the gateway's most\n\n", sessions,
		outstanding, at, *load)
	fmt.Println("| path | calls/s | to relay | CPU a call | p50 | p99 | p99.9 | added p50 | p99 | p99.9 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	quantiles := []float64{50, 99, 99.9}
	got, waits, pauses := map[string]map[float64][]int64{}, map[string][]int64{}, map[string][]int64{}
	for range rounds {
		for _, name := range names {
			p, err := open(name, dir, file, node)
			if err != nil {
				return err
			}
			c, err := dialAll(p.addr, sessions)
			if err != nil {
				return err
			}
			c.open(at, warm, span)
			u, err := p.ask()
			if err != nil {
				return err
			}
			c.close()
			p.stop()
			waits[name], pauses[name] = append(waits[name], int64(u.Sched)), append(pauses[name], int64(u.Pause))
			if got[name] == nil {
				got[name] = map[float64][]int64{}
			}
			for _, q := range quantiles {
				got[name][q] = append(got[name][q], c.hist.ValueAtQuantile(q))
			}
		}
	}
	for _, name := range names {
		fmt.Printf("| %s | %.0f | %.2f | %v |", name, rates[name], rates[name]/rates["relay"], cpu[name].Round(100*time.Nanosecond))
		added := ""
		for _, q := range quantiles { // of each the median round
			v, base := median(got[name][q]), median(got["direct"][q])
			fmt.Printf(" %v |", time.Duration(v).Round(time.Microsecond))
			added += fmt.Sprintf(" %v |", time.Duration(v-base).Round(time.Microsecond))
		}
		fmt.Println(added)
	}
	fmt.Println("\nwithin each process, p99 of a ready goroutine's wait for a processor, and of the collector's pauses:")
	for _, name := range names[1:] {
		fmt.Printf("  %-8s %v, %v\n", name, time.Duration(median(waits[name])), time.Duration(median(pauses[name])))
	}
	fmt.Printf("\nshare of the gateway's CPU in decide: %.1f%%\n\n", 100*share)
	return nil
}

func median(v []int64) int64 {
	slices.Sort(v)
	return v[len(v)/2]
}

func idle(file string) error {
	const sessions = 10000
	fmt.Printf("heap and stacks for each of %d idle sessions\n\n| path | bytes |\n| --- | --- |\n", sessions)
	for _, name := range []string{"gateway", "relay"} {
		p, err := start(name, file, "")
		if err != nil {
			return err
		}
		first, err := dialAll(p.addr, 10)
		if err != nil {
			return err
		}
		before, err := p.ask()
		if err != nil {
			return err
		}
		c, err := dialAll(p.addr, sessions)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		after, err := p.ask()
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

// growth measures the relay beside the gateway: what both lose as sessions grow is the sockets', not the decisions'.
func growth(file string, warm, span time.Duration) error {
	fmt.Printf("calls a second as sessions grow, 512 calls open\n\n| sessions | gateway | to the first | relay | to the first |\n| --- | --- | --- | --- | --- |\n")
	first := map[string]float64{}
	for _, n := range []int{10, 100, 1000, 10000} {
		row := fmt.Sprintf("| %d |", n)
		for _, name := range []string{"gateway", "relay"} {
			p, err := start(name, file, "")
			if err != nil {
				return err
			}
			c, err := dialAll(p.addr, n)
			if err != nil {
				return err
			}
			rate := c.closed(512, warm, span/2)
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
