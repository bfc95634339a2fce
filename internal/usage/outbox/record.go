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
type Try struct {
	Request  string
	Attempt  int
	Member   string
	Plan     string
	Class    string
	Node     string
	Units    float64 // the guess
	Reserved bool    // of units set aside
}

// Outcome is how a try ended.
type Outcome byte

// The outcomes. Only Sized is at the answered size; all others are at the guess, and marked.
const (
	Sized   Outcome = 1 + iota // answered
	Failed                     // answered with an error, which tells no size
	Silent                     // not answered: timed out, called off, connection broken
	Orphan                     // the gateway's life ended first
	Skipped                    // it never ran: nothing is exported
)

var outcomeNames = map[Outcome]string{Sized: "answered", Failed: "error", Silent: "unanswered", Orphan: "gateway_ended", Skipped: "never_ran"}

func (o Outcome) String() string { return outcomeNames[o] }

// Settlement is the end of a try. Life and Seq are its key at the receiver; Seq is 0 of a skipped one.
type Settlement struct {
	Try
	Intent  uint64 // number of the intent's record
	Life    uint64
	Seq     uint64
	Outcome Outcome
	Used    float64
	Wall    int64 // Unix nanoseconds
}

// Gap is use that was let pass while the log could not be written.
type Gap struct {
	Life, Seq uint64
	Tries     uint64
	Units     float64
	Wall      int64
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
	recIntent = 'I'
	recSettle = 'S'
	recLife   = 'L'
	recAck    = 'A'
	recGap    = 'G'
)

func (t *Try) append(b []byte) []byte {
	b = encoding.String(b, t.Request)
	b = binary.AppendUvarint(b, uint64(t.Attempt))
	b = encoding.String(encoding.String(encoding.String(encoding.String(b, t.Member), t.Plan), t.Class), t.Node)
	b = encoding.Float(b, t.Units)
	flags := byte(0)
	if t.Reserved {
		flags = 1
	}
	return append(b, flags)
}

func (s *Settlement) append(b []byte) []byte {
	b = append(b, recSettle)
	b = binary.AppendUvarint(binary.AppendUvarint(binary.AppendUvarint(b, s.Intent), s.Life), s.Seq)
	b = encoding.Float(append(b, byte(s.Outcome)), s.Used)
	return s.Try.append(binary.AppendVarint(b, s.Wall))
}

func (g *Gap) append(b []byte) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(binary.AppendUvarint(append(b, recGap), g.Life), g.Seq), g.Tries)
	return binary.AppendVarint(encoding.Float(b, g.Units), g.Wall)
}

func readTry(r *encoding.Reader) (t Try) {
	t.Request = r.String(any64)
	t.Attempt = int(r.Uvarint(math.MaxInt32))
	t.Member, t.Plan, t.Class, t.Node = r.String(any64), r.String(any64), r.String(any64), r.String(any64)
	t.Units = r.Float()
	t.Reserved = r.Byte()&1 > 0
	return t
}

// any64 bounds no whole number.
const any64 = math.MaxUint64

var errCut = errors.New("export: not a whole record")

// record is one of the log, read.
type record struct {
	kind   byte
	try    Try        // I
	settle Settlement // S
	number uint64     // L, A
	gap    Gap        // G
}

func parse(p []byte) (rec record, err error) {
	r := &encoding.Reader{B: p}
	switch rec.kind = r.Byte(); rec.kind {
	case recIntent:
		rec.try = readTry(r)
	case recSettle:
		s := &rec.settle
		s.Intent, s.Life, s.Seq = r.Uvarint(any64), r.Uvarint(any64), r.Uvarint(any64)
		s.Outcome, s.Used, s.Wall = Outcome(r.Byte()), r.Float(), r.Varint()
		s.Try = readTry(r)
	case recLife, recAck:
		rec.number = r.Uvarint(any64)
	case recGap:
		rec.gap.Life, rec.gap.Seq, rec.gap.Tries = r.Uvarint(any64), r.Uvarint(any64), r.Uvarint(any64)
		rec.gap.Units, rec.gap.Wall = r.Float(), r.Varint()
	default:
		return rec, fmt.Errorf("export: record of kind %q, want I, S, L, A or G", rec.kind)
	}
	if r.Bad {
		return rec, errCut
	}
	return rec, nil
}

// Event is what the receiver is told, with the number of its record.
type Event struct {
	Rec  uint64
	JSON []byte
}

// Source names a life of a gateway as CloudEvents wants it, a URI reference.
func Source(fleet string, gateway int, life uint64) string {
	return fmt.Sprintf("/winghatch/%s/gateway/%d/life/%d", url.PathEscape(fleet), gateway, life)
}

// cloudEvent is an event in CloudEvents 1.0's JSON format (section 3).
type cloudEvent struct {
	Version string `json:"specversion"`
	ID      string `json:"id"`
	Source  string `json:"source"`
	Type    string `json:"type"`
	Time    string `json:"time,omitempty"`
	Subject string `json:"subject,omitempty"`
	Form    string `json:"datacontenttype"`
	Data    any    `json:"data"`
}

// The types of event.
const (
	TypeUse = "winghatch.use.v1"
	TypeGap = "winghatch.uncovered.v1"
)

// Use is the data of an event of type TypeUse.
type Use struct {
	Request  string  `json:"request"`
	Attempt  int     `json:"attempt"`
	Member   string  `json:"member"`
	Plan     string  `json:"plan"`
	Class    string  `json:"class"`
	Node     string  `json:"node"`
	Units    float64 `json:"units"`
	Guess    bool    `json:"guess,omitempty"` // no answer told the size
	Outcome  string  `json:"outcome"`
	Reserved bool    `json:"reserved,omitempty"`
}

// Uncovered is the data of an event of type TypeGap.
type Uncovered struct {
	Tries uint64  `json:"tries"`
	Units float64 `json:"units"`
}

// Encode makes the event of a record, if it has one.
func Encode(fleet string, gateway int, rec uint64, payload []byte) (ev Event, ok bool, err error) {
	if len(payload) == 0 || payload[0] != recSettle && payload[0] != recGap {
		return ev, false, nil
	}
	r, err := parse(payload)
	if err != nil {
		return ev, false, err
	}
	c := cloudEvent{Version: "1.0", Form: "application/json"}
	life, wall := uint64(0), int64(0)
	if r.kind == recSettle {
		s := &r.settle
		if s.Seq == 0 {
			return ev, false, nil
		}
		life, wall = s.Life, s.Wall
		c.ID, c.Type, c.Subject = strconv.FormatUint(s.Seq, 10), TypeUse, s.Member
		c.Data = Use{s.Request, s.Attempt, s.Member, s.Plan, s.Class, s.Node, s.Used, s.Outcome != Sized, s.Outcome.String(), s.Reserved}
	} else {
		life, wall = r.gap.Life, r.gap.Wall
		c.ID, c.Type = strconv.FormatUint(r.gap.Seq, 10), TypeGap
		c.Data = Uncovered{r.gap.Tries, r.gap.Units}
	}
	c.Source = Source(fleet, gateway, life)
	c.Time = time.Unix(0, wall).UTC().Format(time.RFC3339Nano)
	raw, err := json.Marshal(c)
	return Event{rec, raw}, err == nil, err
}
