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
	Message    int64         // bytes of a message that is read; 256 KiB
	Frame      int64         // bytes of a frame that is read; as a message
	Queue      int           // bytes that may wait to be written; 1 MiB
	WriteWait  time.Duration // the peer must take a write within this; 5 s
	CloseWait  time.Duration // and answer a close frame within this; 1 s
	ReadBuffer int           // bytes; 1 KiB
}

func (o Options) filled() Options {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&o.Queue, 1<<20)
	def(&o.ReadBuffer, 1<<10)
	if o.Message <= 0 {
		o.Message = 256 << 10
	}
	if o.WriteWait <= 0 {
		o.WriteWait = 5 * time.Second
	}
	if o.CloseWait <= 0 {
		o.CloseWait = time.Second
	}
	return o
}

// ErrClosed says that the connection takes no more messages.
var ErrClosed = errors.New("link: connection is closed")

// ErrSlow says that the peer did not take what waited for it; the connection is cut.
var ErrSlow = errors.New("link: peer does not take what is written")

// PeerClosed is the error of Read after the peer's close frame.
type PeerClosed struct {
	Code   int
	Reason string
}

func (e *PeerClosed) Error() string {
	return fmt.Sprintf("link: peer closed with %d %q", e.Code, e.Reason)
}

type item struct {
	op    websocket.Op
	data  []byte
	begin func() bool // false: no longer wanted, nothing of it is written
}

// size is what an item counts in the queue: an empty one takes memory too, or a flood of empty pings that are
// never read would queue answers without a bound.
func (it item) size() int { return len(it.data) + 64 }

// Conn is a guarded connection. Read is for one goroutine; all else is safe for concurrent use.
type Conn struct {
	nc   net.Conn
	r    *websocket.Reader
	role websocket.Role
	o    Options

	mu      sync.Mutex
	queue   []item
	waiting int  // bytes in queue
	writing bool // a goroutine writes; it is started by need, an idle connection has none
	closing bool // a close frame is queued or written; nothing goes after it
	ended   bool // nothing more is read; the writer closes the socket behind its last
	dead    bool
	masks   *rand.ChaCha8

	heard atomic.Bool // anything whole came since the last turn of Keep
	quiet int         // Keep's: turns without
}

// New guards a connection whose handshake is done. br holds what was read of it.
func New(nc net.Conn, br *bufio.Reader, role websocket.Role, o Options) *Conn {
	o = o.filled()
	c := &Conn{nc: nc, r: websocket.NewReader(br, role, o.Message), role: role, o: o}
	if o.Frame > 0 {
		c.r.LimitFrames(o.Frame)
	}
	if role == websocket.Client {
		var seed [32]byte
		crand.Read(seed[:]) // masks must not be foreseen (RFC 6455 section 10.3)
		c.masks = rand.NewChaCha8(seed)
	}
	return c
}

// Dial opens a connection and does the client's handshake within the context.
func Dial(ctx context.Context, addr string, req *websocket.Request, o Options) (*Conn, error) {
	o = o.filled()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	nc := socket.Patient(raw)
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
	o = o.filled()
	nc = socket.Patient(nc)
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
func Listen(ln net.Listener, f func(net.Conn)) {
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
	return c.push(item{websocket.Text, data, begin})
}

func (c *Conn) push(it item) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || c.closing {
		return ErrClosed
	}
	if c.waiting+it.size() > c.o.Queue && len(c.queue) > 0 {
		c.cut()
		return ErrSlow
	}
	c.closing = it.op == websocket.Close
	c.waiting += it.size()
	c.queue = append(c.queue, it)
	if !c.writing {
		c.writing = true
		go c.write()
	}
	return nil
}

// cut ends the connection at once; the reader finds out by its error.
func (c *Conn) cut() {
	c.dead, c.queue, c.waiting = true, nil, 0
	c.nc.Close()
}

// Abort ends the connection at once, without a close frame.
func (c *Conn) Abort() {
	c.mu.Lock()
	c.cut()
	c.mu.Unlock()
}

