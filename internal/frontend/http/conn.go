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
	s   *Server
	id  connlimit.ID
	nc  *net.TCPConn
	raw syscall.RawConn
	rd  *http1.Reader

	// s.mu guards the fields from here on.
	phase     phase
	begun     bool          // a byte of the request under way was read; while one is open, of the next
	open      string        // the core's id of the open request; empty: none
	txn       string        // its X-Txn
	due       time.Duration // its time is over; of the last request, where none is open
	last      bool          // the answer under way is the connection's last
	gone      bool          // the client has left, or the connection broke
	watches   bool          // the reader waits in watch and must be woken by an answer ...
	woken     bool          // ... as it was, by a read deadline that it takes back
	ended     bool          // its writing side is shut
	lingers   *list.Element
	readAhead []chunk // came behind the open request
	ahead     int     // bytes in readAhead
	overrun   bool    // more came than is kept: nothing behind that is a request
	dropped   int     // bytes of it
	pauses    bool    // the reader waits in pause for freed
	freed     chan struct{}
	held      int64 // counted in s.bodies

	writes sync.WaitGroup // answers that wait for room in the socket's buffer

	// The reader's own: when the bytes came that a request was last taken from, when the socket was last read, and the read
	// under way; see Read.
	arrived time.Duration
	readAt  time.Duration
	buf     []byte
	n       int
	err     error
	step    func(fd uintptr) bool
}

// chunk is what one read brought. A request's time runs from its last byte, also where it waits behind another one.
type chunk struct {
	bytes []byte
	at    time.Duration
}

func newConn(s *Server, id connlimit.ID, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{s: s, id: id, nc: nc, raw: raw, freed: make(chan struct{}, 1)}
	c.step = c.readStep
	c.rd = http1.NewReader(bufio.NewReaderSize(c, lineMost), http1.Limits{Head: headMost, Body: bodyMost, Room: c.room})
	return c
}

// Read reads what came ahead, then from the socket.
func (c *conn) Read(b []byte) (int, error) {
	c.s.mu.Lock()
	if len(c.readAhead) > 0 {
		first := &c.readAhead[0]
		n := copy(b, first.bytes)
		c.arrived = first.at
		c.ahead -= n
		c.s.bodies -= int64(n)
		if first.bytes = first.bytes[n:]; len(first.bytes) == 0 {
			c.readAhead = c.readAhead[1:]
		}
		c.s.mu.Unlock()
		return n, nil
	}
	overrun := c.overrun
	c.s.mu.Unlock()
	if overrun {
		return 0, io.EOF
	}
	n, err := c.receive(b)
	c.arrived = c.readAt
	return n, err
}

// receive reads from the socket. Each step holds the lock, so that bytes are either still in the socket, where Peek finds
// them, or the connection is known to ask.
func (c *conn) receive(b []byte) (int, error) {
	c.buf = b
	for {
		if err := c.raw.Read(c.step); err != nil {
			return 0, err
		}
		if c.err != nil && socket.Transient(c.err) {
			time.Sleep(socket.RetryPause)
			continue
		}
		if c.n == 0 && c.err == nil {
			return 0, io.EOF
		}
		return c.n, c.err
	}
}

func (c *conn) readStep(fd uintptr) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.n, c.err = socket.ReadNow(fd, c.buf)
	if c.err == syscall.EAGAIN {
		return false
	}
	switch {
	case c.err != nil && socket.Transient(c.err):
		return true
	case c.n == 0:
		c.gone = true
		return true
	case c.phase == idle || c.phase == reading && !c.begun:
		c.to(reading)
	}
	c.begun = true
	c.readAt = c.s.clock()
	return true
}

// unread reports whether bytes wait in the socket; s.mu is held.
func (c *conn) unread() bool {
	unread, _ := socket.Peek(c.raw)
	return unread
}

// left reports whether the client has gone. The socket is asked too: at the write of an attempt the reader may not have
// been let run since the client closed.
func (c *conn) left(open string) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.gone || c.open != open {
		return true
	}
	_, c.gone = socket.Peek(c.raw)
	return c.gone
}

// to changes the phase; s.mu is held.
func (c *conn) to(p phase) {
	c.phase = p
	now := c.s.clock()
	switch p {
	case reading:
		c.s.limit.Reading(now, c.id)
	case active:
		c.s.limit.Active(now, c.id)
	case idle:
		c.s.limit.Idle(now, c.id)
	case closing:
		c.s.limit.Closed(c.id)
	}
}

// room counts bytes of a body in, so that hundreds of large ones don't take the process beyond its memory.
func (c *conn) room(n int) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if !c.s.hasRoom(n) {
		return false
	}
	c.s.bodies += int64(n)
	c.held += int64(n)
	return true
}

