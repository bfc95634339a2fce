package gateway

import (
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"sync/atomic"

	"winghatch/decide"
	"winghatch/internal/config"
	"winghatch/internal/frontend"
	"winghatch/internal/upstream"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
	"winghatch/internal/wal"
)

// owed carries out what the export's desk wants done, for the loop that owns it: no byte of a try leaves before its
// intent is durable, and its settlement follows its end.
type usageOutbox struct {
	loop      *Loop
	outbox    *outbox.Outbox
	log       *wal.Log
	sender    *sender.Sender
	wallClock func() int64
	logger    *slog.Logger
	maxBytes  int64

	attempts         map[outbox.ID]*attempt
	lastID           outbox.ID
	retainFrom       atomic.Uint64 // first record that is still needed
	snapshotAt       uint64
	snapshotRepeated bool // the last snapshot was the second one of a state
	failure          string
	closed           bool
	gaps             int
	tornBytes        int64
}

// Inputs of the loop from the export's log and its courier.
type (
	outboxRecordsDurable struct{ record uint64 } // durable up to there
	outboxLogStatus      struct{ err error }
	usageAcknowledged    struct{ record uint64 }
	outboxSnapshotDone   struct{ err error }
)

const (
	// owedSnapshot is how many records bring a snapshot.
	outboxSnapshotInterval = 50000
	// owedRoom is what is kept free of the bound for the settlements of tries that are out, beside so much for each.
	settlementReserve           = 512 << 10
	settlementReservePerAttempt = 1 << 10
)

// OwedOptions tell a gateway's export who it is.
type OutboxOptions struct {
	Export      config.UsageExport
	Fleet       string
	Gateway     int
	Dir         string
	FS          wal.FS
	Incarnation uint64
	WallClock   func() int64
	Log         *slog.Logger
}

// OpenDesk recovers a desk from its log and begins a life. keep, durable and failed are the log's Options of these names.
func OpenOutbox(o OutboxOptions, retainFrom func() uint64, onDurable func(uint64), onFailure func(error)) (*outbox.Outbox, *wal.Log, *wal.Recovery, error) {
	d := outbox.New(outbox.OutboxSettings{Policy: o.Export.OnUnwritable, Incarnation: o.Incarnation})
	maxBytes := int64(o.Export.MaxLogBytes)
	log, rec, err := wal.Open(filepath.Join(o.Dir, "use"), wal.Options{Mode: o.Export.Durability, SyncInterval: o.Export.SyncInterval, MaxBytes: maxBytes,
		SegmentBytes: min(16<<20, max(256<<10, maxBytes/16)), FS: o.FS, RetainFrom: retainFrom, OnDurable: onDurable, OnFailure: onFailure},
		func(r *wal.Recovery) error {
			if r.Snapshot == nil {
				return nil
			}
			return d.RestoreSnapshot(r.Snapshot)
		}, func(r wal.Record) error { return d.Restore(r.Number, r.Payload) })
	if err != nil {
		return nil, nil, nil, err
	}
	rec.Report(o.Log, "export", o.Dir)
	runOutboxActions(d, log, o.Log, d.Start(o.WallClock()), func(outbox.OutboxAction) {})
	if n := d.Counts.Orphans; n > 0 {
		o.Log.Warn("tries of a former life are exported at their guesses", "tries", n)
	}
	return d, log, rec, nil
}

// SetAsideFile is where events lie that the receiver will not take.
func DeadLetterFile(dir string) string { return filepath.Join(dir, "use-set-aside.jsonl") }

// setAsideMost is what that file may take: a receiver that refuses everything must not have it all set aside.
func maxDeadLetterBytes(e config.UsageExport) int64 { return int64(e.MaxLogBytes) / 8 }

