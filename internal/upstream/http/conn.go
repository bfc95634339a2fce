package http

import (
	"bufio"
	"container/list"
	"errors"
	"net"
	"syscall"
	"time"

	"winghatch/decide"
	"winghatch/internal/http1"
	"winghatch/internal/socket"
	"winghatch/internal/upstream"
)

const (
	readBufferBytes = 4 << 10 // also the longest line of a head
	maxHeadBytes    = 8 << 10
)

// conn is one connection to a server, from the dial on. Its reader (run) owns the descriptor and closes it.
type conn struct {
	pool   *Pool
	server *server
	reader *http1.Reader

	// Pool.mu guards these. nc is nil until the connection is established; from then on nc and raw do not change.
	nc            *net.TCPConn
	raw           syscall.RawConn
	call          *upstream.Call // the attempt it carries or was dialed for; nil: none
	idleElem      *list.Element  // in Pool.idleConns; nil unless idle
	idleSince     time.Time
	respondedAt   time.Time     // when its last response was complete; zero: none yet
	idleBefore    time.Duration // how long it was idle before the current attempt; 0 for a new connection
	readWhileIdle bool          // bytes, or its end, were read while it was idle
	writing       bool          // writeRemainder is running
	discarded     bool

	// These belong to the reader.
	responseBegun bool  // a byte of the current response was read
	bodyBytes     int64 // the part of Pool.bodyBytes that this connection holds
}

// makeRoom reports whether another connection may be opened; at the limit it closes the one that has been idle
// longest. Pool.mu is held.
func (p *Pool) makeRoom() bool {
	if int(p.Conns.Load()) < p.opts.MaxConns {
		return true
	}
	longestIdle := p.idleConns.Front()
	if longestIdle == nil {
		return false
	}
	longestIdle.Value.(*conn).discard()
	return true
}

// newConn registers a connection that is to be dialed for an attempt; Pool.mu is held. Its run must follow.
func (p *Pool) newConn(s *server, call *upstream.Call) *conn {
	c := &conn{pool: p, server: s, call: call}
	p.conns[c] = struct{}{}
	p.Conns.Add(1)
	p.Dials.Add(1)
	p.wg.Add(1)
	return c
}

// run dials and then reads responses until the connection ends.
func (c *conn) run(addr string) {
	p := c.pool
	defer p.wg.Done()
	if !c.dial(addr) {
		return
	}
	more := true
	for more {
		more = c.readResponse()
		p.bodyBytes.Add(-c.bodyBytes)
		c.bodyBytes = 0
	}
	c.nc.Close()
}

// dial establishes the connection and writes the attempt that waits for it, if there still is one. False: it failed
// or is not wanted any more, and the attempt has ended.
func (c *conn) dial(addr string) bool {
	p := c.pool
	dialer := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(p.ctx, "tcp", addr)
	p.mu.Lock()
	if err == nil {
		c.nc = nc.(*net.TCPConn)
		c.raw, err = c.nc.SyscallConn()
	}
	if err != nil || p.closed || c.server.State != decide.Serving {
		call := c.call
		c.call = nil
		c.discard()
		p.mu.Unlock()
		c.dialFailed(call, err)
		return false
	}
	limits := http1.Limits{MaxHeadBytes: maxHeadBytes, MaxBodyBytes: p.opts.MaxBodyBytes, ReserveBody: c.reserveBody}
	socketReader := socket.NewReader(c.raw, &p.mu, c.noteRead)
	c.reader = http1.NewReader(bufio.NewReaderSize(socketReader, readBufferBytes), limits)
	var cancelled *upstream.Call
	switch call := c.call; {
	case call == nil: // it was given up meanwhile
		c.enterIdle()
	case isCancelled(call):
		cancelled = call
		c.call = nil
		c.enterIdle()
	default:
		p.idleEstimate.RecordUse(time.Since(p.startedAt), 0)
		c.writeAttempt()
	}
	p.mu.Unlock()
	if cancelled != nil {
		cancelled.Finish(notDispatched)
	}
	return true
}

