// Package wsconn implements WebSocket connections with bounded memory. One goroutine reads the connection.
// Messages to be written wait in a bounded queue, and a peer that does not read them in time is
// disconnected. Both ends of all WebSocket connections in this repository use this package.
//
// Read, which the owner of the connection calls, responds to pings and close frames. An idle connection has
// no goroutine of its own: the writer goroutine starts when a message is added to the empty queue, and ends
// when the queue is empty or the connection is closed. Nothing waits for the writer goroutine to end.
package wsconn

import (
	"bufio"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/memory"
	"winghatch/internal/websocket"
)

// Options are the limits of a connection. Zero or negative values mean the default.
type Options struct {
	// MaxMessage is the maximum size of a received message in bytes. The default is 256 KiB.
	MaxMessage int64
	// MaxFrame is the maximum payload size of a received data frame in bytes. The default is MaxMessage.
	MaxFrame int64
	// MaxQueue is the maximum size of the queue of messages to be written, in bytes. It includes 64 bytes
	// of overhead per message. The default is 1 MiB.
	MaxQueue int
	// WriteTimeout is the time within which the peer must accept a write. The default is 5 s.
	WriteTimeout time.Duration
	// CloseTimeout is the time within which the peer must respond to a close frame. The default is 1 s.
	CloseTimeout time.Duration
	// Memory limits the memory of the messages of many connections that are being received or wait to be written.
	// A message for which there is no memory is not received, and a connection whose queue holds much already is
	// closed with ErrSlowPeer. The default is no limit.
	Memory *memory.Account
	// ReadBuffer is the size of the read buffer in bytes. The default is 1 KiB.
	ReadBuffer int
}

// Default values of Options.
const (
	defaultMaxMessage   = 256 << 10
	defaultMaxQueue     = 1 << 20
	defaultWriteTimeout = 5 * time.Second
	defaultCloseTimeout = time.Second
	defaultReadBuffer   = 1 << 10
)

