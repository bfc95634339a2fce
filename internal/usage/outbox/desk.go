package outbox

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"winghatch/internal/encoding"
)

// Policy says what happens to calls while the log can't be written.
type Policy int

// The policies.
const (
	PolicyReject Policy = iota // nothing is sent that is not covered
	PolicyServe                // it is sent, counted, and told to the receiver as a gap
)

// ID names a try within a life of a gateway.
type ID uint64

// DeskEvent is something that a desk is told.
type OutboxEvent interface{ outboxEvent() }

// DeskAction is something that a desk wants done.
type OutboxAction interface{ outboxAction() }

type (
	// Intend asks whether a try may be sent. It is answered by Append, Release or Deny.
	RecordIntent struct {
		ID      ID
		Attempt Attempt
		HasRoom bool // the log has room for more than what is already owed
	}
	// Appended is the answer to Append: the record's number, or why there is none.
	Appended struct {
		ID      ID
		Record  uint64
		Failure string
	}
	// Durable says that all records up to that number are.
	Durable struct{ Record uint64 }
	// Broken says that the log can't be written, or can again.
	LogStatus struct{ Failure string }
	// Settle ends a try.
	Settle struct {
		ID        ID
		Outcome   Outcome
		UsedUnits float64
		WallTime  int64
	}
	// Acked says that the receiver has all up to a record.
	Acknowledged struct{ Record uint64 }

	// Append asks for a record; it is answered by Appended before anything else, unless ID is 0.
	Append struct {
		ID      ID
		Payload []byte
	}
	// Release lets a try be sent.
	Release struct{ ID ID }
	// Deny forbids it: nothing of it may leave.
	Deny struct{ ID ID }
)

func (RecordIntent) outboxEvent() {}
func (Appended) outboxEvent()     {}
func (Durable) outboxEvent()      {}
func (LogStatus) outboxEvent()    {}
func (Settle) outboxEvent()       {}
func (Acknowledged) outboxEvent() {}

func (Append) outboxAction()  {}
func (Release) outboxAction() {}
func (Deny) outboxAction()    {}

// entry is a try that is not settled in the log.
type attemptEntry struct {
	attempt    Attempt
	record     uint64 // of the intent; 0: not appended
	released   bool   // released
	covered    bool   // its intent is in the log
	settlement *Settlement
}

// heldMost is how many settlements may wait for a log that does not take them before no further try is covered: so no more
// come than those of tries that are out then.
const maxUnloggedSettlements = 20000

// Names that no try has: of the settlements of former lives, from orphanFrom on, and of the gap.
const (
	firstOrphanID = ID(1) << 62
	gapID         = ID(1) << 63
)

// DeskSettings are what a desk starts from.
type OutboxSettings struct {
	Policy      Policy
	Incarnation uint64 // at least; a desk takes a later one than all in its log
}

// Desk keeps what a gateway's tries owe. It is not safe for concurrent use.
type Outbox struct {
	settings           OutboxSettings
	incarnation        uint64
	sequence           uint64
	attempts           map[ID]*attemptEntry
	awaitingDurable    []ID               // appended, not durable yet, in order
	orphans            map[uint64]Attempt // intents of former lives, by record
	lastIncarnation    uint64             // life of the last 'L' in the log
	acknowledged       uint64
	acknowledgedLogged uint64 // as the log has it
	logFailure         string
	unlogged           []ID // settlements that the log did not take

	lastSettledAt int64  // of the last settlement
	gapAttempts   uint64 // not told yet
	gapUnits      float64
	pendingGap    *Gap // appended, if the log takes it
	Counts        Counts
}

// Counts are for operators.
type Counts struct {
	Intents           uint64  `json:"Intents"`
	Settled           uint64  `json:"Settled"`
	Skipped           uint64  `json:"Skipped"`
	Orphans           uint64  `json:"Orphans"` // exported at their guess after the life that sent them ended
	Denied            uint64  `json:"Denied"`
	UncoveredAttempts uint64  `json:"Uncovered"` // tries
	UncoveredUnits    float64 `json:"UncoveredUnits"`
}

// NewDesk returns a desk that is to be told what its log holds by Restore, and then begun.
func New(s OutboxSettings) *Outbox {
	return &Outbox{settings: s, attempts: map[ID]*attemptEntry{}, orphans: map[uint64]Attempt{}}
}

// Restore takes a record of the log.
func (d *Outbox) Restore(rec uint64, payload []byte) error {
	r, err := parseRecord(payload)
	if err != nil {
		return fmt.Errorf("record %d: %w", rec, err)
	}
	switch r.kind {
	case recordIntent:
		d.orphans[rec] = r.attempt
	case recordSettlement:
		delete(d.orphans, r.settlement.Intent)
		d.lastIncarnation = max(d.lastIncarnation, r.settlement.Incarnation)
	case recordIncarnation:
		d.lastIncarnation = max(d.lastIncarnation, r.number)
	case recordAcknowledged:
		d.acknowledged = max(d.acknowledged, r.number)
	case recordGap:
		d.lastIncarnation = max(d.lastIncarnation, r.gap.Incarnation)
	}
	return nil
}

