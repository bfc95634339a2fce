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
type Opcode byte

// The opcodes.
const (
	Continuation Opcode = 0x0
	Text         Opcode = 0x1
	Binary       Opcode = 0x2
	Close        Opcode = 0x8
	Ping         Opcode = 0x9
	Pong         Opcode = 0xA
)

// Control reports whether frames of the opcode may come between the fragments of a message.
func (o Opcode) IsControl() bool { return o&0x8 != 0 }

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
const maxControlPayload = 125

// Error is a breach of the protocol by the peer. Code is what the close frame should carry.
type ProtocolError struct {
	Code   int
	Reason string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("ws: %s (close code %d)", e.Reason, e.Code)
}

func protocolErrorf(code int, format string, args ...any) error {
	return &ProtocolError{code, fmt.Sprintf(format, args...)}
}

// CloseCode is the code to close with after an error of this package; CodeAbnormal for a broken connection.
func CloseCode(err error) int {
	var e *ProtocolError
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeAbnormal
}

// Message is a whole message, or one control frame. Data is only good until the next call of Next.
type Message struct {
	Opcode Opcode
	Data   []byte
}

// Reader takes messages off a connection. It is not safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	role       Role
	maxMessage int64 // bytes of a message
	maxFrame   int64 // bytes of a frame's payload
	buf        []byte
	control    [maxControlPayload]byte
	opcode     Opcode // of the message under way
	inMessage  bool   // between the fragments of a message
	validator  utf8Validator
	closed     bool
}

// NewReader returns a reader for a connection on which we have the role. A message of more than limit bytes
// is refused with code 1009, before its payload is read.
func NewReader(br *bufio.Reader, role Role, limit int64) *Reader {
	return &Reader{in: br, role: role, maxMessage: limit, maxFrame: limit}
}

// LimitFrames refuses also a frame of more than n bytes of payload with code 1009 (RFC 6455 section 10.4 asks
// for limits on either).
func (r *Reader) LimitFrames(n int64) { r.maxFrame = min(n, r.maxMessage) }

type frameHeader struct {
	fin    bool
	opcode Opcode
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
	m, err := r.readMessage()
	if err != nil {
		r.closed = true
	}
	if m.Opcode == Close {
		r.closed = true
	}
	return m, err
}

func (r *Reader) readMessage() (Message, error) {
	if !r.inMessage {
		r.releaseLargeBuffer()
	}
	for {
		h, err := r.readFrameHeader()
		if err != nil {
			return Message{}, err
		}
		if h.opcode.IsControl() {
			data := r.control[:h.length]
			if err := r.readPayload(data, h); err != nil {
				return Message{}, err
			}
			if h.opcode == Close {
				if err := validateClose(data); err != nil {
					return Message{}, err
				}
			}
			return Message{h.opcode, data}, nil
		}
		done, err := r.readFragment(h)
		if err != nil {
			return Message{}, err
		}
		if done {
			return Message{r.opcode, r.buf}, nil
		}
	}
}

// keepSmall drops the buffer of a large message, so that an idle session does not hold it.
func (r *Reader) releaseLargeBuffer() {
	const kept = 4 << 10
	if cap(r.buf) > kept {
		r.buf = nil
	}
	r.buf = r.buf[:0]
}

func (r *Reader) readFragment(h frameHeader) (done bool, err error) {
	switch {
	case h.opcode == Continuation && !r.inMessage:
		return false, protocolErrorf(CodeProtocol, "continuation frame outside a message")
	case h.opcode != Continuation && r.inMessage:
		return false, protocolErrorf(CodeProtocol, "a new message inside a fragmented one")
	}
	if !r.inMessage {
		r.opcode, r.inMessage, r.validator = h.opcode, true, utf8Validator{}
	}
	if h.length > r.maxFrame {
		return false, protocolErrorf(CodeTooBig, "frame of more than %d bytes", r.maxFrame)
	}
	if int64(len(r.buf))+h.length > r.maxMessage {
		return false, protocolErrorf(CodeTooBig, "message of more than %d bytes", r.maxMessage)
	}
	// The buffer grows by what has come, not by what a header promises.
	const step = 64 << 10
	for left, at := h.length, 0; left > 0; {
		n := int(min(left, step))
		from := len(r.buf)
		r.buf = append(r.buf, make([]byte, n)...)
		part := r.buf[from:]
		if err := r.readFull(part); err != nil {
			return false, err
		}
		if h.masked {
			at = Mask(part, h.mask, at)
		}
		if r.opcode == Text && !r.validator.feed(part) {
			return false, protocolErrorf(CodeInvalidData, "text that is not UTF-8")
		}
		left -= int64(n)
	}
	if !h.fin {
		return false, nil
	}
	r.inMessage = false
	if r.opcode == Text && !r.validator.complete() {
		return false, protocolErrorf(CodeInvalidData, "text that ends inside a character")
	}
	return true, nil
}

