// Package ws is a codec of the WebSocket protocol (RFC 6455): frames, messages and the opening handshake, for
// both roles. It reads from a bufio.Reader and writes to byte slices; it opens no socket, reads no clock and
// starts no goroutine.
package websocket

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Op is a frame's opcode (RFC 6455 section 5.2).
type Op byte

// The opcodes.
const (
	Continuation Op = 0x0
	Text         Op = 0x1
	Binary       Op = 0x2
	Close        Op = 0x8
	Ping         Op = 0x9
	Pong         Op = 0xA
)

// Control reports whether frames of the opcode may come between the fragments of a message.
func (o Op) Control() bool { return o&0x8 != 0 }

// Role says which side of a connection this is: it decides who masks (RFC 6455 section 5.1).
type Role int

// The roles.
const (
	Server Role = iota
	Client
)

// Codes of a close frame (RFC 6455 section 7.4.1).
const (
	CodeNormal      = 1000
	CodeGoingAway   = 1001
	CodeProtocol    = 1002
	CodeUnsupported = 1003
	CodeNoStatus    = 1005 // never sent
	CodeAbnormal    = 1006 // never sent
	CodeInvalidData = 1007
	CodePolicy      = 1008
	CodeTooBig      = 1009
	CodeInternal    = 1011
)

// maxControl is the longest payload of a control frame (RFC 6455 section 5.5).
const maxControl = 125

// Error is a breach of the protocol by the peer. Code is what the close frame should carry.
type Error struct {
	Code int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("ws: %s (close code %d)", e.Text, e.Code) }

func breach(code int, format string, args ...any) error {
	return &Error{code, fmt.Sprintf(format, args...)}
}

// CloseCode is the code to close with after an error of this package; CodeAbnormal for a broken connection.
func CloseCode(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeAbnormal
}

// Message is a whole message, or one control frame. Data is only good until the next call of Next.
type Message struct {
	Op   Op
	Data []byte
}

// Reader takes messages off a connection. It is not safe for concurrent use.
type Reader struct {
	br     *bufio.Reader
	role   Role
	limit  int64 // bytes of a message
	frame  int64 // bytes of a frame's payload
	buf    []byte
	ctl    [maxControl]byte
	op     Op   // of the message under way
	inside bool // between the fragments of a message
	utf    utf8Check
	closed bool
}

// NewReader returns a reader for a connection on which we have the role. A message of more than limit bytes
// is refused with code 1009, before its payload is read.
func NewReader(br *bufio.Reader, role Role, limit int64) *Reader {
	return &Reader{br: br, role: role, limit: limit, frame: limit}
}

// LimitFrames refuses also a frame of more than n bytes of payload with code 1009 (RFC 6455 section 10.4 asks
// for limits on either).
func (r *Reader) LimitFrames(n int64) { r.frame = min(n, r.limit) }

type header struct {
	fin    bool
	op     Op
	masked bool
	mask   [4]byte
	length int64
}

// Next returns the next message or control frame. After a Close frame, or any error, it returns io.EOF.
// io.ErrUnexpectedEOF means that the connection ended inside a frame or a message.
func (r *Reader) Next() (Message, error) {
	if r.closed {
		return Message{}, io.EOF
	}
	m, err := r.next()
	if err != nil {
		r.closed = true
	}
	if m.Op == Close {
		r.closed = true
	}
	return m, err
}

func (r *Reader) next() (Message, error) {
	if !r.inside {
		r.keepSmall()
	}
	for {
		h, err := r.header()
		if err != nil {
			return Message{}, err
		}
		if h.op.Control() {
			data := r.ctl[:h.length]
			if err := r.payload(data, h); err != nil {
				return Message{}, err
			}
			if h.op == Close {
				if err := checkClose(data); err != nil {
					return Message{}, err
				}
			}
			return Message{h.op, data}, nil
		}
		done, err := r.fragment(h)
		if err != nil {
			return Message{}, err
		}
		if done {
			return Message{r.op, r.buf}, nil
		}
	}
}

