package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"winghatch/connlimit"
	"winghatch/front"
	"winghatch/http1"
	"winghatch/sock"
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
	begun     bool   // a byte of the request under way was read
	open      string // the core's id of the open request; empty: none
	txn       string // its X-Txn
	last      bool   // the answer under way is the connection's last
	gone      bool   // the client has left, or the connection broke
	watches   bool   // the reader waits in watch and must be woken by an answer ...
	woken     bool   // ... as it was, by a read deadline that it takes back
	lingers   bool   // counted in s.lingering
	readAhead []byte // came behind the open request
	dropped   int    // bytes that came when ahead was full
	held      int64  // counted in s.bodies

	// Of the read under way; see Read.
	buf  []byte
	n    int
	err  error
	step func(fd uintptr) bool
}

func newConn(s *Server, id connlimit.ID, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{s: s, id: id, nc: nc, raw: raw}
	c.step = c.readStep
	c.rd = http1.NewReader(bufio.NewReaderSize(c, lineMost), http1.Limits{Head: headMost, Body: bodyMost, Room: c.room})
	return c
}

// Read reads what came ahead, then from the socket. Each step holds the lock, so that bytes are either still in the
// socket, where unread finds them, or the connection is known to ask.
func (c *conn) Read(b []byte) (int, error) {
	c.s.mu.Lock()
	if len(c.readAhead) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.s.mu.Unlock()
		return n, nil
	}
	c.s.mu.Unlock()
	c.buf = b
	if err := c.raw.Read(c.step); err != nil {
		return 0, err
	}
	if c.n == 0 && c.err == nil {
		return 0, io.EOF
	}
	return c.n, c.err
}

func (c *conn) readStep(fd uintptr) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	n, err := syscall.Read(int(fd), c.buf)
	for err == syscall.EINTR {
		n, err = syscall.Read(int(fd), c.buf)
	}
	if err == syscall.EAGAIN {
		return false
	}
	c.n, c.err = max(n, 0), err
	switch {
	case c.n == 0:
		c.gone = true
	case c.phase == idle:
		c.to(reading)
		c.begun = true
	default:
		c.begun = true
	}
	return true
}

// peek looks at the socket without taking anything: whether bytes wait, and whether it has ended.
func (c *conn) peek() (unread, ended bool) {
	c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return unread, ended
}

// unread reports whether bytes wait in the socket; s.mu is held.
func (c *conn) unread() bool {
	unread, _ := c.peek()
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
	_, c.gone = c.peek()
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
	if c.s.bodyRoom > 0 && c.s.bodies+int64(n) > c.s.bodyRoom {
		return false
	}
	c.s.bodies += int64(n)
	c.held += int64(n)
	return true
}

// shut begins the end of a connection without an open request: its reader drops what still comes, and closes. One with an
// open request ends with its answer. s.mu is held. True says that it may not linger: the caller is to close it once it
// holds the lock no more, as Close waits for the reader's step, which may wait for the lock.
func (c *conn) shut() (close bool) {
	if c.phase == active {
		c.last = true
		return false
	}
	return c.halfClose()
}

// halfClose shuts the writing side behind what was written; s.mu is held. True as of shut; the reader closes it too.
func (c *conn) halfClose() (close bool) {
	if c.phase == closing {
		return false
	}
	c.to(closing)
	if c.s.lingering >= c.s.lingeringMost {
		c.abort()
		return true
	}
	c.s.lingering++
	c.lingers = true
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	c.nc.SetReadDeadline(time.Now().Add(lingerFor))
	return false
}

