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
	Conns          int // connections to one node
	Calls          int // calls at once on a connection before another is opened
	Idle           time.Duration
	Ping           time.Duration // see link.Keep; 0: none
	Link           wsconn.Options
	Path           string
}

// Result is how a call ended.
type Result struct {
	Outcome   decide.Outcome
	Body      json.RawMessage // of the node's answer
	TrueUnits float64
	Metered   int
	Report    decide.LoadReport
}

// The states of a call.
const (
	waiting int32 = iota // nothing of it was written
	sent                 // a byte of it may have been written
	over
)

// Call is one attempt on its way. Done is called once, unless Abandon came first.
type Call struct {
	Node   string // host:port
	Method string
	Params []byte
	Done   func(Result)

	// Late reports, asked at the write, that the call must not leave any more: its client has gone, its time or its
	// window is over. What waits for a connection, or half written in a full buffer, is else sent long after the
	// decision. nil: never.
	Late func() bool
	// Form makes the bytes at the write, so that the time they tell is what is left then; nil: Params.
	Form func() []byte

	Carrier any // of another transport than this package's Pool: what carries the call

	state atomic.Int32
	conn  *conn
	id    uint64
}

// GiveUp ends a call without a result and tells what is known of it.
func (c *Call) GiveUp() Given {
	switch was, first := c.end(); {
	case !first:
		return Ended
	case was == waiting:
		return NeverLeft
	}
	return MayRun
}

// Begin is the writer's: the call counts as sent before its first byte is.
func (c *Call) Begin() bool { return c.state.CompareAndSwap(waiting, sent) }

// end takes the call out of all hands; first is set for the one that ends it.
func (c *Call) end() (was int32, first bool) {
	was = c.state.Swap(over)
	return was, was != over
}

// Finish ends a call with its result, unless it has ended or was given up.
func (c *Call) Finish(r Result) {
	if _, first := c.end(); first {
		c.Done(r)
	}
}

// Broke ends a call whose connection is gone, by whether it may have left.
func (c *Call) Broke() {
	switch was, first := c.end(); {
	case !first:
	case was == sent:
		c.Done(Result{Outcome: decide.OutcomeReset})
	default:
		c.Done(Result{Outcome: decide.OutcomeConnectFailed})
	}
}

// Pool holds the connections to all nodes. It is safe for concurrent use.
type Pool struct {
	o     Options
	mu    sync.Mutex
	nodes map[string]*node
	late  atomic.Int64
	wg    sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
}

type node struct {
	addr  string
	conns []*conn
}

// conn is a connection and the calls on it. It takes calls while it still connects.
type conn struct {
	pool    *Pool
	node    *node
	link    *wsconn.Conn // nil while connecting
	calls   map[uint64]*Call
	pending []*Call // until connected
	next    uint64
	dead    bool
	idle    *time.Timer
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Path == "" {
		o.Path = "/"
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{o: o, nodes: map[string]*node{}, ctx: ctx, stop: stop}
	if o.Ping > 0 {
		p.wg.Add(1)
		go func() { defer p.wg.Done(); wsconn.Keep(ctx, o.Ping, p.links, nil) }()
	}
	return p
}

// links are the connections that are open.
func (p *Pool) links() (out []*wsconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		for _, k := range n.conns {
			if k.link != nil {
				out = append(out, k.link)
			}
		}
	}
	return out
}

// Late is how many answers came for calls that were over.
func (p *Pool) Late() int64 { return p.late.Load() }

// Send starts a call. It never blocks.
func (p *Pool) Send(c *Call) {
	p.mu.Lock()
	n := p.nodes[c.Node]
	if n == nil {
		n = &node{addr: c.Node}
		p.nodes[c.Node] = n
	}
	k := n.pick(p.o)
	if k == nil {
		k = &conn{pool: p, node: n, calls: map[uint64]*Call{}}
		n.conns = append(n.conns, k)
		p.wg.Add(1)
		go k.run()
	}
	if k.idle != nil {
		k.idle.Stop()
		k.idle = nil
	}
	k.next++
	c.id, c.conn = k.next, k
	k.calls[c.id] = c
	l := k.link
	if l == nil {
		k.pending = append(k.pending, c)
	}
	p.mu.Unlock()
	if l != nil {
		k.write(l, c)
	}
}

// pick returns the connection with the fewest calls, or nil where another one is wanted.
func (n *node) pick(o Options) *conn {
	var best *conn
	for _, k := range n.conns {
		if best == nil || len(k.calls) < len(best.calls) {
			best = k
		}
	}
	if best != nil && len(best.calls) >= o.Calls && len(n.conns) < o.Conns {
		return nil
	}
	return best
}

