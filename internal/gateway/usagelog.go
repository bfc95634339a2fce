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
	// outboxSegments is how many segments a full log has, within the bounds on a segment.
	outboxSegments        = 16
	minOutboxSegmentBytes = 256 << 10
	maxOutboxSegmentBytes = 16 << 20

	// deadLetterDivisor is the inverse of the part of the log's bound that the file of dead letters may take.
	deadLetterDivisor = 8
)

// Names in the directory of a gateway's state. A log under another name would not be found, and operators' scripts
// know the file.
const (
	outboxLogDir   = "use"
	deadLetterFile = "use-set-aside.jsonl"
)

// OutboxOptions configure the outbox of a gateway.
type OutboxOptions struct {
	Export      config.UsageExport
	Fleet       string
	Gateway     int    // rank
	Dir         string // of the gateway's state; the log is a directory in it
	FS          wal.FS // nil: the disk
	Incarnation uint64
	WallClock   func() int64 // nanoseconds of Unix time
	Log         *slog.Logger
}

// OpenOutbox recovers an outbox from its log and starts an incarnation. retainFrom, onDurable and onFailure are the
// log's options of these names; they may be nil.
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
	log, recovery, err := wal.Open(filepath.Join(o.Dir, outboxLogDir), options, restoreSnapshot, restoreRecord)
	if err != nil {
		return nil, nil, nil, err
	}
	recovery.LogDamage(o.Log, "usage", o.Dir)
	runOutboxActions(box, log, o.Log, box.Start(o.WallClock()), func(outbox.Action) {})
	if n := box.Counts.Orphans; n > 0 {
		o.Log.Warn("Attempts of a former incarnation are exported at their estimates", "attempts", n)
	}
	return box, log, recovery, nil
}

// runOutboxActions appends records of an outbox to its log and gives the outbox the result of each before the next
// action is looked at. execute carries out all other actions.
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
			if !errors.Is(err, wal.ErrFull) { // which the state shows, and every rejected request
				logger.Warn("Failed to append to the outbox log", "err", err)
			}
		}
		if record.ID != 0 {
			actions = append(box.Handle(appended), actions...)
		}
	}
}

// senderOptions are the options of a delivery worker but for what it calls back.
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

// DeadLetterFile is the file of events that the usage receiver does not accept, in a gateway's state directory.
func DeadLetterFile(dir string) string { return filepath.Join(dir, deadLetterFile) }

// maxDeadLetterBytes bounds that file: a receiver that accepts nothing must not have everything put there.
func maxDeadLetterBytes(e config.UsageExport) int64 { return int64(e.MaxLogBytes) / deadLetterDivisor }
