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
	// writeTimeout is the minimum time for a client to read the part of a response that did not fit into the
	// socket buffer.
	writeTimeout = 2 * time.Second
	// responseGrace is the time after a request's deadline during which its response is still written.
	responseGrace = 500 * time.Millisecond
)

// rejectRequest sends the response for an invalid request and ends the connection. Any error other than an
// *http1.Error means that the connection broke, so there is no response.
func (c *conn) rejectRequest(err error) {
	var httpErr *http1.Error
	if !errors.As(err, &httpErr) {
		return
	}
	s := c.server
	s.BadRequests.Add(1)
	c.releaseBody()
	c.input.work.BadRequests++
	c.pace()
	s.log.Debug("Request refused", "status", httpErr.Status, "reason", httpErr.Reason)
	// The response must have an error status, because its client must not take the request for served.
	status := httpErr.Status
	if status < http.StatusBadRequest {
		status = http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.unlockAndClose()
	if c.phase != closing {
		c.setPhase(closing)
		c.writeResponse(onePart(status, "", httpErr.Reason+"\n", true), c.halfClose)
	}
}

// serveHealth responds to the platform's health check with 200 if the gateway can serve requests, else with
// 503. closeAfter says that the client wants the connection to end with the response. serveHealth returns
// false if the connection is closing.
func (c *conn) serveHealth(closeAfter bool) bool {
	s := c.server
	s.HealthChecks.Add(1)
	c.input.work.HealthChecks++
	c.input.endMessage()
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
	closeAfter = closeAfter || s.stopping
	c.closeAfterResponse, c.requestStarted = closeAfter, false
	c.setPhase(active) // until the response is written
	c.writeResponse(onePart(status, "", "", closeAfter), c.finishResponse)
	return true
}

// respond writes the final response to a request. The loop calls it, so it must not wait for the client. The
// connection's reader processes the next request only after the response is completely written.
func (c *conn) respond(requestID string, response frontend.Response) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.respondLocked(requestID, response)
}

// respondLocked does the work of respond. The caller holds Server.mu.
func (c *conn) respondLocked(requestID string, response frontend.Response) {
	s := c.server
	if c.requestID != requestID { // the client has disconnected, and another request may use the X-Txn by now
		response.Memory.Release()
		return
	}
	// A client that has closed the connection does not get the answer and may send its request again.
	mayHaveRun := response.Kind != frontend.Rejected
	if mayHaveRun && !c.txn.isRepeatable && c.isHungUp() {
		s.txns.abandoned(c.txn)
	} else {
		s.txns.answered(c.txn)
	}
	c.requestID, c.txn = "", nil
	// While draining, a request that was already read after this one still gets its response on this
	// connection.
	c.closeAfterResponse = c.closeAfterResponse || s.draining && !c.requestStarted
	c.responseMemory = response.Memory
	c.writeResponse(encodeResponse(response, c.closeAfterResponse), func() {
		c.responseMemory = nil
		response.Memory.Release()
		c.finishResponse()
	})
}

// finishResponse completes the request whose response has been written and wakes the reader. The caller holds
// Server.mu.
func (c *conn) finishResponse() {
	switch {
	case c.clientGone: // the reader closes the connection
		c.setPhase(closing)
	case c.closeAfterResponse:
		c.halfClose()
	default:
		c.setPhase(idle)
	}
	if c.pipeline.paused {
		c.pipeline.paused = false
		c.pipeline.resume <- struct{}{}
	}
	if c.pipeline.watching {
		c.pipeline.wakeDeadlineSet = true
		c.nc.SetReadDeadline(time.Now())
	}
}

// writeResponse writes the parts of a response without blocking. It calls done with Server.mu held as soon as the response
// is written or the write has failed. If the socket buffer is full, a separate goroutine writes the remainder
// within a bounded time. The caller holds Server.mu.
func (c *conn) writeResponse(parts [][]byte, done func()) {
	rest, err := socket.WritePartsNow(c.raw, parts)
	if len(rest) == 0 {
		done()
		return
	}
	if err != nil && !socket.IsTransient(err) {
		c.closeAfterResponse = true // the connection broke
		done()
		return
	}
	c.server.wg.Add(1)
	c.pendingWrites.Add(1)
	c.noteStalled()
	// The client may still need the response until its request's deadline and responseGrace have passed.
	timeout := max(writeTimeout, c.deadline+responseGrace-c.server.clock())
	go c.writeRemainder(rest, time.Now().Add(timeout), done)
}

// writeRemainder writes the part of a response that did not fit into the socket buffer, then calls done with
// Server.mu held. If the write fails or times out, it aborts the connection.
func (c *conn) writeRemainder(rest [][]byte, deadline time.Time, done func()) {
	defer c.server.wg.Done()
	defer c.pendingWrites.Done()
	err := socket.WritePartsUntil(c.nc, rest, deadline)
	c.server.mu.Lock()
	defer c.server.unlockAndClose()
	c.stopStalled()
	if err != nil {
		c.abort()
	}
	done()
}

// writeInterim writes an interim response and waits until the socket buffer has taken it, at most
// writeTimeout. Only the connection's own goroutine calls it.
func (c *conn) writeInterim(b []byte) {
	if !c.isClosing() {
		socket.WriteAll(c.nc, b, writeTimeout)
	}
}

// encodeResponse encodes a final response. A rejected request gets 429, which promises that a retry is safe
// and may suggest a wait before it. A failed request gets 502, which makes no such promise.
func encodeResponse(r frontend.Response, closeAfter bool) [][]byte {
	switch r.Kind {
	case frontend.Served:
		return encodeServed(r, closeAfter)
	case frontend.Rejected:
		retryAfter := ""
		if r.RetryAfter > 0 {
			retryAfter = strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64)
		}
		return onePart(http.StatusTooManyRequests, retryAfter, "", closeAfter)
	}
	return onePart(http.StatusBadGateway, "", "", closeAfter)
}

// encodeServed encodes a served response. A large body is not copied.
func encodeServed(r frontend.Response, closeAfter bool) [][]byte {
	bodyBytes := len(r.Body) + http1.Body(r.Rest).Len()
	head := make([]byte, 0, responseHeadBytes+min(bodyBytes, smallBodyBytes))
	head = appendResponseHead(head, http.StatusOK, "", bodyBytes, closeAfter)
	if bodyBytes > smallBodyBytes {
		return append([][]byte{head, r.Body}, r.Rest...)
	}
	head = append(head, r.Body...)
	for _, part := range r.Rest {
		head = append(head, part...)
	}
	return [][]byte{head}
}

// onePart encodes a response with a short body in one part, see appendResponseHead.
func onePart(status int, retryAfter, body string, closeAfter bool) [][]byte {
	head := appendResponseHead(nil, status, retryAfter, len(body), closeAfter)
	return [][]byte{append(head, body...)}
}

// responseHeadBytes is the approximate size of the head of a response.
const responseHeadBytes = 96

// reasonPhrases maps status codes to the reason phrases of RFC 9110 and RFC 6585. net/http has older phrases
// for 413 and 414.
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

// appendResponseHead appends the head of a response to b. If closeAfter is set, the response has "Connection:
// close". An empty retryAfter omits the field Retry-After.
func appendResponseHead(b []byte, status int, retryAfter string, bodyBytes int, closeAfter bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	if retryAfter != "" {
		b = append(b, "\r\nRetry-After: "...)
		b = append(b, retryAfter...)
	}
	if closeAfter {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(bodyBytes), 10)
	return append(b, "\r\n\r\n"...)
}
