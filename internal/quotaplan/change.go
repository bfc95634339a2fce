package quotaplan

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/decide"
)

// Kind says what a change does.
type Kind byte

// The kinds of change. Their numbers are stored.
const (
	Move    Kind = 1 + iota // Member is on Plan from From on
	Terms                   // Plan has Terms from From on
	Reserve                 // Units are reserved for Member from From to To
	Cancel                  // the change numbered Target does not count
	Shorten                 // the reservation numbered Target is reduced to Units
)

var kindNames = map[Kind]string{Move: "move", Terms: "terms", Reserve: "reserve", Cancel: "cancel", Shorten: "shorten"}

// String is the name of the kind in commands and files of changes.
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

// Change is one record of the set. Times are Unix nanoseconds.
type Change struct {
	Number uint64 // chosen by the operator; unique in the lifetime of a fleet
	Kind   Kind
	Member string
	Plan   string
	Terms  decide.Plan // of kind Terms; its Name is Plan

	// From is when the change comes into force and, of a reservation, To the end of its window. Submit takes a From of
	// 0 as now.
	From, To int64

	Units float64
	// Rate is the units a second at which a reservation may be used, by all gateways together. Submit replaces 0 by a
	// default where the plan has a ceiling.
	Rate   float64
	Target uint64 // number of the change that Cancel and Shorten apply to

	// Set by the gateway that accepted the change. Changes are ordered by Stamp, Origin and Incarnation; of two with
	// the same Number the first counts.
	Stamp       int64 // Unix nanoseconds, above all stamps that the gateway knew
	Origin      int   // rank of the gateway
	Incarnation uint64
}

// before is the total order of changes, the same at all gateways.
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

// supersedes reports whether c is in force rather than d once both dates have passed: the later date wins, of equal
// dates the later change.
func (c *Change) supersedes(d *Change) bool {
	if c.From != d.From {
		return c.From > d.From
	}
	return d.before(c)
}

// hash names a change in messages and reservations.
func (c *Change) hash() uint64 { return xxhash.Sum64(c.Append(nil)) }

// String describes the change for errors and logs.
func (c *Change) String() string {
	switch c.Kind {
	case Move:
		return fmt.Sprintf("change %d: member %s to plan %s from %s", c.Number, c.Member, c.Plan, formatTime(c.From))
	case Terms:
		return fmt.Sprintf("change %d: plan %s to rate %v/s, burst %v from %s",
			c.Number, c.Plan, c.Terms.Rate, c.Terms.Burst, formatTime(c.From))
	case Reserve:
		return fmt.Sprintf("change %d: %v units for member %s from %s to %s",
			c.Number, c.Units, c.Member, formatTime(c.From), formatTime(c.To))
	case Cancel:
		return fmt.Sprintf("change %d: cancels %d", c.Number, c.Target)
	}
	return fmt.Sprintf("change %d: shortens %d to %v units", c.Number, c.Target, c.Units)
}

func formatTime(unixNano int64) string { return time.Unix(0, unixNano).UTC().Format(time.RFC3339Nano) }

// Error says which field of a change is invalid and which values are valid.
type Error struct {
	Number uint64 // of the change
	Field  string
	Text   string
}

// Error is the text for operators.
func (e *Error) Error() string { return fmt.Sprintf("change %d: %s: %s", e.Number, e.Field, e.Text) }

func invalid(c *Change, field, format string, args ...any) *Error {
	return &Error{c.Number, field, fmt.Sprintf(format, args...)}
}

// maxNamesListed is how many names an error lists.
const maxNamesListed = 12

func nameList(names []string) string {
	if len(names) > maxNamesListed {
		return strings.Join(names[:maxNamesListed], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
