// Package http1 is a strict codec of HTTP/1.1 messages (RFC 9112) on a bufio.Reader, for requests and responses.
//
// What two parsers could understand in two ways is an error, never a guess: a bare line feed, a folded line, a space
// before a colon, two lengths, a length beside a transfer coding. Otherwise a client could hide a request in another
// one's body (request smuggling). Heads and bodies are bounded. The package opens no socket.
//
// A message that cannot be used gives an *Error; any other error is the connection's.
//
// Files: reader.go lines and heads, request.go and response.go the two kinds of message, body.go bodies.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxFields bounds the fields of a head; with its first line they are 64 lines.
const maxFields = 63

// Limits bound a message.
type Limits struct {
	// MaxHeadBytes bounds the first line and the fields together, their line ends included.
	MaxHeadBytes int
	// MaxBodyBytes bounds a body.
	MaxBodyBytes int
	// ReserveBody is called before a body grows by so many bytes; false ends the message with an Error. Nil: always
	// true.
	ReserveBody func(bytes int) bool
}

// Field is one line of a head. Name is as received; names compare without case.
type Field struct{ Name, Value string }

// Head has the fields of a message.
type Head struct {
	Fields []Field
}

// Get returns the value of the first field of a name, and how many there are.
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

// hasToken reports whether a field of comma-separated tokens holds one, without case (RFC 9110, section 5.6.1).
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

// Error says why a message cannot be used.
type Error struct {
	Status int // of the response to a client
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func malformed(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Reader reads the messages of one connection, one after the other. It is not safe for concurrent use.
type Reader struct {
	r      *bufio.Reader
	limits Limits
	buf    []byte // lines read so far, of a head or of a chunk's framing
}

// NewReader returns a reader of r. Lines longer than r's buffer cannot be read.
func NewReader(r *bufio.Reader, limits Limits) *Reader { return &Reader{r: r, limits: limits} }

// Buffered is how many bytes were read that no message has taken.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Wait returns once a byte has arrived, without taking it, or the connection's error.
func (r *Reader) Wait() error {
	_, err := r.r.Peek(1)
	return err
}

// readLine appends a line to r.buf without its end, which counts against the head's limit, and returns its place
// there.
func (r *Reader) readLine() (from, to int, err error) {
	raw, err := r.r.ReadSlice('\n')
	from = len(r.buf)
	if errors.Is(err, bufio.ErrBufferFull) || from+len(raw) > r.limits.MaxHeadBytes {
		return 0, 0, malformed(http.StatusRequestHeaderFieldsTooLarge, "a head of more than %d bytes", r.limits.MaxHeadBytes)
	}
	if err != nil {
		if errors.Is(err, io.EOF) && from+len(raw) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	if len(raw) < 2 || raw[len(raw)-2] != '\r' {
		return 0, 0, malformed(http.StatusBadRequest, "a line that ends without CR LF")
	}
	raw = raw[:len(raw)-2]
	for _, c := range raw {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, 0, malformed(http.StatusBadRequest, "byte %#x in a head", c)
		}
	}
	r.buf = append(r.buf, raw...)
	return from, len(r.buf), nil
}

// readHead reads a first line, as what precedes its first two spaces and the rest, and the fields. io.EOF means that
// the connection ended before the first byte.
func (r *Reader) readHead() (firstLine [3]string, h Head, err error) {
	r.buf = r.buf[:0]
	var ends [1 + maxFields]int // of the lines in r.buf
	n := 0
	for {
		from, to, err := r.readLine()
		if err != nil {
			return firstLine, h, err
		}
		if from == to {
			break
		}
		if n == len(ends) {
			return firstLine, h, malformed(http.StatusRequestHeaderFieldsTooLarge, "more than %d fields", maxFields)
		}
		ends[n] = to
		n++
	}
	if n == 0 {
		return firstLine, h, malformed(http.StatusBadRequest, "an empty first line")
	}
	text := string(r.buf) // one allocation for all names and values
	first, rest, ok := strings.Cut(text[:ends[0]], " ")
	if !ok {
		return firstLine, h, malformed(http.StatusBadRequest, "a first line of one word")
	}
	second, third, _ := strings.Cut(rest, " ")
	h.Fields = make([]Field, 0, n-1)
	for i := 1; i < n; i++ {
		name, value, ok := strings.Cut(text[ends[i-1]:ends[i]], ":")
		if !ok || !isToken(name) {
			return firstLine, h, malformed(http.StatusBadRequest, "field %d has no name that can be read", i)
		}
		h.Fields = append(h.Fields, Field{name, strings.Trim(value, " \t")})
	}
	return [3]string{first, second, third}, h, nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool { return s != "" && !strings.ContainsFunc(s, isNoTokenChar) }

// isNoTokenChar reports whether c is not a tchar (RFC 9110, section 5.6.2).
func isNoTokenChar(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return false
	}
	return c >= 0x80 || !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
