// Package node is an emulated order node: cores, a queue, work that takes time, a cold start and falling over,
// repeats dropped within a window, and every trouble that a day may bring it. It speaks JSON-RPC over
// WebSocket as the gateway's nodes do.
package backend

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"winghatch/internal/invariant"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/wsconn"
)

// Class says how a node treats a class of work.
type Class struct {
	Work   time.Duration // mean, of a core of speed 1
	Keyed  bool
	Window time.Duration // repeats of a key are dropped so long
}

// Options describe a node.
type Options struct {
	Addr    string // host:port; port 0 lets the kernel choose
	Zone    string
	Cell    int
	Cores   int
	Speed   float64 // of a core
	Queue   int     // waiting calls; more are turned away
	Classes map[string]Class
	// A cold start: capacity grows from From to all within For; sent more than Multiple times its capacity
	// of the moment for Window, the node falls over. From 0 or 1: warm.
	From         float64
	For          time.Duration
	FallMultiple float64
	FallWindow   time.Duration
	Seed         uint64
	Log          *invariant.Log
	Memory       *Memory // shared by the nodes of a group; nil: its own
	Meter        *Meter  // shared by all nodes; nil: answers tell nothing of it
}

// Memory is what the nodes of a group know of keys.
type Memory struct {
	mu      sync.Mutex
	seen    map[string]time.Time
	sweep   int           // at so many keys the old ones are dropped
	longest time.Duration // window of a class
}

// NewMemory returns an empty one.
func NewMemory() *Memory { return &Memory{seen: map[string]time.Time{}, sweep: 1024} }

// repeat reports whether the key was taken within the window, and takes it if not.
func (m *Memory) repeat(key string, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if at, ok := m.seen[key]; ok && now.Sub(at) < window {
		return true
	}
	m.seen[key] = now
	m.longest = max(m.longest, window)
	if len(m.seen) >= m.sweep {
		for k, at := range m.seen {
			if now.Sub(at) >= m.longest {
				delete(m.seen, k)
			}
		}
		m.sweep = 2*len(m.seen) + 1024
	}
	return false
}

// Trouble is what is wrong with a node; the zero value is nothing.
type Trouble struct {
	Slow      float64         // times slower; 0 or 1: not
	Errors    float64         // share that fails quickly
	Mute      map[string]bool // classes that are run but never answered
	Silent    bool            // takes everything, does and answers nothing
	Tail      map[string]float64
	NoReport  bool    // answers tell nothing of its load
	TailShare float64 // share of a class in Tail that costs its factor
}

// Node is a running one.
type Node struct {
	o    Options
	ln   net.Listener
	addr string

	mu      sync.Mutex
	trouble Trouble
	rng     *rand.Rand
	queue   []*job
	running int
	ran     int
	started time.Time
	fallen  bool
	closed  bool
	sent    []load // of the last window, for falling over
	conns   map[net.Conn]*conn
	rate    float64 // answers a second, faded
	rateAt  time.Time
	took    float64 // usual service time, ms
}

type load struct {
	at   time.Time
	work time.Duration
}

type conn struct {
	n    *Node
	link *wsconn.Conn
	jobs map[string]*job // by JSON-RPC id
}

type job struct {
	c       *conn
	id      jsonrpc.ID
	p       params
	class   string
	work    time.Duration
	told    float64 // units of its answer
	dropped bool    // withdrawn while it waited
	gone    bool
}

type params struct {
	Request string  `json:"request"`
	Attempt int     `json:"attempt"`
	Member  string  `json:"member"`
	Key     string  `json:"key"`
	Units   float64 `json:"units"`
	Timeout float64 `json:"timeout_ms"`
	Work    struct {
		Try   string  `json:"try"`
		Units float64 `json:"true_units"`
		Cost  float64 `json:"cost"` // times the usual work
	} `json:"work"`
}

// Start runs a node until Stop.
func Start(o Options) (*Node, error) {
	ln, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, err
	}
	if o.Memory == nil {
		o.Memory = NewMemory()
	}
	if o.Log == nil {
		o.Log = invariant.Discard()
	}
	n := &Node{o: o, ln: ln, addr: ln.Addr().String(), rng: rand.New(rand.NewPCG(o.Seed, 1)), started: time.Now(),
		conns: map[net.Conn]*conn{}, rateAt: time.Now()}
	if n.cold() {
		o.Log.Add(invariant.Record{K: invariant.Cold, Node: n.addr, Capacity: n.capacity(), From: o.From, For: o.For})
	}
	go wsconn.Listen(ln, n.conn)
	return n, nil
}