// dialFailed closes what was opened and ends the attempt that waited for it; call may be nil.
func (c *conn) dialFailed(call *upstream.Call, err error) {
	if c.nc != nil {
		c.nc.Close()
	}
	if err != nil {
		c.pool.DialFailures.Add(1)
	}
	if call != nil {
		call.ConnectionLost()
	}
}

// readResponse reads one response and ends its attempt. False: the connection is of no further use.
func (c *conn) readResponse() bool {
	p := c.pool
	err := c.reader.Wait()
	p.mu.Lock()
	call := c.call
	if call == nil && err == nil {
		p.StaleConns.Add(1)
	}
	p.mu.Unlock()
	if call == nil || err != nil {
		c.fail(call)
		return false
	}
	c.responseBegun = true
	response, err := c.reader.ReadResponse()
	c.responseBegun = err != nil
	if err != nil {
		var malformed *http1.Error
		if errors.As(err, &malformed) {
			c.rejectResponse(call)
		} else {
			c.fail(call)
		}
		return false
	}
	result := p.parseResult(response)
	p.mu.Lock()
	current := c.call == call
	c.call, c.respondedAt = nil, time.Now()
	reusable := c.canReuse(response)
	if reusable {
		c.enterIdle()
	} else {
		c.discard()
	}
	p.mu.Unlock()
	if current {
		call.Finish(result)
	}
	return reusable
}

// canReuse reports whether the connection may carry another attempt after a response; Pool.mu is held. Bytes that
// arrived behind the response belong to no attempt, so the connection ends with them.
func (c *conn) canReuse(r *http1.Response) bool {
	return !r.Close && c.reader.Buffered() == 0 && !c.pool.closed && c.server.State == decide.Serving &&
		!c.discarded && !c.writing
}

// rejectResponse ends an attempt whose response cannot be parsed or is too large, and its connection.
func (c *conn) rejectResponse(call *upstream.Call) {
	p := c.pool
	p.MalformedResponses.Add(1)
	p.mu.Lock()
	c.call = nil
	c.discard()
	p.mu.Unlock()
	call.Finish(upstream.Result{Outcome: decide.OutcomeError})
}

// fail ends a connection that broke and the attempt it carried; call may be nil. A break before the first byte of a
// response counts against the time that the connection was idle.
func (c *conn) fail(call *upstream.Call) {
	p := c.pool
	p.mu.Lock()
	if c.call == call {
		c.call = nil
		if call != nil && !c.responseBegun {
			p.idleEstimate.RecordBreak(time.Since(p.startedAt), c.idleBefore)
		}
	}
	c.discard()
	p.mu.Unlock()
	if call != nil {
		call.ConnectionLost()
	}
}

// discard takes a connection out of the pool and shuts it down; Pool.mu is held. The reader wakes up and closes the
// descriptor: a Close here would wait for the reader's step under way, which may itself wait for Pool.mu, and the
// pool would never get on.
func (c *conn) discard() {
	if c.discarded {
		return
	}
	c.discarded = true
	c.leaveIdle()
	delete(c.pool.conns, c)
	c.pool.Conns.Add(-1)
	c.shutdown()
}

// shutdown ends an established connection in both directions. It never waits; Pool.mu is held.
func (c *conn) shutdown() {
	if c.raw != nil {
		c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// reserveBody counts bytes of a response against MaxTotalBodyBytes and reports whether they fit: responses without
// end from many servers at once must not exceed the memory limit of the process.
func (c *conn) reserveBody(n int) bool {
	p := c.pool
	total := p.bodyBytes.Add(int64(n))
	if p.opts.MaxTotalBodyBytes > 0 && total > p.opts.MaxTotalBodyBytes {
		p.bodyBytes.Add(-int64(n))
		return false
	}
	c.bodyBytes += int64(n)
	return true
}

// noteRead is called by the socket's reader after each read of n bytes, or of the end; Pool.mu is held. So Send never
// takes a connection of which a byte was read that is not noted yet.
func (c *conn) noteRead(int) {
	if c.call == nil {
		c.readWhileIdle = true
	}
}
