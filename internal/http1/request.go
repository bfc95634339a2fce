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
	startLine, head, err := r.readHead()
	if err != nil {
		return nil, err
	}
	request := &Request{Head: head, Method: startLine[0], Target: startLine[1], Version: startLine[2]}
	if err := request.validateStartLine(); err != nil {
		return nil, err
	}
	if _, n := request.Get("Host"); n > 1 || n == 0 && request.Version == "HTTP/1.1" {
		return nil, errorf(http.StatusBadRequest, "%d fields Host, want one", n)
	}
	if request.BodyLength, err = request.bodyLength(r.limits.MaxBodyBytes); err != nil {
		return nil, err
	}
	if request.BodyLength < 0 && request.Version == "HTTP/1.0" {
		return nil, errorf(http.StatusBadRequest, "a transfer coding in HTTP/1.0")
	}
	request.Close = request.hasToken("Connection", "close") || request.Version == "HTTP/1.0"
	if expectation, n := request.Get("Expect"); n > 0 {
		if !strings.EqualFold(expectation, "100-continue") {
			return nil, errorf(http.StatusExpectationFailed, "expectation %.20q", expectation)
		}
		request.ExpectContinue = request.Version == "HTTP/1.1"
	}
	return request, nil
}

// validateStartLine returns an *Error if the version, method or target is invalid.
func (r *Request) validateStartLine() error {
	switch {
	case r.Version != "HTTP/1.1" && r.Version != "HTTP/1.0":
		return errorf(http.StatusHTTPVersionNotSupported, "version %.20q, want HTTP/1.1", r.Version)
	case !isToken(r.Method):
		return errorf(http.StatusBadRequest, "method %.20q is no token", r.Method)
	case !strings.HasPrefix(r.Target, "/") || strings.ContainsFunc(r.Target, isInvalidTargetChar):
		return errorf(http.StatusBadRequest, "target %.20q, want a path", r.Target)
	case len(r.Target) > maxTargetBytes:
		return errorf(http.StatusRequestURITooLong, "a target of %d bytes", len(r.Target))
	}
	return nil
}

// isInvalidTargetChar reports whether c must not occur in a request target.
func isInvalidTargetChar(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' }