// Addr is where it listens.
func (n *Node) Addr() string { return n.addr }

func (n *Node) cold() bool { return n.o.From > 0 && n.o.From < 1 && n.o.For > 0 }

func (n *Node) capacity() float64 { return float64(n.o.Cores) * n.o.Speed }

// ramp is the part of its capacity that the node has by now.
func (n *Node) ramp(now time.Time) float64 {
	if !n.cold() {
		return 1
	}
	return min(1, n.o.From+(1-n.o.From)*now.Sub(n.started).Seconds()/n.o.For.Seconds())
}

// Set changes what is wrong with it.
func (n *Node) Set(f func(*Trouble)) {
	n.mu.Lock()
	f(&n.trouble)
	n.mu.Unlock()
}

// Stop ends it at once, as a crash does: connections are reset, work is lost.
func (n *Node) Stop() {
	n.mu.Lock()
	n.closed, n.queue = true, nil
	n.ln.Close()
	for nc := range n.conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		nc.Close()
	}
	n.mu.Unlock()
}

// Cut breaks all connections and goes on.
func (n *Node) Cut() {
	n.mu.Lock()
	for nc := range n.conns {
		nc.Close()
	}
	n.mu.Unlock()
}

func (n *Node) conn(nc net.Conn) {
	l, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, nil, wsconn.Options{Queue: 8 << 20, ReadBuffer: 16 << 10})
	if err != nil {
		return
	}
	c := &conn{n: n, link: l, jobs: map[string]*job{}}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.conns[nc] = c
	n.mu.Unlock()
	for {
		data, err := c.link.Read()
		if err != nil {
			break
		}
		items, _, bad := jsonrpc.Parse(data, 1024)
		if bad != nil {
			break
		}
		n.mu.Lock()
		for i := range items {
			n.take(c, &items[i])
		}
		n.mu.Unlock()
	}
	n.mu.Lock()
	delete(n.conns, nc)
	for _, j := range c.jobs {
		n.withdraw(j)
		j.gone = true
	}
	n.mu.Unlock()
}

func (n *Node) withdraw(j *job) {
	j.dropped = true
	n.o.Log.Add(invariant.Record{K: invariant.Withdrawn, Node: n.addr, Request: j.p.Request, Attempt: j.p.Attempt, Try: j.p.Work.Try})
}

func (n *Node) take(c *conn, it *jsonrpc.Item) {
	if it.Method == "cancel" {
		var p struct {
			ID json.RawMessage `json:"id"`
		}
		if json.Unmarshal(it.Params, &p) == nil && c.jobs[string(p.ID)] != nil {
			n.withdraw(c.jobs[string(p.ID)])
		}
		return
	}
	j := &job{c: c, id: it.ID, class: it.Method}
	if it.Bad || it.ID == "" || json.Unmarshal(it.Params, &j.p) != nil {
		return
	}
	k, known := n.o.Classes[it.Method]
	if !known {
		c.link.Send(jsonrpc.AppendError(nil, it.ID, &jsonrpc.Error{Code: jsonrpc.CodeNoMethod, Message: "no such class"}))
		return
	}
	now := time.Now()
	j.work = n.cost(k, &j.p, it.Method)
	rec := invariant.Record{K: invariant.Arrive, Node: n.addr, Zone: n.o.Zone, Cell: n.o.Cell, Request: j.p.Request,
		Attempt: j.p.Attempt, Member: j.p.Member, Class: it.Method, Key: j.p.Key, Units: j.p.Units, Try: j.p.Work.Try, Work: j.work,
		T: n.o.Log.Now()}
	rec.Deadline = rec.T + time.Duration(j.p.Timeout*float64(time.Millisecond))
	n.o.Log.Add(rec)
	c.jobs[string(it.ID)] = j
	if n.o.Meter != nil {
		n.o.Meter.use(j.p.Request, j.p.Member, j.p.Units)
	}
	n.press(now, j.work)
	switch {
	case n.trouble.Silent || n.fallen:
	case n.rng.Float64() < n.trouble.Errors:
		n.answer(j, jsonrpc.AppendError(nil, j.id, &jsonrpc.Error{Code: jsonrpc.CodeError, Message: "the node fails"}))
	case k.Keyed && j.p.Key != "" && n.o.Memory.repeat(j.p.Key, k.Window):
		n.note(invariant.Repeat, j)
		n.answer(j, jsonrpc.AppendResult(nil, j.id, n.result(j)))
	case n.running >= n.o.Cores && len(n.queue) >= n.o.Queue:
		n.note(invariant.Turned, j)
		n.answer(j, jsonrpc.AppendError(nil, j.id, &jsonrpc.Error{Code: jsonrpc.CodeFull, Message: "queue is full"}))
	default:
		n.queue = append(n.queue, j)
		n.next()
	}
}

