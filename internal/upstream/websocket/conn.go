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

// maxBatch is the maximum number of responses in one message from a server. A message with more of them ends
// the connection.
const maxBatch = 4096

// conn is a connection to a server with its calls. It accepts calls while it is still being opened. Each conn
// has a goroutine that executes run, for which Pool.Close waits. Pool.mu guards all fields except pool and
// server, which do not change.
type conn struct {
	pool      *Pool
	server    *server
	ws        *wsconn.Conn              // nil while the connection is being opened
	calls     map[uint64]*upstream.Call // keyed by JSON-RPC id
	pending   []*upstream.Call          // calls that wait for the connection to open
	lastID    uint64                    // the id that was assigned last
	removed   bool                      // the connection is no longer in server.conns
	idleTimer *time.Timer               // non-nil while the connection is open and has no calls
}

// run opens the connection, sends the calls that wait for it, reads responses until the connection ends, and
// then ends the remaining calls.
func (c *conn) run() {
	defer c.pool.wg.Done()
	ws, err := c.dial()
	if err != nil {
		c.failCalls()
		return
	}
	stop := context.AfterFunc(c.pool.ctx, func() { ws.Close(websocket.CodeGoingAway, "") })
	defer stop()
	for _, call := range c.markOpen(ws) {
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

// markOpen makes the established connection available to Pool.Send and returns the calls that waited for it.
func (c *conn) markOpen(ws *wsconn.Conn) (waiting []*upstream.Call) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.ws = ws
	waiting, c.pending = c.pending, nil
	c.startIdleTimer()
	return waiting
}

// send queues a call for sending on the open connection, unless the call is cancelled. Other messages may
// delay its write, so the writer checks that again.
func (c *conn) send(ws *wsconn.Conn, call *upstream.Call) {
	if call.IsCancelled() {
		c.cancelUnwritten(call)
		return
	}
	id := jsonrpc.ID(strconv.FormatUint(call.ID, 10))
	message := jsonrpc.AppendCall(nil, id, call.Method, call.Params)
	if ws.SendIf(message, func() bool { return c.startWrite(call) }) != nil {
		c.removeCall(call)
		call.ConnectionLost()
	}
}

// startWrite reports whether a call may be written now and, if so, marks it as sent. A cancelled call ends.
func (c *conn) startWrite(call *upstream.Call) bool {
	if call.IsCancelled() {
		c.cancelUnwritten(call)
		return false
	}
	if !call.MarkSent() {
		return false // abandoned in the meantime
	}
	call.NoteWrite()
	return true
}

// cancelUnwritten ends a call that must no longer be written.
func (c *conn) cancelUnwritten(call *upstream.Call) {
	c.removeCall(call)
	call.Finish(upstream.Result{Outcome: decide.OutcomeNotDispatched})
}

// readResponses reads and handles messages until the connection ends. It closes the connection on a message
// that is not JSON-RPC.
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

// handleResponse ends the call to which a response belongs. Messages that are not responses are ignored, and
// responses without a call in progress are counted as late.
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

// removeCall removes a call from the connection. If it was the last one, the idle timer is started.
func (c *conn) removeCall(call *upstream.Call) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	delete(c.calls, call.ID)
	c.startIdleTimer()
}

// startIdleTimer starts the idle timer if the connection is open and has no calls. It is also called when the
// connection opens: otherwise, a connection whose calls were all abandoned during the handshake would never
// be closed. The caller holds Pool.mu.
func (c *conn) startIdleTimer() {
	if len(c.calls) == 0 && !c.removed && c.ws != nil && c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.pool.options.IdleTimeout, c.closeIdle)
	}
}

// closeIdle closes the connection after IdleTimeout unless it has got a call or was removed in the meantime.
func (c *conn) closeIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.calls) == 0 && !c.removed {
		c.remove()
		c.ws.Close(websocket.CodeNormal, "idle")
	}
}

// remove removes the connection from its server, so that no further calls are assigned to it. The caller
// holds Pool.mu.
func (c *conn) remove() {
	c.removed = true
	s := c.server
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...) // a copy, as the loop is still reading s.conns
		}
	}
	if len(s.conns) == 0 && c.pool.servers[s.addr] == s {
		delete(c.pool.servers, s.addr)
	}
}

// failCalls ends all calls of a connection that was lost or could not be established.
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
