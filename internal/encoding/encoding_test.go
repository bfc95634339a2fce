package encoding

import (
	"encoding/binary"
	"math"
	"testing"
)

// A truncated record or message must not be read as a valid one. The test reads each kind of field complete,
// and truncated after each byte.
func TestTruncatedFieldsAreMalformed(t *testing.T) {
	for _, c := range []struct {
		name  string
		field []byte
		read  func(r *Reader) bool // reports whether the field has its value
	}{
		{"byte", []byte{7}, func(r *Reader) bool { return r.Byte() == 7 }},
		{"integer", binary.LittleEndian.AppendUint64(nil, 1<<63+5),
			func(r *Reader) bool { return r.Uint64() == 1<<63+5 }},
		{"float", AppendFloat64(nil, -2.5), func(r *Reader) bool { return r.Float64() == -2.5 }},
		{"unsigned varint", binary.AppendUvarint(nil, 1<<63),
			func(r *Reader) bool { return r.Uvarint(1<<63) == 1<<63 }},
		{"signed varint", binary.AppendVarint(nil, -1<<63),
			func(r *Reader) bool { return r.Varint() == -1<<63 }},
		{"string", AppendString(nil, "plan"), func(r *Reader) bool { return r.String(4) == "plan" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Reader{Rest: append(c.field[:len(c.field):len(c.field)], "rest"...)}
			if !c.read(r) || r.Malformed || string(r.Rest) != "rest" {
				t.Errorf("%x: got wrong value, malformed %t or rest %q", c.field, r.Malformed, r.Rest)
			}
			for n := range c.field {
				r := &Reader{Rest: c.field[:n]}
				if c.read(r); !r.Malformed || r.Byte() != 0 {
					t.Errorf("truncated to %d of %d bytes: not malformed", n, len(c.field))
				}
			}
		})
	}
}

// A complete field with an invalid value must be malformed, so that it does not enter sums or limits. The
// test reads numbers that are not finite, and numbers and strings over their limits.
func TestInvalidFieldsAreMalformed(t *testing.T) {
	for _, c := range []struct {
		name  string
		field []byte
		read  func(r *Reader)
	}{
		{"NaN", AppendFloat64(nil, math.NaN()), func(r *Reader) { r.Float64() }},
		{"infinity", AppendFloat64(nil, math.Inf(-1)), func(r *Reader) { r.Float64() }},
		{"over the limit", binary.AppendUvarint(nil, 6), func(r *Reader) { r.Uvarint(5) }},
		{"too long", AppendString(nil, "plans"), func(r *Reader) { r.String(4) }},
		{"more than 64 bits", []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1},
			func(r *Reader) { r.Varint() }},
	} {
		r := &Reader{Rest: c.field}
		if c.read(r); !r.Malformed || r.Rest != nil {
			t.Errorf("%s: %x is not malformed", c.name, c.field)
		}
	}
}
