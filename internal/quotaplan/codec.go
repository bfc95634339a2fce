package quotaplan

import (
	"encoding/binary"
	"errors"
	"math"

	"winghatch/internal/encoding"
)

// Stored form of a change.
const (
	changeVersion = 1
	maxNameBytes  = 200            // length of a member's or plan's name
	maxUvarint    = math.MaxUint64 // no limit
)

var errMalformed = errors.New("quotaplan: malformed change")

// Append appends the stored form of a change to b: a version byte of 1, a byte for the kind, number, member,
// plan, from, to, units, rate, target, stamp, origin, incarnation. For the kind Terms these follow: rate,
// burst, ceiling rate, ceiling burst, ceiling slack, maximum of requests in flight, priority weight,
// over-quota value, over-quota cost. Integers are varints of encoding/binary, strings are preceded by their
// length, and numbers with a fraction are little-endian IEEE 754 doubles.
func (c *Change) Append(b []byte) []byte {
	b = append(b, changeVersion, byte(c.Kind))
	b = binary.AppendUvarint(b, c.Number)
	b = encoding.AppendString(b, c.Member)
	b = encoding.AppendString(b, c.Plan)
	b = binary.AppendVarint(b, c.From)
	b = binary.AppendVarint(b, c.To)
	b = appendFloats(b, c.Units, c.Rate)
	b = binary.AppendUvarint(b, c.Target)
	b = binary.AppendVarint(b, c.Stamp)
	b = binary.AppendUvarint(b, uint64(c.Origin))
	b = binary.AppendUvarint(b, c.Incarnation)
	if c.Kind == Terms {
		p := &c.Terms
		b = appendFloats(b, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, p.CeilingSlack,
			float64(p.MaxInFlight), p.PriorityWeight, p.OverQuotaValue, p.OverQuotaCost)
	}
	return b
}

func appendFloats(b []byte, values ...float64) []byte {
	for _, v := range values {
		b = encoding.AppendFloat64(b, v)
	}
	return b
}

// ParseChange decodes a change that Append wrote at the start of b, and returns the bytes after it. It
// returns an error if the change is malformed, has another version or contains invalid values.
func ParseChange(b []byte) (c Change, rest []byte, err error) {
	if len(b) < 2 || b[0] != changeVersion {
		return c, nil, errMalformed
	}
	c.Kind = Kind(b[1])
	r := &encoding.Reader{Rest: b[2:]}
	c.Number = r.Uvarint(maxUvarint)
	c.Member = r.String(maxNameBytes)
	c.Plan = r.String(maxNameBytes)
	c.From = r.Varint()
	c.To = r.Varint()
	c.Units = r.Float64()
	c.Rate = r.Float64()
	c.Target = r.Uvarint(maxUvarint)
	c.Stamp = r.Varint()
	c.Origin = int(r.Uvarint(math.MaxUint16))
	c.Incarnation = r.Uvarint(maxUvarint)
	if c.Kind == Terms && !c.readTerms(r) {
		return c, nil, errMalformed
	}
	if r.Malformed || kindNames[c.Kind] == "" || c.Number == 0 || !c.numbersValid() {
		return c, nil, errMalformed
	}
	return c, r.Rest, nil
}

// readTerms reads the additional fields of the kind Terms. It returns false if the maximum of requests in
// flight is out of range.
func (c *Change) readTerms(r *encoding.Reader) bool {
	p := &c.Terms
	p.Name = c.Plan
	maxInFlight := 0.0
	for _, v := range []*float64{&p.Rate, &p.Burst, &p.CeilingRate, &p.CeilingBurst, &p.CeilingSlack,
		&maxInFlight, &p.PriorityWeight, &p.OverQuotaValue, &p.OverQuotaCost} {
		*v = r.Float64()
	}
	if !(maxInFlight >= 0 && maxInFlight <= math.MaxInt32) {
		return false
	}
	p.MaxInFlight = int(maxInFlight)
	return true
}

// numbersValid reports whether all numbers of the change are finite and not negative.
func (c *Change) numbersValid() bool {
	p := &c.Terms
	for _, v := range []float64{c.Units, c.Rate, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst,
		p.CeilingSlack, p.PriorityWeight, p.OverQuotaValue, p.OverQuotaCost} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
