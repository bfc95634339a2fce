package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// Body lengths with a special meaning. All other lengths are numbers of bytes.
const (
	chunkedLength = -1 // content length of a chunked body
	untilClose    = -2 // content length of a body that ends when the connection is closed
	// unlimitedLength is the limit for the length of streamed bodies. Longer parsed lengths are reduced to
	// it, so that further digits cannot overflow an int.
	unlimitedLength = 1 << 40
)

// Sizes of the blocks of a body. A large announced length must not allocate memory before the bytes arrive. A body
// of unknown length may consist of many very small chunks: its blocks have at least minBlockBytes, and an eighth
// of what has arrived.
const (
	minBlockBytes      = 1 << 10
	maxBlockBytes      = 16 << 10
	blockGrowthDivisor = 8
)

// Body is the content of a message, in blocks in which it was read. Nothing is copied while a body grows.
type Body [][]byte

// Len returns the number of bytes of the body.
func (b Body) Len() (n int) {
	for _, block := range b {
		n += len(block)
	}
	return n
}

// Bytes returns the body in one piece, which is a copy if the body has more than one block.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// bodyLength returns the length in bytes of the body that the head announces, chunkedLength for a chunked
// body, or zero if the head does not announce a body. It returns an *Error if the length exceeds limit, in
// bytes, or if the fields are invalid or ambiguous.
func (h *Head) bodyLength(limit int) (int, error) {
	coding, codingCount := h.Get("Transfer-Encoding")
	length, lengthCount := h.Get("Content-Length")
	switch {
	case codingCount > 0 && lengthCount > 0: // may be request smuggling (RFC 9112, section 6.3)
		return 0, errorf(http.StatusBadRequest, "both Content-Length and Transfer-Encoding")
	case codingCount > 1 || codingCount == 1 && !strings.EqualFold(coding, "chunked"):
		return 0, errorf(http.StatusNotImplemented, "transfer coding %.20q, want chunked alone", coding)
	case codingCount == 1:
		return chunkedLength, nil
	case lengthCount > 1:
		return 0, errorf(http.StatusBadRequest, "%d fields Content-Length", lengthCount)
	case lengthCount == 0:
		return 0, nil
	}
	n, err := parseLength(length, 10)
	if err != nil {
		return 0, err
	}
	if n > limit {
		return 0, errorf(http.StatusRequestEntityTooLarge, "a body of %.20s bytes, want %d at most",
			length, limit)
	}
	return n, nil
}

// parseLength parses a non-negative number that consists of digits only, in base 10 or 16. It returns
// unlimitedLength for larger numbers.
func parseLength(s string, base int) (int, error) {
	if s == "" {
		return 0, errorf(http.StatusBadRequest, "an empty length")
	}
	n := 0
	for i := range len(s) {
		// The bit 0x20 turns upper-case letters into lower-case ones, but also the control bytes from 0x10 to
		// 0x19 into digits. The comparison with '0' rejects these.
		digit := strings.IndexByte("0123456789abcdef", s[i]|0x20)
		if s[i] < '0' || digit < 0 || digit >= base {
			return 0, errorf(http.StatusBadRequest, "length %.20q is no number", s)
		}
		n = min(n*base+digit, unlimitedLength)
	}
	return n, nil
}

// ReadBody reads a body of length bytes, or a chunked body if length is negative. It returns an *Error if
// the body is larger than Limits.MaxBodyBytes or malformed, or if Limits.ReserveBody returns false, and
// io.ErrUnexpectedEOF if the connection ends within the body.
func (r *Reader) ReadBody(length int) (Body, error) {
	if length < 0 {
		return r.readChunked()
	}
	if length > r.limits.MaxBodyBytes {
		return nil, errorf(http.StatusRequestEntityTooLarge, "a body of %d bytes, want %d at most",
			length, r.limits.MaxBodyBytes)
	}
	b := bodyBuffer{lengthKnown: true}
	if err := b.read(r, length); err != nil {
		return nil, err
	}
	return b.blocks, nil
}

func (r *Reader) readChunked() (Body, error) {
	var b bodyBuffer
	for {
		n, err := r.readChunkSize()
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return b.blocks, nil
		}
		if b.size+n > r.limits.MaxBodyBytes {
			return nil, errorf(http.StatusRequestEntityTooLarge, "a body of more than %d bytes",
				r.limits.MaxBodyBytes)
		}
		if err := b.read(r, n); err != nil {
			return nil, err
		}
		if err := r.readChunkEnd(); err != nil {
			return nil, err
		}
	}
}

// readChunkSize reads the line with the size of the next chunk and returns the size in bytes. After the
// last chunk, which has size zero, it also reads the trailer fields and discards them.
func (r *Reader) readChunkSize() (int, error) {
	r.chunks++
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

// readChunkEnd reads the CR LF after the data of a chunk.
func (r *Reader) readChunkEnd() error {
	var end [2]byte
	if _, err := io.ReadFull(r.r, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if end != [2]byte{'\r', '\n'} {
		return errorf(http.StatusBadRequest, "a chunk that is longer than its length")
	}
	return nil
}

// bodyBuffer collects the bytes of a body.
type bodyBuffer struct {
	blocks      Body
	size        int  // bytes collected
	lengthKnown bool // whether the message has announced the length of the whole body
}

// read reads n bytes of a body from r.
func (b *bodyBuffer) read(r *Reader, n int) error {
	for n > 0 {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			if err := b.addBlock(r, n); err != nil {
				return err
			}
			last++
		}
		block := b.blocks[last]
		done := len(block)
		step := min(n, cap(block)-done)
		block = block[:done+step]
		if _, err := io.ReadFull(r.r, block[done:]); err != nil {
			return unexpectedEOF(err)
		}
		b.blocks[last] = block
		b.size += step
		n -= step
	}
	return nil
}

// addBlock adds an empty block after reserving its capacity. n bytes are known to follow.
func (b *bodyBuffer) addBlock(r *Reader, n int) error {
	capacity := min(n, maxBlockBytes)
	if !b.lengthKnown {
		capacity = min(max(n, minBlockBytes, b.size/blockGrowthDivisor), maxBlockBytes)
	}
	if r.limits.ReserveBody != nil && !r.limits.ReserveBody(capacity) {
		return errorf(http.StatusServiceUnavailable, "no room for a body of more than %d bytes", b.size)
	}
	b.blocks = append(b.blocks, make([]byte, 0, capacity))
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF if err is io.EOF, otherwise err. It is used where the
// connection must not end.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// fixedBody streams a body of known length. It implements io.Reader.
type fixedBody struct {
	r    io.Reader
	left int // number of bytes not read yet
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

// chunkedBody streams a chunked body. It implements io.Reader.
type chunkedBody struct {
	r    *Reader
	left int  // number of bytes of the current chunk not read yet
	done bool // whether the last chunk and the trailer fields have been read
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
