// Package encoding writes and reads the fields of stored records and of messages between gateways.
//
// Integers are varints of Go's encoding/binary, or 8 bytes; strings have their length before them as a varint; numbers
// with a fraction are 8 bytes of IEEE 754. What has a fixed size is little-endian.
package encoding

import (
	"encoding/binary"
	"math"
)

// AppendString appends a string and its length.
func AppendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// AppendFloat64 appends a number with a fraction.
func AppendFloat64(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
}

// Reader reads fields off the front of Rest. Once a field is cut short or not valid the reader is Malformed, and all
// fields that follow are zero, so a caller checks once, at the end.
type Reader struct {
	Rest      []byte
	Malformed bool
}

func (r *Reader) fail() { r.Malformed, r.Rest = true, nil }

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if len(r.Rest) == 0 {
		r.fail()
		return 0
	}
	v := r.Rest[0]
	r.Rest = r.Rest[1:]
	return v
}

// Uint64 reads an integer of 8 bytes.
func (r *Reader) Uint64() uint64 {
	if len(r.Rest) < 8 {
		r.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(r.Rest)
	r.Rest = r.Rest[8:]
	return v
}

// Float64 reads a number with a fraction. NaN and the infinities are malformed.
func (r *Reader) Float64() float64 {
	v := math.Float64frombits(r.Uint64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.fail()
		return 0
	}
	return v
}

// Uvarint reads an unsigned varint. One above limit is malformed.
func (r *Reader) Uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.Rest)
	if n <= 0 || v > limit {
		r.fail()
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// Varint reads a signed varint.
func (r *Reader) Varint() int64 {
	v, n := binary.Varint(r.Rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// String reads a string. One of more than limit bytes is malformed.
func (r *Reader) String(limit uint64) string {
	n := r.Uvarint(limit)
	if n > uint64(len(r.Rest)) {
		r.fail()
		return ""
	}
	s := string(r.Rest[:n])
	r.Rest = r.Rest[n:]
	return s
}
