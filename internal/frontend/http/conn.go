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
	"winghatch/internal/frontend/pacing"
	"winghatch/internal/http1"
	"winghatch/internal/memory"
	"winghatch/internal/socket"
)

const (
	maxHeadBytes    = 8 << 10 // largest head of a request
	maxBodyBytes    = 1 << 20 // largest body of a request
	readBufferBytes = 4 << 10 // size of the read buffer, which also bounds the length of a line of the head
	// smallBodyBytes is the size up to which a body needs no room in Options.Memory and is written in one piece with
	// its head. One for each connection is part of what a connection costs.
	smallBodyBytes = 4 << 10
)

// phase is the state of a connection. setPhase passes each change to package connlimit.
type phase int

const (
	reading phase = iota // waiting for a complete request; the first phase of a connection
	active               // a request is open, or a response is being written
	idle                 // between two requests
	closing              // half-closed or about to be: bytes that arrive are dropped
)

// conn is the connection of one client. Its reader goroutine (run) owns the descriptor and closes it.
type conn struct {
	server *Server
	id     connlimit.ID
	nc     *net.TCPConn
	raw    syscall.RawConn
	reader *http1.Reader

	// Guarded by Server.mu:
	phase phase
	// requestStarted says whether a byte of the next request has been read. While a request is open, the
	// next request is the one after it.
	requestStarted     bool
	requestID          string        // ID of the open request in the core; empty: no request is open
	txn                *txnEntry     // entry of the open request in Server.txns; nil: no request is open
	deadline           time.Duration // deadline of the open or last request, by the server's clock
	closeAfterResponse bool          // whether the connection ends with the open request's response
	clientGone         bool          // whether the connection was closed by the client or broke
	writeClosed        bool          // whether the writing side is closed
	lingerElem         *list.Element // element in Server.lingering; nil unless the connection lingers
	pipeline           pipeline
	pausedElem         *list.Element       // element in Server.paused; nil: not listed
	isPausing          bool                // whether the reader pauses
	pauseEndedAt       time.Duration       // end of the last pause
	stalledElem        *list.Element       // element in Server.stalled; nil unless the client does not take its response
	responseMemory     *memory.Reservation // for the response that is being written; nil: none
	bodySince          time.Duration       // time at which the body that is being read was begun
	// bodyMemory is the reservation for the body that is being read; nil: none yet. Only the reader changes it, with
	// Server.mu held.
	bodyMemory *memory.Reservation

	pauseEnd      chan struct{}  // ends a pause; has a capacity of 1, so that endPause does not block
	pendingWrites sync.WaitGroup // running goroutines of writeRemainder

	// Used only by the reader goroutine:
	requestCount uint64        // valid requests so far
	arrivedAt    time.Duration // time at which the bytes last returned by Read arrived, see lastArrival
	readAt       time.Duration // time of the last read from the socket
	socketReader *socket.Reader
	discards     bool // whether finish drops what still arrives
	input        inputState
}

// newConn returns a connection whose reader is not running yet.
func newConn(s *Server, id connlimit.ID, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{
		server:   s,
		id:       id,
		nc:       nc,
		raw:      raw,
		pipeline: pipeline{resume: make(chan struct{}, 1)},
		pauseEnd: make(chan struct{}, 1),
		input:    inputState{account: s.pacer.newAccount(s.clock()), work: pacing.Work{Accepts: 1}},
	}
	c.socketReader = socket.NewReader(raw, &s.mu, c.noteRead)
	limits := http1.Limits{MaxHeadBytes: maxHeadBytes, MaxBodyBytes: maxBodyBytes, ReserveBody: c.reserveBody}
	c.reader = http1.NewReader(bufio.NewReaderSize(c, readBufferBytes), limits)
	return c
}

