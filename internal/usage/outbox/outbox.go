// Package outbox implements a transactional outbox for usage events. It determines which events a gateway has
// to send to the usage receiver: one for each attempt that may have run, with the units that the response
// reported or else the estimate. Each event has a unique key, so that the receiver can count it exactly once.
//
// An Outbox tracks each attempt from its intent to its settlement. The intent is durable before the first
// byte of the attempt leaves the gateway. A crash may leave intents without a settlement; the next
// incarnation of the gateway settles them at their estimates. A Delivery decides which settlements are sent
// to the receiver, when they are retried and when they are acknowledged. Delivery is at least once; a
// duplicate event has the same source and id as the original.
//
// Both types are state machines: they process events and return actions, which their owner must carry out in
// order. They perform no I/O, read no clock, start no goroutines and are not safe for concurrent use. Their
// records are stored in a log of package wal that is written by the owner.
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

// maxUnloggedSettlements limits the memory used by settlements that could not be written to the log yet. When
// it is reached no further intent is written, so the number can only grow by the attempts that are in flight.
const maxUnloggedSettlements = 20000

// Policy defines what happens to attempts while the log cannot be written.
type Policy int

const (
	// PolicyReject denies attempts whose intent is not durable.
	PolicyReject Policy = iota
	// PolicyServe allows such attempts. Their usage is added up and reported to the receiver as a gap.
	PolicyServe
)

// Settings configures an Outbox.
type Settings struct {
	Policy         Policy
	MinIncarnation uint64 // lower bound; the outbox also chooses a number greater than all in its log
}

// Outbox tracks the attempts of a gateway whose usage has to be reported.
type Outbox struct {
	Counts Counts // statistics since New

	settings    Settings
	incarnation uint64 // number of this incarnation; 0 before Start
	sequence    uint64 // sequence number of the last event of this incarnation
	logFailure  string // why the log cannot be written; empty if it can

	attempts        map[AttemptID]*attemptEntry // attempts whose settlement is not in the log
	awaitingDurable []AttemptID                 // attempts whose intent is appended but not durable, in order
	unlogged        []AttemptID                 // attempts whose settlement could not be appended yet

	acknowledged       uint64 // the receiver has all records up to this one
	acknowledgedLogged uint64 // value of acknowledged in the last record of it in the log

	// Usage of attempts without an intent that is not reported yet.
	unreportedAttempts uint64
	unreportedUnits    float64
	pendingGap         *Gap  // gap record that is being appended; nil if there is none
	lastSettledAt      int64 // time of the last Settle in nanoseconds of Unix time

	// State restored from the log before Start.
	orphans         map[uint64]Attempt // intents without a settlement, by record number
	lastIncarnation uint64             // greatest incarnation number found; 0 if there is none
}

// attemptEntry is the state of an attempt whose settlement is not in the log.
type attemptEntry struct {
	attempt    Attempt
	record     uint64      // record number of the intent; 0 if it is not appended
	covered    bool        // the intent is in the log
	released   bool        // the attempt may have been sent
	settlement *Settlement // nil while the attempt has not ended
}

// Counts are statistics for operators. Their JSON keys never change.
type Counts struct {
	Intents           uint64  `json:"Intents"`        // intents passed to the log
	Settled           uint64  `json:"Settled"`        // settled attempts that may have run
	Skipped           uint64  `json:"Skipped"`        // settled attempts that never ran
	Orphans           uint64  `json:"Orphans"`        // attempts left by earlier incarnations, now settled
	Denied            uint64  `json:"Denied"`         // attempts denied because the log could not be written
	UncoveredAttempts uint64  `json:"Uncovered"`      // attempts sent without an intent in the log
	UncoveredUnits    float64 `json:"UncoveredUnits"` // units used by these attempts
}

// New returns an outbox. The owner restores its state from the log with RestoreSnapshot and Restore, and then
// calls Start.
func New(s Settings) *Outbox {
	return &Outbox{settings: s, attempts: map[AttemptID]*attemptEntry{}, orphans: map[uint64]Attempt{}}
}

// Restore applies a record of the log. It must be called in order for all records after the snapshot. It
// returns an error if the record is malformed.
func (o *Outbox) Restore(number uint64, payload []byte) error {
	record, err := parseRecord(payload)
	if err != nil {
		return fmt.Errorf("record %d: %w", number, err)
	}
	switch record.kind {
	case kindIntent:
		o.orphans[number] = record.attempt
	case kindSettlement:
		delete(o.orphans, record.settlement.Intent)
		o.lastIncarnation = max(o.lastIncarnation, record.settlement.Incarnation)
	case kindIncarnation:
		o.lastIncarnation = max(o.lastIncarnation, record.number)
	case kindAcknowledged:
		o.acknowledged = max(o.acknowledged, record.number)
	case kindGap:
		o.lastIncarnation = max(o.lastIncarnation, record.gap.Incarnation)
	}
	return nil
}

