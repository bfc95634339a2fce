package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"

	"winghatch/decide"
	"winghatch/internal/upstream"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
	"winghatch/internal/wal"
)

// reasonUsageNotRecordable is the reason of rejections while the outbox log accepts no intents.
const reasonUsageNotRecordable = "export"

const (
	// outboxSnapshotInterval is the number of records by which the outbox log grows before a snapshot
	// replaces them.
	outboxSnapshotInterval = 50000
	// settlementReserve and settlementReservePerAttempt are bytes of the log's maximum size that intents must
	// not use, so that the settlements of attempts in flight still fit: a fixed part and a part per attempt.
	settlementReserve           = 512 << 10
	settlementReservePerAttempt = 1 << 10
)

// usageOutbox carries out the actions of the outbox of usage. The outbox logs two records for each attempt:
// the intent, before the attempt is sent, and the settlement with the units that it used, when it ends. No
// byte of an attempt is sent before its intent is durable, unless the log can't be written and the policy
// allows attempts without an intent. usageOutbox is owned by the loop. The goroutines of run and of the log
// report to the loop through its queue.
type usageOutbox struct {
	loop      *Loop
	outbox    *outbox.Outbox
	log       *wal.Log
	sender    *sender.Sender
	wallClock func() int64 // nanoseconds of Unix time
	logger    *slog.Logger
	maxBytes  int64 // maximum size of the log in bytes; see hasRoom

	attempts map[outbox.AttemptID]*attempt // attempts that are not settled
	lastID   outbox.AttemptID

	// retainFrom is the number of the first record that is still needed. The goroutines of the log read it.
	retainFrom       atomic.Uint64
	snapshotRecord   uint64 // number of the last record in the last snapshot
	snapshotRepeated bool   // whether the last snapshot retains the same records as the one before
	failure          string // why the log can't be written; empty if it can
	closed           bool

	// Damage found when the log was opened, for operators.
	gaps      int   // number of ranges of missing records
	tornBytes int64 // bytes at the end of the log that do not form a valid record
}

// openUsageOutbox restores the outbox of a loop from its log.
func openUsageOutbox(l *Loop, o OutboxOptions) (*usageOutbox, error) {
	u := &usageOutbox{
		loop:      l,
		wallClock: o.WallClock,
		logger:    o.Log,
		maxBytes:  int64(o.Export.MaxLogBytes),
		attempts:  map[outbox.AttemptID]*attempt{},
	}
	onDurable := func(record uint64) { l.queue.post(outboxRecordsDurable{record}) }
	onFailure := func(err error) { l.queue.post(outboxLogStatus{err}) }
	box, log, recovery, err := OpenOutbox(o, u.retainFrom.Load, onDurable, onFailure)
	if err != nil {
		return nil, err
	}
	u.outbox, u.log = box, log
	u.gaps, u.tornBytes, u.snapshotRecord = len(recovery.Gaps), recovery.TornBytes, recovery.SnapshotRecord
	u.retainFrom.Store(box.LastAcknowledged() + 1)
	options := senderOptions(o, log, box)
	options.OnAcknowledged = func(record uint64) { l.queue.post(usageAcknowledged{record}) }
	u.sender = sender.New(options)
	return u, nil
}

// run runs the delivery worker, which sends usage to the receiver, until ctx ends.
func (u *usageOutbox) run(ctx context.Context) { u.sender.Run(ctx) }

// hasRoom reports whether the log has room for another intent in addition to the settlements of the attempts
// in flight.
func (u *usageOutbox) hasRoom() bool {
	reserved := settlementReserve + settlementReservePerAttempt*int64(u.outbox.Unsettled())
	return u.log.Size()+reserved < u.maxBytes
}

// rejecting reports whether new requests are rejected because the intents of their attempts could not be
// written.
func (u *usageOutbox) rejecting() bool { return u.outbox.RejectsRequests(u.hasRoom()) }

// handle passes an event to the outbox and carries out the resulting actions.
func (u *usageOutbox) handle(ev outbox.Event) {
	runOutboxActions(u.outbox, u.log, u.logger, u.outbox.Handle(ev), u.execute)
}

// execute carries out an action other than an append to the log: it sends or denies an attempt that waits for
// its intent.
func (u *usageOutbox) execute(action outbox.Action) {
	switch action := action.(type) {
	case outbox.Release:
		if a := u.attempts[action.ID]; a != nil && a.awaitingIntent {
			a.awaitingIntent = false
			u.loop.upstream.Send(a.call)
		}
	case outbox.Deny:
		if a := u.attempts[action.ID]; a != nil && a.awaitingIntent {
			a.awaitingIntent, a.intentDenied = false, true
			// No byte of the attempt was sent.
			u.loop.queue.post(attemptResult{a, upstream.Result{Outcome: decide.OutcomeConnectFailed}})
		}
	}
}

