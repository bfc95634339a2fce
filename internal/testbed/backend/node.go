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
	MeanWork     time.Duration // mean, of a core of speed 1
	Deduplicates bool
	DedupWindow  time.Duration // repeats of a key are dropped so long
}

// Options describe a node.
type Options struct {
	Address string // host:port; port 0 lets the kernel choose
	Zone    string
	Cell    int
	Cores   int
	Speed   float64 // of a core
	Queue   int     // waiting calls; more are turned away
	Classes map[string]Class
	// A cold start: capacity grows from From to all within For; sent more than Multiple times its capacity
	// of the moment for Window, the node falls over. From 0 or 1: warm.
	InitialCapacity   float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration
	Seed              uint64
	Log               *invariant.Log
	Dedup             *DedupStore // shared by the nodes of a group; nil: its own
	Meter             *UsageMeter // shared by all nodes; nil: answers tell nothing of it
}

// Memory is what the nodes of a group know of keys.
type DedupStore struct {
	mu            sync.Mutex
	seen          map[string]time.Time
	sweepSize     int           // at so many keys the old ones are dropped
	longestWindow time.Duration // window of a class
}

// NewMemory returns an empty one.
func NewDedupStore() *DedupStore { return &DedupStore{seen: map[string]time.Time{}, sweepSize: 1024} }

// repeat reports whether the key was taken within the window, and takes it if not.
func (m *DedupStore) isDuplicate(key string, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if at, ok := m.seen[key]; ok && now.Sub(at) < window {
		return true
	}
	m.seen[key] = now
	m.longestWindow = max(m.longestWindow, window)
	if len(m.seen) >= m.sweepSize {
		for k, at := range m.seen {
			if now.Sub(at) >= m.longestWindow {
				delete(m.seen, k)
			}
		}
		m.sweepSize = 2*len(m.seen) + 1024
	}
	return false
}

// Trouble is what is wrong with a node; the zero value is nothing.
type Fault struct {
	Slowdown          float64         // times slower; 0 or 1: not
	ErrorShare        float64         // share that fails quickly
	UnansweredClasses map[string]bool // classes that are run but never answered
	Unresponsive      bool            // takes everything, does and answers nothing
	TailFactor        map[string]float64
	OmitLoadReport    bool    // answers tell nothing of its load
	TailShare         float64 // share of a class in Tail that costs its factor
}

// Node is a running one.
type Server struct {
	options Options
	ln      net.Listener
	addr    string

	mu            sync.Mutex
	fault         Fault
	rng           *rand.Rand
	queue         []*job
	running       int
	completed     int
	started       time.Time
	overloaded    bool
	closed        bool
	recentLoad    []loadSample // of the last window, for falling over
	conns         map[net.Conn]*clientConn
	rate          float64 // answers a second, faded
	rateAt        time.Time
	meanLatencyMs float64 // usual service time, ms
}

type loadSample struct {
	at   time.Time
	work time.Duration
}

type clientConn struct {
	server *Server
	ws     *wsconn.Conn
	jobs   map[string]*job // by JSON-RPC id
}

type job struct {
	conn          *clientConn
	id            jsonrpc.ID
	params        callParams
	class         string
	work          time.Duration
	reportedUnits float64 // units of its answer
	cancelled     bool    // withdrawn while it waited
	disconnected  bool
}

type callParams struct {
	Request   string  `json:"request"`
	Attempt   int     `json:"attempt"`
	Member    string  `json:"member"`
	Key       string  `json:"key"`
	Units     float64 `json:"units"`
	TimeoutMs float64 `json:"timeout_ms"`
	Work      struct {
		Try   string  `json:"try"`
		Units float64 `json:"true_units"`
		Cost  float64 `json:"cost"` // times the usual work
	} `json:"work"`
}

// Start runs a node until Stop.
func Start(o Options) (*Server, error) {
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	if o.Dedup == nil {
		o.Dedup = NewDedupStore()
	}
	if o.Log == nil {
		o.Log = invariant.Discard()
	}
	n := &Server{options: o, ln: ln, addr: ln.Addr().String(), rng: rand.New(rand.NewPCG(o.Seed, 1)), started: time.Now(),
		conns: map[net.Conn]*clientConn{}, rateAt: time.Now()}
	if n.slowStarts() {
		o.Log.Add(invariant.Record{Kind: invariant.SlowStarted, Server: n.addr, Capacity: n.capacity(), InitialCapacity: o.InitialCapacity, Duration: o.SlowStartDuration})
	}
	go wsconn.Serve(ln, n.serveConn)
	return n, nil
}

// Addr is where it listens.
func (n *Server) Addr() string { return n.addr }

