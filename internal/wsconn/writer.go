package wsconn

import (
	"sync"
	"time"

	"winghatch/internal/websocket"
)

const (
	// smallQueueBytes is the size up to which a queue needs no room in Options.Memory.
	smallQueueBytes = 16 << 10

	// maxBatchBytes is the maximum number of queued bytes per write. A larger message is written on its
	// own.
	maxBatchBytes = 32 << 10

	// queueOverhead is the number of bytes that is added to the size of each message in the queue. Without
	// it, a peer that sends empty pings and reads nothing could cause an unlimited number of queued empty
	// pongs.
	queueOverhead = 64
)

// outgoing is a message or control frame in the write queue.
type outgoing struct {
	opcode      websocket.Opcode
	data        []byte
	beforeWrite func() bool // whether to write the message, see SendIf; nil: always written
}

// queueSize returns the number of bytes that the message contributes to the size of the queue.
func (m outgoing) queueSize() int { return len(m.data) + queueOverhead }

// newWriteBufferBytes is the capacity of a new write buffer.
const newWriteBufferBytes = 4 << 10

// writeBuffers is the pool of the write buffers of the running writers. Idle connections have no write
// buffer.
var writeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, newWriteBufferBytes)
	return &b
}}

// enqueue adds a message to the queue and starts the writer if it is not running. An empty queue accepts a
// message of any size. It returns ErrClosed if the connection accepts no more messages, and ErrSlowPeer if
// the queue is full.
func (c *Conn) enqueue(m outgoing) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return ErrClosed
	}
	if c.queuedBytes+m.queueSize() > c.options.MaxQueue && len(c.queue) > 0 || !c.reserve(m.queueSize()) {
		c.closeLocked()
		return ErrSlowPeer
	}
	c.closing = m.opcode == websocket.Close
	c.queuedBytes += m.queueSize()
	c.queue = append(c.queue, m)
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
	return nil
}

// reserve reserves the memory of a message for the queue. A queue that holds little gets it even beyond the limit, so
// that peers that read do not lose messages to those that don't. The caller holds c.mu.
func (c *Conn) reserve(bytes int) bool {
	if c.queuedBytes+bytes > smallQueueBytes {
		return c.options.Memory.Reserve(int64(bytes))
	}
	c.options.Memory.Add(int64(bytes))
	return true
}

// writeLoop writes messages until the queue is empty or the connection is closed. At most one writeLoop is
// running per connection.
func (c *Conn) writeLoop() {
	buf := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(buf)
	for {
		batch := c.nextBatch()
		if batch == nil {
			return
		}
		if !c.writeBatch(buf, batch) {
			c.Abort()
		}
	}
}

// nextBatch releases the memory of the last batch, removes messages from the front of the queue and returns them. It
// returns nil when the writer must end.
func (c *Conn) nextBatch() []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.Memory.Release(int64(c.batchBytes))
	c.batchBytes = 0
	if c.closed || len(c.queue) == 0 {
		c.writing = false
		c.queue = nil
		if c.readEnded {
			c.closeLocked()
		}
		return nil
	}
	n, size := 0, 0
	for n < len(c.queue) && (n == 0 || size+c.queue[n].queueSize() <= maxBatchBytes) {
		size += c.queue[n].queueSize()
		n++
	}
	batch := c.queue[:n]
	c.queue = c.queue[n:]
	c.queuedBytes -= size
	c.batchBytes = size
	return batch
}

// writeBatch writes the messages of a batch in one write and reports whether it succeeded. The buffer is
// kept in buf for the next batch. It is discarded if a large message made it grow beyond the size of two
// batches, so that the pool does not hold its memory.
func (c *Conn) writeBatch(buf *[]byte, batch []outgoing) bool {
	out := (*buf)[:0]
	hasCloseFrame := false
	for _, m := range batch {
		if m.beforeWrite != nil && !m.beforeWrite() {
			continue
		}
		out = websocket.AppendFrame(out, true, m.opcode, m.data, c.nextMask())
		hasCloseFrame = m.opcode == websocket.Close
	}
	if cap(out) <= 2*maxBatchBytes {
		*buf = out
	}
	if len(out) == 0 {
		return true
	}
	c.setWriteDeadline()
	if _, err := c.nc.Write(out); err != nil {
		return false
	}
	if hasCloseFrame {
		// If the peer does not close its side within CloseTimeout, Read returns an error.
		c.nc.SetReadDeadline(time.Now().Add(c.options.CloseTimeout))
	}
	return true
}

// nextMask returns a new mask for a frame from a client, or nil in a server.
func (c *Conn) nextMask() *[4]byte {
	if c.role != websocket.Client {
		return nil
	}
	v := uint32(c.maskSource.Uint64())
	return &[4]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24)}
}

// setWriteDeadline sets the deadline for the next write. It holds the mutex so that it cannot replace the
// shorter deadline that finish sets.
func (c *Conn) setWriteDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.options.WriteTimeout
	if c.readEnded {
		timeout = min(timeout, c.options.CloseTimeout)
	}
	c.nc.SetWriteDeadline(time.Now().Add(timeout))
}
