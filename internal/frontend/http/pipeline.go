package http

import (
	"bytes"
	"errors"
	"os"
	"time"

	"winghatch/internal/socket"
)

const (
	maxPipelinedBytes = 128 << 10 // kept of what arrives while a request is open
	maxDroppedBytes   = 64 << 20  // read and dropped beyond that, to see when the client closes
	pipelineReadBytes = 16 << 10  // of one read
	// peekInterval is how often the socket of a client whose bytes are not read any more is checked for its end.
	peekInterval = 50 * time.Millisecond
)

// pipeline is what a client sent while its request was open, and the state of the reader meanwhile. Server.mu guards
// it.
type pipeline struct {
	chunks       []chunk
	bytes        int // in chunks
	overflowed   bool
	droppedBytes int // read after the overflow

	// The reader waits in one of two ways: in a read, from which finishResponse wakes it by a deadline, or, once it
	// reads no more, on resume.
	watching bool
	woken    bool // a deadline was set to wake it, which the reader takes back
	paused   bool
	resume   chan struct{} // has room for one
}

// chunk is what one read brought. The time of a request runs from the arrival of its last byte, also while it waits
// for the response to another one.
type chunk struct {
	bytes     []byte
	arrivedAt time.Duration
}

// take moves pipelined bytes of one arrival to b; ok is false if there are none.
func (p *pipeline) take(b []byte) (n int, arrivedAt time.Duration, ok bool) {
	if len(p.chunks) == 0 {
		return 0, 0, false
	}
	first := &p.chunks[0]
	n = copy(b, first.bytes)
	arrivedAt = first.arrivedAt
	p.bytes -= n
	first.bytes = first.bytes[n:]
	if len(first.bytes) == 0 {
		p.chunks = p.chunks[1:]
	}
	return n, arrivedAt, true
}

// hasPipelined reports whether bytes behind the current request were read; Server.mu is held.
func (c *conn) hasPipelined() bool { return c.reader.Buffered() > 0 || c.pipeline.bytes > 0 }

// awaitResponse returns once the connection may take its next request. While one is open, the reader waits for the
// client's end: bytes that arrive meanwhile must not hide it, so they are read and buffered. False: the connection
// ends.
func (c *conn) awaitResponse() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	var buf []byte
	for c.phase == active {
		clientStays := true
		switch {
		case c.pipeline.droppedBytes > maxDroppedBytes:
			clientStays = c.awaitWithoutReading()
		case !c.hasPipelined():
			s.mu.Unlock()
			clientStays = c.reader.WaitReadable() == nil
			s.mu.Lock()
		default:
			if buf == nil {
				buf = make([]byte, pipelineReadBytes)
			}
			clientStays = c.readPipelined(buf)
		}
		if !clientStays {
			return false
		}
	}
	c.restoreReadDeadline()
	if c.phase == idle && c.hasPipelined() {
		c.setPhase(reading)
		c.requestBegun = true
	}
	return c.phase != closing
}

// restoreReadDeadline takes back the deadline by which finishResponse woke the reader; Server.mu is held.
func (c *conn) restoreReadDeadline() {
	if !c.pipeline.woken {
		return
	}
	c.pipeline.woken = false
	deadline := time.Time{}
	if c.phase == closing {
		deadline = time.Now().Add(lingerTimeout)
	}
	c.nc.SetReadDeadline(deadline)
}

// readPipelined reads what arrives behind the open request, until finishResponse wakes it. What does not fit is
// dropped, and nothing after it is a request: the connection ends behind the requests that were buffered. False: the
// client has disconnected. Server.mu is held, but not while it waits.
func (c *conn) readPipelined(buf []byte) bool {
	s, p := c.server, &c.pipeline
	p.watching = true
	s.mu.Unlock()
	n, err := c.socketReader.Read(buf)
	s.mu.Lock()
	p.watching = false
	if err != nil {
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	p.overflowed = p.overflowed || p.bytes+n > maxPipelinedBytes || !s.hasBodyRoom(n)
	if p.overflowed {
		p.droppedBytes += n
		return true
	}
	p.chunks = append(p.chunks, chunk{bytes.Clone(buf[:n]), c.readAt})
	p.bytes += n
	s.bodyBytes += int64(n)
	return true
}

// awaitWithoutReading waits for the open request's response while it only looks at the socket: a client that sends
// without end must not cost more reads. False: the client has disconnected. Server.mu is held, but not while it
// waits.
func (c *conn) awaitWithoutReading() bool {
	s := c.server
	c.pipeline.paused = true
	s.mu.Unlock()
	ticker := time.NewTicker(peekInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.pipeline.resume:
			s.mu.Lock()
			return true
		case <-ticker.C:
		}
		s.mu.Lock()
		if _, c.clientGone = socket.Peek(c.raw); c.clientGone {
			c.pipeline.paused = false
			return false
		}
		s.mu.Unlock()
	}
}
