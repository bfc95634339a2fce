// Package link guards one WebSocket connection: one goroutine reads it, writes wait in a bounded queue, and a
// peer that does not take them is cut off. Both ends of every connection of the program use it.
package wsconn

import (
	"bufio"
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"winghatch/internal/socket"
	"winghatch/internal/websocket"
)

// Options bound what a connection may hold. A zero takes the default.
type Options struct {
	MaxMessage   int64         // bytes of a message that is read; 256 KiB
	MaxFrame     int64         // bytes of a frame that is read; as a message
	MaxQueue     int           // bytes that may wait to be written; 1 MiB
	WriteTimeout time.Duration // the peer must take a write within this; 5 s
	CloseTimeout time.Duration // and answer a close frame within this; 1 s
	ReadBuffer   int           // bytes; 1 KiB
}

func (o Options) withDefaults() Options {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&o.MaxQueue, 1<<20)
	def(&o.ReadBuffer, 1<<10)
	if o.MaxMessage <= 0 {
		o.MaxMessage = 256 << 10
	}
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = 5 * time.Second
	}
	if o.CloseTimeout <= 0 {
		o.CloseTimeout = time.Second
	}
	return o
}

// ErrClosed says that the connection takes no more messages.
var ErrClosed = errors.New("link: connection is closed")

// ErrSlow says that the peer did not take what waited for it; the connection is cut.
var ErrSlowPeer = errors.New("link: peer does not take what is written")

// PeerClosed is the error of Read after the peer's close frame.
type PeerClosedError struct {
	Code   int
	Reason string
}

func (e *PeerClosedError) Error() string {
	return fmt.Sprintf("link: peer closed with %d %q", e.Code, e.Reason)
}

type outgoing struct {
	opcode      websocket.Opcode
	data        []byte
	beforeWrite func() bool // false: no longer wanted, nothing of it is written
}

// size is what an item counts in the queue: an empty one takes memory too, or a flood of empty pings that are
// never read would queue answers without a bound.
func (it outgoing) queueSize() int { return len(it.data) + 64 }

// Conn is a guarded connection. Read is for one goroutine; all else is safe for concurrent use.
type Conn struct {
	nc      net.Conn
	reader  *websocket.Reader
	role    websocket.Role
	options Options

	mu          sync.Mutex
	queue       []outgoing
	queuedBytes int  // bytes in queue
	writing     bool // a goroutine writes; it is started by need, an idle connection has none
	closing     bool // a close frame is queued or written; nothing goes after it
	readEnded   bool // nothing more is read; the writer closes the socket behind its last
	closed      bool
	maskSource  *rand.ChaCha8

	received    atomic.Bool // anything whole came since the last turn of Keep
	silentTurns int         // Keep's: turns without
}

// New guards a connection whose handshake is done. br holds what was read of it.
func New(nc net.Conn, br *bufio.Reader, role websocket.Role, o Options) *Conn {
	o = o.withDefaults()
	c := &Conn{nc: nc, reader: websocket.NewReader(br, role, o.MaxMessage), role: role, options: o}
	if o.MaxFrame > 0 {
		c.reader.LimitFrames(o.MaxFrame)
	}
	if role == websocket.Client {
		var seed [32]byte
		crand.Read(seed[:]) // masks must not be foreseen (RFC 6455 section 10.3)
		c.maskSource = rand.NewChaCha8(seed)
	}
	return c
}

// Dial opens a connection and does the client's handshake within the context.
func Dial(ctx context.Context, addr string, req *websocket.Request, o Options) (*Conn, error) {
	o = o.withDefaults()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc := socket.WithRetry(raw)
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	br := bufio.NewReaderSize(nc, o.ReadBuffer)
	if _, err = nc.Write(req.Bytes()); err == nil {
		err = req.ReadResponse(br)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return New(nc, br, websocket.Client, o), nil
}

// Accept does the server's handshake within the time. check, if any, may refuse it by a *ws.Refusal, which is
// the caller's to write.
func Accept(nc net.Conn, protocol string, within time.Duration, check func(*websocket.Upgrade) error, o Options) (*Conn, error) {
	o = o.withDefaults()
	nc = socket.WithRetry(nc)
	br := bufio.NewReaderSize(nc, o.ReadBuffer)
	nc.SetDeadline(time.Now().Add(within))
	u, err := websocket.ReadUpgrade(br)
	if err == nil && check != nil {
		err = check(u)
	}
	if err != nil {
		return nil, err
	}
	if _, err := nc.Write(u.Accept(protocol)); err != nil {
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return New(nc, br, websocket.Server, o), nil
}

// Listen hands each connection to f, in a goroutine of its own, until the listener is closed.
func Serve(ln net.Listener, f func(net.Conn)) {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // such as no more file descriptors
			continue
		}
		go func() { defer nc.Close(); f(nc) }()
	}
}

// Send queues a text message. The data must not change after.
func (c *Conn) Send(data []byte) error { return c.SendIf(data, nil) }

