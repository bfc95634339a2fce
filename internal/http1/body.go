package http1

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
)

// Lengths of a body beside those in bytes.
const (
	chunkedLength   = -1
	untilClose      = -2      // it ends with its connection
	unlimitedLength = 1 << 40 // the limit of a body that is streamed; digits beyond it can't overflow an int
)

// bodyStepBytes is how far a body grows at once: a length that is only announced must cost no memory.
const bodyStepBytes = 16 << 10

// bodyLength is the length of the body that a head announces: chunkedLength, or 0 if it says nothing. The limit is in
// bytes.
func (h *Head) bodyLength(limit int) (int, error) {
	coding, codings := h.Get("Transfer-Encoding")
	length, lengths := h.Get("Content-Length")
	switch {
	case codings > 0 && lengths > 0: // RFC 9112, section 6.3: it may hide a request from one of two parsers
		return 0, malformed(http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
	case codings > 1 || codings == 1 && !strings.EqualFold(coding, "chunked"):
		return 0, malformed(http.StatusNotImplemented, "transfer coding %.20q, want chunked alone", coding)
	case codings == 1:
		return chunkedLength, nil
	case lengths > 1:
		return 0, malformed(http.StatusBadRequest, "%d fields Content-Length", lengths)
	case lengths == 0:
		return 0, nil
	}
	n, err := parseLength(length, 10)
	if err != nil {
		return 0, err
	}
	if n > limit {
		return 0, malformed(http.StatusRequestEntityTooLarge, "a body of %.20s bytes, want %d at most", length, limit)
	}
	return n, nil
}

// parseLength parses a number of digits alone, in base 10 or 16. Beyond unlimitedLength it returns that.
func parseLength(s string, base int) (int, error) {
	if s == "" {
		return 0, malformed(http.StatusBadRequest, "an empty length")
	}
	n := 0
	for i := range len(s) {
		digit := strings.IndexByte("0123456789abcdef", s[i]|0x20)
		if s[i] < '0' || digit < 0 || digit >= base {
			return 0, malformed(http.StatusBadRequest, "length %.20q is no number", s)
		}
		n = min(n*base+digit, unlimitedLength)
	}
	return n, nil
}

// ReadBody reads a body of so many bytes, or a chunked one if length is negative.
func (r *Reader) ReadBody(length int) ([]byte, error) {
	if length < 0 {
		return r.readChunked()
	}
	if length > r.limits.MaxBodyBytes {
		return nil, malformed(http.StatusRequestEntityTooLarge, "a body of %d bytes, want %d at most",
			length, r.limits.MaxBodyBytes)
	}
	return r.appendBody(nil, length)
}

func (r *Reader) readChunked() (body []byte, err error) {
	for {
		n, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return body, nil
		}
		if len(body)+n > r.limits.MaxBodyBytes {
			return nil, malformed(http.StatusRequestEntityTooLarge, "a body of more than %d bytes", r.limits.MaxBodyBytes)
		}
		if body, err = r.appendBody(body, n); err != nil {
			return nil, err
		}
		if err := r.readChunkEnd(); err != nil {
			return nil, err
		}
	}
}

// readChunkSize reads the line before a chunk. 0 is the last chunk, whose trailers are read too, and dropped.
func (r *Reader) readChunkSize() (int, error) {
	r.buf = r.buf[:0]
	from, to, err := r.readLine()
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	size, _, _ := strings.Cut(string(r.buf[from:to]), ";")
	n, err := parseLength(strings.TrimRight(size, " \t"), 16)
	if err != nil || n > 0 {
		return n, err
	}
	r.buf = r.buf[:0]
	for {
		from, to, err := r.readLine()
		if err != nil {
			return 0, unexpectedEOF(err)
		}
		if from == to {
			return 0, nil
		}
	}
}

func (r *Reader) readChunkEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(r.r, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if end != [2]byte{'\r', '\n'} {
		return malformed(http.StatusBadRequest, "a chunk that is longer than its length")
	}
	return nil
}

// appendBody reads n further bytes of a body.
func (r *Reader) appendBody(body []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, bodyStepBytes)
		if r.limits.ReserveBody != nil && !r.limits.ReserveBody(step) {
			return nil, malformed(http.StatusServiceUnavailable, "no room for a body of more than %d bytes", len(body))
		}
		done := len(body)
		body = slices.Grow(body, step)[:done+step]
		if _, err := io.ReadFull(r.r, body[done:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		n -= step
	}
	return body, nil
}

// unexpectedEOF turns an end within a message into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fixedBody streams a body of a known length.
type fixedBody struct {
	r    io.Reader
	left int // bytes
}

func (f *fixedBody) Read(b []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n, err := f.r.Read(b[:min(len(b), f.left)])
	f.left -= n
	if err != nil && f.left > 0 {
		return n, unexpectedEOF(err)
	}
	return n, nil
}

// chunkedBody streams a chunked body.
type chunkedBody struct {
	r    *Reader
	left int // bytes of the current chunk
	done bool
}

func (c *chunkedBody) Read(b []byte) (n int, err error) {
	if c.left == 0 && !c.done {
		if c.left, err = c.r.readChunkSize(); err != nil {
			return 0, err
		}
		c.done = c.left == 0
	}
	if c.done {
		return 0, io.EOF
	}
	n, err = c.r.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	if err != nil {
		return n, unexpectedEOF(err)
	}
	if c.left == 0 {
		err = c.r.readChunkEnd()
	}
	return n, err
}
