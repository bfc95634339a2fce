package http

import (
	"io"
	"net"
	"time"

	"winghatch/internal/socket"
)

// Read implements io.Reader for the connection's http1.Reader. It returns pipelined bytes first, then reads
// from the socket. After an overflow of the pipeline it returns io.EOF instead of reading from the socket. On a
// closing connection it returns net.ErrClosed: nobody needs the rest of the message, and its client is no longer
// slowed down. Only finish reads what still arrives then, without parsing it.
func (c *conn) Read(b []byte) (int, error) {
	s := c.server
	s.mu.Lock()
	if c.phase == closing && !c.discards {
		s.mu.Unlock()
		return 0, net.ErrClosed
	}
	if n, released, arrivedAt, ok := c.pipeline.consume(b); ok {
		c.arrivedAt = arrivedAt
		s.memory.Release(int64(released))
		s.mu.Unlock()
		return n, nil
	}
	overflowed := c.pipeline.overflowed
	s.mu.Unlock()
	if overflowed {
		return 0, io.EOF
	}
	c.pace()
	c.awaitMoreBytes()
	n, err := c.socketReader.Read(b)
	if n > 0 {
		c.arrivedAt = c.lastArrival()
	}
	return n, err
}

// lastArrival returns when the bytes of the last read arrived, at the latest. The reader may run long after
// that: it may have paused, or the process was not scheduled. The reader calls it after each read of bytes.
func (c *conn) lastArrival() time.Duration {
	unreadFor := socket.SinceArrival(c.raw)
	arrivedAt := min(c.readAt, c.server.clock()-unreadFor)
	if !c.input.pausedBeforeRead {
		c.server.noteReadDelay(unreadFor)
		return arrivedAt
	}
	c.input.pausedBeforeRead = false
	if !c.socketReader.Waited() {
		// More bytes may have followed, so these may have arrived at any time during the pause.
		arrivedAt = min(arrivedAt, c.input.pausedAt)
	}
	return arrivedAt
}

// noteRead records a read of n bytes; n is 0 at the end of the stream. socketReader calls it after each read,
// while Server.mu is still held. Under the lock, bytes are therefore either still in the socket, where Peek
// finds them, or the connection is already marked as reading a request.
func (c *conn) noteRead(n int) {
	if n == 0 {
		c.clientGone = true
		return
	}
	c.server.Reads.Add(1)
	c.server.BytesRead.Add(int64(n))
	c.input.noteInput(n)
	if n < smallReadBytes {
		c.input.smallReads++
	}
	c.input.nextPipelined = c.input.nextPipelined || c.phase == active
	if c.phase == idle || c.phase == reading && !c.requestStarted {
		c.setPhase(reading)
	}
	c.requestStarted = true
	c.readAt = c.server.clock()
	if c.pipeline.watching {
		c.pipeline.add(c.server.scratch[:n], c.server.memory)
	}
}

// hasUnread reports whether the socket holds unread bytes. The caller holds Server.mu.
func (c *conn) hasUnread() bool {
	unread, _ := socket.Peek(c.raw)
	return unread
}

// isHungUp reports whether the client has closed the connection, even if its reader has not noticed it yet. The
// caller holds Server.mu.
func (c *conn) isHungUp() bool {
	_, ended := socket.Peek(c.raw)
	return ended
}

// checkClientGone reports whether the client of a request has disconnected or the request is no longer open.
// The gateway asks before it writes an attempt. The reader may not have run since the client closed the
// connection, so checkClientGone also checks the socket.
func (c *conn) checkClientGone(requestID string) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.clientGone || c.requestID != requestID {
		return true
	}
	_, c.clientGone = socket.Peek(c.raw)
	return c.clientGone
}
