// Package export decides what is owed to the accounting: each try exactly once, at its answered size. A Desk knows the
// tries of a gateway from their intent, which is written before a byte of them leaves, to their settlement; a Shipper
// decides which settled ones go to the receiver, when they are tried again and when they may be forgotten. Both are
// told of everything and do no I/O, read no clock and start no goroutine. What they owe lies in a log that package wal
// writes; this file holds its records.
package outbox

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"time"

	"winghatch/internal/encoding"
)

// Try is an attempt as it is exported.
type Attempt struct {
	Request  string
	Number   int
	Member   string
	Plan     string
	Class    string
	Server   string
	Units    float64 // the guess
	Reserved bool    // of units set aside
}

// Outcome is how a try ended.
type Outcome byte

// The outcomes. Only Sized is at the answered size; all others are at the guess, and marked.
const (
	OutcomeAnswered     Outcome = 1 + iota // answered
	OutcomeError                           // answered with an error, which tells no size
	OutcomeUnanswered                      // not answered: timed out, called off, connection broken
	OutcomeGatewayEnded                    // the gateway's life ended first
	OutcomeNeverRan                        // it never ran: nothing is exported
)

var outcomeNames = map[Outcome]string{OutcomeAnswered: "answered", OutcomeError: "error", OutcomeUnanswered: "unanswered", OutcomeGatewayEnded: "gateway_ended", OutcomeNeverRan: "never_ran"}

func (o Outcome) String() string { return outcomeNames[o] }

// Settlement is the end of a try. Life and Seq are its key at the receiver; Seq is 0 of a skipped one.
type Settlement struct {
	Attempt
	Intent      uint64 // number of the intent's record
	Incarnation uint64
	Sequence    uint64
	Outcome     Outcome
	UsedUnits   float64
	WallTime    int64 // Unix nanoseconds
}

// Gap is use that was let pass while the log could not be written.
type Gap struct {
	Incarnation, Sequence uint64
	Attempts              uint64
	Units                 float64
	WallTime              int64
}

// Records of the log: a byte that says which, then integers as varints, strings with their length before them, figures
// as 8 bytes of IEEE 754, little-endian.
//
//	'I'  intent: request, attempt, member, plan, class, node, units, flags (1 reserved)
//	'S'  settlement: number of the intent's record, life, seq, outcome, used, wall, and the fields of the intent
//	'L'  a life begins: life
//	'A'  all settlements up to that record are at the receiver, or set aside: number
//	'G'  gap: life, seq, tries, units, wall
const (
	recordIntent       = 'I'
	recordSettlement   = 'S'
	recordIncarnation  = 'L'
	recordAcknowledged = 'A'
	recordGap          = 'G'
)

func (t *Attempt) append(b []byte) []byte {
	b = encoding.AppendString(b, t.Request)
	b = binary.AppendUvarint(b, uint64(t.Number))
	b = encoding.AppendString(encoding.AppendString(encoding.AppendString(encoding.AppendString(b, t.Member), t.Plan), t.Class), t.Server)
	b = encoding.AppendFloat64(b, t.Units)
	flags := byte(0)
	if t.Reserved {
		flags = 1
	}
	return append(b, flags)
}

func (s *Settlement) append(b []byte) []byte {
	b = append(b, recordSettlement)
	b = binary.AppendUvarint(binary.AppendUvarint(binary.AppendUvarint(b, s.Intent), s.Incarnation), s.Sequence)
	b = encoding.AppendFloat64(append(b, byte(s.Outcome)), s.UsedUnits)
	return s.Attempt.append(binary.AppendVarint(b, s.WallTime))
}

func (g *Gap) append(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(binary.AppendUvarint(append(b, recordGap), g.Incarnation), g.Sequence), g.Attempts)
	return binary.AppendVarint(encoding.AppendFloat64(b, g.Units), g.WallTime)
}

func readAttempt(r *encoding.Reader) (t Attempt) {
	t.Request = r.String(unbounded)
	t.Number = int(r.Uvarint(math.MaxInt32))
	t.Member, t.Plan, t.Class, t.Server = r.String(unbounded), r.String(unbounded), r.String(unbounded), r.String(unbounded)
	t.Units = r.Float64()
	t.Reserved = r.Byte()&1 > 0
	return t
}

// any64 bounds no whole number.
const unbounded = math.MaxUint64

var errTruncated = errors.New("export: not a whole record")

