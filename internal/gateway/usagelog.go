package gateway

import (
	"errors"
	"log/slog"
	"path/filepath"

	"winghatch/internal/config"
	"winghatch/internal/usage/outbox"
	"winghatch/internal/usage/sender"
	"winghatch/internal/wal"
)

const (
	// outboxSegments is the number of segments of a full log, within the bounds on the size of a segment.
	outboxSegments        = 16
	minOutboxSegmentBytes = 256 << 10
	maxOutboxSegmentBytes = 16 << 20

	// deadLetterDivisor determines the bound on the dead-letter file: the bound of the log divided by it.
	deadLetterDivisor = 8
)

// Names in the state directory of a gateway. A log under another name would not be found, and operators'
// scripts know the name of the dead-letter file.
const (
	outboxLogDir   = "use"
	deadLetterFile = "use-set-aside.jsonl"
)

// OutboxOptions configures the outbox of a gateway.
type OutboxOptions struct {
	Export      config.UsageExport
	Fleet       string
	Gateway     int    // rank
	Dir         string // state directory of the gateway, which contains the directory of the log
	FS          wal.FS // nil means the disk
	Incarnation uint64
	WallClock   func() int64 // nanoseconds of Unix time
	Log         *slog.Logger
}

// OpenOutbox restores an outbox from its log and starts a new incarnation. retainFrom, onDurable and
// onFailure are the options of wal.Open with these names; each may be nil.
func OpenOutbox(o OutboxOptions, retainFrom func() uint64, onDurable func(uint64), onFailure func(error)) (
	*outbox.Outbox, *wal.Log, *wal.Recovery, error) {
	box := outbox.New(outbox.Settings{Policy: o.Export.OnUnwritable, MinIncarnation: o.Incarnation})
	maxBytes := int64(o.Export.MaxLogBytes)
	options := wal.Options{
		Mode:         o.Export.Durability,
		SyncInterval: o.Export.SyncInterval,
		MaxBytes:     maxBytes,
		SegmentBytes: min(maxOutboxSegmentBytes, max(minOutboxSegmentBytes, maxBytes/outboxSegments)),
		FS:           o.FS,
		RetainFrom:   retainFrom,
		OnDurable:    onDurable,
		OnFailure:    onFailure,
	}
	restoreSnapshot := func(recovery *wal.Recovery) error {
		if recovery.Snapshot == nil {
			return nil
		}
		return box.RestoreSnapshot(recovery.Snapshot)
	}
	restoreRecord := func(r wal.Record) error { return box.Restore(r.Number, r.Payload) }
	log, recovery, err := wal.Open(
		filepath.Join(o.Dir, outboxLogDir), options, restoreSnapshot, restoreRecord)

	if err != nil {
		return nil, nil, nil, err
	}
	recovery.LogDamage(o.Log, "usage", o.Dir)
	// No attempt waits for its intent yet, so there is nothing to execute apart from appends.
	runOutboxActions(box, log, o.Log, box.Start(o.WallClock()), func(outbox.Action) {})
	if n := box.Counts.Orphans; n > 0 {
		o.Log.Warn("Exporting unsettled attempts of earlier incarnations at their estimates", "attempts", n)
	}
	return box, log, recovery, nil
}

// runOutboxActions carries out the actions of an outbox. It appends records to the log and reports each
// result to the outbox before it looks at the next action. All other actions are passed to execute.
func runOutboxActions(box *outbox.Outbox, log *wal.Log, logger *slog.Logger, actions []outbox.Action,
	execute func(outbox.Action)) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		record, ok := action.(outbox.Append)
		if !ok {
			execute(action)
			continue
		}
		number, err := log.Append(record.Payload)
		appended := outbox.Appended{ID: record.ID, Record: number}
		if err != nil {
			appended.Failure = err.Error()
			if !errors.Is(err, wal.ErrFull) { // a full log shows in the state and in every rejection
				logger.Warn("Failed to append to outbox log", "err", err)
			}
		}
		if record.ID != 0 {
			actions = append(box.Handle(appended), actions...)
		}
	}
}

// senderOptions returns the options of a delivery worker, without its callback OnAcknowledged.
func senderOptions(o OutboxOptions, log *wal.Log, box *outbox.Outbox) sender.Options {
	return sender.Options{
		Log:                log,
		URL:                o.Export.URL,
		Fleet:              o.Fleet,
		Gateway:            o.Gateway,
		After:              box.LastAcknowledged(),
		BatchSize:          o.Export.BatchSize,
		Timeout:            o.Export.Timeout,
		DeadLetterFile:     DeadLetterFile(o.Dir),
		MaxDeadLetterBytes: maxDeadLetterBytes(o.Export),
		Seed:               int64(o.Incarnation),
		LogError:           func(message string, args ...any) { o.Log.Error(message, args...) },
	}
}

// DeadLetterFile returns the path of the file in a gateway's state directory that holds the events that the
// usage receiver rejected.
func DeadLetterFile(dir string) string { return filepath.Join(dir, deadLetterFile) }

// maxDeadLetterBytes returns the bound on the size of the dead-letter file. Without it a receiver that
// rejects everything would move all events into that file.
func maxDeadLetterBytes(e config.UsageExport) int64 { return int64(e.MaxLogBytes) / deadLetterDivisor }