func (k *conn) write(l *wsconn.Conn, c *Call) {
	if c.Late != nil && c.Late() {
		k.drop(c)
		c.Finish(Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	data := jsonrpc.AppendCall(nil, jsonrpc.ID(strconv.FormatUint(c.id, 10)), c.Method, c.Params)
	if l.SendIf(data, c.Begin) != nil {
		k.drop(c)
		c.Broke()
	}
}

// drop forgets a call and starts the idle time behind the last.
func (k *conn) drop(c *Call) {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	delete(k.calls, c.id)
	k.rest()
}

// rest starts the idle time of a connection without calls; the pool is locked. A connection whose calls were all
// given up while it was being opened rests from its first moment, or it would stay for good.
func (k *conn) rest() {
	if len(k.calls) == 0 && !k.dead && k.link != nil && k.idle == nil {
		k.idle = time.AfterFunc(k.pool.o.Idle, k.expire)
	}
}

func (k *conn) expire() {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	if len(k.calls) == 0 && !k.dead {
		k.remove()
		k.link.Close(websocket.CodeNormal, "idle")
	}
}

// remove takes the connection out of its node's list; the pool is locked.
func (k *conn) remove() {
	k.dead = true
	for i, o := range k.node.conns {
		if o == k {
			k.node.conns = append(k.node.conns[:i:i], k.node.conns[i+1:]...)
		}
	}
	if len(k.node.conns) == 0 && k.pool.nodes[k.node.addr] == k.node {
		delete(k.pool.nodes, k.node.addr)
	}
}

// Given tells what was known of a call when it was given up.
type Given int

// What Abandon tells.
const (
	Ended     Given = iota // too late: Done was called or is just being called
	NeverLeft              // no byte of it was written; Done will not be called
	MayRun                 // it may have run or still run; Done will not be called
)

// Abandon gives a call up.
func (p *Pool) Abandon(c *Call) Given {
	was, first := c.end()
	if !first {
		return Ended
	}
	p.mu.Lock()
	k := c.conn
	l := k.link
	p.mu.Unlock()
	if was == sent && l != nil {
		// The node may drop work that waits; the answer, if it comes all the same, finds no call.
		l.Send(jsonrpc.AppendCall(nil, "", "cancel", []byte(`{"id":`+strconv.FormatUint(c.id, 10)+`}`)))
	}
	k.drop(c)
	if was == waiting {
		return NeverLeft
	}
	return MayRun
}

// run connects, reads answers and ends what is left when the connection breaks.
func (k *conn) run() {
	defer k.pool.wg.Done()
	p := k.pool
	ctx, cancel := context.WithTimeout(p.ctx, p.o.ConnectTimeout)
	l, err := wsconn.Dial(ctx, k.node.addr, &websocket.Request{Host: k.node.addr, Path: p.o.Path, Protocol: Protocol}, p.o.Link)
	cancel()
	if err != nil {
		k.end()
		return
	}
	p.mu.Lock()
	k.link = l
	first := k.pending
	k.pending = nil
	k.rest()
	p.mu.Unlock()
	stop := context.AfterFunc(p.ctx, func() { l.Close(websocket.CodeGoingAway, "") })
	defer stop()
	for _, c := range first {
		if c.state.Load() == waiting {
			k.write(l, c)
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
			k.answer(&items[i])
		}
	}
	k.end()
	l.Abort()
}

// end breaks all calls of the connection.
func (k *conn) end() {
	p := k.pool
	p.mu.Lock()
	if !k.dead {
		k.remove()
	}
	calls := k.calls
	k.calls = map[uint64]*Call{}
	p.mu.Unlock()
	for _, c := range calls {
		c.Broke()
	}
}

func (k *conn) answer(it *jsonrpc.Item) {
	if it.Bad || it.Method != "" {
		return
	}
	id, err := strconv.ParseUint(string(it.ID), 10, 64)
	k.pool.mu.Lock()
	c := k.calls[id]
	k.pool.mu.Unlock()
	if err != nil || c == nil {
		k.pool.late.Add(1)
		return
	}
	k.drop(c)
	c.Finish(read(it))
}

// read takes a node's answer. What can't be read counts as an error: the work may have run.
func read(it *jsonrpc.Item) Result {
	var w struct {
		Units   float64           `json:"units"`
		Metered int               `json:"metered"`
		Load    decide.LoadReport `json:"load"`
		Body    json.RawMessage   `json:"body"`
	}
	if it.Err != nil {
		r := Result{Outcome: decide.OutcomeError}
		if it.Err.Code == jsonrpc.CodeFull {
			r.Outcome = decide.OutcomeRejected
		}
		if json.Unmarshal(it.Err.Data, &w) == nil {
			r.Report = w.Load
		}
		return r
	}
	err := jsonrpc.Members(it.Result, func(name string, v json.RawMessage) error {
		switch name {
		case "units":
			return number(&w.Units, v)
		case "metered":
			var m float64
			err := number(&m, v)
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
func number(to *float64, v json.RawMessage) error {
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
	if n := p.nodes[addr]; n != nil {
		for _, k := range append([]*conn(nil), n.conns...) {
			if len(k.calls) == 0 && k.link != nil {
				k.remove()
				k.link.Close(websocket.CodeNormal, "")
			}
		}
	}
}

// Conns is how many connections are open or being opened.
func (p *Pool) Conns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range p.nodes {
		n += len(d.conns)
	}
	return n
}

// Close ends all connections and waits for their goroutines. Calls on them end as broken.
func (p *Pool) Close() {
	p.stop()
	p.wg.Wait()
}