// run processes requests one at a time until the connection ends. It takes the next request only after the
// response to the one before it is written.
func (c *conn) run() {
	defer c.server.wg.Done()
	defer c.finish()
	for {
		c.beginMessage()
		c.pace()
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

// setPhase changes the phase and reports the change to the limiter. The caller holds Server.mu.
func (c *conn) setPhase(p phase) {
	c.phase = p
	if p == closing {
		c.endPause()
	}
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

// isClosing reports whether the connection takes no more requests.
func (c *conn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.phase == closing
}

// handleRequest reads the body of a request, validates the request and submits it to the core. It returns
// false if the connection ends.
func (c *conn) handleRequest(httpRequest *http1.Request) bool {
	s := c.server
	if httpRequest.Method == http.MethodGet && httpRequest.Target == "/health/ready" &&
		httpRequest.BodyLength == 0 {
		return c.serveHealth(httpRequest.Close)
	}
	if httpRequest.Method == http.MethodPost && httpRequest.BodyLength == 0 {
		if _, n := httpRequest.Get("Content-Length"); n == 0 {
			c.rejectRequest(requestError(http.StatusLengthRequired, "POST without a length"))
			return false
		}
	}
	// A client that has already sent part of the body needs no 100 Continue (RFC 9110, section 10.1.1).
	if httpRequest.ExpectContinue && c.reader.Buffered() == 0 {
		c.writeInterim([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := c.reader.ReadBody(httpRequest.BodyLength)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	request, parsed, err := s.rules.parse(httpRequest, body, c.arrivedAt)
	if err != nil {
		c.rejectRequest(err)
		return false
	}
	// The X-Txn alone is not unique: clients may use it again, on any connection, as soon as a request has its
	// answer or its client has disconnected, while the core still holds that request.
	c.requestCount++
	request.ID = strconv.FormatUint(uint64(c.id), 36) + "-" + strconv.FormatUint(c.requestCount, 36) + "-" +
		parsed.txn
	request.EncodeAttempt = func(_ int, left time.Duration) []byte { return parsed.encode(left) }
	request.Content = parsed.content()
	request.Done = func(r frontend.Response) { c.respond(request.ID, r) }
	request.ClientGone = func() bool { return c.checkClientGone(request.ID) }
	if err := c.openRequest(request, parsed, httpRequest.Close); err != nil {
		c.rejectRequest(err)
		return false
	}
	s.Requests.Add(1)
	if c.input.isPipelined {
		c.input.work.PipelinedRequests++
	} else {
		c.input.refundRequest()
	}
	c.input.endMessage()
	s.core.Submit(request)
	return true
}

// openRequest makes a request the open request of the connection, or returns the reason why it is rejected.
// closeAfter says that the client wants the connection to end with the response. A request that was read
// after the half-close of the connection is dropped without a response: its client has seen the end of the
// connection and retries elsewhere, so the request would run twice if it were served here as well.
func (c *conn) openRequest(request *frontend.Request, parsed *parsedRequest, closeAfter bool) error {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.phase == closing:
		return net.ErrClosed
	case s.stopping:
		return requestError(http.StatusServiceUnavailable, reasonStopping)
	}
	entry := s.txns.add(s.clock(), parsed.txn, parsed.isRepeatable)
	if entry == nil {
		s.RepeatedTxns.Add(1)
		return requestError(http.StatusConflict, "X-Txn %.64q is open or may have run", parsed.txn)
	}
	if !s.core.Reserve() {
		s.txns.remove(entry)
		return requestError(http.StatusServiceUnavailable, "too many requests are open")
	}
	c.requestID, c.txn, c.deadline = request.ID, entry, request.Deadline
	request.Forwarded = func() { entry.forwarded.Store(true) }
	request.Memory = c.bodyMemory
	c.bodyMemory = nil
	request.Released = s.release(entry, request.Memory)
	c.closeAfterResponse = closeAfter || c.closeAfterResponse
	c.requestStarted = c.hasPipelined()
	c.input.nextPipelined = c.requestStarted
	c.setPhase(active)
	return nil
}
