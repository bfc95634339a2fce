package wsconn

import (
	"sync"
	"time"

	"winghatch/internal/websocket"
)

const (
	// maxBatchBytes is how many queued bytes go into one write, at least one message.
	maxBatchBytes = 32 << 10

	// queueOverhead is added to the size of each message in the queue. Without it a flood of empty pings from a peer
	// that reads nothing would queue empty pongs without a bound.
	queueOverhead = 64
)

// outgoing is a message that waits to be written.
type outgoing struct {
	opcode      websocket.Opcode
	data        []byte
	beforeWrite func() bool // see SendIf; nil: always written
}

// queueSize is what a message counts in the queue, in bytes.
func (m outgoing) queueSize() int { return len(m.data) + queueOverhead }

// newWriteBuffer is the capacity of a new write buffer, in bytes.
const newWriteBuffer = 4 << 10

// writeBuffers are those of the writers that run, so that an idle connection has none.
var writeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, newWriteBuffer)
	return &b
}}

// enqueue adds a message to the queue and starts the writer if none runs. A message is always accepted by an empty
// queue, whatever its size.
func (c *Conn) enqueue(m outgoing) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return ErrClosed
	}
	if c.queuedBytes+m.queueSize() > c.options.MaxQueue && len(c.queue) > 0 {
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

// writeLoop writes until the queue is empty or the connection is closed. At most one runs for a connection.
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

// nextBatch takes messages off the queue. It returns nil when the writer has to end.
func (c *Conn) nextBatch() []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
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
	return batch
}

// writeBatch writes messages in one write and reports whether it succeeded. buf is kept for the next batch unless it
// has grown beyond two batches, as by a large message: the pool would hold its memory.
func (c *Conn) writeBatch(buf *[]byte, batch []outgoing) bool {
	out := (*buf)[:0]
	closeFrame := false
	for _, m := range batch {
		if m.beforeWrite != nil && !m.beforeWrite() {
			continue
		}
		out = websocket.AppendFrame(out, true, m.opcode, m.data, c.nextMask())
		closeFrame = m.opcode == websocket.Close
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
	if closeFrame {
		// The peer has CloseTimeout to close its side; then the reader gets an error.
		c.nc.SetReadDeadline(time.Now().Add(c.options.CloseTimeout))
	}
	return true
}

// nextMask returns a new mask for a client's frame, nil for a server's.
func (c *Conn) nextMask() *[4]byte {
	if c.role != websocket.Client {
		return nil
	}
	v := uint32(c.maskSource.Uint64())
	return &[4]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24)}
}

// setWriteDeadline holds the mutex, so that finish can't set its shorter deadline before this one.
func (c *Conn) setWriteDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.options.WriteTimeout
	if c.readEnded {
		timeout = min(timeout, c.options.CloseTimeout)
	}
	c.nc.SetWriteDeadline(time.Now().Add(timeout))
}