func (o Options) withDefaults() Options {
	if o.MaxMessage <= 0 {
		o.MaxMessage = defaultMaxMessage
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = defaultMaxQueue
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.CloseTimeout <= 0 {
		o.CloseTimeout = defaultCloseTimeout
	}
	if o.ReadBuffer <= 0 {
		o.ReadBuffer = defaultReadBuffer
	}
	return o
}

// ErrClosed is returned when a message is sent after the connection was closed or a close frame was queued.
var ErrClosed = errors.New("wsconn: connection is closed")

// ErrSlowPeer is returned when the queue is full because the peer reads too slowly. The connection is then
// closed.
var ErrSlowPeer = errors.New("wsconn: write queue is full because the peer reads too slowly")

// PeerClosedError is returned by Read when the peer has sent a close frame.
type PeerClosedError struct {
	// Code is the status code of the close frame, such as websocket.CodeNormal. It is
	// websocket.CodeNoStatus if the close frame has no code.
	Code int
	// Reason is the reason in the close frame. It may be empty.
	Reason string
}

func (e *PeerClosedError) Error() string {
	return fmt.Sprintf("wsconn: peer closed the connection with code %d, reason %q", e.Code, e.Reason)
}

// Conn is a WebSocket connection. Read must only be called by one goroutine at a time. All other methods
// are safe for concurrent use.
type Conn struct {
	nc      net.Conn
	reader  *websocket.Reader
	role    websocket.Role
	options Options

	mu          sync.Mutex // guards the fields from here to closed
	queue       []outgoing
	queuedBytes int  // sum of queueSize over queue
	batchBytes  int  // sum of queueSize over the batch that is being written
	writing     bool // whether a writer goroutine is running
	closing     bool // whether a close frame is queued or written; no message may follow it
	readEnded   bool // whether reading has ended; the writer then closes the socket once the queue is empty
	closed      bool // whether the socket is closed

	maskSource *rand.ChaCha8 // generates the masks of a client, otherwise nil; only used by the writer

	received     atomic.Bool // whether a message or control frame arrived since the last round of PingIdle
	silentRounds int         // consecutive rounds in which nothing has arrived; only used by PingIdle
}

// newConn returns a Conn for a connection whose handshake is complete. in reads from nc and may contain
// bytes that arrived after the handshake.
func newConn(nc net.Conn, in *bufio.Reader, role websocket.Role, o Options) *Conn {
	o = o.withDefaults()
	c := &Conn{nc: nc, reader: websocket.NewReader(in, role, o.MaxMessage), role: role, options: o}
	if o.MaxFrame > 0 {
		c.reader.LimitFrames(o.MaxFrame)
	}
	if o.Memory != nil {
		c.reader.LimitMemory(o.Memory)
	}
	if role == websocket.Client {
		var seed [32]byte
		crand.Read(seed[:]) // masks must be unpredictable (RFC 6455, section 10.3)
		c.maskSource = rand.NewChaCha8(seed)
	}
	return c
}

// Send queues a text message. data must not be modified afterwards. The error is ErrClosed or ErrSlowPeer.
func (c *Conn) Send(data []byte) error { return c.SendIf(data, nil) }

// SendIf queues a text message like Send. The writer calls beforeWrite immediately before the first byte of
// the message may be written. If beforeWrite returns false, nothing of the message is written. Nil means
// that the message is always written.
func (c *Conn) SendIf(data []byte, beforeWrite func() bool) error {
	return c.enqueue(outgoing{websocket.Text, data, beforeWrite})
}

// ping queues a ping.
func (c *Conn) ping() error { return c.enqueue(outgoing{opcode: websocket.Ping}) }

// Close queues a close frame after the queued messages. Read continues to return messages until the peer
// responds to the close frame. A peer that does not read is disconnected after WriteTimeout, and one that
// does not respond to the close frame after CloseTimeout.
func (c *Conn) Close(code int, reason string) {
	c.enqueue(outgoing{opcode: websocket.Close, data: websocket.ClosePayload(code, reason)})
}

// Abort closes the connection immediately, without a close frame, and drops the queued messages.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the socket and drops the queue. Read then returns an error. The caller must hold c.mu.
func (c *Conn) closeLocked() {
	c.closed = true
	c.queue = nil
	c.options.Memory.Release(int64(c.queuedBytes))
	c.queuedBytes = 0
	c.nc.Close()
}

// Read returns the next text message, which is valid until the next call. It responds to pings and close
// frames. The error is a *PeerClosedError, a *websocket.ProtocolError or an error of the connection. After
// an error the connection cannot be used any more.
func (c *Conn) Read() ([]byte, error) {
	for {
		m, err := c.reader.Next()
		if err != nil {
			c.finish(err)
			return nil, err
		}
		c.received.Store(true)
		switch m.Opcode {
		case websocket.Text:
			return m.Data, nil
		case websocket.Binary:
			err := &websocket.ProtocolError{
				Code:   websocket.CodeUnsupported,
				Reason: "binary message, want text",
			}
			c.finish(err)
			return nil, err
		case websocket.Ping:
			payload := append([]byte(nil), m.Data...) // m.Data is valid until the next read
			c.enqueue(outgoing{opcode: websocket.Pong, data: payload})
		case websocket.Close:
			code, reason := websocket.ParseClose(m.Data)
			c.finish(&websocket.ProtocolError{Code: code})
			return nil, &PeerClosedError{code, reason}
		}
	}
}

// finish ends the connection after the last read. After a protocol error or a close frame from the peer it
// queues a close frame and leaves it to the writer to close the connection. After any other error it closes
// the connection immediately.
func (c *Conn) finish(err error) {
	var e *websocket.ProtocolError
	if !errors.As(err, &e) {
		c.Abort()
		return
	}
	payload := websocket.ClosePayload(e.Code, e.Reason)
	c.enqueue(outgoing{opcode: websocket.Close, data: payload})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnded = true
	if !c.writing {
		c.closeLocked()
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.options.CloseTimeout)) // also applies to a write in progress
}