func openUsageOutbox(l *Loop, o OutboxOptions) (*usageOutbox, error) {
	w := &usageOutbox{loop: l, wallClock: o.WallClock, logger: o.Log, maxBytes: int64(o.Export.MaxLogBytes), attempts: map[outbox.ID]*attempt{}}
	var err error
	var rec *wal.Recovery
	w.outbox, w.log, rec, err = OpenOutbox(o, w.retainFrom.Load, func(no uint64) { l.queue.post(outboxRecordsDurable{no}) },
		func(err error) { l.queue.post(outboxLogStatus{err}) })
	if err != nil {
		return nil, err
	}
	w.gaps, w.tornBytes, w.snapshotAt = len(rec.Gaps), rec.TornBytes, rec.SnapshotRecord
	w.retainFrom.Store(w.outbox.LastAcknowledged() + 1)
	w.sender = sender.New(sender.Options{Log: w.log, URL: o.Export.URL, Fleet: o.Fleet, Gateway: o.Gateway,
		After: w.outbox.LastAcknowledged(), BatchSize: o.Export.BatchSize, Timeout: o.Export.Timeout, DeadLetterFile: DeadLetterFile(o.Dir), MaxDeadLetterBytes: maxDeadLetterBytes(o.Export), Seed: int64(o.Incarnation),
		OnAcknowledged: func(rec uint64) { l.queue.post(usageAcknowledged{rec}) }, LogError: func(text string, args ...any) { o.Log.Error(text, args...) }})
	return w, nil
}

// run carries to the receiver until the context ends.
func (w *usageOutbox) run(ctx context.Context) { w.sender.Run(ctx) }

func (w *usageOutbox) hasRoom() bool {
	return w.log.Size()+settlementReserve+settlementReservePerAttempt*int64(w.outbox.Unsettled()) < w.maxBytes
}

// refuses reports whether a call is refused at once, as nothing of it could be covered.
func (w *usageOutbox) rejecting() bool { return w.outbox.Rejecting(w.hasRoom()) }

// appendAll hands a desk's records to its log, and what that says to the desk, before what comes behind them; other
// takes all other actions.
func runOutboxActions(d *outbox.Outbox, log *wal.Log, say *slog.Logger, acts []outbox.OutboxAction, other func(outbox.OutboxAction)) {
	for len(acts) > 0 {
		a, ok := acts[0].(outbox.Append)
		if !ok {
			other(acts[0])
			acts = acts[1:]
			continue
		}
		no, err := log.Append(a.Payload)
		ev := outbox.Appended{ID: a.ID, Record: no}
		if err != nil {
			if ev.Failure = err.Error(); !errors.Is(err, wal.ErrFull) {
				say.Warn("the export's log takes nothing", "err", err)
			}
		}
		acts = acts[1:]
		if a.ID != 0 {
			acts = append(d.Handle(ev), acts...)
		}
	}
}

func (w *usageOutbox) execute(acts []outbox.OutboxAction) {
	runOutboxActions(w.outbox, w.log, w.logger, acts, w.executeAction)
}

func (w *usageOutbox) executeAction(a outbox.OutboxAction) {
	switch a := a.(type) {
	case outbox.Release:
		if t := w.attempts[a.ID]; t != nil && t.awaitingIntent {
			t.awaitingIntent = false
			w.loop.upstream.Send(t.call)
		}
	case outbox.Deny:
		if t := w.attempts[a.ID]; t != nil && t.awaitingIntent {
			t.awaitingIntent, t.denied = false, true
			w.loop.queue.post(attemptResult{t, upstream.Result{Outcome: decide.OutcomeConnectFailed}}) // it provably never left
		}
	}
}

// intend holds a try back until it may leave.
func (w *usageOutbox) recordIntent(t *attempt) {
	w.lastID++
	t.usageID, t.awaitingIntent = w.lastID, true
	w.attempts[t.usageID] = t
	o := t.request
	w.execute(w.outbox.Handle(outbox.RecordIntent{ID: t.usageID, HasRoom: w.hasRoom(), Attempt: outbox.Attempt{Request: o.ID, Number: t.number, Member: o.Customer,
		Plan: w.loop.effectivePlan(o), Class: o.Class, Server: t.server, Units: o.Units, Reserved: o.Reserved}}))
}

// settle ends a try.
func (w *usageOutbox) settle(t *attempt, res upstream.Result) {
	delete(w.attempts, t.usageID)
	s := outbox.Settle{ID: t.usageID, UsedUnits: t.request.Units, WallTime: w.wallClock()}
	switch res.Outcome {
	case decide.OutcomeOK:
		if s.Outcome = outbox.OutcomeAnswered; w.loop.cfg.SettledOnResponse && res.ActualUnits > 0 {
			s.UsedUnits = res.ActualUnits
		}
	case decide.OutcomeError:
		s.Outcome = outbox.OutcomeError
	case decide.OutcomeRejected, decide.OutcomeConnectFailed, decide.OutcomeNotDispatched:
		s.Outcome = outbox.OutcomeNeverRan
	default:
		s.Outcome = outbox.OutcomeUnanswered
	}
	w.execute(w.outbox.Handle(s))
}

