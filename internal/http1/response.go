package http1

import (
	"errors"
	"io"
	"net/http"
)

// maxInterimResponses is the maximum number of interim responses (1xx) before the final response.
const maxInterimResponses = 16

// Response is the response of a server.
type Response struct {
	Head
	// Status is the HTTP status, from 200 to 599.
	Status int
	// Body is the complete body. It is nil in a response from StreamResponse.
	Body Body
	// Close reports whether the connection must not be used for another request.
	Close bool
}

// ReadResponse reads a complete response. It skips interim responses (1xx) before it. The error is an
// *Error if the response is invalid or exceeds a limit. Otherwise it is an error of the connection: io.EOF
// if the connection ended before the first byte, io.ErrUnexpectedEOF if it ended later.
func (r *Reader) ReadResponse() (*Response, error) {
	response, length, err := r.readResponseHead(r.limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if length == untilClose {
		response.Body, err = r.readUntilClose()
	} else {
		response.Body, err = r.ReadBody(length)
	}
	return response, err
}

// StreamResponse reads the head of a response like ReadResponse. The length of the body is not limited. The
// caller must read the body from the returned reader up to io.EOF before the next message can be read.
func (r *Reader) StreamResponse() (*Response, io.Reader, error) {
	response, length, err := r.readResponseHead(unlimitedLength)
	switch {
	case err != nil:
		return nil, nil, err
	case length == untilClose:
		return response, r.r, nil
	case length < 0:
		return response, &chunkedBody{r: r}, nil
	}
	return response, &fixedBody{r.r, length}, nil
}

// readResponseHead reads the head of a response and returns the length of its body, which is at most
// maxBody bytes, chunkedLength or untilClose.
func (r *Reader) readResponseHead(maxBody int) (*Response, int, error) {
	for range maxInterimResponses {
		startLine, head, err := r.readHead()
		if err != nil {
			return nil, 0, err
		}
		version, status := startLine[0], startLine[1]
		if version != "HTTP/1.1" && version != "HTTP/1.0" || len(status) != 3 {
			return nil, 0, errorf(http.StatusBadGateway,
				"response begins with %.20q, want HTTP/1.1 and a status of three digits", version+" "+status)
		}
		response := &Response{Head: head}
		if response.Status, err = parseLength(status, 10); err != nil {
			return nil, 0, err
		}
		if response.Status < 100 || response.Status > 599 ||
			response.Status == http.StatusSwitchingProtocols {
			return nil, 0, errorf(http.StatusBadGateway,
				"response has status %d, want 100 to 599 except 101", response.Status)
		}
		if response.Status < 200 {
			continue
		}
		response.Close = head.hasToken("Connection", "close") || version == "HTTP/1.0"
		length, err := response.responseBodyLength(maxBody)
		return response, length, err
	}
	return nil, 0, errorf(http.StatusBadGateway, "more than %d interim responses (1xx)", maxInterimResponses)
}

// responseBodyLength returns the length of the body of a response (RFC 9112, section 6.3). A body without a
// length ends when the connection is closed. This is only accepted if the server announced that it closes
// the connection, because otherwise the end cannot be told from a broken connection.
func (r *Response) responseBodyLength(maxBody int) (int, error) {
	if r.Status == http.StatusNoContent || r.Status == http.StatusNotModified {
		return 0, nil
	}
	_, lengthCount := r.Get("Content-Length")
	_, codingCount := r.Get("Transfer-Encoding")
	if lengthCount+codingCount > 0 {
		return r.bodyLength(maxBody)
	}
	if !r.Close {
		return 0, errorf(http.StatusBadGateway, "response has neither a length nor Connection: close")
	}
	return untilClose, nil
}

// readUntilClose reads a body up to the end of the connection. After a connection reset the body may be
// incomplete, so a reset is an error.
func (r *Reader) readUntilClose() (Body, error) {
	var b bodyBuffer
	for {
		n := r.r.Buffered()
		if n == 0 {
			err := r.WaitReadable()
			if errors.Is(err, io.EOF) {
				return b.blocks, nil
			}
			if err != nil {
				return nil, err
			}
			continue
		}
		if b.size+n > r.limits.MaxBodyBytes {
			return nil, errorf(http.StatusBadGateway, "response body of more than %d bytes",
				r.limits.MaxBodyBytes)
		}
		if err := b.read(r, n); err != nil {
			return nil, err
		}
	}
}