// keepSmall drops the buffer of a large message, so that an idle session does not hold it.
func (r *Reader) keepSmall() {
	const kept = 4 << 10
	if cap(r.buf) > kept {
		r.buf = nil
	}
	r.buf = r.buf[:0]
}

func (r *Reader) fragment(h header) (done bool, err error) {
	switch {
	case h.op == Continuation && !r.inside:
		return false, breach(CodeProtocol, "continuation frame outside a message")
	case h.op != Continuation && r.inside:
		return false, breach(CodeProtocol, "a new message inside a fragmented one")
	}
	if !r.inside {
		r.op, r.inside, r.utf = h.op, true, utf8Check{}
	}
	if h.length > r.frame {
		return false, breach(CodeTooBig, "frame of more than %d bytes", r.frame)
	}
	if int64(len(r.buf))+h.length > r.limit {
		return false, breach(CodeTooBig, "message of more than %d bytes", r.limit)
	}
	// The buffer grows by what has come, not by what a header promises.
	const step = 64 << 10
	for left, at := h.length, 0; left > 0; {
		n := int(min(left, step))
		from := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		part := r.buf[from:]
		if err := r.read(part); err != nil {
			return false, err
		}
		if h.masked {
			at = Mask(part, h.mask, at)
		}
		if r.op == Text && !r.utf.feed(part) {
			return false, breach(CodeInvalidData, "text that is not UTF-8")
		}
		left -= int64(n)
	}
	if !h.fin {
		return false, nil
	}
	r.inside = false
	if r.op == Text && !r.utf.whole() {
		return false, breach(CodeInvalidData, "text that ends inside a character")
	}
	return true, nil
}

func (r *Reader) payload(data []byte, h header) error {
	if err := r.read(data); err != nil {
		return err
	}
	if h.masked {
		Mask(data, h.mask, 0)
	}
	return nil
}

// read fills p; an end inside it is unexpected.
func (r *Reader) read(p []byte) error {
	if _, err := io.ReadFull(r.br, p); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}

// header reads a frame's header and checks all that RFC 6455 section 5.2 asks of it.
func (r *Reader) header() (h header, err error) {
	first, err := r.br.ReadByte()
	if err != nil {
		if errors.Is(err, io.EOF) && r.inside {
			err = io.ErrUnexpectedEOF
		}
		return h, err
	}
	second, err := r.br.ReadByte()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return h, err
	}
	h.fin, h.op, h.masked = first&0x80 != 0, Op(first&0x0f), second&0x80 != 0
	h.length = int64(second & 0x7f)
	switch {
	case first&0x70 != 0:
		return h, breach(CodeProtocol, "reserved bits %03b set, no extension was agreed", first>>4&7)
	case h.op > Binary && h.op < Close, h.op > Pong:
		return h, breach(CodeProtocol, "opcode %#x is not known", byte(h.op))
	case h.masked != (r.role == Server):
		return h, breach(CodeProtocol, "masking is wrong for the sender's role")
	case h.op.Control() && !h.fin:
		return h, breach(CodeProtocol, "fragmented control frame")
	case h.op.Control() && h.length > maxControl:
		return h, breach(CodeProtocol, "control frame of more than %d bytes", maxControl)
	}
	if err := r.length(&h); err != nil {
		return h, err
	}
	if h.masked {
		err = r.read(h.mask[:])
	}
	return h, err
}

// length reads an extended length, which must have the shortest form.
func (r *Reader) length(h *header) error {
	var b [8]byte
	switch h.length {
	case 126:
		if err := r.read(b[:2]); err != nil {
			return err
		}
		if h.length = int64(binary.BigEndian.Uint16(b[:2])); h.length < 126 {
			return breach(CodeProtocol, "length %d is not in its shortest form", h.length)
		}
	case 127:
		if err := r.read(b[:]); err != nil {
			return err
		}
		v := binary.BigEndian.Uint64(b[:])
		if v>>63 != 0 {
			return breach(CodeProtocol, "length with the highest bit set")
		}
		if h.length = int64(v); v <= 0xffff {
			return breach(CodeProtocol, "length %d is not in its shortest form", v)
		}
	}
	return nil
}