// maxBatch is how many bytes of messages go into one write.
const maxBatch = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// write empties the queue and ends.
func (c *Conn) write() {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		c.mu.Lock()
		if c.dead || len(c.queue) == 0 {
			c.writing = false
			c.queue = nil
			if c.ended {
				c.cut()
			}
			c.mu.Unlock()
			return
		}
		items := c.queue
		n, size := 0, 0
		for n < len(items) && (n == 0 || size+items[n].size() <= maxBatch) {
			size += items[n].size()
			n++
		}
		c.queue = items[n:]
		c.waiting -= size
		c.mu.Unlock()
		if !c.flush(buf, items[:n]) {
			c.Abort()
		}
	}
}

func (c *Conn) flush(buf *[]byte, items []item) bool {
	out := (*buf)[:0]
	last := false
	for _, it := range items {
		if it.begin != nil && !it.begin() {
			continue
		}
		var mask *[4]byte
		if c.role == websocket.Client {
			v := uint32(c.masks.Uint64())
			mask = &[4]byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24)}
		}
		out = websocket.AppendFrame(out, true, it.op, it.data, mask)
		last = it.op == websocket.Close
	}
	if cap(out) <= 2*maxBatch {
		*buf = out
	}
	if len(out) == 0 {
		return true
	}
	c.mu.Lock()
	wait := c.o.WriteWait
	if c.ended {
		wait = min(wait, c.o.CloseWait)
	}
	c.nc.SetWriteDeadline(time.Now().Add(wait))
	c.mu.Unlock()
	if _, err := c.nc.Write(out); err != nil {
		return false
	}
	if last {
		// From here on the peer has CloseWait to close its side; the reader sees it or the deadline.
		c.nc.SetReadDeadline(time.Now().Add(c.o.CloseWait))
	}
	return true
}

// Close queues a close frame behind what waits. The reader goes on until the peer answers it or time is up.
func (c *Conn) Close(code int, reason string) {
	// A writer that hangs is ended by WriteWait, a peer that is silent by the deadline that flush sets.
	c.push(item{websocket.Close, websocket.ClosePayload(code, reason), nil})
}

// Read returns the next text message, good until the next call. It answers pings and close frames by itself.
// After an error the connection is over.
func (c *Conn) Read() ([]byte, error) {
	for {
		m, err := c.r.Next()
		if err != nil {
			c.end(err)
			return nil, err
		}
		c.heard.Store(true)
		switch m.Op {
		case websocket.Text:
			return m.Data, nil
		case websocket.Binary:
			err := &websocket.Error{Code: websocket.CodeUnsupported, Text: "binary message, want text"}
			c.end(err)
			return nil, err
		case websocket.Ping:
			c.push(item{websocket.Pong, append([]byte(nil), m.Data...), nil})
		case websocket.Close:
			code, reason := websocket.ParseClose(m.Data)
			c.end(&websocket.Error{Code: code})
			return nil, &PeerClosed{code, reason}
		}
	}
}

// Ping queues a ping.
func (c *Conn) Ping() error { return c.push(item{websocket.Ping, nil, nil}) }

// pings is how many go unanswered before a peer counts as gone: one may wait behind a long message.
const pings = 2

// Keep pings the connections from which nothing came for the time every, and cuts those from which nothing
// comes after that either: a peer that vanished without closing is found by it within four times every. It
// counts its own turns and no clock, so that a process that stood still does not hold its sleep against its
// peers. It returns when the context ends; cut, if any, is told of each it cuts.
func Keep(ctx context.Context, every time.Duration, conns func() []*Conn, cut func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, c := range conns() {
			if c.heard.Swap(false) {
				c.quiet = 0
				continue
			}
			if c.quiet++; c.quiet <= pings {
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
func (c *Conn) end(err error) {
	code := websocket.CloseCode(err)
	var e *websocket.Error
	if !errors.As(err, &e) {
		c.Abort()
		return
	}
	c.push(item{websocket.Close, websocket.ClosePayload(code, e.Text), nil})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended = true; !c.writing {
		c.cut()
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.o.CloseWait)) // also of a write under way
}