// SendIf queues a text message; begin is asked right before its first byte may be written, and where it says
// false nothing of the message is.
func (c *Conn) SendIf(data []byte, begin func() bool) error {
	return c.enqueue(outgoing{websocket.Text, data, begin})
}

func (c *Conn) enqueue(it outgoing) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing {
		return ErrClosed
	}
	if c.queuedBytes+it.queueSize() > c.options.MaxQueue && len(c.queue) > 0 {
		c.closeLocked()
		return ErrSlowPeer
	}
	c.closing = it.opcode == websocket.Close
	c.queuedBytes += it.queueSize()
	c.queue = append(c.queue, it)
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
	return nil
}

// cut ends the connection at once; the reader finds out by its error.
func (c *Conn) closeLocked() {
	c.closed, c.queue, c.queuedBytes = true, nil, 0
	c.nc.Close()
}

// Abort ends the connection at once, without a close frame.
func (c *Conn) Abort() {
	c.mu.Lock()
	c.closeLocked()
	c.mu.Unlock()
}

// maxBatch is how many bytes of messages go into one write.
const maxBatchBytes = 32 << 10

var writeBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// write empties the queue and ends.
func (c *Conn) writeLoop() {
	buf := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(buf)
	for {
		c.mu.Lock()
		if c.closed || len(c.queue) == 0 {
			c.writing = false
			c.queue = nil
			if c.readEnded {
				c.closeLocked()
			}
			c.mu.Unlock()
			return
		}
		items := c.queue
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+items[n].queueSize() <= maxBatchBytes) {
			size += items[n].queueSize()
			n++
		}
		c.queue = items[n:]
		c.queuedBytes -= size
		c.mu.Unlock()
		if !c.writeBatch(buf, items[:n]) {
			c.Abort()
		}
	}
}

func (c *Conn) writeBatch(buf *[]byte, items []outgoing) bool {
	out := (*buf)[:0]
	last := false
	for _, it := range items {
		if it.beforeWrite != nil && !it.beforeWrite() {
			continue
		}
		var mask *[4]byte
		if c.role == websocket.Client {
			v := uint32(c.maskSource.Uint64())
			mask = &[4]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24)}
		}
		out = websocket.AppendFrame(out, true, it.opcode, it.data, mask)
		last = it.opcode == websocket.Close
	}
	if cap(out) <= 2*maxBatchBytes {
		*buf = out
	}
	if len(out) == 0 {
		return true
	}
	c.mu.Lock()
	wait := c.options.WriteTimeout
	if c.readEnded {
		wait = min(wait, c.options.CloseTimeout)
	}
	c.nc.SetWriteDeadline(time.Now().Add(wait))
	c.mu.Unlock()
	if _, err := c.nc.Write(out); err != nil {
		return false
	}
	if last {
		// From here on the peer has CloseWait to close its side; the reader sees it or the deadline.
		c.nc.SetReadDeadline(time.Now().Add(c.options.CloseTimeout))
	}
	return true
}

// Close queues a close frame behind what waits. The reader goes on until the peer answers it or time is up.
func (c *Conn) Close(code int, reason string) {
	// A writer that hangs is ended by WriteWait, a peer that is silent by the deadline that flush sets.
	c.enqueue(outgoing{websocket.Close, websocket.ClosePayload(code, reason), nil})
}

// Read returns the next text message, good until the next call. It answers pings and close frames by itself.
// After an error the connection is over.
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
			c.enqueue(outgoing{websocket.Pong, append([]byte(nil), m.Data...), nil})
		case websocket.Close:
			code, reason := websocket.ParseClose(m.Data)
			c.finish(&websocket.ProtocolError{Code: code})
			return nil, &PeerClosedError{code, reason}
		}
	}
}

// Ping queues a ping.
func (c *Conn) Ping() error { return c.enqueue(outgoing{websocket.Ping, nil, nil}) }

// pings is how many go unanswered before a peer counts as gone: one may wait behind a long message.
const maxUnansweredPings = 2

// Keep pings the connections from which nothing came for the time every, and cuts those from which nothing
// comes after that either: a peer that vanished without closing is found by it within four times every. It
// counts its own turns and no clock, so that a process that stood still does not hold its sleep against its
// peers. It returns when the context ends; cut, if any, is told of each it cuts.
func PingIdle(ctx context.Context, every time.Duration, conns func() []*Conn, cut func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, c := range conns() {
			if c.received.Swap(false) {
				c.silentTurns = 0
				continue
			}
			if c.silentTurns++; c.silentTurns <= maxUnansweredPings {
				c.Ping()
				continue
			}
			c.Abort()
			if cut != nil {
				cut()
			}
		}
	}
}

// end closes after the reader's last word: with a close frame where the connection still bears one.
func (c *Conn) finish(err error) {
	code := websocket.CloseCode(err)
	var e *websocket.ProtocolError
	if !errors.As(err, &e) {
		c.Abort()
		return
	}
	c.enqueue(outgoing{websocket.Close, websocket.ClosePayload(code, e.Reason), nil})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readEnded = true; !c.writing {
		c.closeLocked()
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.options.CloseTimeout)) // also of a write under way
}
