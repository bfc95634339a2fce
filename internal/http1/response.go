package http1

import (
	"errors"
	"io"
	"net/http"
)

// maxInterimResponses is how many responses of 1xx may precede the final one.
const maxInterimResponses = 16

// Response is a server's message.
type Response struct {
	Head
	Status int
	Body   []byte // nil from StreamResponse
	Close  bool   // the connection is of no further use
}

// ReadResponse reads a complete response and skips interim ones before it.
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

// StreamResponse reads the head of a response as ReadResponse does. Its body, of any length, has to be read from the
// reader returned up to io.EOF before the next call.
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

// readResponseHead reads the head of a response whose body has up to maxBody bytes. The length of the body may also
// be chunkedLength or untilClose.
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

// readUntilClose reads a body up to the end of the connection. A reset is no end: what precedes it is not
// complete.
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
