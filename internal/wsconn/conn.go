// Package wsconn is a WebSocket connection with bounds: one goroutine reads it, messages to be written wait in a
// bounded queue, and a peer that does not read them in time is disconnected. Both ends of every WebSocket connection of
// the programs use it.
//
// Pings and close frames are answered by Read, which the owner of the connection calls. An idle connection has no
// goroutine of its own: the writer starts when the queue gets its first message and ends when the queue is empty or the
// connection is closed. Nothing waits for it.
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

	"winghatch/internal/websocket"
)

// Options bound what a connection may hold. A zero takes the default.
type Options struct {
	MaxMessage   int64         // bytes of a message that is read; default 256 KiB
	MaxFrame     int64         // bytes of a frame that is read; default: as MaxMessage
	MaxQueue     int           // bytes that may wait to be written; default 1 MiB
	WriteTimeout time.Duration // in which the peer must take a write; default 5 s
	CloseTimeout time.Duration // in which the peer must answer a close frame; default 1 s
	ReadBuffer   int           // bytes; default 1 KiB
}

// The defaults of Options.
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

// ErrClosed reports that the connection accepts no more messages.
var ErrClosed = errors.New("wsconn: connection is closed")

// ErrSlowPeer reports that the queue is full because the peer does not read. The connection is closed.
var ErrSlowPeer = errors.New("wsconn: peer does not read what is written")

// PeerClosedError is the error of Read after the peer's close frame.
type PeerClosedError struct {
	Code   int // see the codes of package websocket
	Reason string
}

func (e *PeerClosedError) Error() string {
	return fmt.Sprintf("wsconn: peer closed with %d %q", e.Code, e.Reason)
}

// Conn is a connection. Read is for one goroutine; all other methods are safe for concurrent use.
type Conn struct {
	nc      net.Conn
	reader  *websocket.Reader
	role    websocket.Role
	options Options

	mu          sync.Mutex
	queue       []outgoing
	queuedBytes int  // of queue, by queueSize
	writing     bool // a writer goroutine runs
	closing     bool // a close frame is queued or written; nothing may follow it
	readEnded   bool // nothing more is read; the writer closes the socket when the queue is empty
	closed      bool // the socket is closed

	maskSource *rand.ChaCha8 // of a client; used by the writer alone

	received    atomic.Bool // a complete message came since the last turn of PingIdle
	silentTurns int         // turns of PingIdle without one; its alone
}

// newConn returns a connection whose handshake is done. in holds what was read of it beyond the handshake.
func newConn(nc net.Conn, in *bufio.Reader, role websocket.Role, o Options) *Conn {
	o = o.withDefaults()
	c := &Conn{nc: nc, reader: websocket.NewReader(in, role, o.MaxMessage), role: role, options: o}
	if o.MaxFrame > 0 {
		c.reader.LimitFrames(o.MaxFrame)
	}
	if role == websocket.Client {
		var seed [32]byte
		crand.Read(seed[:]) // masks must be unpredictable (RFC 6455 section 10.3)
		c.maskSource = rand.NewChaCha8(seed)
	}
	return c
}

// Send queues a text message. data must not be changed after. The error is ErrClosed or ErrSlowPeer.
func (c *Conn) Send(data []byte) error { return c.SendIf(data, nil) }

// SendIf queues a text message as Send does. beforeWrite, if not nil, is called by the writer right before the
// message's first byte may be written; if it returns false, nothing of the message is written.
func (c *Conn) SendIf(data []byte, beforeWrite func() bool) error {
	return c.enqueue(outgoing{websocket.Text, data, beforeWrite})
}

// ping queues a ping.
func (c *Conn) ping() error { return c.enqueue(outgoing{opcode: websocket.Ping}) }

// Close queues a close frame behind the messages that wait. Read goes on until the peer answers it. A peer that does
// not read is disconnected after WriteTimeout, one that does not answer after CloseTimeout.
func (c *Conn) Close(code int, reason string) {
	c.enqueue(outgoing{opcode: websocket.Close, data: websocket.ClosePayload(code, reason)})
}

// Abort closes the connection at once, without a close frame.
func (c *Conn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

// closeLocked closes the socket and drops the queue; the reader gets an error. c.mu is held.
func (c *Conn) closeLocked() {
	c.closed = true
	c.queue = nil
	c.queuedBytes = 0
	c.nc.Close()
}

// Read returns the next text message, which is valid until the next call. Pings and close frames are answered. After an
// error, which may be a *PeerClosedError or a *websocket.ProtocolError, the connection is over.
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
			err := &websocket.ProtocolError{Code: websocket.CodeUnsupported, Reason: "binary message, want text"}
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

// finish ends the connection after the last read: behind a close frame after a protocol error or the peer's close
// frame, at once after any other error.
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
	c.nc.SetWriteDeadline(time.Now().Add(c.options.CloseTimeout)) // also of the write in progress
}