func (w *usageOutbox) recordsDurable(rec uint64) {
	w.execute(w.outbox.Handle(outbox.Durable{Record: rec}))
	w.sender.NotifyRecords()
	if rec-w.snapshotAt >= outboxSnapshotInterval {
		w.snapshotRepeated = false
		w.snapshot()
	}
}

func (w *usageOutbox) logStatusChanged(err error) {
	if w.failure = ""; err != nil {
		w.failure = err.Error()
		w.logger.Error("the export's log can't be written", "err", err)
	} else {
		w.logger.Info("the export's log works again")
	}
	w.execute(w.outbox.Handle(outbox.LogStatus{Failure: w.failure}))
}

func (w *usageOutbox) acknowledged(rec uint64) {
	w.execute(w.outbox.Handle(outbox.Acknowledged{Record: rec}))
	if behind := rec + 1 - w.retainFrom.Load(); behind >= outboxSnapshotInterval || behind > 0 && !w.hasRoom() {
		w.snapshotRepeated = false
		w.snapshot()
	}
}

// snapshot keeps the desk's state and lets go of what it and the receiver no longer need.
func (w *usageOutbox) snapshot() {
	no := w.log.NextNumber() - 1
	if no == 0 {
		return
	}
	state, keep := w.outbox.Snapshot(), w.outbox.LastAcknowledged()+1
	if !w.log.SnapshotAsync(no, state, func(err error) { w.loop.queue.post(outboxSnapshotDone{err}) }) {
		return // one is under way
	}
	w.retainFrom.Store(keep)
	w.snapshotAt = no
}

// snapped takes another snapshot where room is still short: more may have been acknowledged meanwhile, and no later word
// of the receiver may come that would bring one; and the log keeps what the snapshot before needs, in case the last
// one turns out damaged, which is too dear then.
func (w *usageOutbox) snapshotDone(err error) {
	if err != nil {
		w.logger.Error("the export's snapshot failed", "err", err)
		return
	}
	if short := w.log.Size() > w.maxBytes/2; short && (w.outbox.LastAcknowledged()+1 > w.retainFrom.Load() || !w.snapshotRepeated) {
		w.snapshotRepeated = w.outbox.LastAcknowledged()+1 == w.retainFrom.Load()
		w.snapshot()
	}
}

func (w *usageOutbox) close() {
	if !w.closed {
		w.closed = true
		if err := w.log.Close(); err != nil {
			w.logger.Error("the export's log", "err", err)
		}
	}
}

// ExportState is what an operator is told of the export.
type UsageState struct {
	Incarnation  uint64                `json:"life"`
	OpenAttempts int                   `json:"open"` // tries without a settlement in the log
	Records      uint64                `json:"records"`
	Acknowledged uint64                `json:"acked"` // the receiver has all up to there
	Bytes        int64                 `json:"bytes"`
	MaxBytes     int64                 `json:"bound"`
	Rejecting    bool                  `json:"refusing"`
	Failure      string                `json:"failure,omitempty"`
	Outbox       outbox.Counts         `json:"desk"`
	Delivery     outbox.DeliveryCounts `json:"ship"`
	LostRecords  uint64                `json:"lost_records"`
	Gaps         int                   `json:"holes"`
	TornBytes    int64                 `json:"torn_bytes"`
}

func (w *usageOutbox) state() *UsageState {
	return &UsageState{Incarnation: w.outbox.Incarnation(), OpenAttempts: w.outbox.Unsettled(), Records: w.log.LastDurable(), Acknowledged: w.outbox.LastAcknowledged(), Bytes: w.log.Size(),
		MaxBytes: w.maxBytes, Rejecting: w.rejecting(), Failure: w.failure, Outbox: w.outbox.Counts, Delivery: w.sender.Counts(), LostRecords: w.sender.LostRecords.Load(),
		Gaps: w.gaps, TornBytes: w.tornBytes}
}

// uncovered is the reason of refusals while nothing can be covered.
const reasonUncovered = "export"

func (l *Loop) rejectUncovered(o *openRequest) bool {
	if l.usage == nil || !l.usage.rejecting() {
		return false
	}
	l.respond(o, frontend.Response{Kind: frontend.Rejected, Reason: reasonUncovered, RetryAfter: l.cfg.Limits.MaxRetryAfter})
	l.release(o)
	return true
}
