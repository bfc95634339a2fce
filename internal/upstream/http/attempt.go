package http

import (
	"syscall"
	"time"

	"winghatch/decide"
	"winghatch/internal/socket"
	"winghatch/internal/upstream"
)

// writeTimeout limits the write of the bytes that did not fit into the socket's send buffer at once. The
// deadline of an attempt is shorter; this limit ends the writing goroutine after the core has already
// abandoned the attempt.
const writeTimeout = 10 * time.Second

// Send starts an attempt on an idle connection to its server or, if there is none, on a new connection.
// call.Server is the ID of a server that Update has added; if that server is unknown or not serving, the
// attempt ends with OutcomeConnectFailed. Send never blocks. It calls call.Done exactly once, possibly before
// it returns, unless Abandon ends the attempt first.
func (p *Pool) Send(call *upstream.Call) {
	p.mu.Lock()
	s := p.servers[call.Server]
	if s == nil || s.State != decide.Serving || p.closed {
		p.mu.Unlock()
		call.ConnectionLost()
		return
	}
	if call.IsCancelled() {
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

// Abandon ends an attempt without a result and reports whether it may have run. An established connection of
// the attempt is closed at once, because a response that arrives later could be taken for that of the next
// attempt. A connection that is still being dialed is kept.
func (p *Pool) Abandon(call *upstream.Call) upstream.AbandonResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The lock must be held here: between the write of an attempt and its MarkSent, the result would be
	// NotSent, and the request might run twice.
	result := call.Abandon()
	if c, ok := call.TransportState.(*conn); ok && c.call == call {
		c.call = nil
		if c.nc != nil {
			c.discard()
		}
	}
	return result
}

// notDispatched is the result of an attempt that was cancelled before its last byte was written.
var notDispatched = upstream.Result{Outcome: decide.OutcomeNotDispatched}

// writeAttempt writes the attempt of the connection without waiting. The socket's send buffer takes all but
// the largest requests at once; a goroutine writes the rest of those. The caller holds Pool.mu.
func (c *conn) writeAttempt() {
	call := c.call
	params := call.Params
	if call.BuildParams != nil {
		params = call.BuildParams()
	}
	call.NoteWrite()
	rest, err := socket.WritePartsNow(c.raw, append([][]byte{params}, call.Content...))
	if len(rest) == 0 {
		call.MarkSent()
		return
	}
	if err != nil && !socket.IsTransient(err) {
		c.shutdown() // wakes the reader, which ends the attempt with OutcomeConnectFailed
		return
	}
	c.writing = true
	c.pool.wg.Add(1)
	call.Memory.Retain()
	go c.writeRemainder(call, rest)
}

// writeRemainder writes the bytes of an attempt that did not fit into the socket's send buffer. The server
// cannot run the attempt before it has the last byte, so that byte is written separately: until then, the
// attempt can still be cancelled, and a broken connection means that it never ran. On an error,
// writeRemainder closes the connection, and the reader of the connection ends the attempt.
func (c *conn) writeRemainder(call *upstream.Call, rest [][]byte) {
	defer c.pool.wg.Done()
	defer call.Memory.Release()
	defer c.writeDone()
	lastPart := &rest[len(rest)-1]
	lastByte := (*lastPart)[len(*lastPart)-1:]
	*lastPart = (*lastPart)[:len(*lastPart)-1]
	if err := socket.WritePartsUntil(c.nc, rest, time.Now().Add(writeTimeout)); err != nil {
		c.nc.Close()
		return
	}
	switch written, err := c.writeLastByte(call, lastByte); {
	case err != nil:
		c.nc.Close()
	case !written:
		call.Finish(notDispatched)
	}
}

// writeLastByte waits for space in the send buffer and writes the last byte of an attempt. Before each try it
// checks whether the attempt was cancelled, and if so discards the connection and returns false. An attempt
// that was abandoned is not written either.
func (c *conn) writeLastByte(call *upstream.Call, lastByte []byte) (written bool, err error) {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer c.nc.SetWriteDeadline(time.Time{})
	for {
		waitErr := c.raw.Write(func(fd uintptr) (done bool) {
			written, err = c.tryLastByte(call, fd, lastByte)
			return err != syscall.EAGAIN // after EAGAIN, raw.Write waits until the socket is writable
		})
		if waitErr != nil {
			return false, waitErr
		}
		if err == nil || !socket.IsTransient(err) {
			return written, err
		}
		time.Sleep(socket.RetryDelay)
	}
}

// tryLastByte writes the last byte of an attempt without waiting, unless the attempt was cancelled or
// abandoned. The check and the write are done with Pool.mu held, see Abandon.
func (c *conn) tryLastByte(call *upstream.Call, fd uintptr, lastByte []byte) (written bool, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !call.Waiting() {
		return false, nil
	}
	if call.IsCancelled() {
		c.call = nil
		c.discard()
		return false, nil
	}
	if _, err := socket.Write(int(fd), lastByte); err != nil {
		return false, err
	}
	call.MarkSent()
	return true, nil
}

func (c *conn) writeDone() {
	c.pool.mu.Lock()
	c.writing = false
	c.pool.mu.Unlock()
}
