package encoding

import (
	"encoding/binary"
	"math"
	"testing"
)

// TestReader reads each kind of field, cut short at each byte.
func TestReader(t *testing.T) {
	for _, c := range []struct {
		name  string
		field []byte
		read  func(r *Reader) bool // reports whether the field has its value
	}{
		{"byte", []byte{7}, func(r *Reader) bool { return r.Byte() == 7 }},
		{"integer", binary.LittleEndian.AppendUint64(nil, 1<<63+5), func(r *Reader) bool { return r.Uint64() == 1<<63+5 }},
		{"figure", AppendFloat64(nil, -2.5), func(r *Reader) bool { return r.Float64() == -2.5 }},
		{"unsigned varint", binary.AppendUvarint(nil, 1<<63), func(r *Reader) bool { return r.Uvarint(1<<63) == 1<<63 }},
		{"signed varint", binary.AppendVarint(nil, -1<<63), func(r *Reader) bool { return r.Varint() == -1<<63 }},
		{"string", AppendString(nil, "plan"), func(r *Reader) bool { return r.String(4) == "plan" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Reader{Rest: append(c.field[:len(c.field):len(c.field)], "rest"...)}
			if !c.read(r) || r.Malformed || string(r.Rest) != "rest" {
				t.Errorf("%x: malformed %t, %q left", c.field, r.Malformed, r.Rest)
			}
			for n := range c.field {
				r := &Reader{Rest: c.field[:n]}
				if c.read(r); !r.Malformed || r.Byte() != 0 {
					t.Errorf("cut at %d of %d it is not malformed", n, len(c.field))
				}
			}
		})
	}
}

// TestReaderInvalid reads fields that are whole and not valid.
func TestReaderInvalid(t *testing.T) {
	for _, c := range []struct {
		name  string
		field []byte
		read  func(r *Reader)
	}{
		{"no number", AppendFloat64(nil, math.NaN()), func(r *Reader) { r.Float64() }},
		{"infinite", AppendFloat64(nil, math.Inf(-1)), func(r *Reader) { r.Float64() }},
		{"over its limit", binary.AppendUvarint(nil, 6), func(r *Reader) { r.Uvarint(5) }},
		{"too long", AppendString(nil, "plans"), func(r *Reader) { r.String(4) }},
		{"more than 64 bits", []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1}, func(r *Reader) { r.Varint() }},
	} {
		r := &Reader{Rest: c.field}
		if c.read(r); !r.Malformed || r.Rest != nil {
			t.Errorf("%s: %x is not malformed", c.name, c.field)
		}
	}
}
