package outbox

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"winghatch/internal/encoding"
)

// Attempt is an attempt as it is recorded and exported.
type Attempt struct {
	Request  string
	Number   int // from 0
	Member   string
	Plan     string
	Class    string
	Server   string
	Units    float64 // the estimate
	Reserved bool    // of reserved units
}

// Outcome is how an attempt ended. Its values are stored.
type Outcome byte

// The outcomes. Only an answered attempt is exported at the units that its answer reports, all others at the estimate.
const (
	OutcomeAnswered     Outcome = 1
	OutcomeError        Outcome = 2 // answered with an error, which reports no units
	OutcomeUnanswered   Outcome = 3 // timed out, cancelled, or its connection broke
	OutcomeGatewayEnded Outcome = 4 // the gateway's incarnation ended first
	OutcomeNeverRan     Outcome = 5 // nothing is exported
)

var outcomeNames = map[Outcome]string{
	OutcomeAnswered:     "answered",
	OutcomeError:        "error",
	OutcomeUnanswered:   "unanswered",
	OutcomeGatewayEnded: "gateway_ended",
	OutcomeNeverRan:     "never_ran",
}

// String returns the outcome as the receiver reads it.
func (o Outcome) String() string { return outcomeNames[o] }

// Settlement is the end of an attempt. Incarnation and Sequence are its key at the receiver.
type Settlement struct {
	Attempt
	Intent      uint64 // number of the intent's record
	Incarnation uint64
	Sequence    uint64 // 0: nothing is exported, as it never ran
	Outcome     Outcome
	UsedUnits   float64
	WallTime    int64 // nanoseconds of Unix time
}

// Gap adds up attempts that were sent without an intent, as the log could not be written. Incarnation and Sequence
// are its key at the receiver.
type Gap struct {
	Incarnation uint64
	Sequence    uint64
	Attempts    uint64
	Units       float64
	WallTime    int64 // nanoseconds of Unix time
}

// Records of the log: a byte for the kind, then integers as varints, strings with their length before them, and
// floats as 8 bytes of IEEE 754, little-endian.
//
//	'I'  intent: request, attempt, member, plan, class, server, units, flags (1 reserved)
//	'S'  settlement: number of the intent's record, incarnation, sequence, outcome, used, wall time, and the fields
//	     of the intent
//	'L'  an incarnation starts: its number
//	'A'  the receiver has all up to this record, or it is among the dead letters: number
//	'G'  gap: incarnation, sequence, attempts, units, wall time
const (
	recordIntent       = 'I'
	recordSettlement   = 'S'
	recordIncarnation  = 'L'
	recordAcknowledged = 'A'
	recordGap          = 'G'
)

const flagReserved = 1

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

func (s *Settlement) append(b []byte) []byte {
	b = append(b, recordSettlement)
	b = binary.AppendUvarint(b, s.Intent)
	b = binary.AppendUvarint(b, s.Incarnation)
	b = binary.AppendUvarint(b, s.Sequence)
	b = append(b, byte(s.Outcome))
	b = encoding.AppendFloat64(b, s.UsedUnits)
	b = binary.AppendVarint(b, s.WallTime)
	return s.Attempt.append(b)
}

func (g *Gap) append(b []byte) []byte {
	b = append(b, recordGap)
	b = binary.AppendUvarint(b, g.Incarnation)
	b = binary.AppendUvarint(b, g.Sequence)
	b = binary.AppendUvarint(b, g.Attempts)
	b = encoding.AppendFloat64(b, g.Units)
	return binary.AppendVarint(b, g.WallTime)
}

// logRecord is a record of the log; kind determines which of the fields are set.
type logRecord struct {
	kind       byte
	attempt    Attempt    // of an intent
	settlement Settlement // of a settlement
	gap        Gap        // of a gap
	number     uint64     // of an incarnation, or of the record acknowledged
}

// unbounded lets a reader take any number.
const unbounded = math.MaxUint64

var errTruncated = errors.New("outbox: truncated record")

func parseRecord(payload []byte) (record logRecord, err error) {
	r := &encoding.Reader{Rest: payload}
	record.kind = r.Byte()
	switch record.kind {
	case recordIntent:
		record.attempt = readAttempt(r)
	case recordSettlement:
		record.settlement = readSettlement(r)
	case recordIncarnation, recordAcknowledged:
		record.number = r.Uvarint(unbounded)
	case recordGap:
		record.gap = readGap(r)
	default:
		return record, fmt.Errorf("outbox: record of kind %q, want I, S, L, A or G", record.kind)
	}
	if r.Malformed {
		return record, errTruncated
	}
	return record, nil
}

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

func readGap(r *encoding.Reader) (g Gap) {
	g.Incarnation = r.Uvarint(unbounded)
	g.Sequence = r.Uvarint(unbounded)
	g.Attempts = r.Uvarint(unbounded)
	g.Units = r.Float64()
	g.WallTime = r.Varint()
	return g
}
