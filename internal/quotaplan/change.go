// Package plans is the book of changes in service: who is on which plan from when, what a plan becomes, and what is
// set aside for whom. Every gateway keeps the whole book. A change is a numbered record that never alters; what holds
// at a moment follows from the set of changes alone, so gateways that know the same changes hold the same to be true,
// whatever way and order they came. The package does no I/O, reads no clock and starts no goroutine.
package quotaplan

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/decide"
	"winghatch/internal/encoding"
)

// Kind says what a change does.
type Kind byte

// The kinds of change.
const (
	Move    Kind = 1 + iota // Member is on Plan from From on
	Terms                   // Plan is as Terms say from From on
	Reserve                 // Units are set aside for Member from From to To
	Cancel                  // the change of the number Target counts no more
	Shorten                 // the reservation Target is of Units, no more
)

var kindNames = map[Kind]string{Move: "move", Terms: "terms", Reserve: "reserve", Cancel: "cancel", Shorten: "shorten"}

func (k Kind) String() string {
	if s := kindNames[k]; s != "" {
		return s
	}
	return fmt.Sprintf("kind %d", byte(k))
}

// ParseKind reads what String writes.
func ParseKind(s string) (Kind, bool) {
	for k, name := range kindNames {
		if name == s {
			return k, true
		}
	}
	return 0, false
}

// Change is one record. Times are Unix nanoseconds.
type Change struct {
	Number   uint64 // its name, of the operator's choice, once in the life of a fleet
	Kind     Kind
	Member   string
	Plan     string
	Terms    decide.Plan // Name is Plan
	From, To int64
	Units    float64
	Rate     float64 // units a second that a reservation may be used at; 0: see Book.Submit
	Target   uint64

	// Of the gateway that took it. Changes are ordered by Stamp, Origin and Life; the first of two with one number
	// counts.
	Stamp       int64
	Origin      int
	Incarnation uint64
}

// before is the order of changes, the same everywhere.
func (c *Change) before(d *Change) bool {
	switch {
	case c.Stamp != d.Stamp:
		return c.Stamp < d.Stamp
	case c.Origin != d.Origin:
		return c.Origin < d.Origin
	case c.Incarnation != d.Incarnation:
		return c.Incarnation < d.Incarnation
	}
	return c.Number < d.Number
}

// later is the order in which changes come into force: by From, then as they were made.
func (c *Change) supersedes(d *Change) bool {
	if c.From != d.From {
		return c.From > d.From
	}
	return d.before(c)
}

// hash names a change in messages.
func (c *Change) hash() uint64 { return xxhash.Sum64(c.Append(nil)) }

func (c *Change) String() string {
	switch c.Kind {
	case Move:
		return fmt.Sprintf("change %d: member %s to plan %s from %s", c.Number, c.Member, c.Plan, formatTime(c.From))
	case Terms:
		return fmt.Sprintf("change %d: plan %s to rate %v/s, burst %v from %s", c.Number, c.Plan, c.Terms.Rate, c.Terms.Burst, formatTime(c.From))
	case Reserve:
		return fmt.Sprintf("change %d: %v units for member %s from %s to %s", c.Number, c.Units, c.Member, formatTime(c.From), formatTime(c.To))
	case Cancel:
		return fmt.Sprintf("change %d: cancels %d", c.Number, c.Target)
	}
	return fmt.Sprintf("change %d: shortens %d to %v units", c.Number, c.Target, c.Units)
}

func formatTime(ns int64) string { return time.Unix(0, ns).UTC().Format(time.RFC3339Nano) }

// maxName is the longest name of a member or plan in a change, in bytes.
const maxNameBytes = 200

const changeVersion = 1

// any64 bounds no whole number.
const maxUvarint = math.MaxUint64

// Append writes a change: the version 1, the kind, and then, integers as varints of Go's encoding/binary, strings with
// their length before them and figures as 8 bytes of IEEE 754, little-endian: number, member, plan, from, to, units,
// rate, target, stamp, origin, life; with the kind Terms also rate, burst, ceiling rate, burst and slack, most open,
// price, over worth and over cost.
func (c *Change) Append(b []byte) []byte {
	b = append(b, changeVersion, byte(c.Kind))
	b = binary.AppendUvarint(b, c.Number)
	b = encoding.AppendString(encoding.AppendString(b, c.Member), c.Plan)
	b = binary.AppendVarint(binary.AppendVarint(b, c.From), c.To)
	b = appendFloats(b, c.Units, c.Rate)
	b = binary.AppendUvarint(b, c.Target)
	b = binary.AppendVarint(b, c.Stamp)
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(c.Origin)), c.Incarnation)
	if c.Kind == Terms {
		p := &c.Terms
		b = appendFloats(b, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, p.CeilingSlack, float64(p.MaxInFlight),
			p.PriorityWeight, p.OverQuotaValue, p.OverQuotaCost)
	}
	return b
}

func appendFloats(b []byte, vs ...float64) []byte {
	for _, v := range vs {
		b = encoding.AppendFloat64(b, v)
	}
	return b
}

var errMalformed = errors.New("plans: not a whole change")

// ParseChange reads what Append wrote, and returns the bytes behind it.
func ParseChange(b []byte) (c Change, rest []byte, err error) {
	if len(b) < 2 || b[0] != changeVersion {
		return c, nil, errMalformed
	}
	c.Kind = Kind(b[1])
	r := &encoding.Reader{Rest: b[2:]}
	c.Number = r.Uvarint(maxUvarint)
	c.Member, c.Plan = r.String(maxNameBytes), r.String(maxNameBytes)
	c.From, c.To = r.Varint(), r.Varint()
	c.Units, c.Rate = r.Float64(), r.Float64()
	c.Target = r.Uvarint(maxUvarint)
	c.Stamp = r.Varint()
	origin := r.Uvarint(math.MaxUint16)
	c.Origin, c.Incarnation = int(origin), r.Uvarint(maxUvarint)
	if c.Kind == Terms {
		p := &c.Terms
		p.Name = c.Plan
		open := 0.0
		for _, v := range []*float64{&p.Rate, &p.Burst, &p.CeilingRate, &p.CeilingBurst, &p.CeilingSlack, &open,
			&p.PriorityWeight, &p.OverQuotaValue, &p.OverQuotaCost} {
			*v = r.Float64()
		}
		if !(open >= 0 && open <= math.MaxInt32) {
			return c, nil, errMalformed
		}
		p.MaxInFlight = int(open)
	}
	if r.Malformed || kindNames[c.Kind] == "" || c.Number == 0 || !c.finite() {
		return c, nil, errMalformed
	}
	return c, r.Rest, nil
}

// finite reports whether all figures are numbers of 0 or more.
func (c *Change) finite() bool {
	p := &c.Terms
	for _, v := range []float64{c.Units, c.Rate, p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, p.CeilingSlack, p.PriorityWeight,
		p.OverQuotaValue, p.OverQuotaCost} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// Error says which field of a change is wrong, and what is wanted.
type Error struct {
	Number uint64
	Field  string
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("change %d: %s: %s", e.Number, e.Field, e.Text) }

func invalid(c *Change, field, format string, args ...any) *Error {
	return &Error{c.Number, field, fmt.Sprintf(format, args...)}
}

func nameList(names []string) string {
	if len(names) > 12 {
		return strings.Join(names[:12], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
