package quotaplan

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"winghatch/decide"
)

// Kind determines what a change does.
type Kind byte

// Kinds of changes. Their numbers are stored and must not change.
const (
	Move    Kind = 1 + iota // moves Member to Plan at From
	Terms                   // replaces the terms of Plan by Terms at From
	Reserve                 // reserves Units for Member from From to To
	Cancel                  // cancels the change with the number Target
	Shorten                 // reduces the reservation with the number Target to Units
)

var kindNames = map[Kind]string{
	Move: "move", Terms: "terms", Reserve: "reserve", Cancel: "cancel", Shorten: "shorten"}

// String returns the name of the kind, as used in commands and in files of changes.
func (k Kind) String() string {
	if s := kindNames[k]; s != "" {
		return s
	}
	return fmt.Sprintf("kind %d", byte(k))
}

// ParseKind returns the kind with the name s, as returned by String. It returns false if there is none.
func ParseKind(s string) (Kind, bool) {
	for k, name := range kindNames {
		if name == s {
			return k, true
		}
	}
	return 0, false
}

// Change is an immutable record of the replicated set. Which fields are used depends on the Kind. Times are
// in Unix nanoseconds.
type Change struct {
	Number uint64 // chosen by the operator; at least 1, unique over the lifetime of a fleet
	Kind   Kind
	Member string      // for Move and Reserve
	Plan   string      // for Move and Terms
	Terms  decide.Plan // for Terms; its Name is Plan

	// From is the time at which the change comes into force. For Reserve, From and To are the start and the
	// end of the window. Submit replaces a From of 0 in a Move or Terms change by the current time.
	From, To int64

	Units float64 // for Reserve and Shorten: units of the reservation
	// Rate is the number of units per second at which a reservation may be used, over all gateways. 0 means
	// no limit, but if the plan has a ceiling, Submit replaces 0 by a default.
	Rate float64
	// Target is the number of the change to which Cancel and Shorten apply. In a reservation it is set to a
	// fixed value when the acceptor of the fleet accepts it.
	Target uint64

	// The gateway that accepts the change sets the following fields. Changes are ordered by Stamp, Origin,
	// Incarnation and Number. Of two changes with the same Number, the first one counts, but a reservation
	// that the acceptor accepted counts before any other change.
	Stamp       int64  // Unix nanoseconds; higher than all stamps that the gateway knew
	Origin      int    // rank of the gateway
	Incarnation uint64 // incarnation of the gateway's process
}

// before reports whether c precedes other in the total order of changes, which is the same at all gateways.
func (c *Change) before(other *Change) bool {
	switch {
	case c.Stamp != other.Stamp:
		return c.Stamp < other.Stamp
	case c.Origin != other.Origin:
		return c.Origin < other.Origin
	case c.Incarnation != other.Incarnation:
		return c.Incarnation < other.Incarnation
	}
	return c.Number < other.Number
}

// supersedes reports whether c is in force instead of other once both dates have passed. The change with the
// later date wins; if the dates are equal, the later change in the total order wins.
func (c *Change) supersedes(other *Change) bool {
	if c.From != other.From {
		return c.From > other.From
	}
	return other.before(c)
}

// hash returns the hash that identifies a change in messages and reservations.
func (c *Change) hash() uint64 { return xxhash.Sum64(c.Append(nil)) }

// String returns a description of the change for errors and logs.
func (c *Change) String() string {
	switch c.Kind {
	case Move:
		return fmt.Sprintf("change %d: member %s to plan %s from %s",
			c.Number, c.Member, c.Plan, formatTime(c.From))
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

// formatTime returns a time, in Unix nanoseconds, in RFC 3339 form and UTC.
func formatTime(unixNano int64) string { return time.Unix(0, unixNano).UTC().Format(time.RFC3339Nano) }

// Error reports that a change was not accepted.
type Error struct {
	Number uint64 // number of the change
	Field  string // name of the invalid field; "log" if the change could not be persisted; or FieldGateway
	Text   string // the invalid value and which values are valid
}

// Error returns the text for operators.
func (e *Error) Error() string { return fmt.Sprintf("change %d: %s: %s", e.Number, e.Field, e.Text) }

// invalid returns an Error for a field of c.
func invalid(c *Change, field, format string, args ...any) *Error {
	return &Error{c.Number, field, fmt.Sprintf(format, args...)}
}

// maxNamesListed is the number of names that an error lists at most.
const maxNamesListed = 12

// joinNames joins names with commas and omits those beyond maxNamesListed.
func joinNames(names []string) string {
	if len(names) > maxNamesListed {
		return strings.Join(names[:maxNamesListed], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
