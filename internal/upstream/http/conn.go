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
	"winghatch/internal/memory"
	"winghatch/internal/socket"
	"winghatch/internal/upstream"
)

const (
	readBufferBytes = 4 << 10 // also limits the length of a line in a response head
	maxHeadBytes    = 8 << 10 // limits the length of a response head
	// smallBodyBytes is the size up to which the body of a response needs no room in Options.Memory. One for each
	// connection is part of what a connection costs.
	smallBodyBytes = 4 << 10
)

// conn is one connection to a server, including the time when it is being dialed. The goroutine that executes
// run reads from the connection; it owns the file descriptor and closes it.
type conn struct {
	pool   *Pool
	server *server
	reader *http1.Reader

	// Pool.mu guards the following fields. nc is nil until the connection is established; from then on, nc
	// and raw do not change.
	nc            *net.TCPConn
	raw           syscall.RawConn
	call          *upstream.Call // the attempt that the connection carries or is being dialed for, or nil
	idleElem      *list.Element  // the element in Pool.idleConns, or nil if the connection is not idle
	idleSince     time.Time
	respondedAt   time.Time     // end of the last response; the zero time before the first one
	idleBefore    time.Duration // idle time before the current attempt; 0 on a new connection
	readWhileIdle bool          // bytes or the end of the connection were read while it was idle
	writing       bool          // writeRemainder is running
	discarded     bool

	// Only the reader uses the following fields.
	responseBegun bool                // reading of the current response has begun
	bodyMemory    *memory.Reservation // for the body of the current response; nil: none yet
}

// makeRoom reports whether another connection may be opened. At the limit, it closes the connection that has
// been idle longest; if none is idle, it returns false. The caller holds Pool.mu.
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

// newConn registers a connection that is going to be dialed for an attempt. The caller holds Pool.mu and must
// start run afterwards.
func (p *Pool) newConn(s *server, call *upstream.Call) *conn {
	c := &conn{pool: p, server: s, call: call}
	p.conns[c] = struct{}{}
	p.Conns.Add(1)
	p.Dials.Add(1)
	p.wg.Add(1)
	return c
}

// run dials the server and then reads responses until the connection can no longer be used.
func (c *conn) run(addr string) {
	p := c.pool
	defer p.wg.Done()
	if !c.dial(addr) {
		return
	}
	more := true
	for more {
		more = c.readResponse()
		c.bodyMemory.Release()
		c.bodyMemory = nil
	}
	c.nc.Close()
}

// dial establishes the connection and writes the attempt that waits for it, if there still is one. It returns
// false if the connection failed or is no longer needed; the attempt has ended then.
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
	limits := http1.Limits{MaxHeadBytes: maxHeadBytes, MaxBodyBytes: p.opts.MaxBodyBytes,
		ReserveBody: c.reserveBody}
	socketReader := socket.NewReader(c.raw, &p.mu, c.noteRead)
	c.reader = http1.NewReader(bufio.NewReaderSize(socketReader, readBufferBytes), limits)
	var cancelled *upstream.Call
	switch call := c.call; {
	case call == nil: // the attempt was abandoned in the meantime
		c.enterIdle()
	case call.IsCancelled():
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

// dialFailed cleans up after a dial that failed or whose connection is no longer needed: it closes the
// connection, if one was opened, and ends the attempt that waited for it. err is the error of the dial or
// nil; call may be nil.
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

// readResponse reads one response and ends its attempt. It returns false if the connection can no longer be
// used.
func (c *conn) readResponse() bool {
	p := c.pool
	err := c.reader.WaitReadable()
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
		if result.Outcome == decide.OutcomeOK {
			result.Memory = c.takeBodyMemory()
		}
		call.Finish(result)
	}
	return reusable
}

// canReuse reports whether the connection may carry another attempt after a response. It may not if bytes
// have arrived after the response, because they belong to no attempt, or if writeRemainder is still writing,
// because the server responded before it had the whole attempt. The caller holds Pool.mu.
func (c *conn) canReuse(r *http1.Response) bool {
	return !r.Close && c.reader.Buffered() == 0 && !c.pool.closed && c.server.State == decide.Serving &&
		!c.discarded && !c.writing
}

// rejectResponse ends an attempt whose response cannot be parsed or is too large, and discards its
// connection.
func (c *conn) rejectResponse(call *upstream.Call) {
	p := c.pool
	p.MalformedResponses.Add(1)
	p.mu.Lock()
	c.call = nil
	c.discard()
	p.mu.Unlock()
	call.Finish(upstream.Result{Outcome: decide.OutcomeError})
}

// fail discards a connection that broke and ends the attempt that it carried; call may be nil. A break before
// the first byte of the response is recorded for the idle time that preceded the attempt.
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

// discard removes a connection from the pool and shuts it down, which wakes its reader. The caller holds
// Pool.mu. The reader closes the file descriptor: net.TCPConn.Close would wait here for a read that is in
// progress, which may in turn wait for Pool.mu, and the pool would deadlock.
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

// shutdown shuts down both directions of an established connection. It never waits. The caller holds Pool.mu.
func (c *conn) shutdown() {
	if c.raw != nil {
		c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
}

// reserveBody reserves n bytes of Options.Memory for the body of a response and reports whether they were
// available. The limit keeps endless responses from many servers at once from exceeding the memory limit of the
// process.
func (c *conn) reserveBody(n int) bool {
	if c.bodyMemory == nil {
		c.bodyMemory = memory.NewReservation(c.pool.opts.Memory, smallBodyBytes)
	}
	return c.bodyMemory.Grow(n)
}

// takeBodyMemory returns the reservation for the body of the response that was read, for the holder of the body. It
// is nil if the body needs none.
func (c *conn) takeBodyMemory() *memory.Reservation {
	taken := c.bodyMemory
	c.bodyMemory = nil
	if taken.Reserved() == 0 {
		return nil
	}
	return taken
}

// noteRead records a read on an idle connection. The socket's reader calls it with Pool.mu held after each
// read that returned bytes, the end of the connection or an error, so that Send never takes a connection with
// a read that is not recorded yet.
func (c *conn) noteRead(int) {
	if c.call == nil {
		c.readWhileIdle = true
	}
}