func (n *Server) slowStarts() bool {
	return n.options.InitialCapacity > 0 && n.options.InitialCapacity < 1 && n.options.SlowStartDuration > 0
}

func (n *Server) capacity() float64 { return float64(n.options.Cores) * n.options.Speed }

// ramp is the part of its capacity that the node has by now.
func (n *Server) capacityShare(now time.Time) float64 {
	if !n.slowStarts() {
		return 1
	}
	return min(1, n.options.InitialCapacity+(1-n.options.InitialCapacity)*now.Sub(n.started).Seconds()/n.options.SlowStartDuration.Seconds())
}

// Set changes what is wrong with it.
func (n *Server) SetFault(f func(*Fault)) {
	n.mu.Lock()
	f(&n.fault)
	n.mu.Unlock()
}

// Stop ends it at once, as a crash does: connections are reset, work is lost.
func (n *Server) Stop() {
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
func (n *Server) CloseConnections() {
	n.mu.Lock()
	for nc := range n.conns {
		nc.Close()
	}
	n.mu.Unlock()
}

func (n *Server) serveConn(nc net.Conn) {
	l, err := wsconn.Accept(nc, "jsonrpc", 5*time.Second, nil, wsconn.Options{MaxQueue: 8 << 20, ReadBuffer: 16 << 10})
	if err != nil {
		return
	}
	c := &clientConn{server: n, ws: l, jobs: map[string]*job{}}
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.conns[nc] = c
	n.mu.Unlock()
	for {
		data, err := c.ws.Read()
		if err != nil {
			break
		}
		items, _, bad := jsonrpc.Parse(data, 1024)
		if bad != nil {
			break
		}
		n.mu.Lock()
		for i := range items {
			n.handle(c, &items[i])
		}
		n.mu.Unlock()
	}
	n.mu.Lock()
	delete(n.conns, nc)
	for _, j := range c.jobs {
		n.cancel(j)
		j.disconnected = true
	}
	n.mu.Unlock()
}

func (n *Server) cancel(j *job) {
	j.cancelled = true
	n.options.Log.Add(invariant.Record{Kind: invariant.Cancelled, Server: n.addr, Request: j.params.Request, Attempt: j.params.Attempt, CallID: j.params.Work.Try})
}

func (n *Server) handle(c *clientConn, it *jsonrpc.Message) {
	if it.Method == "cancel" {
		var p struct {
			ID json.RawMessage `json:"id"`
		}
		if json.Unmarshal(it.Params, &p) == nil && c.jobs[string(p.ID)] != nil {
			n.cancel(c.jobs[string(p.ID)])
		}
		return
	}
	j := &job{conn: c, id: it.ID, class: it.Method}
	if it.Invalid || it.ID == "" || json.Unmarshal(it.Params, &j.params) != nil {
		return
	}
	k, known := n.options.Classes[it.Method]
	if !known {
		c.ws.Send(jsonrpc.AppendError(nil, it.ID, &jsonrpc.Error{Code: jsonrpc.CodeMethodNotFound, Message: "no such class"}))
		return
	}
	now := time.Now()
	j.work = n.cost(k, &j.params, it.Method)
	rec := invariant.Record{Kind: invariant.Received, Server: n.addr, Zone: n.options.Zone, Cell: n.options.Cell, Request: j.params.Request,
		Attempt: j.params.Attempt, Member: j.params.Member, Class: it.Method, Key: j.params.Key, Units: j.params.Units, CallID: j.params.Work.Try, Work: j.work,
		At: n.options.Log.Now()}
	rec.Deadline = rec.At + time.Duration(j.params.TimeoutMs*float64(time.Millisecond))
	n.options.Log.Add(rec)
	c.jobs[string(it.ID)] = j
	if n.options.Meter != nil {
		n.options.Meter.add(j.params.Request, j.params.Member, j.params.Units)
	}
	n.checkOverload(now, j.work)
	switch {
	case n.fault.Unresponsive || n.overloaded:
	case n.rng.Float64() < n.fault.ErrorShare:
		n.reply(j, jsonrpc.AppendError(nil, j.id, &jsonrpc.Error{Code: jsonrpc.CodeServerError, Message: "the node fails"}))
	case k.Deduplicates && j.params.Key != "" && n.options.Dedup.isDuplicate(j.params.Key, k.DedupWindow):
		n.record(invariant.Deduplicated, j)
		n.reply(j, jsonrpc.AppendResult(nil, j.id, n.resultBody(j)))
	case n.running >= n.options.Cores && len(n.queue) >= n.options.Queue:
		n.record(invariant.ServerRejected, j)
		n.reply(j, jsonrpc.AppendError(nil, j.id, &jsonrpc.Error{Code: jsonrpc.CodeServerFull, Message: "queue is full"}))
	default:
		n.queue = append(n.queue, j)
		n.startQueued()
	}
}

func (n *Server) record(k invariant.Kind, j *job) {
	n.options.Log.Add(invariant.Record{Kind: k, Server: n.addr, Zone: n.options.Zone, Cell: n.options.Cell, Request: j.params.Request, Attempt: j.params.Attempt,
		Class: j.class, Key: j.params.Key, CallID: j.params.Work.Try, Member: j.params.Member, Work: j.work,
		Units: j.reportedUnits})
}

// cost is the work of a call: gamma-like around the mean, so that few are very short.
func (n *Server) cost(k Class, p *callParams, class string) time.Duration {
	x := (n.rng.ExpFloat64() + n.rng.ExpFloat64() + n.rng.ExpFloat64() + n.rng.ExpFloat64()) / 4
	if p.Work.Cost > 0 {
		x *= p.Work.Cost
	}
	if f := n.fault.TailFactor[class]; f > 0 && n.rng.Float64() < n.fault.TailShare {
		x *= f
	}
	return time.Duration(x * float64(k.MeanWork))
}

// press makes a cold node fall over when it is sent too much.
func (n *Server) checkOverload(now time.Time, work time.Duration) {
	if !n.slowStarts() || n.overloaded || n.capacityShare(now) >= 1 || n.options.OverloadWindow <= 0 {
		return
	}
	n.recentLoad = append(n.recentLoad, loadSample{now, work})
	var sum time.Duration
	for len(n.recentLoad) > 0 && now.Sub(n.recentLoad[0].at) > n.options.OverloadWindow {
		n.recentLoad = n.recentLoad[1:]
	}
	for _, s := range n.recentLoad {
		sum += s.work
	}
	if sum.Seconds() > n.options.OverloadMultiple*n.capacityShare(now)*n.capacity()*n.options.OverloadWindow.Seconds()+4*work.Seconds() {
		n.overloaded = true
		n.options.Log.Add(invariant.Record{Kind: invariant.Overloaded, Server: n.addr})
	}
}

// next starts work while a core is free.
func (n *Server) startQueued() {
	for n.running < n.options.Cores && len(n.queue) > 0 && !n.closed {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if j.cancelled || j.disconnected {
			delete(j.conn.jobs, string(j.id))
			continue
		}
		n.running++
		n.record(invariant.WorkStarted, j)
		slow := max(1, n.fault.Slowdown)
		took := time.Duration(float64(j.work) * slow / (n.options.Speed * n.capacityShare(time.Now())))
		time.AfterFunc(took, func() { n.finish(j, took) })
	}
}

// Ran is how many calls the node has worked to their end.
func (n *Server) Completed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.completed
}

