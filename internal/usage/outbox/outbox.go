// Package outbox decides what a gateway owes to the usage receiver: an event for each attempt that may have run,
// exactly once by its key, at the units that the answer reports or at the estimate.
//
// An Outbox knows the attempts of a gateway from their intent, which is durable before a byte of them leaves, to
// their settlement. A crash leaves intents without settlement; the next incarnation settles them at their estimates.
// A Delivery decides which settlements go to the receiver, when they are sent again and when they may be forgotten.
// Delivery is at least once: an event that comes twice has the same source and id.
//
// Both are state machines that are given events and return actions, to be carried out in order. They do no I/O, read no
// clock, start no goroutine and are not safe for concurrent use. Their records are in a log of package wal, which the
// owner writes.
package outbox

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"winghatch/internal/encoding"
)

// maxUnloggedSettlements bounds the memory for settlements that wait for a log that does not take them. At that many no
// further intent is written, so no more come than those of the attempts in flight.
const maxUnloggedSettlements = 20000

// Policy says what happens to requests while the log can't be written.
type Policy int

const (
	// PolicyReject sends no attempt whose intent is not durable.
	PolicyReject Policy = iota
	// PolicyServe sends it; what it uses is added up and reported to the receiver as a gap.
	PolicyServe
)

// Settings are what an outbox starts from.
type Settings struct {
	Policy         Policy
	MinIncarnation uint64 // an outbox takes one that is not smaller, and greater than all in its log
}

// Outbox holds what the attempts of a gateway owe.
type Outbox struct {
	Counts Counts

	settings    Settings
	incarnation uint64
	sequence    uint64 // of the last event of this incarnation
	logFailure  string // why the log can't be written; empty: it can

	attempts        map[AttemptID]*attemptEntry
	awaitingDurable []AttemptID // intents that are appended and were not durable yet, in order
	unlogged        []AttemptID // settlements that the log did not take

	acknowledged       uint64 // the receiver has all records up to this one
	acknowledgedLogged uint64 // the same, as recorded in the log

	// Use that was not covered by an intent and is not reported yet.
	gapAttempts   uint64
	gapUnits      float64
	pendingGap    *Gap  // its record is being appended
	lastSettledAt int64 // nanoseconds of Unix time

	// Of the log, before Start.
	orphans         map[uint64]Attempt // intents without settlement, by record
	lastIncarnation uint64
}

// attemptEntry is an attempt whose settlement is not in the log.
type attemptEntry struct {
	attempt    Attempt
	record     uint64 // of the intent; 0: not appended
	covered    bool   // the intent is in the log
	released   bool
	settlement *Settlement // nil: it has not ended
}

// Counts are for operators. Their JSON keys never change.
type Counts struct {
	Intents           uint64  `json:"Intents"`
	Settled           uint64  `json:"Settled"`
	Skipped           uint64  `json:"Skipped"` // settled attempts that never ran
	Orphans           uint64  `json:"Orphans"` // settled at their estimates, as their incarnation ended before
	Denied            uint64  `json:"Denied"`
	UncoveredAttempts uint64  `json:"Uncovered"` // sent though the log could not be written
	UncoveredUnits    float64 `json:"UncoveredUnits"`
}

// New returns an outbox. It is given what its log holds, by RestoreSnapshot and Restore, and then started.
func New(s Settings) *Outbox {
	return &Outbox{settings: s, attempts: map[AttemptID]*attemptEntry{}, orphans: map[uint64]Attempt{}}
}

// Restore takes a record of the log. It is called for all records behind the snapshot, in order.
func (o *Outbox) Restore(number uint64, payload []byte) error {
	r, err := parseRecord(payload)
	if err != nil {
		return fmt.Errorf("record %d: %w", number, err)
	}
	switch r.kind {
	case recordIntent:
		o.orphans[number] = r.attempt
	case recordSettlement:
		delete(o.orphans, r.settlement.Intent)
		o.lastIncarnation = max(o.lastIncarnation, r.settlement.Incarnation)
	case recordIncarnation:
		o.lastIncarnation = max(o.lastIncarnation, r.number)
	case recordAcknowledged:
		o.acknowledged = max(o.acknowledged, r.number)
	case recordGap:
		o.lastIncarnation = max(o.lastIncarnation, r.gap.Incarnation)
	}
	return nil
}

// Start begins an incarnation: with a number greater than all in the log, also if the wall clock was set back, as keys
// would come again otherwise; and with settlements of what former incarnations left open, at the estimates. These have
// keys of the new incarnation, since the keys that the former one would have given are not known.
func (o *Outbox) Start(wallTime int64) []Action {
	o.incarnation, o.lastSettledAt = max(o.settings.MinIncarnation, o.lastIncarnation+1), wallTime
	o.acknowledgedLogged = o.acknowledged
	records := make([]uint64, 0, len(o.orphans))
	for record := range o.orphans {
		records = append(records, record)
	}
	slices.Sort(records)
	for i, record := range records {
		a := o.orphans[record]
		id := firstOrphanID + AttemptID(i)
		o.attempts[id] = &attemptEntry{
			attempt:  a,
			record:   record,
			covered:  true,
			released: true,
			settlement: &Settlement{
				Attempt:     a,
				Intent:      record,
				Incarnation: o.incarnation,
				Outcome:     OutcomeGatewayEnded,
				UsedUnits:   a.Units,
				WallTime:    wallTime,
			},
		}
		o.unlogged = append(o.unlogged, id)
		o.Counts.Orphans++
	}
	clear(o.orphans)
	started := Append{Payload: binary.AppendUvarint([]byte{recordIncarnation}, o.incarnation)}
	return append([]Action{started}, o.retryUnlogged()...)
}

