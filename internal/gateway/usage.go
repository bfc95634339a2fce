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

// reasonUncovered is the reason of rejections while the outbox log takes no intents.
const reasonUncovered = "export"

const (
	// outboxSnapshotInterval is how many records the outbox log grows by before a snapshot replaces them.
	outboxSnapshotInterval = 50000
	// settlementReserve and settlementReservePerAttempt are the bytes below the log's bound that are kept free for the
	// settlements of attempts in flight.
	settlementReserve           = 512 << 10
	settlementReservePerAttempt = 1 << 10
)

// usageOutbox carries out what the outbox of usage asks for: no byte of an attempt is sent before its intent is
// durable, and its settlement follows its end. The loop owns it. The goroutine of run and those of the log report to
// the loop through its queue what they did.
type usageOutbox struct {
	loop      *Loop
	outbox    *outbox.Outbox
	log       *wal.Log
	sender    *sender.Sender
	wallClock func() int64 // nanoseconds of Unix time
	logger    *slog.Logger
	maxBytes  int64 // of the log

	attempts map[outbox.AttemptID]*attempt // not settled
	lastID   outbox.AttemptID

	retainFrom       atomic.Uint64 // first record that is still needed; read by the log
	snapshotAt       uint64        // last record at the last snapshot
	snapshotRepeated bool          // the last snapshot holds what the one before it held
	failure          string        // why the log can't be written
	closed           bool

	// Of the recovery, for operators.
	gaps      int
	tornBytes int64
}

// openUsageOutbox recovers the outbox of a loop.
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
	u.gaps, u.tornBytes, u.snapshotAt = len(recovery.Gaps), recovery.TornBytes, recovery.SnapshotRecord
	u.retainFrom.Store(box.LastAcknowledged() + 1)
	options := senderOptions(o, log, box)
	options.OnAcknowledged = func(record uint64) { l.queue.post(usageAcknowledged{record}) }
	u.sender = sender.New(options)
	return u, nil
}

// run is the delivery worker: it sends to the usage receiver until ctx ends.
func (u *usageOutbox) run(ctx context.Context) { u.sender.Run(ctx) }

// hasRoom reports whether the log has room for another intent beside the settlements that are owed.
func (u *usageOutbox) hasRoom() bool {
	reserved := settlementReserve + settlementReservePerAttempt*int64(u.outbox.Unsettled())
	return u.log.Size()+reserved < u.maxBytes
}

// rejecting reports whether requests are rejected at once, as the intents of their attempts could not be written.
func (u *usageOutbox) rejecting() bool { return u.outbox.RejectsRequests(u.hasRoom()) }

func (u *usageOutbox) handle(ev outbox.Event) {
	runOutboxActions(u.outbox, u.log, u.logger, u.outbox.Handle(ev), u.execute)
}

func (u *usageOutbox) execute(action outbox.Action) {
	switch action := action.(type) {
	case outbox.Release:
		if a := u.attempts[action.ID]; a != nil && a.awaitingIntent {
			a.awaitingIntent = false
			u.loop.upstream.Send(a.call)
		}
	case outbox.Deny:
		if a := u.attempts[action.ID]; a != nil && a.awaitingIntent {
			a.awaitingIntent, a.denied = false, true
			// No byte of it was sent.
			u.loop.queue.post(attemptResult{a, upstream.Result{Outcome: decide.OutcomeConnectFailed}})
		}
	}
}

// recordIntent holds an attempt back until its intent is durable.
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

// settle records what an attempt that has ended used.
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

// recordsDurable is called when all records up to a number are durable.
func (u *usageOutbox) recordsDurable(record uint64) {
	u.handle(outbox.Durable{Record: record})
	u.sender.NotifyRecords()
	if record-u.snapshotAt >= outboxSnapshotInterval {
		u.snapshotRepeated = false
		u.snapshot()
	}
}

// logStatusChanged is called when writing the log fails, or works again (nil).
func (u *usageOutbox) logStatusChanged(err error) {
	if err != nil {
		u.failure = err.Error()
		u.logger.Error("Failed to write the outbox log", "err", err)
	} else {
		u.failure = ""
		u.logger.Info("The outbox log can be written again")
	}
	u.handle(outbox.LogStatus{Failure: u.failure})
}

// acknowledged is called when the receiver has all records up to a number.
func (u *usageOutbox) acknowledged(record uint64) {
	u.handle(outbox.Acknowledged{Record: record})
	removable := record + 1 - u.retainFrom.Load()
	if removable >= outboxSnapshotInterval || removable > 0 && !u.hasRoom() {
		u.snapshotRepeated = false
		u.snapshot()
	}
}

// snapshot has the log write the outbox's state, after which it may remove the records that neither the state nor the
// receiver needs.
func (u *usageOutbox) snapshot() {
	last := u.log.NextNumber() - 1
	if last == 0 {
		return
	}
	state, retainFrom := u.outbox.Snapshot(), u.outbox.LastAcknowledged()+1
	if !u.log.SnapshotAsync(last, state, func(err error) { u.loop.queue.post(outboxSnapshotDone{err}) }) {
		return // one is being written
	}
	u.retainFrom.Store(retainFrom)
	u.snapshotAt = last
}

// snapshotDone takes another snapshot where room is still short, for two reasons. More may have been acknowledged
// meanwhile, and if the receiver has everything no further acknowledgement comes that would bring one. And the log
// keeps what the last snapshot but one needs, in case the last one is damaged; a second one of the same state frees
// that. Without this a gateway could reject requests for ever though the receiver has all.
func (u *usageOutbox) snapshotDone(err error) {
	if err != nil {
		u.logger.Error("Failed to write a snapshot of the outbox log", "err", err)
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

// close is called after the loop and run have ended.
func (u *usageOutbox) close() {
	if u.closed {
		return
	}
	u.closed = true
	if err := u.log.Close(); err != nil {
		u.logger.Error("Failed to close the outbox log", "err", err)
	}
}