func (c *conn) run() {
	defer c.s.wg.Done()
	defer c.end()
	for {
		if c.rd.Wait() != nil || c.ends() {
			return
		}
		q, err := c.rd.Request()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.request(q) || !c.watch() {
			return
		}
	}
}

// ends reports whether nothing that comes is a request any more.
func (c *conn) ends() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.phase == closing
}

// watch returns once the connection may take its next request: while one is open, the reader waits for the client's end.
// Bytes that come meanwhile must not hide that end, so they are read on and kept. False ends the connection.
func (c *conn) watch() bool {
	s := c.s
	var b []byte
	s.mu.Lock()
	for c.phase == active {
		goesOn := true
		switch {
		case c.dropped > dropMost:
			goesOn = c.pause()
		case c.rd.Buffered() == 0 && c.ahead == 0:
			s.mu.Unlock()
			goesOn = c.rd.Wait() == nil
			s.mu.Lock()
		default:
			if b == nil {
				b = make([]byte, 16<<10)
			}
			goesOn = c.readOn(b)
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
			until = time.Now().Add(lingerFor)
		}
		c.nc.SetReadDeadline(until)
	}
	if c.phase == idle && (c.rd.Buffered() > 0 || c.ahead > 0) {
		c.to(reading)
		c.begun = true
	}
	ends := c.phase == closing
	s.mu.Unlock()
	return !ends
}

// readOn reads what comes behind the open request, until its answer wakes it; s.mu is held, but while it waits. False says
// that the client has gone. What is too much to keep is dropped: the connection ends behind what was kept.
func (c *conn) readOn(b []byte) bool {
	c.watches = true
	c.s.mu.Unlock()
	n, err := c.receive(b)
	c.s.mu.Lock()
	c.watches = false
	if err != nil {
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	if c.overrun = c.overrun || c.ahead+n > aheadMost || !c.s.hasRoom(n); c.overrun {
		c.dropped += n
		return true
	}
	c.readAhead = append(c.readAhead, chunk{bytes.Clone(b[:n]), c.readAt})
	c.ahead += n
	c.s.bodies += int64(n)
	return true
}

// pause waits for the open request's answer without reading; s.mu is held, but while it waits. False says that the client has
// gone.
func (c *conn) pause() bool {
	c.pauses = true
	c.s.mu.Unlock()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-c.freed:
			c.s.mu.Lock()
			return true
		case <-look.C:
		}
		c.s.mu.Lock()
		if _, c.gone = socket.Peek(c.raw); c.gone {
			c.pauses = false
			return false
		}
		c.s.mu.Unlock()
	}
}

// hasRoom reports whether so many bytes more may be held; s.mu is held.
func (s *Server) hasRoom(n int) bool { return s.bodyRoom == 0 || s.bodies+int64(n) <= s.bodyRoom }

// request takes one request whose head was read; false ends the connection.
func (c *conn) request(q *http1.Request) bool {
	s := c.s
	if q.A == "GET" && q.B == "/health/ready" && q.Length == 0 {
		return c.health(q.Close)
	}
	if q.A == "POST" && q.Length == 0 {
		if _, n := q.Get("Content-Length"); n == 0 {
			c.reject(fault(411, "POST without a length"))
			return false
		}
	}
	if q.Expects && c.rd.Buffered() == 0 {
		c.tell([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := c.rd.Body(q.Length)
	if err != nil {
		c.reject(err)
		return false
	}
	call, p, err := s.rules.read(q, body, c.arrived)
	if err != nil {
		c.reject(err)
		return false
	}
	call.ID = strconv.FormatUint(uint64(c.id), 36) + "-" + p.txn
	call.Form = func(_ int, left time.Duration) []byte { return p.form(left) }
	call.Done = func(f frontend.Final) { c.done(call.ID, f) }
	call.Left = func() bool { return c.left(call.ID) }
	if err := c.opens(call, p.txn, q.Close); err != nil {
		c.reject(err)
		return false
	}
	s.Requests.Add(1)
	s.core.Call(call)
	return true
}

// opens makes a request the connection's open one, or says why it can't be. A request that was read behind the
// connection's end is none: its client was told that it ended, and asks again elsewhere.
func (c *conn) opens(call *frontend.Call, txn string, last bool) error {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	switch _, twice := s.ids[txn]; {
	case c.phase == closing:
		return net.ErrClosed
	case s.stopping:
		return fault(503, "the gateway stops")
	case twice:
		return fault(409, "X-Txn %.64q is open", txn)
	case !s.core.Enter():
		return fault(503, "too many requests are open")
	}
	s.ids[txn] = struct{}{}
	c.open, c.txn, c.due = call.ID, txn, call.Deadline
	c.last, c.begun = last || c.last, c.rd.Buffered() > 0 || c.ahead > 0
	c.to(active)
	return nil
}
