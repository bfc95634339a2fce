// Package websocket implements a pool of WebSocket connections that sends calls to servers as JSON-RPC 2.0
// requests, with many concurrent calls on each connection. It does not select servers and does not retry
// calls; package decide does both.
//
// The outcome of each call is exact, because the core decides by it whether a retry could run the request
// twice:
//   - decide.OutcomeConnectFailed: no byte of the call was written.
//   - decide.OutcomeRejected: the server rejected the call without executing it.
//   - decide.OutcomeReset: the connection broke after a byte of the call may have been written.
//   - decide.OutcomeNotDispatched: the call was cancelled before it was written.
//
// The TransportState of a call is its connection, and its ID is its JSON-RPC id on that connection.
package websocket

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/upstream"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// protocol is the WebSocket subprotocol between gateways, servers and the discovery service.
const protocol = "jsonrpc"

// Options configure a Pool.
type Options struct {
	// ConnectTimeout limits the time for connecting, including the WebSocket handshake. When it passes, the
	// calls that wait for the connection end with decide.OutcomeConnectFailed. It must be positive: with
	// zero, every connection fails.
	ConnectTimeout time.Duration
	// MaxConns is the maximum number of connections to one server. The first connection is always opened.
	MaxConns int
	// CallsPerConn is the number of concurrent calls on a connection at which the next call opens another
	// connection to the same server. Once there are MaxConns connections, calls share them. With zero, each
	// call opens another connection up to MaxConns.
	CallsPerConn int
	// IdleTimeout is the time without calls after which a connection is closed. With zero, it is closed as
	// soon as it has no calls.
	IdleTimeout time.Duration
	// PingInterval is the interval of pings, see wsconn.PingIdle. Zero disables pings.
	PingInterval time.Duration
	// Conn are the options of each connection.
	Conn wsconn.Options
	// Path is the path of the upgrade request. Empty means "/".
	Path string
}

// Pool holds the connections to all servers. Create it with New. It is safe for concurrent use.
type Pool struct {
	options       Options
	mu            sync.Mutex         // guards servers and the fields of each conn
	servers       map[string]*server // servers with at least one connection, keyed by address
	lateResponses atomic.Int64
	wg            sync.WaitGroup // counts the goroutine of each connection and the one that sends pings
	ctx           context.Context
	cancel        context.CancelFunc
}

// server holds the connections to one server.
type server struct {
	addr  string // host:port
	conns []*conn
}

// defaultPath is the path of the upgrade request if Options.Path is empty.
const defaultPath = "/"

// New returns a pool without connections. The caller must call Close to stop the goroutines of the pool.
func New(o Options) *Pool {
	if o.Path == "" {
		o.Path = defaultPath
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{options: o, servers: map[string]*server{}, ctx: ctx, cancel: cancel}
	if o.PingInterval > 0 {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			wsconn.PingIdle(ctx, o.PingInterval, p.openConns, nil)
		}()
	}
	return p
}

// Send starts a call to the server at the address call.Server. It does not block. It calls call.Done exactly
// once, possibly before it returns, unless Abandon ends the call first.
func (p *Pool) Send(call *upstream.Call) {
	p.mu.Lock()
	c := p.assign(call)
	ws := c.ws
	if ws == nil {
		c.pending = append(c.pending, call)
	}
	p.mu.Unlock()
	if ws != nil {
		c.send(ws, call)
	}
}

// assign assigns a call to a connection, gives it an id there, and returns the connection. It opens a new
// connection if pickConn returns none. The caller holds p.mu.
func (p *Pool) assign(call *upstream.Call) *conn {
	s := p.servers[call.Server]
	if s == nil {
		s = &server{addr: call.Server}
		p.servers[call.Server] = s
	}
	c := s.pickConn(p.options)
	if c == nil {
		c = &conn{pool: p, server: s, calls: map[uint64]*upstream.Call{}}
		s.conns = append(s.conns, c)
		p.wg.Add(1)
		go c.run()
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
	c.lastID++
	call.ID, call.TransportState = c.lastID, c
	c.calls[call.ID] = call
	return c
}

// pickConn returns the connection with the fewest calls, or nil if a new connection should be opened. The
// caller holds Pool.mu.
func (s *server) pickConn(o Options) *conn {
	var best *conn
	for _, c := range s.conns {
		if best == nil || len(c.calls) < len(best.calls) {
			best = c
		}
	}
	if best != nil && len(best.calls) >= o.CallsPerConn && len(s.conns) < o.MaxConns {
		return nil
	}
	return best
}

// Abandon ends a call without a result and reports whether it may have run, see upstream.Call.Abandon. If the
// call was sent, Abandon sends a cancel notification to its server.
func (p *Pool) Abandon(call *upstream.Call) upstream.AbandonResult {
	result := call.Abandon()
	if result == upstream.AlreadyEnded {
		return upstream.AlreadyEnded
	}
	p.mu.Lock()
	c := call.TransportState.(*conn)
	ws := c.ws
	p.mu.Unlock()
	if result == upstream.MayHaveRun && ws != nil {
		ws.Send(cancelMessage(call.ID))
	}
	c.removeCall(call)
	return result
}

// CloseIdle closes all established connections to the server at an address that carry no call.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	if s == nil {
		return
	}
	for _, c := range append([]*conn(nil), s.conns...) { // remove changes s.conns
		if len(c.calls) == 0 && c.ws != nil {
			c.remove()
			c.ws.Close(websocket.CodeNormal, "")
		}
	}
}

// Conns returns the number of connections that are open or being opened.
func (p *Pool) Conns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		n += len(s.conns)
	}
	return n
}

// LateResponses returns the number of responses that arrived for calls that had already ended or were
// unknown.
func (p *Pool) LateResponses() int64 { return p.lateResponses.Load() }

// Close closes all connections and waits for the goroutines of the pool to return. Calls in progress end as
// if their connections had broken.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

// openConns returns the connections that have completed the handshake.
func (p *Pool) openConns() (out []*wsconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.ws != nil {
				out = append(out, c.ws)
			}
		}
	}
	return out
}
