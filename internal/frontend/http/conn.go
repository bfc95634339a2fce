package http

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/frontend/connlimit"
	"winghatch/internal/http1"
	"winghatch/internal/socket"
)

// phase is what a connection is at; package connlimit is told of each change.
type phase int

const (
	reading phase = iota // its request is not whole; a new one asks from the start
	active               // a request is open
	idle                 // between two requests
	closing              // its writing side is shut: nothing that comes is a request
)

type conn struct {
	server *Server
	id     connlimit.ID
	nc     *net.TCPConn
	raw    syscall.RawConn
	reader *http1.Reader

	// s.mu guards the fields from here on.
	phase          phase
	requestBegun   bool          // a byte of the request under way was read; while one is open, of the next
	requestID      string        // the core's id of the open request; empty: none
	txn            string        // its X-Txn
	deadline       time.Duration // its time is over; of the last request, where none is open
	lastResponse   bool          // the answer under way is the connection's last
	clientGone     bool          // the client has left, or the connection broke
	watching       bool          // the reader waits in watch and must be woken by an answer ...
	woken          bool          // ... as it was, by a read deadline that it takes back
	writeShut      bool          // its writing side is shut
	lingerElem     *list.Element
	pipelined      []chunk // came behind the open request
	pipelinedBytes int     // bytes in readAhead
	overflowed     bool    // more came than is kept: nothing behind that is a request
	droppedBytes   int     // bytes of it
	paused         bool    // the reader waits in pause for freed
	resume         chan struct{}
	bodyBytes      int64 // counted in s.bodies

	pendingWrites sync.WaitGroup // answers that wait for room in the socket's buffer

	// The reader's own: when the bytes came that a request was last taken from, when the socket was last read, and the read
	// under way; see Read.
	arrivedAt time.Duration
	readAt    time.Duration
	readBuf   []byte
	readN     int
	readErr   error
	readFunc  func(fd uintptr) bool
}

// chunk is what one read brought. A request's time runs from its last byte, also where it waits behind another one.
type chunk struct {
	bytes []byte
	at    time.Duration
}

func newConn(s *Server, id connlimit.ID, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{server: s, id: id, nc: nc, raw: raw, resume: make(chan struct{}, 1)}
	c.readFunc = c.readStep
	c.reader = http1.NewReader(bufio.NewReaderSize(c, readBufferBytes), http1.Limits{MaxHeadBytes: maxHeadBytes, MaxBodyBytes: maxBodyBytes, ReserveBody: c.reserveBody})
	return c
}

// Read reads what came ahead, then from the socket.
func (c *conn) Read(b []byte) (int, error) {
	c.server.mu.Lock()
	if len(c.pipelined) > 0 {
		first := &c.pipelined[0]
		n := copy(b, first.bytes)
		c.arrivedAt = first.at
		c.pipelinedBytes -= n
		c.server.bodyBytes -= int64(n)
		if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
			c.pipelined = c.pipelined[1:]
		}
		c.server.mu.Unlock()
		return n, nil
	}
	overrun := c.overflowed
	c.server.mu.Unlock()
	if overrun {
		return 0, io.EOF
	}
	n, err := c.readSocket(b)
	c.arrivedAt = c.readAt
	return n, err
}

// receive reads from the socket. Each step holds the lock, so that bytes are either still in the socket, where Peek finds
// them, or the connection is known to ask.
func (c *conn) readSocket(b []byte) (int, error) {
	c.readBuf = b
	for {
		if err := c.raw.Read(c.readFunc); err != nil {
			return 0, err
		}
		if c.readErr != nil && socket.IsTransient(c.readErr) {
			time.Sleep(socket.RetryPause)
			continue
		}
		if c.readN == 0 && c.readErr == nil {
			return 0, io.EOF
		}
		return c.readN, c.readErr
	}
}

func (c *conn) readStep(fd uintptr) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readN, c.readErr = socket.ReadNow(fd, c.readBuf)
	if c.readErr == syscall.EAGAIN {
		return false
	}
	switch {
	case c.readErr != nil && socket.IsTransient(c.readErr):
		return true
	case c.readN == 0:
		c.clientGone = true
		return true
	case c.phase == idle || c.phase == reading && !c.requestBegun:
		c.setPhase(reading)
	}
	c.requestBegun = true
	c.readAt = c.server.clock()
	return true
}

// unread reports whether bytes wait in the socket; s.mu is held.
func (c *conn) hasUnread() bool {
	unread, _ := socket.Peek(c.raw)
	return unread
}

// left reports whether the client has gone. The socket is asked too: at the write of an attempt the reader may not have
// been let run since the client closed.
func (c *conn) clientLeft(open string) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.clientGone || c.requestID != open {
		return true
	}
	_, c.clientGone = socket.Peek(c.raw)
	return c.clientGone
}

// to changes the phase; s.mu is held.
func (c *conn) setPhase(p phase) {
	c.phase = p
	now := c.server.clock()
	switch p {
	case reading:
		c.server.limit.MarkReading(now, c.id)
	case active:
		c.server.limit.MarkActive(now, c.id)
	case idle:
		c.server.limit.MarkIdle(now, c.id)
	case closing:
		c.server.limit.Remove(c.id)
	}
}

// room counts bytes of a body in, so that hundreds of large ones don't take the process beyond its memory.
func (c *conn) reserveBody(n int) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.server.hasBodyRoom(n) {
		return false
	}
	c.server.bodyBytes += int64(n)
	c.bodyBytes += int64(n)
	return true
}

