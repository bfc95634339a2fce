// Package http1 implements a strict parser for HTTP/1.1 requests and responses (RFC 9112) that reads from a
// bufio.Reader.
//
// A message that two parsers could interpret differently is rejected, for example one with a bare line
// feed, a folded line, a space before a colon, two lengths, or both a length and a transfer coding.
// Otherwise a client could hide a request in the body of another one (request smuggling). The sizes of
// heads and bodies are limited. The package opens no sockets.
//
// An invalid message results in an *Error. All other errors are errors of the connection.
//
// File reader.go parses lines and heads, request.go and response.go parse the two kinds of messages, and
// body.go parses bodies.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxFields is the maximum number of fields in a head, which then has 64 lines including the start line.
const maxFields = 63

// maxIdleBufferBytes is the largest buffer for lines that a Reader keeps between two heads.
const maxIdleBufferBytes = 1 << 10

// Limits are the limits for one message.
type Limits struct {
	// MaxHeadBytes is the maximum size of the start line and the fields together. Of the line ends, only
	// that of the line being read counts.
	MaxHeadBytes int
	// MaxBodyBytes is the maximum size of a body.
	MaxBodyBytes int
	// ReserveBody is called before the body gets another block, with the capacity of the block. If it returns
	// false, reading the message ends with an *Error with status 503. Nil means that there is no such
	// limit.
	ReserveBody func(bytes int) bool
}

// Field is a field line of a head. Name is spelled as received. Names are compared case-insensitively.
type Field struct{ Name, Value string }

// Head contains the fields of a message in the order received.
type Head struct {
	Fields []Field
}

// Get returns the value of the first field with the given name, and the number of fields with that name.
func (h *Head) Get(name string) (value string, n int) {
	for _, f := range h.Fields {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		if n == 0 {
			value = f.Value
		}
		n++
	}
	return value, n
}

// hasToken reports whether a field with the given name contains token in its comma-separated list (RFC
// 9110, section 5.6.1). Names and tokens are compared case-insensitively.
func (h *Head) hasToken(name, token string) bool {
	for _, f := range h.Fields {
		if !strings.EqualFold(f.Name, name) {
			continue
		}
		for part := range strings.SplitSeq(f.Value, ",") {
			if strings.EqualFold(strings.Trim(part, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// Error reports that a message is invalid or exceeds a limit.
type Error struct {
	// Status is the HTTP status with which a server responds to the message.
	Status int
	// Reason describes the fault. Servers send it to the client.
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Reader reads the messages of one connection one after another. It is not safe for concurrent use.
type Reader struct {
	r      *bufio.Reader
	limits Limits
	chunks int    // chunks read so far
	buf    []byte // lines of the current head, chunk size line or trailer, without line ends
}

// NewReader returns a Reader that reads from r. A line that is longer than the buffer of r results in an
// *Error with status 431.
func NewReader(r *bufio.Reader, limits Limits) *Reader { return &Reader{r: r, limits: limits} }

// Buffered returns the number of bytes that have been read from the connection but not consumed by a
// message.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Chunks returns the number of chunks of bodies that have been read so far.
func (r *Reader) Chunks() int { return r.chunks }

// WaitReadable blocks until at least one byte can be read, and returns nil without consuming it. It returns
// an error if the connection ends or fails first.
func (r *Reader) WaitReadable() error {
	_, err := r.r.Peek(1)
	return err
}

// readLine appends the next line, without CR LF, to r.buf and returns its start and end index in r.buf. The
// CR LF of the line counts towards MaxHeadBytes.
func (r *Reader) readLine() (from, to int, err error) {
	raw, err := r.r.ReadSlice('\n')
	from = len(r.buf)
	if errors.Is(err, bufio.ErrBufferFull) || from+len(raw) > r.limits.MaxHeadBytes {
		return 0, 0, errorf(http.StatusRequestHeaderFieldsTooLarge, "a head of more than %d bytes",
			r.limits.MaxHeadBytes)
	}
	if err != nil {
		if errors.Is(err, io.EOF) && from+len(raw) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	if len(raw) < 2 || raw[len(raw)-2] != '\r' {
		return 0, 0, errorf(http.StatusBadRequest, "a line that ends without CR LF")
	}
	raw = raw[:len(raw)-2]
	for _, c := range raw {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, 0, errorf(http.StatusBadRequest, "byte %#x in a head", c)
		}
	}
	r.buf = append(r.buf, raw...)
	return from, len(r.buf), nil
}

// readHead reads the start line and the fields of a message. The start line is returned in three parts,
// split at its first two spaces. The error is io.EOF if the connection ended before the first byte.
func (r *Reader) readHead() (startLine [3]string, h Head, err error) {
	r.buf = r.buf[:0]
	var ends [1 + maxFields]int // end index in r.buf of each line
	n := 0
	for {
		from, to, err := r.readLine()
		if err != nil {
			return startLine, h, err
		}
		if from == to {
			break
		}
		if n == len(ends) {
			return startLine, h, errorf(http.StatusRequestHeaderFieldsTooLarge, "more than %d fields",
				maxFields)
		}
		ends[n] = to
		n++
	}
	if n == 0 {
		return startLine, h, errorf(http.StatusBadRequest, "an empty first line")
	}
	text := string(r.buf) // all names and values share one allocation
	first, rest, ok := strings.Cut(text[:ends[0]], " ")
	if !ok {
		return startLine, h, errorf(http.StatusBadRequest, "a first line of one word")
	}
	second, third, _ := strings.Cut(rest, " ")
	if cap(r.buf) > maxIdleBufferBytes {
		r.buf = nil
	}
	h.Fields = make([]Field, 0, n-1)
	for i := 1; i < n; i++ {
		name, value, ok := strings.Cut(text[ends[i-1]:ends[i]], ":")
		if !ok || !isToken(name) {
			return startLine, h, errorf(http.StatusBadRequest, "field %d has no name that can be read", i)
		}
		h.Fields = append(h.Fields, Field{name, strings.Trim(value, " \t")})
	}
	return [3]string{first, second, third}, h, nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool { return s != "" && !strings.ContainsFunc(s, isNonTokenChar) }

// isNonTokenChar reports whether c must not occur in a token (RFC 9110, section 5.6.2).
func isNonTokenChar(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return c >= 0x80 || !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