// record is one of the log, read.
type logRecord struct {
	kind       byte
	attempt    Attempt    // I
	settlement Settlement // S
	number     uint64     // L, A
	gap        Gap        // G
}

func parseRecord(p []byte) (rec logRecord, err error) {
	r := &encoding.Reader{Rest: p}
	switch rec.kind = r.Byte(); rec.kind {
	case recordIntent:
		rec.attempt = readAttempt(r)
	case recordSettlement:
		s := &rec.settlement
		s.Intent, s.Incarnation, s.Sequence = r.Uvarint(unbounded), r.Uvarint(unbounded), r.Uvarint(unbounded)
		s.Outcome, s.UsedUnits, s.WallTime = Outcome(r.Byte()), r.Float64(), r.Varint()
		s.Attempt = readAttempt(r)
	case recordIncarnation, recordAcknowledged:
		rec.number = r.Uvarint(unbounded)
	case recordGap:
		rec.gap.Incarnation, rec.gap.Sequence, rec.gap.Attempts = r.Uvarint(unbounded), r.Uvarint(unbounded), r.Uvarint(unbounded)
		rec.gap.Units, rec.gap.WallTime = r.Float64(), r.Varint()
	default:
		return rec, fmt.Errorf("export: record of kind %q, want I, S, L, A or G", rec.kind)
	}
	if r.Malformed {
		return rec, errTruncated
	}
	return rec, nil
}

// Event is what the receiver is told, with the number of its record.
type Event struct {
	Record uint64
	JSON   []byte
}

// Source names a life of a gateway as CloudEvents wants it, a URI reference.
func EventSource(fleet string, gateway int, incarnation uint64) string {
	return fmt.Sprintf("/winghatch/%s/gateway/%d/life/%d", url.PathEscape(fleet), gateway, incarnation)
}

// cloudEvent is an event in CloudEvents 1.0's JSON format (section 3).
type cloudEvent struct {
	Version     string `json:"specversion"`
	ID          string `json:"id"`
	Source      string `json:"source"`
	Type        string `json:"type"`
	Time        string `json:"time,omitempty"`
	Subject     string `json:"subject,omitempty"`
	ContentType string `json:"datacontenttype"`
	Data        any    `json:"data"`
}

// The types of event.
const (
	TypeUsage = "winghatch.use.v1"
	TypeGap   = "winghatch.uncovered.v1"
)

// Use is the data of an event of type TypeUse.
type UsageData struct {
	Request   string  `json:"request"`
	Attempt   int     `json:"attempt"`
	Member    string  `json:"member"`
	Plan      string  `json:"plan"`
	Class     string  `json:"class"`
	Server    string  `json:"node"`
	Units     float64 `json:"units"`
	Estimated bool    `json:"guess,omitempty"` // no answer told the size
	Outcome   string  `json:"outcome"`
	Reserved  bool    `json:"reserved,omitempty"`
}

// Uncovered is the data of an event of type TypeGap.
type GapData struct {
	Attempts uint64  `json:"tries"`
	Units    float64 `json:"units"`
}

// Encode makes the event of a record, if it has one.
func EncodeEvent(fleet string, gateway int, rec uint64, payload []byte) (ev Event, ok bool, err error) {
	if len(payload) == 0 || payload[0] != recordSettlement && payload[0] != recordGap {
		return ev, false, nil
	}
	r, err := parseRecord(payload)
	if err != nil {
		return ev, false, err
	}
	c := cloudEvent{Version: "1.0", ContentType: "application/json"}
	life, wall := uint64(0), int64(0)
	if r.kind == recordSettlement {
		s := &r.settlement
		if s.Sequence == 0 {
			return ev, false, nil
		}
		life, wall = s.Incarnation, s.WallTime
		c.ID, c.Type, c.Subject = strconv.FormatUint(s.Sequence, 10), TypeUsage, s.Member
		c.Data = UsageData{s.Request, s.Number, s.Member, s.Plan, s.Class, s.Server, s.UsedUnits, s.Outcome != OutcomeAnswered, s.Outcome.String(), s.Reserved}
	} else {
		life, wall = r.gap.Incarnation, r.gap.WallTime
		c.ID, c.Type = strconv.FormatUint(r.gap.Sequence, 10), TypeGap
		c.Data = GapData{r.gap.Attempts, r.gap.Units}
	}
	c.Source = EventSource(fleet, gateway, life)
	c.Time = time.Unix(0, wall).UTC().Format(time.RFC3339Nano)
	raw, err := json.Marshal(c)
	return Event{rec, raw}, err == nil, err
}
