package outbox

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"winghatch/internal/encoding"
)

// Attempt describes an attempt in log records and usage events.
type Attempt struct {
	Request  string
	Number   int // number of the attempt within its request, starting at 0
	Member   string
	Plan     string
	Class    string
	Server   string
	Units    float64 // estimated units
	Reserved bool    // the attempt uses reserved units
}

// Outcome is the way in which an attempt ended. Its numeric values are stored in the log and must not change.
type Outcome byte

// Outcomes of attempts. Only an answered attempt is exported with the units that its response reported. The
// others are exported with the estimate, except for attempts that never ran, which are not exported.
const (
	OutcomeAnswered     Outcome = 1
	OutcomeError        Outcome = 2 // the response was an error, which does not report units
	OutcomeUnanswered   Outcome = 3 // the attempt timed out, was cancelled, or lost its connection
	OutcomeGatewayEnded Outcome = 4 // the incarnation of the gateway ended before the attempt
	OutcomeNeverRan     Outcome = 5 // the attempt was not executed; it is not exported
)

// outcomeNames holds the names of outcomes in usage events.
var outcomeNames = map[Outcome]string{
	OutcomeAnswered:     "answered",
	OutcomeError:        "error",
	OutcomeUnanswered:   "unanswered",
	OutcomeGatewayEnded: "gateway_ended",
	OutcomeNeverRan:     "never_ran",
}

// String returns the name of the outcome in usage events. It is empty for an unknown outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Settlement records the end of an attempt. Incarnation and Sequence form the key of its event.
type Settlement struct {
	Attempt
	Intent      uint64 // record number of the intent
	Incarnation uint64
	Sequence    uint64 // 0 if the attempt never ran and is not exported
	Outcome     Outcome
	UsedUnits   float64 // units reported by the response, or the estimate
	WallTime    int64   // time at which the attempt was settled, in nanoseconds of Unix time
}

// Gap is the total of attempts that were sent without an intent because the log could not be written.
// Incarnation and Sequence form the key of its event.
type Gap struct {
	Incarnation uint64
	Sequence    uint64
	Attempts    uint64  // number of attempts
	Units       float64 // units that they used
	WallTime    int64   // time at which the last attempt was settled, in nanoseconds of Unix time
}

// Kinds of log records. A record consists of a byte for its kind, followed by its fields. Integers are
// varints, strings are preceded by their length, and floats are 8 bytes of IEEE 754 in little-endian order.
//
//	'I'  intent: request, attempt number, member, plan, class, server, units, flags (1 means reserved)
//	'S'  settlement: record number of the intent, incarnation, sequence, outcome, used units, wall time, and
//	     the fields of the intent
//	'L'  start of an incarnation: its number
//	'A'  acknowledgement: number of the record up to which all events are delivered or dead letters
//	'G'  gap: incarnation, sequence, attempts, units, wall time
const (
	kindIntent       = 'I'
	kindSettlement   = 'S'
	kindIncarnation  = 'L'
	kindAcknowledged = 'A'
	kindGap          = 'G'
)

// flagReserved is the bit of Attempt.Reserved in the flags of an intent.
const flagReserved = 1

// append appends the encoded fields of an intent to b, without the byte for its kind.
func (a *Attempt) append(b []byte) []byte {
	b = encoding.AppendString(b, a.Request)
	b = binary.AppendUvarint(b, uint64(a.Number))
	b = encoding.AppendString(b, a.Member)
	b = encoding.AppendString(b, a.Plan)
	b = encoding.AppendString(b, a.Class)
	b = encoding.AppendString(b, a.Server)
	b = encoding.AppendFloat64(b, a.Units)
	flags := byte(0)
	if a.Reserved {
		flags = flagReserved
	}
	return append(b, flags)
}

// append appends the encoded record to b.
func (s *Settlement) append(b []byte) []byte {
	b = append(b, kindSettlement)
	b = binary.AppendUvarint(b, s.Intent)
	b = binary.AppendUvarint(b, s.Incarnation)
	b = binary.AppendUvarint(b, s.Sequence)
	b = append(b, byte(s.Outcome))
	b = encoding.AppendFloat64(b, s.UsedUnits)
	b = binary.AppendVarint(b, s.WallTime)
	return s.Attempt.append(b)
}

// append appends the encoded record to b.
func (g *Gap) append(b []byte) []byte {
	b = append(b, kindGap)
	b = binary.AppendUvarint(b, g.Incarnation)
	b = binary.AppendUvarint(b, g.Sequence)
	b = binary.AppendUvarint(b, g.Attempts)
	b = encoding.AppendFloat64(b, g.Units)
	return binary.AppendVarint(b, g.WallTime)
}

// logRecord is a decoded log record. kind determines which of the other fields is set.
type logRecord struct {
	kind       byte
	attempt    Attempt    // set for an intent
	settlement Settlement // set for a settlement
	gap        Gap        // set for a gap
	number     uint64     // number of the incarnation or of the acknowledged record
}

// unbounded is the limit for integers and string lengths that may have any value.
const unbounded = math.MaxUint64

var errMalformedRecord = errors.New("outbox: record is truncated or malformed")

// parseRecord decodes a log record. It returns an error if the record is malformed or of an unknown kind.
func parseRecord(payload []byte) (record logRecord, err error) {
	r := &encoding.Reader{Rest: payload}
	record.kind = r.Byte()
	switch record.kind {
	case kindIntent:
		record.attempt = readAttempt(r)
	case kindSettlement:
		record.settlement = readSettlement(r)
	case kindIncarnation, kindAcknowledged:
		record.number = r.Uvarint(unbounded)
	case kindGap:
		record.gap = readGap(r)
	default:
		return record, fmt.Errorf("outbox: unknown record kind %q, want I, S, L, A or G", record.kind)
	}
	if r.Malformed {
		return record, errMalformedRecord
	}
	return record, nil
}

// readAttempt reads the fields of an intent.
func readAttempt(r *encoding.Reader) (a Attempt) {
	a.Request = r.String(unbounded)
	a.Number = int(r.Uvarint(math.MaxInt32))
	a.Member = r.String(unbounded)
	a.Plan = r.String(unbounded)
	a.Class = r.String(unbounded)
	a.Server = r.String(unbounded)
	a.Units = r.Float64()
	a.Reserved = r.Byte()&flagReserved != 0
	return a
}

// readSettlement reads the fields of a settlement.
func readSettlement(r *encoding.Reader) (s Settlement) {
	s.Intent = r.Uvarint(unbounded)
	s.Incarnation = r.Uvarint(unbounded)
	s.Sequence = r.Uvarint(unbounded)
	s.Outcome = Outcome(r.Byte())
	s.UsedUnits = r.Float64()
	s.WallTime = r.Varint()
	s.Attempt = readAttempt(r)
	return s
}

// readGap reads the fields of a gap.
func readGap(r *encoding.Reader) (g Gap) {
	g.Incarnation = r.Uvarint(unbounded)
	g.Sequence = r.Uvarint(unbounded)
	g.Attempts = r.Uvarint(unbounded)
	g.Units = r.Float64()
	g.WallTime = r.Varint()
	return g
}
