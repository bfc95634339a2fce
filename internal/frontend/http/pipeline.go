package http

import (
	"bytes"
	"errors"
	"os"
	"time"

	"winghatch/internal/memory"
	"winghatch/internal/socket"
)

const (
	// maxPipelinedBytes bounds the memory of the bytes that are buffered while a request is open.
	maxPipelinedBytes = 128 << 10
	// chunkOverhead is what a chunk takes beside its bytes. A client may send single bytes.
	chunkOverhead = 64
	// maxDroppedBytes bounds the bytes that are read and dropped after that buffer is full. They are read to
	// detect when the client closes the connection.
	maxDroppedBytes = 64 << 20
	// peekInterval is the interval between two checks of whether a client whose bytes are no longer read has
	// closed its connection.
	peekInterval = 50 * time.Millisecond
)

// pipeline holds the bytes that a client sent while its request was open, and the state of the reader during
// that time. Server.mu guards it.
type pipeline struct {
	chunks       []chunk
	bytes        int  // total size of chunks
	overflowed   bool // whether bytes were dropped for lack of room
	droppedBytes int  // number of bytes dropped since the overflow

	// The reader waits for the response in one of two ways. If watching is set, it is blocked in a read, and
	// finishResponse wakes it by setting a read deadline. If paused is set, it no longer reads, and
	// finishResponse wakes it through resume.
	watching        bool
	wakeDeadlineSet bool // whether a read deadline is set to wake the reader, which removes it
	paused          bool
	resume          chan struct{} // has a capacity of 1, so that finishResponse does not block
}

// chunk holds the bytes of one read. The remaining time of a request runs from the arrival of its last byte,
// even while it waits for the response to an earlier request.
type chunk struct {
	bytes     []byte // bytes that have not been consumed yet
	size      int    // memory that it takes until all bytes are consumed
	arrivedAt time.Duration
}

// consume moves bytes of the first chunk to b and returns their number and arrival time, and the size of the
// chunk if its memory was released. ok is false if there are no pipelined bytes.
func (p *pipeline) consume(b []byte) (n, released int, arrivedAt time.Duration, ok bool) {
	if len(p.chunks) == 0 {
		return 0, 0, 0, false
	}
	first := &p.chunks[0]
	n = copy(b, first.bytes)
	arrivedAt = first.arrivedAt
	first.bytes = first.bytes[n:]
	if len(first.bytes) == 0 {
		released = first.size
		p.bytes -= released
		*first = chunk{} // the array of the slice keeps the element and would keep its bytes
		p.chunks = p.chunks[1:]
	}
	return n, released, arrivedAt, true
}

// hasPipelined reports whether bytes after the current request have been read. The caller holds Server.mu.
func (c *conn) hasPipelined() bool { return c.reader.Buffered() > 0 || c.pipeline.bytes > 0 }

// awaitResponse waits until the connection can process its next request. It returns false if the connection
// ends. While a request is open, the reader must notice when the client closes the connection, because no
// further attempts may be made for that client. Bytes that arrive before the close would hide it, so the
// reader reads and buffers them.
func (c *conn) awaitResponse() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for c.phase == active {
		isConnected := true
		switch {
		case c.pipeline.droppedBytes > maxDroppedBytes:
			isConnected = c.awaitWithoutReading()
		case !c.hasPipelined():
			s.mu.Unlock()
			isConnected = c.reader.WaitReadable() == nil
			s.mu.Lock()
		default:
			s.mu.Unlock()
			c.pace()
			s.mu.Lock()
			if c.phase == active {
				isConnected = c.readPipelined()
			}
		}
		if !isConnected {
			return false
		}
	}
	c.restoreReadDeadline()
	if c.phase == idle && c.hasPipelined() {
		c.setPhase(reading)
		c.requestStarted = true
	}
	return c.phase != closing
}

// restoreReadDeadline removes the read deadline that finishResponse set to wake the reader. A closing
// connection gets the deadline for lingering instead. The caller holds Server.mu.
func (c *conn) restoreReadDeadline() {
	if !c.pipeline.wakeDeadlineSet {
		return
	}
	c.pipeline.wakeDeadlineSet = false
	deadline := time.Time{}
	if c.phase == closing {
		deadline = time.Now().Add(lingerTimeout)
	}
	c.nc.SetReadDeadline(deadline)
}

// readPipelined reads once from the socket while a request is open and buffers the bytes. It returns true
// without bytes when finishResponse wakes it, and false if the client has disconnected. If the bytes do not
// fit, it drops them and all later ones, and the connection ends after the requests already buffered. The
// caller holds Server.mu, which is released during the read.
func (c *conn) readPipelined() bool {
	s, p := c.server, &c.pipeline
	p.watching = true
	s.mu.Unlock()
	n, err := c.socketReader.Read(s.scratch[:]) // noteRead copies the bytes
	var arrivedAt time.Duration
	if n > 0 {
		arrivedAt = c.lastArrival()
	}
	s.mu.Lock()
	p.watching = false
	if err != nil {
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	if !p.overflowed {
		p.chunks[len(p.chunks)-1].arrivedAt = arrivedAt
	}
	return true
}

// add copies bytes that were read, or drops them if they do not fit or earlier ones were dropped.
func (p *pipeline) add(b []byte, account *memory.Account) {
	size := len(b) + chunkOverhead
	p.overflowed = p.overflowed || p.bytes+size > maxPipelinedBytes || !account.Reserve(int64(size))
	if p.overflowed {
		p.droppedBytes += len(b)
		return
	}
	p.chunks = append(p.chunks, chunk{bytes: bytes.Clone(b), size: size})
	p.bytes += size
}

// awaitWithoutReading waits for the response to the open request and only peeks at the socket, so that a
// client that never stops sending causes no more reads. It returns false if the client has disconnected. The
// caller holds Server.mu, which is released during the wait.
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