// Incarnation returns the number of this incarnation. It is called after Start.
func (o *Outbox) Incarnation() uint64 { return o.incarnation }

// LastAcknowledged returns the last record up to which the receiver is known to have everything.
func (o *Outbox) LastAcknowledged() uint64 { return o.acknowledged }

// Unsettled returns how many attempts have no settlement in the log, ended or not.
func (o *Outbox) Unsettled() int { return len(o.attempts) }

// RejectsRequests reports whether requests had better be rejected at once, as all their attempts would be denied.
func (o *Outbox) RejectsRequests(logHasSpace bool) bool {
	return (o.logFailure != "" || !logHasSpace) && o.settings.Policy == PolicyReject
}

// Handle takes an event and returns what is to be done, in order.
func (o *Outbox) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case RecordIntent:
		return o.recordIntent(ev)
	case Appended:
		return o.recordAppended(ev)
	case Durable:
		return o.recordsDurable(ev.Record)
	case LogStatus:
		return o.logStatusChanged(ev.Failure)
	case Settle:
		return o.settleAttempt(ev)
	case Acknowledged:
		return o.recordsAcknowledged(ev.Record)
	}
	return nil
}

func (o *Outbox) recordIntent(ev RecordIntent) []Action {
	entry := &attemptEntry{attempt: ev.Attempt}
	o.attempts[ev.ID] = entry
	if o.logFailure != "" || !ev.LogHasSpace || len(o.unlogged) >= maxUnloggedSettlements {
		return o.decideUncovered(ev.ID, entry)
	}
	o.Counts.Intents++
	intent := Append{ev.ID, entry.attempt.append([]byte{recordIntent})}
	return append(o.reportGap(), intent)
}

// decideUncovered decides by the policy on an attempt whose intent is not durable and can't be made so.
func (o *Outbox) decideUncovered(id AttemptID, entry *attemptEntry) []Action {
	if o.settings.Policy == PolicyServe {
		entry.released = true
		return []Action{Release{id}}
	}
	o.Counts.Denied++
	return []Action{Deny{id}}
}

func (o *Outbox) recordAppended(ev Appended) []Action {
	if ev.ID == gapID && o.pendingGap != nil {
		o.gapAppended(ev.Failure != "")
		return nil
	}
	entry := o.attempts[ev.ID]
	switch {
	case entry == nil:
		return nil
	case entry.settlement != nil:
		return o.settlementAppended(ev.ID, entry, ev.Failure != "")
	case ev.Failure != "":
		return o.decideUncovered(ev.ID, entry)
	}
	entry.record, entry.covered = ev.Record, true
	o.awaitingDurable = append(o.awaitingDurable, ev.ID)
	return nil
}

// recordsDurable releases the attempts whose intents are durable now.
func (o *Outbox) recordsDurable(record uint64) (actions []Action) {
	for len(o.awaitingDurable) > 0 {
		id := o.awaitingDurable[0]
		entry := o.attempts[id]
		if entry != nil && entry.record > record {
			break
		}
		o.awaitingDurable = o.awaitingDurable[1:]
		if entry != nil && !entry.released && entry.settlement == nil {
			entry.released = true
			actions = append(actions, Release{id})
		}
	}
	return append(actions, o.retryUnlogged()...)
}

// logStatusChanged notes that the log fails or works again. Attempts whose intents are not durable yet have not been
// sent, so the policy decides on them. One that is sent then is still covered: its intent may become durable later,
// and its settlement is written in any case.
func (o *Outbox) logStatusChanged(failure string) (actions []Action) {
	o.logFailure = failure
	if failure == "" {
		return append(o.reportGap(), o.retryUnlogged()...)
	}
	for _, id := range o.awaitingDurable {
		if entry := o.attempts[id]; entry != nil && !entry.released && entry.settlement == nil {
			actions = append(actions, o.decideUncovered(id, entry)...)
		}
	}
	o.awaitingDurable = nil
	return actions
}