// Start starts a new incarnation at wallTime, in nanoseconds of Unix time. The incarnation gets a number
// greater than all in the log, even if the wall clock was set back, because event keys would repeat
// otherwise. Attempts that earlier incarnations did not settle are settled at their estimates. Their events
// get keys of the new incarnation, because the keys that the earlier one would have assigned are not known.
func (o *Outbox) Start(wallTime int64) []Action {
	o.incarnation, o.lastSettledAt = max(o.settings.MinIncarnation, o.lastIncarnation+1), wallTime
	o.acknowledgedLogged = o.acknowledged
	records := make([]uint64, 0, len(o.orphans))
	for record := range o.orphans {
		records = append(records, record)
	}
	slices.Sort(records)
	for i, record := range records {
		attempt := o.orphans[record]
		id := firstOrphanID + AttemptID(i)
		o.attempts[id] = &attemptEntry{
			attempt:  attempt,
			record:   record,
			covered:  true,
			released: true,
			settlement: &Settlement{
				Attempt:     attempt,
				Intent:      record,
				Incarnation: o.incarnation,
				Outcome:     OutcomeGatewayEnded,
				UsedUnits:   attempt.Units,
				WallTime:    wallTime,
			},
		}
		o.unlogged = append(o.unlogged, id)
		o.Counts.Orphans++
	}
	clear(o.orphans)
	started := Append{Payload: binary.AppendUvarint([]byte{kindIncarnation}, o.incarnation)}
	return append([]Action{started}, o.retryUnlogged()...)
}

// Incarnation returns the number of this incarnation, or 0 before Start.
func (o *Outbox) Incarnation() uint64 { return o.incarnation }

// LastAcknowledged returns the number of the last record up to which the receiver has acknowledged
// everything; 0 if none.
func (o *Outbox) LastAcknowledged() uint64 { return o.acknowledged }

// Unsettled returns the number of attempts without a settlement in the log, whether they have ended or not.
func (o *Outbox) Unsettled() int { return len(o.attempts) }

// RejectsRequests reports whether requests should be rejected immediately, because all their attempts would
// be denied. logHasSpace reports whether the log has space for another intent.
func (o *Outbox) RejectsRequests(logHasSpace bool) bool {
	return (o.logFailure != "" || !logHasSpace) && o.settings.Policy == PolicyReject
}

// Handle processes an event and returns the actions to be carried out, in order.
func (o *Outbox) Handle(event Event) []Action {
	switch event := event.(type) {
	case RecordIntent:
		return o.recordIntent(event)
	case Appended:
		return o.recordAppended(event)
	case Durable:
		return o.recordsDurable(event.Record)
	case LogStatus:
		return o.logStatusChanged(event.Failure)
	case Settle:
		return o.settleAttempt(event)
	case Acknowledged:
		return o.recordsAcknowledged(event.Record)
	}
	return nil
}

// recordIntent appends the intent of an attempt, preceded by a gap record if one is due. If the log cannot be
// written or has no space, or if too many settlements wait for it, recordIntent applies the policy instead.
func (o *Outbox) recordIntent(event RecordIntent) []Action {
	entry := &attemptEntry{attempt: event.Attempt}
	o.attempts[event.ID] = entry
	if o.logFailure != "" || !event.LogHasSpace || len(o.unlogged) >= maxUnloggedSettlements {
		return o.applyPolicy(event.ID, entry)
	}
	o.Counts.Intents++
	intent := Append{event.ID, entry.attempt.append([]byte{kindIntent})}
	return append(o.reportGap(), intent)
}

// applyPolicy applies the policy to an attempt whose intent is not durable and cannot be made durable now.
func (o *Outbox) applyPolicy(id AttemptID, entry *attemptEntry) []Action {
	if o.settings.Policy == PolicyServe {
		entry.released = true
		return []Action{Release{id}}
	}
	o.Counts.Denied++
	return []Action{Deny{id}}
}

// recordAppended processes the result of appending an intent, a settlement or a gap.
func (o *Outbox) recordAppended(event Appended) []Action {
	if event.ID == gapID && o.pendingGap != nil {
		o.gapAppended(event.Failure != "")
		return nil
	}
	entry := o.attempts[event.ID]
	switch {
	case entry == nil:
		return nil
	case entry.settlement != nil:
		return o.settlementAppended(event.ID, entry, event.Failure != "")
	case event.Failure != "":
		return o.applyPolicy(event.ID, entry)
	}
	entry.record, entry.covered = event.Record, true
	o.awaitingDurable = append(o.awaitingDurable, event.ID)
	return nil
}

// recordsDurable releases the attempts whose intents have become durable with a record.
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

// logStatusChanged processes a failure or the recovery of the log. On a failure, attempts whose intents are
// not durable have not been sent yet, so the policy applies to them. An attempt that is sent because of it
// still counts as covered: its intent may become durable later, and its settlement is written in any case.
func (o *Outbox) logStatusChanged(failure string) (actions []Action) {
	o.logFailure = failure
	if failure == "" {
		return append(o.reportGap(), o.retryUnlogged()...)
	}
	for _, id := range o.awaitingDurable {
		if entry := o.attempts[id]; entry != nil && !entry.released && entry.settlement == nil {
			actions = append(actions, o.applyPolicy(id, entry)...)
		}
	}
	o.awaitingDurable = nil
	return actions
}