func (c *conn) run() {
	defer c.server.wg.Done()
	defer c.finish()
	for {
		if c.reader.Wait() != nil || c.isClosing() {
			return
		}
		q, err := c.reader.ReadRequest()
		if err != nil {
			c.rejectRequest(err)
			return
		}
		if !c.handleRequest(q) || !c.awaitResponse() {
			return
		}
	}
}

// ends reports whether nothing that comes is a request any more.
func (c *conn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.phase == closing
}

// watch returns once the connection may take its next request: while one is open, the reader waits for the client's end.
// Bytes that come meanwhile must not hide that end, so they are read on and kept. False ends the connection.
func (c *conn) awaitResponse() bool {
	s := c.server
	var b []byte
	s.mu.Lock()
	for c.phase == active {
		goesOn := true
		switch {
		case c.droppedBytes > maxDroppedBytes:
			goesOn = c.awaitWithoutReading()
		case c.reader.Buffered() == 0 && c.pipelinedBytes == 0:
			s.mu.Unlock()
			goesOn = c.reader.Wait() == nil
			s.mu.Lock()
		default:
			if b == nil {
				b = make([]byte, 16<<10)
			}
			goesOn = c.readPipelined(b)
		}
		if !goesOn {
			s.mu.Unlock()
			return false
		}
	}
	if c.woken {
		c.woken = false
		until := time.Time{}
		if c.phase == closing {
			until = time.Now().Add(lingerTimeout)
		}
		c.nc.SetReadDeadline(until)
	}
	if c.phase == idle && (c.reader.Buffered() > 0 || c.pipelinedBytes > 0) {
		c.setPhase(reading)
		c.requestBegun = true
	}
	ends := c.phase == closing
	s.mu.Unlock()
	return !ends
}

// readOn reads what comes behind the open request, until its answer wakes it; s.mu is held, but while it waits. False says
// that the client has gone. What is too much to keep is dropped: the connection ends behind what was kept.
func (c *conn) readPipelined(b []byte) bool {
	c.watching = true
	c.server.mu.Unlock()
	n, err := c.readSocket(b)
	c.server.mu.Lock()
	c.watching = false
	if err != nil {
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	if c.overflowed = c.overflowed || c.pipelinedBytes+n > maxPipelinedBytes || !c.server.hasBodyRoom(n); c.overflowed {
		c.droppedBytes += n
		return true
	}
	c.pipelined = append(c.pipelined, chunk{bytes.Clone(b[:n]), c.readAt})
	c.pipelinedBytes += n
	c.server.bodyBytes += int64(n)
	return true
}

// pause waits for the open request's answer without reading; s.mu is held, but while it waits. False says that the client has
// gone.
func (c *conn) awaitWithoutReading() bool {
	c.paused = true
	c.server.mu.Unlock()
	look := time.NewTicker(peekInterval)
	defer look.Stop()
	for {
		select {
		case <-c.resume:
			c.server.mu.Lock()
			return true
		case <-look.C:
		}
		c.server.mu.Lock()
		if _, c.clientGone = socket.Peek(c.raw); c.clientGone {
			c.paused = false
			return false
		}
		c.server.mu.Unlock()
	}
}

// hasRoom reports whether so many bytes more may be held; s.mu is held.
func (s *Server) hasBodyRoom(n int) bool {
	return s.maxBodyBytes == 0 || s.bodyBytes+int64(n) <= s.maxBodyBytes
}

// request takes one request whose head was read; false ends the connection.
func (c *conn) handleRequest(q *http1.Request) bool {
	s := c.server
	if q.A == "GET" && q.B == "/health/ready" && q.BodyLength == 0 {
		return c.serveHealth(q.Close)
	}
	if q.A == "POST" && q.BodyLength == 0 {
		if _, n := q.Get("Content-Length"); n == 0 {
			c.rejectRequest(requestError(411, "POST without a length"))
			return false
		}
	}
	if q.ExpectContinue && c.reader.Buffered() == 0 {
		c.writeInterim([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := c.reader.ReadBody(q.BodyLength)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	call, p, err := s.rules.parse(q, body, c.arrivedAt)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	call.ID = strconv.FormatUint(uint64(c.id), 36) + "-" + p.txn
	call.EncodeAttempt = func(_ int, left time.Duration) []byte { return p.encode(left) }
	call.Done = func(f frontend.Response) { c.respond(call.ID, f) }
	call.ClientGone = func() bool { return c.clientLeft(call.ID) }
	if err := c.openRequest(call, p.txn, q.Close); err != nil {
		c.rejectRequest(err)
		return false
	}
	s.Requests.Add(1)
	s.core.Submit(call)
	return true
}

// opens makes a request the connection's open one, or says why it can't be. A request that was read behind the
// connection's end is none: its client was told that it ended, and asks again elsewhere.
func (c *conn) openRequest(call *frontend.Request, txn string, last bool) error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	switch _, twice := s.openTxns[txn]; {
	case c.phase == closing:
		return net.ErrClosed
	case s.stopping:
		return requestError(503, "the gateway stops")
	case twice:
		return requestError(409, "X-Txn %.64q is open", txn)
	case !s.core.Reserve():
		return requestError(503, "too many requests are open")
	}
	s.openTxns[txn] = struct{}{}
	c.requestID, c.txn, c.deadline = call.ID, txn, call.Deadline
	c.lastResponse, c.requestBegun = last || c.lastResponse, c.reader.Buffered() > 0 || c.pipelinedBytes > 0
	c.setPhase(active)
	return nil
}