func (o *Outbox) settleAttempt(ev Settle) []Action {
	entry := o.attempts[ev.ID]
	if entry == nil || entry.settlement != nil {
		return nil
	}
	o.lastSettledAt = ev.WallTime
	if !entry.covered {
		delete(o.attempts, ev.ID)
		if ev.Outcome != OutcomeNeverRan && entry.released {
			o.addUncovered(ev.UsedUnits)
		}
		return nil
	}
	used := ev.UsedUnits
	if !(used >= 0) || math.IsInf(used, 0) { // nor NaN, which an answer may lead to
		used = entry.attempt.Units
	}
	entry.settlement = &Settlement{
		Attempt:     entry.attempt,
		Intent:      entry.record,
		Incarnation: o.incarnation,
		Outcome:     ev.Outcome,
		UsedUnits:   used,
		WallTime:    ev.WallTime,
	}
	if ev.Outcome == OutcomeNeverRan {
		o.Counts.Skipped++
	} else {
		o.Counts.Settled++
	}
	if o.logFailure != "" {
		o.unlogged = append(o.unlogged, ev.ID)
		return nil
	}
	return []Action{o.appendSettlement(ev.ID, entry)}
}

// appendSettlement gives a settlement the next sequence number, unless nothing is owed for it. The number is taken
// back if the log does not take the record; as an Append is answered before any other event, no number is left out.
func (o *Outbox) appendSettlement(id AttemptID, entry *attemptEntry) Action {
	if entry.settlement.Outcome != OutcomeNeverRan {
		o.sequence++
		entry.settlement.Sequence = o.sequence
	}
	return Append{id, entry.settlement.append(nil)}
}

func (o *Outbox) settlementAppended(id AttemptID, entry *attemptEntry, failed bool) []Action {
	if failed {
		if entry.settlement.Outcome != OutcomeNeverRan {
			o.sequence--
		}
		o.unlogged = append(o.unlogged, id)
		return nil
	}
	delete(o.attempts, id)
	return o.retryUnlogged()
}

// retryUnlogged appends the first of the settlements that the log did not take; once it has, the next one follows.
func (o *Outbox) retryUnlogged() []Action {
	if o.logFailure != "" || len(o.unlogged) == 0 {
		return nil
	}
	id := o.unlogged[0]
	o.unlogged = o.unlogged[1:]
	return []Action{o.appendSettlement(id, o.attempts[id])}
}

func (o *Outbox) addUncovered(units float64) {
	o.gapAttempts++
	o.gapUnits += units
	o.Counts.UncoveredAttempts++
	o.Counts.UncoveredUnits += units
}

// reportGap appends a record of the use that was not covered, if there is any. It is called when the log has room.
func (o *Outbox) reportGap() []Action {
	if o.gapAttempts == 0 || o.pendingGap != nil {
		return nil
	}
	o.sequence++
	o.pendingGap = &Gap{
		Incarnation: o.incarnation,
		Sequence:    o.sequence,
		Attempts:    o.gapAttempts,
		Units:       o.gapUnits,
		WallTime:    o.lastSettledAt,
	}
	o.gapAttempts, o.gapUnits = 0, 0
	return []Action{Append{gapID, o.pendingGap.append(nil)}}
}

func (o *Outbox) gapAppended(failed bool) {
	if failed {
		o.gapAttempts += o.pendingGap.Attempts
		o.gapUnits += o.pendingGap.Units
		o.sequence--
	}
	o.pendingGap = nil
}

// recordsAcknowledged notes what the receiver has. The record of it need not be durable: without it some events are
// sent again. One record may stand for many acknowledgements.
func (o *Outbox) recordsAcknowledged(record uint64) []Action {
	o.acknowledged = max(o.acknowledged, record)
	if o.acknowledged <= o.acknowledgedLogged || o.logFailure != "" {
		return nil
	}
	o.acknowledgedLogged = o.acknowledged
	return []Action{Append{Payload: binary.AppendUvarint([]byte{recordAcknowledged}, o.acknowledged)}}
}

// Snapshot encodes the state as of all records that were appended: the incarnation, the last record acknowledged, and
// the intents without settlement, each with the number of its record.
func (o *Outbox) Snapshot() []byte {
	var open []*attemptEntry
	for _, entry := range o.attempts {
		if entry.covered {
			open = append(open, entry)
		}
	}
	slices.SortFunc(open, func(a, b *attemptEntry) int { return cmp.Compare(a.record, b.record) })
	b := binary.AppendUvarint(nil, o.incarnation)
	b = binary.AppendUvarint(b, o.acknowledged)
	b = binary.AppendUvarint(b, uint64(len(open)))
	for _, entry := range open {
		b = binary.AppendUvarint(b, entry.record)
		b = entry.attempt.append(b)
	}
	return b
}

// RestoreSnapshot takes what Snapshot encoded. It is called before Restore.
func (o *Outbox) RestoreSnapshot(snapshot []byte) error {
	r := &encoding.Reader{Rest: snapshot}
	o.lastIncarnation = r.Uvarint(unbounded)
	o.acknowledged = r.Uvarint(unbounded)
	for n := r.Uvarint(unbounded); n > 0 && !r.Malformed; n-- {
		record := r.Uvarint(unbounded)
		o.orphans[record] = readAttempt(r)
	}
	if r.Malformed {
		return errSnapshotTruncated
	}
	return nil
}

var errSnapshotTruncated = errors.New("outbox: truncated snapshot")
