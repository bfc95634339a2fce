package http

import (
	"time"

	"winghatch/decide"
	"winghatch/internal/socket"
	"winghatch/internal/upstream"
)

// writeTimeout bounds the write of what the socket's buffer did not take at once. The deadline of an attempt is
// shorter; this bound ends the goroutine where the core has already given the attempt up.
const writeTimeout = 10 * time.Second

// Send starts an attempt: on an idle connection of its server, else on a new one. It never blocks. The attempt's Done
// is called once, maybe before Send returns, unless Abandon comes first.
func (p *Pool) Send(call *upstream.Call) {
	p.mu.Lock()
	s := p.servers[call.Server]
	if s == nil || s.State != decide.Serving || p.closed {
		p.mu.Unlock()
		call.ConnectionLost()
		return
	}
	if isCancelled(call) {
		p.mu.Unlock()
		call.Finish(notDispatched)
		return
	}
	now := time.Since(p.startedAt)
	if c := s.takeIdle(min(p.idleEstimate.Limit(now), p.opts.IdleTimeout)); c != nil {
		p.idleEstimate.RecordUse(now, c.idleBefore)
		c.call, call.TransportState = call, c
		c.writeAttempt()
		p.mu.Unlock()
		return
	}
	if !p.makeRoom() {
		p.mu.Unlock()
		p.ConnLimitReached.Add(1)
		call.ConnectionLost()
		return
	}
	c := p.newConn(s, call)
	call.TransportState = c
	addr := s.Addr
	p.mu.Unlock()
	go c.run(addr)
}

// Abandon ends an attempt without a result and returns what is known of it. Its connection is closed at once, as a
// response that arrives later could be taken for the next attempt's; one that is still being dialed is kept.
func (p *Pool) Abandon(call *upstream.Call) upstream.AbandonResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Under the lock: between the write of an attempt and its MarkSent the result would be NotSent, and the request might
	// run twice.
	known := call.Abandon()
	if c, ok := call.TransportState.(*conn); ok && c.call == call {
		c.call = nil
		if c.nc != nil {
			c.discard()
		}
	}
	return known
}

// notDispatched is the result of an attempt that was cancelled before its last byte was written.
var notDispatched = upstream.Result{Outcome: decide.OutcomeNotDispatched}

// isCancelled reports whether an attempt must not be written any more. It is asked immediately before each write that
// could complete the attempt: after the decision to send it, the client may have left or its deadline passed while a
// connection came up or a full buffer drained.
func isCancelled(call *upstream.Call) bool { return call.Cancelled != nil && call.Cancelled() }

// writeAttempt writes the connection's attempt without waiting; p.mu is held. The socket's buffer takes all of
// it but for the largest bodies, whose remainder gets a goroutine.
func (c *conn) writeAttempt() {
	call := c.call
	request := call.Params
	if call.BuildParams != nil {
		request = call.BuildParams()
	}
	n, err := socket.WriteNow(c.raw, request)
	if n == len(request) {
		call.MarkSent()
		return
	}
	if err != nil && !socket.IsTransient(err) {
		c.shutdown() // wakes the reader, which ends the attempt as never sent
		return
	}
	c.writing = true
	c.pool.wg.Add(1)
	go c.writeRemainder(call, request[n:])
}

// writeRemainder writes what the socket's buffer did not take. The server can't have run the attempt before its last
// byte, so that byte is written on its own: until then the attempt may be cancelled, and a break means that it never
// ran. Whoever fails here closes the connection; its reader ends the attempt.
func (c *conn) writeRemainder(call *upstream.Call, rest []byte) {
	defer c.pool.wg.Done()
	defer c.writeDone()
	last := len(rest) - 1
	if last > 0 {
		if err := socket.WriteAll(c.nc, rest[:last], writeTimeout); err != nil {
			c.nc.Close()
			return
		}
	}
	if isCancelled(call) {
		c.pool.mu.Lock()
		c.call = nil
		c.discard()
		c.pool.mu.Unlock()
		call.Finish(notDispatched)
		return
	}
	if !call.MarkSent() {
		return // given up meanwhile
	}
	if err := socket.WriteAll(c.nc, rest[last:], writeTimeout); err != nil {
		c.nc.Close()
	}
}

func (c *conn) writeDone() {
	c.pool.mu.Lock()
	c.writing = false
	c.pool.mu.Unlock()
}
