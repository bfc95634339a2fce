// Package http1 is a strict codec of HTTP/1.1 messages (RFC 9112) on a bufio.Reader, for both directions. What
// two readers could understand in two ways is an error here, never a guess: a bare line feed, a folded line, a
// space before a colon, two lengths, a length beside a transfer coding. Heads and bodies are bounded. It opens no
// socket.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Limits bound a message, in bytes.
type Limits struct {
	MaxHeadBytes int // of the first line and the fields together
	MaxBodyBytes int
	// Room is asked before a body grows by so many bytes; false ends the message. nil: always.
	ReserveBody func(bytes int) bool
}

// Field is one line of a head; Name is as it came.
type Field struct{ Name, Value string }

// Head is a first line and its fields.
type Head struct {
	A, B, C string // method, target, version; or version, status, reason
	Fields  []Field
}

// Error says why a message can't be used, and the status that tells a client so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

func malformed(status int, form string, args ...any) error {
	return &Error{status, fmt.Sprintf(form, args...)}
}

// Get returns the first field of a name and whether there is just that one. Names are compared without case.
func (h *Head) Get(name string) (value string, n int) {
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, name) {
			if n == 0 {
				value = f.Value
			}
			n++
		}
	}
	return value, n
}

// Has reports whether a comma-separated field holds a token (RFC 9110, section 5.6.1).
func (h *Head) HasToken(name, token string) bool {
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

// Reader reads heads and bodies of one connection, one after the other.
type Reader struct {
	r      *bufio.Reader
	limits Limits
	buf    []byte
}

// NewReader reads from r. Lines longer than its buffer can't be read.
func NewReader(r *bufio.Reader, lim Limits) *Reader { return &Reader{r: r, limits: lim} }

// Buffered is how many bytes have come that no message has taken.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Wait returns once a byte has come, without taking it.
func (r *Reader) Wait() error {
	_, err := r.r.Peek(1)
	return err
}

// line reads a line and its end, which counts against the head's bound, into r.buf.
func (r *Reader) readLine() (from, to int, err error) {
	raw, err := r.r.ReadSlice('\n')
	from = len(r.buf)
	if errors.Is(err, bufio.ErrBufferFull) || from+len(raw) > r.limits.MaxHeadBytes {
		return 0, 0, malformed(431, "a head of more than %d bytes", r.limits.MaxHeadBytes)
	}
	if err != nil {
		if errors.Is(err, io.EOF) && from+len(raw) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return 0, 0, err
	}
	if len(raw) < 2 || raw[len(raw)-2] != '\r' {
		return 0, 0, malformed(400, "a line that ends without CR LF")
	}
	raw = raw[:len(raw)-2]
	for _, c := range raw {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, 0, malformed(400, "byte %#x in a head", c)
		}
	}
	r.buf = append(r.buf, raw...)
	return from, len(r.buf), nil
}

// head reads a first line and the fields. io.EOF means that the connection ended before its first byte.
func (r *Reader) readHead() (*Head, error) {
	r.buf = r.buf[:0]
	var ends [64]int
	n := 0
	for {
		from, to, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if from == to {
			if n == 0 {
				return nil, malformed(400, "an empty first line")
			}
			break
		}
		if n == len(ends) {
			return nil, malformed(431, "more than %d fields", len(ends)-1)
		}
		ends[n] = to
		n++
	}
	all := string(r.buf)
	h := &Head{Fields: make([]Field, 0, n-1)}
	var ok bool
	h.A, h.B, ok = strings.Cut(all[:ends[0]], " ")
	if !ok {
		return nil, malformed(400, "a first line of one word")
	}
	h.B, h.C, _ = strings.Cut(h.B, " ")
	for i := 1; i < n; i++ {
		name, value, ok := strings.Cut(all[ends[i-1]:ends[i]], ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(c rune) bool { return !isTokenChar(c) }) {
			return nil, malformed(400, "field %d has no name that can be read", i)
		}
		h.Fields = append(h.Fields, Field{name, strings.Trim(value, " \t")})
	}
	return h, nil
}

// tokenByte is RFC 9110's tchar.
func isTokenChar(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		c < 0x80 && strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// Token reports whether s is a token of RFC 9110, section 5.6.2.
func IsToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return !isTokenChar(c) })
}

