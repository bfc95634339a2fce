// Package http is the gateway's front in HTTP/1.1: one goroutine a connection reads requests and makes calls of
// them; the loop itself writes an answer, without waiting, the moment it is final. It knows no quotas. Which
// connections stay when descriptors are few is decided by package seats.
package http

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"winghatch/front"
	"winghatch/http1"
	"winghatch/seats"
	"winghatch/sock"
)

const (
	headMost   = 8 << 10
	bodyMost   = 64 << 10
	lineMost   = 4 << 10 // size of a connection's buffer
	lingerMost = 256 << 10
	lingerFor  = 300 * time.Millisecond // for a client to read why it was turned away
	writeFor   = 2 * time.Second        // for a client to take an answer that its socket's buffer did not
	sweepEvery = 200 * time.Millisecond
)

// Counts are what operators are told of the front.
type Counts struct {
	Conns, Opened, Closed, Evicted, Bad, Full, Requests atomic.Int64
}

// Server is the front. Make it with New.
type Server struct {
	Counts
	rules *Rules
	core  front.Core
	clock func() time.Duration
	log   *slog.Logger
	ready func() bool

	mu       sync.Mutex
	seats    *seats.Book
	conns    map[seats.ID]*conn
	ids      map[string]struct{} // X-Txn of open requests
	next     seats.ID
	draining bool
	closed   bool
	wg       sync.WaitGroup
	quit     chan struct{}
}

// New returns a front that holds so many connections at most. ready tells whether the gateway can serve.
func New(rules *Rules, core front.Core, most int, clock func() time.Duration, ready func() bool, log *slog.Logger) *Server {
	return &Server{rules: rules, core: core, clock: clock, log: log, ready: ready, seats: seats.New(most),
		conns: map[seats.ID]*conn{}, ids: map[string]struct{}{}, quit: make(chan struct{})}
}

type conn struct {
	s   *Server
	id  seats.ID
	nc  *net.TCPConn
	raw syscall.RawConn
	rd  *http1.Reader

	mu       sync.Mutex
	open     string // the core's id of the open request; empty: none
	txn      string // its X-Txn
	last     bool   // the answer under way is the connection's last
	gone     bool
	answered chan struct{}
}

// Serve accepts until Close.
func (s *Server) Serve(ln net.Listener) {
	go s.sweep()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("accept", "err", err) // EMFILE and the like: what is due frees descriptors
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.come(nc.(*net.TCPConn))
	}
}

func (s *Server) come(nc *net.TCPConn) {
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return
	}
	s.mu.Lock()
	s.next++
	id := s.next
	out, closes, ok := s.seats.Come(s.clock(), id)
	var old *conn
	if closes {
		old = s.conns[out]
		delete(s.conns, out)
	}
	if !ok || s.closed {
		s.seats.Go(id)
		s.mu.Unlock()
		s.Full.Add(1)
		nc.Close()
		return
	}
	c := &conn{s: s, id: id, nc: nc, raw: raw, answered: make(chan struct{}, 1),
		rd: http1.NewReader(bufio.NewReaderSize(nc, lineMost), http1.Limits{Head: headMost, Body: bodyMost})}
	s.conns[id] = c
	s.wg.Add(1)
	s.mu.Unlock()
	s.Opened.Add(1)
	s.Conns.Add(1)
	if old != nil {
		s.Evicted.Add(1)
		old.nc.Close()
	}
	go c.run()
}

// sweep closes what is due.
func (s *Server) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-t.C:
		}
		var due []*conn
		s.mu.Lock()
		for _, id := range s.seats.Due(s.clock()) {
			if c := s.conns[id]; c != nil {
				due = append(due, c)
				delete(s.conns, id)
			}
		}
		s.mu.Unlock()
		for _, c := range due {
			s.Closed.Add(1)
			c.nc.Close()
		}
	}
}

// seat tells the book of a connection's state; false says that it was closed for another.
func (s *Server) seat(c *conn, tell func(*seats.Book, time.Duration, seats.ID)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	tell(s.seats, s.clock(), c.id)
	return s.conns[c.id] == c
}

func (c *conn) run() {
	defer c.s.wg.Done()
	defer c.end()
	for {
		if c.rd.Wait() != nil {
			return
		}
		if !c.wait() {
			return
		}
		c.s.seat(c, (*seats.Book).Ask)
		q, err := c.rd.Request()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.request(q) {
			return
		}
	}
}

// wait holds a request back that came while another is open: one at a time runs on a connection.
func (c *conn) wait() bool {
	for {
		c.mu.Lock()
		open, last := c.open != "", c.last
		c.mu.Unlock()
		if !open {
			return !last
		}
		select {
		case <-c.answered:
		case <-c.s.quit:
			return false
		}
	}
}

// end forgets the connection. An open request's client has gone with it; the core gives it no final answer, so that
// its X-Txn is freed here.
func (c *conn) end() {
	c.nc.Close()
	c.mu.Lock()
	c.gone = true
	open, txn := c.open, c.txn
	c.mu.Unlock()
	s := c.s
	if txn != "" {
		s.free(txn)
	}
	if open != "" {
		s.core.Gone(open)
	}
	s.mu.Lock()
	if s.conns[c.id] == c {
		delete(s.conns, c.id)
	}
	s.seats.Go(c.id)
	s.mu.Unlock()
	s.Conns.Add(-1)
}