// recordIntent records the intent of an attempt and holds the attempt back until the intent is durable. If
// the intent can't be written, the policy of the outbox decides at once whether the attempt is sent.
func (u *usageOutbox) recordIntent(a *attempt) {
	u.lastID++
	a.usageID, a.awaitingIntent = u.lastID, true
	u.attempts[a.usageID] = a
	r := a.request
	u.handle(outbox.RecordIntent{
		ID:          a.usageID,
		LogHasSpace: u.hasRoom(),
		Attempt: outbox.Attempt{
			Request:  r.ID,
			Number:   a.number,
			Member:   r.Customer,
			Plan:     u.loop.effectivePlan(r),
			Class:    r.Class,
			Server:   a.server,
			Units:    r.Units,
			Reserved: r.Reserved,
		},
	})
}

// settle records the units that an ended attempt used.
func (u *usageOutbox) settle(a *attempt, result upstream.Result) {
	delete(u.attempts, a.usageID)
	settle := outbox.Settle{ID: a.usageID, UsedUnits: a.request.Units, WallTime: u.wallClock()}
	switch result.Outcome {
	case decide.OutcomeOK:
		settle.Outcome = outbox.OutcomeAnswered
		if u.loop.cfg.SettledOnResponse && result.ActualUnits > 0 {
			settle.UsedUnits = result.ActualUnits
		}
	case decide.OutcomeError:
		settle.Outcome = outbox.OutcomeError
	case decide.OutcomeRejected, decide.OutcomeConnectFailed, decide.OutcomeNotDispatched:
		settle.Outcome = outbox.OutcomeNeverRan
	default:
		settle.Outcome = outbox.OutcomeUnanswered
	}
	u.handle(settle)
}

// recordsDurable handles the report that all records up to a number are durable.
func (u *usageOutbox) recordsDurable(record uint64) {
	u.handle(outbox.Durable{Record: record})
	u.sender.NotifyRecords()
	if record-u.snapshotRecord >= outboxSnapshotInterval {
		u.snapshotRepeated = false
		u.snapshot()
	}
}

// logStatusChanged handles the report that writing the log fails or, if err is nil, works again.
func (u *usageOutbox) logStatusChanged(err error) {
	if err != nil {
		u.failure = err.Error()
		u.logger.Error("Failed to write outbox log", "err", err)
	} else {
		u.failure = ""
		u.logger.Info("Outbox log can be written again")
	}
	u.handle(outbox.LogStatus{Failure: u.failure})
}

// acknowledged handles the report that the receiver has acknowledged all records up to a number. It takes a
// snapshot if that lets the log remove many records, or any if the log has no room.
func (u *usageOutbox) acknowledged(record uint64) {
	u.handle(outbox.Acknowledged{Record: record})
	removable := record + 1 - u.retainFrom.Load()
	if removable >= outboxSnapshotInterval || removable > 0 && !u.hasRoom() {
		u.snapshotRepeated = false
		u.snapshot()
	}
}

// snapshot makes the log write the state of the outbox. The log may then remove the records that neither the
// state nor the receiver needs.
func (u *usageOutbox) snapshot() {
	last := u.log.NextNumber() - 1
	if last == 0 {
		return
	}
	state, retainFrom := u.outbox.Snapshot(), u.outbox.LastAcknowledged()+1
	if !u.log.SnapshotAsync(last, state, func(err error) { u.loop.queue.post(outboxSnapshotDone{err}) }) {
		return // another snapshot is being written
	}
	u.retainFrom.Store(retainFrom)
	u.snapshotRecord = last
}

// snapshotDone takes another snapshot if the log is still more than half full, for two reasons. First, more
// records may have been acknowledged in the meantime; if the receiver has everything, no further
// acknowledgement arrives to trigger a snapshot. Second, the log keeps the records that the second-to-last
// snapshot needs, in case the last one is damaged; another snapshot of the same state frees them. Without
// this, a gateway could reject requests forever although the receiver has everything.
func (u *usageOutbox) snapshotDone(err error) {
	if err != nil {
		u.logger.Error("Failed to write snapshot of outbox log", "err", err)
		return
	}
	if u.log.Size() <= u.maxBytes/2 {
		return
	}
	retainFrom := u.outbox.LastAcknowledged() + 1
	if retainFrom > u.retainFrom.Load() || !u.snapshotRepeated {
		u.snapshotRepeated = retainFrom == u.retainFrom.Load()
		u.snapshot()
	}
}

// close closes the outbox log. It is called after the loop and run have ended, and does nothing if the log is
// closed already.
func (u *usageOutbox) close() {
	if u.closed {
		return
	}
	u.closed = true
	if err := u.log.Close(); err != nil {
		u.logger.Error("Failed to close outbox log", "err", err)
	}
}