// Request is a client's message without its body.
type Request struct {
	Head
	BodyLength     int // of the body; -1: it is chunked
	Close          bool
	ExpectContinue bool // the client waits for a 100 before it sends the body
}

// Request reads the head of a request. io.EOF means that there is none any more.
func (r *Reader) ReadRequest() (*Request, error) {
	h, err := r.readHead()
	if err != nil {
		return nil, err
	}
	q := &Request{Head: *h}
	method, target, version := h.A, h.B, h.C
	switch {
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return nil, malformed(505, "version %.20q, want HTTP/1.1", version)
	case !IsToken(method):
		return nil, malformed(400, "method %.20q is no token", method)
	case target == "" || target[0] != '/' || strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == '#' }):
		return nil, malformed(400, "target %.20q, want a path", target)
	case len(target) > 2048:
		return nil, malformed(414, "a target of %d bytes", len(target))
	}
	if _, n := h.Get("Host"); n > 1 || n == 0 && version == "HTTP/1.1" {
		return nil, malformed(400, "%d fields Host, want one", n)
	}
	if q.BodyLength, err = h.bodyLength(r.limits.MaxBodyBytes); err != nil {
		return nil, err
	}
	if q.BodyLength < 0 && version == "HTTP/1.0" {
		return nil, malformed(400, "a transfer coding in HTTP/1.0")
	}
	q.Close = h.HasToken("Connection", "close") || version == "HTTP/1.0"
	if v, n := h.Get("Expect"); n > 0 {
		if !strings.EqualFold(v, "100-continue") {
			return nil, malformed(417, "expectation %.20q", v)
		}
		q.ExpectContinue = version == "HTTP/1.1"
	}
	return q, nil
}

// length is of the body that a head announces: -1 if it is chunked, 0 if nothing is said.
func (h *Head) bodyLength(most int) (int, error) {
	te, tes := h.Get("Transfer-Encoding")
	cl, cls := h.Get("Content-Length")
	switch {
	case tes > 0 && cls > 0:
		return 0, malformed(400, "both Content-Length and Transfer-Encoding") // RFC 9112, section 6.3: a smuggled request
	case tes > 1 || tes == 1 && !strings.EqualFold(te, "chunked"):
		return 0, malformed(501, "transfer coding %.20q, want chunked alone", te)
	case tes == 1:
		return -1, nil
	case cls > 1:
		return 0, malformed(400, "%d fields Content-Length", cls)
	case cls == 0:
		return 0, nil
	}
	n, err := parseLength(cl, 10)
	if err != nil {
		return 0, err
	}
	if n > most {
		return 0, malformed(413, "a body of %.20s bytes, want %d at most", cl, most)
	}
	return n, nil
}

// number reads a length of digits alone; what is beyond any bound comes back as a huge one.
func parseLength(s string, base int) (int, error) {
	if s == "" {
		return 0, malformed(400, "an empty length")
	}
	n := 0
	for i := range len(s) {
		d := strings.IndexByte("0123456789abcdef", s[i]|0x20)
		if s[i] < '0' || d < 0 || d >= base {
			return 0, malformed(400, "length %.20q is no number", s)
		}
		n = min(n*base+d, 1<<40)
	}
	return n, nil
}

// Body reads a body of a length, or a chunked one.
func (r *Reader) ReadBody(length int) ([]byte, error) {
	if length >= 0 {
		if length > r.limits.MaxBodyBytes {
			return nil, malformed(413, "a body of %d bytes, want %d at most", length, r.limits.MaxBodyBytes)
		}
		return r.appendBody(nil, length)
	}
	var b []byte
	for {
		n, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return b, nil
		}
		if len(b)+n > r.limits.MaxBodyBytes {
			return nil, malformed(413, "a body of more than %d bytes", r.limits.MaxBodyBytes)
		}
		if b, err = r.appendBody(b, n); err != nil {
			return nil, err
		}
		if err := r.readChunkEnd(); err != nil {
			return nil, err
		}
	}
}

// chunkSize reads the line ahead of a chunk; 0 is the last one, behind which trailers are read and dropped.
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
	for r.buf = r.buf[:0]; ; {
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
		return malformed(400, "a chunk that is longer than its length")
	}
	return nil
}

