package gateway

import (
	"fmt"
	"math"
	"slices"
	"time"

	"winghatch/internal/reservation"
	"winghatch/internal/wal"
)

const (
	// spendingLogDir is the directory of the spending log within the state directory of a gateway.
	spendingLogDir = "spending"
	// spendingSegmentBytes is the size of a segment of the spending log.
	spendingSegmentBytes = 1 << 20
	// spendingSnapshotInterval is the number of records by which the spending log grows before a snapshot
	// replaces them.
	spendingSnapshotInterval = 16384
	// spendingStartTimeout is how long the start of a gateway waits for the first record of its process.
	spendingStartTimeout = 2 * time.Second
)

// spendingLog records the reserved units that requests spend, before these are forwarded. Its records are
// written, but not synced: they survive a kill of the process, and reservation.Ledger does not rely on them
// after a crash of the machine. It is owned by the loop.
type spendingLog struct {
	plans          *quotaPlans
	log            *wal.Log // nil if nothing is persisted
	lastRecord     uint64   // number of the last appended record
	writtenRecord  uint64   // all records up to this number are written
	snapshotRecord uint64   // lastRecord at the time of the last snapshot
	appendError    error    // why the last record was not appended; nil if it was
	failure        error    // why the log can't be written; nil if it can
	waiting        []waitingAdmission
}

// waitingAdmission is an admitted request whose spending is not written yet.
type waitingAdmission struct {
	requestID string
	record    uint64
	deadline  time.Duration // on the clock of the loop
}

// open opens the log in a directory, restores its records into the ledger and records the start of this
// process. A log that can't be written is not an error.
func (s *spendingLog) open(dir string, o PlanOptions) error {
	queue := s.plans.loop.queue
	options := wal.Options{
		Mode:         wal.SyncNever,
		SegmentBytes: spendingSegmentBytes,
		FS:           o.FS,
		OnDurable:    func(record uint64) { queue.post(spendingWritten{record}) },
		OnFailure:    func(err error) { queue.post(spendingLogStatus{err}) },
	}
	ledger := s.plans.reservations
	restoreSnapshot := func(r *wal.Recovery) error {
		return forEachRecord(r.Snapshot, ledger.RestoreSpending)
	}
	restoreRecord := func(r wal.Record) error {
		if err := ledger.RestoreSpending(r.Payload); err != nil {
			return fmt.Errorf("record %d: %w", r.Number, err)
		}
		return nil
	}
	log, recovery, err := wal.Open(dir, options, restoreSnapshot, restoreRecord)
	if err != nil {
		return err
	}
	s.log, s.lastRecord, s.writtenRecord = log, recovery.LastRecord, recovery.LastRecord
	s.snapshotRecord = recovery.SnapshotRecord
	recovery.LogDamage(o.Log, "spending", dir)
	s.append(ledger.StartRecord())
	if err := log.Sync(spendingStartTimeout); err != nil {
		o.Log.Error("Failed to write spending log", "err", err)
	}
	return nil
}

// append appends a record to the log.
func (s *spendingLog) append(record []byte) {
	if s.log == nil {
		return
	}
	number, err := s.log.Append(record)
	if s.appendError = err; err != nil {
		s.plans.logger.Error("Failed to append to spending log", "err", err)
		return
	}
	s.lastRecord = number
}

// admit admits a request once all records appended so far are written. If that is not possible, it rejects
// the request, as use that is not recorded could happen a second time after a kill.
func (s *spendingLog) admit(requestID string) {
	switch r := s.plans.loop.requests[requestID]; {
	case s.failure != nil || s.appendError != nil:
		s.plans.reject(reservation.Reject{ID: requestID, Reason: reservation.TokensUnavailable})
	case r == nil || s.log == nil || s.writtenRecord >= s.lastRecord:
		s.plans.admit(requestID)
	default:
		s.waiting = append(s.waiting, waitingAdmission{requestID, s.lastRecord, r.Deadline - responseMargin})
	}
}

// recordsWritten handles the report that all records up to a number are written.
func (s *spendingLog) recordsWritten(record uint64) {
	s.writtenRecord = max(s.writtenRecord, record)
	for len(s.waiting) > 0 && s.waiting[0].record <= s.writtenRecord {
		id := s.waiting[0].requestID
		s.waiting = s.waiting[1:]
		s.plans.admit(id)
	}
	if s.writtenRecord < s.lastRecord || s.lastRecord-s.snapshotRecord < spendingSnapshotInterval {
		return
	}
	s.snapshotRecord = s.lastRecord
	s.log.SnapshotAsync(s.lastRecord, joinRecords(s.plans.reservations.SpendingRecords()), func(err error) {
		if err != nil {
			s.plans.logger.Error("Failed to write snapshot of spending log", "err", err)
		}
	})
}

// statusChanged handles the report that writing the log fails or, if err is nil, works again.
func (s *spendingLog) statusChanged(err error) {
	s.failure = err
	if err == nil {
		s.plans.logger.Info("Spending log can be written again")
		return
	}
	s.plans.logger.Error("Failed to write spending log, reserved requests are rejected", "err", err)
	s.rejectWaiting(math.MaxInt64)
}

// tick rejects the requests that must not wait any longer and returns how long the next call may wait.
func (s *spendingLog) tick(now time.Duration) time.Duration {
	s.rejectWaiting(now)
	wait := maxSleep
	for _, w := range s.waiting {
		wait = min(wait, w.deadline-now)
	}
	return wait
}

// rejectWaiting rejects the waiting requests whose deadline is not after a time.
func (s *spendingLog) rejectWaiting(until time.Duration) {
	isLate := func(w waitingAdmission) bool { return w.deadline <= until }
	if !slices.ContainsFunc(s.waiting, isLate) {
		return
	}
	var late, rest []waitingAdmission
	for _, w := range s.waiting {
		if isLate(w) {
			late = append(late, w)
		} else {
			rest = append(rest, w)
		}
	}
	s.waiting = rest
	for _, w := range late {
		s.plans.reject(reservation.Reject{ID: w.requestID, Reason: reservation.TokensUnavailable})
	}
}

// close closes the log. It is called after the loop has ended.
func (s *spendingLog) close() {
	if s.log == nil {
		return
	}
	if err := s.log.Close(); err != nil {
		s.plans.logger.Error("Failed to close spending log", "err", err)
	}
}
