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
	"winghatch/internal/upstream"
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
	calls     map[uint64]*upstream.Call
	pending   []*upstream.Call // until connected
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
func (p *Pool) Send(c *upstream.Call) {
	p.mu.Lock()
	n := p.servers[c.Server]
	if n == nil {
		n = &server{addr: c.Server}
		p.servers[c.Server] = n
	}
	k := n.pickConn(p.options)
	if k == nil {
		k = &conn{pool: p, server: n, calls: map[uint64]*upstream.Call{}}
		n.conns = append(n.conns, k)
		p.wg.Add(1)
		go k.run()
	}
	if k.idleTimer != nil {
		k.idleTimer.Stop()
		k.idleTimer = nil
	}
	k.nextID++
	c.ID, c.TransportState = k.nextID, k
	k.calls[c.ID] = c
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

func (k *conn) send(l *wsconn.Conn, c *upstream.Call) {
	if c.Cancelled != nil && c.Cancelled() {
		k.removeCall(c)
		c.Finish(upstream.Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	data := jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.FormatUint(c.ID, 10)), c.Method, c.Params)
	if l.SendIf(data, c.MarkSent) != nil {
		k.removeCall(c)
		c.ConnectionLost()
	}
}

// drop forgets a call and starts the idle time behind the last.
func (k *conn) removeCall(c *upstream.Call) {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	delete(k.calls, c.ID)
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

// Abandon gives a call up.
func (p *Pool) Abandon(c *upstream.Call) upstream.AbandonResult {
	result := c.Abandon()
	if result == upstream.AlreadyEnded {
		return result
	}
	p.mu.Lock()
	k := c.TransportState.(*conn)
	l := k.ws
	p.mu.Unlock()
	if result == upstream.MayHaveRun && l != nil {
		// The node may drop work that waits; the answer, if it comes all the same, finds no call.
		l.Send(jsonrpc.AppendCall(nil, "", "cancel", []byte(`{"id":`+strconv.FormatUint(c.ID, 10)+`}`)))
	}
	k.removeCall(c)
	return result
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
		if c.Waiting() {
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
	k.calls = map[uint64]*upstream.Call{}
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
func parseResponse(it *jsonrpc.Message) upstream.Result {
	var w struct {
		Units   float64           `json:"units"`
		Metered int               `json:"metered"`
		Load    decide.LoadReport `json:"load"`
		Body    json.RawMessage   `json:"body"`
	}
	if it.Err != nil {
		r := upstream.Result{Outcome: decide.OutcomeError}
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
		return upstream.Result{Outcome: decide.OutcomeError}
	}
	return upstream.Result{
		Outcome:       decide.OutcomeOK,
		Body:          w.Body,
		ActualUnits:   w.Units,
		ReportedUsage: w.Metered,
		LoadReport:    w.Load,
	}
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
