package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"github.com/google/pprof/profile"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/gateway"
	"winghatch/internal/jsonrpc"
)

// child is a measured process: it prints its address, then answers "usage" and "quit" on its input.
func child(name, file, prof string) {
	f, err := config.Load(file)
	if err != nil {
		fatal(err)
	}
	addr := f.Gateways[0].Listen
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(400) // as `winghatch gateway` does; the relay too
	}
	switch name {
	case "gateway", "plain":
		o := gateway.Options{Seed: 1, Log: slog.New(slog.DiscardHandler)}
		if name == "plain" {
			o.Core = &plain{}
		}
		g, err := gateway.Start(f, o)
		if err != nil {
			fatal(err)
		}
		for len(g.State().Core.Servers) < 4 {
			time.Sleep(time.Millisecond)
		}
	case "relay":
		raw, err := os.ReadFile(filepath.Join(filepath.Dir(file), "nodes"))
		if err != nil {
			fatal(err)
		}
		r := &relay{nodes: strings.Fields(string(raw))}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		addr = ln.Addr().String()
		go http.Serve(ln, http.HandlerFunc(r.serve))
	}
	var p bytes.Buffer
	if prof != "" {
		pprof.StartCPUProfile(&p)
	}
	fmt.Println(addr)
	in := bufio.NewScanner(os.Stdin)
	for asked := 0; in.Scan() && in.Text() == "usage"; asked++ {
		u := usage{CPU: cpuTime()}
		if prof == "" {
			runtime.GC()
			runtime.GC()
		} else if asked > 0 {
			pprof.StopCPUProfile()
			if os.Getenv("KEEP_PROFILE") != "" {
				os.WriteFile(os.Getenv("KEEP_PROFILE")+name, p.Bytes(), 0o600)
			}
			u.Share = share(&p)
		}
		u.Sched, u.Pause = tail("/sched/latencies:seconds"), tail("/sched/pauses/total/gc:seconds")
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		u.Heap = m.HeapInuse + m.StackInuse
		raw, _ := json.Marshal(u)
		fmt.Println(string(raw))
	}
}

// tail is the 99th percentile of one of the runtime's own histograms since the start.
func tail(name string) time.Duration {
	m := []metrics.Sample{{Name: name}}
	metrics.Read(m)
	if m[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := m[0].Value.Float64Histogram()
	all := uint64(0)
	for _, n := range h.Counts {
		all += n
	}
	sum := uint64(0)
	for i, n := range h.Counts {
		if sum += n; float64(sum) >= 0.99*float64(all) {
			if b := h.Buckets[i+1]; !math.IsInf(b, 1) {
				return time.Duration(b * float64(time.Second))
			}
			return time.Duration(h.Buckets[i] * float64(time.Second))
		}
	}
	return 0
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// share is the part of a CPU profile's samples that are in package decide.
func share(raw *bytes.Buffer) float64 {
	p, err := profile.Parse(raw)
	if err != nil {
		return 0
	}
	in, all := int64(0), int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		all += v
	stack:
		for _, l := range s.Location {
			for _, line := range l.Line {
				if line.Function != nil && strings.HasPrefix(line.Function.Name, "winghatch/decide.") {
					in += v
					break stack
				}
			}
		}
	}
	return float64(in) / float64(max(all, 1))
}

// plain is a core that decides nothing: every call goes to the next server, every end is final.
type plain struct {
	servers []string
	n       int
}

func (c *plain) Handle(now time.Duration, ev decide.Event) []decide.Action {
	switch e := ev.(type) {
	case decide.EndpointUpdate:
		c.servers = nil
		for _, s := range e.Servers {
			c.servers = append(c.servers, s.ID)
		}
	case decide.Request:
		c.n++
		return []decide.Action{decide.Send{ID: e.ID, Server: c.servers[c.n%len(c.servers)]}}
	case decide.AttemptEnded:
		if !e.RequestDone {
			return []decide.Action{decide.Fail{ID: e.ID}}
		}
	}
	return nil
}

func (c *plain) Status() decide.Status {
	return decide.Status{Servers: make([]decide.ServerStatus, len(c.servers))}
}

// relay passes calls on as a program on coder/websocket would: the same JSON-RPC, ids mapped, two connections
// to each node, no quota and no choice but the next node.
type relay struct {
	nodes []string
	mu    sync.Mutex
	conns []*relayConn
	n     atomic.Uint64
}

type relayConn struct {
	ws    *websocket.Conn
	out   chan []byte
	mu    sync.Mutex
	calls map[uint64]relayCall
	next  uint64
}

type relayCall struct {
	out chan []byte
	id  jsonrpc.ID
}

func pump(c *websocket.Conn, out chan []byte) {
	for data := range out {
		if c.Write(context.Background(), websocket.MessageText, data) != nil {
			return
		}
	}
}

func (r *relay) pick() (*relayConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		for range 2 {
			for _, n := range r.nodes {
				c, _, err := websocket.Dial(context.Background(), "ws://"+n+"/", &websocket.DialOptions{Subprotocols: []string{"jsonrpc"}})
				if err != nil {
					return nil, err
				}
				k := &relayConn{ws: c, out: make(chan []byte, 4096), calls: map[uint64]relayCall{}}
				go pump(c, k.out)
				go k.read()
				r.conns = append(r.conns, k)
			}
		}
	}
	return r.conns[r.n.Add(1)%uint64(len(r.conns))], nil
}

func (k *relayConn) read() {
	for {
		_, data, err := k.ws.Read(context.Background())
		if err != nil {
			return
		}
		items, _, _ := jsonrpc.Parse(data, 1)
		for _, it := range items {
			id, _ := strconv.ParseUint(string(it.ID), 10, 64)
			k.mu.Lock()
			c, ok := k.calls[id]
			delete(k.calls, id)
			k.mu.Unlock()
			if ok {
				c.out <- jsonrpc.AppendResult(nil, c.id, it.Result)
			}
		}
	}
}

func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	c, err := websocket.Accept(w, req, &websocket.AcceptOptions{Subprotocols: []string{"jsonrpc"}})
	if err != nil {
		return
	}
	defer c.CloseNow()
	out := make(chan []byte, 4096)
	go pump(c, out)
	for {
		_, data, err := c.Read(context.Background())
		if err != nil {
			return
		}
		items, _, _ := jsonrpc.Parse(data, 1)
		for _, it := range items {
			k, err := r.pick()
			if err != nil {
				return
			}
			k.mu.Lock()
			k.next++
			id := k.next
			k.calls[id] = relayCall{out, it.ID}
			k.mu.Unlock()
			k.out <- jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.FormatUint(id, 10)), it.Method, it.Params)
		}
	}
}
