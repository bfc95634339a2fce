package http

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/http1"
	"winghatch/internal/socket"
)

const (
	// writeTimeout is the least time that a client has to take a response that its socket's buffer did not.
	writeTimeout = 2 * time.Second
	// responseGrace is for how long after its request's deadline a response is still being written.
	responseGrace = 500 * time.Millisecond
)

// rejectRequest answers a request that cannot be used and ends the connection. An error that is no http1.Error means
// that the connection broke; it gets no response.
func (c *conn) rejectRequest(err error) {
	var rejected *http1.Error
	if !errors.As(err, &rejected) {
		return
	}
	s := c.server
	s.BadRequests.Add(1)
	s.log.Debug("Request refused", "status", rejected.Status, "reason", rejected.Reason)
	status := rejected.Status
	if status < http.StatusBadRequest {
		status = http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.unlockAndClose()
	if c.phase != closing {
		c.setPhase(closing)
		c.writeResponse(appendResponse(nil, status, "", rejected.Reason+"\n", true), c.halfClose)
	}
}

// serveHealth answers the platform's health check: 200 where the gateway can serve, else 503. False: the connection
// ends.
func (c *conn) serveHealth(last bool) bool {
	s := c.server
	ready := s.ready()
	s.mu.Lock()
	defer s.unlockAndClose()
	if c.phase == closing {
		return false
	}
	status := http.StatusOK
	if s.draining || !ready {
		status = http.StatusServiceUnavailable
	}
	last = last || s.stopping
	c.lastResponse, c.requestBegun = last, false
	c.setPhase(active) // until it is written
	c.writeResponse(appendResponse(nil, status, "", "", last), c.finishResponse)
	return true
}

// respond writes the one response to a request. The loop calls it, so it must not wait for the client. The
// connection's reader takes the next request only once the response is written completely.
func (c *conn) respond(requestID string, response frontend.Response) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.requestID != requestID { // its client has disconnected, and its X-Txn may be another request's by now
		return
	}
	delete(s.openTxns, c.txn)
	c.requestID, c.txn = "", ""
	// While draining, a request that was read behind this one still gets its response on this connection.
	c.lastResponse = c.lastResponse || s.draining && !c.requestBegun
	c.writeResponse(encodeResponse(response, c.lastResponse), c.finishResponse)
}

// finishResponse ends the request whose response is written, and wakes the reader; Server.mu is held.
func (c *conn) finishResponse() {
	c.server.bodyBytes -= c.bodyBytes
	c.bodyBytes = 0
	switch {
	case c.clientGone: // the reader ends the connection
		c.setPhase(closing)
	case c.lastResponse:
		c.halfClose()
	default:
		c.setPhase(idle)
	}
	if c.pipeline.paused {
		c.pipeline.paused = false
		c.pipeline.resume <- struct{}{}
	}
	if c.pipeline.watching {
		c.pipeline.woken = true
		c.nc.SetReadDeadline(time.Now())
	}
}

// writeResponse writes a response without waiting and calls done, under the lock, once it is written or cannot be.
// What the socket's buffer does not take is written by a goroutine of its own, within a bounded time. Server.mu is
// held.
func (c *conn) writeResponse(b []byte, done func()) {
	n, err := socket.WriteNow(c.raw, b)
	if n == len(b) {
		done()
		return
	}
	if err != nil && !socket.IsTransient(err) {
		c.lastResponse = true // the connection broke
		done()
		return
	}
	c.server.wg.Add(1)
	c.pendingWrites.Add(1)
	// The client is owed the response until its request's deadline and a grace have passed.
	timeout := max(writeTimeout, c.deadline+responseGrace-c.server.clock())
	go c.writeRemainder(b[n:], timeout, done)
}

func (c *conn) writeRemainder(b []byte, timeout time.Duration, done func()) {
	defer c.server.wg.Done()
	defer c.pendingWrites.Done()
	err := socket.WriteAll(c.nc, b, timeout)
	c.server.mu.Lock()
	defer c.server.unlockAndClose()
	if err != nil {
		c.abort()
	}
	done()
}

// writeInterim writes an interim response. The connection's own goroutine calls it, which may wait for room.
func (c *conn) writeInterim(b []byte) {
	if !c.isClosing() {
		socket.WriteAll(c.nc, b, writeTimeout)
	}
}

// encodeResponse encodes a final response. 429 promises that a retry is safe and may say when to make it; a request
// that failed gets 502, which promises nothing.
func encodeResponse(r frontend.Response, last bool) []byte {
	switch r.Kind {
	case frontend.Served:
		b := make([]byte, 0, responseHeadBytes+len(r.Body))
		return appendResponse(b, http.StatusOK, "", string(r.Body), last)
	case frontend.Rejected:
		retryAfter := ""
		if r.RetryAfter > 0 {
			retryAfter = strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)
		}
		return appendResponse(nil, http.StatusTooManyRequests, retryAfter, "", last)
	}
	return appendResponse(nil, http.StatusBadGateway, "", "", last)
}

// responseHeadBytes is about the size of a response's head.
const responseHeadBytes = 96

// reasonPhrases are those of RFC 9110 and 6585; net/http has older ones for 413 and 414.
var reasonPhrases = map[int]string{
	200: "OK",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	411: "Length Required",
	413: "Content Too Large",
	414: "URI Too Long",
	417: "Expectation Failed",
	429: "Too Many Requests",
	431: "Request Header Fields Too Large",
	501: "Not Implemented",
	502: "Bad Gateway",
	503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// appendResponse appends a response; last adds that the connection ends with it, retryAfter is left out if empty.
func appendResponse(b []byte, status int, retryAfter, body string, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	if retryAfter != "" {
		b = append(b, "\r\nRetry-After: "...)
		b = append(b, retryAfter...)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