// reject says why a request can't be used and ends the connection, so that the client can read it: to close with
// bytes unread would reset the connection and may take the answer away.
func (c *conn) reject(err error) {
	var e *http1.Error
	if !errors.As(err, &e) {
		return // the connection broke
	}
	c.s.Bad.Add(1)
	c.s.log.Debug("turned away", "status", e.Status, "why", e.Why)
	status := e.Status
	if status < 400 {
		status = 400
	}
	c.nc.SetDeadline(time.Now().Add(lingerFor))
	c.nc.Write(appendAnswer(nil, status, "", e.Why+"\n", true))
	c.nc.CloseWrite()
	io.CopyN(io.Discard, c.nc, lingerMost)
}

// request takes one request whose head was read; false ends the connection.
func (c *conn) request(q *http1.Request) bool {
	s := c.s
	if q.A == "GET" && q.B == "/health/ready" && q.Length == 0 {
		status := 200
		s.mu.Lock()
		if s.draining || !s.ready() {
			status = 503
		}
		s.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeFor))
		_, err := c.nc.Write(appendAnswer(nil, status, "", "", q.Close))
		c.nc.SetWriteDeadline(time.Time{})
		return err == nil && !q.Close && s.seat(c, (*seats.Book).Rest)
	}
	if q.A == "POST" && q.Length == 0 {
		if _, n := q.Get("Content-Length"); n == 0 {
			c.reject(fault(411, "POST without a length"))
			return false
		}
	}
	if q.Expects && c.rd.Buffered() == 0 {
		c.nc.SetWriteDeadline(time.Now().Add(writeFor))
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
		c.nc.SetWriteDeadline(time.Time{})
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
	if !s.seat(c, (*seats.Book).Busy) {
		return false
	}
	s.mu.Lock()
	_, twice := s.ids[p.txn]
	if !twice {
		s.ids[p.txn] = struct{}{}
	}
	s.mu.Unlock()
	if twice {
		c.reject(fault(409, "X-Txn %.64q is open", p.txn))
		return false
	}
	if !s.core.Enter() {
		s.free(p.txn)
		c.reject(fault(503, "too many requests are open"))
		return false
	}
	s.Requests.Add(1)
	call.ID = strconv.FormatUint(uint64(c.id), 36) + "-" + p.txn
	call.Form = func(_ int, left time.Duration) []byte { return p.form(left) }
	call.Done = func(f front.Final) { c.done(p.txn, f) }
	c.mu.Lock()
	c.open, c.txn, c.last = call.ID, p.txn, q.Close
	c.mu.Unlock()
	s.core.Call(call)
	return true
}

func (s *Server) free(txn string) {
	s.mu.Lock()
	delete(s.ids, txn)
	s.mu.Unlock()
}

// done writes the one answer; the loop calls it, so it must not wait for the client. The connection's own goroutine
// takes up what the client sent meanwhile only once the answer is written whole.
func (c *conn) done(txn string, f front.Final) {
	s := c.s
	c.mu.Lock()
	defer c.mu.Unlock()
	s.mu.Lock()
	if !c.gone { // else it is freed, and may be another's by now
		delete(s.ids, txn)
		c.txn = ""
	}
	c.last = c.last || s.draining
	s.seats.Rest(s.clock(), c.id)
	s.mu.Unlock()
	if c.gone || c.write(finalBytes(f, c.last), c.last) {
		c.free()
	}
}

// free ends the open request; c.mu is held.
func (c *conn) free() {
	c.open = ""
	select {
	case c.answered <- struct{}{}:
	default:
	}
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

// write hands bytes to the socket's buffer at once and reports whether that is all. What the buffer does not take, as
// the client does not read, is left to a goroutine with a bounded time: a loop that waited here would hold all up.
func (c *conn) write(b []byte, last bool) bool {
	n, err := sock.WriteNow(c.raw, b)
	switch {
	case err != nil && err != syscall.EAGAIN:
		c.nc.Close()
	case n == len(b):
		if last {
			c.nc.CloseWrite()
		}
	default:
		go c.writeRest(b[n:], last)
		return false
	}
	return true
}

func (c *conn) writeRest(b []byte, last bool) {
	c.nc.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := c.nc.Write(b)
	c.nc.SetWriteDeadline(time.Time{})
	switch {
	case err != nil:
		c.nc.Close()
	case last:
		c.nc.CloseWrite()
	}
	c.mu.Lock()
	c.free()
	c.mu.Unlock()
}

// Drain says on every further answer that its connection ends with it.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// CloseResting closes the connections without an open request.
func (s *Server) CloseResting() {
	var out []*conn
	s.mu.Lock()
	for _, c := range s.conns {
		out = append(out, c)
	}
	s.mu.Unlock()
	for _, c := range out {
		c.mu.Lock()
		open := c.open != ""
		c.mu.Unlock()
		if !open {
			c.nc.CloseWrite()
		}
	}
}

// Close ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
	}
	for _, c := range s.conns {
		c.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
