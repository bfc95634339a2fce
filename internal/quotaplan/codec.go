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
	maxNameBytes  = 200            // of a member or plan
	maxUvarint    = math.MaxUint64 // no bound
)

var errMalformed = errors.New("quotaplan: malformed change")

// Append writes a change: the version 1, the kind, and then, integers as varints of Go's encoding/binary, strings with
// their length before them and figures as 8 bytes of IEEE 754, little-endian: number, member, plan, from, to, units,
// rate, target, stamp, origin, incarnation; with the kind Terms also rate, burst, ceiling rate, burst and slack,
// requests in flight, priority weight, over-quota value and over-quota cost.
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
		b = appendFloats(b, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, p.CeilingSlack, float64(p.MaxInFlight),
			p.PriorityWeight, p.OverQuotaValue, p.OverQuotaCost)
	}
	return b
}

func appendFloats(b []byte, values ...float64) []byte {
	for _, v := range values {
		b = encoding.AppendFloat64(b, v)
	}
	return b
}

// ParseChange reads what Append wrote and returns the bytes behind it.
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
	if r.Malformed || kindNames[c.Kind] == "" || c.Number == 0 || !c.finite() {
		return c, nil, errMalformed
	}
	return c, r.Rest, nil
}

// readTerms reads the fields of kind Terms; false: the requests in flight are no integer that fits.
func (c *Change) readTerms(r *encoding.Reader) bool {
	p := &c.Terms
	p.Name = c.Plan
	maxInFlight := 0.0
	for _, v := range []*float64{&p.Rate, &p.Burst, &p.CeilingRate, &p.CeilingBurst, &p.CeilingSlack, &maxInFlight,
		&p.PriorityWeight, &p.OverQuotaValue, &p.OverQuotaCost} {
		*v = r.Float64()
	}
	if !(maxInFlight >= 0 && maxInFlight <= math.MaxInt32) {
		return false
	}
	p.MaxInFlight = int(maxInFlight)
	return true
}

// finite reports whether all figures are finite and 0 or more.
func (c *Change) finite() bool {
	p := &c.Terms
	for _, v := range []float64{c.Units, c.Rate, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, p.CeilingSlack,
		p.PriorityWeight, p.OverQuotaValue, p.OverQuotaCost} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}