func (r *Reader) readPayload(data []byte, h frameHeader) error {
	if err := r.readFull(data); err != nil {
		return err
	}
	if h.masked {
		Mask(data, h.mask, 0)
	}
	return nil
}

// read fills p; an end inside it is unexpected.
func (r *Reader) readFull(p []byte) error {
	if _, err := io.ReadFull(r.in, p); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	return nil
}

// header reads a frame's header and checks all that RFC 6455 section 5.2 asks of it.
func (r *Reader) readFrameHeader() (h frameHeader, err error) {
	first, err := r.in.ReadByte()
	if err != nil {
		if errors.Is(err, io.EOF) && r.inMessage {
			err = io.ErrUnexpectedEOF
		}
		return h, err
	}
	second, err := r.in.ReadByte()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return h, err
	}
	h.fin, h.opcode, h.masked = first&0x80 != 0, Opcode(first&0x0f), second&0x80 != 0
	h.length = int64(second & 0x7f)
	switch {
	case first&0x70 != 0:
		return h, protocolErrorf(CodeProtocol, "reserved bits %03b set, no extension was agreed", first>>4&7)
	case h.opcode > Binary && h.opcode < Close, h.opcode > Pong:
		return h, protocolErrorf(CodeProtocol, "opcode %#x is not known", byte(h.opcode))
	case h.masked != (r.role == Server):
		return h, protocolErrorf(CodeProtocol, "masking is wrong for the sender's role")
	case h.opcode.IsControl() && !h.fin:
		return h, protocolErrorf(CodeProtocol, "fragmented control frame")
	case h.opcode.IsControl() && h.length > maxControlPayload:
		return h, protocolErrorf(CodeProtocol, "control frame of more than %d bytes", maxControlPayload)
	}
	if err := r.readExtendedLength(&h); err != nil {
		return h, err
	}
	if h.masked {
		err = r.readFull(h.mask[:])
	}
	return h, err
}

// length reads an extended length, which must have the shortest form.
func (r *Reader) readExtendedLength(h *frameHeader) error {
	var b [8]byte
	switch h.length {
	case 126:
		if err := r.readFull(b[:2]); err != nil {
			return err
		}
		if h.length = int64(binary.BigEndian.Uint16(b[:2])); h.length < 126 {
			return protocolErrorf(CodeProtocol, "length %d is not in its shortest form", h.length)
		}
	case 127:
		if err := r.readFull(b[:]); err != nil {
			return err
		}
		v := binary.BigEndian.Uint64(b[:])
		if v>>63 != 0 {
			return protocolErrorf(CodeProtocol, "length with the highest bit set")
		}
		if h.length = int64(v); v <= 0xffff {
			return protocolErrorf(CodeProtocol, "length %d is not in its shortest form", v)
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
func AppendFrame(dst []byte, fin bool, op Opcode, payload []byte, mask *[4]byte) []byte {
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
	for len(reason) > maxControlPayload-2 {
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

func validateClose(payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	if len(payload) == 1 {
		return protocolErrorf(CodeProtocol, "close frame with half a code")
	}
	code, reason := ParseClose(payload)
	known := code >= 1000 && code <= 1014 && code != 1004 && code != CodeNoStatus && code != CodeAbnormal
	if !known && (code < 3000 || code > 4999) {
		return protocolErrorf(CodeProtocol, "close code %d may not be sent", code)
	}
	if !utf8.ValidString(reason) {
		return protocolErrorf(CodeInvalidData, "close reason that is not UTF-8")
	}
	return nil
}

// utf8Check checks UTF-8 that comes in parts: a character may be split over fragments, but a wrong byte is
// found as soon as it has come.
type utf8Validator struct {
	partial    [utf8.UTFMax]byte
	partialLen int
}

func (u *utf8Validator) feed(p []byte) bool {
	for u.partialLen > 0 && len(p) > 0 {
		u.partial[u.partialLen] = p[0]
		u.partialLen++
		p = p[1:]
		if utf8.FullRune(u.partial[:u.partialLen]) {
			if c, size := utf8.DecodeRune(u.partial[:u.partialLen]); c == utf8.RuneError && size <= 1 {
				return false
			}
			u.partialLen = 0
		}
	}
	for len(p) > 0 {
		if p[0] < utf8.RuneSelf {
			p = p[1:]
			continue
		}
		if !utf8.FullRune(p) {
			u.partialLen = copy(u.partial[:], p)
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

func (u *utf8Validator) complete() bool { return u.partialLen == 0 }