// abort ends a connection both ways. It is left to the reader to close it; s.mu is held.
func (c *conn) abort() {
	c.raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
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
// Bytes that come meanwhile must not hide that end, so they are read on and kept; of a client that sends without end
// only the open request is answered. False ends the connection.
func (c *conn) watch() bool {
	s := c.s
	var b []byte
	s.mu.Lock()
	for c.phase == active {
		if c.rd.Buffered() == 0 && len(c.readAhead) == 0 {
			s.mu.Unlock()
			if c.rd.Wait() != nil {
				return false
			}
			s.mu.Lock()
			continue
		}
		c.watches = true
		s.mu.Unlock()
		if b == nil {
			b = make([]byte, 1<<10)
		}
		c.buf = b
		err := c.raw.Read(c.step)
		s.mu.Lock()
		c.watches = false
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil || c.n == 0 {
			s.mu.Unlock()
			return false
		}
		if c.last || len(c.readAhead)+c.n > aheadMost {
			c.last, c.readAhead = true, nil
			if c.dropped += c.n; c.dropped > lingerMost {
				s.mu.Unlock()
				return false
			}
			continue
		}
		c.readAhead = append(c.readAhead, b[:c.n]...)
	}
	if c.woken {
		c.woken = false
		until := time.Time{}
		if c.phase == closing {
			until = time.Now().Add(lingerFor)
		}
		c.nc.SetReadDeadline(until)
	}
	if c.phase == idle && (c.rd.Buffered() > 0 || len(c.readAhead) > 0) {
		c.to(reading)
		c.begun = true
	}
	ends := c.phase == closing
	s.mu.Unlock()
	return !ends
}

// end forgets the connection. An open request's client has gone with it; the core gives it no final answer, so that
// its X-Txn is freed here.
func (c *conn) end() {
	s := c.s
	s.mu.Lock()
	lingers := c.lingers && !c.gone && !s.closed
	open, txn := c.open, c.txn
	c.gone, c.open = true, ""
	if txn != "" {
		delete(s.ids, txn)
	}
	s.mu.Unlock()
	if open != "" {
		s.core.Gone(open)
	}
	if lingers {
		io.CopyN(io.Discard, c, lingerMost) // to its end, the deadline or the bound
	}
	c.nc.Close()
	s.mu.Lock()
	delete(s.conns, c.id)
	s.limit.Closed(c.id)
	if c.lingers {
		s.lingering--
	}
	s.bodies -= c.held
	c.held = 0
	s.mu.Unlock()
	s.Conns.Add(-1)
}

// reject says why a request can't be used and ends the connection.
func (c *conn) reject(err error) {
	var e *http1.Error
	if !errors.As(err, &e) {
		return // the connection broke
	}
	s := c.s
	s.Bad.Add(1)
	s.log.Debug("turned away", "status", e.Status, "why", e.Why)
	status := e.Status
	if status < 400 {
		status = 400
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase != closing {
		sock.WriteNow(c.raw, appendAnswer(nil, status, "", e.Why+"\n", true))
		c.halfClose()
	}
}

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
		s.mu.Lock()
		if c.phase != closing {
			sock.WriteNow(c.raw, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		s.mu.Unlock()
	}
	body, err := c.rd.Body(q.Length)
	if err != nil {
		c.reject(err)
		return false
	}
	call, p, err := s.rules.read(q, body, s.clock())
	if err != nil {
		c.reject(err)
		return false
	}
	call.ID = strconv.FormatUint(uint64(c.id), 36) + "-" + p.txn
	call.Form = func(_ int, left time.Duration) []byte { return p.form(left) }
	call.Done = func(f front.Final) { c.done(call.ID, f) }
	call.Left = func() bool { return c.left(call.ID) }
	if err := c.opens(call.ID, p.txn, q.Close); err != nil {
		c.reject(err)
		return false
	}
	s.Requests.Add(1)
	s.core.Call(call)
	return true
}

// opens makes a request the connection's open one, or says why it can't be. A request that was read behind the
// connection's end is none: its client was told that it ended, and asks again elsewhere.
func (c *conn) opens(id, txn string, last bool) error {
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
	c.open, c.txn, c.last, c.begun = id, txn, last || c.last, false
	c.to(active)
	return nil
}

// health answers the platform's question whether the gateway can serve.
func (c *conn) health(last bool) bool {
	s := c.s
	ready := s.ready()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == closing {
		return false
	}
	status := 200
	if s.draining || !ready {
		status = 503
	}
	n, err := sock.WriteNow(c.raw, appendAnswer(nil, status, "", "", last))
	if n == 0 || err != nil && err != syscall.EAGAIN {
		return false
	}
	if last || s.stopping {
		c.halfClose()
		return false
	}
	c.begun = false
	c.to(idle)
	return true
}

// done writes the one answer; the loop calls it, so it must not wait for the client. The connection's own goroutine
// takes up what the client sent meanwhile only once the answer is written whole.
func (c *conn) done(id string, f front.Final) {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.open != id { // its client has gone, and its X-Txn may be another's by now
		return
	}
	delete(s.ids, c.txn)
	c.open, c.txn = "", ""
	c.last = c.last || s.draining
	b := finalBytes(f, c.last)
	n, err := sock.WriteNow(c.raw, b)
	switch {
	case err != nil && err != syscall.EAGAIN:
		c.last = true
	case n < len(b):
		// The client does not read: what its socket's buffer does not take has a bounded time, and no part of the loop's.
		s.wg.Add(1)
		go c.writeRest(b[n:])
		return
	}
	c.free()
}

// free ends the open request, whose answer is written; s.mu is held.
func (c *conn) free() {
	s := c.s
	s.bodies -= c.held
	c.held = 0
	switch {
	case c.gone: // its reader ends it
		c.to(closing)
	case c.last:
		c.halfClose()
	default:
		c.to(idle)
	}
	if c.watches {
		c.woken = true
		c.nc.SetReadDeadline(time.Now())
	}
}

func (c *conn) writeRest(b []byte) {
	defer c.s.wg.Done()
	c.nc.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := c.nc.Write(b)
	c.nc.SetWriteDeadline(time.Time{})
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if err != nil {
		c.abort()
	}
	c.free()
}

// finalBytes is a final answer in HTTP: 429 and 503 are refusals and promise that trying again is harmless; a failed
// one is 502. A 429 may say when to come back.
func finalBytes(f front.Final, last bool) []byte {
	switch f.Kind {
	case front.Served:
		return appendAnswer(make([]byte, 0, 96+len(f.Body)), 200, "", string(f.Body), last)
	case front.Refused:
		after := ""
		if f.RetryAfter > 0 {
			after = strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)
		}
		return appendAnswer(nil, 429, after, "", last)
	}
	return appendAnswer(nil, 502, "", "", last)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 501: "Not Implemented", 502: "Bad Gateway",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

func appendAnswer(b []byte, status int, after, body string, last bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(b, ' '), reasons[status]...)
	if after != "" {
		b = append(append(b, "\r\nRetry-After: "...), after...)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
