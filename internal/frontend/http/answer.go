package http

import (
	"errors"
	"strconv"
	"time"

	"winghatch/internal/frontend"
	"winghatch/internal/http1"
)

// reject says why a request can't be used and ends the connection.
func (c *conn) rejectRequest(err error) {
	var e *http1.Error
	if !errors.As(err, &e) {
		return // the connection broke
	}
	s := c.server
	s.BadRequests.Add(1)
	s.log.Debug("turned away", "status", e.Status, "why", e.Reason)
	status := e.Status
	if status < 400 {
		status = 400
	}
	s.mu.Lock()
	defer s.unlockAndClose()
	if c.phase != closing {
		c.setPhase(closing)
		c.writeResponse(appendResponse(nil, status, "", e.Reason+"\n", true), c.halfClose)
	}
}

// health answers the platform's question whether the gateway can serve.
func (c *conn) serveHealth(last bool) bool {
	s := c.server
	ready := s.ready()
	s.mu.Lock()
	defer s.unlockAndClose()
	if c.phase == closing {
		return false
	}
	status := 200
	if s.draining || !ready {
		status = 503
	}
	last = last || s.stopping
	c.lastResponse, c.requestBegun = last, false
	c.setPhase(active) // until it is written
	c.writeResponse(appendResponse(nil, status, "", "", last), c.finishResponse)
	return true
}

// done writes the one answer; the loop calls it, so it must not wait for the client. The connection's own goroutine
// takes up what the client sent meanwhile only once the answer is written whole.
func (c *conn) respond(id string, f frontend.Response) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.requestID != id { // its client has gone, and its X-Txn may be another's by now
		return
	}
	delete(s.openTxns, c.txn)
	c.requestID, c.txn = "", ""
	c.lastResponse = c.lastResponse || s.draining && !c.requestBegun // what was read behind it is owed an answer too
	c.writeResponse(encodeResponse(f, c.lastResponse), c.finishResponse)
}

// free ends the request whose answer is written; s.mu is held.
func (c *conn) finishResponse() {
	s := c.server
	s.bodyBytes -= c.bodyBytes
	c.bodyBytes = 0
	switch {
	case c.clientGone: // its reader ends it
		c.setPhase(closing)
	case c.lastResponse:
		c.halfClose()
	default:
		c.setPhase(idle)
	}
	if c.paused {
		c.paused = false
		c.resume <- struct{}{}
	}
	if c.watching {
		c.woken = true
		c.nc.SetReadDeadline(time.Now())
	}
}

// finalBytes is a final answer in HTTP: 429 and 503 are refusals and promise that trying again is harmless; a failed
// one is 502. A 429 may say when to come back.
func encodeResponse(f frontend.Response, last bool) []byte {
	switch f.Kind {
	case frontend.Served:
		return appendResponse(make([]byte, 0, 96+len(f.Body)), 200, "", string(f.Body), last)
	case frontend.Rejected:
		after := ""
		if f.RetryAfter > 0 {
			after = strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)
		}
		return appendResponse(nil, 429, after, "", last)
	}
	return appendResponse(nil, 502, "", "", last)
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 501: "Not Implemented", 502: "Bad Gateway",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

func appendResponse(b []byte, status int, after, body string, last bool) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(b, ' '), reasonPhrases[status]...)
	if after != "" {
		b = append(append(b, "\r\nRetry-After: "...), after...)
	}
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
