// Package websocket carries calls to servers over a pool of WebSocket connections with JSON-RPC 2.0, many calls on
// each connection. It chooses no server and decides nothing.
//
// The outcome of each call is exact, because the core decides by it whether a retry could run the work twice:
//   - decide.OutcomeConnectFailed: no byte of the call was written;
//   - decide.OutcomeRejected: the server rejected the call without looking at it;
//   - decide.OutcomeReset: the connection broke after a byte may have been written;
//   - decide.OutcomeNotDispatched: the call was cancelled before it was written.
//
// The connection of a call is in its TransportState, the call's JSON-RPC id on that connection in its ID.
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

// Options bound a pool.
type Options struct {
	ConnectTimeout time.Duration
	MaxConns       int            // connections to one server
	CallsPerConn   int            // concurrent calls on a connection before another one is opened
	IdleTimeout    time.Duration  // a connection without calls is closed after this
	PingInterval   time.Duration  // see wsconn.PingIdle; 0: no pings
	Conn           wsconn.Options // of each connection
	Path           string         // of the upgrade request; empty: "/"
}

// Pool holds the connections to all servers. It is safe for concurrent use.
type Pool struct {
	options       Options
	mu            sync.Mutex         // guards servers and the fields of conn
	servers       map[string]*server // by address; a server without connections is not in it
	lateResponses atomic.Int64
	wg            sync.WaitGroup // one goroutine a connection, and the one that pings
	ctx           context.Context
	cancel        context.CancelFunc
}

type server struct {
	addr  string
	conns []*conn
}

// defaultPath is the path of the upgrade request.
const defaultPath = "/"

// New returns an empty pool. Close ends the goroutines that it starts.
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

// Send starts a call. It does not block.
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

// assign gives a call a connection and an id on it, and opens a connection if none has room. p.mu is held.
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
	c.nextID++
	call.ID, call.TransportState = c.nextID, c
	c.calls[call.ID] = call
	return c
}

// pickConn returns the connection with the fewest calls, or nil if another one should be opened. The pool's mutex is
// held.
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

// Abandon ends a call without a result; see upstream.Call. If the call was sent, its server gets a cancel message.
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

// CloseIdle closes the connections to a server that carry no call.
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

// Conns is the number of connections that are open or being opened.
func (p *Pool) Conns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		n += len(s.conns)
	}
	return n
}

// LateResponses is the number of responses to calls that had ended.
func (p *Pool) LateResponses() int64 { return p.lateResponses.Load() }

// Close closes all connections and waits for their goroutines. Open calls end as those of a broken connection.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

// openConns returns the connections whose handshake is done.
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