// settleAttempt creates the settlement of an attempt and appends it if the log works. An attempt without an
// intent in the log gets no settlement; its usage is added to the next gap.
func (o *Outbox) settleAttempt(event Settle) []Action {
	entry := o.attempts[event.ID]
	if entry == nil || entry.settlement != nil {
		return nil
	}
	o.lastSettledAt = event.WallTime
	if !entry.covered {
		delete(o.attempts, event.ID)
		if event.Outcome != OutcomeNeverRan && entry.released {
			o.addUncovered(event.UsedUnits)
		}
		return nil
	}
	used := event.UsedUnits
	if !(used >= 0) || math.IsInf(used, 0) { // negative, NaN or infinite, from an invalid response
		used = entry.attempt.Units
	}
	entry.settlement = &Settlement{
		Attempt:     entry.attempt,
		Intent:      entry.record,
		Incarnation: o.incarnation,
		Outcome:     event.Outcome,
		UsedUnits:   used,
		WallTime:    event.WallTime,
	}
	if event.Outcome == OutcomeNeverRan {
		o.Counts.Skipped++
	} else {
		o.Counts.Settled++
	}
	if o.logFailure != "" {
		o.unlogged = append(o.unlogged, event.ID)
		return nil
	}
	return []Action{o.appendSettlement(event.ID, entry)}
}

// appendSettlement appends a settlement and assigns it the next sequence number, unless the attempt never ran
// and has no event. If the append fails, the number is taken back. Because the result of an Append is handled
// before any other event, no number is left out.
func (o *Outbox) appendSettlement(id AttemptID, entry *attemptEntry) Action {
	if entry.settlement.Outcome != OutcomeNeverRan {
		o.sequence++
		entry.settlement.Sequence = o.sequence
	}
	return Append{id, entry.settlement.append(nil)}
}

// settlementAppended forgets an attempt whose settlement is in the log, or keeps it for a retry if the append
// failed.
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

// retryUnlogged appends the first settlement that could not be appended before. When that succeeds, the next
// one follows.
func (o *Outbox) retryUnlogged() []Action {
	if o.logFailure != "" || len(o.unlogged) == 0 {
		return nil
	}
	id := o.unlogged[0]
	o.unlogged = o.unlogged[1:]
	return []Action{o.appendSettlement(id, o.attempts[id])}
}

// addUncovered adds the usage of an attempt without an intent to the next gap.
func (o *Outbox) addUncovered(units float64) {
	o.unreportedAttempts++
	o.unreportedUnits += units
	o.Counts.UncoveredAttempts++
	o.Counts.UncoveredUnits += units
}

// reportGap appends a gap record if there is unreported usage of attempts without an intent. It is called
// when the log has space or works again. If the append fails, gapAppended keeps the usage for the next gap.
func (o *Outbox) reportGap() []Action {
	if o.unreportedAttempts == 0 || o.pendingGap != nil {
		return nil
	}
	o.sequence++
	o.pendingGap = &Gap{
		Incarnation: o.incarnation,
		Sequence:    o.sequence,
		Attempts:    o.unreportedAttempts,
		Units:       o.unreportedUnits,
		WallTime:    o.lastSettledAt,
	}
	o.unreportedAttempts, o.unreportedUnits = 0, 0
	return []Action{Append{gapID, o.pendingGap.append(nil)}}
}

// gapAppended completes the pending gap, or adds its usage back for the next one if the append failed.
func (o *Outbox) gapAppended(failed bool) {
	if failed {
		o.unreportedAttempts += o.pendingGap.Attempts
		o.unreportedUnits += o.pendingGap.Units
		o.sequence--
	}
	o.pendingGap = nil
}

// recordsAcknowledged stores how far the receiver has acknowledged the log. The record that it appends does
// not have to become durable: if it is lost, some events are sent again. One record may cover many
// acknowledgements.
func (o *Outbox) recordsAcknowledged(record uint64) []Action {
	o.acknowledged = max(o.acknowledged, record)
	if o.acknowledged <= o.acknowledgedLogged || o.logFailure != "" {
		return nil
	}
	o.acknowledgedLogged = o.acknowledged
	return []Action{Append{Payload: binary.AppendUvarint([]byte{kindAcknowledged}, o.acknowledged)}}
}

// Snapshot encodes the state as of the last appended record: the incarnation, the last acknowledged record,
// and the intents without a settlement, each with its record number.
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

// RestoreSnapshot restores the state that Snapshot encoded. It must be called before Restore. It returns an
// error if the snapshot is malformed.
func (o *Outbox) RestoreSnapshot(snapshot []byte) error {
	r := &encoding.Reader{Rest: snapshot}
	o.lastIncarnation = r.Uvarint(unbounded)
	o.acknowledged = r.Uvarint(unbounded)
	for n := r.Uvarint(unbounded); n > 0 && !r.Malformed; n-- {
		record := r.Uvarint(unbounded)
		o.orphans[record] = readAttempt(r)
	}
	if r.Malformed {
		return errMalformedSnapshot
	}
	return nil
}

var errMalformedSnapshot = errors.New("outbox: snapshot is truncated or malformed")
