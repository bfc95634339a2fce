package websocket

import (
	"context"
	"strconv"
	"time"

	"winghatch/decide"
	"winghatch/internal/jsonrpc"
	"winghatch/internal/upstream"
	"winghatch/internal/websocket"
	"winghatch/internal/wsconn"
)

// maxBatch is the largest number of responses in one message of a server. A message with more ends the connection.
const maxBatch = 4096

// conn is a connection and the calls on it. It accepts calls while it is being opened. The pool's mutex guards all
// fields but pool and server, which do not change. Its goroutine is run; Pool.Close waits for it.
type conn struct {
	pool      *Pool
	server    *server
	ws        *wsconn.Conn // nil while the connection is being opened
	calls     map[uint64]*upstream.Call
	pending   []*upstream.Call // calls that wait for the connection to open
	nextID    uint64
	removed   bool        // no longer among the server's connections
	idleTimer *time.Timer // runs while the connection is open and has no calls; else nil
}

// run opens the connection, sends what waits for it, reads responses until it breaks and ends the calls that are left.
func (c *conn) run() {
	defer c.pool.wg.Done()
	ws, err := c.dial()
	if err != nil {
		c.failCalls()
		return
	}
	stop := context.AfterFunc(c.pool.ctx, func() { ws.Close(websocket.CodeGoingAway, "") })
	defer stop()
	for _, call := range c.opened(ws) {
		if call.Waiting() {
			c.send(ws, call)
		}
	}
	c.readResponses(ws)
	c.failCalls()
	ws.Abort()
}

func (c *conn) dial() (*wsconn.Conn, error) {
	ctx, cancel := context.WithTimeout(c.pool.ctx, c.pool.options.ConnectTimeout)
	defer cancel()
	request := &websocket.Request{Host: c.server.addr, Path: c.pool.options.Path, Protocol: protocol}
	return wsconn.Dial(ctx, c.server.addr, request, c.pool.options.Conn)
}

// opened makes the connection available to Pool.Send and returns the calls that waited for it.
func (c *conn) opened(ws *wsconn.Conn) (waiting []*upstream.Call) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.ws = ws
	waiting, c.pending = c.pending, nil
	c.startIdleTimer()
	return waiting
}

// send queues a call on the open connection.
func (c *conn) send(ws *wsconn.Conn, call *upstream.Call) {
	if call.Cancelled != nil && call.Cancelled() {
		c.removeCall(call)
		call.Finish(upstream.Result{Outcome: decide.OutcomeNotDispatched})
		return
	}
	id := jsonrpc.ID(strconv.FormatUint(call.ID, 10))
	message := jsonrpc.AppendCall(nil, id, call.Method, call.Params)
	if ws.SendIf(message, call.MarkSent) != nil {
		c.removeCall(call)
		call.ConnectionLost()
	}
}

// readResponses reads until the connection ends.
func (c *conn) readResponses(ws *wsconn.Conn) {
	for {
		data, err := ws.Read()
		if err != nil {
			return
		}
		messages, _, parseErr := jsonrpc.Parse(data, maxBatch)
		if parseErr != nil {
			ws.Close(websocket.CodeInvalidData, "not JSON-RPC")
			return
		}
		for i := range messages {
			c.handleResponse(&messages[i])
		}
	}
}

func (c *conn) handleResponse(m *jsonrpc.Message) {
	if m.Invalid || m.Method != "" {
		return
	}
	id, err := strconv.ParseUint(string(m.ID), 10, 64)
	c.pool.mu.Lock()
	call := c.calls[id]
	c.pool.mu.Unlock()
	if err != nil || call == nil {
		c.pool.lateResponses.Add(1)
		return
	}
	c.removeCall(call)
	call.Finish(parseResponse(m))
}

// removeCall takes a call off the connection. The idle timer starts when it was the last one.
func (c *conn) removeCall(call *upstream.Call) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	delete(c.calls, call.ID)
	c.startIdleTimer()
}

// startIdleTimer starts the idle timer of an open connection without calls. It is also called when the connection
// opens: otherwise one whose calls were all abandoned during the handshake would never be closed. The pool's mutex
// is held.
func (c *conn) startIdleTimer() {
	if len(c.calls) == 0 && !c.removed && c.ws != nil && c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.pool.options.IdleTimeout, c.closeIdle)
	}
}

func (c *conn) closeIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.calls) == 0 && !c.removed {
		c.remove()
		c.ws.Close(websocket.CodeNormal, "idle")
	}
}

// remove takes the connection off its server, so that no further call is assigned to it. The pool's mutex is held.
func (c *conn) remove() {
	c.removed = true
	s := c.server
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
		}
	}
	if len(s.conns) == 0 && c.pool.servers[s.addr] == s {
		delete(c.pool.servers, s.addr)
	}
}

// failCalls ends all calls of a connection that is gone.
func (c *conn) failCalls() {
	c.pool.mu.Lock()
	if !c.removed {
		c.remove()
	}
	calls := c.calls
	c.calls = map[uint64]*upstream.Call{}
	c.pool.mu.Unlock()
	for _, call := range calls {
		call.ConnectionLost()
	}
}