// Begin starts a life: its number, later than all in the log, and the settlements of what former lives left open, at
// their guesses. They get keys of this life: which ones the former would have given is not known. They are owed like any
// other until the log has taken them.
func (d *Outbox) Start(wallTime int64) []OutboxAction {
	d.incarnation, d.lastSettledAt = max(d.settings.Incarnation, d.lastIncarnation+1), wallTime
	d.acknowledgedLogged = d.acknowledged
	out := []OutboxAction{Append{Payload: binary.AppendUvarint([]byte{recordIncarnation}, d.incarnation)}}
	recs := make([]uint64, 0, len(d.orphans))
	for rec := range d.orphans {
		recs = append(recs, rec)
	}
	slices.Sort(recs)
	for i, rec := range recs {
		t := d.orphans[rec]
		d.Counts.Orphans++
		id := firstOrphanID + ID(i)
		d.attempts[id] = &attemptEntry{attempt: t, record: rec, released: true, covered: true,
			settlement: &Settlement{Attempt: t, Intent: rec, Incarnation: d.incarnation, Outcome: OutcomeGatewayEnded, UsedUnits: t.Units, WallTime: wallTime}}
		d.unlogged = append(d.unlogged, id)
	}
	clear(d.orphans)
	return append(out, d.retryUnlogged()...)
}

// Life is this life's number, once begun.
func (d *Outbox) Incarnation() uint64 { return d.incarnation }

// Acked is the last record that the receiver is known to have.
func (d *Outbox) LastAcknowledged() uint64 { return d.acknowledged }

// Owed is how many tries are open, or settled and not in the log yet.
func (d *Outbox) Unsettled() int { return len(d.attempts) }

// Closed reports whether calls had better be refused at once: what they would send would be denied.
func (d *Outbox) Rejecting(hasRoom bool) bool {
	return (d.logFailure != "" || !hasRoom) && d.settings.Policy == PolicyReject
}

// Handle takes an event and returns what is to be done, in order.
func (d *Outbox) Handle(ev OutboxEvent) (out []OutboxAction) {
	switch e := ev.(type) {
	case RecordIntent:
		return d.recordIntent(e)
	case Appended:
		return d.recordAppended(e)
	case Durable:
		for len(d.awaitingDurable) > 0 {
			id := d.awaitingDurable[0]
			t := d.attempts[id]
			if t != nil && t.record > e.Record {
				break
			}
			d.awaitingDurable = d.awaitingDurable[1:]
			if t != nil && !t.released && t.settlement == nil {
				t.released = true
				out = append(out, Release{id})
			}
		}
		out = append(out, d.retryUnlogged()...)
	case LogStatus:
		return d.logStatusChanged(e.Failure)
	case Settle:
		return d.settleAttempt(e)
	case Acknowledged:
		// Told again at most, if the record of it is lost: it need not be durable. One for some is enough.
		if d.acknowledged = max(d.acknowledged, e.Record); d.acknowledged > d.acknowledgedLogged && d.logFailure == "" {
			d.acknowledgedLogged = d.acknowledged
			out = append(out, Append{Payload: binary.AppendUvarint([]byte{recordAcknowledged}, d.acknowledged)})
		}
	}
	return out
}

func (d *Outbox) recordIntent(e RecordIntent) []OutboxAction {
	t := &attemptEntry{attempt: e.Attempt}
	d.attempts[e.ID] = t
	if d.logFailure != "" || !e.HasRoom || len(d.unlogged) >= maxUnloggedSettlements {
		return d.decideUncovered(e.ID, t)
	}
	d.Counts.Intents++
	return append(d.reportGap(), Append{e.ID, t.attempt.append([]byte{recordIntent})})
}

// tellGap tells what was let pass uncovered, now that the log has room.
func (d *Outbox) reportGap() []OutboxAction {
	if d.gapAttempts == 0 || d.pendingGap != nil {
		return nil
	}
	d.sequence++
	d.pendingGap = &Gap{Incarnation: d.incarnation, Sequence: d.sequence, Attempts: d.gapAttempts, Units: d.gapUnits, WallTime: d.lastSettledAt}
	d.gapAttempts, d.gapUnits = 0, 0
	return []OutboxAction{Append{gapID, d.pendingGap.append(nil)}}
}

// hand hands a settlement in. Its number is the next one, and is taken back if the log does not take it: an Append is
// answered before anything else happens, so none is left out.
func (d *Outbox) appendSettlement(id ID, t *attemptEntry) OutboxAction {
	if t.settlement.Outcome != OutcomeNeverRan {
		d.sequence++
		t.settlement.Sequence = d.sequence
	}
	return Append{id, t.settlement.append(nil)}
}

