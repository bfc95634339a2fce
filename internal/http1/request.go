package http1

import (
	"net/http"
	"strings"
)

// maxTargetBytes bounds the target of a request.
const maxTargetBytes = 2048

// Request is a client's message without its body.
type Request struct {
	Head
	Method, Target string
	Version        string // HTTP/1.1 or HTTP/1.0
	BodyLength     int    // in bytes, for ReadBody; negative: the body is chunked
	Close          bool   // the client wants the connection to end with the response
	ExpectContinue bool   // the client waits for 100 Continue before it sends the body
}

// ReadRequest reads the head of a request; ReadBody has to follow. io.EOF means that the connection ended between two
// requests.
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
