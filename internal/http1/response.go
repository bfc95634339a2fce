package http1

import (
	"errors"
	"io"
	"net/http"
)

// maxInterimResponses is the maximum number of interim responses (1xx) before the final response.
const maxInterimResponses = 16

// Response is a response.
type Response struct {
	Head
	// Status is the HTTP status, from 200 to 599.
	Status int
	// Body is the complete body. It is nil in a response from StreamResponse.
	Body []byte
	// Close reports whether the connection must not be used for another request.
	Close bool
}

// ReadResponse reads a complete response. It skips interim responses (1xx) before it. The error is an
// *Error if the response is invalid or exceeds a limit. Otherwise it is an error of the connection: io.EOF
// if the connection ended before the first byte, io.ErrUnexpectedEOF if it ended later.
func (r *Reader) ReadResponse() (*Response, error) {
	p, length, err := r.readResponseHead(r.limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if length == untilClose {
		p.Body, err = r.readUntilClose()
	} else {
		p.Body, err = r.ReadBody(length)
	}
	return p, err
}

// StreamResponse reads the head of a response like ReadResponse. The length of the body is not limited. The
// caller must read the body from the returned reader up to io.EOF before the next message can be read.
func (r *Reader) StreamResponse() (*Response, io.Reader, error) {
	p, length, err := r.readResponseHead(unlimitedLength)
	switch {
	case err != nil:
		return nil, nil, err
	case length == untilClose:
		return p, r.r, nil
	case length < 0:
		return p, &chunkedBody{r: r}, nil
	}
	return p, &fixedBody{r.r, length}, nil
}

// readResponseHead reads the head of a response and returns the length of its body, which is at most
// maxBody bytes, chunkedLength or untilClose.
func (r *Reader) readResponseHead(maxBody int) (*Response, int, error) {
	for range maxInterimResponses {
		firstLine, head, err := r.readHead()
		if err != nil {
			return nil, 0, err
		}
		version, status := firstLine[0], firstLine[1]
		if version != "HTTP/1.1" && version != "HTTP/1.0" || len(status) != 3 {
			return nil, 0, malformed(http.StatusBadGateway, "an answer that begins with %.20q", version+" "+status)
		}
		p := &Response{Head: head}
		if p.Status, err = parseLength(status, 10); err != nil {
			return nil, 0, err
		}
		if p.Status < 100 || p.Status > 599 || p.Status == http.StatusSwitchingProtocols {
			return nil, 0, malformed(http.StatusBadGateway, "status %d", p.Status)
		}
		if p.Status < 200 {
			continue
		}
		p.Close = head.hasToken("Connection", "close") || version == "HTTP/1.0"
		length, err := p.responseBodyLength(maxBody)
		return p, length, err
	}
	return nil, 0, malformed(http.StatusBadGateway, "more than %d answers of 1xx", maxInterimResponses)
}

// responseBodyLength is the length of a response's body (RFC 9112, section 6.3). One without a length ends with the
// connection, which is allowed only where the server says that it closes: else the end is indistinguishable from a
// break.
func (p *Response) responseBodyLength(maxBody int) (int, error) {
	if p.Status == http.StatusNoContent || p.Status == http.StatusNotModified {
		return 0, nil
	}
	_, lengths := p.Get("Content-Length")
	_, codings := p.Get("Transfer-Encoding")
	if lengths+codings > 0 {
		return p.bodyLength(maxBody)
	}
	if !p.Close {
		return 0, malformed(http.StatusBadGateway, "an answer without a length")
	}
	return untilClose, nil
}

// readUntilClose reads a body up to the end of the connection. After a connection reset the body may be
// incomplete, so a reset is an error.
func (r *Reader) readUntilClose() (body []byte, err error) {
	for {
		n := r.r.Buffered()
		if n == 0 {
			err := r.Wait()
			if errors.Is(err, io.EOF) {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
			continue
		}
		if len(body)+n > r.limits.MaxBodyBytes {
			return nil, malformed(http.StatusBadGateway, "a body of more than %d bytes", r.limits.MaxBodyBytes)
		}
		if body, err = r.appendBody(body, n); err != nil {
			return nil, err
		}
	}
}
