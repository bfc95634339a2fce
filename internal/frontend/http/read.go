package http

import (
	"io"

	"winghatch/internal/socket"
)

// Read returns pipelined bytes first, then reads from the socket, for the http1.Reader.
func (c *conn) Read(b []byte) (int, error) {
	s := c.server
	s.mu.Lock()
	if n, arrivedAt, ok := c.pipeline.take(b); ok {
		c.arrivedAt = arrivedAt
		s.bodyBytes -= int64(n)
		s.mu.Unlock()
		return n, nil
	}
	overflowed := c.pipeline.overflowed
	s.mu.Unlock()
	if overflowed {
		return 0, io.EOF
	}
	n, err := c.socketReader.Read(b)
	c.arrivedAt = c.readAt
	return n, err
}

// noteRead is called by socketReader after each read of n bytes; Server.mu is held. Bytes are so either still in the
// socket, where Peek sees them, or the connection is known to be reading a request.
func (c *conn) noteRead(n int) {
	if n == 0 {
		c.clientGone = true
		return
	}
	if c.phase == idle || c.phase == reading && !c.requestBegun {
		c.setPhase(reading)
	}
	c.requestBegun = true
	c.readAt = c.server.clock()
}

// hasUnread reports whether the socket holds unread bytes; Server.mu is held.
func (c *conn) hasUnread() bool {
	unread, _ := socket.Peek(c.raw)
	return unread
}

// clientLeft reports whether the client of a request has disconnected, or the request is not open any more. It looks
// at the socket too: when an attempt is written, the reader may not have run since the client closed.
func (c *conn) clientLeft(requestID string) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.clientGone || c.requestID != requestID {
		return true
	}
	_, c.clientGone = socket.Peek(c.raw)
	return c.clientGone
}

// reserveBody counts bytes of a body against Server.maxBodyBytes and reports whether they fit: hundreds of large
// bodies at once must not exceed the memory limit of the process.
func (c *conn) reserveBody(n int) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasBodyRoom(n) {
		return false
	}
	s.bodyBytes += int64(n)
	c.bodyBytes += int64(n)
	return true
}