func (n *Node) note(k invariant.Kind, j *job) {
	n.o.Log.Add(invariant.Record{K: k, Node: n.addr, Zone: n.o.Zone, Cell: n.o.Cell, Request: j.p.Request, Attempt: j.p.Attempt,
		Class: j.class, Key: j.p.Key, Try: j.p.Work.Try, Member: j.p.Member, Work: j.work,
		Units: j.told})
}

// cost is the work of a call: gamma-like around the mean, so that few are very short.
func (n *Node) cost(k Class, p *params, class string) time.Duration {
	x := (n.rng.ExpFloat64() + n.rng.ExpFloat64() + n.rng.ExpFloat64() + n.rng.ExpFloat64()) / 4
	if p.Work.Cost > 0 {
		x *= p.Work.Cost
	}
	if f := n.trouble.Tail[class]; f > 0 && n.rng.Float64() < n.trouble.TailShare {
		x *= f
	}
	return time.Duration(x * float64(k.Work))
}

// press makes a cold node fall over when it is sent too much.
func (n *Node) press(now time.Time, work time.Duration) {
	if !n.cold() || n.fallen || n.ramp(now) >= 1 || n.o.FallWindow <= 0 {
		return
	}
	n.sent = append(n.sent, load{now, work})
	var sum time.Duration
	for len(n.sent) > 0 && now.Sub(n.sent[0].at) > n.o.FallWindow {
		n.sent = n.sent[1:]
	}
	for _, s := range n.sent {
		sum += s.work
	}
	if sum.Seconds() > n.o.FallMultiple*n.ramp(now)*n.capacity()*n.o.FallWindow.Seconds()+4*work.Seconds() {
		n.fallen = true
		n.o.Log.Add(invariant.Record{K: invariant.Fell, Node: n.addr})
	}
}

// next starts work while a core is free.
func (n *Node) next() {
	for n.running < n.o.Cores && len(n.queue) > 0 && !n.closed {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if j.dropped || j.gone {
			delete(j.c.jobs, string(j.id))
			continue
		}
		n.running++
		n.note(invariant.Run, j)
		slow := max(1, n.trouble.Slow)
		took := time.Duration(float64(j.work) * slow / (n.o.Speed * n.ramp(time.Now())))
		time.AfterFunc(took, func() { n.finish(j, took) })
	}
}

// Ran is how many calls the node has worked to their end.
func (n *Node) Ran() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ran
}

func (n *Node) finish(j *job, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running--
	if n.closed {
		return
	}
	n.note(invariant.Ran, j)
	n.ran++
	now := time.Now()
	n.rate = n.rate*math.Exp(-now.Sub(n.rateAt).Seconds()) + 1
	n.rateAt = now
	n.took += 0.1 * (took.Seconds()*1000 - n.took)
	if !n.trouble.Mute[j.class] && !n.trouble.Silent && !n.fallen {
		n.answer(j, jsonrpc.AppendResult(nil, j.id, n.result(j)))
	}
	n.next()
}

func (n *Node) result(j *job) []byte {
	units := j.p.Units
	if j.p.Work.Units > 0 {
		units = j.p.Work.Units
	}
	j.told = units
	b := strconv.AppendFloat([]byte(`{"units":`), units, 'g', -1, 64)
	if n.o.Meter != nil {
		b = strconv.AppendInt(append(b, `,"metered":`...), int64(n.o.Meter.told(j.p.Member)), 10)
	}
	if !n.trouble.NoReport {
		b = strconv.AppendInt(append(b, `,"load":{"queue":`...), int64(len(n.queue)), 10)
		b = strconv.AppendFloat(append(b, `,"qps":`...), n.rate, 'f', 1, 64)
		b = strconv.AppendFloat(append(b, `,"latency_ms":`...), n.took, 'f', 1, 64)
		b = append(b, '}')
	}
	b = append(append(b, `,"body":{"node":`...), strconv.Quote(n.addr)...)
	return append(b, `}}`...)
}

func (n *Node) answer(j *job, data []byte) {
	delete(j.c.jobs, string(j.id))
	if j.gone {
		return
	}
	n.note(invariant.Replied, j)
	j.c.link.Send(data)
}
