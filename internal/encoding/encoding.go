// Package encoding encodes and decodes the fields of stored records and of messages between gateways.
//
// Integers are encoded as varints of package encoding/binary or as 8 bytes. A string is preceded by its
// length in bytes, as a varint. Floating-point numbers are 8 bytes in IEEE 754 format. Fields of fixed size
// are little-endian.
package encoding

import (
	"encoding/binary"
	"math"
)

// AppendString appends the length of s and s to b and returns the extended slice.
func AppendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// AppendFloat64 appends a floating-point number to b and returns the extended slice.
func AppendFloat64(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
}

// Reader decodes fields from the start of Rest. After a field that is truncated or invalid, Malformed is true
// and all further fields are zero. A caller therefore needs to check Malformed only once, after the last
// field.
type Reader struct {
	Rest      []byte // bytes that have not been read; nil once Malformed is true
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

// Uint64 reads an unsigned integer of 8 bytes.
func (r *Reader) Uint64() uint64 {
	if len(r.Rest) < 8 {
		r.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(r.Rest)
	r.Rest = r.Rest[8:]
	return v
}

// Float64 reads a floating-point number. NaN and infinities are malformed.
func (r *Reader) Float64() float64 {
	v := math.Float64frombits(r.Uint64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.fail()
		return 0
	}
	return v
}

// Uvarint reads an unsigned varint. A value greater than limit is malformed.
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

// String reads a string. A string of more than limit bytes is malformed.
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