// again hands in the first of the settlements that the log did not take; once it has, the next one follows.
func (d *Outbox) retryUnlogged() []OutboxAction {
	if d.logFailure != "" || len(d.unlogged) == 0 {
		return nil
	}
	id := d.unlogged[0]
	d.unlogged = d.unlogged[1:]
	return []OutboxAction{d.appendSettlement(id, d.attempts[id])}
}

// without decides a try whose intent can't be written.
func (d *Outbox) decideUncovered(id ID, t *attemptEntry) []OutboxAction {
	if d.settings.Policy == PolicyServe {
		t.released = true
		return []OutboxAction{Release{id}}
	}
	d.Counts.Denied++
	return []OutboxAction{Deny{id}}
}

func (d *Outbox) recordAppended(e Appended) []OutboxAction {
	t := d.attempts[e.ID]
	switch {
	case e.ID == gapID && d.pendingGap != nil:
		if e.Failure != "" {
			d.gapAttempts, d.gapUnits = d.gapAttempts+d.pendingGap.Attempts, d.gapUnits+d.pendingGap.Units
			d.sequence--
		}
		d.pendingGap = nil
	case t == nil:
	case t.settlement != nil: // its settlement
		if e.Failure != "" {
			if t.settlement.Outcome != OutcomeNeverRan {
				d.sequence--
			}
			d.unlogged = append(d.unlogged, e.ID)
			return nil
		}
		delete(d.attempts, e.ID)
		return d.retryUnlogged()
	case e.Failure != "":
		return d.decideUncovered(e.ID, t)
	default:
		t.record, t.covered = e.Record, true
		d.awaitingDurable = append(d.awaitingDurable, e.ID)
	}
	return nil
}

// breaks takes that the log fails or works again. What waits for it to be durable was not sent, so by the policy it
// may be denied, or sent: its intent may yet become durable, and its settlement will tell.
func (d *Outbox) logStatusChanged(failure string) (out []OutboxAction) {
	d.logFailure = failure
	if failure != "" {
		for _, id := range d.awaitingDurable {
			if t := d.attempts[id]; t != nil && !t.released && t.settlement == nil {
				out = append(out, d.decideUncovered(id, t)...)
			}
		}
		d.awaitingDurable = nil
		return out
	}
	return append(d.reportGap(), d.retryUnlogged()...)
}

func (d *Outbox) settleAttempt(e Settle) []OutboxAction {
	t := d.attempts[e.ID]
	if t == nil || t.settlement != nil {
		return nil
	}
	d.lastSettledAt = e.WallTime
	if !t.covered {
		delete(d.attempts, e.ID)
		if e.Outcome != OutcomeNeverRan && t.released {
			d.gapAttempts++
			d.gapUnits += e.UsedUnits
			d.Counts.UncoveredAttempts++
			d.Counts.UncoveredUnits += e.UsedUnits
		}
		return nil
	}
	s := &Settlement{Attempt: t.attempt, Intent: t.record, Incarnation: d.incarnation, Outcome: e.Outcome, UsedUnits: e.UsedUnits, WallTime: e.WallTime}
	if !(s.UsedUnits >= 0) || math.IsInf(s.UsedUnits, 0) {
		s.UsedUnits = t.attempt.Units
	}
	if t.settlement = s; e.Outcome == OutcomeNeverRan {
		d.Counts.Skipped++
	} else {
		d.Counts.Settled++
	}
	if d.logFailure != "" {
		d.unlogged = append(d.unlogged, e.ID)
		return nil
	}
	return []OutboxAction{d.appendSettlement(e.ID, t)}
}

// Snapshot is the state as of all records that were appended: the life, the records acknowledged and the intents that
// are open, each with its record's number.
func (d *Outbox) Snapshot() []byte {
	b := binary.AppendUvarint(nil, d.incarnation)
	b = binary.AppendUvarint(b, d.acknowledged)
	var open []*attemptEntry
	for _, t := range d.attempts {
		if t.covered {
			open = append(open, t)
		}
	}
	slices.SortFunc(open, func(a, b *attemptEntry) int { return cmp.Compare(a.record, b.record) })
	b = binary.AppendUvarint(b, uint64(len(open)))
	for _, t := range open {
		b = t.attempt.append(binary.AppendUvarint(b, t.record))
	}
	return b
}

// RestoreSnapshot takes what Snapshot wrote, before the records behind it.
func (d *Outbox) RestoreSnapshot(p []byte) error {
	r := &encoding.Reader{Rest: p}
	d.lastIncarnation, d.acknowledged = r.Uvarint(unbounded), r.Uvarint(unbounded)
	for n := r.Uvarint(unbounded); n > 0 && !r.Malformed; n-- {
		rec := r.Uvarint(unbounded)
		d.orphans[rec] = readAttempt(r)
	}
	if r.Malformed {
		return fmt.Errorf("export: the snapshot is cut")
	}
	return nil
}
