// Package pack writes and reads the fields of records and messages: integers as varints of Go's encoding/binary or in 8 bytes,
// strings with their length before them, figures as 8 bytes of IEEE 754; what has a fixed size is little-endian.
package encoding

import (
	"encoding/binary"
	"math"
)

// String appends a string.
func AppendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// Float appends a figure.
func AppendFloat64(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
}

// Reader takes fields off bytes. Once one is cut, or not what is wanted, it is Bad and all that follow are zero.
type Reader struct {
	Rest      []byte
	Malformed bool
}

func (r *Reader) fail() { r.Malformed, r.Rest = true, nil }

// Byte takes one.
func (r *Reader) Byte() byte {
	if len(r.Rest) == 0 {
		r.fail()
		return 0
	}
	v := r.Rest[0]
	r.Rest = r.Rest[1:]
	return v
}

// U64 takes 8 bytes.
func (r *Reader) Uint64() uint64 {
	if len(r.Rest) < 8 {
		r.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(r.Rest)
	r.Rest = r.Rest[8:]
	return v
}

// Float takes a figure; one that is none or infinite is bad.
func (r *Reader) Float64() float64 {
	v := math.Float64frombits(r.Uint64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.fail()
		return 0
	}
	return v
}

// Uvarint takes a whole number of most at most.
func (r *Reader) Uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.Rest)
	if n <= 0 || v > most {
		r.fail()
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// Varint takes a whole number with a sign.
func (r *Reader) Varint() int64 {
	v, n := binary.Varint(r.Rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.Rest = r.Rest[n:]
	return v
}

// String takes a string of most bytes at most.
func (r *Reader) String(most uint64) string {
	n := r.Uvarint(most)
	if n > uint64(len(r.Rest)) {
		r.fail()
		return ""
	}
	s := string(r.Rest[:n])
	r.Rest = r.Rest[n:]
	return s
}