// bodyStep is how far a body grows at once: a length that is only announced costs no memory.
const bodyStepBytes = 16 << 10

// more reads n further bytes of a body.
func (r *Reader) appendBody(b []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, bodyStepBytes)
		if r.limits.ReserveBody != nil && !r.limits.ReserveBody(step) {
			return nil, malformed(503, "no room for a body of more than %d bytes", len(b))
		}
		at := len(b)
		b = slices.Grow(b, step)[:at+step]
		if _, err := io.ReadFull(r.r, b[at:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		n -= step
	}
	return b, nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Response is a server's message.
type Response struct {
	Head
	Status int
	Body   []byte
	Close  bool // the connection is of no further use
}

// interims is how many answers of 1xx may come ahead of the real one.
const maxInterimResponses = 16

// Response reads a whole answer and skips those of 1xx ahead of it.
func (r *Reader) ReadResponse() (*Response, error) {
	p, length, err := r.readResponseHead(r.limits.MaxBodyBytes)
	switch {
	case err != nil:
		return nil, err
	case length == untilClose:
		p.Body, err = r.readUntilClose()
	default:
		p.Body, err = r.ReadBody(length)
	}
	return p, err
}

// Stream reads the head of an answer as Response does. Its body, of any length, is to be read from the reader returned up to
// io.EOF before the next call.
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

// fixed is a body of a length.
type fixedBody struct {
	r    io.Reader
	left int
}

func (f *fixedBody) Read(b []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n, err := f.r.Read(b[:min(len(b), f.left)])
	if f.left -= n; err != nil && f.left > 0 {
		return n, unexpectedEOF(err)
	}
	return n, nil
}

// chunks is a chunked body.
type chunkedBody struct {
	r    *Reader
	left int // of the chunk under way
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
	if c.left -= n; err != nil {
		return n, unexpectedEOF(err)
	}
	if c.left == 0 {
		err = c.r.readChunkEnd()
	}
	return n, err
}

// Lengths of a body beside those that a head tells.
const (
	untilClose      = -2      // it ends with its connection
	unlimitedLength = 1 << 40 // a bound on what is streamed
)

// responseHead reads the head of an answer whose body has most bytes, and the length of the body: -1 if it is chunked.
func (r *Reader) readResponseHead(most int) (*Response, int, error) {
	for range maxInterimResponses {
		h, err := r.readHead()
		if err != nil {
			return nil, 0, err
		}
		p := &Response{Head: *h}
		if h.A != "HTTP/1.1" && h.A != "HTTP/1.0" || len(h.B) != 3 {
			return nil, 0, malformed(502, "an answer that begins with %.20q", h.A+" "+h.B)
		}
		if p.Status, err = parseLength(h.B, 10); err != nil {
			return nil, 0, err
		}
		if p.Status < 100 || p.Status > 599 || p.Status == 101 {
			return nil, 0, malformed(502, "status %d", p.Status)
		}
		if p.Status < 200 {
			continue
		}
		p.Close = h.HasToken("Connection", "close") || h.A == "HTTP/1.0"
		if p.Status == 204 || p.Status == 304 {
			return p, 0, nil
		}
		_, cls := h.Get("Content-Length")
		_, tes := h.Get("Transfer-Encoding")
		if cls+tes == 0 {
			if !p.Close { // RFC 9112, section 6.3, 8: it would end with the connection, which can't be told from a break
				return nil, 0, malformed(502, "an answer without a length")
			}
			return p, untilClose, nil
		}
		n, err := h.bodyLength(most)
		return p, n, err
	}
	return nil, 0, malformed(502, "more than %d answers of 1xx", maxInterimResponses)
}

// rest reads up to the end of the connection. A reset is no end: what came before it is not whole.
func (r *Reader) readUntilClose() (b []byte, err error) {
	for {
		n := r.r.Buffered()
		if n == 0 {
			if _, err := r.r.Peek(1); err == io.EOF {
				return b, nil
			} else if err != nil {
				return nil, err
			}
			continue
		}
		if len(b)+n > r.limits.MaxBodyBytes {
			return nil, malformed(502, "a body of more than %d bytes", r.limits.MaxBodyBytes)
		}
		if b, err = r.appendBody(b, n); err != nil {
			return nil, err
		}
	}
}