// Mask applies a mask to data in place (RFC 6455 section 5.3), from the place at of the key on, and returns
// the place for what follows.
func Mask(data []byte, key [4]byte, at int) int {
	rolled := [4]byte{key[at&3], key[(at+1)&3], key[(at+2)&3], key[(at+3)&3]}
	k := uint64(binary.LittleEndian.Uint32(rolled[:]))
	k |= k << 32
	at += len(data)
	for ; len(data) >= 8; data = data[8:] {
		binary.LittleEndian.PutUint64(data, binary.LittleEndian.Uint64(data)^k)
	}
	for i := range data {
		data[i] ^= rolled[i&3]
	}
	return at & 3
}

// AppendFrame appends a frame to dst. With a mask, as a client must send, the payload is masked in dst only.
func AppendFrame(dst []byte, fin bool, op Op, payload []byte, mask *[4]byte) []byte {
	b := byte(op)
	if fin {
		b |= 0x80
	}
	var m byte
	if mask != nil {
		m = 0x80
	}
	switch n := len(payload); {
	case n < 126:
		dst = append(dst, b, m|byte(n))
	case n <= 0xffff:
		dst = append(dst, b, m|126, byte(n>>8), byte(n))
	default:
		dst = append(dst, b, m|127)
		dst = binary.BigEndian.AppendUint64(dst, uint64(n))
	}
	if mask != nil {
		dst = append(dst, mask[:]...)
	}
	from := len(dst)
	dst = append(dst, payload...)
	if mask != nil {
		Mask(dst[from:], *mask, 0)
	}
	return dst
}

// ClosePayload is the payload of a close frame; a reason that is too long is cut at a character.
func ClosePayload(code int, reason string) []byte {
	if code == CodeNoStatus || code == CodeAbnormal || code == 0 {
		return nil
	}
	for len(reason) > maxControl-2 {
		_, n := utf8.DecodeLastRuneInString(reason)
		reason = reason[:len(reason)-n]
	}
	return append([]byte{byte(code >> 8), byte(code)}, reason...)
}

// ParseClose reads the payload of a close frame that Next returned.
func ParseClose(payload []byte) (code int, reason string) {
	if len(payload) < 2 {
		return CodeNoStatus, ""
	}
	return int(payload[0])<<8 | int(payload[1]), string(payload[2:])
}

func checkClose(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	if len(payload) == 1 {
		return breach(CodeProtocol, "close frame with half a code")
	}
	code, reason := ParseClose(payload)
	known := code >= 1000 && code <= 1014 && code != 1004 && code != CodeNoStatus && code != CodeAbnormal
	if !known && (code < 3000 || code > 4999) {
		return breach(CodeProtocol, "close code %d may not be sent", code)
	}
	if !utf8.ValidString(reason) {
		return breach(CodeInvalidData, "close reason that is not UTF-8")
	}
	return nil
}

// utf8Check checks UTF-8 that comes in parts: a character may be split over fragments, but a wrong byte is
// found as soon as it has come.
type utf8Check struct {
	held [utf8.UTFMax]byte
	n    int
}

func (u *utf8Check) feed(p []byte) bool {
	for u.n > 0 && len(p) > 0 {
		u.held[u.n] = p[0]
		u.n++
		p = p[1:]
		if utf8.FullRune(u.held[:u.n]) {
			if c, size := utf8.DecodeRune(u.held[:u.n]); c == utf8.RuneError && size <= 1 {
				return false
			}
			u.n = 0
		}
	}
	for len(p) > 0 {
		if p[0] < utf8.RuneSelf {
			p = p[1:]
			continue
		}
		if !utf8.FullRune(p) {
			u.n = copy(u.held[:], p)
			return true
		}
		c, size := utf8.DecodeRune(p)
		if c == utf8.RuneError && size <= 1 {
			return false
		}
		p = p[size:]
	}
	return true
}

func (u *utf8Check) whole() bool { return u.n == 0 }
