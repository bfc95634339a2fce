// Package upstream carries calls to nodes: a pool of WebSocket connections, many calls on each. It tells the
// end of each call truly: NoConnection only of what provably never left, Full only of what the node turned
// away unseen, Reset where a byte may have left before the break. It chooses no node.
package websocket

import (
	"context"
	"encoding/json"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// Protocol is the subprotocol of every WebSocket connection of the program.
const Protocol = "jsonrpc"

// Options are the pool's bounds.
type Options struct {
	ConnectTimeout time.Duration
	MaxConns       int // connections to one node
	CallsPerConn   int // calls at once on a connection before another is opened
	IdleTimeout    time.Duration
	PingInterval   time.Duration // see link.Keep; 0: none
	Conn           wsconn.Options
	Path           string
}

// Result is how a call ended.
type Result struct {
	Outcome       decide.Outcome
	Body          json.RawMessage // of the node's answer
	ActualUnits   float64
	ReportedUsage int
	LoadReport    decide.LoadReport
}

// The states of a call.
const (
	stateWaiting int32 = iota // nothing of it was written
	stateSent                 // a byte of it may have been written
	stateEnded
)

// Call is one attempt on its way. Done is called once, unless Abandon came first.
type Call struct {
	Server string // host:port
	Method string
	Params []byte
	Done   func(Result)

	// Late reports, asked at the write, that the call must not leave any more: its client has gone, its time or its
	// window is over. What waits for a connection, or half written in a full buffer, is else sent long after the
	// decision. nil: never.
	Cancelled func() bool
	// Form makes the bytes at the write, so that the time they tell is what is left then; nil: Params.
	BuildParams func() []byte

	TransportState any // of another transport than this package's Pool: what carries the call

	state atomic.Int32
	conn  *conn
	id    uint64
}

// GiveUp ends a call without a result and tells what is known of it.
func (c *Call) Abandon() AbandonResult {
	switch was, first := c.end(); {
	case !first:
		return AlreadyEnded
	case was == stateWaiting:
		return NotSent
	}
	return MayHaveRun
}

// Begin is the writer's: the call counts as sent before its first byte is.
func (c *Call) MarkSent() bool { return c.state.CompareAndSwap(stateWaiting, stateSent) }

// end takes the call out of all hands; first is set for the one that ends it.
func (c *Call) end() (was int32, first bool) {
	was = c.state.Swap(stateEnded)
	return was, was != stateEnded
}

// Finish ends a call with its result, unless it has ended or was given up.
func (c *Call) Finish(r Result) {
	if _, first := c.end(); first {
		c.Done(r)
	}
}

// Broke ends a call whose connection is gone, by whether it may have left.
func (c *Call) ConnectionLost() {
	switch was, first := c.end(); {
	case !first:
	case was == stateSent:
		c.Done(Result{Outcome: decide.OutcomeReset})
	default:
		c.Done(Result{Outcome: decide.OutcomeConnectFailed})
	}
}

// Pool holds the connections to all nodes. It is safe for concurrent use.
type Pool struct {
	options       Options
	mu            sync.Mutex
	servers       map[string]*server
	lateResponses atomic.Int64
	wg            sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
}

type server struct {
	addr  string
	conns []*conn
}

// conn is a connection and the calls on it. It takes calls while it still connects.
type conn struct {
	pool      *Pool
	server    *server
	ws        *wsconn.Conn // nil while connecting
	calls     map[uint64]*Call
	pending   []*Call // until connected
	nextID    uint64
	removed   bool
	idleTimer *time.Timer
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Path == "" {
		o.Path = "/"
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{options: o, servers: map[string]*server{}, ctx: ctx, cancel: stop}
	if o.PingInterval > 0 {
		p.wg.Add(1)
		go func() { defer p.wg.Done(); wsconn.PingIdle(ctx, o.PingInterval, p.openConns, nil) }()
	}
	return p
}

// links are the connections that are open.
func (p *Pool) openConns() (out []*wsconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.servers {
		for _, k := range n.conns {
			if k.ws != nil {
				out = append(out, k.ws)
			}
		}
	}
	return out
}

// Late is how many answers came for calls that were over.
func (p *Pool) LateResponses() int64 { return p.lateResponses.Load() }

// Send starts a call. It never blocks.
func (p *Pool) Send(c *Call) {
	p.mu.Lock()
	n := p.servers[c.Server]
	if n == nil {
		n = &server{addr: c.Server}
		p.servers[c.Server] = n
	}
	k := n.pickConn(p.options)
	if k == nil {
		k = &conn{pool: p, server: n, calls: map[uint64]*Call{}}
		n.conns = append(n.conns, k)
		p.wg.Add(1)
		go k.run()
	}
	if k.idleTimer != nil {
		k.idleTimer.Stop()
		k.idleTimer = nil
	}
	k.nextID++
	c.id, c.conn = k.nextID, k
	k.calls[c.id] = c
	l := k.ws
	if l == nil {
		k.pending = append(k.pending, c)
	}
	p.mu.Unlock()
	if l != nil {
		k.send(l, c)
	}
}

// pick returns the connection with the fewest calls, or nil where another one is wanted.
func (n *server) pickConn(o Options) *conn {
	var best *conn
	for _, k := range n.conns {
		if best == nil || len(k.calls) < len(best.calls) {
			best = k
		}
	}
	if best != nil && len(best.calls) >= o.CallsPerConn && len(n.conns) < o.MaxConns {
		return nil
	}
	return best
}

func (k *conn) send(l *wsconn.Conn, c *Call) {
	if c.Cancelled != nil && c.Cancelled() {
		k.removeCall(c)
		c.Finish(Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	data := jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.FormatUint(c.id, 10)), c.Method, c.Params)
	if l.SendIf(data, c.MarkSent) != nil {
		k.removeCall(c)
		c.ConnectionLost()
	}
}

// drop forgets a call and starts the idle time behind the last.
func (k *conn) removeCall(c *Call) {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	delete(k.calls, c.id)
	k.startIdleTimer()
}

// rest starts the idle time of a connection without calls; the pool is locked. A connection whose calls were all
// given up while it was being opened rests from its first moment, or it would stay for good.
func (k *conn) startIdleTimer() {
	if len(k.calls) == 0 && !k.removed && k.ws != nil && k.idleTimer == nil {
		k.idleTimer = time.AfterFunc(k.pool.options.IdleTimeout, k.closeIdle)
	}
}

func (k *conn) closeIdle() {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	if len(k.calls) == 0 && !k.removed {
		k.remove()
		k.ws.Close(websocket.CodeNormal, "idle")
	}
}

// remove takes the connection out of its node's list; the pool is locked.
func (k *conn) remove() {
	k.removed = true
	for i, o := range k.server.conns {
		if o == k {
			k.server.conns = append(k.server.conns[:i:i], k.server.conns[i+1:]...)
		}
	}
	if len(k.server.conns) == 0 && k.pool.servers[k.server.addr] == k.server {
		delete(k.pool.servers, k.server.addr)
	}
}

// Given tells what was known of a call when it was given up.
type AbandonResult int

// What Abandon tells.
const (
	AlreadyEnded AbandonResult = iota // too late: Done was called or is just being called
	NotSent                           // no byte of it was written; Done will not be called
	MayHaveRun                        // it may have run or still run; Done will not be called
)

// Abandon gives a call up.
func (p *Pool) Abandon(c *Call) AbandonResult {
	was, first := c.end()
	if !first {
		return AlreadyEnded
	}
	p.mu.Lock()
	k := c.conn
	l := k.ws
	p.mu.Unlock()
	if was == stateSent && l != nil {
		// The node may drop work that waits; the answer, if it comes all the same, finds no call.
		l.Send(jsonrpc.AppendCall(nil, "", "cancel", []byte(`{"id":`+strconv.FormatUint(c.id, 10)+`}`)))
	}
	k.removeCall(c)
	if was == stateWaiting {
		return NotSent
	}
	return MayHaveRun
}

// run connects, reads answers and ends what is left when the connection breaks.
func (k *conn) run() {
	defer k.pool.wg.Done()
	p := k.pool
	ctx, cancel := context.WithTimeout(p.ctx, p.options.ConnectTimeout)
	l, err := wsconn.Dial(ctx, k.server.addr, &websocket.Request{Host: k.server.addr, Path: p.options.Path, Protocol: Protocol}, p.options.Conn)
	cancel()
	if err != nil {
		k.failCalls()
		return
	}
	p.mu.Lock()
	k.ws = l
	first := k.pending
	k.pending = nil
	k.startIdleTimer()
	p.mu.Unlock()
	stop := context.AfterFunc(p.ctx, func() { l.Close(websocket.CodeGoingAway, "") })
	defer stop()
	for _, c := range first {
		if c.state.Load() == stateWaiting {
			k.send(l, c)
		}
	}
	for {
		data, err := l.Read()
		if err != nil {
			break
		}
		items, _, bad := jsonrpc.Parse(data, 4096)
		if bad != nil {
			l.Close(websocket.CodeInvalidData, "not JSON-RPC")
			break
		}
		for i := range items {
			k.handleResponse(&items[i])
		}
	}
	k.failCalls()
	l.Abort()
}

// end breaks all calls of the connection.
func (k *conn) failCalls() {
	p := k.pool
	p.mu.Lock()
	if !k.removed {
		k.remove()
	}
	calls := k.calls
	k.calls = map[uint64]*Call{}
	p.mu.Unlock()
	for _, c := range calls {
		c.ConnectionLost()
	}
}

func (k *conn) handleResponse(it *jsonrpc.Message) {
	if it.Invalid || it.Method != "" {
		return
	}
	id, err := strconv.ParseUint(string(it.ID), 10, 64)
	k.pool.mu.Lock()
	c := k.calls[id]
	k.pool.mu.Unlock()
	if err != nil || c == nil {
		k.pool.lateResponses.Add(1)
		return
	}
	k.removeCall(c)
	c.Finish(parseResponse(it))
}

// read takes a node's answer. What can't be read counts as an error: the work may have run.
func parseResponse(it *jsonrpc.Message) Result {
	var w struct {
		Units   float64           `json:"units"`
		Metered int               `json:"metered"`
		Load    decide.LoadReport `json:"load"`
		Body    json.RawMessage   `json:"body"`
	}
	if it.Err != nil {
		r := Result{Outcome: decide.OutcomeError}
		if it.Err.Code == jsonrpc.CodeServerFull {
			r.Outcome = decide.OutcomeRejected
		}
		if json.Unmarshal(it.Err.Data, &w) == nil {
			r.LoadReport = w.Load
		}
		return r
	}
	err := jsonrpc.ForEachMember(it.Result, func(name string, v json.RawMessage) error {
		switch name {
		case "units":
			return parseNumber(&w.Units, v)
		case "metered":
			var m float64
			err := parseNumber(&m, v)
			w.Metered = int(min(max(m, -1), math.MaxInt32))
			return err
		case "load":
			return json.Unmarshal(v, &w.Load)
		case "body":
			w.Body = append(w.Body, v...) // v is only good until the next message
		}
		return nil
	})
	if err != nil || len(it.Result) == 0 || it.Result[0] != '{' || !(w.Units >= 0) || w.Metered < 0 {
		return Result{Outcome: decide.OutcomeError}
	}
	return Result{decide.OutcomeOK, w.Body, w.Units, w.Metered, w.Load}
}

// number reads a number of JSON; that it is well formed was seen when the message was parsed.
func parseNumber(to *float64, v json.RawMessage) error {
	if string(v) == "null" {
		return nil
	}
	x, err := strconv.ParseFloat(string(v), 64)
	*to = x
	return err
}

// CloseIdle closes the connections to a node that carry no call.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.servers[addr]; n != nil {
		for _, k := range append([]*conn(nil), n.conns...) {
			if len(k.calls) == 0 && k.ws != nil {
				k.remove()
				k.ws.Close(websocket.CodeNormal, "")
			}
		}
	}
}

// Conns is how many connections are open or being opened.
func (p *Pool) Conns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.servers {
		n += len(d.conns)
	}
	return n
}

// Close ends all connections and waits for their goroutines. Calls on them end as broken.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}
