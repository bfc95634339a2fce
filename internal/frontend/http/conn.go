package http

import (
	"bufio"
	"container/list"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/frontend/connlimit"
	"winghatch/internal/http1"
	"winghatch/internal/socket"
)

const (
	maxHeadBytes    = 8 << 10 // of one request
	maxBodyBytes    = 1 << 20 // of one request
	readBufferBytes = 4 << 10 // also the longest line of a head
)

// phase is the state of a connection. setPhase passes each change to package connlimit.
type phase int

const (
	reading phase = iota // its request is not complete; a new connection begins here
	active               // a request is open, or a response is being written
	idle                 // between two requests
	closing              // it is half-closed, or about to be: nothing that arrives is a request
)

// conn is one client's connection. Its reader (run) owns the descriptor and closes it.
type conn struct {
	server *Server
	id     connlimit.ID
	nc     *net.TCPConn
	raw    syscall.RawConn
	reader *http1.Reader

	// Server.mu guards these.
	phase        phase
	requestBegun bool          // a byte of the request being read was read; while one is open, of the next one
	requestID    string        // the core's id of the open request; empty: none is open
	txn          string        // its X-Txn
	deadline     time.Duration // of the open request, or of the last one
	lastResponse bool          // the connection ends with the open request's response
	clientGone   bool          // the client has closed, or the connection broke
	writeShut    bool          // its writing side is shut
	lingerElem   *list.Element // in Server.lingering; nil unless it lingers
	bodyBytes    int64         // the open request's part of Server.bodyBytes
	pipeline     pipeline

	pendingWrites sync.WaitGroup // responses that wait for room in the socket's buffer

	// These belong to the reader: when the bytes arrived that Read returned last, and when the socket was last read.
	arrivedAt    time.Duration
	readAt       time.Duration
	socketReader *socket.Reader
}

func newConn(s *Server, id connlimit.ID, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{server: s, id: id, nc: nc, raw: raw, pipeline: pipeline{resume: make(chan struct{}, 1)}}
	c.socketReader = socket.NewReader(raw, &s.mu, c.noteRead)
	limits := http1.Limits{MaxHeadBytes: maxHeadBytes, MaxBodyBytes: maxBodyBytes, ReserveBody: c.reserveBody}
	c.reader = http1.NewReader(bufio.NewReaderSize(c, readBufferBytes), limits)
	return c
}

// run reads requests, one after the other's response, until the connection ends.
func (c *conn) run() {
	defer c.server.wg.Done()
	defer c.finish()
	for {
		if c.reader.WaitReadable() != nil || c.isClosing() {
			return
		}
		request, err := c.reader.ReadRequest()
		if err != nil {
			c.rejectRequest(err)
			return
		}
		if !c.handleRequest(request) || !c.awaitResponse() {
			return
		}
	}
}

// setPhase changes the phase; Server.mu is held.
func (c *conn) setPhase(p phase) {
	c.phase = p
	limit, now := c.server.limit, c.server.clock()
	switch p {
	case reading:
		limit.MarkReading(now, c.id)
	case active:
		limit.MarkActive(now, c.id)
	case idle:
		limit.MarkIdle(now, c.id)
	case closing:
		limit.Remove(c.id)
	}
}

// isClosing reports whether nothing that arrives is a request any more.
func (c *conn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.phase == closing
}

// handleRequest takes one request whose head was read. False: the connection ends.
func (c *conn) handleRequest(q *http1.Request) bool {
	s := c.server
	if q.Method == http.MethodGet && q.Target == "/health/ready" && q.BodyLength == 0 {
		return c.serveHealth(q.Close)
	}
	if q.Method == http.MethodPost && q.BodyLength == 0 {
		if _, n := q.Get("Content-Length"); n == 0 {
			c.rejectRequest(requestError(http.StatusLengthRequired, "POST without a length"))
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
	request, parsed, err := s.rules.parse(q, body, c.arrivedAt)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	request.ID = strconv.FormatUint(uint64(c.id), 36) + "-" + parsed.txn
	request.EncodeAttempt = func(_ int, left time.Duration) []byte { return parsed.encode(left) }
	request.Done = func(r frontend.Response) { c.respond(request.ID, r) }
	request.ClientGone = func() bool { return c.clientLeft(request.ID) }
	if err := c.openRequest(request, parsed.txn, q.Close); err != nil {
		c.rejectRequest(err)
		return false
	}
	s.Requests.Add(1)
	s.core.Submit(request)
	return true
}

// openRequest makes a request the connection's open one, or returns why it can't be. A request that was read after
// the connection's half-close is dropped without a response: its client has seen the end and sends it again
// elsewhere. Served here as well, it would run twice.
func (c *conn) openRequest(request *frontend.Request, txn string, last bool) error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isOpen := s.openTxns[txn]
	switch {
	case c.phase == closing:
		return net.ErrClosed
	case s.stopping:
		return requestError(http.StatusServiceUnavailable, reasonStopping)
	case isOpen:
		return requestError(http.StatusConflict, "X-Txn %.64q is open", txn)
	case !s.core.Reserve():
		return requestError(http.StatusServiceUnavailable, "too many requests are open")
	}
	s.openTxns[txn] = struct{}{}
	c.requestID, c.txn, c.deadline = request.ID, txn, request.Deadline
	c.lastResponse = last || c.lastResponse
	c.requestBegun = c.hasPipelined()
	c.setPhase(active)
	return nil
}