func (n *Server) finish(j *job, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running--
	if n.closed {
		return
	}
	n.record(invariant.WorkEnded, j)
	n.completed++
	now := time.Now()
	n.rate = n.rate*math.Exp(-now.Sub(n.rateAt).Seconds()) + 1
	n.rateAt = now
	n.meanLatencyMs += 0.1 * (took.Seconds()*1000 - n.meanLatencyMs)
	if !n.fault.UnansweredClasses[j.class] && !n.fault.Unresponsive && !n.overloaded {
		n.reply(j, jsonrpc.AppendResult(nil, j.id, n.resultBody(j)))
	}
	n.startQueued()
}

func (n *Server) resultBody(j *job) []byte {
	units := j.params.Units
	if j.params.Work.Units > 0 {
		units = j.params.Work.Units
	}
	j.reportedUnits = units
	b := strconv.AppendFloat([]byte(`{"units":`), units, 'g', -1, 64)
	if n.options.Meter != nil {
		b = strconv.AppendInt(append(b, `,"metered":`...), int64(n.options.Meter.report(j.params.Member)), 10)
	}
	if !n.fault.OmitLoadReport {
		b = strconv.AppendInt(append(b, `,"load":{"queue":`...), int64(len(n.queue)), 10)
		b = strconv.AppendFloat(append(b, `,"qps":`...), n.rate, 'f', 1, 64)
		b = strconv.AppendFloat(append(b, `,"latency_ms":`...), n.meanLatencyMs, 'f', 1, 64)
		b = append(b, '}')
	}
	b = append(append(b, `,"body":{"node":`...), strconv.Quote(n.addr)...)
	return append(b, `}}`...)
}

func (n *Server) reply(j *job, data []byte) {
	delete(j.conn.jobs, string(j.id))
	if j.disconnected {
		return
	}
	n.record(invariant.ServerAnswered, j)
	j.conn.ws.Send(data)
}
