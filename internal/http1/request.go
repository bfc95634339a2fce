package http1

import (
	"net/http"
	"strings"
)

// maxTargetBytes is the maximum length of a request target.
const maxTargetBytes = 2048

// Request is the head of a request.
type Request struct {
	Head
	// Method is the request method. Target is the path with the query, and begins with a slash.
	Method, Target string
	// Version is HTTP/1.1 or HTTP/1.0.
	Version string
	// BodyLength is the length of the body in bytes, to be passed to ReadBody. A negative value means that
	// the body is chunked.
	BodyLength int
	// Close reports whether the connection must be closed after the response.
	Close bool
	// ExpectContinue reports whether the client waits for 100 Continue before it sends the body.
	ExpectContinue bool
}

// ReadRequest reads the head of a request. The caller must then read the body with ReadBody. The error is
// an *Error if the head is invalid, io.EOF if the connection ended before the first byte of the request, or
// another error of the connection.
func (r *Reader) ReadRequest() (*Request, error) {
	firstLine, head, err := r.readHead()
	if err != nil {
		return nil, err
	}
	q := &Request{Head: head, Method: firstLine[0], Target: firstLine[1], Version: firstLine[2]}
	if err := q.checkFirstLine(); err != nil {
		return nil, err
	}
	if _, n := q.Get("Host"); n > 1 || n == 0 && q.Version == "HTTP/1.1" {
		return nil, malformed(http.StatusBadRequest, "%d fields Host, want one", n)
	}
	if q.BodyLength, err = q.bodyLength(r.limits.MaxBodyBytes); err != nil {
		return nil, err
	}
	if q.BodyLength < 0 && q.Version == "HTTP/1.0" {
		return nil, malformed(http.StatusBadRequest, "a transfer coding in HTTP/1.0")
	}
	q.Close = q.hasToken("Connection", "close") || q.Version == "HTTP/1.0"
	if expectation, n := q.Get("Expect"); n > 0 {
		if !strings.EqualFold(expectation, "100-continue") {
			return nil, malformed(http.StatusExpectationFailed, "expectation %.20q", expectation)
		}
		q.ExpectContinue = q.Version == "HTTP/1.1"
	}
	return q, nil
}

func (q *Request) checkFirstLine() error {
	switch {
	case q.Version != "HTTP/1.1" && q.Version != "HTTP/1.0":
		return malformed(http.StatusHTTPVersionNotSupported, "version %.20q, want HTTP/1.1", q.Version)
	case !isToken(q.Method):
		return malformed(http.StatusBadRequest, "method %.20q is no token", q.Method)
	case !strings.HasPrefix(q.Target, "/") || strings.ContainsFunc(q.Target, isNoTargetChar):
		return malformed(http.StatusBadRequest, "target %.20q, want a path", q.Target)
	case len(q.Target) > maxTargetBytes:
		return malformed(http.StatusRequestURITooLong, "a target of %d bytes", len(q.Target))
	}
	return nil
}

func isNoTargetChar(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' }
