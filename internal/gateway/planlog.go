package gateway

import (
	"errors"
	"fmt"

	"winghatch/internal/quotaplan"
	"winghatch/internal/reservation"
	"winghatch/internal/wal"
)

// Kinds of records in the plan log. A record is one byte for the kind, followed by the encoding of the type
// named.
const (
	recordOwnChange   = 1 // quotaplan.Change that this gateway accepted
	recordPeerChange  = 2 // quotaplan.Change that another gateway accepted
	recordReservation = 3 // state of a reservation in reservation.Ledger
)

const (
	// planSnapshotInterval is the number of records by which the plan log grows before a snapshot replaces
	// them.
	planSnapshotInterval = 4096
	// planSegmentBytes is the size of a segment of the plan log.
	planSegmentBytes = 4 << 20
)

// planLogDir is the directory of the plan log within the state directory of a gateway. A log under another
// name would not be found.
const planLogDir = "book"

// pendingRecord is a record that is not durable yet, with the plan change or the reservation state that waits
// for it.
type pendingRecord struct {
	record           uint64 // number in the plan log
	changeNumber     uint64 // number of a change that this gateway accepted; 0 if none waits
	reservationState uint64 // number of a state of the reservation ledger; 0 if none waits
}

// openLog opens the plan log and restores its records. The goroutines of the log report to the loop, through
// its queue, which records have become durable and whether writing fails.
func (p *quotaPlans) openLog(o PlanOptions) error {
	options := wal.Options{
		Mode:         wal.SyncAlways,
		SegmentBytes: planSegmentBytes,
		FS:           o.FS,
		OnDurable:    func(record uint64) { p.loop.queue.post(planRecordsDurable{record}) },
		OnFailure:    func(err error) { p.loop.queue.post(planLogStatus{err}) },
	}
	restoreSnapshot := func(recovery *wal.Recovery) error { return p.restoreSnapshot(recovery.Snapshot) }
	restoreRecord := func(r wal.Record) error {
		if err := p.restore(r.Payload); err != nil {
			return fmt.Errorf("record %d: %w", r.Number, err)
		}
		return nil
	}
	log, recovery, err := wal.Open(o.Dir, options, restoreSnapshot, restoreRecord)
	if err != nil {
		return err
	}
	p.log, p.lastRecord, p.snapshotRecord = log, recovery.LastRecord, recovery.SnapshotRecord
	recovery.LogDamage(o.Log, "plans", o.Dir)
	return nil
}

// restore restores the change or reservation in a record of the plan log.
func (p *quotaPlans) restore(payload []byte) error {
	if len(payload) == 0 {
		return errors.New("kind: missing, want 1 to 3")
	}
	kind, data := payload[0], payload[1:]
	switch kind {
	case recordOwnChange, recordPeerChange:
		c, _, err := quotaplan.ParseChange(data)
		if err != nil {
			return err
		}
		p.replica.Restore(c, kind == recordOwnChange)
		return nil
	case recordReservation:
		return p.reservations.Restore(data)
	}
	return fmt.Errorf("kind: %d, want 1 to 3", kind)
}

// snapshot encodes all records that are still relevant.
func (p *quotaPlans) snapshot() []byte {
	var records [][]byte
	add := func(kind byte, data []byte) { records = append(records, append([]byte{kind}, data...)) }
	for _, c := range p.replica.Changes() {
		kind := byte(recordPeerChange)
		if p.replica.Own(&c) {
			kind = recordOwnChange
		}
		add(kind, c.Append(nil))
	}
	for _, state := range p.reservations.States() {
		add(recordReservation, state)
	}
	return joinRecords(records)
}

// restoreSnapshot restores the records that snapshot encoded.
func (p *quotaPlans) restoreSnapshot(snapshot []byte) error {
	return forEachRecord(snapshot, p.restore)
}

// persistChange appends a plan change to the plan log.
func (p *quotaPlans) persistChange(action quotaplan.Persist) {
	kind, pending := byte(recordPeerChange), pendingRecord{}
	if action.Own {
		kind, pending.changeNumber = recordOwnChange, action.Change.Number
	}
	p.persist(kind, action.Change.Append(nil), pending)
}

// persist appends a record to the plan log. Without a log the record counts as durable at once, which is
// reported through the queue as a separate input.
func (p *quotaPlans) persist(kind byte, data []byte, pending pendingRecord) {
	if p.log == nil {
		p.lastRecord++
		pending.record = p.lastRecord
		p.pending = append(p.pending, pending)
		p.loop.queue.post(planRecordsDurable{pending.record})
		return
	}
	number, err := p.log.Append(append([]byte{kind}, data...))
	if err != nil {
		p.logger.Error("Failed to append to plan log", "err", err)
		p.completeness.lostRecord = true
		if pending.changeNumber != 0 {
			p.loop.queue.post(changeNotPersisted{pending.changeNumber, err.Error()})
		}
		// A reservation state that is not persisted must have no effect, and neither may any later one,
		// because the ledger takes reservation.Persisted for a state to mean that all earlier states are
		// persisted too. Until the next restart fewer reserved units can be used, never more.
		if pending.reservationState != 0 && p.firstUnpersistedState == 0 {
			p.firstUnpersistedState = pending.reservationState
		}
		return
	}
	p.lastRecord, pending.record = number, number
	p.pending = append(p.pending, pending)
}

// recordsDurable handles the report that all records up to a number are durable. It informs the replica and
// the ledger, and takes a snapshot if the log has grown by planSnapshotInterval records.
func (p *quotaPlans) recordsDurable(record uint64) {
	for len(p.pending) > 0 && p.pending[0].record <= record {
		pending := p.pending[0]
		p.pending = p.pending[1:]
		switch {
		case pending.changeNumber != 0:
			p.handlePlanEvent(quotaplan.Persisted{Number: pending.changeNumber})
		case pending.reservationState != 0 &&
			(p.firstUnpersistedState == 0 || pending.reservationState < p.firstUnpersistedState):
			p.handleReservationEvent(reservation.Persisted{Number: pending.reservationState})
		}
	}
	p.completeness.recordsDurable(p, record)
	if p.log == nil || len(p.pending) > 0 || p.lastRecord-p.snapshotRecord < planSnapshotInterval {
		return
	}
	p.snapshotRecord = p.lastRecord
	p.log.SnapshotAsync(p.lastRecord, p.snapshot(), func(err error) {
		if err != nil {
			p.logger.Error("Failed to write snapshot of plan log", "err", err)
		}
	})
}

// logStatusChanged handles the report that writing the log fails or, if err is nil, works again.
func (p *quotaPlans) logStatusChanged(err error) {
	if err == nil {
		p.failure = ""
		p.logger.Info("Plan log can be written again")
		return
	}
	p.failure = err.Error()
	p.logger.Error("Failed to write plan log, plan changes and reservations are on hold", "err", err)
}

// close closes the plan log. It is called after the loop has ended, and does nothing if the log is closed
// already.
func (p *quotaPlans) close() {
	if p.log == nil || p.closed {
		return
	}
	p.closed = true
	p.spending.close()
	if err := p.log.Close(); err != nil {
		p.logger.Error("Failed to close plan log", "err", err)
	}
}
