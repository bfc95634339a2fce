// Package websocket encodes and decodes the WebSocket protocol (RFC 6455) for clients and servers: frames,
// messages and the opening handshake. It reads from a bufio.Reader and writes to byte slices. It opens no
// sockets, reads no clock and starts no goroutines. Extensions are not supported.
package websocket

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
)

// Bit masks for the first two bytes of a frame, and the values of the 7-bit length that announce an
// extended length (RFC 6455, section 5.2).
const (
	finBit       = 0x80
	reservedBits = 0x70
	opcodeBits   = 0x0f

	maskBit    = 0x80
	lengthBits = 0x7f

	length16 = 126 // the length is in the next 2 bytes
	length64 = 127 // the length is in the next 8 bytes
)

// Opcode is the opcode of a frame (RFC 6455, section 5.2).
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

// IsControl reports whether o is the opcode of a control frame. Control frames are not fragmented and may
// occur between the fragments of a message.
func (o Opcode) IsControl() bool { return o&0x8 != 0 }

// Role is the role of one side of a connection. Frames from the client are masked, frames from the server
// are not (RFC 6455, section 5.1).
type Role int

// The roles.
const (
	Server Role = iota
	Client
)

type frameHeader struct {
	fin    bool
	opcode Opcode
	masked bool
	mask   [4]byte
	length int64
}

// readFrameHeader reads the header of a frame. It returns a *ProtocolError if the header violates RFC 6455,
// section 5.2, and io.EOF if the connection ended before the first byte and outside a message.
func (r *Reader) readFrameHeader() (h frameHeader, err error) {
	first, err := r.in.ReadByte()
	if errors.Is(err, io.EOF) && r.inMessage {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return h, err
	}
	second, err := r.in.ReadByte()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return h, err
	}
	h.fin = first&finBit != 0
	h.opcode = Opcode(first & opcodeBits)
	h.masked = second&maskBit != 0
	h.length = int64(second & lengthBits)
	switch {
	case first&reservedBits != 0:
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

// readExtendedLength reads the extended length if the 7-bit length announces one. It returns a
// *ProtocolError if the length does not have its shortest form.
func (r *Reader) readExtendedLength(h *frameHeader) error {
	var b [8]byte
	switch h.length {
	case length16:
		if err := r.readFull(b[:2]); err != nil {
			return err
		}
		if h.length = int64(binary.BigEndian.Uint16(b[:2])); h.length < length16 {
			return protocolErrorf(CodeProtocol, "length %d is not in its shortest form", h.length)
		}
	case length64:
		if err := r.readFull(b[:]); err != nil {
			return err
		}
		v := binary.BigEndian.Uint64(b[:])
		if v>>63 != 0 {
			return protocolErrorf(CodeProtocol, "length with the highest bit set")
		}
		if h.length = int64(v); v <= math.MaxUint16 {
			return protocolErrorf(CodeProtocol, "length %d is not in its shortest form", v)
		}
	}
	return nil
}

// applyMask masks or unmasks data in place (RFC 6455, section 5.3), starting with the byte of the key at
// offset. It returns the offset for the data that follows.
func applyMask(data []byte, key [4]byte, offset int) int {
	rotated := [4]byte{key[offset&3], key[(offset+1)&3], key[(offset+2)&3], key[(offset+3)&3]}
	wide := uint64(binary.LittleEndian.Uint32(rotated[:]))
	wide |= wide << 32
	offset += len(data)
	for ; len(data) >= 8; data = data[8:] {
		binary.LittleEndian.PutUint64(data, binary.LittleEndian.Uint64(data)^wide)
	}
	for i := range data {
		data[i] ^= rotated[i&3]
	}
	return offset & 3
}

// AppendFrame appends a frame to dst. mask must be set for frames from a client and nil for frames from a
// server. fin marks the last or only frame of a message. payload is not modified.
func AppendFrame(dst []byte, fin bool, opcode Opcode, payload []byte, mask *[4]byte) []byte {
	first := byte(opcode)
	if fin {
		first |= finBit
	}
	var masked byte
	if mask != nil {
		masked = maskBit
	}
	switch n := len(payload); {
	case n < length16:
		dst = append(dst, first, masked|byte(n))
	case n <= math.MaxUint16:
		dst = append(dst, first, masked|length16, byte(n>>8), byte(n))
	default:
		dst = append(dst, first, masked|length64)
		dst = binary.BigEndian.AppendUint64(dst, uint64(n))
	}
	if mask != nil {
		dst = append(dst, mask[:]...)
	}
	start := len(dst)
	dst = append(dst, payload...)
	if mask != nil {
		applyMask(dst[start:], *mask, 0)
	}
	return dst
}
